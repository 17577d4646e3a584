import ast
import asyncio
import inspect
import re
import textwrap

import anyio
import pytest

from beryljunction.errors import InvariantError
from beryljunction.gateway import supervisor as supervisor_module
from beryljunction.gateway.config_watcher import ConfigWatcher
from beryljunction.gateway.crashreporter import CrashReporter
from beryljunction.gateway.endpoint_losses import EndpointLosses, LostRequest
from beryljunction.gateway.endpoint_watcher import EndpointWatcher
from beryljunction.gateway.events import EntryEventLog
from beryljunction.gateway.frontend import CallerFrontend
from beryljunction.gateway.gossip_sender import GossipSender
from beryljunction.gateway.load_exchange import LoadExchange
from beryljunction.gateway.outbox import Outbox
from beryljunction.gateway.peers import PeerConfirmation
from beryljunction.gateway.process import EntryProcess
from beryljunction.gateway.registration import Registration
from beryljunction.gateway.reload import SettingsReloader
from beryljunction.gateway.reportsender import ReportSender
from beryljunction.gateway.stall_monitor import StallMonitor
from beryljunction.gateway.streamreporter import StreamReporter, VersionRecorder
from beryljunction.gateway.supervisor import Supervisor, report_callback_faults
from beryljunction.gateway.trials import TrialPermits
from beryljunction.gateway.update_publisher import UpdatePublisher
from beryljunction.platform import Record
from beryljunction.routing import EndpointRegistry, FanOut
from entry_harness import CapturedLog, open_harness, read_answer, route

pytestmark = pytest.mark.anyio

# What each background task calls again and again; the injected exception is raised there.
STEPS = {
    "stalls": (StallMonitor, "__enter__"),
    "probes": (EntryProcess, "_listen"),
    "peers": (EntryProcess, "_start_peer_tasks"),
    "settings": (ConfigWatcher, "confirm"),
    "endpoints": (EndpointWatcher, "read_once"),
    "losses": (EndpointLosses, "_probe"),
    "caller_timeouts": (CallerFrontend, "_enforce_timeouts"),
    "settings_file": (SettingsReloader, "check"),
    "registration": (Registration, "read_once"),
    "peer_confirmation": (PeerConfirmation, "step"),
    "updates": (UpdatePublisher, "step"),
    "gossip": (GossipSender, "step"),
    "load_exchange": (LoadExchange, "next_message"),
    "crash_reports": (CrashReporter, "step"),
    "stream_reports": (StreamReporter, "step"),
    "trial_releases": (TrialPermits, "_send_release"),
    "versions": (VersionRecorder, "step"),
}


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Fault:
    """Makes a function raise once when armed, and counts its calls after that."""

    def __init__(self, monkeypatch, owner, name, error=None):
        self.is_armed = False
        self.calls_after = 0
        self.error = RuntimeError("injected") if error is None else error
        self._was_raised = False
        function = getattr(owner, name)

        def call(*args, **fields):
            if self.is_armed and not self._was_raised:
                self._was_raised = True
                raise self.error
            self.calls_after += self._was_raised
            return function(*args, **fields)

        monkeypatch.setattr(owner, name, call)

    async def has_run_again(self):
        return self.calls_after > 0


class HeldStream:
    """Script of an endpoint that holds a stream open until it is released."""

    def __init__(self):
        self.begun = anyio.Event()
        self.released = anyio.Event()

    async def __call__(self, answer, writer, number):
        writer.write(answer.stream_head() + answer.chunk(b"id: 1\ndata: a\n\n"))
        self.begun.set()
        await self.released.wait()
        writer.write(answer.chunk(b"id: 2\ndata: b\n\n") + b"0\r\n\r\n")


LONG_ROUTE = route(kind="streaming", **{"timeout-ms": 30_000})


def long_request(harness):
    return harness.request_bytes().replace(b"X-Deadline-Ms: 2000", b"X-Deadline-Ms: 30000")


def trigger(entry):
    """Give the tasks that wait for something a reason to run."""
    state = entry._state
    (endpoint,) = state.registry.rows
    state.losses.add(endpoint, LostRequest(frozenset(), False, True, 0.0))
    state.trial_permits.release("plain", frozenset(["digest"]))
    state.quarantine.outbox.changed.set()
    state.streams.outbox.changed.set()
    state.store_data_changed.set()


