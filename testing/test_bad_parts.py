import contextlib
import math
import tracemalloc

import pytest

from beryljunction.fuzz.platform.actors import CrashStyle
from beryljunction.fuzz.platform.stores import StoreFault
from beryljunction.fuzz.platform.world import ENTRIES, PlatformWorld
from beryljunction.gateway import exchange
from beryljunction.gateway.crashreporter import CrashReporter
from beryljunction.gateway.endpoint_losses import EndpointLosses
from beryljunction.gateway.outbox import Outbox
from beryljunction.gateway.quarantine import COUNTING_HOSTS, Quarantine
from beryljunction.routing import Crash, CrashTable, responsible_hosts
from fanout_world import FleetWorld
from part_traffic import BAD, STREAMED, PartTraffic
from removed_safeguards import found_by
from routing_fakes import known

STARTED_S = 8.0
# Time within which all entries have to know of a quarantine.
PROPAGATION_S = 3.0


@contextlib.contextmanager
def world_with_bad_part(*parts):
    with contextlib.closing(PlatformWorld()) as world:
        for part in parts or (BAD,):
            world.oracle.bad_parts_s[part] = 0.0
        yield world


class TestBadPart:
    """One part of a prompt crashes each endpoint that answers it, in requests that all differ."""

    def test_it_stops_reaching_endpoints_and_sound_requests_are_served(self):
        """Guards against endpoints that end one after the other under different requests."""
        with world_with_bad_part() as world:
            traffic = PartTraffic(world)

            assert traffic.play(25.0) == []

    @pytest.mark.parametrize(
        "prompt",
        [(BAD, "common", "SUBJECT"), ("common", BAD, "SUBJECT"), (BAD,), ("common", BAD)],
        ids=["first", "middle", "alone", "beside-common"],
    )
    def test_any_place_in_the_prompt(self, prompt):
        with world_with_bad_part() as world:
            assert PartTraffic(world, prompt=prompt).play(25.0) == []

    @pytest.mark.parametrize("count", [31, 40, 200])
    def test_any_number_of_parts_before_it(self, count):
        """Guards against a part that is beyond those which are watched."""
        prompt = (*(f"c{number}" for number in range(count)), BAD, "SUBJECT")
        with world_with_bad_part() as world:
            assert PartTraffic(world, prompt=prompt).play(25.0) == []

    def test_any_length_of_its_name(self):
        """Guards against a part whose name is too long for a message between entries."""
        common, bad = "c" * 300, f"bad{'x' * 300}"
        with world_with_bad_part(bad) as world:
            traffic = PartTraffic(world, prompt=(common, bad, "SUBJECT"))

            assert traffic.play(25.0) == []

    def test_two_bad_parts_at_once(self):
        with world_with_bad_part("bad0", "bad1") as world:
            other = PartTraffic(world, seed=2, prompt=("common", "SUBJECT", "bad1"))
            traffic = PartTraffic(world)
            traffic.advance(4.0)
            for step in range(250):
                if step % 4 == 0:
                    (traffic if step % 8 else other).ask_bad()
                traffic.ask_sound()
                world.advance(0.1)

            assert world.finish() == []

    def test_part_that_was_served_before(self):
        """Guards against trusting a part for what was served before it began to crash."""
        with contextlib.closing(PlatformWorld()) as world:
            traffic = PartTraffic(world)
            for _ in range(20):
                traffic.ask_bad()
                traffic.advance(0.4)
            world.oracle.bad_parts_s[BAD] = world.loop.world_s

            assert traffic.play(25.0) == []

    @pytest.mark.parametrize("crash_head", [False, True], ids=["reset", "closed-without-length"])
    def test_crash_counts_however_its_answer_ended(self, crash_head):
        with world_with_bad_part() as world:
            for endpoint in world.endpoints.values():
                endpoint.crash_style = CrashStyle(sends_head=crash_head)

            assert PartTraffic(world).play(25.0) == []

    def test_entries_that_see_few_crashes_each_detect_it(self):
        """Guards against each entry counting only the crashes that it has seen itself."""
        with world_with_bad_part() as world:
            traffic = PartTraffic(world)
            traffic.advance(4.0)
            for _ in range(12):
                traffic.ask_bad()
                traffic.advance(3.0)

            assert world.finish() == []
            assert len(world.oracle.crashes_s[BAD]) <= 5

    @pytest.mark.parametrize("fault", [StoreFault.SILENT, StoreFault.BUSY])
    def test_store_is_not_needed(self, fault):
        with world_with_bad_part() as world:
            traffic = PartTraffic(world)
            traffic.advance(4.0)
            for name in ENTRIES:
                world.store_fault(name, fault, is_alone=False)
            traffic.play(2.5)

            assert len(world.oracle.crashes_s[BAD]) <= 7

    def test_sound_requests_are_never_refused_as_quarantined(self):
        """Guards against blocking what bad requests share with sound ones."""
        with world_with_bad_part() as world:
            traffic = PartTraffic(world)
            traffic.play(25.0)

            assert not [row for row in traffic.sound if row.asked.body.startswith(b"quarantined")]

    def test_crashes_without_a_bad_part_block_nothing(self):
        """Guards against blaming requests for endpoints that crash by themselves."""
        with contextlib.closing(PlatformWorld()) as world:
            traffic = PartTraffic(world)
            traffic.advance(2.0)
            for _ in range(12):
                world.endpoints[traffic.draw.choice(STREAMED)].crash("itself")
                traffic.advance(traffic.draw.choice((0.1, 0.3, 2.5)))
            for name in STREAMED:
                world.endpoints[name].crash("itself")
            traffic.advance(6.0)

            assert world.finish() == []
            refused = [row for row in traffic.sound if row.asked.body.startswith(b"quarantined")]
            assert refused == []


