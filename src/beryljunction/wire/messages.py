"""Messages exchanged between processes of the fleet."""

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
    """Kind of a sidecar's response.

    Attributes:
        ANSWER: The endpoint's complete response, with the endpoint's status.
        STREAM: Numbered frames of the endpoint's streamed response.
        REFUSAL: A refusal or failure of the sidecar, with a typed error body.
        PENDING: No data yet; the reader asks again with an :class:`Attach`.
        DONE: A control message was processed; the body is its result.
    """

    ANSWER = "answer"
    STREAM = "stream"
    REFUSAL = "refusal"
    PENDING = "pending"
    DONE = "done"


@attrs.frozen
class Envelope:
    """Metadata that an entry sends to a sidecar with a request's body.

    Attributes:
        request_id: Unique for each request of a caller, the same for all its attempts.
        attempt: Number of the attempt; a tombstone blocks one attempt, not the later ones.
        chat_key: 64-bit hash of account and chat id; None for a request without a chat.
        chat_id: The engine's id of the chat; empty without a chat or when the id is too long.
        wait_s: Longest wait for the start; relative, because the clocks of hosts differ.
        streamed: Whether the response is a stream of server-sent events.
        method: HTTP method of the request to the endpoint.
        path: Path and query of the request to the endpoint.
        headers: Headers of the caller that are forwarded to the endpoint.
        loads: Loads of the endpoints that have just refused this request.
        ticket: Ticket that the request runs under; None for idempotent requests.
        heard: Last stamp of this sidecar that the entry received before it sent the request.
        heard_age_s: Seconds between receiving that stamp and sending the request.
        candidates: Stamps of the sidecars where a request with a burned ticket may continue.
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
    """Resumes reading the response of a run on a new connection.

    Attributes:
        heard: Last stamp of this sidecar that the entry had received when it sent the run; empty
            for none.
        heard_age_s: Seconds between receiving that stamp and sending the run.
        after: Sequence number of the last frame received; 0 for none.
        resume: Whether a caller asked with an event id, rather than the entry that sent the run.
            Such a request proves nothing about a run that may still arrive, so it leaves no
            tombstone.
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
    """Cancels a request whose caller has disconnected."""

    request_id: str
    account: str
    attempt: int = 0


@attrs.frozen
class TicketWish:
    """Asks a sidecar to issue a ticket for an account."""

    account: str


@attrs.frozen
class TicketGrant:
    """A ticket in the form that the caller receives."""

    ticket: str


@attrs.frozen
class KeyWish:
    """Claims an idempotency key; the response is a :class:`TicketGrant` or a refusal.

    Attributes:
        shard: Number of the log stream that decides who owns the key.
        key: Digest of account, service and key.
        body: Digest of the request.
        ticket: Ticket that is assigned to the key if the key is new.
    """

    request_id: str
    shard: int
    key: str
    body: str
    ticket: str


@attrs.frozen
class Drain:
    """Tells a sidecar to stop accepting new requests, or to accept them again."""

    leaving: bool = True


@attrs.frozen
class SidecarStatus:
    """Status of a sidecar.

    Attributes:
        kept: Finished runs that are retained so that a reader can resume them.
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
    """Notifies a chat's home that another candidate has served the chat.

    Attributes:
        tokens: Length of the prefix that the endpoint has in its cache now.
    """

    chat_key: int
    endpoint_id: str
    tokens: int


@attrs.frozen
class PointerList:
    """Chat pointers that a leaving sidecar transfers to another one."""

    rows: tuple[ChatMoved, ...]


@attrs.frozen
class PrefixOffer:
    """A cached prefix that a leaving sidecar offers to its successor.

    Attributes:
        chat_id: The engine's id of the chat.
        sender_id: Endpoint that leaves.
        idle_s: Time since the chat's last response. Without it, each successor that leaves later
            would treat an abandoned chat as new and transfer it again, forever.
        description: Export of the leaving engine, as input for the engine that imports it.
    """

    chat_key: int
    chat_id: str
    sender_id: str
    idle_s: float
    description: str


@attrs.frozen
class PrefixTaken:
    """Length of the prefix that the successor has now; 0 when it declined the prefix."""

    tokens: int
