import itertools
import os
import pathlib
import re

import anyio
import attrs
import pytest

from beryljunction.clocks import boot_time_s
from beryljunction.gateway import planned_stop
from beryljunction.gateway import reload as reload_module
from beryljunction.gateway.events import EntryEventLog
from beryljunction.gateway.reload import SettingsReloader
from beryljunction.gateway.state import EntryState
from beryljunction.platform import (
    BOUND_PATHS,
    START_PATHS,
    DeploymentBounds,
    HostSettings,
    read_host_settings,
)
from beryljunction.routing import Service
from entry_harness import CapturedLog, open_harness, route

pytestmark = pytest.mark.anyio

OPERATIONS = pathlib.Path(__file__).parent.parent / "docs" / "OPERATIONS.md"
FILE = """node-name = "entry-1"
zone = "a"
region = "r"
ip-address = "127.0.0.1"
internal-port-range = [8010, 8020]
heartbeat-interval-ms = 1000
[listen-addresses]
front = "127.0.0.1:8001"
ready = "127.0.0.1:8002"
[limits]
memory-mb = 300
[bounds]
revocation-ms = 5000
configuration-apply-ms = 2000
evacuation-ms = 5000
drain-ms = 2000
grace-period-s = 8
retry-budget-ratio = 0.2
retry-window-s = 10
retry-budget-slack = 0
cold-overshoot = 1.0
cold-slack = 0
[platform]
address = "127.0.0.1:8003"
"""
# Fields of the host settings that come from the environment, which no file changes.
ENVIRONMENT = {"operator_keys", "mechanisms"}
# What is kept of the file itself.
ABOUT_FILE = {"given", "is_terminated"}


def cold_per_s(state):
    return state.cold_start_limiter.limit.requests_per_s(Service("s", False, False, cold_per_s=2.0))


SERVICES = itertools.count()


def retries(state):
    """Return how many retries a service has left after four requests a second for 25 s."""
    share = state.retry_share(f"s{next(SERVICES)}")
    now_s = boot_time_s()
    for number in range(100, -1, -1):
        share.count_request(now_s - number / 4)
    return sum(share.spend(now_s) for _ in range(100))


# For each limit: another value, and what has to follow from it in the parts that use it.
LIMITS = {
    "revocation_ms": (
        "4000",
        lambda state: (state.lease.revocation_s, state.announced_version.memory_s),
        (4.0, 4.0),
    ),
    "apply_ms": ("1000", lambda state: state.settings_bound.bound_s, 1.0),
    "evacuation_ms": ("1500", lambda state: state.settings_bound.bound_s, 1.5),
    "drain_ms": ("1000", lambda state: state.endpoints_bound.bound_s, 1.0),
    "grace_s": ("24", lambda state: state.bounds.grace_s, 24),
    "repeat_ratio": ("0.5", retries, 9),
    "repeat_window_s": ("5", retries, 1),
    "repeat_slack": ("64", retries, 5),
    "cold_overshoot": ("3.0", cold_per_s, 6.0),
    "cold_slack": ("7", cold_per_s, 9.0),
    "heartbeat_ms": ("3000", lambda state: state.store_reachability.least_outage_s, 6.0),
    "memory_mb": ("100", lambda state: state.memory.limit_bytes, 30_000_000),
}
STARTS = {
    "host": '"entry-2"',
    "availability_zone": '"b"',
    "region": '"q"',
    "callers": '"127.0.0.1:9001"',
    "probes": '"127.0.0.1:9002"',
    "store": '"127.0.0.1:9003"',
    "metrics": '"127.0.0.2"',
    "peers": "[9010, 9020]",
}


@pytest.fixture
def anyio_backend():
    return "asyncio"


def changed_file(path, value):
    """Return the file with another value at a path."""
    pattern = rf"(?m)^{re.escape(path[-1])} = .*$"
    text, count = re.subn(pattern, f"{path[-1]} = {value}", FILE)
    assert count == 1
    return text


class Reloads:
    """A reloader, the file that it reads, and its log."""

    def __init__(self, path):
        self.path = path
        self.path.write_text(FILE)
        self.log = CapturedLog()
        events = EntryEventLog("entry-1", "a", self.log)
        self.state = EntryState(read_host_settings(), events)
        self.state.fan_out.replace({})
        self.state.update_entry_count()
        self.reloader = SettingsReloader(self.state, events)
        self.reloader.check()

    def check(self, text):
        self.path.write_text(text)
        self.reloader.check()

    def reload(self, text):
        self.path.write_text(text)
        self.reloader.reload()


