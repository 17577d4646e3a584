import asyncio

import anyio
import attrs
import pytest

from beryljunction.gateway.events import Events
from beryljunction.gateway.process import EntryProcess
from beryljunction.listening import open_listener
from beryljunction.platform import HostBounds
from platform_world import event, open_world, read_answer, route

READY = b"GET /ready HTTP/1.1\r\n\r\n"
STREAM = {"kind": "streaming", "timeout-ms": 9_000}


async def slow(answer, writer, number):
    await asyncio.sleep(0.5)
    writer.write(answer.whole())


class TestReadiness:
    def test_not_ready_before_settings_were_read(self):
        async def run():
            async with open_world(start=False) as world:
                with anyio.move_on_after(1.0) as scope:
                    await world.start_entry()
                return scope.cancelled_caught

        assert anyio.run(run)

    def test_ready_again_after_an_outage_at_the_start(self):
        """All hosts start while the store is away.

        A process that said it was ready would refuse every caller; it says so when it can serve.
        """

        async def run():
            async with open_world(route(), start=False) as world:
                world.store.faults.busy = True
                with anyio.move_on_after(1.0) as early:
                    await world.start_entry()
                world.store.faults.busy = False
                await world.until(world.is_ready, 3.0)
                await world.add_endpoint("e1")
                await world.known(1)
                return early.cancelled_caught, (await world.ask())[0]

        assert anyio.run(run) == (True, 200)


class TestStop:
    def test_request_in_flight_and_new_ones_are_served_until_the_balancer_knows(self):
        """The platform asks a process to stop while a caller waits for its answer.

        The process is not ready from then on, but the balancer takes two misses to see that. Who
        comes meanwhile is served, and its connection is closed after its answer.
        """

        async def run():
            async with open_world(route()) as world:
                await world.add_endpoint("e1", script=slow)
                await world.known(1)
                reader, writer = await world.connect()
                writer.write(world.message())
                await anyio.sleep(0.1)
                world.entry.stop()
                await anyio.sleep(0.05)
                ready = (await world.send_to(world.host.probes, READY))[0]
                under_way = await read_answer(reader)
                late = await world.ask(request_id="q2")
                return ready, under_way, late

        ready, under_way, late = anyio.run(run)

        assert ready == 503
        assert (under_way[0], late[0]) == (200, 200)
        assert "connection: close" in under_way[1]
        assert "connection: close" in late[1]

    def test_stream_ends_whole_within_the_grace_period(self):
        async def trickle(answer, writer, number):
            writer.write(answer.stream_head())
            for position in range(1, 9):
                writer.write(answer.chunk(event(position)))
                await asyncio.sleep(0.5)
            writer.write(b"0\r\n\r\n")

        async def run():
            async with open_world(route("/s/", **STREAM)) as world:
                await world.add_endpoint("e1", script=trickle)
                await world.known(1)
                async with anyio.create_task_group() as group:
                    answers = []

                    async def ask():
                        data = world.message("/s/").replace(b": 2000", b": 9000")
                        answers.append(await world.send_to(world.host.callers, data))

                    group.start_soon(ask)
                    await anyio.sleep(0.3)
                    world.entry.stop()
                return answers[0]

        _, _, body, whole = anyio.run(run)

        assert whole
        assert body.count(b"data:") == 8

    def test_idle_connection_is_closed_between_requests_and_the_process_ends(self):
        async def run():
            async with open_world(route()) as world:
                await world.add_endpoint("e1")
                await world.known(1)
                reader, writer = await world.connect()
                writer.write(world.message())
                await read_answer(reader)
                world.entry.stop()
                with anyio.fail_after(4.0):
                    assert await reader.read() == b""
                await world.until(lambda: _stopped(world), 4.0)
                return True

        assert anyio.run(run)

    def test_stops_in_a_row_and_a_change_of_settings_cut_nothing(self):
        """The platform asks three times to stop while the settings change and a caller waits.

        The caller has its answer by the settings under which it was sent; a caller that comes after
        the change is served by the new ones; the second and third stop change nothing.
        """

        async def run():
            async with open_world(route()) as world:
                await world.add_endpoint("e1", script=slow)
                await world.known(1)
                reader, writer = await world.connect()
                writer.write(world.message())
                await anyio.sleep(0.1)
                world.entry.stop()
                world.configure(route("/new/"))
                world.entry.stop()
                await anyio.sleep(0.2)
                world.entry.stop()
                late = (await world.ask(path="/new/", request_id="q2"))[0]
                gone = (await world.ask(request_id="q3"))[0]
                return (await read_answer(reader))[0], late, gone

        assert anyio.run(run) == (200, 200, 404)

    def test_stop_is_over_before_the_kill(self):
        """A caller's request outlasts the grace period of 2 s.

        The process ends a little before it would be killed, so that it can say what it cut.
        """

        async def hang(answer, writer, number):
            await asyncio.sleep(30)

        async def run():
            bounds = HostBounds(grace_s=3.4)
            async with open_world(route(**{"timeout-ms": 20_000}), bounds=bounds) as world:
                await world.add_endpoint("e1", script=hang)
                await world.known(1)
                _, writer = await world.connect()
                writer.write(world.message(headers=()).replace(b": 2000", b": 20000"))
                await anyio.sleep(0.1)
                begun_s = anyio.current_time()
                world.entry.stop()
                await world.until(lambda: _stopped(world), 6.0)
                return anyio.current_time() - begun_s, world.lines.of("cut")

        took_s, cut = anyio.run(run)

        assert took_s < 3.4
        assert len(cut) == 1


