"""Share of each session in the requests that this entry placed lately."""

import collections

__all__ = ["SessionShares"]

# Requests of this period count: long enough to tell a busy session from chance at five requests
# a second, and short enough to follow one that becomes busy.
_WINDOW_S = 4.0
# A busy entry reaches this number sooner; the period then is shorter.
_MAX_REQUESTS = 512
# Fewer requests of a session than this may be chance.
_MIN_REQUESTS = 3


class SessionShares:
    """Counts the requests of each session and service in a sliding window."""

    def __init__(self) -> None:
        self._requests: collections.deque[tuple[float, str, str]] = collections.deque()
        self._by_service: collections.Counter[str] = collections.Counter()
        self._by_session: collections.Counter[tuple[str, str]] = collections.Counter()

    def note(self, service: str, session: str, now_s: float) -> None:
        """Count a request."""
        self._requests.append((now_s, service, session))
        self._by_service[service] += 1
        self._by_session[service, session] += 1
        while len(self._requests) > _MAX_REQUESTS or now_s - self._requests[0][0] > _WINDOW_S:
            _, old_service, old_session = self._requests.popleft()
            self._by_service[old_service] -= 1
            self._by_session[old_service, old_session] -= 1
            if not self._by_session[old_service, old_session]:
                del self._by_session[old_service, old_session]

    def share(self, service: str, session: str) -> float:
        """Return the session's share in the service's requests; 0 if it had only a few."""
        requests = self._by_session.get((service, session), 0)
        if requests < _MIN_REQUESTS:
            return 0.0
        # One request less: a session is looked up just after one of its requests was counted.
        return (requests - 1) / self._by_service[service]
