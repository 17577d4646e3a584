import collections
import random

import attrs
import pytest

from beryljunction.routing import (
    ALL_ON,
    CacheAwarePlacement,
    EndpointRegistry,
    LoadReport,
    Mechanisms,
    PlacementRequest,
    PlainPlacement,
    PromptParts,
    healthy_endpoints,
)
from routing_fakes import endpoint, known


def rows_of(count):
    return [known(f"e{number}") for number in range(count)]


def place(placement, rows, wanted, now_s):
    """Choose an endpoint and record that the request is sent there."""
    row = placement.choose(rows, wanted, now_s)
    placement.plan_prefill(rows, row, wanted, now_s)
    return row


def request(session):
    return PlacementRequest(PromptParts(("common", session), (500, 2_000)))


class TestCacheAwarePlacement:
    def test_entries_agree_on_a_home_without_communicating(self):
        rows = rows_of(5)

        homes = {
            place(CacheAwarePlacement(), rows, request("chat"), 0.0).incarnation_id
            for _ in range(4)
        }

        assert len(homes) == 1

    def test_sessions_spread_over_all_endpoints(self):
        placement, rows = CacheAwarePlacement(), rows_of(5)

        counts = collections.Counter(
            place(placement, rows, request(f"chat{n}"), 0.0).incarnation_id for n in range(500)
        )

        assert len(counts) == 5
        assert max(counts.values()) < 140

    def test_session_stays_when_an_endpoint_is_added(self):
        """Guards against moving chats to an engine that is added while they go on.

        A chat whose home by hash is the new engine would have its whole prefix recomputed there,
        although the engine that has it cached is idle.
        """
        placement, rows = CacheAwarePlacement(), rows_of(4)
        before = {
            n: place(placement, rows, request(f"chat{n}"), 0.0).incarnation_id for n in range(100)
        }

        rows.append(known("new"))
        after = {
            n: place(placement, rows, request(f"chat{n}"), 1.0).incarnation_id for n in range(100)
        }

        assert after == before
        fresh = {
            place(placement, rows, request(f"fresh{n}"), 1.0).incarnation_id for n in range(100)
        }
        assert ("new", 1) in fresh

    def test_only_sessions_of_a_lost_endpoint_move(self):
        placement, rows = CacheAwarePlacement(), rows_of(5)
        before = {
            n: place(placement, rows, request(f"chat{n}"), 0.0).incarnation_id for n in range(100)
        }
        lost = rows.pop(2).incarnation_id

        after = {
            n: place(placement, rows, request(f"chat{n}"), 1.0).incarnation_id for n in range(100)
        }

        assert all(after[n] == before[n] for n in before if before[n] != lost)

    def test_session_moves_when_its_home_is_overloaded(self):
        """Guards against one chat with a large part of all requests overloading its engine.

        Its engine would run far more requests than the others, and all its streams would slow down.
        """
        placement, rows = CacheAwarePlacement(), rows_of(5)
        for _ in range(60):
            place(placement, rows, request("hot"), 0.0).in_flight += 1

        loads = [row.in_flight for row in rows]
        mean = sum(loads) / len(loads)
        assert max(loads) <= 2 * mean + 3

    def test_endpoints_of_a_hot_session_are_used_again(self):
        placement, rows = CacheAwarePlacement(), rows_of(8)
        used = set()
        for _ in range(12):
            row = place(placement, rows, request("hot"), 0.0)
            row.in_flight += 1
            used.add(row.incarnation_id)
        for row in rows:
            row.in_flight = 0

        again = {place(placement, rows, request("hot"), 5.0).incarnation_id for _ in range(3)}

        assert again <= used

    def test_load_from_other_entries_counts(self):
        placement, rows = CacheAwarePlacement(), rows_of(3)
        home = place(placement, rows, request("chat"), 0.0)
        home.report = LoadReport(running=30, waiting=0, own=0, at_s=0.0)

        assert place(placement, rows, request("chat"), 0.1) is not home

    def test_requests_without_a_prompt_go_to_the_least_loaded_endpoint(self):
        """Guards against sending all calls without prompt parts to one endpoint, up to its bound.

        They have no session, so the rendezvous order would be the same for all of them.
        """
        placement, rows = CacheAwarePlacement(), rows_of(4)
        for _ in range(8):
            placement.choose(rows, PlacementRequest(), 0.0).in_flight += 1

        assert [row.in_flight for row in rows] == [2, 2, 2, 2]

    def test_no_endpoint_is_chosen_from_an_empty_list(self):
        assert CacheAwarePlacement().choose([], request("chat"), 0.0) is None


