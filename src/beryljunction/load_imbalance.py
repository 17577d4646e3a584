"""Counts the requests of entries' logs that reached endpoints over the load bound of the fleet."""

import collections
import datetime
from collections.abc import Iterable, Sequence

import attrs

from beryljunction.explain import LogLine

__all__ = ["Arrival", "CountedWindow", "ServiceImbalance", "count_imbalance", "worst_window"]

# An endpoint is over the bound when it holds more than this many times the mean of its service,
# plus the allowance.
BOUND_RATIO = 2.0
BOUND_ALLOWANCE = 3
# The limit is broken when this many requests in a window, and more than this share of them, reach
# endpoints over the bound.
WINDOW_S = 5.0
MIN_OVER = 20
MAX_SHARE = 0.03


@attrs.frozen
class Arrival:
    """A request that was sent to an endpoint.

    Attributes:
        at_s: When it was sent.
        is_over: Whether the endpoint was over the bound with it.
    """

    at_s: float
    is_over: bool


@attrs.frozen
class CountedWindow:
    """The requests of five seconds.

    Attributes:
        start_s: Time of the first of them.
        requests: All of them.
        over: Those that reached an endpoint over the bound.
    """

    start_s: float = 0.0
    requests: int = 0
    over: int = 0

    @property
    def share(self) -> float:
        """Share of the requests that reached an endpoint over the bound."""
        return self.over / self.requests if self.requests else 0.0

    @property
    def breaks_limit(self) -> bool:
        """Whether the limit for fleets is broken."""
        return self.over >= MIN_OVER and self.share > MAX_SHARE


@attrs.frozen
class ServiceImbalance:
    """What the logs say about one service.

    Attributes:
        endpoints: Highest number of its endpoints at one time.
        requests: All attempts that were sent.
        over: Those that reached an endpoint over the bound.
        worst: The window that comes closest to breaking the limit, or breaks it most.
        over_by_endpoint: Attempts over the bound by endpoint, most first.
    """

    service: str
    endpoints: int
    requests: int
    over: int
    worst: CountedWindow
    over_by_endpoint: tuple[tuple[str, int], ...]


def worst_window(arrivals: Sequence[Arrival]) -> CountedWindow:
    """Return the five seconds with the largest share over the bound.

    Each begins with a request; shorter ones at the end of the log don't count. Windows with fewer
    requests over the bound than the limit asks for are returned only if no window has as many.

    Args:
        arrivals: Requests in order of time.
    """
    best = CountedWindow()
    end = over = 0
    for first, arrival in enumerate(arrivals):
        while end < len(arrivals) and arrivals[end].at_s < arrival.at_s + WINDOW_S:
            over += arrivals[end].is_over
            end += 1
        window = CountedWindow(arrival.at_s, end - first, over)
        if _severity(window) > _severity(best):
            best = window
        if end == len(arrivals):
            break
        over -= arrival.is_over
    return best


def _severity(window: CountedWindow) -> tuple[int, float]:
    return min(window.over, MIN_OVER), window.share


class _ServiceCount:
    """Requests that the endpoints of one service hold, while the lines are read in order."""

    def __init__(self, service: str) -> None:
        self.service = service
        self.held: dict[str, int] = {}
        self.arrivals: list[Arrival] = []
        self.over_by_endpoint: collections.Counter[str] = collections.Counter()
        self.endpoints = 0

    def add_endpoint(self, endpoint: str) -> None:
        self.held.setdefault(endpoint, 0)
        self.endpoints = max(self.endpoints, len(self.held))

    def send(self, endpoint: str, at_s: float) -> None:
        self.add_endpoint(endpoint)
        self.held[endpoint] += 1
        mean = sum(self.held.values()) / len(self.held)
        is_over = self.held[endpoint] > BOUND_RATIO * mean + BOUND_ALLOWANCE
        self.arrivals.append(Arrival(at_s, is_over))
        self.over_by_endpoint[endpoint] += is_over

    def end(self, endpoint: str) -> None:
        if endpoint in self.held:
            self.held[endpoint] -= 1

    def result(self) -> ServiceImbalance:
        by_endpoint = [(name, over) for name, over in self.over_by_endpoint.most_common() if over]
        return ServiceImbalance(
            self.service,
            self.endpoints,
            len(self.arrivals),
            sum(arrival.is_over for arrival in self.arrivals),
            worst_window(self.arrivals),
            tuple(by_endpoint),
        )


def count_imbalance(lines: Iterable[LogLine]) -> list[ServiceImbalance]:
    """Count the requests over the bound from the logs of all entries, by service.

    An endpoint holds a request from its `sent` line to the end of the attempt or of the answer. The
    mean is over the endpoints that have joined and are not gone. Requests that arrive by entries
    whose logs are missing, or whose lines were left out, are not counted.
    """
    counts: dict[str, _ServiceCount] = {}
    services: dict[str, _ServiceCount] = {}
    sent_to: dict[tuple[str, str], str] = {}
    for line in sorted(lines, key=lambda line: line.at):
        endpoint, request = line.get("endpoint"), (line.host, line.get("request_id"))
        if line.event in ("endpoint_joined", "sent") and line.get("service"):
            service = line.get("service")
            count = counts.setdefault(service, _ServiceCount(service))
            services[endpoint] = count
            count.add_endpoint(endpoint)
        if line.event == "endpoint_gone" and endpoint in services:
            services[endpoint].held.pop(endpoint, None)
        elif line.event == "sent" and endpoint in services:
            _end(sent_to.pop(request, ""), services)
            services[endpoint].send(endpoint, _seconds(line.at))
            sent_to[request] = endpoint
        elif line.event in ("attempt_ended", "answered", "not_answered"):
            _end(sent_to.pop(request, ""), services)
    return [count.result() for _, count in sorted(counts.items())]


def _end(endpoint: str, services: dict[str, _ServiceCount]) -> None:
    if endpoint:
        services[endpoint].end(endpoint)


def _seconds(at: datetime.datetime) -> float:
    return at.timestamp()
