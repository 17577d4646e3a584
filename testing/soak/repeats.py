"""Faults under which a fleet might exceed its retry budget, each drawn for a run of its own."""

import signal
import time
from collections.abc import Callable

import attrs

from soak.faults import EndpointEnd, Fault, Misbehave, Pause, Stop
from soak.fleet import Start
from soak.records import ROUTES, RouteVersion

__all__ = ["VARIATIONS", "Variation", "draw_variation"]

# Time after its acknowledgement within which a version is in force everywhere.
_APPLY_S = 2.0
_FAILING = {"fail": 0.4, "reject": 0.4, "work_s": 0.02}
_PLAIN_ROUTES = ("notes", "reads")
# Variations that can't be mixed: what all endpoints do from their start on is a part of them.
_PLAYED_ALONE = ("mixture", "busy", "lags", "long-lags")


@attrs.frozen
class AddEntry(Fault):
    """One more entry starts."""

    async def play(self, fleet):
        fleet.add_entry(Start(delay_s=0.0))


@attrs.frozen
class ChangeTraffic(Fault):
    """Callers who don't wait call more or less often from now on."""

    ratio: float

    async def play(self, fleet):
        fleet.traffic_ratio = self.ratio


@attrs.frozen
class LeaveEarly(Fault):
    """Some of the callers give up early from now on, and repeat at once where they may."""

    share: float

    async def play(self, fleet):
        fleet.leaving = self.share


@attrs.frozen
class ChangeRoutes(Fault):
    """Routes get other services and limits of attempts."""

    services: dict
    attempts: dict

    async def play(self, fleet):
        async with fleet.operator:
            fleet.routes = {
                name: attrs.evolve(
                    route,
                    service=self.services.get(name, route.service),
                    max_attempts=self.attempts.get(name, route.max_attempts),
                )
                for name, route in ROUTES.items()
            }
            versions = fleet.evidence.versions
            versions.append(RouteVersion(fleet.routes, time.monotonic()))
            while (acknowledged_s := await fleet.configure()) is None:
                pass
            versions[-2].to_s = acknowledged_s + _APPLY_S


@attrs.frozen
class Variation:
    """What happens in a run.

    Attributes:
        draw: Draws the faults of a run from a source, its length and its size.
        misbehaviour: How all endpoints fail from their start on.
    """

    draw: Callable
    misbehaviour: dict = attrs.field(factory=lambda: dict(_FAILING))


def draw_variation(variation, draw, seconds, size):
    """Return how the entries start, and the faults of a variation."""
    faults = variation.draw(draw, seconds, size)
    return [Start(delay_s=0.0)] * size.entries, sorted(faults, key=lambda fault: fault.at_s)


def _moments(draw, seconds, least_s, most_s):
    at_s = 2.0
    while at_s < seconds - 1.0:
        yield round(at_s, 3)
        at_s += draw.uniform(least_s, most_s)


def _draw_stalls(draw, seconds, size):
    """Pause some of the endpoints at the same time, again and again."""
    places = range(2 * size.endpoints)
    return [
        Pause(at_s, "endpoint", place, length_s)
        for at_s in _moments(draw, seconds, 2.0, 9.0)
        for length_s in [draw.choice((0.4, 1.0, 2.5, 5.0))]
        for place in draw.sample(places, draw.randint(1, len(places) - 2))
    ]


def _stop(at_s, place, number, overlaps=False):
    return Stop(at_s, place, (number,), 0.0, False, overlaps, Start(delay_s=0.0))


def _draw_kills(draw, seconds, size):
    """Kill entries again and again, one or all of them, also while endpoints stall."""
    return _draw_stalls(draw, seconds, size) + [
        _stop(at_s, place, signal.SIGKILL)
        for at_s in _moments(draw, seconds, 1.5, 5.0)
        for place in draw.sample(range(size.entries), draw.choice((1, 2, size.entries)))
    ]


def _draw_overlaps(draw, seconds, size):
    """Stop entries whose next processes start at once, beside those that still serve."""
    return _draw_stalls(draw, seconds, size) + [
        _stop(at_s, place, signal.SIGTERM, overlaps=True)
        for at_s in _moments(draw, seconds, 1.0, 4.0)
        for place in draw.sample(range(size.entries), draw.choice((1, 2, size.entries)))
    ]


def _draw_additions(draw, seconds, size):
    moments = _moments(draw, seconds, 1.0, 5.0)
    return _draw_stalls(draw, seconds, size) + [AddEntry(at_s) for at_s in moments]


def _misbehave(at_s, size, length_s, **values):
    # Endpoints that ended and were replaced shift the places, so that some may be left out.
    return Misbehave(at_s, tuple(range(2 * size.endpoints)), values, length_s)