class PartHistory(PartTraffic):
    """Random faults of entries and endpoints while requests with bad parts come."""

    PROMPTS = (
        ("common", "SUBJECT", BAD),
        (BAD, "common", "SUBJECT"),
        ("common", BAD, "SUBJECT"),
        (BAD,),
    )

    def __init__(self, world, seed):
        super().__init__(world, seed)
        self.prompt = self.draw.choice(self.PROMPTS)
        for endpoint in world.endpoints.values():
            endpoint.crash_style = CrashStyle(sends_head=self.draw.random() < 0.5)

    def play(self, length_s, bad_every=0.4, sound_every=0.1):
        self.advance(4.0)
        self.world.oracle.bad_parts_s[BAD] = self.world.loop.world_s
        for _ in range(self.draw.choice((4, 8))):
            self.draw.choice((self.kill_entry, self.store_fault, self.crash, self.calm))()
            for step in range(self.draw.choice((10, 30))):
                if step % 3 == 0:
                    self.ask_bad()
                self.ask_sound()
                self.world.advance(sound_every)
        return self.world.finish()

    def kill_entry(self):
        self.world.kill_entry(self.draw.choice(ENTRIES))

    def store_fault(self):
        fault = self.draw.choice((StoreFault.BUSY, StoreFault.SILENT, StoreFault.LATE))
        self.world.store_fault(self.draw.choice(ENTRIES), fault, self.draw.random() < 0.5)

    def crash(self):
        self.world.endpoints[self.draw.choice(STREAMED)].crash("itself")

    def calm(self):
        for name in ENTRIES:
            self.world.store_fault(name, StoreFault.NONE)


def play_parts(seed):
    with contextlib.closing(PlatformWorld()) as world:
        history = PartHistory(world, seed)
        violations = history.play(0.0)
        refused = [row for row in history.sound if row.asked.body.startswith(b"quarantined")]
        return violations + [f"{row.asked.request_id}: sound, but refused" for row in refused]


class TestHistories:
    @pytest.mark.parametrize("seed", range(1, 11))
    def test_bad_part_stops_and_sound_requests_go_on(self, seed):
        """Guards against crashes that are lost with entries, and against blocking sound parts."""
        assert play_parts(seed) == []


PARTS = frozenset(["part:a", "part:x"])


