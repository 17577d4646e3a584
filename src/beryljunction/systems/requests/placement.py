"""Orders the endpoints to try for a request by rendezvous hashing.

Placement uses membership only, not load: 350 entries polling 700 endpoints would exceed the budget
for control traffic. Each sidecar bounds the load of its own endpoint, which it knows exactly.
"""

import math

import attrs
import xxhash

from beryljunction.tables import Endpoint, EndpointState, EndpointTable

__all__ = ["EndpointSelector", "PlacementQuery", "chat_key_of", "rendezvous_score"]

_HASH_RANGE = float(2**64)
_DEFAULT_YOUNG_S = 60.0


def chat_key_of(account: str, chat_id: str) -> int:
    """Return the 64-bit key of a chat; the same chat id under two accounts gives two keys."""
    return xxhash.xxh3_64_intdigest(f"{account}\0{chat_id}".encode())


def rendezvous_score(key: int, endpoint_id: str, weight: float) -> float:
    """Return the weighted rendezvous score; the endpoint with the highest score is the key's home.

    An endpoint of weight w gets w times as many keys as one of weight one. A change of one endpoint
    moves only the keys that this endpoint gains or loses.
    """
    digest = xxhash.xxh3_64_intdigest(endpoint_id.encode(), seed=key)
    return -weight / math.log((digest + 0.5) / _HASH_RANGE)


@attrs.frozen
class PlacementQuery:
    """Properties of a request that placement depends on.

    Attributes:
        key: Hash that decides the order: the chat's key, or a random one without a chat.
        hint: Id of the endpoint that an earlier answer named for the chat, if any.
    """

    service: str
    key: int
    availability_zone: str = ""
    prefer_zone: bool = False
    hint: str | None = None


class EndpointSelector:
    """Orders the endpoints of a service for one request.

    Args:
        region: Region of the asking process; empty where there are no regions.
    """

    def __init__(
        self, endpoints: EndpointTable, young_s: float = _DEFAULT_YOUNG_S, region: str = ""
    ) -> None:
        self._endpoints = endpoints
        self._region = region
        self.young_s = young_s

    def candidates(self, query: PlacementQuery, now_s: float) -> list[Endpoint]:
        """Return the endpoints to try, best first.

        Suspects are last instead of removed: the suspicion of a single entry may be wrong, and if
        every endpoint is suspect, a try is still better than a refusal.

        Endpoints in this process's region come before those in other regions, which get the
        overflow only: a home in another region adds latency to each token, and the chat would move
        whenever the link between the regions is lost, which may be for an hour.
        """
        rows = [
            row
            for row in self._endpoints.of_service(query.service)
            if row.state is not EndpointState.LEAVING
        ]

        def rank(row: Endpoint) -> tuple[bool, bool, bool, bool, float]:
            return (
                row.suspect_until_s > now_s,
                row.endpoint_id != query.hint,
                row.region != self._region,
                query.prefer_zone and row.availability_zone != query.availability_zone,
                -rendezvous_score(query.key, row.endpoint_id, row.weight),
            )

        return sorted(rows, key=rank)

    def home(self, query: PlacementQuery, now_s: float) -> Endpoint | None:
        """Return the first endpoint in rendezvous order, which stores the chat's pointer."""
        candidates = self.candidates(attrs.evolve(query, hint=None), now_s)
        return candidates[0] if candidates else None

    def previous_home(self, candidates: list[Endpoint], now_s: float) -> Endpoint | None:
        """Return the endpoint that probably has a chat's prefix if the home has just (re)joined.

        A home that comes back is empty, and its chats would leave the endpoint that served them
        meanwhile and start cold. So the next candidate that was there before is asked first; it
        accepts the chat only if it has the prefix cached.
        """
        if not candidates or now_s - candidates[0].joined_s >= self.young_s:
            return None
        settled = (row for row in candidates[1:] if now_s - row.joined_s >= self.young_s)
        found = next(settled, None)
        return None if found is None or found.suspect_until_s > now_s else found