def _draw_swings(draw, seconds, size):
    """Let the traffic change."""
    moments = _moments(draw, seconds, 2.0, 6.0)
    return [ChangeTraffic(at_s, draw.choice((0.5, 1.0, 2.0))) for at_s in moments]


def _draw_pulses(draw, seconds, size):
    """Let some endpoints run for a moment at a time only, and stand still in between."""
    faults, places = [], range(2 * size.endpoints)
    still_s, runs_s = draw.choice((0.8, 1.5, 3.0)), draw.choice((0.005, 0.02, 0.1))
    for place in draw.sample(places, draw.randint(2, len(places) - 2)):
        at_s = 2.0 + draw.uniform(0.0, still_s)
        while at_s < seconds - 2.0:
            faults.append(Pause(at_s, "endpoint", place, still_s))
            at_s += still_s + runs_s
    return faults


def _draw_answers(draw, seconds, size):
    """Let endpoints close without an answer, reject in other ways, or answer too much."""
    kinds = ({"close": 0.6}, {"refuse": 0.8}, {"extra": 0.8}, {"hang": 0.3, "close": 0.3})
    mixed = {"close": 0.2, "refuse": 0.2, "extra": 0.3, "hang": 0.1}
    return _draw_stalls(draw, seconds, size) + [
        _misbehave(at_s, size, 4.0, **draw.choice((*kinds, mixed)))
        for at_s in _moments(draw, seconds, 4.2, 6.0)
    ]


def _draw_crashes(draw, seconds, size):
    """Kill many endpoints at once, with the streams on them."""
    return [
        EndpointEnd(at_s, place, True, draw.uniform(0.0, 2.0), False, 0.0)
        for at_s in _moments(draw, seconds, 2.5, 6.0)
        for place in draw.sample(range(2 * size.endpoints), draw.randint(2, size.endpoints + 1))
    ]


def _draw_drops(draw, seconds, size):
    """Let the traffic drop as endpoints stall, and return later."""
    faults = []
    for at_s in _moments(draw, seconds, 7.0, 14.0):
        length_s = draw.uniform(2.0, 9.0)
        places = draw.sample(range(2 * size.endpoints), draw.randint(2, 2 * size.endpoints - 2))
        faults += [Pause(at_s, "endpoint", place, length_s) for place in places]
        faults.append(ChangeTraffic(at_s + draw.uniform(0.0, 1.5), draw.choice((0.02, 0.1))))
        faults.append(ChangeTraffic(at_s + length_s + draw.uniform(0.0, 4.0), 2.0))
    return faults


def _draw_leavers(draw, seconds, size):
    """Let callers leave early, of endpoints that hang and stall."""
    faults = [LeaveEarly(0.0, draw.choice((0.3, 0.8)))]
    faults += [
        _misbehave(at_s, size, 3.0, hang=draw.choice((0.2, 0.6)), fail=0.3)
        for at_s in _moments(draw, seconds, 3.5, 7.0)
    ]
    return faults + _draw_stalls(draw, seconds, size)


def _draw_changes(draw, seconds, size):
    """Change limits of attempts, and move routes to the other service, under load."""
    faults = []
    for at_s in _moments(draw, seconds, 2.5, 6.0):
        services = {name: draw.choice(("ledger", "drafter")) for name in _PLAIN_ROUTES}
        attempts = {name: draw.choice((1, 2, 3)) for name in ROUTES}
        faults.append(ChangeRoutes(at_s, services, attempts))
    return faults + _draw_stalls(draw, seconds, size)


def _draw_mixture(draw, seconds, size):
    """Several of the variations at the same time."""
    rows = [row for name, row in VARIATIONS.items() if name not in _PLAYED_ALONE]
    return [fault for row in draw.sample(rows, 3) for fault in row.draw(draw, seconds, size)]


VARIATIONS = {
    "kills": Variation(_draw_kills),
    "overlaps": Variation(_draw_overlaps),
    "additions": Variation(_draw_additions),
    # Endpoints stand still just when they have answered a check.
    "freezes": Variation(_draw_swings, {**_FAILING, "freeze": 0.05, "freeze_s": 2.5}),
    # They answer the check at once, and read the request that follows it late.
    "lags": Variation(_draw_swings, {**_FAILING, "lag_s": 1.0}),
    "long-lags": Variation(_draw_swings, {**_FAILING, "lag_s": 8.0}),
    "pulses": Variation(_draw_pulses),
    "answers": Variation(_draw_answers),
    "crashes": Variation(_draw_crashes),
    "drops": Variation(_draw_drops),
    "leavers": Variation(_draw_leavers),
    "changes": Variation(_draw_changes),
    "busy": Variation(_draw_stalls, {**_FAILING, "slots": 6, "connections": 96}),
    "mixture": Variation(_draw_mixture),
}