class TestFleet:
    """Several entries see one crash each of requests that have one part in common."""

    def report_crashes(self, world):
        rows = list(world.members.values())
        for number in range(3):
            features = PARTS | {f"digest{number}", f"part:own{number}"}
            row = rows[(number + 1) % len(rows)]
            row.state.quarantine.note_crash(features, known(f"e{number}"))
            world.advance(0.2)

    def serve(self, world, name, feature="part:a"):
        quarantine = world.members[name].state.quarantine
        quarantine.note_served("engine", [feature], world.loop.world_s)

    @pytest.mark.parametrize("entries", [1, 2, 4, 24, 68, 350])
    def test_part_is_blocked_by_all_entries_in_time_and_a_sound_one_by_none(self, entries):
        """Guards against concluding from what one entry has seen crash and serve."""
        with FleetWorld(entries) as world:
            world.advance(STARTED_S)
            self.report_crashes(world)
            self.serve(world, sorted(world.members)[-1])
            world.advance(PROPAGATION_S)

            assert world.holds_for_all(lambda state: state.quarantine.remaining_s(PARTS) > 0.0)
            sound = ["part:a", "digest", "part:own1"]
            assert world.holds_for_all(lambda state: state.quarantine.remaining_s(sound) == 0.0)

    def test_two_unreachable_counting_hosts_are_tolerated(self):
        with FleetWorld(24) as world:
            world.advance(STARTED_S)
            for name in responsible_hosts("engine", world.members, COUNTING_HOSTS)[:2]:
                world.members[name].is_cut = True
            rows = [row for row in world.members.values() if not row.is_cut]
            for number in range(3):
                rows[number].state.quarantine.note_crash(PARTS, known(f"e{number}"))
                world.advance(0.2)
            self.serve(world, rows[5].name)
            world.advance(PROPAGATION_S)

            assert all(row.state.quarantine.remaining_s(PARTS) > 0.0 for row in rows)

    @pytest.mark.parametrize("entries", [4, 24])
    def test_entries_that_all_restart_read_the_quarantine_from_the_store(self, entries):
        with FleetWorld(entries) as world:
            world.advance(STARTED_S)
            self.report_crashes(world)
            self.serve(world, "front-0")
            world.advance(PROPAGATION_S)
            for name, row in list(world.members.items()):
                world.kill(name)
                world.start(name, row.address)
            world.advance(PROPAGATION_S)

            assert world.holds_for_all(lambda state: state.quarantine.remaining_s(PARTS) > 0.0)

    def test_nothing_is_blocked_while_nothing_is_served(self):
        """Guards against blocking a route because all of its endpoints were lost."""
        with FleetWorld(4) as world:
            world.advance(STARTED_S)
            self.report_crashes(world)
            world.advance(PROPAGATION_S)

            assert world.holds_for_all(lambda state: len(state.quarantine) == 0)

    def test_answer_that_began_under_quarantine_lifts_it_everywhere(self):
        """Guards against refusing sound requests for as long as a wrong quarantine lasts."""
        with FleetWorld(24) as world:
            world.advance(STARTED_S)
            self.report_crashes(world)
            self.serve(world, "front-0", "part:other")
            world.advance(PROPAGATION_S)
            self.serve(world, "front-7", "part:x")
            world.advance(PROPAGATION_S)

            # Another part may still be the cause.
            assert world.holds_for_all(lambda state: len(state.quarantine) == 1)

            self.serve(world, "front-9", "part:a")
            world.advance(PROPAGATION_S)

            assert world.holds_for_all(lambda state: len(state.quarantine) == 0)
            rows, _, _ = world.model.newest("keyed.entries", "", world.loop.world_s)
            assert [key for key, _, value in rows if key.startswith("quarantine") and value] == []

    def test_requests_of_many_parts_are_reported_over_a_slow_link(self):
        """Guards against a report that is too large to arrive in time, and so never does."""
        with FleetWorld(4) as world:
            world.advance(STARTED_S)
            reporter = next(iter(world.members.values()))
            for number in range(40):
                parts = [f"part:{number:08}{row:024}" for row in range(200)]
                reporter.state.quarantine.note_crash(frozenset(parts), known("e1"))
            sizes = []
            apply = Quarantine.apply_report

            def measure(quarantine, report):
                sizes.append(len(report.encode()))
                return apply(quarantine, report)

            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(Quarantine, "apply_report", measure)
                world.advance(2.0)

            # An entry on a link of 5 Mbit/s receives 100 KB within half of the time for an answer.
            assert max(sizes) < 100_000
            assert sum(sizes) > 40 * 200 * 32

    def test_reports_stay_within_the_control_traffic_limit(self):
        """Guards against reports that grow with the fleet: 40 requests at one crash."""
        with FleetWorld(350) as world:
            world.advance(STARTED_S)
            row = world.members["front-3"]
            row.sent_bytes = 0
            for number in range(40):
                features = frozenset(["part:common", f"part:s{number:08}", f"{number:032}"])
                row.state.quarantine.note_crash(features, known("e1"))
            world.advance(10.0)

            assert row.sent_bytes / 10.0 < 4_096


