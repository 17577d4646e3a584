"""Messages in flight: each may be delayed, reordered, doubled or lost."""

from collections.abc import Container, Iterator

import attrs

from beryljunction.outcomes import Refusal
from beryljunction.streams import StreamId
from beryljunction.systems import ClaimBatch, KeyClaim
from beryljunction.tables import Stamp

__all__ = [
    "AnswerReply",
    "AppendCall",
    "AppendReply",
    "AttachCall",
    "Broken",
    "FramesReply",
    "HelloCall",
    "HelloReply",
    "KeyCall",
    "KeyReply",
    "Message",
    "MovedCall",
    "Network",
    "RefusalReply",
    "RunCall",
]


@attrs.frozen
class RunCall:
    """An entry's request to a sidecar, as the envelope and body carry it."""

    try_id: str
    request_id: str
    account: str
    body: str
    streamed: bool
    idempotent: bool
    wait_s: float
    latest_s: float
    heard: Stamp | None = None
    heard_age_s: float = 0.0
    ticket: str | None = None
    candidates: tuple[Stamp, ...] = ()
    last_resort: bool = False
    chat_key: int | None = None
    ignore_pointer: bool = False


@attrs.frozen
class MovedCall:
    """An entry tells who keeps a chat's pointer where the chat's prefix lies now."""

    chat_key: int
    endpoint_id: str


@attrs.frozen
class KeyCall:
    """An entry asks the home of a key for the ticket that the key stands for."""

    request_id: str
    claim: KeyClaim


@attrs.frozen
class KeyReply:
    """The ticket that a key stands for."""

    stamp: Stamp
    ticket: str


@attrs.frozen
class AttachCall:
    """An entry asks on a new connection about a try, or for the rest of a stream.

    Attributes:
        resumed_by: Client account whose caller takes up the stream at this entry; empty for a try
            of the entry's own.
    """

    try_id: str
    heard: Stamp | None
    heard_age_s: float
    last: int
    resumed_by: str = ""


@attrs.frozen
class HelloCall:
    """An entry asks a sidecar for its stamp."""


@attrs.frozen
class HelloReply:
    """A sidecar's stamp."""

    stamp: Stamp


@attrs.frozen
class RefusalReply:
    """A refusal, and whether the holder of the ticket's row says so."""

    stamp: Stamp
    refusal: Refusal


@attrs.frozen
class AnswerReply:
    """A whole answer."""

    stamp: Stamp
    body: bytes


@attrs.frozen
class FramesReply:
    """Frames of a streamed answer, and whose they are."""

    stamp: Stamp
    name: StreamId
    data: bytes


@attrs.frozen
class Broken:
    """The connection broke; its other end saw a reset."""


@attrs.frozen
class AppendCall:
    """A sidecar appends a batch of claims to the log."""

    sidecar: str
    batch: ClaimBatch


@attrs.frozen
class AppendReply:
    """The log's answer to an append."""

    batch: ClaimBatch
    is_taken: bool


@attrs.frozen
class Message:
    """Something on its way.

    Attributes:
        target: Name of the process that gets it, whichever start of it is there then.
        connection: Number of the connection; replies go back on it.
        sender: Name of the process that a reply goes to.
    """

    target: str
    sender: str
    connection: int
    content: object


class Network:
    """Holds messages until the fuzz lets them go."""

    def __init__(self) -> None:
        self.in_flight: list[Message] = []
        self._connections = 0

    def __len__(self) -> int:
        return len(self.in_flight)

    def connect(self) -> int:
        """Return the number of a new connection."""
        self._connections += 1
        return self._connections

    def send(self, target: str, sender: str, connection: int, content: object) -> None:
        """Put a message on its way."""
        self.in_flight.append(Message(target, sender, connection, content))

    def take(self, index: int) -> Message:
        """Take a message off the wire; the index wraps around."""
        return self.in_flight.pop(index % len(self.in_flight))

    def double(self, index: int) -> None:
        """Put a copy of a message at the end."""
        self.in_flight.append(self.in_flight[index % len(self.in_flight)])

    def lose_to(self, targets: Container[str]) -> None:
        """Lose everything that is on its way to these processes."""
        self.in_flight = [row for row in self.in_flight if row.target not in targets]

    def drain(self) -> Iterator[Message]:
        """Take what is in flight now, oldest first; what is sent meanwhile stays."""
        taken, self.in_flight = self.in_flight, []
        yield from taken