def count_of(entry, name):
    text = entry._events.metrics.render().decode()
    found = re.search(rf'beryl_task_failures_total{{task="{name}"}} (\S+)', text)
    return float(found[1]) if found else 0.0


class TestEachTask:
    @pytest.mark.parametrize("name", STEPS)
    async def test_exception_ends_neither_the_process_nor_a_request(self, name, monkeypatch):
        """Guards against an exception in one background task that ends the serving process."""
        fault = Fault(monkeypatch, *STEPS[name])
        script = HeldStream()
        async with open_harness(LONG_ROUTE, start=False) as harness:
            await harness.add_endpoint("one", script=script)
            fault.is_armed = name in ("stalls", "probes", "peers")  # These only begin once.
            await harness.start_entry(has_peers=True)
            reader, writer = await harness.connect()
            writer.write(long_request(harness))
            await script.begun.wait()

            fault.is_armed = True
            trigger(harness.entry)
            # An entry reads the list of entries again after some ten seconds.
            await harness.wait_until(fault.has_run_again, 20.0)
            script.released.set()
            status, _, body, is_whole = await read_answer(reader)
            writer.close()
            later = await harness.send_request(request_id="q2")

            (line,) = harness.lines.of_event("task_failed")
            assert f" task={name} " in line
            assert "injected" in line
            assert "Traceback" in line
            assert count_of(harness.entry, name) == 1.0
            assert (status, is_whole) == (200, True)
            assert body.endswith(b"id: 2\ndata: b\n\n")
            assert (later[0], later[3]) == (200, True)

    async def test_each_started_task_is_in_the_list(self, monkeypatch):
        """Guards against a new task that no test injects an exception into."""
        names = []
        start = Supervisor.start
        monkeypatch.setattr(
            Supervisor,
            "start",
            lambda self, name, run: (names.append(name), start(self, name, run)),
        )
        async with open_harness(route(), start=False) as harness:
            await harness.add_endpoint("one")
            await harness.start_entry(has_peers=True)

        assert sorted(names) == sorted(STEPS)

    @pytest.mark.parametrize("function", [EntryProcess._run, EntryProcess._start_peer_tasks])
    def test_process_starts_tasks_through_the_supervisor_only(self, function):
        """Guards against a task whose exception ends the group of all tasks."""
        tree = ast.parse(textwrap.dedent(inspect.getsource(function)))
        names = [row.attr for row in ast.walk(tree) if isinstance(row, ast.Attribute)]

        assert "start" in names
        assert "start_soon" not in names

    async def test_broken_invariant_drains_the_process(self, monkeypatch):
        """Guards against a process that goes on in a state that should be impossible."""
        error = ExceptionGroup("tasks", [InvariantError("expected a lease")])
        fault = Fault(monkeypatch, *STEPS["gossip"], error=error)
        script = HeldStream()
        async with open_harness(LONG_ROUTE, start=False) as harness:
            await harness.add_endpoint("one", script=script)
            await harness.start_entry(has_peers=True)
            reader, writer = await harness.connect()
            writer.write(long_request(harness))
            await script.begun.wait()
            fault.is_armed = True

            async def has_begun_to_stop():
                return bool(harness.lines.of_event("stopping"))

            await harness.wait_until(has_begun_to_stop)
            script.released.set()
            answer = await read_answer(reader)
            writer.close()

            (line,) = harness.lines.of_event("invariant_broken")
            assert "task=gossip" in line
            assert "expected a lease" in line
            assert (answer[0], answer[3]) == (200, True)


class RowSender(ReportSender):
    """Sends rows to a list; the first message raises."""

    def __init__(self, outbox, fan_out):
        super().__init__(outbox, fan_out)
        self.sent = []
        self.failures_left = 1

    async def send(self, address, rows):
        if self.failures_left:
            self.failures_left -= 1
            raise RuntimeError("injected")
        self.sent += rows
        return True


