"""An endpoint as it describes itself, and what this process knows of its present start."""

import collections
import math

import attrs

__all__ = ["EndpointRecord", "KnownEndpoint", "LoadReport", "Pace"]

# A load that an endpoint reported says little after some requests have come and gone, which last a
# second or two; over this time its part that other entries caused fades out.
_REPORT_FADES_S = 2.0
# From this age on a report says nothing of what came since: as many requests as it has on average.
_UNSEEN_S = 1.0
# Weight of a new measurement of an endpoint's pace: about the last ten count.
_PACE_WEIGHT = 0.1
# A pace that was not measured for this long says nothing any more, so that an endpoint that was
# slow gets requests again and can show whether it still is.
_PACE_KEPT_S = 3.0
# Weight of a new outcome in the share of bad ones: about the last four count.
_FAULT_WEIGHT = 0.25
# Without new outcomes the share halves in this time, so that a grey endpoint is tried again.
_FAULT_HALVES_S = 2.0
# An endpoint that has kept a request of this process waiting for so long hangs, or reads several
# of the longest prompts; others are better off elsewhere until it answers.
_STALL_S = 1.0
# First time that a failed endpoint is passed over, doubled with each further failure. Short, since
# passing over a sound one costs its cached prefixes.
_SUSPECT_S = 0.5
_SUSPECT_MOST_S = 4.0
_SUSPECT_DOUBLINGS = 3


@attrs.frozen
class EndpointRecord:
    """What an endpoint says of itself.

    Attributes:
        born_ms: Unix milliseconds of its start; another start under the same id knows nothing.
        slots: Requests that it runs at the same time.
        sequence: Number of the record among those of its start.
        cold_ms: How much longer it is warming up; None where it says nothing that can be used.
    """

    endpoint_id: str
    born_ms: int
    service: str
    address: tuple[str, int]
    availability_zone: str
    slots: int
    is_draining: bool
    cold_ms: int | None = 0
    sequence: int = 0

    def is_same_start(self, other: "EndpointRecord") -> bool:
        """Return whether both are of one start at one address."""
        mine = (self.endpoint_id, self.born_ms, self.address, self.service)
        return mine == (other.endpoint_id, other.born_ms, other.address, other.service)


@attrs.frozen
class LoadReport:
    """Load that an endpoint stated in an answer, to this entry or to one that told of it.

    Attributes:
        own: Requests of this process that the endpoint had then.
    """

    running: int
    waiting: int
    own: int
    at_s: float


@attrs.define
class Pace:
    """Time that an endpoint takes for one piece of work, smoothed.

    A piece is an event of a stream, or a whole call of a plain service; both are comparable among
    the endpoints of a service.
    """

    mean_ms: float = 0.0
    at_s: float = -math.inf

    def note(self, took_ms: float, now_s: float) -> None:
        """Take in a measurement."""
        if now_s - self.at_s > _PACE_KEPT_S:
            self.mean_ms = took_ms
        else:
            self.mean_ms += _PACE_WEIGHT * (took_ms - self.mean_ms)
        self.at_s = now_s

    def is_fresh(self, now_s: float) -> bool:
        """Return whether it was measured a short while ago."""
        return now_s - self.at_s <= _PACE_KEPT_S


@attrs.define
class FaultShare:
    """Share of an endpoint's outcomes that were bad: errors, refusals, lost or missing answers."""

    _ratio: float = 0.0
    _at_s: float = -math.inf

    def note(self, is_bad: bool, now_s: float) -> None:
        """Take in an outcome."""
        ratio = self.at(now_s)
        self._ratio = ratio + _FAULT_WEIGHT * (float(is_bad) - ratio)
        self._at_s = now_s

    def at(self, now_s: float) -> float:
        """Return the share now."""
        if self._ratio == 0.0:
            return 0.0
        return float(self._ratio * 0.5 ** ((now_s - self._at_s) / _FAULT_HALVES_S))


