"""Places prompts where their prefix is cached, unless that engine is overloaded."""

import collections
import itertools
import math
import random
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping, Sequence

from beryljunction.routing.health import weighted_loads
from beryljunction.routing.known_endpoint import KnownEndpoint
from beryljunction.routing.load_bound import LoadBound, PrefixSizes, fleet_bound, mean_load
from beryljunction.routing.mechanisms import ALL_ON, Mechanisms
from beryljunction.routing.moved_sessions import MovedSession, MovedSessions
from beryljunction.routing.placement import (
    Choice,
    PassedOver,
    PassedOverReason,
    Placement,
    PlacementRequest,
    PrefillPlan,
)
from beryljunction.routing.prefill_rate import PrefillRate
from beryljunction.routing.prefix_directory import PrefixDirectory, PromptParts
from beryljunction.routing.rendezvous import rendezvous_rank
from beryljunction.routing.session_shares import SessionShares

__all__ = ["CacheAwarePlacement"]

# Mean of the margin for unreported requests, in standard deviations of their number.
_MEAN_MARGIN = 1.0
# Fewer tokens than this are prefilled faster than a fetch is set up, which takes about 2 ms.
_MIN_FETCHED_TOKENS = 96
# Factor on an engine's prefill tokens from this entry, for those that other entries send there.
_OTHER_ENTRIES_FACTOR = 1.5
# A request goes to the second endpoint in order when the first one's prefill queue is longer by
# more than this. Targets for a first token are 400 ms and up; a smaller value scatters sessions.
_MAX_EXTRA_QUEUE_MS = 250.0
# Requests that leave their preferred endpoint go to the least loaded of this many.
_OVERFLOW_CANDIDATES = 3
# Load up to which the fleet lets an endpoint get requests: a multiple of the mean, plus a constant.
_FLEET_RATIO, _FLEET_ALLOWANCE = 2.0, 3.0
# Part of that load that a session may cause at one endpoint before it is spread over several.
_COPY_ROOM = 0.35
# Part of that load at the session's home from which it is spread. Below it, one endpoint is enough.
_SPREAD_FROM = 0.45
# An entry may use this multiple of its equal share, since entries don't use theirs all at once.
_ENTRY_SHARE_FACTOR = 1.5
# Sessions whose endpoint is remembered, and for how long (engines keep prefixes longer). At about
# 300 bytes each they take 1.2 MB at most.
_MAX_PLACED = 4_096
_PLACED_TTL_S = 30.0
# Sessions return every few seconds; most have come back to a returning endpoint within this time.
_SETTLED_S = 15.0
# Fewer than half of the sessions are requested, and so placed elsewhere, within this time.
_BRIEF_ABSENCE_S = 3.0


