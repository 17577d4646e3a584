"""Real processes of the deploy file's command: starts, signals and exit statuses."""

import asyncio
import os
import pathlib
import re
import signal
import sys
import time

import anyio
import pytest

from beryljunction.early_listener import open_listener
from beryljunction.early_start import release_signals
from beryljunction.errors import StartError
from beryljunction.gateway import process, startup
from beryljunction.gateway.addresses import open_when_free
from beryljunction.gateway.events import EntryEventLog
from beryljunction.gateway.startup import EntryProgram, ExitStatus
from entry_harness import CapturedLog, read_answer, route
from entry_process import open_entry_program
from hostile_records import ODD_RECORDS

pytestmark = pytest.mark.anyio
STOPS = (signal.SIGTERM, signal.SIGINT, signal.SIGQUIT)
# The program of an entry whose imports take 3 s.
SLOW_PROGRAM = """
import sys, time
from beryljunction.cli import platform_entry

class SlowFinder:
    def find_spec(self, name, *_):
        if name == "beryljunction.gateway.startup":
            time.sleep(3.0)

sys.meta_path.insert(0, SlowFinder())
raise SystemExit(platform_entry.main())
"""


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def connect_callers(program, count=3):
    """Connect callers while a process starts, and send a request on each connection."""
    await program.wait_until_listening()
    readers = []
    for number in range(count):
        reader, writer = await program.harness.connect()
        writer.write(program.harness.request_bytes(request_id=f"q{number}"))
        readers.append((reader, writer))
    return readers


async def answers_of(callers):
    """Return the status of each caller's answer; 0 for none."""
    statuses = []
    for reader, _ in callers:
        answer = (0,)
        with anyio.move_on_after(20.0):
            answer = await read_answer(reader)
        statuses.append(answer[0])
    return statuses


async def is_serving(program):
    """Return whether a request gets the answer of an endpoint."""
    try:
        return (await program.harness.send_request())[0] == 200
    except OSError:
        return False


class TestSignalsDuringTheStart:
    @pytest.mark.parametrize("number", STOPS)
    async def test_stop_answers_the_callers_who_have_connected(self, tmp_path, number):
        """Guards against a signal that ends a process silently and resets its callers."""
        async with open_entry_program(tmp_path, route()) as program:
            await program.harness.add_endpoint("e1")
            program.start()
            callers = await connect_callers(program)
            program.process.send_signal(number)

            assert await answers_of(callers) == [200, 200, 200]
            assert await program.wait_until_ended() == 0
            assert len(program.log_lines("stopped")) == 1

    async def test_reload_and_stray_signals_end_nothing(self, tmp_path):
        """Guards against the default action of signals, which ends the process silently."""
        async with open_entry_program(tmp_path, route()) as program:
            await program.harness.add_endpoint("e1")
            program.start()
            callers = await connect_callers(program)
            for number in (signal.SIGHUP, signal.SIGUSR1, signal.SIGUSR2, signal.SIGALRM):
                program.process.send_signal(number)

            assert await answers_of(callers) == [200, 200, 200]
            await program.wait_until_ready()
            assert program.process.poll() is None

    async def test_stop_late_in_a_slow_start_has_its_whole_grace_period(self, tmp_path):
        """Guards against streams cut by a grace period that counts from before the signal."""

        async def hang(answer, writer, number):
            await asyncio.sleep(30.0)

        async with open_entry_program(
            tmp_path, route(**{"timeout-ms": 20_000}), grace_s=5
        ) as program:
            await program.harness.add_endpoint("e1", script=hang)
            program.start(command=[sys.executable, "-S", "-c", SLOW_PROGRAM])
            await program.wait_until_listening()
            reader, writer = await program.harness.connect()
            await anyio.sleep(2.5)
            program.process.send_signal(signal.SIGTERM)
            signalled_s = time.monotonic()
            writer.write(program.harness.request_bytes().replace(b": 2000", b": 4400"))

            assert (await read_answer(reader))[0] == 504
            assert await program.wait_until_ended() == 0
            took_s = time.monotonic() - signalled_s
            assert 5 * 5 / 6 < took_s < 5.0

    async def test_stop_before_the_settings_are_there(self, tmp_path):
        """Guards against a stop without a line, and without answers to the callers."""
        async with open_entry_program(tmp_path) as program:
            program.write_settings("")
            program.start()
            callers = await connect_callers(program)
            await program.wait_until_logged("settings_unusable")
            program.process.send_signal(signal.SIGTERM)

            assert await answers_of(callers) == [503, 503, 503]
            assert await program.wait_until_ended() == 0
            assert len(program.log_lines("stopped")) == 1


