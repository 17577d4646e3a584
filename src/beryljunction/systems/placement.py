"""Where a request is tried, and in what order.

Placement needs membership only, never load: 350 entries that polled 700 endpoints would break the
control budget at once. Load is bounded by the sidecar, which knows its own exactly.
"""

import math

import attrs
import xxhash

from beryljunction.tables import Endpoint, EndpointState, EndpointTable

__all__ = ["PlacementQuery", "PlacementSystem", "chat_key_of", "rendezvous_score"]

_HASH_RANGE = float(2**64)


def chat_key_of(account: str, chat_id: str) -> int:
    """Return the 64-bit key of a chat; accounts never share a key by choosing the same id."""
    return xxhash.xxh3_64_intdigest(f"{account}\0{chat_id}".encode())


def rendezvous_score(key: int, endpoint_id: str, weight: float) -> float:
    """Return the weighted rendezvous score; the highest score is the key's home.

    A weight of w gets w times the keys of a weight of one, and a change of one endpoint moves only
    the keys that it gains or loses.
    """
    digest = xxhash.xxh3_64_intdigest(endpoint_id.encode(), seed=key)
    return -weight / math.log((digest + 0.5) / _HASH_RANGE)


@attrs.frozen
class PlacementQuery:
    """What placement has to know of a request.

    Attributes:
        key: Hash that decides the order: the chat's key, or one drawn for work without a chat.
        hint: Endpoint id that an earlier answer named as the chat's place, if any.
    """

    service: str
    key: int
    availability_zone: str = ""
    prefer_zone: bool = False
    hint: str | None = None


class PlacementSystem:
    """Orders the endpoints of a service for one request."""

    def __init__(self, endpoints: EndpointTable) -> None:
        self._endpoints = endpoints

    def candidates(self, query: PlacementQuery, now_s: float) -> list[Endpoint]:
        """Return the endpoints to try, best first.

        Suspects go last instead of dropping out: a suspicion is one entry's own and may be wrong,
        and with every endpoint suspected a try is still better than a refusal.
        """
        rows = [
            row
            for row in self._endpoints.of_service(query.service)
            if row.state is not EndpointState.LEAVING
        ]

        def rank(row: Endpoint) -> tuple[bool, bool, bool, float]:
            return (
                row.suspect_until_s > now_s,
                row.endpoint_id != query.hint,
                query.prefer_zone and row.availability_zone != query.availability_zone,
                -rendezvous_score(query.key, row.endpoint_id, row.weight),
            )

        return sorted(rows, key=rank)
