"""Applies the load, leaving and Retry-After headers in the responses of an endpoint."""

from beryljunction.clocks import boot_time_s, unix_time_s
from beryljunction.gateway.exchangelog import ExchangeLog
from beryljunction.gateway.messages import ResponseHead
from beryljunction.platform.load_header import parse_load
from beryljunction.platform.request_headers import (
    has_leaving_header,
    is_misdirected,
    parse_retry_after,
)
from beryljunction.routing import KnownEndpoint, LoadReport, ReportCoverage

__all__ = ["apply_response_headers"]


def apply_response_headers(
    endpoint: KnownEndpoint, head: ResponseHead, log: ExchangeLog, coverage: ReportCoverage
) -> None:
    """Update an endpoint's state from the headers of a response, regardless of its status."""
    now_s, status, endpoint_id = boot_time_s(), head.status, endpoint.record.endpoint_id
    load = parse_load(head.headers)
    if load is not None and load.running is not None:
        endpoint.report = LoadReport(
            load.running, load.waiting, endpoint.in_flight, now_s, load.slowdown
        )
        log.reported_load = load.running + load.waiting
    service = endpoint.record.service
    if load is not None and load.problem and coverage.note_unreadable(service):
        log.write("load_unreadable", service=service, endpoint=endpoint_id, problem=load.problem)
    if endpoint.leaving_s is None and has_leaving_header(status, head.headers):
        endpoint.leaving_s = unix_time_s()
        log.write("endpoint_leaving", endpoint=endpoint_id)
    if is_misdirected(status):
        endpoint.note_misdirected(now_s)
    pause_s = parse_retry_after(status, head.headers)
    if pause_s > 0.0:
        endpoint.note_pause(pause_s, now_s)
        log.write("endpoint_paused", endpoint=endpoint_id, pause_s=round(pause_s, 2))
