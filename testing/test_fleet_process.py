import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request

import anyio
import attrs
import pytest

import beryljunction
from beryljunction.cli.drain import drain
from beryljunction.cli.status import status
from beryljunction.cli.timeline import timeline
from beryljunction.errors import PlatformUnavailableError
from beryljunction.fleet_process import (
    EntryRole,
    FleetProcess,
    HostListCache,
    HostListWatcher,
    RoleContext,
    SidecarRole,
)
from beryljunction.local import (
    DEMO_API_KEY,
    LocalFleetSize,
    StandInsFile,
    demo_settings,
    write_process_files,
)
from beryljunction.servers import create_client_pool
from beryljunction.settings import (
    EntryFile,
    ProcessSettings,
    ResolvedSettings,
    SidecarFile,
    load_file,
)
from beryljunction.stores import HostChanges, HostList, HostRow
from beryljunction.tables import EndpointState
from beryljunction.timeline import Timeline
from blocking_caller import BlockingCaller
from ports import free_ports

ROW = HostRow("host-a", "drafter-0", "drafter", "ahd-a", "gj-west", "127.0.0.1:1")
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0


def short_lived_view():
    """Return settings under which a stopping sidecar keeps answers for one second only."""
    view = demo_settings()
    services = {
        name: attrs.evolve(service, resume_s=1.0) for name, service in view.services.items()
    }
    return attrs.evolve(view, services=services)


def start(program, *arguments):
    """Start one of the console programs; the caller must terminate the process."""
    path = pathlib.Path(sys.executable).parent / program
    source = pathlib.Path(beryljunction.__file__).parents[1]
    environment = {**os.environ, "PYTHONPATH": str(source)}
    return subprocess.Popen(
        [str(path), *arguments], env=environment, stdout=subprocess.PIPE, stderr=subprocess.PIPE
    )


def fetch(address, path, data=None):
    request = urllib.request.Request(f"http://{address}{path}", data)
    request.add_header("authorization", f"Bearer {DEMO_API_KEY}")
    with urllib.request.urlopen(request, timeout=20) as response:
        return response.read()


def wait_until_ready(address, process):
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s and process.poll() is None:
        with contextlib.suppress(OSError):
            fetch(address, "/readyz")
            return
        time.sleep(0.05)
    process.kill()
    _, stderr = process.communicate(timeout=STOP_TIMEOUT_S)
    raise AssertionError(
        f"{address}: expected a ready process, got exit code {process.returncode} and:\n"
        f"{stderr.decode()[-2000:]}"
    )