class CacheAwarePlacement(Placement):
    """Chooses the endpoint that has the session's prefix cached, unless it is overloaded.

    Sessions with thousands of prompt tokens return every few seconds. Recomputing a prefix of 6,000
    tokens elsewhere delays the first token, and every other stream of that engine, by about 160 ms.
    The first endpoint in rendezvous order is the session's home, on which entries agree without
    communicating. Endpoints known to have the prefix cached go before it, so that an added endpoint
    takes new sessions and none that is cached elsewhere. A session that has to move fetches its
    prefix from its last endpoint: 8,600 tokens take about 10 ms to fetch and 225 ms to recompute.

    Attributes:
        moved: Sessions that other entries would look for at another endpoint.

    Args:
        mechanisms: Which optional mechanisms are enabled.
        draw: Random source of the margins; one with a fixed seed when None.
    """

    def __init__(self, mechanisms: Mechanisms = ALL_ON, draw: random.Random | None = None) -> None:
        self._mechanisms = mechanisms
        self._draw = draw if draw is not None else random.Random(0)
        self._prefixes = PrefixDirectory()
        self.moved = MovedSessions()
        self._prefill_rates: dict[str, PrefillRate] = {}
        self._sizes = PrefixSizes()
        self._session_shares = SessionShares()
        self._first_placed_s: dict[str, float] = {}
        self._placed: collections.OrderedDict[str, tuple[MovedSession, float]]
        self._placed = collections.OrderedDict()

    def decide(
        self, rows: Sequence[KnownEndpoint], request: PlacementRequest, now_s: float
    ) -> Choice | None:
        """Return the first endpoint under the load bound, those with the prefix cached first."""
        if not rows:
            return None
        loads = weighted_loads(rows, now_s, self._mechanisms)
        order = self._order(rows, request.parts, loads, now_s)
        bound = self._bound_for(request, rows[0].record.service, loads.values(), now_s)
        in_order = order
        if self._mechanisms.hot_copies:
            order = self._spread_hot_session(order, request, loads, now_s)
        share = self._entry_share(request, bound, loads, now_s)
        under_bound: list[KnownEndpoint] = []
        open_rows = _recorded(self._under_bound(order, loads, bound, now_s), under_bound)
        open_rows = (row for row in open_rows if row.in_flight < share)
        if self._mechanisms.avoid_queues and bound.is_cheap_to_move:
            open_rows = _queueing_last(open_rows, now_s)
        chosen = self._pick(open_rows, order[0], loads) if request.parts.ids else None
        if chosen is None:
            chosen = self._least_loaded(rows, loads)

        def passed_over(row: KnownEndpoint) -> PassedOver:
            reason = PassedOverReason.HOT_SESSION
            if row in under_bound:
                reason = self._reason_under_bound(row, chosen, share, now_s)
            elif chosen is not order[0]:
                reason = PassedOverReason.OVER_BOUND
            load, age_s = loads[row.incarnation_id], row.report_age_s(now_s)
            return PassedOver(row.record.endpoint_id, load, age_s, reason)

        return Choice(
            chosen,
            loads[chosen.incarnation_id],
            chosen.report_age_s(now_s),
            mean_load(loads.values(), request.excluded_endpoints, now_s),
            bound.load,
            tuple(passed_over(row) for row in in_order[: in_order.index(chosen)]),
        )

    def _reason_under_bound(
        self, row: KnownEndpoint, chosen: KnownEndpoint, share: float, now_s: float
    ) -> PassedOverReason:
        """Return why an endpoint under the load bound was passed over."""
        if row.in_flight >= share:
            return PassedOverReason.ENTRY_SHARE
        if row.has_queue(now_s):
            return PassedOverReason.QUEUE
        rate = self.prefill_rate(row.record.service)
        if _queue_ms(row, rate) - _queue_ms(chosen, rate) > _MAX_EXTRA_QUEUE_MS:
            return PassedOverReason.PREFILL_QUEUE
        return PassedOverReason.MORE_LOADED

    def _entry_share(
        self,
        request: PlacementRequest,
        bound: LoadBound,
        loads: Mapping[tuple[str, int], float],
        now_s: float,
    ) -> float:
        """Return from how many requests of this entry on an engine is skipped; infinity for never.

        Several entries may send to an engine at the same moment, before any of them knows of it.
        What an entry has sent itself is the only load that it always knows.
        """
        has_share = self._mechanisms.entry_share and self._mechanisms.bound
        if not has_share or not bound.is_cheap_to_move:
            return math.inf
        mean = mean_load(loads.values(), request.excluded_endpoints, now_s)
        limit = _FLEET_RATIO * mean + _FLEET_ALLOWANCE
        return max(1, math.ceil(_ENTRY_SHARE_FACTOR * limit / request.entries))

    def _pick(
        self,
        open_rows: Iterator[KnownEndpoint],
        preferred: KnownEndpoint,
        loads: Mapping[tuple[str, int], float],
    ) -> KnownEndpoint | None:
        """Return the first open endpoint, or one of the next if it has a long prefill queue.

        Requests that leave their preferred endpoint go to the least loaded of a few: entries that
        all took the first one would overload it in turn.
        """
        first = next(open_rows, None)
        if first is None:
            return None
        is_overflow = first is not preferred and self._mechanisms.overflow_choice
        more = itertools.islice(open_rows, _OVERFLOW_CANDIDATES - 1 if is_overflow else 1)
        candidates = [first, *more]
        if self._mechanisms.patience:
            rate = self.prefill_rate(first.record.service)
            queues_ms = [_queue_ms(row, rate) for row in candidates]
            limit_ms = min(queues_ms) + _MAX_EXTRA_QUEUE_MS
            pairs = zip(candidates, queues_ms, strict=True)
            candidates = [row for row, queue_ms in pairs if queue_ms <= limit_ms]
        if is_overflow:
            return min(candidates, key=lambda row: loads[row.incarnation_id])
        return candidates[0]

    def _least_loaded(
        self, rows: Sequence[KnownEndpoint], loads: Mapping[tuple[str, int], float]
    ) -> KnownEndpoint:
        """Return the least loaded of a few random endpoints.

        The least loaded of all would be the same one for all entries that know the same loads.
        """
        if self._mechanisms.overflow_choice and len(rows) > _OVERFLOW_CANDIDATES:
            rows = self._draw.sample(rows, _OVERFLOW_CANDIDATES)
        return min(rows, key=lambda row: loads[row.incarnation_id])

    def _spread_hot_session(
        self,
        order: list[KnownEndpoint],
        request: PlacementRequest,
        loads: Mapping[tuple[str, int], float],
        now_s: float,
    ) -> list[KnownEndpoint]:
        """Return the order with one of several copies first if the session has much of the traffic.

        Its copies are the first endpoints in rendezvous order, on which entries agree. Their number
        follows from the session's part of the service's load, so that each copy has room for other
        sessions. Of two random copies the less loaded one goes first.
        """
        if not request.parts.ids:
            return order
        service, session = order[0].record.service, request.parts.ids[-1]
        self._session_shares.note(service, session, now_s)
        share = self._session_shares.share(service, session)
        if not share:
            return order
        mean = mean_load(loads.values(), request.excluded_endpoints, now_s)
        fleet_limit = _FLEET_RATIO * mean + _FLEET_ALLOWANCE
        room = _COPY_ROOM * fleet_limit
        session_load = share * mean * (len(loads) + len(request.excluded_endpoints))
        rank = _rank(request.parts.ids)
        homes = sorted(order, key=lambda row: rank(row.record.endpoint_id))
        if session_load <= room or loads[homes[0].incarnation_id] < _SPREAD_FROM * fleet_limit:
            return order
        copies = homes[: math.ceil(session_load / room)]
        pair = self._draw.choice(copies), self._draw.choice(copies)
        first = min(pair, key=lambda row: loads[row.incarnation_id])
        return [first, *(row for row in order if row is not first)]

    def prefill_rate(self, service: str) -> PrefillRate:
        """Return the learned prefill rate of a service's engines."""
        if not self._mechanisms.learned_pace:
            return PrefillRate()
        rate = self._prefill_rates.get(service)
        if rate is None:
            rate = self._prefill_rates[service] = PrefillRate()
        return rate

    def plan_prefill(
        self,
        rows: Sequence[KnownEndpoint],
        chosen: KnownEndpoint,
        request: PlacementRequest,
        now_s: float,
    ) -> PrefillPlan:
        """Return where to fetch cached parts from, and how many tokens no endpoint has cached.

        A session that this entry has not seen may have been placed by another one, most likely at
        the first endpoint in rendezvous order. If that one has nothing cached, the attempt costs
        only the set-up of a fetch. What another software version cached may not fit.
        """
        parts = request.parts
        self._first_placed_s.setdefault(chosen.record.service, now_s)
        here = self._prefixes.cached_tokens(chosen.incarnation_id, parts, now_s)
        total = parts.shared_tokens
        others = [
            row
            for row in rows
            if row.incarnation_id != chosen.incarnation_id
            and row.record.version == chosen.record.version
        ]
        source, cached = self._prefixes.best_source(others, parts, now_s)
        is_reachable = any(row.incarnation_id == chosen.incarnation_id for row in rows)
        known = max(cached, here if is_reachable else 0)
        uncached_tokens = total - known + parts.own_tokens
        if self._mechanisms.warmth:
            self._prefixes.note(chosen.incarnation_id, parts.ids, now_s)
        self._note_placed(rows, chosen, parts, now_s)
        if not self._mechanisms.fetch:
            return PrefillPlan(None, uncached_tokens)
        if self._mechanisms.home and max(here, cached) < total and others:
            holder = self._likely_holder(others, parts, now_s)
            if holder is not None and (
                cached <= here or self._ranks_before(holder, chosen, parts, now_s)
            ):
                source, cached = holder, total
        is_worth_it = cached - here >= _MIN_FETCHED_TOKENS
        return PrefillPlan(source if is_worth_it else None, uncached_tokens)

    def note_first_byte(self, service: str, prefill: PrefillPlan, took_ms: float) -> None:
        """Add a sample of the prefill rate, unless part of the prompt was fetched."""
        if prefill.source is None:
            self.prefill_rate(service).note(prefill.uncached_tokens, took_ms)

    def note_moved_session(self, session: MovedSession, now_s: float) -> None:
        """Record where another entry has placed a session."""
        if self._mechanisms.moved_news and self._mechanisms.warmth:
            self._prefixes.note(session.incarnation_id, session.part_ids, now_s)

    def announce_outranked_sessions(self, endpoint_id: str, now_s: float) -> None:
        """Announce the sessions for which a new endpoint ranks before the one with their prefix.

        Entries that have not seen such a session take the new endpoint for its home and the next
        one in order, which may be new too, for the one with the prefix, so it would be recomputed.
        """
        for session, placed_s in self._placed.values():
            rank = _rank(session.part_ids)
            if now_s - placed_s < _PLACED_TTL_S and rank(endpoint_id) < rank(
                session.incarnation_id[0]
            ):
                self.moved.note(session, now_s)

    def _note_placed(
        self, rows: Sequence[KnownEndpoint], chosen: KnownEndpoint, parts: PromptParts, now_s: float
    ) -> None:
        if not parts.ids or not self._mechanisms.moved_news:
            return
        session = MovedSession(parts.ids, chosen.incarnation_id)
        self._placed[parts.ids[-1]] = session, now_s
        self._placed.move_to_end(parts.ids[-1])
        while len(self._placed) > _MAX_PLACED:
            self._placed.popitem(last=False)
        staying = [row for row in rows if row.is_open]
        if staying and _home(staying, parts) is not chosen:
            self.moved.note(session, now_s)

    def _is_settled(self, row: KnownEndpoint, now_s: float) -> bool:
        """Return whether the sessions that call it home are most likely cached there.

        They are elsewhere if they were placed while it was absent. An endpoint that joined before
        this entry placed its first session has missed none; all endpoints of a fleet that has just
        started are of this kind.
        """
        if self._mechanisms.brief_absence:
            first_placed_s = self._first_placed_s.get(row.record.service, math.inf)
            has_missed_none = row.was_seen_joining and row.serving_since_s <= first_placed_s
            if has_missed_none or row.absent_s <= _BRIEF_ABSENCE_S:
                return True
        return now_s - row.serving_since_s > _SETTLED_S

    def _likely_holder(
        self, rows: Sequence[KnownEndpoint], parts: PromptParts, now_s: float
    ) -> KnownEndpoint | None:
        """Return the endpoint that most likely has a session cached that this entry has not seen.

        An endpoint that has just started, or whose zone's evacuation has just ended, has not
        prefilled it yet; meanwhile the session went to the first of the others in rendezvous order.
        """
        settled = [row for row in rows if self._is_settled(row, now_s)]
        return _home(settled or rows, parts) if rows else None

    def _ranks_before(
        self, holder: KnownEndpoint, chosen: KnownEndpoint, parts: PromptParts, now_s: float
    ) -> bool:
        """Return whether other entries would have looked for the session at the holder first."""
        if not self._is_settled(chosen, now_s):
            return True
        rank = _rank(parts.ids)
        return rank(holder.record.endpoint_id) < rank(chosen.record.endpoint_id)

    def _bound_for(
        self, request: PlacementRequest, service: str, loads: Collection[float], now_s: float
    ) -> LoadBound:
        """Return the load from which an endpoint is skipped for this request."""
        if not self._mechanisms.size_bound:
            return fleet_bound(loads, request.excluded_endpoints, now_s)
        tokens = request.parts.shared_tokens
        size = self._sizes.relative(service, tokens)
        self._sizes.note(service, tokens)
        return fleet_bound(loads, request.excluded_endpoints, now_s, size)

    def _order(
        self,
        rows: Sequence[KnownEndpoint],
        parts: PromptParts,
        loads: Mapping[tuple[str, int], float],
        now_s: float,
    ) -> list[KnownEndpoint]:
        """Return the endpoints with the prefix cached, then the others, in rendezvous order."""
        cached = self._prefixes.fully_cached(rows, parts, now_s)
        rank = _rank(parts.ids)
        if not self._mechanisms.home:
            return sorted(
                rows, key=lambda row: (row.incarnation_id not in cached, loads[row.incarnation_id])
            )
        return sorted(
            rows, key=lambda row: (row.incarnation_id not in cached, rank(row.record.endpoint_id))
        )

    def _under_bound(
        self,
        order: Sequence[KnownEndpoint],
        loads: Mapping[tuple[str, int], float],
        bound: LoadBound,
        now_s: float,
    ) -> Iterator[KnownEndpoint]:
        """Yield the endpoints whose load is below the bound by a margin, in the same order.

        One whose load is below the mean is never left out.
        """
        if not self._mechanisms.bound:
            yield from order
            return
        mean = sum(loads.values()) / len(order)
        for row in order:
            margin = bound.margin_factor * self._unreported_margin(row, mean, now_s)
            row_bound = max(mean, bound.load - margin)
            if loads[row.incarnation_id] < row_bound:
                yield row

    def _unreported_margin(self, row: KnownEndpoint, mean: float, now_s: float) -> float:
        """Return the margin for requests that an endpoint got since its last report.

        One entry of many sees little of what the others send. The number of such requests is
        random, with the square root of the expected number as its standard deviation. The margin
        is random too: entries that know the same loads would otherwise all leave an endpoint for
        the same next one at once, and return to it at once.
        """
        if not self._mechanisms.bound_margin:
            return 0.0
        deviation = math.sqrt(row.expected_unreported(mean, now_s))
        return deviation * self._draw.expovariate(1 / _MEAN_MARGIN)