class TestPlainPlacement:
    def test_least_loaded_endpoint_goes_first(self):
        rows = [known("a", in_flight=2), known("b", in_flight=1), known("c", in_flight=3)]
        placement = PlainPlacement("a", random.Random(1))

        assert placement.choose(rows, PlacementRequest(), 0.0).record.endpoint_id == "b"

    def test_own_zone_goes_first_at_equal_load(self):
        rows = [known("far", availability_zone="b"), known("near", availability_zone="a")]
        placement = PlainPlacement("a", random.Random(1))

        assert placement.choose(rows, PlacementRequest(), 0.0).record.endpoint_id == "near"

    def test_ties_are_broken_at_random(self):
        rows = [known(name) for name in "abc"]
        placement = PlainPlacement("a", random.Random(1))

        chosen = {
            placement.choose(rows, PlacementRequest(), 0.0).record.endpoint_id for _ in range(50)
        }

        assert chosen == {"a", "b", "c"}


class TestHealthyEndpoints:
    def test_endpoint_that_fails_more_than_its_peers_is_skipped(self):
        """Guards against preferring an endpoint that fails half of its requests but looks healthy.

        As the least loaded one it would get the most requests, and those that may run only once
        would be lost.
        """
        rows = rows_of(4)
        for _ in range(8):
            for row in rows:
                row.error_rate.note(is_bad=row is rows[0], now_s=0.0)

        assert healthy_endpoints(rows, 0.1) == rows[1:]

    def test_failing_endpoint_is_tried_again_after_a_while(self):
        rows = rows_of(4)
        for _ in range(8):
            rows[0].error_rate.note(is_bad=True, now_s=0.0)

        assert rows[0] in healthy_endpoints(rows, 4.0)

    def test_no_endpoint_is_skipped_if_all_fail_alike(self):
        rows = rows_of(4)
        for _ in range(8):
            for row in rows:
                row.error_rate.note(is_bad=True, now_s=0.0)

        assert healthy_endpoints(rows, 0.1) == rows

    def test_endpoint_that_keeps_a_request_waiting_is_skipped(self):
        rows = rows_of(3)
        rows[1].pending_since_s["call"] = 10.0

        assert rows[1] in healthy_endpoints(rows, 10.9)
        assert rows[1] not in healthy_endpoints(rows, 11.1)


class TestUnreportedMargin:
    """Guards against entries that leave an endpoint, and return to it, all at once."""

    def chosen(self, home_load, entries=200):
        """Return how many entries with the same old loads send a session to its home."""
        rows = [known(f"e{number}", in_flight=6) for number in range(6)]
        home = CacheAwarePlacement(Mechanisms(bound_margin=False)).choose(
            rows, request("chat"), 0.0
        )
        home.in_flight = home_load
        return sum(
            CacheAwarePlacement(draw=random.Random(entry)).choose(rows, request("chat"), 0.0)
            is home
            for entry in range(entries)
        )

    def test_entries_with_the_same_loads_leave_an_endpoint_one_by_one(self):
        shares = [self.chosen(home_load) / 200 for home_load in (7, 9, 11, 13)]

        assert shares == sorted(shares, reverse=True)
        assert all(0.05 < share < 0.95 for share in shares[:3])

    def test_endpoint_below_the_mean_is_never_left_out(self):
        assert self.chosen(5) == 200


class TestExcludedEndpoints:
    def test_bound_includes_evacuated_endpoints_in_the_mean(self):
        """Guards against a home above twice the mean while a third of the endpoints is evacuated.

        With ten requests at each open endpoint and 15 at one, the mean over all endpoints is 7, and
        15 exceeds 1.6 x 7 + 3.
        """
        rows = [known(f"e{number}", in_flight=10) for number in range(10)]
        for row in rows:
            row.report = LoadReport(10, 0, 10, 0.0)
        excluded = [known(f"z{number}") for number in range(5)]
        home = CacheAwarePlacement().choose(rows, request("chat"), 0.0)
        home.in_flight = 15

        wanted = attrs.evolve(request("chat"), excluded_endpoints=excluded)

        assert CacheAwarePlacement().choose(rows, request("chat"), 0.0) is home
        assert CacheAwarePlacement().choose(rows, wanted, 0.0) is not home