@attrs.define(eq=False)
class KnownEndpoint:
    """An endpoint with what this process knows of its present start.

    Attributes:
        in_flight: Requests of this process that it has.
        reading_tokens: Prompt tokens that it is believed to read for this process right now.
        waits: When each request was sent that has no answer yet.
        lapses_s: Until when it is kept without a record, which an outage of the store may have
            let expire; None while the record is there.
        is_evacuated: Whether its availability zone gets no new requests.
        leaving_s: Unix seconds at which it first said in an answer that it leaves; None where it
            has not.
        paused_until_s: Until when it wants no requests of this process, by its own word.
        serving_since_s: From when it has got requests; minus infinity for all the time.
        cold_until_s: When it will have warmed up, by its own word.
        may_be_cold_s: When it last may have started anew or cooled down without a word of it.
        cold_sends_s: When this process sent it requests in the last second or so.
    """

    record: EndpointRecord
    in_flight: int = 0
    reading_tokens: int = 0
    report: LoadReport | None = None
    lapses_s: float | None = None
    is_evacuated: bool = False
    leaving_s: float | None = None
    paused_until_s: float = -math.inf
    serving_since_s: float = -math.inf
    cold_until_s: float = -math.inf
    may_be_cold_s: float = -math.inf
    cold_sends_s: collections.deque[float] = attrs.field(factory=collections.deque)
    pace: Pace = attrs.field(factory=Pace)
    faults: FaultShare = attrs.field(factory=FaultShare)
    waits: dict[object, float] = attrs.field(factory=dict)
    failures: int = 0
    suspect_until_s: float = -math.inf

    @property
    def start(self) -> tuple[str, int]:
        """What tells this start from any other."""
        return self.record.endpoint_id, self.record.born_ms

    @property
    def is_open(self) -> bool:
        """Whether it may get new requests, by its own word and the operator's."""
        return not (self.has_said_leaving or self.is_evacuated)

    @property
    def has_said_leaving(self) -> bool:
        """Whether it leaves by plan, as its record or an answer of it says."""
        return self.record.is_draining or self.leaving_s is not None

    def note_pause(self, pause_s: float, now_s: float) -> None:
        """Take in for how long it wants no requests; a shorter word doesn't end a longer one."""
        self.paused_until_s = max(self.paused_until_s, now_s + pause_s)

    def is_paused(self, now_s: float) -> bool:
        """Return whether it wants no requests now."""
        return now_s < self.paused_until_s

    def has_left_since(self, born_ms: int) -> bool:
        """Return whether an answer said that it leaves when a start of that birth was there."""
        return self.leaving_s is not None and born_ms <= self.leaving_s * 1000

    def note_cold(self, cold_ms: int | None, now_s: float) -> None:
        """Take in how much longer it is warming up; None where that is not known."""
        if cold_ms is None:
            self.may_be_cold_s = now_s
        else:
            self.cold_until_s = now_s + cold_ms / 1000 if cold_ms else -math.inf

    def load(self, now_s: float) -> float:
        """Return the estimated number of requests that it has, of all entries."""
        if self.report is None:
            return float(self.in_flight)
        others = max(0, self.report.running + self.report.waiting - self.report.own)
        freshness = max(0.0, 1.0 - (now_s - self.report.at_s) / _REPORT_FADES_S)
        return self.in_flight + others * freshness

    def unseen(self, mean_load: float, now_s: float) -> float:
        """Return the expected number of requests that came to it since its load was stated.

        Args:
            mean_load: Mean of its service.
            now_s: Time on the clock of the report.
        """
        age_s = now_s - self.report.at_s if self.report is not None else _UNSEEN_S
        return mean_load * min(1.0, max(0.0, age_s / _UNSEEN_S))

    @property
    def stated_load(self) -> int:
        """Requests that it had when it last stated its load; 0 where it has not."""
        return self.report.running + self.report.waiting if self.report is not None else 0

    def hear_load(self, requests: int, at_s: float) -> None:
        """Take in a load that it stated to another entry, unless a later one is known."""
        if self.report is None or at_s > self.report.at_s:
            self.report = LoadReport(requests, 0, min(self.in_flight, requests), at_s)

    def note_failure(self, now_s: float) -> None:
        """Pass it over for a moment; longer with each failure that follows."""
        doublings = min(self.failures, _SUSPECT_DOUBLINGS)
        self.suspect_until_s = now_s + min(_SUSPECT_MOST_S, _SUSPECT_S * 2**doublings)
        self.failures += 1
        # It may have crashed, and have started again before its record says so.
        self.may_be_cold_s = now_s

    def note_answer(self) -> None:
        """Trust it again."""
        self.failures = 0
        self.suspect_until_s = -math.inf

    def end_wait(self, request: object, now_s: float) -> None:
        """Note that a request waits no longer; one that waited for too long counts as bad."""
        if now_s - self.waits.pop(request) > _STALL_S:
            self.faults.note(is_bad=True, now_s=now_s)

    def is_stalled(self, now_s: float) -> bool:
        """Return whether a request has waited there for its answer for too long."""
        return any(now_s - sent_s > _STALL_S for sent_s in self.waits.values())

    def is_suspect(self, now_s: float) -> bool:
        """Return whether it failed a moment ago."""
        return now_s < self.suspect_until_s
