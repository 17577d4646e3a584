"""Places prompts where their prefix is cached, unless that engine carries too much."""

import collections
import math
from collections.abc import Callable, Collection, Mapping, Sequence

from beryljunction.routing.knownendpoint import KnownEndpoint
from beryljunction.routing.mechanisms import ALL_ON, Mechanisms
from beryljunction.routing.moved import MovedSession, MovedSessions
from beryljunction.routing.placement import Demand, Placement, Reading
from beryljunction.routing.reading import ReadingPace
from beryljunction.routing.rendezvous import rendezvous_rank
from beryljunction.routing.soundness import weighted_loads
from beryljunction.routing.warmth import PromptParts, WarmthMap

__all__ = ["WarmPlacement"]

# An endpoint above this multiple of the mean, plus the allowance for small numbers, is passed over.
# It stays under the fleet's bound of 2 x mean + 3, with room for requests that other entries have
# sent since the last report.
_BOUND_RATIO = 1.6
_BOUND_ALLOWANCE = 3.0
# A fetch takes some 2 ms to set up; fewer tokens than this are read in that time.
_LEAST_FETCHED_TOKENS = 96
# What this entry has an engine read stands for some more that other entries send there.
_OTHERS_FACTOR = 1.5
# A request goes to the second endpoint in order when the first will be reading other prompts for
# this much longer. Aims for a first token are 400 ms and up; less scatters sessions.
_PATIENCE_MS = 250.0
# Sessions whose place is remembered, and for how long (engines keep prefixes longer): at some 300
# bytes each they take 1.2 MB at most.
_MOST_PLACED = 4_096
_KNOWN_S = 30.0
# Sessions return every few seconds; by then most have come back to an endpoint that serves anew.
_SETTLED_S = 15.0


class WarmPlacement(Placement):
    """Where the session's prefix lies, unless that endpoint carries too much.

    Load: sessions of thousands of prompt tokens return every few seconds. Harm: read again
    elsewhere, a prefix of 6,000 tokens delays the first token, and every stream beside it, by some
    160 ms. Rendezvous order makes entries that never speak to each other agree on a home; where
    this entry knows the prefix to be goes first, so that an endpoint that is added takes new
    sessions and none that is warm elsewhere. A session that has to move fetches its prefix from
    where it was: 8,600 tokens take some 10 ms that way, and 225 ms to read.

    Attributes:
        moved: Sessions that other entries would look for at another endpoint.
    """

    def __init__(self, mechanisms: Mechanisms = ALL_ON) -> None:
        self._mechanisms = mechanisms
        self._warmth = WarmthMap()
        self.moved = MovedSessions()
        self._paces: dict[str, ReadingPace] = {}
        self._placed: collections.OrderedDict[str, tuple[MovedSession, float]]
        self._placed = collections.OrderedDict()

    def choose(
        self, rows: Sequence[KnownEndpoint], demand: Demand, now_s: float
    ) -> KnownEndpoint | None:
        """Return the first endpoint in order of warmth that is under the bound."""
        if not rows:
            return None
        loads = weighted_loads(rows, now_s, self._mechanisms)
        order = self._order(rows, demand.parts, loads, now_s)
        bound = _load_bound(loads.values(), demand.closed, now_s)
        # With a part of the service evacuated the bound is so close to the mean that a margin would
        # send most sessions to their second endpoints, which fill up unseen.
        has_margin = self._mechanisms.bound_margin and not demand.closed
        open_rows = iter(self._under_bound(order, loads, bound, has_margin, now_s))
        first, second = next(open_rows, None), next(open_rows, None)
        if first is None or not demand.parts.ids:
            return min(rows, key=lambda row: loads[row.start])
        pace = self.pace(first.record.service)
        if not self._mechanisms.patience:
            return first
        if second and _queue_ms(first, pace) - _queue_ms(second, pace) > _PATIENCE_MS:
            return second
        return first

    def pace(self, service: str) -> ReadingPace:
        """Return how fast the engines of a service read, as far as it was measured."""
        if not self._mechanisms.learned_pace:
            return ReadingPace()
        pace = self._paces.get(service)
        if pace is None:
            pace = self._paces[service] = ReadingPace()
        return pace

    def reading(
        self, rows: Sequence[KnownEndpoint], chosen: KnownEndpoint, demand: Demand, now_s: float
    ) -> Reading:
        """Return who is believed to keep more than the chosen endpoint, and what nobody keeps.

        A session that this entry has not seen may have been placed by another one. That was then
        most likely at the first endpoint in rendezvous order; asking one that keeps nothing costs
        the set-up of a fetch only.
        """
        parts = demand.parts
        here = self._warmth.kept_tokens(chosen.start, parts, now_s)
        total = parts.shared_tokens
        others = [row for row in rows if row.start != chosen.start]
        source, kept = self._warmth.best_source(others, parts, now_s)
        known = max(kept, here if len(others) < len(rows) else 0)
        unread_tokens = total - known + parts.own_tokens
        if self._mechanisms.warmth:
            self._warmth.note(chosen.start, parts.ids, now_s)
        self._note_placed(rows, chosen, parts, now_s)
        if not self._mechanisms.fetch:
            return Reading(None, unread_tokens)
        if self._mechanisms.home and max(here, kept) < total and others:
            keeper = _keeper(others, parts, now_s)
            if keeper is not None and (kept <= here or _is_before(keeper, chosen, parts, now_s)):
                source, kept = keeper, total
        is_worth_it = kept - here >= _LEAST_FETCHED_TOKENS
        return Reading(source if is_worth_it else None, unread_tokens)

    def note_first(self, service: str, reading: Reading, took_ms: float) -> None:
        """Measure the pace of reading; a prompt that was fetched in part says nothing of it."""
        if reading.source is None:
            self.pace(service).note(reading.unread_tokens, took_ms)

    def learn(self, session: MovedSession, now_s: float) -> None:
        """Take in where another entry has placed a session."""
        if self._mechanisms.moved_news and self._mechanisms.warmth:
            self._warmth.note(session.start, session.part_ids, now_s)

    def joined(self, endpoint_id: str, now_s: float) -> None:
        """Take in that an endpoint is new: it is the home of some sessions that lie elsewhere.

        Load: endpoints are added or replaced. Harm: entries that have not seen such a session take
        the new endpoint for its home, and the one that is next in order, which may be new too, for
        the one that keeps its prefix; it is read again.
        """
        for session, placed_s in self._placed.values():
            rank = _rank(session.part_ids)
            if now_s - placed_s < _KNOWN_S and rank(endpoint_id) < rank(session.start[0]):
                self.moved.note(session, now_s)

    def _note_placed(
        self, rows: Sequence[KnownEndpoint], chosen: KnownEndpoint, parts: PromptParts, now_s: float
    ) -> None:
        if not parts.ids or not self._mechanisms.moved_news:
            return
        session = MovedSession(parts.ids, chosen.start)
        self._placed[parts.ids[-1]] = session, now_s
        self._placed.move_to_end(parts.ids[-1])
        while len(self._placed) > _MOST_PLACED:
            self._placed.popitem(last=False)
        staying = [row for row in rows if row.is_open]
        if staying and _home(staying, parts) is not chosen:
            self.moved.note(session, now_s)

    def _order(
        self,
        rows: Sequence[KnownEndpoint],
        parts: PromptParts,
        loads: Mapping[tuple[str, int], float],
        now_s: float,
    ) -> list[KnownEndpoint]:
        """Return warm endpoints, then the others, each in rendezvous order of the session."""
        warm = self._warmth.warm(rows, parts, now_s)
        rank = _rank(parts.ids)
        if not self._mechanisms.home:
            return sorted(rows, key=lambda row: (row.start not in warm, loads[row.start]))
        return sorted(rows, key=lambda row: (row.start not in warm, rank(row.record.endpoint_id)))

    def _under_bound(
        self,
        order: Sequence[KnownEndpoint],
        loads: Mapping[tuple[str, int], float],
        bound: float,
        has_margin: bool,
        now_s: float,
    ) -> Sequence[KnownEndpoint]:
        if not self._mechanisms.bound:
            return order
        if not has_margin:
            return [row for row in order if loads[row.start] < bound]
        mean = sum(loads.values()) / len(order)
        return [row for row in order if loads[row.start] < bound - _margin(row, mean, now_s)]


