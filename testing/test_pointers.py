from beryljunction.systems import ChatDirectory, EndpointSelector, PlacementQuery
from beryljunction.tables import ChatTable, Endpoint, EndpointTable


class TestPointers:
    def test_life_is_extended_by_lookups(self):
        pointers = ChatDirectory("e0", life_s=10.0)
        pointers.record_location(7, "e1", 100, 0.0)

        assert pointers.look_up(7, 8.0).endpoint_id == "e1"
        assert pointers.look_up(7, 16.0).endpoint_id == "e1"
        assert pointers.look_up(7, 27.0) is None

    def test_least_recently_used_is_evicted_first(self):
        pointers = ChatDirectory("e0", chats=ChatTable(capacity=2))
        for chat in (1, 2, 3):
            pointers.record_location(chat, "e0", 100, 0.0)
            pointers.look_up(1, 0.0)

        assert [pointers.cached_tokens(chat, 0.0) for chat in (1, 2, 3)] == [100, 0, 100]


class TestCacheEvents:
    def test_eviction_drops_only_pointers_to_this_endpoint(self):
        pointers = ChatDirectory("e0")
        pointers.record_location(1, "e0", 100, 0.0)
        pointers.record_location(2, "e1", 100, 0.0)

        pointers.apply_eviction(1, [1, 2])

        assert pointers.look_up(1, 0.0) is None
        assert pointers.look_up(2, 0.0).endpoint_id == "e1"

    def test_event_after_a_gap_is_applied_and_a_late_one_ignored(self):
        # Events 2 to 4 are missing when event 5 arrives, and event 3 arrives after it. The chat of
        # event 3 has run again since, so dropping it would needlessly move its next request.
        pointers = ChatDirectory("e0")
        for chat in (1, 2):
            pointers.record_location(chat, "e0", 100, 0.0)

        pointers.apply_eviction(5, [1])
        pointers.apply_eviction(3, [2])

        assert pointers.cached_tokens(1, 0.0) == 0
        assert pointers.cached_tokens(2, 0.0) == 100


class TestPreviousHome:
    def test_is_the_next_in_order_while_the_home_is_young(self):
        table = EndpointTable(Endpoint(f"e{i}", "drafter", "z", "") for i in range(4))
        placement = EndpointSelector(table)
        rows = placement.candidates(PlacementQuery("drafter", 7), 0.0)

        assert placement.previous_home(rows, 100.0) is None
        rows[0].joined_s = 90.0
        assert placement.previous_home(rows, 100.0) is rows[1]
        assert placement.previous_home(rows, 151.0) is None
