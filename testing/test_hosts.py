import anyio
import attrs
import pytest

from beryljunction.errors import PlatformUnavailableError
from beryljunction.servers import Server, bind_listener, create_client_pool
from beryljunction.standins import HostListFaults, HostListModel, HostListStandIn
from beryljunction.stores import HostRow, HttpHostList

ROW = HostRow("host-a", "drafter-0", "drafter", "ahd-a", "gj-west", "127.0.0.1:1")


def model_with_rows(count):
    model = HostListModel(kept_changes=4)
    for i in range(count):
        model.put(attrs.evolve(ROW, endpoint_id=f"drafter-{i}"), now_s=float(i))
    return model


class TestHostListModel:
    def test_reader_gets_only_the_changes(self):
        model = model_with_rows(2)
        model.remove("drafter-0", now_s=2.0)

        changes = model.changes(after=1, shown_s=9.0)

        assert [row.key for row in changes.rows] == ["drafter-1"]
        assert (changes.gone, changes.full, changes.version) == (("drafter-0",), False, 3)

    def test_change_is_not_shown_before_the_lag_has_passed(self):
        changes = model_with_rows(3).changes(after=0, shown_s=1.0)

        assert [row.key for row in changes.rows] == ["drafter-0", "drafter-1"]
        assert changes.version == 2

    @pytest.mark.parametrize("after", [0, 99], ids=["far-behind", "ahead-of-a-new-list"])
    def test_reader_that_the_history_cannot_serve_gets_the_whole_list(self, after):
        changes = model_with_rows(8).changes(after=after, shown_s=99.0)

        assert changes.full
        assert len(changes.rows) == 8


class TestHttpHostList:
    def test_reads_rows_over_http_and_reports_an_outage(self):
        async def run():
            standin = HostListStandIn()
            async with anyio.create_task_group() as group, create_client_pool() as pool:
                server = Server(standin, bind_listener("127.0.0.1:0"))
                await group.start(server.serve_until_stopped)
                hosts = HttpHostList(pool, f"http://{server.address}")
                standin.put(ROW)
                changes = await hosts.fetch_changes(0, 5.0)
                standin.faults = HostListFaults(outage=True)
                with pytest.raises(PlatformUnavailableError, match="503"):
                    await hosts.fetch_changes(changes.version, 0.0)
                group.cancel_scope.cancel()
                return changes

        changes = anyio.run(run)

        assert changes.rows == (ROW,)
        assert changes.version == 1