def _load_bound(loads: Collection[float], closed: Sequence[KnownEndpoint], now_s: float) -> float:
    """Return the load from which an endpoint is passed over.

    Args:
        loads: Load of each endpoint that may get the request.
        closed: Endpoints that may not; they count in the mean of the fleet's bound.
        now_s: Time on the clock of the loads.
    """
    total = sum(loads) + sum(row.load(now_s) for row in closed)
    return _BOUND_RATIO * total / (len(loads) + len(closed)) + _BOUND_ALLOWANCE


def _margin(row: KnownEndpoint, mean: float, now_s: float) -> float:
    """Return by how much an endpoint may be fuller than it looks.

    An entry of many sees little of what the others send. The number that came since the last report
    is that of a random process; its spread, the root of what is expected, is left free.
    """
    return math.sqrt(row.unseen(mean, now_s))


def _queue_ms(row: KnownEndpoint, pace: ReadingPace) -> float:
    """Return for how long an endpoint will be reading prompts that it has already."""
    return row.reading_tokens * _OTHERS_FACTOR / pace.tokens_per_ms


def _home(rows: Sequence[KnownEndpoint], parts: PromptParts) -> KnownEndpoint:
    """Return the first endpoint in the rendezvous order of a prompt's session."""
    rank = _rank(parts.ids)
    return min(rows, key=lambda row: rank(row.record.endpoint_id))


def _is_settled(row: KnownEndpoint, now_s: float) -> bool:
    """Return whether it has served for so long that its sessions have found it."""
    return now_s - row.serving_since_s > _SETTLED_S


def _keeper(
    rows: Sequence[KnownEndpoint], parts: PromptParts, now_s: float
) -> KnownEndpoint | None:
    """Return who most likely keeps a session that this entry has not seen.

    An endpoint that has just started, or whose zone was just taken back, has not read it yet: while
    it was away the first of the others in rendezvous order did.
    """
    settled = [row for row in rows if _is_settled(row, now_s)]
    return _home(settled or rows, parts) if rows else None


def _is_before(
    keeper: KnownEndpoint, chosen: KnownEndpoint, parts: PromptParts, now_s: float
) -> bool:
    """Return whether other entries would have looked for the session at the keeper first."""
    if not _is_settled(chosen, now_s):
        return True
    rank = _rank(parts.ids)
    return rank(keeper.record.endpoint_id) < rank(chosen.record.endpoint_id)


def _rank(part_ids: Sequence[str]) -> Callable[[str], int]:
    """Return the place of an endpoint's id in the rendezvous order of a session."""
    session = part_ids[-1] if part_ids else ""

    def rank(endpoint_id: str) -> int:
        return rendezvous_rank(session, endpoint_id)

    return rank
