"""An entry without sockets: the real systems, wired as the shell wires them."""

import zlib
from collections.abc import Callable

import attrs

from beryljunction.fuzz.network import (
    AnswerReply,
    AttachCall,
    Broken,
    FramesReply,
    HelloCall,
    HelloReply,
    KeyCall,
    KeyReply,
    Message,
    Network,
    RefusalReply,
    RunCall,
)
from beryljunction.fuzz.oracle import Asked, Kind, Oracle
from beryljunction.fuzz.sidecars import SERVICE
from beryljunction.outcomes import Ran, Refusal, RefusalCode
from beryljunction.streams import DONE, SequenceChecker
from beryljunction.systems import (
    AttemptSystem,
    GiveUp,
    KeyClaim,
    KeyUnavailable,
    PlacementQuery,
    PlacementSystem,
    RetryBudget,
    Step,
    TicketMint,
    Try,
    body_digest,
    key_digest,
    key_refusal,
)
from beryljunction.systems.ticket_attempts import TicketAttempts, TicketStep, UseTicket
from beryljunction.tables import Endpoint, EndpointTable, Stamp

__all__ = ["Entry", "WAIT_S"]

WAIT_S = 10.0
_SILENCE_S = 3.0
_REQUEST_S = 25.0
_STAMP_S = 20.0


@attrs.define(eq=False)
class _Open:
    """A caller's request at this entry."""

    asked: Asked
    attempts: AttemptSystem | TicketAttempts
    homes: list[Endpoint] = attrs.field(factory=list)
    is_claiming: bool = False
    ticket: str | None = None
    endpoint_id: str = ""
    try_id: str = ""
    tries: int = 0
    is_sent: bool = False
    is_last_resort: bool = False
    heard: Stamp | None = None
    heard_age_s: float = 0.0
    heard_from_s: float = 0.0
    checker: SequenceChecker | None = None
    got: bytes = b""


