import pytest

from beryljunction.fuzz.platform.actors import CrashStyle
from beryljunction.gateway import attempt_monitor
from beryljunction.gateway.attempt_monitor import AttemptMonitor
from beryljunction.gateway.messages import ResponseHead
from part_traffic import PartConditions, play_conditions
from routing_fakes import known

FEATURES = frozenset(["digest", "part:a"])


class Notes:
    """Takes the place of an entry's state, of its quarantine and of its losses."""

    def __init__(self):
        self.quarantine = self.losses = self
        self.served, self.lost = [], []

    def note_served(self, service, features, began_s):
        self.served.append(began_s)

    async def note(self, endpoint, request):
        self.lost.append(request)


class Attempts:
    """Attempts at one endpoint, at times that the test sets."""

    def __init__(self, patch):
        self.now_s = 0.0
        patch.setattr(attempt_monitor, "boot_time_s", lambda: self.now_s)
        self.notes, self.endpoint = Notes(), known("e1")

    def begin(self, status=200):
        monitor = AttemptMonitor(self.notes, self.endpoint, FEATURES, self.now_s)
        monitor.note_head(ResponseHead(status, []))
        return monitor


@pytest.fixture
def attempts(monkeypatch):
    return Attempts(monkeypatch)


class TestServed:
    def test_complete_answer_shows_that_the_request_is_sound(self, attempts):
        attempts.begin().note_complete()

        assert attempts.notes.served == [0.0]

    @pytest.mark.parametrize("status", [400, 500, 503])
    def test_error_shows_nothing(self, attempts, status):
        """Guards against clearing a part because a faulty endpoint refused to run it."""
        attempts.begin(status).note_complete()

        assert attempts.notes.served == []

    def test_events_that_arrive_over_some_time_show_nothing(self, attempts):
        """Guards against clearing a part because a link spread what its endpoint wrote at once."""
        monitor = attempts.begin()
        for _ in range(5):
            monitor.note_events()
            attempts.now_s += 0.3

        assert attempts.notes.served == []

    def test_later_request_that_the_endpoint_answers_shows_that_it_lived_on(self, attempts):
        monitor = attempts.begin()
        monitor.note_events()
        attempts.now_s = 0.9
        attempts.begin()
        monitor.note_events()
        assert attempts.notes.served == []

        attempts.now_s = 1.0
        attempts.begin()
        monitor.note_events()
        assert attempts.notes.served == [0.0]


class TestLost:
    async def lose(self, attempts, monitor):
        class Call:
            was_disconnected, ended_by_close, was_ended = True, False, True

        await monitor.note_lost_connection(Call())
        return attempts.notes.lost[-1].may_be_part

    @pytest.mark.anyio
    async def test_parts_are_suspected_however_long_the_answer_took_to_arrive(self, attempts):
        """Guards against a crash that doesn't count because its link was slow."""
        monitor = attempts.begin()
        monitor.note_events()
        attempts.now_s = 2.0
        monitor.note_events()

        assert await self.lose(attempts, monitor)

    @pytest.mark.anyio
    async def test_parts_are_not_suspected_once_the_endpoint_has_lived_on(self, attempts):
        monitor = attempts.begin()
        monitor.note_events()
        attempts.now_s = 1.0
        attempts.begin()

        assert not await self.lose(attempts, monitor)


class TestConditions:
    """A part crashes endpoints while their answers arrive slowly, or errors come between."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    @pytest.mark.parametrize(
        "style",
        [
            CrashStyle(sends_head=True, events=1, lasts_s=0.3),
            CrashStyle(sends_head=True, events=2, lasts_s=0.6),
            CrashStyle(sends_head=True, events=3, lasts_s=0.6),
            CrashStyle(sends_head=True, events=1, lag_s=0.3),
            CrashStyle(error_every=3),
        ],
        ids=["event-late-end", "two-events", "three-events", "end-late", "errors"],
    )
    def test_part_stops_reaching_endpoints(self, style, seed):
        """Guards against a part that is cleared by the answers that it cut off."""
        violations, _ = play_conditions(PartConditions(style=style), seed)

        assert violations == []