class TestSignalsDuringTheStop:
    async def test_signals_in_series_until_the_process_has_ended(self, tmp_path):
        """Guards against a signal after the handlers are removed, which changes the status."""
        async with open_entry_program(tmp_path, route()) as program:
            await program.harness.add_endpoint("e1")
            program.start()
            await program.wait_until_ready()
            with anyio.fail_after(30.0):
                while program.process.poll() is None:
                    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
                        program.process.send_signal(number)
                    await anyio.sleep(0.0005)

            assert program.process.returncode == 0
            assert len(program.log_lines("stopped")) == 1


class TestAddresses:
    async def test_callers_are_served_while_the_other_ports_are_taken(self, tmp_path):
        """Guards against a start that fails because the process before still has its ports."""
        async with open_entry_program(tmp_path, route()) as program:
            await program.harness.add_endpoint("e1")
            ports = (program.ready, program.metrics, program.peers)
            taken = [open_listener(("127.0.0.1", port)) for port in ports]
            program.start()
            await program.harness.wait_until(lambda: is_serving(program), 30.0)
            for listener in taken:
                listener.close()
            await program.wait_until_ready()
            await program.wait_until_logged("address_opened", 3)

            for name in ("probes_unavailable", "metrics_unavailable", "peers_unavailable"):
                (line,) = program.log_lines(name)
                assert "expected a free address" in line

    async def test_start_beside_a_process_that_drains_loses_no_caller(self, tmp_path):
        """Guards against a successor that ends because the process before still drains."""
        async with open_entry_program(tmp_path, route()) as program:
            await program.harness.add_endpoint("e1")
            old = program.start()
            await program.wait_until_ready()
            old.send_signal(signal.SIGTERM)
            await program.wait_until_logged("stopping")
            new = program.start()
            statuses = []
            with anyio.fail_after(30.0):
                while old.poll() is None or not await is_serving(program):
                    try:
                        statuses.append((await program.harness.send_request())[0])
                    except ConnectionRefusedError:
                        await anyio.sleep(0.01)

            assert set(statuses) == {200}
            assert (old.returncode, new.poll()) == (0, None)
            assert len(program.log_lines("callers_unavailable")) == 1

    async def test_stop_while_the_port_for_callers_is_taken(self, tmp_path):
        async with open_entry_program(tmp_path) as program:
            with open_listener(("127.0.0.1", program.front)):
                program.start()
                await program.wait_until_logged("callers_unavailable")
                program.process.send_signal(signal.SIGTERM)

                assert await program.wait_until_ended() == 0
            assert len(program.log_lines("stopped")) == 1

    async def test_address_that_is_never_free_ends_the_wait(self):
        with open_listener(("127.0.0.1", 0)) as taken:
            address, lines = taken.getsockname(), CapturedLog()
            events = EntryEventLog("me", "zone", lines)
            with pytest.raises(StartError, match="expected a free address"):
                await open_when_free(address, events, "callers_unavailable", anyio.Event(), 0.2)

        assert len(lines.of_event("callers_unavailable")) == 1


class TestSettings:
    @pytest.mark.parametrize(
        "content", [None, b"", b"node-name = ", b"\xff\xfe", b"a = 1" + b"1" * 5000]
    )
    async def test_late_settings_are_waited_for(self, tmp_path, content):
        """Guards against a start that fails because the settings file is not written yet."""
        async with open_entry_program(tmp_path, route()) as program:
            await program.harness.add_endpoint("e1")
            program.settings_path.unlink()
            if content is not None:
                program.settings_path.write_bytes(content)
            program.start()
            (caller,) = await connect_callers(program, 1)
            status, head, _, is_whole = await read_answer(caller[0])
            program.write_settings()
            await program.harness.wait_until(lambda: is_serving(program), 30.0)

            assert (status, is_whole) == (503, True)
            assert re.search(r"retry-after: \d", head)
            assert "connection: close" in head
            (line,) = program.log_lines("settings_unusable")
            assert "expected" in line

    async def test_caller_who_waits_for_the_settings_can_go_on_elsewhere(self, tmp_path):
        """Guards against a caller who is refused for as long as the connection stays open."""
        async with open_entry_program(tmp_path, route()) as program:
            await program.harness.add_endpoint("e1")
            program.write_settings("")
            program.start()
            await program.wait_until_listening()
            idle, _ = await program.harness.connect()
            (refused,) = await connect_callers(program, 1)
            await read_answer(refused[0])  # Connections are accepted by now.
            program.write_settings()
            with anyio.fail_after(30.0):
                rest = await idle.read()
            await program.harness.wait_until(lambda: is_serving(program), 30.0)

            assert rest == b""

    async def test_missing_variable_ends_the_start_at_once(self, tmp_path):
        async with open_entry_program(tmp_path) as program:
            program.start(settings_variable="")
            status = await program.wait_until_ended()

            (line,) = program.log_lines()
            assert status == ExitStatus.CANNOT_START
            assert "event=start_failed" in line
            assert "BERYLJUNCTION_CONFIG: expected the path" in line