@pytest.fixture
def reloads(tmp_path, monkeypatch):
    monkeypatch.setenv("BERYLJUNCTION_CONFIG", str(tmp_path / "node.toml"))
    monkeypatch.setenv("BERYL_METRICS_PORT", "9464")
    return Reloads(tmp_path / "node.toml")


class TestFields:
    def test_each_field_of_the_schema_is_walked(self):
        """Guards against a new field that is neither used after a reload nor named."""
        bounds = {row.name for row in attrs.fields(DeploymentBounds)}
        others = {row.name for row in attrs.fields(HostSettings)} - {"bounds"}

        assert set(BOUND_PATHS) == set(LIMITS) == bounds
        assert set(START_PATHS) == set(STARTS) == others - ENVIRONMENT - ABOUT_FILE

    @pytest.mark.parametrize("name", LIMITS)
    def test_changed_limit_is_in_force_and_named(self, name, reloads):
        """Guards against a limit that is reported as reloaded and isn't used."""
        value, read, expected = LIMITS[name]
        assert read(reloads.state) != expected

        reloads.reload(changed_file(BOUND_PATHS[name], value))

        assert read(reloads.state) == expected
        (line,) = reloads.log.of_event("reloaded")
        assert f" fields={'.'.join(BOUND_PATHS[name])}" in line
        assert reloads.log.of_event("restart_needed") == []

    @pytest.mark.parametrize("name", STARTS)
    def test_changed_start_field_is_named_and_the_limits_are_in_force(self, name, reloads):
        """Guards against a field that needs a restart which nobody is informed of."""
        text = changed_file(START_PATHS[name], STARTS[name])
        reloads.reload(text.replace("grace-period-s = 8", "grace-period-s = 24"))

        assert reloads.state.bounds.grace_s == 24
        (line,) = reloads.log.of_event("restart_needed")
        assert ".".join(START_PATHS[name]) in line

    def test_page_names_each_field(self):
        """Guards against a field that the page for operators leaves out."""
        page = OPERATIONS.read_text("utf-8")
        rows = dict(re.findall(r"(?m)^\| `([\w.-]+)` \| (at once|at the next start)", page))

        at_once = {".".join(path): "at once" for path in BOUND_PATHS.values()}
        at_start = {".".join(path): "at the next start" for path in START_PATHS.values()}
        assert rows == at_once | at_start


