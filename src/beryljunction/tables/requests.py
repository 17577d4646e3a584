"""Waiting and running requests of one sidecar."""

import enum
from collections.abc import Iterator

import attrs

__all__ = ["PREFILL_COST_RATIO", "RequestTable", "SidecarRequest", "SidecarRequestState"]


# Cost of an uncached prompt token in output tokens. An engine prefills about 20,000 tokens a second
# and generates 3,000 to 4,000. If both counted alike, an endpoint that has just restarted and
# prefills every chat would look overloaded while its batch is half empty.
PREFILL_COST_RATIO = 0.15


class SidecarRequestState(enum.StrEnum):
    """State of a request at the sidecar."""

    WAITING = "waiting"
    RUNNING = "running"


@attrs.define
class SidecarRequest:
    """One request at a sidecar.

    Attributes:
        chat_key: 64-bit hash of client account and chat id; None for a request without a chat.
        prompt_tokens: Estimated tokens of the prompt.
        output_tokens: Estimated tokens of the answer.
        cached_tokens: Estimated tokens of the prompt that are cached at this endpoint.
        arrived_s: Monotonic time of arrival.
        deadline_s: Monotonic time after which a start is useless to the caller.
        warm: Whether the prefix is cached here according to the entry or a pointer.
        last_resort: Whether every other candidate has already refused.
        only_if_warm: Whether to refuse the request unless its prefix is cached here.
        ignore_pointer: Whether a pointer to another endpoint was already tried without success.
        wait_until_s: Monotonic time until which the request may wait here; set on admission.
    """

    request_id: str
    account: str
    arrived_s: float
    deadline_s: float
    chat_key: int | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    cached_tokens: int = 0
    priority: int = 0
    idempotent: bool = True
    warm: bool = False
    last_resort: bool = False
    only_if_warm: bool = False
    ignore_pointer: bool = False
    wait_until_s: float = 0.0
    state: SidecarRequestState = SidecarRequestState.WAITING
    started_s: float | None = None

    @property
    def cost_tokens(self) -> int:
        """Cost of the request in output tokens; at least one, so that every request counts."""
        cold_tokens = self.prompt_tokens - self.cached_tokens
        return max(1, int(PREFILL_COST_RATIO * cold_tokens) + self.output_tokens)


class RequestTable:
    """Admitted requests by id, with the running sums that the load bound needs."""

    def __init__(self) -> None:
        self._rows: dict[str, SidecarRequest] = {}
        self.running_count = 0
        self.running_tokens = 0

    def __len__(self) -> int:
        return len(self._rows)

    def __iter__(self) -> Iterator[SidecarRequest]:
        return iter(tuple(self._rows.values()))

    @property
    def waiting_count(self) -> int:
        """Number of admitted requests that have not started."""
        return len(self._rows) - self.running_count

    def get(self, request_id: str) -> SidecarRequest | None:
        """Return the row, or None if the request is unknown."""
        return self._rows.get(request_id)

    def add(self, request: SidecarRequest) -> None:
        """Insert a waiting request."""
        self._rows[request.request_id] = request

    def start(self, request: SidecarRequest, now_s: float) -> None:
        """Mark a waiting request as running."""
        request.state = SidecarRequestState.RUNNING
        request.started_s = now_s
        self.running_count += 1
        self.running_tokens += request.cost_tokens

    def remove(self, request_id: str) -> SidecarRequest | None:
        """Remove a request and return its row."""
        request = self._rows.pop(request_id, None)
        if request is not None and request.state is SidecarRequestState.RUNNING:
            self.running_count -= 1
            self.running_tokens -= request.cost_tokens
        return request
