import asyncio
import time

import anyio
import attrs
import pytest

from beryljunction.early_listener import open_listener
from beryljunction.gateway.events import EntryEventLog
from beryljunction.gateway.process import EntryProcess
from beryljunction.platform import DeploymentBounds
from entry_harness import event, open_harness, read_answer, route

READY = b"GET /ready HTTP/1.1\r\n\r\n"
STREAM = {"kind": "streaming", "timeout-ms": 9_000}


async def slow(answer, writer, number):
    await asyncio.sleep(0.5)
    writer.write(answer.whole())


class TestReadiness:
    def test_not_ready_before_settings_are_read(self):
        async def run():
            async with open_harness(start=False) as harness:
                with anyio.move_on_after(1.0) as scope:
                    await harness.start_entry()
                return scope.cancelled_caught

        assert anyio.run(run)

    def test_ready_after_a_store_outage_at_startup(self):
        """All hosts start while the store is unavailable.

        A process that reported ready then would refuse every caller. It must report ready only when
        it can serve requests.
        """

        async def run():
            async with open_harness(route(), start=False) as harness:
                harness.store.faults.busy = True
                with anyio.move_on_after(1.0) as early:
                    await harness.start_entry()
                harness.store.faults.busy = False
                await harness.wait_until(harness.is_ready, 3.0)
                await harness.add_endpoint("e1")
                await harness.wait_for_endpoints(1)
                return early.cancelled_caught, (await harness.send_request())[0]

        assert anyio.run(run) == (True, 200)


class TestStop:
    def test_requests_are_served_until_the_load_balancer_removes_the_entry(self):
        """The platform stops a process while a caller waits for its answer.

        The process reports not ready at once, but the load balancer removes it only after two
        failed probes. Requests that arrive until then must be served, and their connections closed
        after the answer.
        """

        async def run():
            async with open_harness(route()) as harness:
                await harness.add_endpoint("e1", script=slow)
                await harness.wait_for_endpoints(1)
                reader, writer = await harness.connect()
                writer.write(harness.request_bytes())
                await anyio.sleep(0.1)
                harness.entry.stop()
                await anyio.sleep(0.05)
                ready = (await harness.send_to(harness.host.probes, READY))[0]
                under_way = await read_answer(reader)
                late = await harness.send_request(request_id="q2")
                return ready, under_way, late

        ready, under_way, late = anyio.run(run)

        assert ready == 503
        assert (under_way[0], late[0]) == (200, 200)
        assert "connection: close" in under_way[1]
        assert "connection: close" in late[1]

    def test_stream_completes_within_the_grace_period(self):
        async def trickle(answer, writer, number):
            writer.write(answer.stream_head())
            for position in range(1, 9):
                writer.write(answer.chunk(event(position)))
                await asyncio.sleep(0.5)
            writer.write(b"0\r\n\r\n")

        async def run():
            async with open_harness(route("/s/", **STREAM)) as harness:
                await harness.add_endpoint("e1", script=trickle)
                await harness.wait_for_endpoints(1)
                async with anyio.create_task_group() as group:
                    answers = []

                    async def ask():
                        data = harness.request_bytes("/s/").replace(b": 2000", b": 9000")
                        answers.append(await harness.send_to(harness.host.callers, data))

                    group.start_soon(ask)
                    await anyio.sleep(0.3)
                    harness.entry.stop()
                return answers[0]

        _, _, body, whole = anyio.run(run)

        assert whole
        assert body.count(b"data:") == 8

    def test_idle_connection_is_closed_and_the_process_exits(self):
        async def run():
            async with open_harness(route()) as harness:
                await harness.add_endpoint("e1")
                await harness.wait_for_endpoints(1)
                reader, writer = await harness.connect()
                writer.write(harness.request_bytes())
                await read_answer(reader)
                harness.entry.stop()
                with anyio.fail_after(4.0):
                    assert await reader.read() == b""
                await harness.wait_until(lambda: _stopped(harness), 4.0)
                return True

        assert anyio.run(run)

    def test_repeated_stops_and_a_settings_change_interrupt_no_request(self):
        """The platform sends three stop signals while the settings change and a request runs.

        The running request must complete under the settings that it was sent with, and a later
        request must be served under the new ones. The second and third signal have no effect.
        """

        async def run():
            async with open_harness(route()) as harness:
                await harness.add_endpoint("e1", script=slow)
                await harness.wait_for_endpoints(1)
                reader, writer = await harness.connect()
                writer.write(harness.request_bytes())
                await anyio.sleep(0.1)
                harness.entry.stop()
                harness.configure(route("/new/"))
                harness.entry.stop()
                await anyio.sleep(0.2)
                harness.entry.stop()
                late = (await harness.send_request(path="/new/", request_id="q2"))[0]
                gone = (await harness.send_request(request_id="q3"))[0]
                return (await read_answer(reader))[0], late, gone

        assert anyio.run(run) == (200, 200, 404)

    @pytest.mark.parametrize("signalled_ago_s", [0.0, 4.0])
    def test_process_exits_before_the_grace_period_ends(self, signalled_ago_s):
        """A request runs longer than what is left of the grace period, 3.4 s.

        The signal may have been pending while the process started. The process must exit shortly
        before it would be killed, so that it can log the number of requests that it cut off.
        """

        async def hang(answer, writer, number):
            await asyncio.sleep(30)

        async def run():
            bounds = DeploymentBounds(grace_s=3.4 + signalled_ago_s)
            async with open_harness(route(**{"timeout-ms": 20_000}), bounds=bounds) as harness:
                await harness.add_endpoint("e1", script=hang)
                await harness.wait_for_endpoints(1)
                _, writer = await harness.connect()
                writer.write(harness.request_bytes(headers=()).replace(b": 2000", b": 20000"))
                await anyio.sleep(0.1)
                started_s = anyio.current_time()
                harness.entry.stop(time.monotonic() - signalled_ago_s)
                await harness.wait_until(lambda: _stopped(harness), 10.0)
                return anyio.current_time() - started_s, harness.lines.of_event("cut")

        took_s, cut = anyio.run(run)

        assert took_s < 3.4
        assert len(cut) == 1