class TestLeftovers:
    async def test_record_that_an_exception_left_out_is_read_again(self, monkeypatch):
        """Guards against a record that is taken as applied and isn't."""
        fault = Fault(monkeypatch, EndpointRegistry, "put")
        async with open_harness(route(), start=False) as harness:
            await harness.add_endpoint("one")
            await harness.start_entry()
            fault.is_armed = True
            await harness.add_endpoint("two")
            await harness.wait_for_endpoints(2)

            (line,) = harness.lines.of_event("task_failed")
            assert "task=endpoints" in line

    async def test_quarantine_that_was_being_saved_is_saved(self, monkeypatch):
        """Guards against a quarantine that entries which start later don't know."""
        fault = Fault(monkeypatch, CrashReporter, "_try_to_save")
        fault.is_armed = True
        async with open_harness(route(), start=False) as harness:
            await harness.add_endpoint("one")
            await harness.start_entry(has_peers=True)
            quarantine = harness.entry._state.quarantine
            rows = [Record("quarantine/x", b"{}")]
            unsaved = lambda: [rows.pop()] if rows else []  # noqa: E731
            monkeypatch.setattr(quarantine, "unsaved_records", unsaved)
            quarantine.outbox.changed.set()

            await harness.wait_until(fault.has_run_again)

    async def test_rows_that_were_being_sent_are_sent(self):
        """Guards against an entry that is taken as busy and gets no rows any more."""
        fan_out = FanOut("me")
        fan_out.replace({"other": ("127.0.0.1", 1)})
        outbox = Outbox(fan_out)
        outbox.add("other", "row")
        sender = RowSender(outbox, fan_out)
        with anyio.fail_after(5.0):
            async with anyio.create_task_group() as group:
                events = EntryEventLog("h", "a", CapturedLog())
                Supervisor(group, events, lambda: None).start("rows", sender.run)
                while not sender.sent:
                    await anyio.sleep(0.01)
                group.cancel_scope.cancel()

        assert sender.sent == ["row"]


class TestSupervisor:
    async def run_failing(self, failures, monkeypatch, healthy_s=60.0):
        """Run a task that fails as listed, then returns; return its log lines."""
        monkeypatch.setattr(supervisor_module, "_FIRST_PAUSE_S", 0.01)
        monkeypatch.setattr(supervisor_module, "_MAX_PAUSE_S", 0.04)
        monkeypatch.setattr(supervisor_module, "_HEALTHY_S", healthy_s)
        log = CapturedLog()
        left = list(failures)

        async def run():
            if left:
                took_s, error = left.pop(0)
                await anyio.sleep(took_s)
                raise error

        with anyio.fail_after(5.0):
            async with anyio.create_task_group() as group:
                tasks = Supervisor(group, EntryEventLog("h", "a", log), lambda: None)
                tasks.start("one", run)
        return log.of_event("task_failed")

    async def test_pause_grows_up_to_a_limit(self, monkeypatch):
        lines = await self.run_failing([(0.0, ValueError("x"))] * 4, monkeypatch)

        pauses = [re.search(r"pause_s=(\S+)", line)[1] for line in lines]
        assert pauses == ["0.01", "0.02", "0.04", "0.04"]

    async def test_pause_starts_over_after_a_healthy_time(self, monkeypatch):
        failures = [(0.0, ValueError("x")), (0.0, ValueError("x")), (0.2, ValueError("x"))]
        lines = await self.run_failing(failures, monkeypatch, healthy_s=0.15)

        pauses = [re.search(r"pause_s=(\S+)", line)[1] for line in lines]
        assert pauses == ["0.01", "0.02", "0.01"]

    async def test_group_names_each_exception_in_it(self, monkeypatch):
        inner = ExceptionGroup("inner", [KeyError("b")])
        (line,) = await self.run_failing(
            [(0.0, ExceptionGroup("outer", [ValueError("a"), inner]))], monkeypatch
        )

        assert "ValueError('a'); KeyError('b')" in line

    async def test_cancellation_ends_a_task(self):
        log = CapturedLog()
        with anyio.fail_after(5.0):
            async with anyio.create_task_group() as group:
                tasks = Supervisor(group, EntryEventLog("h", "a", log), lambda: None)
                tasks.start("one", anyio.sleep_forever)
                await anyio.sleep(0.01)
                group.cancel_scope.cancel()

        assert log.lines == []


class TestCallbackFaults:
    async def test_exception_of_a_callback_is_logged_and_counted(self):
        """Guards against a traceback of many lines on standard error, and no count."""
        log = CapturedLog()
        events = EntryEventLog("h", "a", log)

        def fail():
            raise ValueError("in a callback")

        async with report_callback_faults(events):
            asyncio.get_running_loop().call_soon(fail)
            await anyio.sleep(0.01)

        (line,) = log.of_event("callback_failed")
        assert "in a callback" in line
        assert "Traceback" in line
        assert b'beryl_events_total{event="callback_failed"} 1.0' in events.metrics.render()
