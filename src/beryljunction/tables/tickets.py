"""Tickets of non-idempotent requests, and their state at one sidecar."""

import enum
from collections import OrderedDict

import attrs

from beryljunction.outcomes import Refusal

__all__ = ["Answer", "Stamp", "Ticket", "TicketRow", "TicketState", "TicketTable"]


@attrs.frozen
class Stamp:
    """A sidecar's identity and time, as it sends them to entries.

    Attributes:
        incarnation: Id of one run of the sidecar process; never used again after a restart.
        issued_ms: Milliseconds since the sidecar's start. Tickets expire by this clock only.
    """

    endpoint_id: str
    incarnation: str
    issued_ms: int

    def to_text(self) -> str:
        """Return the stamp as a header value."""
        return f"{self.endpoint_id}/{self.incarnation}/{self.issued_ms}"

    @classmethod
    def from_text(cls, text: str) -> "Stamp | None":
        """Return the stamp of a header value, or None if it is malformed."""
        endpoint_id, _, rest = text.partition("/")
        incarnation, _, issued = rest.partition("/")
        if not (endpoint_id and incarnation and issued.isascii() and issued.isdigit()):
            return None
        return cls(endpoint_id, incarnation, int(issued))


@attrs.frozen
class Ticket:
    """The right to run one request at one incarnation of one sidecar.

    Attributes:
        serial: Unique id, the key of the ticket's row at its sidecar.
        body_digest: Digest of the request that the ticket is for; empty until its first claim.
        genuine: Whether it is signed with the fleet's key.
    """

    stamp: Stamp
    serial: str
    account: str
    body_digest: str = ""
    genuine: bool = True


class TicketState(enum.StrEnum):
    """State of a ticket; it only changes to states further down this list."""

    CLAIMED = "claimed"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    RETIRED = "burned"


@attrs.frozen
class Answer:
    """A whole answer, stored to be replayed to a retry."""

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
        request_id: Id of the caller's request that claimed the ticket first.
        deadline_ms: Sidecar time after which the request may not start.
        expires_ms: Sidecar time up to which a claim may still find this row.
        answer: The whole answer; None until the request has finished, or if it was too large.
        refusal: Refusal with which a started request failed.
        successor: The only ticket that may replace a retired one; None until one is minted.
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
    """Claimed tickets by serial, with the total size of the stored answers."""

    def __init__(self) -> None:
        self._rows: dict[str, TicketRow] = {}
        self._answers: OrderedDict[str, int] = OrderedDict()
        self.answer_bytes = 0

    def __len__(self) -> int:
        return len(self._rows)

    def get(self, serial: str) -> TicketRow | None:
        """Return the row of a ticket, or None if it was never claimed or has expired."""
        return self._rows.get(serial)

    def rows(self) -> list[TicketRow]:
        """Return all rows, oldest claim first."""
        return list(self._rows.values())

    def add(self, row: TicketRow) -> None:
        """Insert the row of a first claim."""
        self._rows[row.serial] = row

    def keep_answer(self, row: TicketRow, answer: Answer, limit_bytes: int) -> None:
        """Store an answer; drop the oldest ones while their total size exceeds the limit."""
        row.answer = answer
        self._answers[row.serial] = answer.size_bytes
        self.answer_bytes += answer.size_bytes
        while self.answer_bytes > limit_bytes:
            serial, size_bytes = self._answers.popitem(last=False)
            self._rows[serial].answer = None
            self.answer_bytes -= size_bytes

    def forget(self, serial: str) -> None:
        """Remove the row of a ticket that can't be claimed any more."""
        self._rows.pop(serial, None)
        self.answer_bytes -= self._answers.pop(serial, 0)
