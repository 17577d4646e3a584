"""What a soak records: attempts of callers, runs of endpoints, entry processes and faults.

All times are in seconds of the monotonic clock, which the processes of a machine share.
"""

import bisect
import re

import attrs

from soak.standins import EVENTS, answer_body, event_bytes

__all__ = [
    "ROUTES",
    "Attempt",
    "Bounds",
    "EndpointLife",
    "Evidence",
    "ProcessRun",
    "Route",
    "RouteVersion",
    "Run",
    "find_defect",
    "find_events",
]

RESENDABLE = (408, 421, 429, 503)
_EVENT = re.compile(rb"id: (\d+)\n[^\n]*?(?: by (v\d+))?\n\n")
_VERSION = re.compile(rb" by v\d+")


@attrs.frozen
class Route:
    """A route of the configuration; `kind` is the platform's word."""

    name: str
    kind: str
    service: str
    timeout_s: float
    max_attempts: int
    resumes: bool = False

    @property
    def runs_once(self):
        return self.kind != "idempotent" and not self.resumes

    @property
    def method(self):
        return "GET" if self.kind == "idempotent" else "POST"


ROUTES = {
    route.name: route
    for route in (
        Route("notes", "non_idempotent", "ledger", 1.5, 2),
        Route("reads", "idempotent", "ledger", 1.5, 3),
        Route("chat", "streaming", "drafter", 4.0, 2),
        Route("talk", "streaming", "drafter", 4.0, 3, resumes=True),
    )
}


@attrs.define
class Attempt:
    """One request of a caller, with an id of its own.

    Attributes:
        connected_s: When its connection began to be opened.
        deadline_s: How long the caller said that it waits.
        answered_before: Answers on this connection before it.
        status: None without an answer.
        is_complete: Whether the answer looked complete.
        defect: What is wrong with the answer; empty if nothing is.
        problem: Why there is no answer.
        has_left: Whether its caller closed the connection.
        resumes: Id of the attempt that brought the first event of the stream which it resumes.
        events: Number and version of each whole event of its answer.
        parts: Parts of its prompt.
        refusal: Reason of an entry that refused it.
    """

    id: str
    route: Route
    entry: str
    key: str
    connected_s: float
    sent_s: float
    ended_s: float = 0.0
    deadline_s: float = attrs.field()
    answered_before: int = 0
    first_event: int = 1
    status: int | None = None
    is_complete: bool = False
    signature: str = ""
    defect: str = ""
    problem: str = ""
    has_left: bool = False
    resumes: str = ""
    events: tuple = ()
    parts: tuple = ()
    refusal: str = ""

    @deadline_s.default
    def _timeout_of_route(self):
        return self.route.timeout_s

    @property
    def is_served(self):
        return self.status == 200 and self.is_complete

    @property
    def may_resend(self):
        """Whether a caller may send it once more, under a new id."""
        if self.status is None or not self.is_complete:
            return not self.route.runs_once
        return self.status in RESENDABLE or (not self.route.runs_once and self.status >= 500)


def find_defect(attempt, message):
    """Return what is wrong with an answer by itself; empty if nothing is."""
    signature = message.headers.get("x-server-signature", "")
    if message.headers.get("x-request-id", attempt.id) != attempt.id:
        return f"answer to {message.headers['x-request-id']}"
    if signature and signature.partition(".")[2] != attempt.id:
        return f"signature of {signature}"
    if not 200 <= message.status < 300:
        return ""
    if not signature:
        return "success without a signature"
    if attempt.route.kind == "streaming":
        return _find_stream_defect(attempt, message)
    expected = answer_body(signature.partition(".")[0], attempt.id)
    if message.is_complete and message.body != expected:
        return f"looks complete: expected {len(expected)} bytes of the endpoint, got another body"
    return "" if expected.startswith(message.body) else "part of another body"


def _find_stream_defect(attempt, message):
    first = attempt.first_event
    expected = b"".join(event_bytes(number, attempt.id) for number in range(first, EVENTS + 1))
    # Whether all events are of one version is judged over all attempts of a stream.
    expected, body = (_VERSION.sub(b" by v", row) for row in (expected, message.body))
    if message.is_complete and body != expected or not expected.startswith(body):
        ids = [number for number, _ in find_events(message.body)]
        return f"stream: expected events {first} to {EVENTS}, got {ids}"
    return ""


def find_events(body):
    """Return the number and the version of each whole event."""
    return tuple((int(number), version.decode()) for number, version in _EVENT.findall(body))


@attrs.frozen
class Run:
    """A line of an endpoint: `what` is start, end, drop, cut, crash or reject.

    Attributes:
        deadline_ms: Time that the request left the endpoint, of a start or reject; None for none.
    """

    s: float
    what: str
    endpoint: str
    id: str
    status: int = 0
    deadline_ms: int | None = None
    version: str = "v1"

    @property
    def is_arrival(self):
        return self.what in ("start", "reject")


