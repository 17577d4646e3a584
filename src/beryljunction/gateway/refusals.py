"""Refuses the requests of callers who are connected to an entry that can't serve."""

import random

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.buffer_memory import BufferMemory
from beryljunction.gateway.callers import CallerConnection, CallerHandler
from beryljunction.gateway.messages import Headers, HttpRequest
from beryljunction.platform.headers import REQUEST_ID, RETRY_AFTER_S
from beryljunction.platform.request_headers import parse_caller_headers
from beryljunction.routing import CallerLimits, retry_after_s

__all__ = ["RefusalHandler"]

_BODY = b"starting\n"
# Before the settings are read, their limit of the memory isn't known.
_MAX_BUFFERED_BYTES = 30_000_000


class RefusalHandler(CallerHandler):
    """Answers each request with 503 and Retry-After, and closes its connection."""

    def __init__(self) -> None:
        super().__init__(BufferMemory(_MAX_BUFFERED_BYTES))
        self.limits = CallerLimits()
        self.is_draining = True

    def on_request(self, connection: CallerConnection, request: HttpRequest) -> None:
        """Refuse the request, which has not run and will not."""
        headers: Headers = [(b"content-type", b"text/plain")]
        left_s = None
        fields = parse_caller_headers(request.headers)
        if not isinstance(fields, str):
            headers.append((REQUEST_ID, fields.request_id.encode("latin-1")))
            if fields.deadline_ms is not None:
                left_s = request.arrived_s + fields.deadline_ms / 1000 - boot_time_s()
        delay_s = retry_after_s((), left_s, random.Random(), boot_time_s())
        headers.append((RETRY_AFTER_S, b"%.2f" % delay_s))
        connection.answer(503, headers, _BODY)

    def on_reject(self, status: int, problem: str) -> None:
        """Do nothing."""
