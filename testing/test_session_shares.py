import pytest

from beryljunction.routing.cache_aware_placement import CacheAwarePlacement
from beryljunction.routing.mechanisms import ALL_ON, Mechanisms
from beryljunction.routing.placement import PassedOverReason, PlacementRequest
from beryljunction.routing.prefix_directory import PromptParts
from beryljunction.routing.session_shares import SessionShares
from routing_fakes import known


class TestSessionShares:
    def test_share_is_that_of_the_service(self):
        shares = SessionShares()
        for n in range(10):
            shares.note("engine", "hot", 0.1 * n)
            shares.note("engine", f"s{n}", 0.1 * n)
            shares.note("other", "hot", 0.1 * n)

        assert shares.share("engine", "hot") == pytest.approx(9 / 20)
        assert shares.share("engine", "s1") == 0.0
        assert shares.share("none", "hot") == 0.0

    def test_requests_of_the_last_seconds_count(self):
        shares = SessionShares()
        for n in range(10):
            shares.note("engine", "hot", 0.1 * n)
        for n in range(10):
            shares.note("engine", f"s{n}", 4.5 + 0.1 * n)

        assert shares.share("engine", "hot") == 0.0

    def test_number_of_remembered_requests_is_bounded(self):
        """Guards against memory that grows with the rate of requests."""
        shares = SessionShares()
        for n in range(5_000):
            shares.note("engine", f"s{n}", n / 10_000)

        assert len(shares._requests) == len(shares._by_session) == 512


class TestHotSession:
    """Guards against one engine that gets all requests of a session which has much of the traffic.

    Each entry learns of the load half a second later, so all of them fill the session's home.
    """

    HOT = PlacementRequest(PromptParts(("common", "hot"), (500, 5_000), 300))

    def choices(self, requests, loads, mechanisms=ALL_ON):
        """Return the engines that the session's requests go to, with these loads at all engines."""
        placement = CacheAwarePlacement(mechanisms)
        rows = [known(f"e{n}", slots=64) for n in range(12)]
        home = placement.choose(rows, self.HOT, 0.0)
        for row in rows:
            row.in_flight = loads[1]
        home.in_flight = loads[0]
        choices = [placement.decide(rows, self.HOT, 0.01 * n) for n in range(requests)]
        return home, choices

    def test_is_spread_once_its_home_is_loaded(self):
        home, choices = self.choices(60, loads=(9, 6))
        used = {choice.endpoint.record.endpoint_id for choice in choices}

        assert len(used) > 4
        spread = next(choice for choice in choices if choice.endpoint is not home)
        assert PassedOverReason.HOT_SESSION in {row.reason for row in spread.passed_over}

    def test_stays_at_its_home_while_that_has_room(self):
        """Guards against a busy session of few callers that loses its cached prefix for nothing."""
        home, choices = self.choices(60, loads=(3, 6))

        assert {choice.endpoint for choice in choices} == {home}

    def test_without_the_mechanism_it_stays_under_the_bound(self):
        home, choices = self.choices(60, (9, 6), Mechanisms(hot_copies=False, bound_margin=False))

        assert {choice.endpoint for choice in choices} == {home}


class TestOverflow:
    """Guards against entries that all send what leaves a full engine to the same next one."""

    def chosen(self, mechanisms=ALL_ON):
        """Return the engine after the full home of a session, with load, and the one chosen."""
        request = PlacementRequest(PromptParts(("common", "chat"), (500, 5_000), 300))
        rows = [known(f"e{n}", in_flight=4, slots=64) for n in range(12)]
        home = CacheAwarePlacement().choose(rows, request, 0.0)
        home.in_flight = 60
        second = CacheAwarePlacement(mechanisms).choose(rows, request, 0.0)
        second.in_flight += 2
        return second, CacheAwarePlacement(mechanisms).choose(rows, request, 0.0)

    def test_least_loaded_of_three_gets_it(self):
        second, chosen = self.chosen()

        assert chosen is not second

    def test_without_the_mechanism_the_next_one_gets_it(self):
        second, chosen = self.chosen(Mechanisms(overflow_choice=False))

        assert chosen is second

    def test_full_fleet_is_used_evenly(self):
        """Guards against all entries sending to the one engine that they think least loaded."""
        rows = [known(f"e{n}", in_flight=50 + n, slots=64) for n in range(12)]
        placement = CacheAwarePlacement()
        used = {placement.choose(rows, PlacementRequest(), 0.0).incarnation_id for _ in range(60)}

        assert len(used) > 4


NO_COPIES = Mechanisms(hot_copies=False)


class TestEntryShare:
    """Guards against entries that send to one engine at the same moment, before any knows of it."""

    SHORT = PlacementRequest(PromptParts(("common", "short"), (100, 500)), entries=24)
    LONG = PlacementRequest(PromptParts(("common", "long"), (100, 8_000)), entries=24)

    def is_home(self, request, in_flight, mechanisms=NO_COPIES):
        """Return whether a session's home gets its request, at this number of own requests."""
        placement = CacheAwarePlacement(mechanisms)
        rows = [known(f"e{n}", slots=64) for n in range(12)]
        for other in (self.SHORT, self.LONG) * 20:
            placement.choose(rows, other, 0.0)
        home = placement.choose(rows, request, 0.0)
        home.in_flight = in_flight
        return placement.choose(rows, request, 0.0) is home

    def test_short_prefix_leaves_an_engine_with_a_request_of_this_entry(self):
        assert self.is_home(self.SHORT, 0)
        assert not self.is_home(self.SHORT, 1)

    def test_long_prefix_stays(self):
        """Guards against recomputing thousands of tokens for a few requests of balance."""
        assert self.is_home(self.LONG, 1)

    def test_share_grows_with_fewer_entries(self):
        request = PlacementRequest(self.SHORT.parts, entries=2)

        assert self.is_home(request, 2)
        assert not self.is_home(request, 4)

    def test_without_the_mechanism_it_stays_under_the_bound(self):
        off = Mechanisms(hot_copies=False, entry_share=False, bound_margin=False)

        assert self.is_home(self.SHORT, 1, off)