@attrs.define
class ProcessRun:
    """One process of an entry, from its start to its end.

    Attributes:
        has_log: Whether its output goes to a file.
        early_signals: Those that it was sent before the interpreter ran any of its program.
        stopped_s: When it was first sent SIGTERM or SIGINT.
        hindered_until_s: Until when something of the soak kept it from becoming ready.
    """

    entry: str
    number: int
    started_s: float
    grace_s: float = 8.0
    has_log: bool = True
    log: str = ""
    early_signals: tuple = ()
    stopped_s: float | None = None
    killed_s: float | None = None
    ended_s: float | None = None
    status: int | None = None
    ready_s: float | None = None
    hindered_until_s: float = 0.0

    @property
    def name(self):
        return f"{self.entry}.{self.number}"


@attrs.define
class EndpointLife:
    """One process of an endpoint.

    Attributes:
        joined_s: When the store acknowledged its first record; None while it hasn't.
        leaves_s: When it was killed, or told to drain.
        killed_s: When it was killed; None if it wasn't.
    """

    name: str
    service: str
    version: str
    joined_s: float | None = None
    leaves_s: float = float("inf")
    killed_s: float | None = None


@attrs.frozen
class Bounds:
    """Bounds of the settings file that the rules refer to."""

    ratio: float = 0.2
    slack: int = 54
    window_s: float = 10.0
    drain_s: float = 2.0
    revocation_s: float = 5.0
    stable_s: float = 3.0
    loss_slack_s: float = 0.2


@attrs.define
class RouteVersion:
    """The routes by name, and from when until when they may be in force somewhere."""

    routes: dict
    from_s: float = 0.0
    to_s: float = float("inf")


@attrs.define
class Evidence:
    """All that one run recorded.

    Attributes:
        pauses: Name of a process, from, to; "machine" when it was too busy to run the soak for
            long, "callers" when for a moment.
        holds: Entry whose port for callers was another process's, from, to.
        endpoint_ends: When an endpoint was killed.
        draining: When the store acknowledged that an endpoint drains.
        deadly_part: Part of prompts that ends endpoints; empty for none.
        lives: Processes of endpoints.
        cuts: Entry that was cut off from the store and the other entries, from, to.
        revocations: Key, acknowledgement of its removal, sending of its return.
        notes: The faults as they were played: time, text.
        versions: Routes by their time.
    """

    bounds: Bounds = attrs.field(factory=Bounds)
    attempts: list = attrs.field(factory=list)
    runs: list = attrs.field(factory=list)
    processes: list = attrs.field(factory=list)
    pauses: list = attrs.field(factory=list)
    holds: list = attrs.field(factory=list)
    endpoint_ends: dict = attrs.field(factory=dict)
    draining: dict = attrs.field(factory=dict)
    deadly_part: str = ""
    lives: list = attrs.field(factory=list)
    cuts: list = attrs.field(factory=list)
    revocations: list = attrs.field(factory=list)
    unready: list = attrs.field(factory=list)
    notes: list = attrs.field(factory=list)
    versions: list = attrs.field(factory=lambda: [RouteVersion(ROUTES)])
    started_s: float = 0.0
    ended_s: float = 0.0

    def runs_by_id(self):
        rows = {}
        for run in sorted(self.runs, key=lambda run: run.s):
            rows.setdefault(run.id, []).append(run)
        return rows

    def routes_in_force(self, name, from_s, to_s):
        """Return what a route may have been at some time of a span."""
        rows = [row for row in self.versions if row.from_s <= to_s and row.to_s >= from_s]
        return [row.routes[name] for row in rows]

    def kills_of(self, endpoint):
        """Return when the processes of an endpoint's id were killed."""
        kills = [row.killed_s for row in self.lives if row.name == endpoint]
        return [row for row in (*kills, self.endpoint_ends.get(endpoint)) if row is not None]

    def paused_s(self, name, from_s, to_s):
        """Return how long a process was suspended within a span."""
        spans = [(max(a, from_s), min(b, to_s)) for who, a, b in self.pauses if who == name]
        return sum(max(0.0, b - a) for a, b in spans)

    def is_in_touch(self, entry, from_s, to_s):
        """Return whether nothing of the soak disturbed an entry or the store in a span."""
        from_s -= self.bounds.stable_s
        if any(name == entry and a <= to_s and b >= from_s for name, a, b in self.cuts):
            return False
        if any(self.paused_s(name, from_s, to_s) for name in (entry, "store", "machine")):
            return False
        moments = [
            moment
            for row in self.processes
            if row.entry == entry
            for moment in (row.started_s, row.stopped_s, row.killed_s, row.ended_s)
            if moment is not None
        ]
        return not any(from_s <= moment <= to_s for moment in moments)


def count_within(times, from_s, to_s):
    """Return how many of sorted times lie in a span."""
    return bisect.bisect_left(times, to_s) - bisect.bisect_left(times, from_s)
