import time

import anyio
import pytest

from beryljunction.platform import ENDPOINT_RECORDS, Expired, HttpStore, Newest, Records
from beryljunction.platform.store import Unavailable
from beryljunction.servers import Server, bind
from beryljunction.standins import PlatformStoreModel, PlatformStoreStandIn

TOPIC = "keyed.servers"


def played(play, model=None):
    """Run a play against the stand-in over HTTP."""

    async def run():
        async with anyio.create_task_group() as group:
            stand_in = PlatformStoreStandIn(model)
            server = Server(stand_in, bind("127.0.0.1:0"))
            await group.start(server.run_until_stopped)
            address = ("127.0.0.1", int(server.address.rpartition(":")[2]))
            async with HttpStore(address) as store:
                result = await play(store, stand_in)
            group.cancel_scope.cancel()
            return result

    return anyio.run(run)


class TestHttpStore:
    def test_records_come_back_in_order_and_a_missing_value_removes_a_key(self):
        async def play(store, stand_in):
            stand_in.model.put(TOPIC, "a", b"1", time.monotonic())
            stand_in.model.put(TOPIC, "a", None, time.monotonic())
            return await store.read(ENDPOINT_RECORDS, 0, 0)

        answer = played(play)

        assert isinstance(answer, Records)
        assert [(row.key, row.value) for row in answer.records] == [("a", b"1"), ("a", None)]
        assert answer.next_offset == 2

    def test_position_behind_the_end_is_one_to_start_anew_from(self):
        """An entry was told a position by another one that never was; it would wait there."""

        async def play(store, stand_in):
            stand_in.model.put(TOPIC, "a", b"1", time.monotonic())
            return await store.read(ENDPOINT_RECORDS, 99, 0)

        assert played(play) == Expired()

    def test_waiting_read_returns_at_the_first_record(self):
        async def play(store, stand_in):
            async def write():
                await anyio.sleep(0.2)
                stand_in.model.put(TOPIC, "a", b"1", time.monotonic())

            begun_s = anyio.current_time()
            async with anyio.create_task_group() as group:
                group.start_soon(write)
                answer = await store.read(ENDPOINT_RECORDS, 0, 5_000)
            return len(answer.records), anyio.current_time() - begun_s

        count, took_s = played(play)

        assert count == 1
        assert 0.15 < took_s < 1.0

    def test_newest_records_come_over_all_pages(self):
        async def play(store, stand_in):
            for number in range(1_203):
                stand_in.model.put(TOPIC, f"e{number:04}", b"1", time.monotonic())
            stand_in.model.put(TOPIC, "e0007", None, time.monotonic())
            return await store.newest(ENDPOINT_RECORDS), stand_in.calls["log-newest"]

        answer, calls = played(play)

        assert isinstance(answer, Newest)
        assert len(answer.records) == 1_202
        assert answer.next_offset == 1_204
        assert calls == 3

    def test_expired_history_is_a_value(self):
        async def play(store, stand_in):
            stand_in.model.put(TOPIC, "a", b"1", time.monotonic())
            stand_in.model.compact(TOPIC)
            return await store.read(ENDPOINT_RECORDS, 0, 0)

        assert isinstance(played(play), Expired)

    @pytest.mark.parametrize("fault", ["busy", "silent", "lost"])
    def test_failed_call_is_a_value_and_the_next_one_works(self, fault):
        """A connection on which an answer was lost gives nothing more; new ones work."""

        async def play(store, stand_in):
            if fault == "lost":
                stand_in.faults.lost_ratio = 1.0
            else:
                setattr(stand_in.faults, fault, True)
            failed = await store.read(ENDPOINT_RECORDS, 0, 0)
            stand_in.faults.lost_ratio = 0.0
            stand_in.faults.busy = stand_in.faults.silent = False
            return failed, await store.read(ENDPOINT_RECORDS, 0, 0)

        failed, again = played(play)

        assert isinstance(failed, Unavailable)
        assert isinstance(again, Records)


class TestPlatformStoreModel:
    def test_old_records_expire_and_the_newest_of_a_key_stays(self):
        model = PlatformStoreModel(retention_s=10.0)
        model.put(TOPIC, "a", b"1", 0.0)
        model.put(TOPIC, "b", b"1", 8.0)

        rows, has_more, end = model.newest(TOPIC, "", 11.0)

        assert [key for key, _, _ in rows] == ["a", "b"]
        assert (has_more, end) == (False, 2)
        assert model.read(TOPIC, 0, 11.0).first == 1

    def test_append_at_another_end_does_nothing(self):
        model = PlatformStoreModel()

        assert model.append("own", [b"x"], 0.0, at=1) is None
        assert model.append("own", [b"x", b"y"], 0.0, at=0) == 0
        assert model.read("own", 0, 0.0).end == 2

    def test_answer_that_has_begun_is_receiving_until_it_ends(self):
        """A read of large settings goes on for a while on a thin link.

        A second read beside it would fetch the same, so who wants to read can see that it is on its
        way. A read that only waits does not count, and one that breaks off no longer does.
        """
        begin, go_on = anyio.Event(), anyio.Event()
        seen = []

        async def answer(stream):
            async with stream:
                await stream.receive()
                await begin.wait()
                await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + bytes(8))
                await go_on.wait()

        async def run():
            async with anyio.create_task_group() as group:
                listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
                group.start_soon(listener.serve, answer)
                address = listener.extra(anyio.abc.SocketAttribute.local_address)
                async with HttpStore(address) as store, anyio.create_task_group() as reading:
                    reading.start_soon(store.read, ENDPOINT_RECORDS, 0, 1_000)
                    for event in (begin, go_on, None):
                        await anyio.sleep(0.1)
                        seen.append(store.is_receiving(ENDPOINT_RECORDS))
                        if event is not None:
                            event.set()
                group.cancel_scope.cancel()

        anyio.run(run)

        assert seen == [False, True, False]
