"""The oracle: a plain list of what each caller asked and what each engine ran."""

import enum

import attrs

from beryljunction.outcomes import ExecutionStatus, Refusal, RefusalCode
from beryljunction.streams import DONE

__all__ = ["Asked", "EngineRun", "Kind", "Operation", "Oracle"]

_EPSILON_S = 0.05
_DATA = b"data: "
_ID = b"id: "
# What processes of the fleet say to each other; to a caller it means nothing.
_INTERNAL = frozenset((RefusalCode.CHAT_MOVED, RefusalCode.NOT_WARM))


class Kind(enum.StrEnum):
    """How an operation is protected from running twice."""

    IDEMPOTENT = "idempotent"
    PRIVATE = "private"
    TICKET = "ticket"
    KEY = "key"


@attrs.define(eq=False)
class Operation:
    """What a caller wants done once; it may ask for it several times.

    Attributes:
        ticket: Ticket that the caller fetched.
        chat_key: The chat that it belongs to, if any.
    """

    number: int
    kind: Kind
    account: str
    body: str
    streamed: bool
    ticket: str | None = None
    chat_key: int | None = None

    @property
    def key(self) -> str | None:
        """The caller's idempotency key."""
        return f"key-{self.number}" if self.kind is Kind.KEY else None

    @property
    def is_shared(self) -> bool:
        """Whether several requests may stand for this operation."""
        return self.kind in (Kind.TICKET, Kind.KEY)


@attrs.define(eq=False)
class Asked:
    """One request of a caller, and what it was told.

    Attributes:
        received: Frames that the caller has got, over all the connections that it read them from.
    """

    number: int
    operation: Operation
    account: str
    body: str
    began_s: float
    ended_s: float | None = None
    ran: ExecutionStatus | None = None
    try_ran: ExecutionStatus | None = None
    answer: bytes | None = None
    received: bytes = b""

    @property
    def pieces(self) -> list[bytes]:
        """The pieces of the answer that the caller has got, in the order that it got them."""
        lines = self.received.split(b"\n")
        return [row[len(_DATA) :] for row in lines if row.startswith(_DATA) and row != DONE]

    @property
    def last_event_id(self) -> str | None:
        """What the caller sends as ``Last-Event-ID``; None when it has seen no event."""
        ids = [row[len(_ID) :] for row in self.received.split(b"\n") if row.startswith(_ID)]
        return ids[-1].decode() if ids else None

    @property
    def request_id(self) -> str:
        """The id that the entry gives the request."""
        return f"r{self.number}"


@attrs.define(eq=False)
class EngineRun:
    """One run at an engine."""

    number: int
    asked: Asked
    try_id: str
    body: str
    began_s: float
    text: bytes = b""

    @property
    def chunks(self) -> list[bytes]:
        """The pieces of the answer, in order."""
        return [b"%s/%d" % (self.text, piece) for piece in range(3)]