def _recorded(
    rows: Iterable[KnownEndpoint], record: list[KnownEndpoint]
) -> Iterator[KnownEndpoint]:
    """Yield the endpoints, and append each of them to a list."""
    for row in rows:
        record.append(row)
        yield row


def _queueing_last(rows: Iterable[KnownEndpoint], now_s: float) -> Iterator[KnownEndpoint]:
    """Yield the endpoints in the same order, but those with waiting requests after the others."""
    queueing = []
    for row in rows:
        if row.has_queue(now_s):
            queueing.append(row)
        else:
            yield row
    yield from queueing


def _queue_ms(row: KnownEndpoint, rate: PrefillRate) -> float:
    """Return how long an endpoint will take to prefill the prompts that it already has."""
    return row.prefill_tokens * _OTHER_ENTRIES_FACTOR / rate.tokens_per_ms


def _home(rows: Sequence[KnownEndpoint], parts: PromptParts) -> KnownEndpoint:
    """Return the first endpoint in the rendezvous order of a prompt's session."""
    rank = _rank(parts.ids)
    return min(rows, key=lambda row: rank(row.record.endpoint_id))


def _rank(part_ids: Sequence[str]) -> Callable[[str], int]:
    """Return a function from an endpoint's id to its rank in a session's rendezvous order."""
    session = part_ids[-1] if part_ids else ""

    def rank(endpoint_id: str) -> int:
        return rendezvous_rank(session, endpoint_id)

    return rank