class Entry:
    """One start of an entry; it keeps nothing that matters."""

    def __init__(
        self,
        name: str,
        clock: Callable[[], float],
        network: Network,
        oracle: Oracle,
        mint: TicketMint,
        endpoints: list[Endpoint],
        is_up: Callable[[str], bool],
    ) -> None:
        self.name = name
        self.endpoints = EndpointTable(endpoints)
        self._clock = clock
        self._network = network
        self._oracle = oracle
        self._mint = mint
        self._is_up = is_up
        self._placement = PlacementSystem(self.endpoints)
        self._budget = RetryBudget()
        self._stamps: dict[str, tuple[Stamp, float]] = {}
        self._open: dict[int, tuple[_Open, str]] = {}

    @property
    def open_requests(self) -> list[Asked]:
        """Callers' requests that are open here."""
        return [row.asked for row in self._rows()]

    def greet(self) -> None:
        """Ask every sidecar for its stamp."""
        for row in self.endpoints:
            self._network.send(row.endpoint_id, self.name, self._network.connect(), HelloCall())

    def ask(self, asked: Asked) -> None:
        """Take a caller's request."""
        operation = asked.operation
        key = zlib.crc32(b"%d" % operation.number)
        candidates = self._placement.candidates(PlacementQuery(SERVICE, key), self._clock())
        if operation.kind is Kind.IDEMPOTENT:
            row = _Open(asked, AttemptSystem(candidates, self._budget, idempotent=True))
        else:
            row = _Open(asked, TicketAttempts(candidates, operation.ticket), candidates)
        if operation.kind is Kind.KEY:
            self._to_home(row)
        else:
            self._go(row, row.attempts.first())

    def handle(self, message: Message) -> None:
        """Take in one message; what belongs to no open connection is dropped."""
        content = message.content
        if isinstance(content, HelloReply | KeyReply | RefusalReply | AnswerReply | FramesReply):
            self._hear(message.sender, content.stamp)
        row, try_id = self._open.get(message.connection, (None, ""))
        if row is None or row.try_id != try_id:
            return
        row.heard_from_s = self._clock()
        if isinstance(content, HelloReply):
            self._hello(row, message.sender)
        elif isinstance(content, KeyReply):
            self._keyed(row, content.ticket)
        elif isinstance(content, FramesReply):
            self._frames(row, content)
        elif isinstance(content, AnswerReply):
            self._answer(row, content.body)
        elif isinstance(content, RefusalReply):
            self._refusal(row, content.refusal)
        elif isinstance(content, Broken):
            self._silent(row)

    def tick(self) -> None:
        """Let time pass: ask again about what is silent, give up on what took too long."""
        now_s = self._clock()
        for row in self._rows():
            if now_s - row.asked.began_s >= _REQUEST_S:
                refusal = Refusal(RefusalCode.OUTCOME_UNKNOWN, "no answer in time", Ran.UNKNOWN)
                self._refuse(row, refusal)
            elif now_s - row.heard_from_s >= _SILENCE_S:
                self._silent(row)

    def _hear(self, endpoint_id: str, stamp: Stamp) -> None:
        known = self._stamps.get(endpoint_id)
        is_same = known is not None and known[0].incarnation == stamp.incarnation
        if known is None or not is_same or stamp.issued_ms > known[0].issued_ms:
            self._stamps[endpoint_id] = (stamp, self._clock())

    def _to_home(self, row: _Open) -> None:
        """Ask the next home of the key for its ticket; any sidecar will do, the log decides."""
        if not row.homes:
            self._refuse(row, key_refusal(KeyUnavailable(1.0)))
            return
        row.is_claiming = True
        self._try(row, row.homes.pop(0).endpoint_id)

    def _keyed(self, row: _Open, ticket: str) -> None:
        row.is_claiming = False
        candidates = list(self.endpoints)
        row.attempts = TicketAttempts(candidates, ticket)
        self._go(row, row.attempts.first())

    def _go(self, row: _Open, step: Step | TicketStep) -> None:
        if isinstance(step, GiveUp):
            self._refuse(row, step.refusal)
        elif isinstance(step, UseTicket):
            self._to_ticket(row, step)
        else:
            row.ticket = None
            row.is_last_resort = isinstance(step, Try) and step.last_resort
            self._try(row, step.endpoint.endpoint_id)

    def _to_ticket(self, row: _Open, step: UseTicket) -> None:
        """Go to the endpoint that a ticket is bound to, if this entry knows it."""
        row.ticket = step.ticket
        ticket = self._mint.read(step.ticket)
        assert ticket is not None
        row.is_last_resort = step.last_resort
        if self.endpoints.get(ticket.stamp.endpoint_id) is None:
            refusal = Refusal(RefusalCode.TICKET_INVALID, "its endpoint is gone", Ran.UNKNOWN)
            self._after(row, refusal)
            return
        self._try(row, ticket.stamp.endpoint_id)

    def _try(self, row: _Open, endpoint_id: str) -> None:
        """Begin a try; a sidecar that has not been heard yet is asked for its stamp first."""
        row.tries += 1
        row.endpoint_id = endpoint_id
        row.try_id = f"{row.asked.request_id}.{row.tries}"
        row.heard_from_s = self._clock()
        row.is_sent = False
        if not self._is_up(endpoint_id):
            self._after(row, Refusal(RefusalCode.ENDPOINT_FAILED, "refused", Ran.NO, 1.0))
        elif self._has_heard(endpoint_id):
            self._send(row)
        else:
            self._call(row, HelloCall())

    def _has_heard(self, endpoint_id: str) -> bool:
        """Whether a sidecar was heard lately enough that a ticket under its stamp lives on."""
        _, heard_s = self._stamps.get(endpoint_id, (None, -_STAMP_S))
        return self._clock() - heard_s < _STAMP_S

    def _hello(self, row: _Open, endpoint_id: str) -> None:
        if not row.is_sent and endpoint_id == row.endpoint_id:
            self._send(row)

    def _send(self, row: _Open) -> None:
        operation = row.asked.operation
        now_s = self._clock()
        stamp, heard_s = self._stamps[row.endpoint_id]
        row.heard = stamp
        row.heard_age_s = now_s - heard_s
        row.is_sent = True
        if row.is_claiming:
            self._call(row, self._key_call(row, stamp))
            return
        is_idempotent = operation.kind is Kind.IDEMPOTENT
        if row.ticket is None and not is_idempotent:
            row.ticket = self._mint.mint(stamp, row.asked.account)
        others = [s for name, (s, _) in self._stamps.items() if name != row.endpoint_id]
        call = RunCall(
            try_id=row.try_id,
            request_id=row.asked.request_id,
            account=row.asked.account,
            body=row.asked.body,
            streamed=operation.streamed,
            idempotent=is_idempotent,
            wait_s=WAIT_S,
            latest_s=now_s + WAIT_S,
            heard=stamp,
            heard_age_s=row.heard_age_s,
            ticket=row.ticket,
            candidates=tuple(others),
            last_resort=row.is_last_resort,
        )
        self._call(row, call)

    def _key_call(self, row: _Open, stamp: Stamp) -> KeyCall:
        asked = row.asked
        key = key_digest(asked.account, SERVICE, asked.operation.key or "")
        ticket = self._mint.mint(stamp, asked.account)
        return KeyCall(row.try_id, KeyClaim(key, body_digest(asked.body.encode()), ticket))

    def _silent(self, row: _Open) -> None:
        """Ask on a new connection what became of the try."""
        row.heard_from_s = self._clock()
        if row.is_claiming:
            self._to_home(row)
        elif not row.is_sent:
            self._call(row, HelloCall())
        elif not self._is_up(row.endpoint_id):
            refusal = Refusal(RefusalCode.OUTCOME_UNKNOWN, "its sidecar is gone", Ran.UNKNOWN)
            self._after(row, refusal)
        else:
            last = 0
            if row.checker is not None:
                row.checker.restart()
                last = row.checker.last
            self._call(row, AttachCall(row.try_id, row.heard, row.heard_age_s, last))

    def _frames(self, row: _Open, frames: FramesReply) -> None:
        if row.checker is None:
            row.checker = SequenceChecker(frames.name)
        row.got += row.checker.feed(frames.data)
        if row.checker.gap:
            self._silent(row)
        if not row.checker.complete:
            return
        lines = [line for line in row.got.split(b"\n") if line.startswith(b"data: ")]
        pieces = [line.removeprefix(b"data: ") for line in lines if line != DONE]
        self._answer(row, b"".join(pieces))

    def _answer(self, row: _Open, body: bytes) -> None:
        self._budget.earn()
        self._close(row)
        self._oracle.answered(row.asked, body, self._clock())

    def _refusal(self, row: _Open, refusal: Refusal) -> None:
        if row.is_claiming:
            self._refuse(row, refusal)
            return
        if refusal.ran is Ran.NO:
            self._oracle.denied(row.try_id)
        self._after(row, refusal)

    def _after(self, row: _Open, refusal: Refusal) -> None:
        """Go on after a try that ended without an answer."""
        if row.is_claiming:
            self._to_home(row)
        elif row.got:
            self._refuse(row, attrs.evolve(refusal, ran=Ran.YES))
        elif isinstance(row.attempts, TicketAttempts):
            self._go(row, row.attempts.after(refusal, row.ticket))
        else:
            endpoint = self.endpoints.get(row.endpoint_id)
            self._go(row, row.attempts.after(refusal, endpoint))

    def _refuse(self, row: _Open, refusal: Refusal) -> None:
        self._close(row)
        self._oracle.refused(row.asked, refusal.ran, self._clock(), refusal.try_ran)

    def _call(self, row: _Open, content: object) -> None:
        connection = self._network.connect()
        self._open[connection] = (row, row.try_id)
        self._network.send(row.endpoint_id, self.name, connection, content)

    def _close(self, row: _Open) -> None:
        self._open = {number: held for number, held in self._open.items() if held[0] is not row}

    def _rows(self) -> list[_Open]:
        return list(dict.fromkeys(row for row, _ in self._open.values()))
