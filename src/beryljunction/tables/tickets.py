"""Tickets of non-idempotent requests, and what one sidecar knows of each."""

import enum
from collections import OrderedDict

import attrs

from beryljunction.outcomes import Refusal

__all__ = ["Answer", "Stamp", "Ticket", "TicketRow", "TicketState", "TicketTable"]


@attrs.frozen
class Stamp:
    """A sidecar's own name and time, as it tells them to entries.

    Attributes:
        incarnation: Names one start of the sidecar; it never comes back after a restart.
        issued_ms: Time of that sidecar since its start. No other clock judges a ticket.
    """

    endpoint_id: str
    incarnation: str
    issued_ms: int

    def to_text(self) -> str:
        """Return the stamp as it goes into a header."""
        return f"{self.endpoint_id}/{self.incarnation}/{self.issued_ms}"

    @classmethod
    def from_text(cls, text: str) -> "Stamp | None":
        """Return the stamp in a header, or None when it is not one."""
        endpoint_id, _, rest = text.partition("/")
        incarnation, _, issued = rest.partition("/")
        if not (endpoint_id and incarnation and issued.isascii() and issued.isdigit()):
            return None
        return cls(endpoint_id, incarnation, int(issued))


@attrs.frozen
class Ticket:
    """The right to run one request at one incarnation of one sidecar.

    Attributes:
        serial: Unique; the row of the ticket at its sidecar goes by it.
        body_digest: Body that the ticket is for; empty until its first claim binds one.
        genuine: Whether its code was written under the fleet's key.
    """

    stamp: Stamp
    serial: str
    account: str
    body_digest: str = ""
    genuine: bool = True


class TicketState(enum.StrEnum):
    """Where a ticket stands; it only moves down this list."""

    CLAIMED = "claimed"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    BURNED = "burned"


@attrs.frozen
class Answer:
    """A whole answer, kept so that a retry gets it again."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    @property
    def size_bytes(self) -> int:
        """Bytes that count against the limit on kept answers."""
        return len(self.body) + sum(len(key) + len(value) for key, value in self.headers)


@attrs.define
class TicketRow:
    """One claimed ticket.

    Attributes:
        request_id: The caller's request that claimed it first.
        deadline_ms: Time of the sidecar after which it may not start.
        expires_ms: Time of the sidecar up to which a claim may still meet this row.
        answer: The whole answer; None before it is there, or when it was too large to keep.
        refusal: How a failed run ended.
        successor: The one ticket that replaces a burned one; None while none was named.
    """

    serial: str
    body_digest: str
    request_id: str
    deadline_ms: int
    expires_ms: int
    state: TicketState = TicketState.CLAIMED
    answer: Answer | None = None
    refusal: Refusal | None = None
    successor: str | None = None


class TicketTable:
    """Claimed tickets by serial, with the bytes of the kept answers summed up."""

    def __init__(self) -> None:
        self._rows: dict[str, TicketRow] = {}
        self._answers: OrderedDict[str, int] = OrderedDict()
        self.answer_bytes = 0

    def __len__(self) -> int:
        return len(self._rows)

    def get(self, serial: str) -> TicketRow | None:
        """Return the row of a ticket, or None when it was never claimed or has expired."""
        return self._rows.get(serial)

    def rows(self) -> list[TicketRow]:
        """Return all rows, oldest claim first."""
        return list(self._rows.values())

    def add(self, row: TicketRow) -> None:
        """Insert the row of a first claim."""
        self._rows[row.serial] = row

    def keep_answer(self, row: TicketRow, answer: Answer, limit_bytes: int) -> None:
        """Keep an answer, at the cost of the oldest kept ones when all do not fit."""
        row.answer = answer
        self._answers[row.serial] = answer.size_bytes
        self.answer_bytes += answer.size_bytes
        while self.answer_bytes > limit_bytes:
            serial, size_bytes = self._answers.popitem(last=False)
            self._rows[serial].answer = None
            self.answer_bytes -= size_bytes

    def forget(self, serial: str) -> None:
        """Drop a row whose ticket can't be claimed any more."""
        self._rows.pop(serial, None)
        self.answer_bytes -= self._answers.pop(serial, 0)