async def _stopped(harness):
    return bool(harness.lines.of_event("stopped"))


class TestReload:
    def test_reload_applies_changed_bounds_and_ignores_an_invalid_file(self, tmp_path, monkeypatch):
        """The platform replaces the settings file with a valid and then an invalid one.

        A process that read an invalid file as empty bounds would accept revoked keys for too long.
        """
        path = tmp_path / "node.toml"
        monkeypatch.setenv("BERYLJUNCTION_CONFIG", str(path))

        async def run():
            async with open_harness(route()) as harness:
                path.write_text(FILE)
                harness.entry.reload()
                good_s = harness.entry._state.lease.revocation_s
                path.write_text(FILE.replace("2500", '"soon"'))
                harness.entry.reload()
                kept_s = harness.entry._state.lease.revocation_s
                return good_s, kept_s, harness.lines.of_event("reload_refused")

        good_s, kept_s, refused = anyio.run(run)

        assert (good_s, kept_s) == (2.5, 2.5)
        assert "bounds.revocation-ms: expected a number" in refused[0]


FILE = """
node-name = "entry-1"
zone = "a"
region = "r"
[listen-addresses]
front = "127.0.0.1:8001"
ready = "127.0.0.1:8002"
[bounds]
revocation-ms = 2500
[platform]
address = "127.0.0.1:8003"
"""


class TestRestart:
    def test_restarted_entry_serves_within_a_second(self):
        """An entry is killed and starts again without any saved state."""

        async def run():
            async with open_harness(route()) as harness:
                await harness.add_endpoint("e1")
                await harness.wait_for_endpoints(1)
                started_s = anyio.current_time()
                await harness.start_entry()
                await harness.wait_for_endpoints(1)
                status = (await harness.send_request())[0]
                return status, anyio.current_time() - started_s

        status, took_s = anyio.run(run)

        assert status == 200
        assert took_s < 1.0


class TestStart:
    def test_connection_made_before_the_process_was_loaded_is_served(self):
        """After a power loss of all hosts, a caller retries while the processes are starting.

        If it were refused, it would spend its only retry on a host in the same state. Its
        connection must wait on the early socket until settings and endpoints are known.
        """

        async def run():
            async with open_harness(route(), start=False) as harness:
                await harness.add_endpoint("e1")
                early = open_listener(("127.0.0.1", 0))
                reader, writer = await asyncio.open_connection(*early.getsockname())
                writer.write(harness.request_bytes())
                await harness.start_entry(early)
                return (await read_answer(reader))[0]

        assert anyio.run(run) == 200

    def test_caller_gets_retry_after_when_the_store_is_unavailable_at_startup(self):
        """A process starts while the store is unavailable.

        Its callers must get 503 with Retry-After soon, not only at their deadline.
        """

        async def run():
            async with open_harness(route(), start=False) as harness:
                harness.store.faults.silent = True
                early = open_listener(("127.0.0.1", 0))
                reader, writer = await asyncio.open_connection(*early.getsockname())
                writer.write(harness.request_bytes())
                with anyio.move_on_after(0.8):
                    await harness.start_entry(early)
                status, head, _, _ = await read_answer(reader)
                return status, "retry-after" in head

        assert anyio.run(run) == (503, True)

    def test_early_socket_at_another_address_is_not_used(self):
        async def run():
            async with open_harness(route()) as harness:
                early = open_listener(("127.0.0.1", 0))
                host = attrs.evolve(harness.host, callers=("127.0.0.1", 0), probes=("127.0.0.1", 0))
                second = EntryProcess(host, EntryEventLog("entry-2", "a", harness.lines), early)
                harness.group.start_soon(second.run)
                await anyio.sleep(0.3)
                return early.fileno()

        assert anyio.run(run) == -1

    def test_address_in_use_raises_start_error(self):
        async def run():
            async with open_harness(route()) as harness:
                second = EntryProcess(harness.host, EntryEventLog("entry-2", "a", harness.lines))
                await second.run()

        with pytest.raises(BaseException) as caught:  # noqa: PT011 - inside exception groups
            anyio.run(run)

        assert "expected a free address" in _all_messages(caught.value)


def _all_messages(error):
    inner = getattr(error, "exceptions", ())
    return str(error) + "".join(_all_messages(one) for one in inner)