class Oracle:
    """Keeps the two lists and names each promise that was broken."""

    def __init__(self) -> None:
        self.asked: list[Asked] = []
        self.runs: list[EngineRun] = []
        self.violations: list[str] = []
        self._denied: set[str] = set()

    def begin(self, operation: Operation, account: str, body: str, now_s: float) -> Asked:
        """List a request."""
        asked = Asked(len(self.asked), operation, account, body, now_s)
        self.asked.append(asked)
        return asked

    def denied(self, try_id: str) -> None:
        """Note that a sidecar said of one try that it did not run."""
        self._denied.add(try_id)
        if any(run.try_id == try_id for run in self.runs):
            self._broken(f"try {try_id} was called not run, but ran")

    def run(self, try_id: str, body: str, latest_s: float | None, now_s: float) -> EngineRun:
        """List a run and check it against what callers have been told.

        Args:
            try_id: Id that came with the work.
            body: What the engine got.
            latest_s: Time until which the work was of use to its sender; None when the sidecar's
                clock was set, so that it can't know.
            now_s: Virtual time.
        """
        request_id = try_id.partition("/")[0]
        asked = self.asked[int(request_id[1:])]
        text = f"{asked.account}|{body}|{len(self.runs)}".encode()
        run = EngineRun(len(self.runs), asked, try_id, body, now_s, text)
        if try_id in self._denied:
            self._broken(f"try {try_id} was called not run, then ran")
        if asked.try_ran is ExecutionStatus.NO:
            self._broken(f"{request_id} was told no of itself, then ran")
        operation = asked.operation
        if operation.kind is not Kind.IDEMPOTENT and self._runs_of(asked):
            self._broken(f"{operation.kind} operation {operation.number} ran twice")
        if latest_s is not None and now_s > latest_s + _EPSILON_S:
            self._broken(f"{request_id} started {now_s - latest_s:.1f} s after its deadline")
        for told in self.asked:
            if self._makes_false(told, run):
                self._broken(f"{told.request_id} was told no, then {request_id} ran")
        self.runs.append(run)
        return run

    def received(self, asked: Asked, data: bytes) -> None:
        """Note frames that a caller gets: in order, each once, from where it stopped."""
        asked.received += data
        pieces = asked.pieces
        known = [run.chunks for run in self._own_runs_of(asked)]
        if pieces not in [chunks[: len(pieces)] for chunks in known]:
            self._broken(f"{asked.request_id} got {pieces!r}, expected one of {known!r}")

    def resumed(self, asked: Asked) -> None:
        """Note that a caller takes up its stream again, wherever it read it before."""
        asked.ended_s = None
        asked.ran = None

    def refused(self, asked: Asked, refusal: Refusal, now_s: float) -> None:
        """Note a refusal and check that a "no" is true, of all that is meant or of this request."""
        self._end(asked, refusal.ran, now_s)
        asked.try_ran = refusal.try_ran
        if refusal.code in _INTERNAL:
            self._broken(f"{asked.request_id} was told {refusal.code}")
        for run in self._runs_of(asked):
            if refusal.try_ran is ExecutionStatus.NO and run.asked is asked:
                self._broken(f"{asked.request_id} was told no of itself, but ran")
            if refusal.ran is ExecutionStatus.NO and self._is_false(asked, run):
                self._broken(f"{asked.request_id} was told no, but {run.asked.request_id} ran")

    def answered(self, asked: Asked, answer: bytes, now_s: float) -> None:
        """Note a whole answer and check that it is whole and the caller's own."""
        asked.answer = answer
        self._end(asked, ExecutionStatus.YES, now_s)
        known = [b"".join(run.chunks) for run in self._own_runs_of(asked)]
        if answer not in known:
            self._broken(f"{asked.request_id} got {answer!r}, expected one of {known!r}")

    def accepted(self, endpoint_id: str, is_leaving: bool) -> None:
        """Check that an endpoint that took work was not leaving."""
        if is_leaving:
            self._broken(f"{endpoint_id} took new work while it was leaving")

    def stopped(self, endpoint_id: str, unfinished: int) -> None:
        """Check that a planned stop cut nothing."""
        if unfinished:
            self._broken(f"{endpoint_id} stopped with {unfinished} requests in flight")

    def settled(self) -> None:
        """Check, after all faults have ended, that no caller was left without an answer."""
        for asked in self.asked:
            if asked.ended_s is None:
                self._broken(f"{asked.request_id} was never answered")

    def _makes_false(self, told: Asked, run: EngineRun) -> bool:
        """Whether a run that starts now makes an earlier "no" false."""
        if told.ran is not ExecutionStatus.NO or told.operation is not run.asked.operation:
            return False
        if told.body != run.body or told.account != run.asked.account:
            return False
        assert told.ended_s is not None
        ended_s = run.asked.ended_s
        return told is run.asked or (ended_s is not None and ended_s <= told.ended_s)

    @staticmethod
    def _is_false(told: Asked, run: EngineRun) -> bool:
        """Whether a "no" said now is false, unless a request still open accounts for the run."""
        if told.body != run.body or told.account != run.asked.account:
            return False
        return run.asked is told or run.asked.ended_s is not None

    def _runs_of(self, asked: Asked) -> list[EngineRun]:
        """Return the runs of what was asked; a key means something else for each account."""
        same = [run for run in self.runs if run.asked.operation is asked.operation]
        if asked.operation.kind is not Kind.KEY:
            return same
        return [run for run in same if run.asked.account == asked.account]

    def _own_runs_of(self, asked: Asked) -> list[EngineRun]:
        """Return the runs whose answer a caller may get."""
        return [
            run
            for run in self._runs_of(asked)
            if run.body == asked.body and run.asked.account == asked.account
        ]

    def _end(self, asked: Asked, ran: ExecutionStatus, now_s: float) -> None:
        if asked.ended_s is not None:
            self._broken(f"{asked.request_id} was answered twice")
        asked.ended_s = now_s
        asked.ran = ran

    def _broken(self, what: str) -> None:
        self.violations.append(what)
