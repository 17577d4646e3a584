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
    Asked as Seen,
)
from beryljunction.systems import (
    AttemptSystem,
    GiveUp,
    PlacementQuery,
    PlacementSystem,
    RanProof,
    RetryBudget,
    Step,
    TicketMint,
    Try,
    body_digest,
)
from beryljunction.tables import Endpoint, EndpointTable, Stamp

__all__ = ["Entry", "WAIT_S"]

WAIT_S = 10.0
_SILENCE_S = 3.0
_REQUEST_S = 25.0
_MAX_HOPS = 4
_STAMP_S = 20.0


@attrs.define(eq=False)
class _Open:
    """A caller's request at this entry."""

    asked: Asked
    attempts: AttemptSystem
    proof: RanProof
    ticket: str | None
    endpoint_id: str = ""
    try_id: str = ""
    tries: int = 0
    hops: int = 0
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
        attempts = AttemptSystem(candidates, self._budget, operation.kind is Kind.IDEMPOTENT)
        row = _Open(asked, attempts, RanProof(operation.is_shared), operation.ticket)
        if operation.ticket is not None:
            self._to_ticket(row, Refusal(RefusalCode.NO_ENDPOINT, "none", Ran.NO))
        else:
            self._go(row, attempts.first())

    def handle(self, message: Message) -> None:
        """Take in one message; what belongs to no open connection is dropped."""
        content = message.content
        if isinstance(content, HelloReply | RefusalReply | AnswerReply | FramesReply):
            self._hear(message.sender, content.stamp)
        row, try_id = self._open.get(message.connection, (None, ""))
        if row is None or row.try_id != try_id:
            return
        row.heard_from_s = self._clock()
        if isinstance(content, HelloReply):
            self._hello(row, message.sender)
        elif isinstance(content, FramesReply):
            self._frames(row, content)
        elif isinstance(content, AnswerReply):
            self._answer(row, content.body)
        elif isinstance(content, RefusalReply):
            self._refusal(row, content)
        elif isinstance(content, Broken):
            self._silent(row)

    def tick(self) -> None:
        """Let time pass: ask again about what is silent, give up on what took too long."""
        now_s = self._clock()
        for row in self._rows():
            if now_s - row.asked.began_s >= _REQUEST_S:
                refusal = Refusal(RefusalCode.OUTCOME_UNKNOWN, "no answer in time", Ran.UNKNOWN)
                if not row.is_sent:
                    refusal = Refusal(RefusalCode.DEADLINE, "never sent", Ran.NO)
                self._refuse(row, refusal, by_ticket_holder=False)
            elif now_s - row.heard_from_s >= _SILENCE_S:
                self._silent(row)

    def _hear(self, endpoint_id: str, stamp: Stamp) -> None:
        known = self._stamps.get(endpoint_id)
        is_same = known is not None and known[0].incarnation == stamp.incarnation
        if known is None or not is_same or stamp.issued_ms > known[0].issued_ms:
            self._stamps[endpoint_id] = (stamp, self._clock())

    def _go(self, row: _Open, step: Step) -> None:
        if isinstance(step, GiveUp):
            self._refuse(row, step.refusal, by_ticket_holder=False)
            return
        assert isinstance(step, Try)
        row.is_last_resort = step.last_resort
        self._try(row, step.endpoint.endpoint_id)

    def _to_ticket(self, row: _Open, otherwise: Refusal) -> None:
        """Go to the endpoint that the row's ticket is bound to, if this entry knows it."""
        ticket = self._mint.read(row.ticket or "")
        assert ticket is not None
        if self.endpoints.get(ticket.stamp.endpoint_id) is None:
            self._refuse(row, otherwise, by_ticket_holder=False)
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
        ticket = row.ticket
        if operation.kind is Kind.PRIVATE:
            digest = body_digest(row.asked.body.encode())
            ticket = self._mint.mint(stamp, row.asked.account, digest)
        row.heard = stamp
        row.heard_age_s = now_s - heard_s
        row.is_sent = True
        others = [s for name, (s, _) in self._stamps.items() if name != row.endpoint_id]
        call = RunCall(
            try_id=row.try_id,
            request_id=row.asked.request_id,
            account=row.asked.account,
            body=row.asked.body,
            streamed=operation.streamed,
            idempotent=operation.kind is Kind.IDEMPOTENT,
            wait_s=WAIT_S,
            latest_s=now_s + WAIT_S,
            heard=stamp,
            heard_age_s=row.heard_age_s,
            ticket=ticket,
            key=operation.key if ticket is None else None,
            candidates=tuple(others) if operation.is_shared else (),
            last_resort=row.is_last_resort or operation.ticket is not None,
        )
        self._call(row, call)

    def _silent(self, row: _Open) -> None:
        """Ask on a new connection what became of the try."""
        row.heard_from_s = self._clock()
        if not self._is_up(row.endpoint_id):
            ran = Ran.UNKNOWN if row.is_sent else Ran.NO
            self._after(row, Refusal(RefusalCode.ENDPOINT_FAILED, "its sidecar is gone", ran))
        elif row.is_sent:
            last = 0
            if row.checker is not None:
                row.checker.restart()
                last = row.checker.last
            self._call(row, AttachCall(row.try_id, row.heard, row.heard_age_s, last))
        else:
            self._call(row, HelloCall())

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

    def _refusal(self, row: _Open, reply: RefusalReply) -> None:
        refusal = reply.refusal
        operation = row.asked.operation
        if refusal.ran is Ran.NO:
            self._oracle.denied(row.try_id)
        if row.got:
            self._refuse(row, attrs.evolve(refusal, ran=Ran.YES), by_ticket_holder=True)
        elif refusal.successor is not None and row.hops < _MAX_HOPS:
            row.hops += 1
            row.ticket = refusal.successor
            self._to_ticket(row, refusal)
        elif self._is_only_this_try(row, reply) and row.tries < _MAX_HOPS:
            row.proof.note(refusal.ran)
            self._try(row, row.endpoint_id)
        elif operation.is_shared:
            self._refuse(row, refusal, reply.by_ticket_holder)
        else:
            self._after(row, refusal)

    @staticmethod
    def _is_only_this_try(row: _Open, reply: RefusalReply) -> bool:
        """Whether the refusal says nothing of the ticket, which its holder must be asked about."""
        if reply.refusal.code is RefusalCode.STALE_STAMP:
            return True
        return row.asked.operation.is_shared and reply.asked is Seen.NOT_RUN

    def _after(self, row: _Open, refusal: Refusal) -> None:
        """Go on after a try that ended without an answer."""
        row.proof.note(refusal.ran)
        if row.ticket is not None or row.got:
            self._refuse(row, refusal, by_ticket_holder=False)
            return
        self._go(row, row.attempts.after(refusal, self.endpoints.get(row.endpoint_id)))

    def _refuse(self, row: _Open, refusal: Refusal, by_ticket_holder: bool) -> None:
        self._close(row)
        final = row.proof.final(refusal, by_ticket_holder)
        self._oracle.refused(row.asked, final.ran, self._clock())

    def _call(self, row: _Open, content: object) -> None:
        connection = self._network.connect()
        self._open[connection] = (row, row.try_id)
        self._network.send(row.endpoint_id, self.name, connection, content)

    def _close(self, row: _Open) -> None:
        self._open = {number: held for number, held in self._open.items() if held[0] is not row}

    def _rows(self) -> list[_Open]:
        return list(dict.fromkeys(row for row, _ in self._open.values()))
