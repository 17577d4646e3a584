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
    MovedCall,
    Network,
    RefusalReply,
    RunCall,
)
from beryljunction.fuzz.oracle import Asked, Kind, Oracle
from beryljunction.fuzz.sidecars import SERVICE
from beryljunction.outcomes import ExecutionStatus, Refusal, RefusalCode
from beryljunction.streams import SequenceChecker, StreamId, parse_event_id
from beryljunction.systems import (
    EndpointSelector,
    GiveUp,
    KeyClaim,
    KeyUnavailable,
    PlacementQuery,
    RequestAttempts,
    RetryBudget,
    Step,
    TicketMint,
    Try,
    body_digest,
    key_digest,
    key_refusal,
)
from beryljunction.systems.state.ticket_attempts import TicketAttempts, TicketStep, UseTicket
from beryljunction.tables import Endpoint, EndpointTable, Stamp

__all__ = ["Entry", "WAIT_S"]

WAIT_S = 10.0
_SILENCE_S = 3.0
_REQUEST_S = 25.0
_STAMP_S = 20.0


@attrs.define(eq=False)
class _Open:
    """A caller's request at this entry.

    Attributes:
        attempts: How it finds its endpoint; None when its stream is at one already.
        resumed: The stream that its caller takes up again.
        after: Sequence of the last event that the caller had seen then.
    """

    asked: Asked
    attempts: RequestAttempts | TicketAttempts | None = None
    resumed: StreamId | None = None
    after: int = 0
    ignore_pointer: bool = False
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
    has_frames: bool = False


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
        self._placement = EndpointSelector(self.endpoints)
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
        key = operation.chat_key
        if key is None:
            key = zlib.crc32(b"%d" % operation.number)
        candidates = self._placement.candidates(PlacementQuery(SERVICE, key), self._clock())
        attempts: RequestAttempts | TicketAttempts
        if operation.kind is Kind.IDEMPOTENT:
            attempts = RequestAttempts(candidates, self._budget, idempotent=True)
        else:
            attempts = TicketAttempts(candidates, operation.ticket)
        row = _Open(asked, attempts, homes=candidates)
        if operation.kind is Kind.KEY:
            self._to_home(row)
        else:
            self._go(row, attempts.first())

    def resume(self, asked: Asked) -> None:
        """Take up a caller's stream after the event that it saw last, whoever began it."""
        position = parse_event_id(asked.last_event_id or "")
        assert position is not None
        name, after = position
        row = _Open(asked, resumed=name, after=after)
        row.endpoint_id = name.endpoint_id
        row.try_id = name.request_id
        row.is_sent = True
        self._silent(row)

    def hang_up(self, asked: Asked) -> None:
        """Give up what is open for a caller that reads no longer."""
        for row in self._rows():
            if row.asked is asked:
                self._close(row)

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
                refusal = Refusal(
                    RefusalCode.OUTCOME_UNKNOWN, "no answer in time", ExecutionStatus.UNKNOWN
                )
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
            row.ignore_pointer = isinstance(step, Try) and step.ignore_pointer
            self._try(row, step.endpoint.endpoint_id)

    def _to_ticket(self, row: _Open, step: UseTicket) -> None:
        """Go to the endpoint that a ticket is bound to, if this entry knows it."""
        row.ticket = step.ticket
        ticket = self._mint.read(step.ticket)
        assert ticket is not None
        row.is_last_resort = step.last_resort
        if self.endpoints.get(ticket.stamp.endpoint_id) is None:
            refusal = Refusal(
                RefusalCode.TICKET_INVALID, "its endpoint is gone", ExecutionStatus.UNKNOWN
            )
            self._after(row, refusal)
            return
        self._try(row, ticket.stamp.endpoint_id)

    def _try(self, row: _Open, endpoint_id: str) -> None:
        """Begin a try; a sidecar that has not been heard yet is asked for its stamp first."""
        row.tries += 1
        row.endpoint_id = endpoint_id
        row.try_id = f"{row.asked.request_id}/{row.tries}"
        row.heard_from_s = self._clock()
        row.is_sent = False
        row.checker = None
        if not self._is_up(endpoint_id):
            self._after(
                row, Refusal(RefusalCode.ENDPOINT_FAILED, "refused", ExecutionStatus.NO, 1.0)
            )
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
            chat_key=operation.chat_key,
            ignore_pointer=row.ignore_pointer,
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
            refusal = Refusal(
                RefusalCode.OUTCOME_UNKNOWN, "its sidecar is gone", ExecutionStatus.UNKNOWN
            )
            self._after(row, refusal)
        else:
            last = row.after
            if row.checker is not None:
                row.checker.restart()
                last = row.checker.last_sequence
            resumed_by = row.asked.account if row.resumed is not None else ""
            call = AttachCall(row.try_id, row.heard, row.heard_age_s, last, resumed_by)
            self._call(row, call)

    def _frames(self, row: _Open, frames: FramesReply) -> None:
        if not frames.name.can_resume(row.resumed):
            self._refuse(row, Refusal(RefusalCode.NOT_FOUND, "not kept", ExecutionStatus.UNKNOWN))
            return
        if row.checker is None:
            row.checker = SequenceChecker(frames.name, row.after)
        data = row.checker.feed(frames.data)
        if data:
            row.has_frames = True
            self._oracle.received(row.asked, data)
        if row.checker.has_gap:
            self._silent(row)
        if row.checker.complete:
            self._answer(row, b"".join(row.asked.pieces))

    def _answer(self, row: _Open, body: bytes) -> None:
        self._budget.earn()
        self._tell_keepers(row)
        self._close(row)
        self._oracle.answered(row.asked, body, self._clock())

    def _tell_keepers(self, row: _Open) -> None:
        """Tell who keeps a chat's pointer who took the chat."""
        chat_key = row.asked.operation.chat_key
        taker = self.endpoints.get(row.endpoint_id)
        if chat_key is None or taker is None or not isinstance(row.attempts, RequestAttempts):
            return
        for keeper in row.attempts.pointer_holders(taker):
            moved = MovedCall(chat_key, taker.endpoint_id)
            self._network.send(keeper.endpoint_id, self.name, self._network.connect(), moved)

    def _refusal(self, row: _Open, refusal: Refusal) -> None:
        if row.is_claiming:
            self._refuse(row, refusal)
            return
        if refusal.ran is ExecutionStatus.NO:
            self._oracle.denied(row.try_id)
        self._after(row, refusal)

    def _after(self, row: _Open, refusal: Refusal) -> None:
        """Go on after a try that ended without an answer."""
        if row.is_claiming:
            self._to_home(row)
        elif row.has_frames:
            self._refuse(row, Refusal(RefusalCode.INCOMPLETE, refusal.message, ExecutionStatus.YES))
        elif row.attempts is None:
            self._refuse(row, refusal)
        elif isinstance(row.attempts, TicketAttempts):
            self._go(row, row.attempts.after(refusal, row.ticket))
        else:
            endpoint = self.endpoints.get(row.endpoint_id)
            self._go(row, row.attempts.after(refusal, endpoint))

    def _refuse(self, row: _Open, refusal: Refusal) -> None:
        self._close(row)
        self._oracle.refused(row.asked, refusal, self._clock())

    def _call(self, row: _Open, content: object) -> None:
        connection = self._network.connect()
        self._open[connection] = (row, row.try_id)
        self._network.send(row.endpoint_id, self.name, connection, content)

    def _close(self, row: _Open) -> None:
        self._open = {number: held for number, held in self._open.items() if held[0] is not row}

    def _rows(self) -> list[_Open]:
        return list(dict.fromkeys(row for row, _ in self._open.values()))
