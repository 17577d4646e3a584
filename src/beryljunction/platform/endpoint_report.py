"""The report that an endpoint gives of itself on request."""

from beryljunction.platform.fields import FieldError, parse_json, whole_number

__all__ = ["REPORT_REQUEST", "decode_report_start"]

REPORT_REQUEST = b"GET /beryljunction/report HTTP/1.1\r\nhost: endpoint\r\n\r\n"


def decode_report_start(body: bytes) -> int | None:
    """Return the Unix ms at which the endpoint started; None if the report doesn't state it."""
    try:
        fields = parse_json(body)
    except FieldError:
        return None
    started_ms = fields.get("born") if isinstance(fields, dict) else None
    return whole_number(started_ms) if type(started_ms) is int else None