class TestFile:
    def test_unchanged_file_is_not_logged_without_a_signal(self, reloads):
        os.utime(reloads.path, ns=(1, 1))
        reloads.reloader.check()

        assert reloads.log.lines == []

    def test_change_without_a_signal_is_in_force(self, reloads):
        reloads.check(FILE.replace("grace-period-s = 8", "grace-period-s = 24"))

        assert reloads.state.bounds.grace_s == 24
        assert len(reloads.log.of_event("reloaded")) == 1

    def test_change_between_the_start_and_the_first_check_is_in_force(self, tmp_path, reloads):
        """Guards against a change that was made after the start had read the file."""
        later = SettingsReloader(reloads.state, EntryEventLog("h", "a", reloads.log))
        reloads.path.write_text(FILE.replace("grace-period-s = 8", "grace-period-s = 24"))
        later.check()

        assert reloads.state.bounds.grace_s == 24

    @pytest.mark.parametrize("is_replaced", [False, True])
    def test_change_with_the_same_modification_time_is_in_force(self, is_replaced, reloads):
        """Guards against a change within the resolution of the file's clock."""
        os.utime(reloads.path, ns=(1, 1))
        reloads.reloader.check()
        text = FILE.replace("grace-period-s = 8", "grace-period-s = 9" + "9" * (not is_replaced))
        other = reloads.path.with_suffix(".new")
        other.write_text(text)
        if is_replaced:
            other.rename(reloads.path)
        else:
            reloads.path.write_text(text)
        os.utime(reloads.path, ns=(1, 1))
        reloads.reloader.check()

        assert reloads.state.bounds.grace_s != 8

    def test_file_that_is_cut_short_anywhere_changes_nothing(self, reloads):
        """Guards against the beginning of a file that is being written, e.g. 2 of 24 seconds."""
        text = FILE.replace(" = 8\n", " = 24\n").replace(
            "revocation-ms = 5000", "revocation-ms = 9"
        )
        before = reloads.state.bounds
        for length in range(len(text)):
            reloads.reload(text[:length])

            assert reloads.state.bounds == before, text[:length]
        assert len(reloads.log.of_event("reload_refused")) > 0
        assert reloads.log.of_event("reloaded") == []

    @pytest.mark.parametrize(
        "line",
        [
            'grace-period-s = "24"',
            "grace-period-s = -1",
            "grace-period-s = nan",
            "grace-period-s = inf",
            "grace-period-s = " + "9" * 400,
            "grace-period-s = " + "9" * 5000,
            "grace-period-s = true",
            "grace-period-s = ",
            "grace-period-s = " + "[" * 5000,
        ],
        ids=range(9),
    )
    def test_invalid_file_changes_nothing(self, line, reloads):
        """Guards against a file of which a part is in force, or that ends the process."""
        before = reloads.state.bounds
        text = FILE.replace("revocation-ms = 5000", "revocation-ms = 900")
        reloads.reload(text.replace("grace-period-s = 8", line))

        assert reloads.state.bounds == before
        assert len(reloads.log.of_event("reload_refused")) == 1
        assert reloads.log.of_event("reloaded") == []

    def test_file_without_a_field_that_it_had_changes_nothing(self, reloads):
        """Guards against the default of a field that isn't written yet."""
        reloads.reload(FILE.replace("grace-period-s = 8\n", ""))

        assert reloads.state.bounds.grace_s == 8
        assert "bounds.grace-period-s" in reloads.log.of_event("reload_refused")[0]

    def test_missing_file_changes_nothing(self, reloads):
        reloads.path.unlink()
        reloads.reloader.check()
        reloads.reloader.check()

        assert reloads.state.bounds.grace_s == 8
        assert len(reloads.log.of_event("reload_refused")) == 1

    def test_refused_file_is_read_again_until_it_is_complete(self, reloads):
        """Guards against a file that was half written at the moment of the signal."""
        text = FILE.replace("grace-period-s = 8", "grace-period-s = 24")
        reloads.reload(text[:-30])
        status = reloads.path.stat()
        reloads.path.write_text(text)
        os.utime(reloads.path, ns=(status.st_atime_ns, status.st_mtime_ns))
        reloads.reloader.check()

        assert reloads.state.bounds.grace_s == 24

    def test_signal_without_a_change_is_logged(self, reloads):
        reloads.reload(FILE)

        (line,) = reloads.log.of_event("reloaded")
        assert 'fields=""' in line

    def test_unexpected_exception_is_logged(self, reloads, monkeypatch):
        """Guards against an exception that ends the task which handles signals."""

        def fail():
            raise RuntimeError("injected")

        monkeypatch.setattr(reload_module, "read_host_settings", fail)
        reloads.reloader.reload()

        assert "injected" in reloads.log.of_event("reload_refused")[0]


class TestDrain:
    @pytest.mark.parametrize("is_changed", [False, True])
    async def test_longer_grace_period_applies_to_the_stop_under_way(
        self, is_changed, tmp_path, monkeypatch
    ):
        """Guards against a stop that cuts streams before the new grace period ends."""
        monkeypatch.setenv("BERYLJUNCTION_CONFIG", str(tmp_path / "node.toml"))
        monkeypatch.setattr(planned_stop, "_PROBE_FAILURE_DELAY_S", 0.1)

        async def script(answer, writer, number):
            writer.write(answer.stream_head() + answer.chunk(b"id: 1\ndata: a\n\n"))
            await anyio.sleep(1.2)
            writer.write(answer.chunk(b"id: 2\ndata: b\n\n") + b"0\r\n\r\n")

        long_route = route(kind="streaming", **{"timeout-ms": 9_000})
        bounds = DeploymentBounds(grace_s=1.2)
        async with open_harness(long_route, bounds=bounds, start=False) as harness:
            await harness.add_endpoint("one", script=script)
            await harness.start_entry()
            reader, writer = await harness.connect()
            writer.write(harness.request_bytes())
            await reader.readuntil(b"id: 1")
            harness.entry.stop()
            await anyio.sleep(0.3)
            if is_changed:
                (tmp_path / "node.toml").write_text(
                    FILE.replace("grace-period-s = 8", "grace-period-s = 5")
                )
                harness.entry.reload()
            rest = await reader.read()
            writer.close()

            assert rest.endswith(b"0\r\n\r\n") == is_changed
            assert bool(harness.lines.of_event("cut")) != is_changed
