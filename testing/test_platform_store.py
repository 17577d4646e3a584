import time

import anyio
import pytest

from beryljunction.gateway.events import EntryEventLog
from beryljunction.gateway.state import EntryState
from beryljunction.gateway.topic_reader import TopicReader
from beryljunction.platform import (
    ENDPOINT_RECORDS,
    DeploymentBounds,
    Expired,
    HostSettings,
    HttpStore,
    NewestRecords,
    Records,
    WriteOutcome,
)
from beryljunction.platform.store import Unavailable
from beryljunction.servers import Server, bind_listener
from beryljunction.standins import PlatformStoreModel, PlatformStoreStandIn
from entry_harness import CapturedLog
from stalls import run_with_stall

TOPIC = "keyed.servers"


def run_scenario(scenario, model=None):
    """Run a test scenario against the stand-in over HTTP and return its result."""

    async def run():
        async with anyio.create_task_group() as group:
            stand_in = PlatformStoreStandIn(model)
            server = Server(stand_in, bind_listener("127.0.0.1:0"))
            await group.start(server.serve_until_stopped)
            address = ("127.0.0.1", int(server.address.rpartition(":")[2]))
            async with HttpStore(address) as store:
                result = await scenario(store, stand_in)
            group.cancel_scope.cancel()
            return result

    return anyio.run(run)


class TestStall:
    """Guards against taking a stall of this process for an outage of the store."""

    @pytest.mark.parametrize("passes", [1, 2, 3, 4, 5, 6, 8, 12])
    def test_read_is_answered(self, passes):
        async def scenario(store, stand_in):
            return await run_with_stall(store.read(ENDPOINT_RECORDS, 0, 0), 1.5, passes=passes)

        assert isinstance(run_scenario(scenario), Records)

    @pytest.mark.parametrize("passes", [1, 4, 6])
    def test_write_is_answered(self, passes):
        async def scenario(store, stand_in):
            return await run_with_stall(store.put(ENDPOINT_RECORDS, "a", b"1"), 1.5, passes=passes)

        assert run_scenario(scenario) is WriteOutcome.DONE

    @pytest.mark.parametrize("passes", [1, 4, 6])
    def test_reader_with_a_short_timeout_gets_its_answer(self, passes):
        host = HostSettings("entry-1", "a", "r", ("", 0), ("", 0), ("", 0), DeploymentBounds())

        async def scenario(store, stand_in):
            def ignore(records):
                pass

            state = EntryState(host, EntryEventLog("entry-1", "a", CapturedLog()))
            reader = TopicReader(store, state, ENDPOINT_RECORDS)
            await reader.read_once(0, ignore, ignore)
            return await run_with_stall(
                reader.read_once(0, ignore, ignore, 0.4), 1.5, passes=passes
            )

        assert run_scenario(scenario)


