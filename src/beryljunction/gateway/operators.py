"""HTTP handler that gives operators the status and latest events of an entry."""

import json
import re
from collections.abc import Callable
from urllib.parse import parse_qs

import attrs

from beryljunction.gateway.callers import CallerConnection
from beryljunction.gateway.events import EntryEventLog
from beryljunction.gateway.messages import HttpRequest
from beryljunction.gateway.probes import ProbeHandler
from beryljunction.operator_api import (
    EVENTS_PATH,
    STATUS_PATH,
    ProcessStatus,
    is_operator_authorized,
)

__all__ = ["OperatorHandler", "operator_digests"]

_MAX_DIGITS = 9
_DEFAULT_EVENT_COUNT = 1_000
_SHA256 = re.compile(r"[0-9a-f]{64}")


def operator_digests(text: str) -> tuple[str, ...]:
    """Return the SHA-256 digests in a comma-separated list; other values are ignored."""
    return tuple(part for part in text.split(",") if _SHA256.fullmatch(part))


class OperatorHandler(ProbeHandler):
    """Serves readiness and metrics to anyone, and status and events to holders of a key.

    Args:
        is_ready: Returns whether the entry accepts callers.
        events: Event log, with the metrics and, if they are kept, the latest events.
        status: Returns the status of this process.
        digests: SHA-256 of each accepted key; without any, status and events are refused.
    """

    def __init__(
        self,
        is_ready: Callable[[], bool],
        events: EntryEventLog,
        status: Callable[[], ProcessStatus],
        digests: tuple[str, ...],
    ) -> None:
        super().__init__(is_ready, events.metrics.render)
        self._status = status
        self._events = events
        self._digests = digests

    def on_request(self, connection: CallerConnection, request: HttpRequest) -> None:
        """Answer with status, events, metrics or readiness, depending on the path."""
        answers = {STATUS_PATH: self._status_body, EVENTS_PATH: self._events_body}
        answer = answers.get(request.path)
        if answer is None:
            super().on_request(connection, request)
        elif not is_operator_authorized(request.header(b"authorization") or b"", self._digests):
            connection.answer(401, [(b"www-authenticate", b"Bearer")], b"")
        else:
            headers = [(b"content-type", b"application/json")]
            connection.answer(200, headers, json.dumps(answer(request)).encode())

    def _status_body(self, _: HttpRequest) -> object:
        return attrs.asdict(self._status())

    def _events_body(self, request: HttpRequest) -> object:
        query = parse_qs(request.target.partition(b"?")[2].decode("latin-1"))
        wanted = query.get("request_id", [None])[0]
        last = query.get("last", [""])[0]
        count = int(last) if last.isdecimal() and len(last) <= _MAX_DIGITS else _DEFAULT_EVENT_COUNT
        timeline = self._events.timeline
        events = timeline.events(wanted)[-count:] if timeline is not None else []
        return {"events": [attrs.astuple(event) for event in events]}
