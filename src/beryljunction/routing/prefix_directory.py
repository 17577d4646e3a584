"""Estimate of the prompt parts that engines have cached, from what this entry sent them."""

import collections
from collections.abc import Iterable, Sequence

import attrs

from beryljunction.routing.known_endpoint import KnownEndpoint

__all__ = ["PrefixDirectory", "PromptParts"]

# A part counts as cached for this long after its last use. Engines keep parts for minutes while
# their memory lasts; a wrong estimate costs one prefill of the part.
_CACHED_S = 30.0
# Parts that are remembered; at about 400 bytes each they take 8 MB at most.
_MAX_PARTS = 20_000


@attrs.frozen
class PromptParts:
    """The parts of a prompt that it shares with other requests, in order.

    Attributes:
        ids: Ids of the parts.
        tokens: Tokens of each part.
        own_tokens: Tokens of the part that only this request has.
    """

    ids: tuple[str, ...] = ()
    tokens: tuple[int, ...] = ()
    own_tokens: int = 0

    @property
    def shared_tokens(self) -> int:
        """Tokens of all shared parts."""
        return sum(self.tokens)


class PrefixDirectory:
    """Remembers which endpoint incarnation has prefilled which part, and when.

    Engines can reuse a part only together with all parts before it, so only leading parts count.
    """

    def __init__(self) -> None:
        self._parts: collections.OrderedDict[str, dict[tuple[str, int], float]]
        self._parts = collections.OrderedDict()

    def note(self, incarnation_id: tuple[str, int], part_ids: Iterable[str], now_s: float) -> None:
        """Record that an endpoint prefills these parts."""
        for part in part_ids:
            self._parts.setdefault(part, {})[incarnation_id] = now_s
            self._parts.move_to_end(part)
        while len(self._parts) > _MAX_PARTS:
            self._parts.popitem(last=False)

    def cached_tokens(
        self, incarnation_id: tuple[str, int], parts: PromptParts, now_s: float
    ) -> int:
        """Return how many leading tokens an endpoint is estimated to have cached."""
        cached = 0
        for part, tokens in zip(parts.ids, parts.tokens, strict=True):
            used_s = self._parts.get(part, {}).get(incarnation_id)
            if used_s is None or now_s - used_s > _CACHED_S:
                break
            cached += tokens
        return cached

    def best_source(
        self, rows: Iterable[KnownEndpoint], parts: PromptParts, now_s: float
    ) -> tuple[KnownEndpoint | None, int]:
        """Return the endpoint with the most leading tokens cached (estimate), and their number."""
        best, most = None, 0
        for row in rows:
            cached = self.cached_tokens(row.incarnation_id, parts, now_s)
            if cached > most:
                best, most = row, cached
        return best, most

    def fully_cached(
        self, rows: Sequence[KnownEndpoint], parts: PromptParts, now_s: float
    ) -> set[tuple[str, int]]:
        """Return the incarnations that are estimated to have all parts cached."""
        total = parts.shared_tokens
        readers = self._parts.get(parts.ids[-1], {}) if parts.ids else {}
        incarnation_ids = {row.incarnation_id for row in rows if row.incarnation_id in readers}
        return {
            incarnation_id
            for incarnation_id in incarnation_ids
            if self.cached_tokens(incarnation_id, parts, now_s) >= total
        }