class TestQueues:
    """Guards against short prompts that wait behind long ones or for memory.

    An engine with free slots can still keep requests waiting: for memory, or behind prompts that it
    is prefilling. By its number of requests it looks free.
    """

    SHORT = PlacementRequest(PromptParts(("common", "short"), (100, 400)))
    LONG = PlacementRequest(PromptParts(("common", "long"), (100, 8_000)))

    def chosen(self, wanted, queue_age_s, waiting=1, mechanisms=ALL_ON, everywhere=False):
        """Return whether the home of a session gets it, given the queue in its last report."""
        placement, rows, now_s = CacheAwarePlacement(mechanisms), rows_of(6), 10.0
        for row in rows:
            row.in_flight = 4
        for _ in range(50):
            place(placement, rows, self.SHORT, now_s)
            place(placement, rows, self.LONG, now_s)
        home = CacheAwarePlacement().choose(rows, wanted, now_s)
        for row in rows if everywhere else [home]:
            row.report = LoadReport(4, waiting, 4, now_s - queue_age_s)
        return placement.choose(rows, wanted, now_s) is home

    def test_short_prompt_avoids_an_engine_with_a_queue(self):
        assert not self.chosen(self.SHORT, queue_age_s=0.1)

    def test_long_prompt_stays_since_moving_it_costs_more(self):
        assert self.chosen(self.LONG, queue_age_s=0.1)

    def test_old_report_of_a_queue_is_ignored(self):
        """Guards against leaving engines for a queue that has long been served."""
        assert self.chosen(self.SHORT, queue_age_s=0.6)

    def test_engine_without_a_queue_is_not_avoided(self):
        assert self.chosen(self.SHORT, queue_age_s=0.1, waiting=0)

    def test_order_is_unchanged_if_all_have_a_queue(self):
        assert self.chosen(self.SHORT, queue_age_s=0.1, everywhere=True)

    def test_without_the_mechanism_queues_are_ignored(self):
        assert self.chosen(self.SHORT, 0.1, mechanisms=Mechanisms(avoid_queues=False))


