"""Decides whether an endpoint may load by asking the others, without turns from the log.

All endpoints of a service are ordered by the same hash and tell each other their state, and each
leaves room for every earlier one that might start at the same moment. This is used for engines that
serve nothing while the log is down, and for fleets without a log. Two endpoints that don't know of
each other for longer than ``_ANNOUNCE_S`` may load together, which turns prevent
(:mod:`beryljunction.systems.recovery.turns`).
"""

from collections.abc import Iterable

import attrs
import xxhash

from beryljunction.tables.orders import OrderRow, Phase

__all__ = ["LoadAllowed", "LoadDelayed", "PeerRolloutPolicy", "RolloutLimits"]

# Time between announcement and start, in which every other endpoint has asked this one or been
# asked. Host lists may differ for seconds, but if one of two endpoints lists the other, it asks and
# both know of each other. Two that don't for longer than this can load together.
_ANNOUNCE_S = 5.0


@attrs.frozen
class RolloutLimits:
    """Limits of one service in one region.

    Attributes:
        min_serving: Least endpoints that keep serving while others load.
        parallel_loads: Most loads in progress in the service.
    """

    min_serving: int
    parallel_loads: int

    @staticmethod
    def share(min_serving: int, store_loads: int, engine_services: int) -> "RolloutLimits":
        """Return the limits of one of several services that share the store's limit.

        Loads are not counted across services, so each service gets an equal share. If there are
        more services than parallel loads at the store, the store refuses the excess.
        """
        return RolloutLimits(min_serving, max(1, store_loads // max(1, engine_services)))


@attrs.frozen
class LoadAllowed:
    """Load now."""


@attrs.frozen
class LoadDelayed:
    """Do not load yet."""

    reason: str


class PeerRolloutPolicy:
    """Decides for one endpoint from the last answers of the others."""

    def __init__(self, endpoint_id: str) -> None:
        self._endpoint_id = endpoint_id
        self._intends_since_s: float | None = None

    @property
    def intends(self) -> bool:
        """Whether this endpoint has announced that it wants to load."""
        return self._intends_since_s is not None

    def withdraw(self) -> None:
        """Withdraw the announcement, because there is nothing to load any more."""
        self._intends_since_s = None

    def decide(
        self,
        listed: Iterable[str],
        rows: Iterable[OrderRow],
        limits: RolloutLimits,
        interrupts: bool,
        now_s: float,
    ) -> LoadAllowed | LoadDelayed:
        """Return whether this endpoint may start to load.

        A new version may be due at all 41 engines of a service at once, while others start empty
        and hosts are replaced. Without limits no endpoint would serve, or the weight store would be
        overloaded and every load would take longer and longer.

        Args:
            listed: Other endpoints of the service in the host list.
            rows: Recent answers, also from endpoints that are missing from the list.
            limits: The service's limits.
            interrupts: Whether this endpoint serves now and can't while it loads.
            now_s: Monotonic time.
        """
        if self._intends_since_s is None:
            self._intends_since_s = now_s
        heard = {row.endpoint_id: row for row in rows if row.endpoint_id != self._endpoint_id}
        # An endpoint that does not answer may be loading, so it counts until it leaves the list.
        silent = sorted(set(listed) - heard.keys() - {self._endpoint_id})
        busy = [i for i, r in heard.items() if r.phase in (Phase.LOADING, Phase.DRAINING)] + silent
        before = [row for row in heard.values() if self._has_precedence(row, interrupts)]
        if len(busy) + len(before) >= limits.parallel_loads:
            ahead = sorted(busy + [row.endpoint_id for row in before])
            return LoadDelayed(
                f"{limits.parallel_loads} may load at once; ahead: {', '.join(ahead)}"
            )
        serving = [row for row in heard.values() if row.serves and row.phase in _SERVING_PHASES]
        kept = len(serving) - sum(row.serves for row in before)
        if interrupts and kept < limits.min_serving:
            return LoadDelayed(f"{kept} others would serve; min_serving is {limits.min_serving}")
        if interrupts and now_s - self._intends_since_s < _ANNOUNCE_S:
            return LoadDelayed("announced; waiting for the answers of other endpoints")
        return LoadAllowed()

    def _has_precedence(self, row: OrderRow, interrupts: bool) -> bool:
        """Whether another endpoint is ahead of this one and may start at the same moment."""
        if row.done or row.phase not in _SERVING_PHASES:
            return False
        # Endpoints that serve nothing are first, because their load takes no capacity from callers.
        return (row.serves, _rank(row.endpoint_id)) < (interrupts, _rank(self._endpoint_id))


_SERVING_PHASES = (Phase.SERVING, Phase.INTENDS)


def _rank(endpoint_id: str) -> int:
    return xxhash.xxh3_64_intdigest(endpoint_id.encode())