class TestHttpStore:
    def test_read_returns_records_in_order_and_an_empty_value_removes_a_key(self):
        async def scenario(store, stand_in):
            stand_in.model.put(TOPIC, "a", b"1", time.monotonic())
            stand_in.model.put(TOPIC, "a", None, time.monotonic())
            return await store.read(ENDPOINT_RECORDS, 0, 0)

        answer = run_scenario(scenario)

        assert isinstance(answer, Records)
        assert [(row.key, row.value) for row in answer.records] == [("a", b"1"), ("a", None)]
        assert answer.next_position == 2

    def test_position_past_the_end_is_expired(self):
        """A wrong position from another entry must not make an entry wait there forever."""

        async def scenario(store, stand_in):
            stand_in.model.put(TOPIC, "a", b"1", time.monotonic())
            return await store.read(ENDPOINT_RECORDS, 99, 0)

        assert run_scenario(scenario) == Expired()

    def test_waiting_read_returns_at_the_first_record(self):
        async def scenario(store, stand_in):
            async def write():
                await anyio.sleep(0.2)
                stand_in.model.put(TOPIC, "a", b"1", time.monotonic())

            begun_s = anyio.current_time()
            async with anyio.create_task_group() as group:
                group.start_soon(write)
                answer = await store.read(ENDPOINT_RECORDS, 0, 5_000)
            return len(answer.records), anyio.current_time() - begun_s

        count, took_s = run_scenario(scenario)

        assert count == 1
        assert 0.15 < took_s < 1.0

    def test_newest_reads_all_pages(self):
        async def scenario(store, stand_in):
            for number in range(1_203):
                stand_in.model.put(TOPIC, f"e{number:04}", b"1", time.monotonic())
            stand_in.model.put(TOPIC, "e0007", None, time.monotonic())
            return await store.read_newest(ENDPOINT_RECORDS), stand_in.calls["log-newest"]

        answer, calls = run_scenario(scenario)

        assert isinstance(answer, NewestRecords)
        assert len(answer.records) == 1_202
        assert answer.next_position == 1_204
        assert calls == 3

    def test_read_of_compacted_records_returns_expired(self):
        async def scenario(store, stand_in):
            stand_in.model.put(TOPIC, "a", b"1", time.monotonic())
            stand_in.model.compact(TOPIC)
            return await store.read(ENDPOINT_RECORDS, 0, 0)

        assert isinstance(run_scenario(scenario), Expired)

    @pytest.mark.parametrize("fault", ["busy", "silent", "lost"])
    def test_failed_call_returns_unavailable_and_the_next_one_works(self, fault):
        """After a lost response, a connection stays silent, so the client must open a new one."""

        async def scenario(store, stand_in):
            if fault == "lost":
                stand_in.faults.lost_ratio = 1.0
            else:
                setattr(stand_in.faults, fault, True)
            failed = await store.read(ENDPOINT_RECORDS, 0, 0)
            stand_in.faults.lost_ratio = 0.0
            stand_in.faults.busy = stand_in.faults.silent = False
            return failed, await store.read(ENDPOINT_RECORDS, 0, 0)

        failed, again = run_scenario(scenario)

        assert isinstance(failed, Unavailable)
        assert isinstance(again, Records)

    @pytest.mark.parametrize("key", ["", "x" * 256, "\xe9" * 128, "\ud800"])
    def test_key_that_the_store_cannot_take_is_refused_before_it_is_sent(self, key):
        """Guards against the end of every entry at the long name of a service."""

        async def scenario(store, stand_in):
            outcome = await store.put(ENDPOINT_RECORDS, key, b"1")
            return outcome, stand_in.calls["log-append"]

        assert run_scenario(scenario) == (WriteOutcome.NOT_DONE, 0)

    def test_longest_key_is_written(self):
        async def scenario(store, stand_in):
            outcome = await store.put(ENDPOINT_RECORDS, "x" * 255, b"1")
            return outcome, (await store.read_newest(ENDPOINT_RECORDS)).records[0].key

        assert run_scenario(scenario) == (WriteOutcome.DONE, "x" * 255)

    @pytest.mark.parametrize("suffix", ["&part=1", "#", "%", "a b", "+", "\xe9", "\r\n", "\u2028"])
    def test_pages_go_on_after_a_key_of_any_form(self, suffix):
        """Guards against a list that ends, or an entry that does, at such a key of another."""

        async def scenario(store, stand_in):
            for number in range(501):
                name = f"e{number:04}" + (suffix if number == 499 else "")
                stand_in.model.put(TOPIC, name, b"1", time.monotonic())
            with anyio.move_on_after(5.0):
                return await store.read_newest(ENDPOINT_RECORDS)

        answer = run_scenario(scenario)

        assert isinstance(answer, NewestRecords)
        assert len({row.key for row in answer.records}) == len(answer.records) == 501

    def test_pages_without_end_are_no_answer(self):
        """Guards against an entry whose memory a store fills with one page."""

        async def answer(stream):
            page = b'{"items":[{"key":"a","value":"MQ=="}],"end":1,"has-more":true}'
            head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(page)
            async with stream:
                while await stream.receive():
                    await stream.send(head + page)

        async def run():
            async with anyio.create_task_group() as group:
                listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
                group.start_soon(listener.serve, answer)
                address = listener.extra(anyio.abc.SocketAttribute.local_address)
                async with HttpStore(address) as store:
                    with anyio.move_on_after(2.0):
                        result = await store.read_newest(ENDPOINT_RECORDS)
                        group.cancel_scope.cancel()
                        return result

        assert isinstance(anyio.run(run), Unavailable)

    @pytest.mark.parametrize(
        "data",
        [
            b"\xff" * 100,
            b"HTTP/1.1 999999 OK\r\n\r\n",
            b"HTTP/1.1 200 OK\r\ncontent-length: " + b"9" * 400 + b"\r\n\r\n",
            b"HTTP/1.1 200 OK\r\ncontent-length: 40\r\n\r\n" + b"\xff" * 40,
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + b"f" * 30 + b"\r\n",
            b"HTTP/1.1 200 OK\r\nstore-era: " + b"9" * 400 + b"\r\ncontent-length: 1\r\n\r\n1",
            b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 30_000,
        ],
        ids=["bytes", "status", "length", "offset", "chunk", "era", "headers"],
    )
    def test_answer_of_any_form_is_no_answer(self, data):
        """Guards against the end of every entry at one answer of the store."""

        async def answer(stream):
            async with stream:
                await stream.receive()
                await stream.send(data)

        async def run():
            async with anyio.create_task_group() as group:
                listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
                group.start_soon(listener.serve, answer)
                address = listener.extra(anyio.abc.SocketAttribute.local_address)
                async with HttpStore(address) as store:
                    answers = [
                        await store.read(ENDPOINT_RECORDS, 5, 0),
                        await store.read_newest(ENDPOINT_RECORDS),
                    ]
                    written = await store.put(ENDPOINT_RECORDS, "a", b"1")
                group.cancel_scope.cancel()
                return answers, written

        answers, written = anyio.run(run)

        assert all(isinstance(row, Unavailable) for row in answers)
        assert isinstance(written, WriteOutcome)