class TestAbsence:
    """Guards against fetching a prefix from an engine that never had it.

    An entry that has not seen a session guesses which engine has it cached. An engine that was
    absent while the session was placed is no home, one that missed nothing is.
    """

    def source_for(self, registry, placement, now_s):
        """Return the id of the engine that a session is fetched from when its home is full."""
        rows = registry.rows
        home = CacheAwarePlacement().choose(rows, request("chat"), now_s)
        home.in_flight = 50
        chosen = placement.choose(rows, request("chat"), now_s)
        assert chosen is not home
        source = placement.plan_prefill(rows, chosen, request("chat"), now_s).source
        return home.record.endpoint_id, source.record.endpoint_id

    def registry_of(self, joined_s):
        registry = EndpointRegistry()
        registry.replace([], -20.0)
        for name, at_s in joined_s.items():
            registry.put(endpoint(name), at_s)
        return registry

    def home_name(self):
        return CacheAwarePlacement().choose(rows_of(6), request("chat"), 0.0).record.endpoint_id

    @pytest.mark.parametrize("home_joined_s", [-14.0, -10.0])
    def test_engines_that_joined_before_the_first_session_are_homes(self, home_joined_s):
        joined_s = {f"e{number}": -14.0 for number in range(6)}
        joined_s[self.home_name()] = home_joined_s
        registry, placement = self.registry_of(joined_s), CacheAwarePlacement()
        place(placement, registry.rows, request("other"), 0.0)

        home, source = self.source_for(registry, placement, 2.0)

        assert source == home

    def test_engine_that_joined_later_is_no_home_yet(self):
        joined_s = {f"e{number}": -14.0 for number in range(6)}
        joined_s[self.home_name()] = 1.0
        registry, placement = self.registry_of(joined_s), CacheAwarePlacement()
        place(placement, registry.rows, request("other"), 0.0)

        home, source = self.source_for(registry, placement, 3.0)

        assert source != home

    @pytest.mark.parametrize(("absent_s", "is_home"), [(2.0, True), (8.0, False)])
    def test_engine_is_still_a_home_after_a_brief_absence(self, absent_s, is_home):
        registry = self.registry_of({f"e{number}": -14.0 for number in range(6)})
        placement, name = CacheAwarePlacement(), self.home_name()
        place(placement, registry.rows, request("other"), 0.0)
        registry.remove(name, 10.0)
        registry.put(endpoint(name), 10.0 + absent_s)

        home, source = self.source_for(registry, placement, 11.0 + absent_s)

        assert (source == home) is is_home

    @pytest.mark.parametrize(("absent_s", "is_home"), [(2.0, True), (8.0, False)])
    def test_the_same_holds_for_a_zone_that_is_taken_back(self, absent_s, is_home):
        registry = self.registry_of({f"e{number}": -14.0 for number in range(6)})
        name = self.home_name()
        registry.put(endpoint(name, availability_zone="b"), -13.0)
        placement = CacheAwarePlacement()
        place(placement, registry.rows, request("other"), 0.0)
        registry.evacuate(frozenset(["b"]), 10.0)
        registry.evacuate(frozenset(), 10.0 + absent_s)

        home, source = self.source_for(registry, placement, 11.0 + absent_s)

        assert (source == home) is is_home

    def restarted_registry(self, home_age_s, others_age_s, unix_now_s=1_000.0):
        """Return the registry of an entry that starts now, given when the engines started."""
        records = [endpoint(f"e{number}") for number in range(6)]
        ages_s = {record.endpoint_id: others_age_s for record in records}
        ages_s[self.home_name()] = home_age_s
        registry = EndpointRegistry()
        registry.replace(
            [
                attrs.evolve(row, started_ms=int((unix_now_s - ages_s[row.endpoint_id]) * 1_000))
                for row in records
            ],
            50.0,
            unix_now_s,
        )
        return registry

    @pytest.mark.parametrize(
        ("home_age_s", "others_age_s", "is_home"),
        [
            pytest.param(8.0, 60.0, False, id="started-lately"),
            pytest.param(40.0, 60.0, True, id="started-long-ago"),
            pytest.param(12.0, 16.0, True, id="all-started-together"),
            pytest.param(-30.0, 60.0, True, id="clock-is-behind"),
        ],
    )
    def test_restarted_entry_goes_by_the_start_times(self, home_age_s, others_age_s, is_home):
        """Guards against recomputing every session of a new engine after a loss of power.

        The entry has seen no engine join. Sessions older than an engine are cached elsewhere.
        """
        registry = self.restarted_registry(home_age_s, others_age_s)
        placement = CacheAwarePlacement()
        place(placement, registry.rows, request("other"), 50.1)

        home, source = self.source_for(registry, placement, 50.2)

        assert (source == home) is is_home

    def test_session_of_a_new_engine_is_fetched_from_its_former_home(self):
        registry = self.restarted_registry(home_age_s=8.0, others_age_s=60.0)
        older = [row for row in registry.rows if row.record.endpoint_id != self.home_name()]
        former = CacheAwarePlacement().choose(older, request("chat"), 50.0)
        placement = CacheAwarePlacement()

        chosen = placement.choose(registry.rows, request("chat"), 50.0)
        prefill = placement.plan_prefill(registry.rows, chosen, request("chat"), 50.0)

        assert chosen.record.endpoint_id == self.home_name()
        assert prefill.source is former

    def test_without_the_mechanism_only_time_makes_a_home(self):
        joined_s = {f"e{number}": -14.0 for number in range(6)}
        joined_s[self.home_name()] = -10.0
        registry = self.registry_of(joined_s)
        placement = CacheAwarePlacement(Mechanisms(brief_absence=False))
        place(placement, registry.rows, request("other"), 0.0)

        home, source = self.source_for(registry, placement, 2.0)

        assert source != home


class TestVersions:
    @pytest.mark.parametrize(("version", "is_fetched"), [("v1", True), ("v2", False)])
    def test_prefix_is_fetched_only_from_an_engine_of_the_same_version(self, version, is_fetched):
        """Guards against a cached prefix that another software version wrote."""
        placement = CacheAwarePlacement()
        former, chosen = known("e1", version="v1"), known("e2", version=version)
        placement.plan_prefill([former, chosen], former, request("chat"), 0.0)

        prefill = placement.plan_prefill([former, chosen], chosen, request("chat"), 1.0)

        assert (prefill.source is former) is is_fetched
        assert prefill.uncached_tokens == (0 if is_fetched else 2_500)
