"""What the fleet's processes tell each other."""

import enum

import attrs

from beryljunction.loads import LoadRow

__all__ = [
    "Attach",
    "Cancel",
    "ChatMoved",
    "Drain",
    "Envelope",
    "KeyWish",
    "Outcome",
    "PointerList",
    "PrefixOffer",
    "PrefixTaken",
    "SidecarStatus",
    "TicketGrant",
    "TicketWish",
]


class Outcome(enum.StrEnum):
    """What the answer of a sidecar is.

    Attributes:
        ANSWER: The endpoint's own answer, whole, with the endpoint's status.
        STREAM: Numbered frames of the endpoint's answer.
        REFUSAL: The sidecar's refusal or failure, a typed body.
        PENDING: Nothing to read yet; the reader asks again by an attach.
        DONE: A control message was carried out; the body is its result.
    """

    ANSWER = "answer"
    STREAM = "stream"
    REFUSAL = "refusal"
    PENDING = "pending"
    DONE = "done"


@attrs.frozen
class Envelope:
    """What an entry tells a sidecar about a request besides its body.

    Attributes:
        request_id: Unique for each request of a caller, the same for all its tries.
        attempt: Number of the try; a tombstone stops one try, not those that follow.
        chat_key: 64-bit hash of account and chat id; None for work without a chat.
        chat_id: The engine's name of the chat; empty without a chat or when it is overlong.
        wait_s: Longest wait for a start, relative, since clocks of hosts differ.
        streamed: Whether the answer is a stream of server-sent events.
        method: HTTP method at the endpoint.
        path: Path and query at the endpoint.
        headers: Caller's headers that the endpoint gets.
        loads: Loads of the endpoints that refused this request just now.
        ticket: Ticket that the request runs under; None for idempotent requests.
        heard: Stamp of this sidecar that the entry heard last before it sent the request.
        heard_age_s: Seconds from then to the sending.
        candidates: Stamps of the sidecars where a burned ticket may go on.
    """

    request_id: str
    account: str
    service: str
    wait_s: float
    chat_key: int | None = None
    chat_id: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    idempotent: bool = True
    streamed: bool = False
    warm: bool = False
    last_resort: bool = False
    only_if_warm: bool = False
    ignore_pointer: bool = False
    loads: tuple[LoadRow, ...] = ()
    method: str = "POST"
    path: str = "/v1/chat/completions"
    headers: tuple[tuple[str, str], ...] = ()
    ticket: str | None = None
    attempt: int = 0
    heard: str = ""
    heard_age_s: float = 0.0
    candidates: tuple[str, ...] = ()


@attrs.frozen
class Attach:
    """Takes up the answer of a run on a new connection.

    Attributes:
        heard: Stamp of this sidecar that the entry had heard when it sent the run; empty for none.
        heard_age_s: Seconds from hearing it to sending the run.
        after: Sequence of the last frame that was seen; 0 for none.
        resume: Asked for by a caller with an event id, not by the entry that sent the run; it
            proves nothing about a run that is on its way, so it leaves no tombstone.
    """

    request_id: str
    account: str
    heard: str = ""
    after: int = 0
    attempt: int = 0
    resume: bool = False
    heard_age_s: float = 0.0


@attrs.frozen
class Cancel:
    """The caller hung up."""

    request_id: str
    account: str
    attempt: int = 0


@attrs.frozen
class TicketWish:
    """An account wants a ticket of the sidecar that is asked."""

    account: str


@attrs.frozen
class TicketGrant:
    """A ticket, as its caller gets it."""

    ticket: str


@attrs.frozen
class KeyWish:
    """Claims an idempotency key; the answer is a :class:`TicketGrant` or a refusal.

    Attributes:
        shard: Number of the log stream that settles the key.
        key: Digest of account, service and key.
        body: Digest of the request.
        ticket: Ticket that the key shall stand for if it is new.
    """

    request_id: str
    shard: int
    key: str
    body: str
    ticket: str


@attrs.frozen
class Drain:
    """Take no new work, or take it again."""

    leaving: bool = True


@attrs.frozen
class SidecarStatus:
    """What a sidecar says of itself.

    Attributes:
        kept: Runs that ended but are kept for a reader that comes back.
    """

    endpoint_id: str
    service: str
    incarnation: str
    leaving: bool
    running: int
    waiting: int
    kept: int


@attrs.frozen
class ChatMoved:
    """What an entry tells a chat's home when a later candidate took the chat.

    Attributes:
        tokens: Length of the prefix that the endpoint now holds.
    """

    chat_key: int
    endpoint_id: str
    tokens: int


@attrs.frozen
class PointerList:
    """Chat pointers that a leaving sidecar hands over."""

    rows: tuple[ChatMoved, ...]


@attrs.frozen
class PrefixOffer:
    """A cached prefix that a leaving sidecar hands on.

    Attributes:
        chat_id: The engine's name of the chat.
        sender_id: Endpoint that leaves.
        idle_s: Time since the chat's last answer. A successor that leaves in its turn would take a
            chat that nobody comes back to for a new one otherwise, and hand it on for ever.
        description: What the engine there exported, for the engine that imports it.
    """

    chat_key: int
    chat_id: str
    sender_id: str
    idle_s: float
    description: str


@attrs.frozen
class PrefixTaken:
    """Length of the prefix that the successor has now; 0 when it had no use for it."""

    tokens: int