class TestPlatformStoreModel:
    def test_old_records_expire_except_the_newest_of_each_key(self):
        model = PlatformStoreModel(retention_s=10.0)
        model.put(TOPIC, "a", b"1", 0.0)
        model.put(TOPIC, "b", b"1", 8.0)

        rows, has_more, end = model.newest(TOPIC, "", 11.0)

        assert [key for key, _, _ in rows] == ["a", "b"]
        assert (has_more, end) == (False, 2)
        assert model.read(TOPIC, 0, 11.0).first == 1

    def test_append_at_another_offset_than_the_end_does_nothing(self):
        model = PlatformStoreModel()

        assert model.append("own", [b"x"], 0.0, at=1) is None
        assert model.append("own", [b"x", b"y"], 0.0, at=0) == 0
        assert model.read("own", 0, 0.0).end == 2

    def test_is_receiving_from_the_first_to_the_last_byte_of_a_response(self):
        """A read of large settings takes a while on a slow link.

        A second read would fetch the same records, so callers check whether a response is arriving.
        A read that only waits does not count, nor does one whose connection broke.
        """
        send_first_half, send_second_half = anyio.Event(), anyio.Event()
        seen = []

        async def answer(stream):
            async with stream:
                await stream.receive()
                await send_first_half.wait()
                await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + bytes(8))
                await send_second_half.wait()

        async def run():
            async with anyio.create_task_group() as group:
                listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
                group.start_soon(listener.serve, answer)
                address = listener.extra(anyio.abc.SocketAttribute.local_address)
                async with HttpStore(address) as store, anyio.create_task_group() as reading:
                    reading.start_soon(store.read, ENDPOINT_RECORDS, 0, 1_000)
                    for event in (send_first_half, send_second_half, None):
                        await anyio.sleep(0.1)
                        seen.append(store.is_receiving(ENDPOINT_RECORDS))
                        if event is not None:
                            event.set()
                group.cancel_scope.cancel()

        anyio.run(run)

        assert seen == [False, True, False]
