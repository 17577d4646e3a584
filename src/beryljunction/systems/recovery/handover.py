"""Which cached prefixes a leaving endpoint gives to whom, and which a successor takes."""

import enum
from collections.abc import Iterator, Set

import attrs

from beryljunction.systems.requests.placement import PlacementQuery, PlacementSystem
from beryljunction.tables import ChatPointer, Endpoint, EndpointTable, PrefixTable

__all__ = ["HandoverLimits", "HandoverSystem", "Handed", "Transfer", "successor_of", "wants_prefix"]

_MAX_EXPORT_FAILURES = 3


class Handed(enum.StrEnum):
    """How one transfer ended.

    Attributes:
        TAKEN: The successor has the prefix.
        DECLINED: The successor has no use for this one.
        EVICTED: The engine here no longer had it.
        EXPORT_FAILED: The engine here did not give it in time.
        SUCCESSOR_FAILED: The successor refused, broke off or was too slow.
    """

    TAKEN = "taken"
    DECLINED = "declined"
    EVICTED = "evicted"
    EXPORT_FAILED = "export_failed"
    SUCCESSOR_FAILED = "successor_failed"


@attrs.frozen
class HandoverLimits:
    """Limits of what one leaving endpoint hands on.

    Attributes:
        total_bytes: Cached state that is moved at the most. It goes from engine to engine over the
            network that answers use too.
        token_bytes: Cached state of one token.
        hot_s: Age of the last answer from which a prefix is left behind. Most chats return within
            minutes, and each import evicts something at the successor that may be used sooner.
        least_tokens: Length below which a prefix is left behind: the two calls of a transfer cost
            some milliseconds, as does the prefill of so many tokens.
        least_transfer_s: Time that every transfer may take, for loops that are busy.
        prefill_tokens_per_s: Speed of the cold prefill that a transfer saves.
    """

    total_bytes: int = 2**36
    token_bytes: int = 131_072
    hot_s: float = 600.0
    least_tokens: int = 64
    least_transfer_s: float = 0.5
    prefill_tokens_per_s: float = 20_000.0


@attrs.frozen
class Transfer:
    """One prefix on its way to its successor.

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


class HandoverSystem:
    """Decides what a leaving endpoint hands on, and when it has to stop.

    Load: an endpoint is drained or replaced (130 a day at the target) and all its chats come to
    their next homes within minutes. Harm: each starts cold there, and the prefills of all of them
    together delay what runs at the successors. A transfer that fails or is not reached costs just
    that one cold prefill, so every limit here errs to the side of moving less.
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
        """Forget what was handed on: the endpoint is back at work."""
        self._handled: set[int] = set()
        self._failed_successors: set[str] = set()
        self._export_failures = 0
        self._moved_bytes = 0

    def plan(
        self, prefixes: PrefixTable, busy: Set[int], members: EndpointTable, now_s: float
    ) -> Iterator[Transfer]:
        """Yield the transfers that are still to be made, the most useful first.

        A byte of any prefix saves the same prefill if its chat returns, so what counts is how
        likely that is: the chat that was answered last goes first. Chats with a request in flight
        here wait for its end; their answer goes first, and makes the prefix longer.

        One at a time: to place thousands of chats in one step would hold up the answers in flight.
        """
        placement = PlacementSystem(members, region=self._region)
        for row in prefixes.newest_first():
            if now_s - row.used_s > self.limits.hot_s:
                return
            if row.chat_key in self._handled or row.chat_key in busy:
                continue
            if row.tokens < self.limits.least_tokens:
                continue
            query = PlacementQuery(self._service, row.chat_key)
            successor = successor_of(placement, query, self._endpoint_id, now_s)
            if successor is not None:
                row_limit_s = self._limit_s(row.tokens)
                yield Transfer(
                    row.chat_key, row.chat_id, row.tokens, successor, row.used_s, row_limit_s
                )

    def may_go(self, transfer: Transfer) -> bool:
        """Tell whether a planned transfer is still worth its start.

        A successor that failed once is left alone: it is gone, leaving or overloaded, and each
        further try would take its time from the prefixes of others. An engine that fails three
        exports in a row does not export at all.
        """
        planned_bytes = transfer.tokens * self.limits.token_bytes
        return (
            self._export_failures < _MAX_EXPORT_FAILURES
            and transfer.successor.endpoint_id not in self._failed_successors
            and self._moved_bytes + planned_bytes <= self.limits.total_bytes
        )

    def skipped(self, transfer: Transfer) -> None:
        """Leave a prefix behind for good, so that no later plan places its chat again."""
        self._handled.add(transfer.chat_key)

    def started(self, transfer: Transfer) -> None:
        """Count a transfer; each prefix is tried once, since a second try is a prefill's worth."""
        self._handled.add(transfer.chat_key)
        self._moved_bytes += transfer.tokens * self.limits.token_bytes

    def ended(self, transfer: Transfer, handed: Handed) -> None:
        """Take in how a transfer ended; what was not moved does not count."""
        failed_here = handed is Handed.EXPORT_FAILED
        self._export_failures = self._export_failures + 1 if failed_here else 0
        if handed is Handed.SUCCESSOR_FAILED:
            self._failed_successors.add(transfer.successor.endpoint_id)
        if handed not in (Handed.TAKEN, Handed.SUCCESSOR_FAILED):
            self._moved_bytes -= transfer.tokens * self.limits.token_bytes

    def _limit_s(self, tokens: int) -> float:
        """Return how long a transfer may take: no longer than the prefill that it saves."""
        cold_s = tokens / self.limits.prefill_tokens_per_s
        return max(self.limits.least_transfer_s, cold_s)


def successor_of(
    placement: PlacementSystem, query: PlacementQuery, leaving_id: str, now_s: float
) -> Endpoint | None:
    """Return who is asked first for a chat once an endpoint is gone."""
    candidates = placement.candidates(query, now_s)
    return next((c for c in candidates if c.endpoint_id != leaving_id), None)


def wants_prefix(row: ChatPointer | None, own_id: str, sender_id: str) -> bool:
    """Tell whether a successor should take a chat's prefix from a leaving endpoint.

    Load: the chat returns while its prefix is on the way. Harm: it has run here or been sent on
    elsewhere meanwhile, and the older prefix would replace a longer one, or the pointer to it.
    """
    return row is None or row.endpoint_id == sender_id != own_id
