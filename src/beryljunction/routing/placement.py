"""Chooses an endpoint: for prompts where their prefix is cached, else where there is room."""

import abc
import collections
import random
from collections.abc import Sequence

import attrs
import xxhash

from beryljunction.routing.endpoints import KnownEndpoint

__all__ = ["Demand", "Placement", "PlainPlacement", "WarmPlacement"]

# A session stays where it was for this long after its last request: cached parts outlive it by
# far, and a session that moves reads its whole prefix again.
_WARM_S = 30.0
_MOST_SESSIONS = 50_000
# By session: when it last used a start of an endpoint.
_Homes = collections.OrderedDict[str, dict[tuple[str, int], float]]
# An endpoint above this multiple of the mean, plus the allowance for small numbers, is passed over.
# It stays under the fleet's bound of 2 x mean + 3, with room for requests that other entries have
# sent since the last report.
_BOUND_RATIO = 1.4
_BOUND_ALLOWANCE = 2.0
# A plain endpoint in another availability zone counts as this much fuller (share of its slots):
# the way there costs 0.5 to 1.4 ms of some 45 ms of work.
_OTHER_ZONE_SHARE = 0.05


@attrs.frozen
class Demand:
    """What placement knows of a request.

    Attributes:
        shared_parts: Ids of the prompt parts that other requests have too, in order.
    """

    shared_parts: tuple[str, ...] = ()


class Placement(abc.ABC):
    """Chooses one of several usable endpoints."""

    @abc.abstractmethod
    def choose(
        self, rows: Sequence[KnownEndpoint], demand: Demand, now_s: float
    ) -> KnownEndpoint | None:
        """Return the endpoint that is to get the request; None when there is none."""


class PlainPlacement(Placement):
    """The emptiest endpoint, nearer ones first.

    Load: many short calls to endpoints with few slots. Harm: a call that waits behind another takes
    twice its time. Equal ones are drawn at random, so that entries which read the same loads don't
    all pick the same.
    """

    def __init__(self, availability_zone: str, draw: random.Random) -> None:
        self._zone = availability_zone
        self._draw = draw

    def choose(
        self, rows: Sequence[KnownEndpoint], demand: Demand, now_s: float
    ) -> KnownEndpoint | None:
        """Return the emptiest endpoint."""
        return min(rows, key=lambda row: self._fullness(row, now_s), default=None)

    def _fullness(self, row: KnownEndpoint, now_s: float) -> tuple[float, float]:
        share = row.load(now_s) / max(1, row.record.slots)
        if row.record.availability_zone != self._zone:
            share += _OTHER_ZONE_SHARE
        return share, self._draw.random()


class WarmPlacement(Placement):
    """Where the session's prefix lies, unless that endpoint carries too much.

    Load: sessions of thousands of prompt tokens return every few seconds. Harm: read again
    elsewhere, a prefix of 6,000 tokens delays the first token, and every stream beside it, by some
    160 ms. Rendezvous order makes entries that never speak to each other agree on a home; what this
    entry has placed before goes first, so that an endpoint that is added takes new sessions and
    none that is warm elsewhere.
    """

    def __init__(self) -> None:
        self._homes: collections.OrderedDict[str, dict[tuple[str, int], float]] = (
            collections.OrderedDict()
        )

    def choose(
        self, rows: Sequence[KnownEndpoint], demand: Demand, now_s: float
    ) -> KnownEndpoint | None:
        """Return the first endpoint in order of warmth that is under the bound."""
        if not rows:
            return None
        session = demand.shared_parts[-1] if demand.shared_parts else ""
        loads = {id(row): row.load(now_s) for row in rows}
        bound = _BOUND_RATIO * sum(loads.values()) / len(rows) + _BOUND_ALLOWANCE
        if not session:
            return min(rows, key=lambda row: loads[id(row)])
        chosen = next(
            (row for row in self._order(rows, session, now_s) if loads[id(row)] < bound),
            None,
        )
        if chosen is None:
            chosen = min(rows, key=lambda row: loads[id(row)])
        self._remember(session, chosen, now_s)
        return chosen

    def _order(
        self, rows: Sequence[KnownEndpoint], session: str, now_s: float
    ) -> list[KnownEndpoint]:
        homes = self._homes.get(session, {})

        def rank(row: KnownEndpoint) -> tuple[bool, int]:
            is_cold = now_s - homes.get(row.start, -_WARM_S) >= _WARM_S
            return is_cold, _score(session, row.record.endpoint_id)

        return sorted(rows, key=rank)

    def _remember(self, session: str, chosen: KnownEndpoint, now_s: float) -> None:
        homes = self._homes.setdefault(session, {})
        self._homes.move_to_end(session)
        homes[chosen.start] = now_s
        if len(self._homes) > _MOST_SESSIONS:
            self._homes.popitem(last=False)


def _score(session: str, endpoint_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{session}/{endpoint_id}".encode())
