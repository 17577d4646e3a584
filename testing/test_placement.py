import pytest

from beryljunction.systems import EndpointSelector, PlacementQuery, chat_key_of
from beryljunction.tables import Endpoint, EndpointState, EndpointTable


def endpoint_table(count: int, service: str = "drafter") -> EndpointTable:
    return EndpointTable(
        Endpoint(f"{service}-{i}", service, f"zone-{i % 2}", f"127.0.0.1:{9000 + i}")
        for i in range(count)
    )


class TestPlacement:
    def test_losing_an_endpoint_moves_only_its_own_chats(self):
        table = endpoint_table(9)
        placement = EndpointSelector(table)
        queries = [PlacementQuery("drafter", chat_key_of("a", str(i))) for i in range(500)]
        before = [placement.candidates(query, 0.0)[0].endpoint_id for query in queries]

        table.remove("drafter-4")

        after = [placement.candidates(query, 0.0)[0].endpoint_id for query in queries]
        moved = {b for b, a in zip(before, after, strict=True) if a != b}
        assert moved == {"drafter-4"}

    @pytest.mark.parametrize("weight", [0.5, 2.0, 3.0], ids=["half", "double", "triple"])
    def test_share_of_chats_follows_the_weight(self, weight):
        table = endpoint_table(4)
        table.get("drafter-0").weight = weight
        placement = EndpointSelector(table)

        homes = [
            placement.candidates(PlacementQuery("drafter", chat_key_of("a", str(i))), 0.0)[0]
            for i in range(4000)
        ]

        share = sum(row.endpoint_id == "drafter-0" for row in homes) / len(homes)
        assert share == pytest.approx(weight / (weight + 3), rel=0.1)

    def test_leaving_endpoint_gets_no_new_work(self):
        table = endpoint_table(3)
        table.get("drafter-1").state = EndpointState.LEAVING

        rows = EndpointSelector(table).candidates(PlacementQuery("drafter", 7), 0.0)

        assert sorted(row.endpoint_id for row in rows) == ["drafter-0", "drafter-2"]

    def test_suspect_is_tried_last_until_the_suspicion_ends(self):
        table = endpoint_table(3)
        placement = EndpointSelector(table)
        query = PlacementQuery("drafter", 7)
        home = placement.candidates(query, 0.0)[0]

        home.suspect_until_s = 5.0

        assert placement.candidates(query, 1.0)[-1] is home
        assert placement.candidates(query, 6.0)[0] is home

    def test_endpoints_in_other_regions_are_tried_last(self):
        # When the link between two regions is lost for an hour, callers must still reach the
        # endpoints of their chats. So the home of a chat must be in the caller's region.
        table = endpoint_table(8)
        for number, row in enumerate(table):
            row.region = "gj-west" if number < 3 else "prairies"
        placement = EndpointSelector(table, region="gj-west")

        for chat in range(50):
            rows = placement.candidates(PlacementQuery("drafter", chat), 0.0)
            assert [row.region for row in rows] == ["gj-west"] * 3 + ["prairies"] * 5

    def test_change_in_another_region_moves_no_chat(self):
        table = endpoint_table(8)
        for number, row in enumerate(table):
            row.region = "gj-west" if number < 3 else "prairies"
        placement = EndpointSelector(table, region="gj-west")
        queries = [PlacementQuery("drafter", chat) for chat in range(200)]
        before = [placement.candidates(query, 0.0)[0].endpoint_id for query in queries]

        for number in range(3, 8):
            table.remove(f"drafter-{number}")

        after = [placement.candidates(query, 0.0)[0].endpoint_id for query in queries]
        assert after == before
