"""Handover of cached prefixes from a leaving endpoint to its successors."""

import enum
from collections.abc import Iterator, Set

import attrs

from beryljunction.systems.requests.placement import EndpointSelector, PlacementQuery
from beryljunction.tables import ChatPointer, Endpoint, EndpointTable, PrefixTable

__all__ = [
    "HandoverLimits",
    "HandoverPlanner",
    "Transfer",
    "TransferResult",
    "successor_of",
    "wants_prefix",
]

_MAX_EXPORT_FAILURES = 3


class TransferResult(enum.StrEnum):
    """Result of one transfer.

    Attributes:
        TAKEN: The successor has the prefix.
        DECLINED: The successor does not need this prefix.
        EVICTED: The leaving endpoint's engine no longer had it.
        EXPORT_FAILED: The leaving endpoint's engine did not export it in time.
        SUCCESSOR_FAILED: The successor refused, disconnected or was too slow.
    """

    TAKEN = "taken"
    DECLINED = "declined"
    EVICTED = "evicted"
    EXPORT_FAILED = "export_failed"
    SUCCESSOR_FAILED = "successor_failed"


@attrs.frozen
class HandoverLimits:
    """Limits of the handover of one leaving endpoint.

    Attributes:
        total_bytes: Most bytes of cached state to transfer. They go from engine to engine over the
            network that answers use too.
        token_bytes: Bytes of cached state per token.
        max_idle_s: Age of a chat's last answer above which its prefix is not transferred. Most
            chats return within minutes, and each import evicts state at the successor that may be
            needed sooner.
        least_tokens: Length below which a prefix is not transferred: the two calls of a transfer
            take some milliseconds, as does the prefill of so many tokens.
        least_transfer_s: Time that every transfer may take, to allow for a busy event loop.
        prefill_tokens_per_s: Speed of the cold prefill that a transfer saves.
    """

    total_bytes: int = 2**36
    token_bytes: int = 131_072
    max_idle_s: float = 600.0
    least_tokens: int = 64
    least_transfer_s: float = 0.5
    prefill_tokens_per_s: float = 20_000.0


@attrs.frozen
class Transfer:
    """Transfer of one prefix to its successor.

    Attributes:
        used_s: Monotonic time of the chat's last answer.
        limit_s: Longest time for export and import together.
    """

    chat_key: int
    chat_id: str
    tokens: int
    successor: Endpoint
    used_s: float
    limit_s: float


class HandoverPlanner:
    """Decides which prefixes a leaving endpoint transfers, and when it stops.

    When an endpoint is drained or replaced (130 per day at the target), all its chats move to their
    next homes within minutes. Without cached prefixes their prefills together would delay the
    requests running there. A transfer that fails or is skipped costs only one cold prefill, so the
    limits prefer to move less.
    """

    def __init__(
        self, endpoint_id: str, service: str, region: str, limits: HandoverLimits | None = None
    ) -> None:
        self.limits = limits if limits is not None else HandoverLimits()
        self._endpoint_id = endpoint_id
        self._service = service
        self._region = region
        self.reset()

    def reset(self) -> None:
        """Clear the state of the handover, because the endpoint serves again."""
        self._handled: set[int] = set()
        self._failed_successors: set[str] = set()
        self._export_failures = 0
        self._moved_bytes = 0

    def plan(
        self, prefixes: PrefixTable, busy: Set[int], members: EndpointTable, now_s: float
    ) -> Iterator[Transfer]:
        """Yield the remaining transfers, the most useful first.

        Each byte saves the same prefill time if its chat returns, so the order follows the
        likelihood of a return: the chat with the latest answer is first. Chats in ``busy`` have a
        request in flight here and are skipped until it ends, because the answer extends the prefix.

        This is a generator because placing thousands of chats in one step would delay the answers
        in flight.
        """
        placement = EndpointSelector(members, region=self._region)
        for row in prefixes.newest_first():
            if now_s - row.used_s > self.limits.max_idle_s:
                return
            if row.chat_key in self._handled or row.chat_key in busy:
                continue
            if row.tokens < self.limits.least_tokens:
                continue
            query = PlacementQuery(self._service, row.chat_key)
            successor = successor_of(placement, query, self._endpoint_id, now_s)
            if successor is not None:
                row_limit_s = self._time_limit_s(row.tokens)
                yield Transfer(
                    row.chat_key, row.chat_id, row.tokens, successor, row.used_s, row_limit_s
                )

    def may_start(self, transfer: Transfer) -> bool:
        """Return whether a planned transfer should still be started.

        A successor that failed once gets no more transfers: it is gone, leaving or overloaded, and
        further tries would take time from other prefixes. After three failed exports in a row the
        engine is assumed not to export at all.
        """
        planned_bytes = transfer.tokens * self.limits.token_bytes
        return (
            self._export_failures < _MAX_EXPORT_FAILURES
            and transfer.successor.endpoint_id not in self._failed_successors
            and self._moved_bytes + planned_bytes <= self.limits.total_bytes
        )

    def skipped(self, transfer: Transfer) -> None:
        """Exclude a prefix from later plans."""
        self._handled.add(transfer.chat_key)

    def started(self, transfer: Transfer) -> None:
        """Record a transfer; a prefix is tried once, since a retry costs as much as a prefill."""
        self._handled.add(transfer.chat_key)
        self._moved_bytes += transfer.tokens * self.limits.token_bytes

    def ended(self, transfer: Transfer, result: TransferResult) -> None:
        """Record the result of a transfer; bytes that were not moved are not counted."""
        failed_here = result is TransferResult.EXPORT_FAILED
        self._export_failures = self._export_failures + 1 if failed_here else 0
        if result is TransferResult.SUCCESSOR_FAILED:
            self._failed_successors.add(transfer.successor.endpoint_id)
        if result not in (TransferResult.TAKEN, TransferResult.SUCCESSOR_FAILED):
            self._moved_bytes -= transfer.tokens * self.limits.token_bytes

    def _time_limit_s(self, tokens: int) -> float:
        """Return the time limit of a transfer: the duration of the prefill that it saves."""
        cold_s = tokens / self.limits.prefill_tokens_per_s
        return max(self.limits.least_transfer_s, cold_s)


def successor_of(
    placement: EndpointSelector, query: PlacementQuery, leaving_id: str, now_s: float
) -> Endpoint | None:
    """Return the endpoint that is tried first for a chat once another one has left."""
    candidates = placement.candidates(query, now_s)
    return next((c for c in candidates if c.endpoint_id != leaving_id), None)


def wants_prefix(row: ChatPointer | None, own_id: str, sender_id: str) -> bool:
    """Return whether a successor should accept a chat's prefix from a leaving endpoint.

    If the chat returned during the transfer, it has run here or elsewhere since, and the older
    prefix would replace a longer one, or the pointer to it.
    """
    return row is None or row.endpoint_id == sender_id != own_id