async def _stopped(world):
    return bool(world.lines.of("stopped"))


class TestReload:
    def test_bounds_of_a_changed_file_are_in_force_and_a_bad_file_changes_nothing(
        self, tmp_path, monkeypatch
    ):
        """The platform writes the file anew, once well and once not.

        A process that took a bad file for empty bounds would honour keys for longer than allowed.
        """
        path = tmp_path / "node.toml"
        monkeypatch.setenv("BERYLJUNCTION_CONFIG", str(path))

        async def run():
            async with open_world(route()) as world:
                path.write_text(FILE)
                world.entry.reload()
                good_s = world.entry._state.lease.revocation_s
                path.write_text(FILE.replace("2500", '"soon"'))
                world.entry.reload()
                kept_s = world.entry._state.lease.revocation_s
                return good_s, kept_s, world.lines.of("reload_refused")

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
    def test_another_start_serves_within_a_second(self):
        """An entry is killed; its next start knows nothing and reads all it needs."""

        async def run():
            async with open_world(route()) as world:
                await world.add_endpoint("e1")
                await world.known(1)
                begun_s = anyio.current_time()
                await world.start_entry()
                await world.known(1)
                status = (await world.ask())[0]
                return status, anyio.current_time() - begun_s

        status, took_s = anyio.run(run)

        assert status == 200
        assert took_s < 1.0


class TestStart:
    def test_caller_who_came_before_the_process_was_loaded_is_served(self):
        """All hosts lose power, and a caller tries again while the processes are starting.

        Refused, it would spend its one retry at a host in the same state. Its connection waits on
        the socket that was opened first, and is taken once the settings and endpoints are known.
        """

        async def run():
            async with open_world(route(), start=False) as world:
                await world.add_endpoint("e1")
                early = open_listener(("127.0.0.1", 0))
                reader, writer = await asyncio.open_connection(*early.getsockname())
                writer.write(world.message())
                await world.start_entry(early)
                return (await read_answer(reader))[0]

        assert anyio.run(run) == 200

    def test_caller_is_told_to_come_back_when_the_store_is_away_at_the_start(self):
        """A process starts while the store is away.

        Its callers hear so soon, and don't wait for their deadline.
        """

        async def run():
            async with open_world(route(), start=False) as world:
                world.store.faults.silent = True
                early = open_listener(("127.0.0.1", 0))
                reader, writer = await asyncio.open_connection(*early.getsockname())
                writer.write(world.message())
                with anyio.move_on_after(0.8):
                    await world.start_entry(early)
                status, head, _, _ = await read_answer(reader)
                return status, "retry-after" in head

        assert anyio.run(run) == (503, True)

    def test_early_socket_at_another_address_is_not_used(self):
        async def run():
            async with open_world(route()) as world:
                early = open_listener(("127.0.0.1", 0))
                host = attrs.evolve(world.host, callers=("127.0.0.1", 0), probes=("127.0.0.1", 0))
                second = EntryProcess(host, Events("entry-2", "a", world.lines), early)
                world.group.start_soon(second.run)
                await anyio.sleep(0.3)
                return early.fileno()

        assert anyio.run(run) == -1

    def test_address_in_use_is_a_clear_error(self):
        async def run():
            async with open_world(route()) as world:
                second = EntryProcess(world.host, Events("entry-2", "a", world.lines))
                await second.run()

        with pytest.raises(BaseException) as caught:  # noqa: PT011 - inside exception groups
            anyio.run(run)

        assert "expected a free address" in _texts(caught.value)


def _texts(error):
    inner = getattr(error, "exceptions", ())
    return str(error) + "".join(_texts(one) for one in inner)
