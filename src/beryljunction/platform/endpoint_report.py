"""The report that an endpoint gives of itself on request, and the check whether it runs."""

from beryljunction.platform.fields import FieldError, parse_json, whole_number
from beryljunction.routing import Service

__all__ = ["REPORT_REQUEST", "check_request", "decode_report_start"]

REPORT_REQUEST = b"GET /beryljunction/report HTTP/1.1\r\nhost: endpoint\r\n\r\n"


def check_request(service: Service | None) -> bytes:
    """Return a request that the endpoints of a service answer without running anything.

    Engines have a report, which needs no slot. Others count a request for one as one that they
    reject, unless they have a path of their own for checks.
    """
    if service is None or service.is_engine or not service.health_path:
        return REPORT_REQUEST
    path = service.health_path.encode("ascii")
    return b"GET %b HTTP/1.1\r\nhost: endpoint\r\n\r\n" % path


def decode_report_start(body: bytes) -> int | None:
    """Return the Unix ms at which the endpoint started; None if the report doesn't state it."""
    try:
        fields = parse_json(body)
    except FieldError:
        return None
    started_ms = fields.get("born") if isinstance(fields, dict) else None
    return whole_number(started_ms) if type(started_ms) is int else None
