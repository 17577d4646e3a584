"""Answers operators who ask an entry for its status and its latest events."""

import json
import re
from collections.abc import Callable
from urllib.parse import parse_qs

import attrs

from beryljunction.gateway.callers import CallerConnection
from beryljunction.gateway.events import Events
from beryljunction.gateway.messages import HttpRequest
from beryljunction.gateway.probes import ProbeHandler
from beryljunction.operators import EVENTS_PATH, STATUS_PATH, NodeStatus, shows_key

__all__ = ["OperatorHandler", "operator_digests"]

_LAST_EVENTS = 1_000
_SHA256 = re.compile(r"[0-9a-f]{64}")


def operator_digests(text: str) -> tuple[str, ...]:
    """Return the SHA-256 digests in a list with commas between them; others are left out."""
    return tuple(part for part in text.split(",") if _SHA256.fullmatch(part))


class OperatorHandler(ProbeHandler):
    """Serves metrics as the probes' address does, and with a key what names requests.

    Args:
        is_ready: Whether callers are welcome.
        events: Metrics, and the latest events where they are kept.
        status: Returns what this process says of itself.
        digests: SHA-256 of each key that is taken; without any, only metrics are shown.
    """

    def __init__(
        self,
        is_ready: Callable[[], bool],
        events: Events,
        status: Callable[[], NodeStatus],
        digests: tuple[str, ...],
    ) -> None:
        super().__init__(is_ready, events.metrics.render)
        self._status = status
        self._events = events
        self._digests = digests

    def requested(self, connection: CallerConnection, request: HttpRequest) -> None:
        """Answer at once."""
        answers = {STATUS_PATH: self._tell_status, EVENTS_PATH: self._tell_events}
        answer = answers.get(request.path)
        if answer is None:
            super().requested(connection, request)
        elif not shows_key(request.value(b"authorization") or b"", self._digests):
            connection.answer(401, [(b"www-authenticate", b"Bearer")], b"")
        else:
            headers = [(b"content-type", b"application/json")]
            connection.answer(200, headers, json.dumps(answer(request)).encode())

    def _tell_status(self, _: HttpRequest) -> object:
        return attrs.asdict(self._status())

    def _tell_events(self, request: HttpRequest) -> object:
        query = parse_qs(request.target.partition(b"?")[2].decode("latin-1"))
        wanted = query.get("request_id", [None])[0]
        last = query.get("last", [""])[0]
        count = int(last) if last.isdecimal() else _LAST_EVENTS
        timeline = self._events.timeline
        events = timeline.events(wanted)[-count:] if timeline is not None else []
        return {"events": [attrs.astuple(event) for event in events]}
