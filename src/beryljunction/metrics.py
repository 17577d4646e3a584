"""Prometheus metrics of one process; each :class:`Metrics` has its own registry."""

import time
from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, ProcessCollector
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from beryljunction.servers import Asgi, Receive, Scope, Send
from beryljunction.timeline import Event

__all__ = ["MetricsMiddleware", "Metrics"]

# The target of 0.32 s to the first token must itself be a bucket bound.
_FIRST_BYTE_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.32, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0)


class Metrics:
    """Metrics of a process.

    Each label has few values: event kinds, refusal codes, states. Client accounts and chats are
    not used as labels, because with 350 accounts a scrape would grow with every service.
    """

    content_type = CONTENT_TYPE_LATEST

    def __init__(self, role: str) -> None:
        self.registry = CollectorRegistry()
        ProcessCollector(registry=self.registry)
        self._events = Counter(
            "beryl_events", "Events of the time line.", ["kind"], registry=self.registry
        )
        self._refusals = Counter(
            "beryl_refusals", "Requests refused or failed.", ["code"], registry=self.registry
        )
        self._first_byte = Histogram(
            "beryl_first_byte_seconds",
            "Time from a request's arrival to the first byte of its answer's body.",
            registry=self.registry,
            buckets=_FIRST_BYTE_BUCKETS_S,
        )
        self._control = Counter(
            "beryl_control_bytes",
            "Bytes of control traffic, HTTP heads included.",
            ["purpose", "direction"],
            registry=self.registry,
        )
        self.add_gauge("beryl_up_info", f"Constant 1; the process is a {role}.", lambda: 1.0)

    def add_gauge(self, name: str, documentation: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read at each scrape."""
        Gauge(name, documentation, registry=self.registry).set_function(read)

    def count_event(self, event: Event) -> None:
        """Count an event of the timeline."""
        self._events.labels(event.kind).inc()
        if event.kind == "refused":
            self._refusals.labels(event.detail).inc()

    def count_control_bytes(self, purpose: str, sent_bytes: int, received_bytes: int) -> None:
        """Count the bytes of an exchange of control traffic."""
        self._control.labels(purpose, "sent").inc(sent_bytes)
        self._control.labels(purpose, "received").inc(received_bytes)

    def observe_first_byte(self, elapsed_s: float) -> None:
        """Record the time to the first byte of a response."""
        self._first_byte.observe(elapsed_s)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)


class MetricsMiddleware:
    """ASGI middleware that measures the time to the first byte of each response."""

    def __init__(self, app: Asgi, metrics: Metrics) -> None:
        self._app = app
        self._metrics = metrics

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        arrived_s = time.monotonic()
        is_first = True

        async def send_measured(message: dict[str, object]) -> None:
            nonlocal is_first
            if is_first and message["type"] == "http.response.body":
                is_first = False
                self._metrics.observe_first_byte(time.monotonic() - arrived_s)
            await send(message)

        await self._app(scope, receive, send_measured)  # type: ignore[arg-type]
