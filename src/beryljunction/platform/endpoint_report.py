"""The report that an endpoint gives of itself on request."""

import json

__all__ = ["REPORT_REQUEST", "decode_report_start"]

REPORT_REQUEST = b"GET /beryljunction/report HTTP/1.1\r\nhost: endpoint\r\n\r\n"


def decode_report_start(body: bytes) -> int | None:
    """Return the Unix ms at which the endpoint started; None if the report doesn't state it."""
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        return None
    started_ms = fields.get("born") if isinstance(fields, dict) else None
    return started_ms if type(started_ms) is int else None
