"""Answers the readiness probes of the load balancer and serves metrics."""

from collections.abc import Callable

from beryljunction.gateway.callers import CallerConnection, CallerHandler
from beryljunction.gateway.messages import HttpRequest
from beryljunction.routing import CallerLimits

__all__ = ["ProbeHandler"]

METRICS_PATH = "/metrics"


class ProbeHandler(CallerHandler):
    """Serves metrics; answers every other path with 200 if the entry is ready, else with 503."""

    def __init__(self, is_ready: Callable[[], bool], render: Callable[[], bytes]) -> None:
        super().__init__()
        self.limits = CallerLimits()
        self._is_ready = is_ready
        self._render = render

    def on_request(self, connection: CallerConnection, request: HttpRequest) -> None:
        """Answer with the metrics or the readiness."""
        if request.path == METRICS_PATH:
            headers = [(b"content-type", b"text/plain; version=0.0.4; charset=utf-8")]
            connection.answer(200, headers, self._render())
            return
        connection.answer(200 if self._is_ready() else 503, [], b"")

    def on_reject(self, status: int, problem: str) -> None:
        """Do nothing."""
