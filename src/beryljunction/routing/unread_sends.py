"""Requests that endpoints may still read after their connections were closed."""

from collections.abc import Callable

import attrs

from beryljunction.routing.attempts import AttemptPlan
from beryljunction.routing.known_endpoint import KnownEndpoint

__all__ = ["UnreadSends"]

# An endpoint that stands still for longer is taken not to go on.
_MAX_STALL_S = 60.0


@attrs.frozen
class _Send:
    endpoint: KnownEndpoint
    sent_s: float
    closed_s: float
    plan: AttemptPlan


class UnreadSends:
    """Keeps track of requests that were given up before their endpoint had sent a byte.

    Closing a connection doesn't take back what the other host has received: a process that was
    suspended reads it when it goes on.
    """

    def __init__(self) -> None:
        self._sends: dict[tuple[str, int], list[_Send]] = {}

    def add(self, endpoint: KnownEndpoint, plan: AttemptPlan, sent_s: float, now_s: float) -> None:
        """Add a request whose connection is closed now."""
        sends = self._sends.setdefault(endpoint.incarnation_id, [])
        sends.append(_Send(endpoint, sent_s, now_s, plan))
        endpoint.unread.add(plan)

    def end_attempt(self, endpoint: KnownEndpoint, plan: AttemptPlan) -> None:
        """Record that an attempt has ended; if its request was given up unread, it still counts."""
        sends = self._sends.get(endpoint.incarnation_id, ())
        if not any(send.plan is plan for send in sends):
            endpoint.unread.discard(plan)

    def note_answer(self, endpoint: KnownEndpoint, sent_s: float, now_s: float) -> None:
        """Record that an endpoint has answered a request that was sent at this time.

        It has read those that were sent before.
        """
        if self._sends:
            self._settle(endpoint.incarnation_id, lambda row: row.sent_s < sent_s, now_s)

    def expire(self, now_s: float) -> None:
        """Forget the requests at endpoints that have stood still for too long."""
        for incarnation_id in list(self._sends):
            self._settle(incarnation_id, lambda row: now_s - row.closed_s > _MAX_STALL_S, now_s)

    def _settle(
        self, incarnation_id: tuple[str, int], is_read: Callable[[_Send], bool], now_s: float
    ) -> None:
        unread = []
        for send in self._sends.pop(incarnation_id, ()):
            if is_read(send):
                send.plan.note_read(now_s)
                send.endpoint.unread.discard(send.plan)
            else:
                unread.append(send)
        if unread:
            self._sends[incarnation_id] = unread
