"""What this entry believes of the prompt parts that engines keep, from what it has sent them."""

import collections
from collections.abc import Iterable, Sequence

import attrs

from beryljunction.routing.knownendpoint import KnownEndpoint

__all__ = ["PromptParts", "WarmthMap"]

# A part counts as kept for this long after its last use. Engines keep parts for minutes while
# their memory lasts; a belief that is wrong costs one read of the part.
_KEPT_S = 30.0
# Parts that are remembered; at some 400 bytes each they take 8 MB at most.
_MOST_PARTS = 20_000


@attrs.frozen
class PromptParts:
    """The parts of a prompt that other requests have too, in order.

    Attributes:
        ids: Ids of the parts.
        tokens: Tokens of each part.
        own_tokens: Tokens of the part that is the request's own.
    """

    ids: tuple[str, ...] = ()
    tokens: tuple[int, ...] = ()
    own_tokens: int = 0

    @property
    def shared_tokens(self) -> int:
        """Tokens of all parts that other requests have too."""
        return sum(self.tokens)


class WarmthMap:
    """Remembers which start of an endpoint has read which part, and when.

    Engines keep a part only behind all parts before it, so what counts is the leading parts.
    """

    def __init__(self) -> None:
        self._parts: collections.OrderedDict[str, dict[tuple[str, int], float]]
        self._parts = collections.OrderedDict()

    def note(self, start: tuple[str, int], part_ids: Iterable[str], now_s: float) -> None:
        """Note that a start of an endpoint reads these parts."""
        for part in part_ids:
            self._parts.setdefault(part, {})[start] = now_s
            self._parts.move_to_end(part)
        while len(self._parts) > _MOST_PARTS:
            self._parts.popitem(last=False)

    def kept_tokens(self, start: tuple[str, int], parts: PromptParts, now_s: float) -> int:
        """Return how many leading tokens an endpoint is believed to keep."""
        kept = 0
        for part, tokens in zip(parts.ids, parts.tokens, strict=True):
            used_s = self._parts.get(part, {}).get(start)
            if used_s is None or now_s - used_s > _KEPT_S:
                break
            kept += tokens
        return kept

    def best_source(
        self, rows: Iterable[KnownEndpoint], parts: PromptParts, now_s: float
    ) -> tuple[KnownEndpoint | None, int]:
        """Return the endpoint that keeps the most leading tokens, as believed, and their number."""
        best, most = None, 0
        for row in rows:
            kept = self.kept_tokens(row.start, parts, now_s)
            if kept > most:
                best, most = row, kept
        return best, most

    def warm(
        self, rows: Sequence[KnownEndpoint], parts: PromptParts, now_s: float
    ) -> set[tuple[str, int]]:
        """Return the starts that are believed to keep all parts."""
        total = parts.shared_tokens
        readers = self._parts.get(parts.ids[-1], {}) if parts.ids else {}
        starts = {row.start for row in rows if row.start in readers}
        return {start for start in starts if self.kept_tokens(start, parts, now_s) >= total}