class TestOutput:
    @pytest.mark.parametrize("closed", [(1,), (0, 1, 2)])
    async def test_callers_are_served_although_output_is_closed(self, tmp_path, closed):
        """Guards against sockets that get the numbers of standard output and error."""
        async with open_entry_program(tmp_path, route()) as program:
            await program.harness.add_endpoint("e1")
            pid = program.start(preexec_fn=lambda: [os.close(number) for number in closed]).pid
            await program.wait_until_ready()
            opened = [str(pathlib.Path(f"/proc/{pid}/fd/{number}").readlink()) for number in closed]

            assert await is_serving(program)
            assert set(opened) == {os.devnull}
            assert len(program.log_lines("started")) == (2 not in closed)


@pytest.fixture
def program_in_this_process(tmp_path, monkeypatch):
    """Return a function that runs the program of an entry here, and release signals afterwards."""

    async def run(program, listener):
        monkeypatch.setenv("BERYLJUNCTION_CONFIG", str(program.settings_path))
        entry = EntryProgram(listener, time.monotonic)
        entry._events = EntryEventLog("me", "zone", program.harness.lines)
        program.harness.entry = entry
        return await entry.run()

    yield run
    release_signals()


class TestExitStatus:
    async def test_settings_that_never_come(self, tmp_path, monkeypatch, program_in_this_process):
        """Guards against a failed start that resets the callers who have connected."""
        monkeypatch.setattr(startup, "_SETTINGS_TIMEOUT_S", 0.1)
        async with open_entry_program(tmp_path) as program:
            program.write_settings("")
            with open_listener(("127.0.0.1", program.front)) as listener:
                callers = await connect_callers(program)
                status = await program_in_this_process(program, listener)

            assert status == ExitStatus.CANNOT_START
            assert await answers_of(callers) == [503, 503, 503]
            assert len(program.harness.lines.of_event("start_failed")) == 1

    async def test_internal_error(self, tmp_path, monkeypatch, program_in_this_process):
        """Guards against an internal error that leaves callers without answers."""

        async def fail(*_):
            raise ValueError("lost")

        async def hang(answer, writer, number):
            await asyncio.sleep(30.0)

        monkeypatch.setattr(process.EntryProcess, "_drain", fail)
        async with open_entry_program(tmp_path, route()) as program:
            endpoint = await program.harness.add_endpoint("e1", script=hang)
            listener = open_listener(("127.0.0.1", program.front))
            statuses = []

            async def run():
                statuses.append(await program_in_this_process(program, listener))

            async with anyio.create_task_group() as group:
                group.start_soon(run)
                callers = await connect_callers(program, 2)
                _, late = late_caller = await program.harness.connect()

                async def has_requests():
                    return len(endpoint.requests) == 2

                await program.harness.wait_until(has_requests)
                data = program.harness.request_bytes(request_id="q9")
                late.write(data[:20])
                await anyio.sleep(0.1)
                program.harness.entry._handle_signal(signal.SIGTERM)
                answers = await answers_of(callers)
                await anyio.sleep(0.1)
                late.write(data[20:])
                answers += await answers_of([late_caller])

            (line,) = program.harness.lines.of_event("crashed")
            assert statuses == [ExitStatus.CRASHED]
            assert answers == [502, 502, 503]
            assert "lost" in line
            assert "Traceback" in line


class TestOddRecords:
    async def test_process_follows_the_list_beside_them(self, tmp_path):
        """Guards against processes that end, or stop following, at records of another writer."""
        async with open_entry_program(tmp_path, route()) as program:
            harness = program.harness
            first = await harness.add_endpoint("e1")
            put_odd_records(harness, "first")
            program.start()
            await program.wait_until_ready()

            assert (await harness.send_request())[0] == 200

            put_odd_records(harness, "later")
            second = await harness.add_endpoint("e2")
            harness.put("keyed.servers", "e1", None)
            await anyio.sleep(program.host.bounds.drain_ms / 1000)
            before = len(first.requests)
            answers = [await harness.send_request(request_id=f"q{n}") for n in range(5)]

            assert [answer[0] for answer in answers] == [200] * 5
            assert (len(first.requests) - before, len(second.requests)) == (0, 5)
            assert program.process.poll() is None
            assert program.log_lines("task_failed") == []


def put_odd_records(harness, prefix):
    for number, value in enumerate(ODD_RECORDS):
        harness.put("keyed.servers", f"{prefix}{number}", value)
