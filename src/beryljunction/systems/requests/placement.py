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
_YOUNG_S = 60.0


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
    """Orders the endpoints of a service for one request.

    Args:
        region: Region of the asking process; empty where there are no regions.
    """

    def __init__(
        self, endpoints: EndpointTable, young_s: float = _YOUNG_S, region: str = ""
    ) -> None:
        self._endpoints = endpoints
        self._region = region
        self.young_s = young_s

    def candidates(self, query: PlacementQuery, now_s: float) -> list[Endpoint]:
        """Return the endpoints to try, best first.

        Suspects go last instead of dropping out: a suspicion is one entry's own and may be wrong,
        and with every endpoint suspected a try is still better than a refusal.

        Load: three regions that lose each other for an hour now and then. Harm: a chat whose home
        lies in another region pays the way there for each token, and moves when the link is lost.
        So a chat's home is in the region that it enters by; other regions take the overflow only.
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
        """Return the first in rendezvous order, which keeps the chat's pointer."""
        candidates = self.candidates(attrs.evolve(query, hint=None), now_s)
        return candidates[0] if candidates else None

    def previous_home(self, candidates: list[Endpoint], now_s: float) -> Endpoint | None:
        """Return where a chat probably has its prefix while its home has only just (re)joined.

        Load: endpoints come and go. Harm: the home of a chat comes back empty, and its chats leave
        the endpoint that served them meanwhile and start cold. The next candidate that was there
        before is asked first, and takes the chat only if it has the prefix cached.
        """
        if not candidates or now_s - candidates[0].joined_s >= self.young_s:
            return None
        settled = (row for row in candidates[1:] if now_s - row.joined_s >= self.young_s)
        found = next(settled, None)
        return None if found is None or found.suspect_until_s > now_s else found
