import anyio
import pytest

from beryljunction.servers import Server, bind_listener, create_client_pool
from beryljunction.standins import LogModel, LogModelSettings, LogStandIn
from beryljunction.stores import (
    Appended,
    AppendRefused,
    AppendUnknown,
    HttpLogClient,
    ReadFailed,
)


class TestLogModel:
    def test_offsets_increase_by_one_in_each_stream(self):
        log = LogModel()

        offsets = [log.append(stream, "id", {}, 0.0) for stream in ("a", "a", "b")]

        assert offsets == [Appended(1), Appended(2), Appended(1)]

    def test_old_records_are_dropped_and_first_offset_advances(self):
        log = LogModel(LogModelSettings(retention_s=10.0))
        log.append("a", "old", {}, 0.0)
        log.append("a", "new", {}, 8.0)

        page = log.read("a", 0, 10, 11.0)

        assert [record.record_id for record in page.records] == ["new"]
        assert (page.first_offset, page.next_offset) == (2, 3)

    def test_appends_above_the_rate_are_refused_without_effect(self):
        log = LogModel(LogModelSettings(appends_per_s=2.0))

        outcomes = [log.append("a", str(i), {}, 0.0) for i in range(3)]

        assert isinstance(outcomes[-1], AppendRefused)
        assert log.read("a", 0, 10, 0.0).next_offset == 3

    @pytest.mark.parametrize(
        ("settings", "records"),
        [
            (LogModelSettings(lost_answer_ratio=1.0), 1),
            (LogModelSettings(lost_append_ratio=1.0), 0),
        ],
        ids=["after-effect", "before-effect"],
    )
    def test_lost_response_is_unknown_whether_or_not_it_was_appended(self, settings, records):
        log = LogModel(settings)

        outcome = log.append("a", "id", {}, 0.0)

        assert isinstance(outcome, AppendUnknown)
        assert len(log.read("a", 0, 10, 0.0).records) == records


class TestHttpLogClient:
    def test_reads_appended_records_and_returns_outages_as_values(self):
        async def run():
            stand_in = LogStandIn()
            server = Server(stand_in, bind_listener("127.0.0.1:0"))
            async with anyio.create_task_group() as group, create_client_pool() as pool:
                await group.start(server.serve_until_stopped)
                client = HttpLogClient(f"http://{server.address}", pool)
                appended = await client.append("settings", "x", {"a": [1]})
                page = await client.read("settings", 0)
                stand_in.model.down = True
                failed = await client.read("settings", 0)
                unknown = await client.append("settings", "y", {})
                group.cancel_scope.cancel()
            return appended, page, failed, unknown

        appended, page, failed, unknown = anyio.run(run)

        assert appended == Appended(1)
        assert page.records[0].data == {"a": [1]}
        assert isinstance(failed, ReadFailed)
        assert isinstance(unknown, AppendUnknown)
