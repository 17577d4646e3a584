"""Test harness: the deploy file's command as a real process, with the store and endpoints here."""

import contextlib
import os
import pathlib
import subprocess
import sys
import sysconfig
import tomllib

import anyio

from beryljunction.platform import HostSettings, read_host_settings
from entry_harness import open_harness, route

__all__ = ["EntryProgram", "entry_command", "open_entry_program"]

_ROOT = pathlib.Path(__file__).parent.parent
_SETTINGS = """\
node-name = "entry-1"
zone = "a"
region = "r"
ip-address = "127.0.0.1"
internal-port-range = [{peers}, {peers}]
heartbeat-interval-ms = 1000
[listen-addresses]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[bounds]
grace-period-s = {grace_s}
[platform]
address = "{store[0]}:{store[1]}"
"""


def entry_command():
    """Return the command of the deploy file's entry, with the interpreter of the tests."""
    deploy_file = tomllib.loads((_ROOT / "deploy" / "system.toml").read_text())
    return [sys.executable, *deploy_file["roles"]["entry"]["run"].split()[1:]]


class EntryProgram:
    """An entry as a process of its own, which is started as often as a test needs.

    Attributes:
        front: Port for callers; `ready`, `metrics` and `peers` are the others.
        processes: All processes, the latest one last.
    """

    def __init__(self, harness, folder, grace_s=8):
        self.harness = harness
        self.front, self.ready, self.metrics, self.peers = (next(harness.ports) for _ in range(4))
        self.grace_s = grace_s
        self.settings_path = folder / "node.toml"
        self.log_path = folder / "entry.log"
        self.processes = []
        self.write_settings()
        harness.host = self.host

    @property
    def host(self) -> HostSettings:
        """The settings as a process reads them."""
        return read_host_settings(str(self.settings_path))

    def settings(self):
        """Return the text of the settings file."""
        ports = {"front": self.front, "ready": self.ready, "peers": self.peers}
        return _SETTINGS.format(**ports, grace_s=self.grace_s, store=self.harness.store_address)

    def write_settings(self, text=None):
        """Replace the settings file, by one with other text if that is given."""
        temporary = self.settings_path.with_suffix(".new")
        temporary.write_text(self.settings() if text is None else text)
        temporary.replace(self.settings_path)

    def start(self, settings_variable=None, command=None, **options):
        """Start a process; options are those of `subprocess.Popen`, by default output to a file."""
        path = str(self.settings_path) if settings_variable is None else settings_variable
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "LANG": "C.UTF-8",
            "PYTHONPATH": os.pathsep.join([str(_ROOT / "src"), sysconfig.get_path("purelib")]),
            "BERYLJUNCTION_CONFIG": path,
            "BERYL_METRICS_PORT": str(self.metrics),
            "BERYL_CALLERS": f"127.0.0.1:{self.front}",
        }
        with self.log_path.open("ab") as log:
            outputs = {"stdin": subprocess.DEVNULL, "stdout": log, "stderr": log, **options}
            command = command or entry_command()
            process = subprocess.Popen(command, cwd=_ROOT, env=environment, **outputs)
        self.processes.append(process)
        return process

    @property
    def process(self):
        """The latest process."""
        return self.processes[-1]

    def kill(self):
        """Kill all processes that still run."""
        for process in self.processes:
            process.kill()
            process.wait()

    def log_lines(self, event=None):
        """Return the lines of all processes, or those of one event."""
        lines = self.log_path.read_text(errors="replace").splitlines()
        return [line for line in lines if event is None or f"event={event} " in line + " "]

    async def wait_until_ready(self):
        await self.harness.wait_until(self.harness.is_ready, 30.0)

    async def wait_until_logged(self, event, count=1):
        """Wait until there are that many lines of an event."""

        async def check():
            return len(self.log_lines(event)) >= count

        await self.harness.wait_until(check, 30.0)

    async def wait_until_listening(self):
        """Wait until callers can connect; that is early in a start."""

        async def check():
            with contextlib.suppress(OSError):
                _, writer = await self.harness.connect()
                writer.close()
                return True
            return False

        await self.harness.wait_until(check, 30.0)

    async def wait_until_ended(self, process=None):
        """Wait until a process has ended, and return its exit status."""
        process = process or self.process
        with anyio.fail_after(30.0):
            while process.poll() is None:
                await anyio.sleep(0.01)
        return process.returncode


@contextlib.asynccontextmanager
async def open_entry_program(folder, *routes, **options):
    """Open a program that is not started yet, with a store that has settings with these routes."""
    async with open_harness(*(routes or [route()]), start=False) as harness:
        program = EntryProgram(harness, folder, **options)
        try:
            yield program
        finally:
            program.kill()
