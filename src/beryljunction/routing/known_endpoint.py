"""An endpoint's own record, and what this process knows of its current incarnation."""

import collections
import math

import attrs

__all__ = ["EndpointRecord", "KnownEndpoint", "LatencyEstimate", "LoadReport"]

# Requests last a second or two, so a reported load is soon outdated. Over this time, the part of it
# that other entries caused decays to zero.
_REPORT_DECAY_S = 2.0
# A call of a plain service is over after about its usual time; twice that covers slower ones.
_CALL_DECAY_FACTOR = 2.0
_MIN_CALL_DECAY_S = 0.02
# Age of a report at which the requests that came after it are estimated at the mean load.
_REPORT_OUTDATED_S = 1.0
# A queue is gone, or has become another one, when its report is older than this.
_QUEUE_TTL_S = 0.5
# Times of one load report differ by this much at most. Each entry that passes it on adds delays,
# so a copy that took longer looks newer.
_SAME_REPORT_S = 0.05
# Weight of a new sample of an endpoint's latency; about the last ten samples count.
_LATENCY_WEIGHT = 0.1
# A latency without new samples for this long is ignored, so that an endpoint that was slow gets
# requests again and can show whether it still is.
_LATENCY_TTL_S = 3.0
# Weight of a new outcome in the error rate; about the last four outcomes count.
_ERROR_WEIGHT = 0.25
# Half-life of that rate without new outcomes, so that a failing endpoint is tried again.
_ERROR_HALF_LIFE_S = 2.0
# An endpoint that keeps a request of this process waiting for longer hangs, or is processing
# several of the longest prompts; other requests are better sent elsewhere until it answers.
_STALL_S = 1.0
# How long an endpoint is skipped after a first failure; each further failure doubles the time. It
# is short, since skipping a healthy endpoint costs its cached prefixes.
_SUSPECT_S = 0.5
_MAX_SUSPECT_S = 4.0
_MAX_SUSPECT_DOUBLINGS = 3
# An endpoint writes fewer records in an hour, and no older copy of the store is restored.
_MAX_SEQUENCE_LAG = 10_000


@attrs.frozen
class EndpointRecord:
    """Record that an endpoint publishes about itself.

    Attributes:
        started_ms: Unix milliseconds of its start; another incarnation under the same id has no
            state of this one.
        slots: Number of requests that it runs concurrently.
        sequence: Number of the record among those of its incarnation.
        version: Version of its software, not of the weights; None if the record states none.
        cold_ms: Remaining warm-up time; None if the record states no usable value.
    """

    endpoint_id: str
    started_ms: int
    service: str
    address: tuple[str, int]
    availability_zone: str
    slots: int
    is_draining: bool
    cold_ms: int | None = 0
    sequence: int = 0
    version: str | None = None

    def is_same_incarnation(self, other: "EndpointRecord") -> bool:
        """Return whether both records are of one incarnation at one address."""
        return self._identity == other._identity

    def is_older_than(self, other: "EndpointRecord") -> bool:
        """Return whether the incarnation wrote this record before another one of its records.

        The number of a record that another writer has changed may be far ahead of all later ones.
        """
        return 0 < other.sequence - self.sequence <= _MAX_SEQUENCE_LAG

    @property
    def _identity(self) -> tuple[object, ...]:
        return self.endpoint_id, self.started_ms, self.address, self.service, self.version

    @property
    def may_reuse_id(self) -> bool:
        """Whether another incarnation may have its id; endpoints with unique ids state no start."""
        return self.started_ms != 0


@attrs.frozen
class LoadReport:
    """Load that an endpoint reported in an answer, to this entry or to one that shared it.

    Attributes:
        own: Requests of this process that the endpoint had at that time.
        slowdown: How long work took on its machine at that time, relative to the usual time; None
            if it didn't report it.
    """

    running: int
    waiting: int
    own: int
    at_s: float
    slowdown: float | None = None


@attrs.define
class LatencyEstimate:
    """Smoothed time that an endpoint takes for one unit of work.

    A unit is one event of a stream, or a whole call of a plain service; both are comparable among
    the endpoints of a service.
    """

    mean_ms: float = 0.0
    at_s: float = -math.inf

    def note(self, took_ms: float, now_s: float) -> None:
        """Add a sample."""
        if now_s - self.at_s > _LATENCY_TTL_S:
            self.mean_ms = took_ms
        else:
            self.mean_ms += _LATENCY_WEIGHT * (took_ms - self.mean_ms)
        self.at_s = now_s

    def is_fresh(self, now_s: float) -> bool:
        """Return whether the last sample is recent."""
        return now_s - self.at_s <= _LATENCY_TTL_S


@attrs.define
class ErrorRate:
    """Share of bad outcomes of an endpoint: errors, refusals, lost or missing answers."""

    _ratio: float = 0.0
    _at_s: float = -math.inf

    def note(self, is_bad: bool, now_s: float) -> None:
        """Add an outcome."""
        ratio = self.at(now_s)
        self._ratio = ratio + _ERROR_WEIGHT * (float(is_bad) - ratio)
        self._at_s = now_s

    def at(self, now_s: float) -> float:
        """Return the rate at this time."""
        if self._ratio == 0.0:
            return 0.0
        return float(self._ratio * 0.5 ** ((now_s - self._at_s) / _ERROR_HALF_LIFE_S))