class Processes:
    """Two entries, one endpoint per service and the stand-ins, each in a separate process."""

    def __init__(self, directory):
        size = LocalFleetSize(entries=2, endpoints=1)
        self.held = contextlib.ExitStack()
        ports = free_ports(self.held)
        self.entries = write_process_files(directory, ports, size, short_lived_view())
        self.running = {"standins": start("beryl-local", "standins", f"{directory}/standins.toml")}
        self.operators = {}
        standins = load_file(directory / "standins.toml", StandInsFile)
        self.hosts = f"http://{standins.hosts_listen}"
        for path in sorted(directory.glob("*.toml")):
            if path.stem not in ("standins", "operator"):
                self._start(path)

    def _start(self, path):
        is_entry = path.stem.startswith("entry-")
        program, cls = ("beryl-entry", EntryFile) if is_entry else ("beryl-sidecar", SidecarFile)
        self.running[path.stem] = start(program, str(path))
        self.operators[path.stem] = load_file(path, cls).process.operator_listen

    def end(self):
        for process in self.running.values():
            process.terminate()
        for process in self.running.values():
            try:
                process.communicate(timeout=STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.communicate()
        self.held.close()


@pytest.fixture(scope="module")
def processes(tmp_path_factory):
    fleet = Processes(tmp_path_factory.mktemp("fleet"))
    try:
        for name, address in fleet.operators.items():
            wait_until_ready(address, fleet.running[name])
        yield fleet
    finally:
        fleet.end()


class TestProcesses:
    @pytest.mark.parametrize("number", [0, 1], ids=["first-entry", "second-entry"])
    def test_streamed_answer_is_complete_through_each_entry(self, processes, number):
        body = {"model": "drafter", "messages": [], "max_tokens": 5, "stream": True}

        data = fetch(processes.entries[number], "/v1/chat/completions", json.dumps(body).encode())

        events = [line for line in data.split(b"\n") if line.startswith(b"data: ")]
        assert len(events) == 6
        assert events[-1] == b"data: [DONE]"

    def test_non_idempotent_call_runs_once(self, processes):
        answer = fetch(processes.entries[0], "/services/ledger/notes", b"note 1")

        assert json.loads(answer)["times"] == 1

    def test_operator_listener_shows_one_request_in_each_process(self, processes):
        fetch(processes.entries[0], "/services/ledger/notes", b"note 2")

        entry = json.loads(fetch(processes.operators["entry-0"], "/beryl/v1/events"))["events"]
        request_id = next(row[5] for row in reversed(entry) if row[5])
        path = f"/beryl/v1/events?request_id={request_id}"
        sidecar = json.loads(fetch(processes.operators["ledger-0"], path))["events"]
        metrics = fetch(processes.operators["ledger-0"], "/metrics")

        assert [row[4] for row in sidecar][:1] == ["started"]
        assert b'beryl_events_total{kind="started"}' in metrics


class TestOperatorCommands:
    def test_status_shows_each_process(self, processes, capsys):
        code = status(hosts=processes.hosts, json=True)

        nodes = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
        assert code == 0
        assert {"entry-0", "host-ledger-0"} <= {node["host"] for node in nodes}
        assert {node["hosts_version"] for node in nodes} == {5}

    def test_timeline_orders_the_events_of_one_request_across_processes(self, processes, capsys):
        body = json.dumps({"model": "drafter", "messages": [], "max_tokens": 2}).encode()
        fetch(processes.entries[0], "/v1/chat/completions", body)
        timeline(hosts=processes.hosts, json=True)
        events = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
        request_id = events[-1]["request_id"]

        timeline(hosts=processes.hosts, request=request_id)

        lines = capsys.readouterr().out.splitlines()
        assert [line.split()[3] for line in lines] == ["arrived", "started", "ended"]

    def test_drained_endpoint_takes_no_new_work_until_the_drain_is_undone(self, processes, capsys):
        body = json.dumps({"model": "reel-llm", "messages": [], "max_tokens": 2}).encode()
        hosts, entry = processes.hosts, processes.entries[0]

        assert drain("reel-llm-0", hosts=hosts, wait=True) == 0
        with pytest.raises(urllib.error.HTTPError) as refused:
            fetch(entry, "/v1/chat/completions", body)
        with pytest.raises(urllib.error.HTTPError, match="503"):
            fetch(processes.operators["reel-llm-0"], "/readyz")
        drain("reel-llm-0", hosts=hosts, undo=True)

        assert json.loads(refused.value.read())["error"]["ran"] == "no"
        assert b"word1" in fetch(entry, "/v1/chat/completions", body)
        assert "reel-llm-0: leaving, 0 running, 0 waiting" in capsys.readouterr().out

    def test_unknown_endpoint_and_unreachable_list_have_their_own_exit_codes(self, processes):
        assert drain("no-such", hosts=processes.hosts) == 2
        assert status(hosts="http://127.0.0.1:1") == 4


class TestStop:
    def test_sigterm_completes_an_answer_in_flight(self, processes):
        """An entry that gets SIGTERM while it relays an answer must not cut the answer off.

        The signal comes after the first frame. The entry relays the remaining frames and then exits
        with code 0; a second signal must not shorten this.
        """
        body = {"model": "drafter", "messages": [], "max_tokens": 40, "stream": True}
        request = urllib.request.Request(
            f"http://{processes.entries[1]}/v1/chat/completions", json.dumps(body).encode()
        )
        request.add_header("authorization", f"Bearer {DEMO_API_KEY}")
        entry = processes.running["entry-1"]

        with urllib.request.urlopen(request, timeout=20) as response:
            first = response.readline()
            entry.send_signal(signal.SIGTERM)
            entry.send_signal(signal.SIGTERM)
            data = first + response.read()

        assert data.count(b"data: ") == 41
        assert entry.wait(STOP_TIMEOUT_S) == 0


class TestOperatorListener:
    def test_request_that_is_being_received_at_the_end_is_answered(self, monkeypatch):
        """Guards against an operator's command that a stopping process drops."""

        async def run():
            address = "127.0.0.1:0"
            settings = ProcessSettings("e", "gj-west", "ahd-a", address, address, "key", "", "")
            process = FleetProcess.entry(EntryFile(settings), ResolvedSettings())
            caller = BlockingCaller(process.operator_server.listener.getsockname())

            async def send_half(task_status):
                caller.send(b"GET /metrics HTTP/1.1\r\n")
                await anyio.sleep(0.1)
                group.start_soon(send_rest)

            async def send_rest():
                await anyio.sleep(0.1)
                caller.send(b"Host: e\r\n\r\n")

            monkeypatch.setattr(process, "_serve", send_half)
            async with anyio.create_task_group() as group:
                await process.run()
                return caller.read_now(12)

        assert anyio.run(run) == b"HTTP/1.1 200"


class TestBadSettings:
    @pytest.mark.parametrize("program", ["beryl-entry", "beryl-sidecar"])
    def test_exit_with_code_2_and_a_line_for_each_problem(self, tmp_path, program):
        path = tmp_path / "bad.toml"
        path.write_text('colour = "red"\n[process]\nhost = 3\n')

        process = start(program, str(path))
        _, stderr = process.communicate(timeout=START_TIMEOUT_S)

        assert process.returncode == 2
        assert b"colour" in stderr
        assert b"process.host" in stderr


class ScriptedHosts(HostList):
    def __init__(self, *answers):
        self.answers = list(answers)
        self.asked = []

    async def fetch_changes(self, after, wait_s):
        self.asked.append(after)
        if not self.answers:
            await anyio.sleep_forever()
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class TestHostListCache:
    def test_empty_full_list_removes_no_endpoint(self):
        """A list service that lost its rows in a restart must not remove every endpoint.

        If its empty full list were applied, all callers would be refused although every endpoint
        works. The cache keeps its rows until rows are listed again.
        """
        cache = HostListCache()
        cache.apply(HostChanges(5, (ROW,)))

        assert not cache.apply(HostChanges(0, full=True))
        assert cache.rows == {"drafter-0": ROW}

    def test_changes_replace_and_remove_rows(self):
        cache = HostListCache()
        cache.apply(HostChanges(1, (ROW, attrs.evolve(ROW, endpoint_id="drafter-1"))))
        moved = attrs.evolve(ROW, incarnation="2")

        cache.apply(HostChanges(3, (moved,), gone=("drafter-1",)))

        assert cache.rows == {"drafter-0": moved}


class TestHostListWatcher:
    def test_outage_keeps_the_last_view_and_is_logged_once(self):
        async def run():
            outage = PlatformUnavailableError("down")
            hosts = ScriptedHosts(HostChanges(4, (ROW,)), outage, outage)
            seen = []
            timeline = Timeline("host-a", "ahd-a")
            watcher = HostListWatcher(hosts, seen.append, timeline)
            async with anyio.create_task_group() as group:
                await group.start(watcher.run)
                while len(hosts.asked) < 4:
                    await anyio.sleep(0.01)
                group.cancel_scope.cancel()
            return hosts.asked, seen, [event.kind for event in timeline.events()]

        asked, seen, kinds = anyio.run(run)

        assert asked == [0, 4, 4, 4]
        assert seen == [[ROW]]
        assert kinds.count("hosts_unavailable") == 1


class TestEntryRole:
    def entry(self):
        process = ProcessSettings("e", "gj-west", "ahd-a", "", "", "key", "", "")
        context = RoleContext(None, None, None, lambda: 0, lambda name, version: None)
        return EntryRole(EntryFile(process), ResolvedSettings(), context)

    def test_leaving_endpoint_is_live_again_when_its_host_was_replaced(self):
        role = self.entry()
        role.update_hosts([attrs.evolve(ROW, incarnation="1", state="leaving")])
        leaving = role.endpoints.get("drafter-0").state

        role.update_hosts([attrs.evolve(ROW, incarnation="2")])

        assert leaving is EndpointState.LEAVING
        assert role.endpoints.get("drafter-0").state is EndpointState.LIVE

    def test_list_does_not_overwrite_the_incarnation_reported_by_the_sidecar(self):
        role = self.entry()
        role.update_hosts([attrs.evolve(ROW, incarnation="platform-7")])
        role.endpoints.get("drafter-0").incarnation = "sidecar-1"

        role.update_hosts([attrs.evolve(ROW, incarnation="platform-7", address="127.0.0.1:2")])

        assert role.endpoints.get("drafter-0").incarnation == "sidecar-1"


class TestSidecarRole:
    def sidecar(self):
        process = ProcessSettings("host-a", "gj-west", "ahd-a", "", "", "key", "", "")
        file = SidecarFile(process, "drafter-0", "drafter", "http://127.0.0.1:1")
        pool = create_client_pool()
        context = RoleContext(None, pool, pool, lambda: 0, lambda name, version: None)
        return SidecarRole(file, ResolvedSettings(), context)

    def test_drains_while_the_list_marks_it_as_leaving(self):
        role = self.sidecar()

        role.update_hosts([attrs.evolve(ROW, incarnation="platform-7", state="leaving")])
        leaving = role.sidecar.admission.leaving
        role.update_hosts([attrs.evolve(ROW, incarnation="platform-7")])

        assert leaving
        assert not role.sidecar.admission.leaving

    def test_list_does_not_undo_an_operators_drain(self):
        role = self.sidecar()

        role.drain(leaving=True)
        role.update_hosts([ROW])

        assert role.sidecar.admission.leaving

    def test_row_of_the_previous_host_is_ignored(self):
        role = self.sidecar()

        role.update_hosts([attrs.evolve(ROW, host="host-before", state="leaving")])

        assert not role.sidecar.admission.leaving