class TestMemory:
    @pytest.mark.parametrize("parts", [2, 255])
    def test_memory_of_full_tables_is_bounded(self, parts):
        """Guards against an entry that keeps every part and crash of a busy fleet."""
        tracemalloc.start()
        table = CrashTable()
        for number in range(10_000):
            table.note_served(f"part:{number:08}", 0.0)
        for number in range(1_000):
            for request in range(20):
                own = (f"part:{request}/{row}" for row in range(parts - 1))
                features = frozenset(["part:a", *own, f"{number}/{request}"])
                table.note_crash(Crash("s", (f"e{number}", 1), features), 1.0)
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()

        assert size < 6_000_000


def count_whole_requests_only(patch):
    patch.setattr(exchange, "request_features", lambda digest, parts: frozenset([digest]))


def clear_nothing_that_was_served(patch):
    patch.setattr(CrashTable, "served_s", lambda self, feature: -math.inf)


def send_what_is_quarantined(patch):
    patch.setattr(CrashTable, "remaining_s", lambda self, features, now_s: 0.0)


def keep_crashes_to_oneself(patch):
    patch.setattr(Outbox, "next_rows", lambda self, host: [])


def take_closed_connections_for_whole_answers(patch):
    async def is_running(self, endpoint):
        return True

    async def note(self, endpoint, request):
        pass

    patch.setattr(EndpointLosses, "is_running", is_running)
    patch.setattr(EndpointLosses, "note", note)


def conclude_while_nothing_is_served(patch):
    patch.setattr(CrashTable, "last_service_s", lambda self, service: math.inf)


def block_what_a_part_came_with(patch):
    def common_features(feature, crashes, rows):
        return frozenset([max(name for name in crashes if name.startswith("part:"))])

    patch.setattr(CrashTable, "_common_features", staticmethod(common_features))


def ask_nobody_what_was_served(patch):
    async def ask(self, address, message):
        pass

    patch.setattr(CrashReporter, "_ask", ask)


def never_lift(patch):
    patch.setattr(CrashTable, "disproved_by", lambda self, feature: [])


def found_by_histories():
    return any(play_parts(seed) for seed in range(1, 60))


SAFEGUARDS = (
    (count_whole_requests_only, found_by_histories),
    (clear_nothing_that_was_served, found_by_histories),
    (send_what_is_quarantined, found_by_histories),
    (take_closed_connections_for_whole_answers, found_by_histories),
    (block_what_a_part_came_with, found_by_histories),
    (
        keep_crashes_to_oneself,
        found_by(
            TestFleet.test_part_is_blocked_by_all_entries_in_time_and_a_sound_one_by_none,
            TestFleet(),
            24,
        ),
    ),
    (
        conclude_while_nothing_is_served,
        found_by(TestFleet.test_nothing_is_blocked_while_nothing_is_served, TestFleet()),
    ),
    (
        ask_nobody_what_was_served,
        found_by(
            TestFleet.test_part_is_blocked_by_all_entries_in_time_and_a_sound_one_by_none,
            TestFleet(),
            24,
        ),
    ),
    (
        never_lift,
        found_by(
            TestFleet.test_answer_that_began_under_quarantine_lifts_it_everywhere, TestFleet()
        ),
    ),
)


@pytest.mark.timeout(600)
class TestSafeguards:
    @pytest.mark.parametrize(
        ("remove", "is_found"), [pytest.param(*row, id=row[0].__name__) for row in SAFEGUARDS]
    )
    def test_removed_safeguard_is_found(self, remove, is_found, monkeypatch):
        remove(monkeypatch)

        assert is_found()