@attrs.define(eq=False)
class KnownEndpoint:
    """An endpoint and what this process knows of its current incarnation.

    Attributes:
        in_flight: Requests of this process that it has.
        prefill_tokens: Prompt tokens that it is estimated to be prefilling for this process.
        pending_since_s: Send time of each request that has no answer yet, moved on by stalls of
            this process since then.
        kept_until_s: Until when it is kept without a record, which may have expired in an outage of
            the store; None while the record exists.
        is_evacuated: Whether its availability zone gets no new requests.
        leaving_s: Unix seconds at which an answer first said that it is leaving; None if none did.
        paused_until_s: Until when it has asked this process to send it no requests.
        serving_since_s: Since when it gets requests; minus infinity if it always did.
        absent_s: For how long it got none before that; infinity if it is new.
        absent_since_s: When its record was dropped or its zone evacuated, if it was.
        was_seen_joining: Whether it joined, or came back, while this process ran.
        cold_until_s: When it will have warmed up, according to its records.
        may_be_cold_s: When it last may have restarted or become cold without stating so.
        cold_sends_s: When this process sent it requests during about the last second.
        unread: Plans of the requests that it may still read after they were given up, and of the
            retries that it isn't known to have read.
        answered_sent_s: Latest time at which this process sent a request that it has answered.
        unreachable_until_s: Until when it is taken not to accept connections.
        reached_s: When it last accepted a connection of this process.
    """

    record: EndpointRecord
    in_flight: int = 0
    prefill_tokens: int = 0
    report: LoadReport | None = None
    kept_until_s: float | None = None
    is_evacuated: bool = False
    leaving_s: float | None = None
    paused_until_s: float = -math.inf
    serving_since_s: float = -math.inf
    absent_s: float = math.inf
    absent_since_s: float = -math.inf
    was_seen_joining: bool = False
    cold_until_s: float = -math.inf
    may_be_cold_s: float = -math.inf
    cold_sends_s: collections.deque[float] = attrs.field(factory=collections.deque)
    latency: LatencyEstimate = attrs.field(factory=LatencyEstimate)
    error_rate: ErrorRate = attrs.field(factory=ErrorRate)
    pending_since_s: dict[object, float] = attrs.field(factory=dict)
    unread: set[object] = attrs.field(factory=set)
    answered_sent_s: float = -math.inf
    failures: int = 0
    suspect_until_s: float = -math.inf
    unreachable_until_s: float = -math.inf
    reached_s: float = -math.inf

    @property
    def incarnation_id(self) -> tuple[str, int]:
        """Id and start time, which identify the incarnation."""
        return self.record.endpoint_id, self.record.started_ms

    @property
    def is_open(self) -> bool:
        """Whether it may get new requests: it is neither leaving nor evacuated by the operator."""
        return not (self.has_said_leaving or self.is_evacuated)

    @property
    def has_said_leaving(self) -> bool:
        """Whether its record or one of its answers says that it is leaving."""
        return self.record.is_draining or self.leaving_s is not None

    def note_pause(self, pause_s: float, now_s: float) -> None:
        """Record a pause that it asked for; a shorter pause doesn't end a longer one."""
        self.paused_until_s = max(self.paused_until_s, now_s + pause_s)

    def is_paused(self, now_s: float) -> bool:
        """Return whether it has asked to get no requests now."""
        return now_s < self.paused_until_s

    def has_left_since(self, started_ms: int) -> bool:
        """Return whether an answer later than this start time said that it is leaving."""
        return self.leaving_s is not None and started_ms <= self.leaving_s * 1000

    def note_cold(self, cold_ms: int | None, now_s: float) -> None:
        """Record its remaining warm-up time; None if that is not known."""
        if cold_ms is None:
            self.may_be_cold_s = now_s
        else:
            self.cold_until_s = now_s + cold_ms / 1000 if cold_ms else -math.inf

    def load(self, now_s: float, decay_s: float = _REPORT_DECAY_S) -> float:
        """Return the estimated number of requests that it has from all entries.

        Args:
            now_s: Time on the clock of the report.
            decay_s: Age of the report at which requests of other entries in it are over.
        """
        if self.report is None:
            return float(self.in_flight)
        others = max(0, self.report.running + self.report.waiting - self.report.own)
        freshness = max(0.0, 1.0 - (now_s - self.report.at_s) / decay_s)
        return self.in_flight + others * freshness

    def call_decay_s(self, now_s: float) -> float:
        """Return the age of a report at which calls that take as long as its last ones are over."""
        if not self.latency.is_fresh(now_s):
            return _REPORT_DECAY_S
        decay_s = _CALL_DECAY_FACTOR * self.latency.mean_ms / 1000
        return min(_REPORT_DECAY_S, max(_MIN_CALL_DECAY_S, decay_s))

    def expected_unreported(self, mean_load: float, now_s: float) -> float:
        """Return the expected number of requests that it got since its last load report.

        Args:
            mean_load: Mean load of its service.
            now_s: Time on the clock of the report.
        """
        age_s = now_s - self.report.at_s if self.report is not None else _REPORT_OUTDATED_S
        return mean_load * min(1.0, max(0.0, age_s / _REPORT_OUTDATED_S))

    def has_queue(self, now_s: float) -> bool:
        """Return whether requests were waiting at it a moment ago.

        With slots to spare, they wait for memory or behind prompts that are being prefilled.
        """
        if self.report is None or self.report.waiting == 0:
            return False
        return now_s - self.report.at_s < _QUEUE_TTL_S

    @property
    def reported_load(self) -> int:
        """Requests that it had according to its last load report; 0 without a report."""
        return self.report.running + self.report.waiting if self.report is not None else 0

    @property
    def last_report_s(self) -> float:
        """Time of its last load report; minus infinity without a report."""
        return self.report.at_s if self.report is not None else -math.inf

    @property
    def reported_waiting(self) -> int:
        """Requests that were waiting at it according to its last load report."""
        return self.report.waiting if self.report is not None else 0

    def report_age_s(self, now_s: float) -> float:
        """Return the age of its last load report; infinity without a report."""
        return now_s - self.report.at_s if self.report is not None else math.inf

    @property
    def load_since_report(self) -> int:
        """Requests of its last load report, and those that this process sent since; or 0."""
        if self.report is None:
            return 0
        return self.reported_load + max(0, self.in_flight - self.report.own)

    def merge_load(self, requests: int, at_s: float, waiting: int = 0) -> None:
        """Record a load that it reported to another entry, unless a later one is known.

        Entries add what they have sent since the report, of which the endpoint itself states
        nothing while it prefills a long prompt. So of one report the highest number counts.

        Args:
            requests: All its requests.
            at_s: When it reported them.
            waiting: Those of them that were waiting.
        """
        if self.report is not None:
            is_same_time = abs(at_s - self.report.at_s) <= _SAME_REPORT_S
            if is_same_time and waiting == self.report.waiting:
                if requests <= self.load_since_report:
                    return
                at_s = self.report.at_s
            elif at_s <= self.report.at_s:
                return
        own = min(self.in_flight, requests)
        self.report = LoadReport(requests - waiting, waiting, own, at_s)

    def note_return(self, now_s: float) -> None:
        """Record that it gets requests again."""
        self.was_seen_joining = True
        self.serving_since_s = now_s
        self.absent_s = now_s - self.absent_since_s

    def note_failure(self, now_s: float) -> None:
        """Skip it for a while, longer with each further failure."""
        doublings = min(self.failures, _MAX_SUSPECT_DOUBLINGS)
        self.suspect_until_s = now_s + min(_MAX_SUSPECT_S, _SUSPECT_S * 2**doublings)
        self.failures += 1
        # It may have crashed and restarted before its record says so.
        self.may_be_cold_s = now_s

    def note_unreachable(self, now_s: float) -> None:
        """Record that it accepts no connections, so that no prefix is fetched from it."""
        self.unreachable_until_s = now_s + _MAX_SUSPECT_S

    def note_misdirected(self, now_s: float) -> None:
        """Skip it, since another endpoint answered at its address.

        Its record, which is all that contradicts this, expires within this time.
        """
        self.suspect_until_s = now_s + _MAX_SUSPECT_S
        self.note_unreachable(now_s)

    def note_answer(self, sent_s: float) -> None:
        """Reset the failures and stop skipping it; the answer is to a request sent at this time."""
        self.answered_sent_s = max(self.answered_sent_s, sent_s)
        self.failures = 0
        self.suspect_until_s = -math.inf

    def end_wait(self, request: object, now_s: float) -> float:
        """Record that a request no longer waits; too long a wait counts as a bad outcome.

        Returns:
            How long it waited, in seconds.
        """
        waited_s = now_s - self.pending_since_s.pop(request)
        if waited_s > _STALL_S:
            self.error_rate.note(is_bad=True, now_s=now_s)
        return waited_s

    def exclude_stall(self, stall_s: float, now_s: float) -> None:
        """Don't count a time in which this process could not read answers as waiting for them."""
        for request, since_s in self.pending_since_s.items():
            self.pending_since_s[request] = min(now_s, since_s + stall_s)

    def is_stalled(self, now_s: float) -> bool:
        """Return whether a request has been waiting for its answer for too long."""
        return any(now_s - sent_s > _STALL_S for sent_s in self.pending_since_s.values())

    def is_unreachable(self, now_s: float) -> bool:
        """Return whether it accepted no connection a moment ago."""
        return now_s < self.unreachable_until_s

    def is_suspect(self, now_s: float) -> bool:
        """Return whether it is skipped because of a recent failure."""
        return now_s < self.suspect_until_s
