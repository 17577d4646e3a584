"""Explains what happened to one request, from the log lines of any number of processes."""

import datetime
import json
import re
from collections.abc import Callable, Iterable

import attrs

__all__ = ["LogLine", "RequestExplanation", "explain", "parse_line"]

_FIELD = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
# Context events are included from this long before the request. API keys are accepted on stale
# settings for less time, so the loss of the store that led to a refusal is always included.
_CONTEXT_BEFORE_S = 15.0
_CONTEXT_EVENTS = frozenset(
    (
        "started",
        "stopping",
        "drained",
        "stopped",
        "cut",
        "reloaded",
        "reload_refused",
        "restart_needed",
        "task_failed",
        "invariant_broken",
        "store_lost",
        "store_regained",
        "store_read",
        "stands_in",
        "store_restored",
        "settings_applied",
        "settings_refused",
        "settings_by_peer",
        "settings_by_peer_ended",
        "history_expired",
        "zone_evacuated",
        "zone_returned",
    )
)
_ENDPOINT_EVENTS = frozenset(
    (
        "endpoint_draining",
        "endpoint_gone",
        "endpoint_joined",
        "endpoint_leaving",
        "endpoint_paused",
    )
)
# These events name a request by its digest. They count on any host and at any time before the end.
_DIGEST_EVENTS = frozenset(("endpoint_ended", "request_quarantined"))


@attrs.frozen
class LogLine:
    """A log line, parsed into its event, time, host and fields."""

    at: datetime.datetime
    event: str
    host: str
    fields: dict[str, str]

    def get(self, name: str) -> str:
        """Return the text of a field, or an empty string if the line does not have it."""
        return self.fields.get(name, "")


@attrs.frozen
class RequestExplanation:
    """What happened to a request.

    Attributes:
        steps: One sentence for each step, in order of time.
        cause: One sentence on why the request ended as it did.
    """

    steps: tuple[str, ...]
    cause: str


def parse_line(text: str) -> LogLine | None:
    """Return the event of a line, or None if the line is not an event; prefixes are ignored."""
    fields = {name: _unquote(value) for name, value in _FIELD.findall(text)}
    try:
        at = datetime.datetime.fromisoformat(fields["time"])
        return LogLine(at, fields["event"], fields["host"], fields)
    except (KeyError, ValueError):
        return None


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except ValueError:
        return value


def explain(request_id: str, lines: Iterable[LogLine]) -> RequestExplanation | None:
    """Return what happened to a request, or None if no line contains its id."""
    ordered = sorted(lines, key=lambda line: line.at)
    request_lines = [line for line in ordered if line.get("request_id") == request_id]
    if not request_lines:
        return None
    context = _context_of(ordered, request_lines)
    relevant_lines = sorted([*context, *request_lines], key=lambda line: line.at)
    steps = tuple(_sentence(line, request_lines[0].at) for line in relevant_lines)
    later = [
        line
        for line in ordered
        if line.host == request_lines[-1].host and line.at > request_lines[-1].at
    ]
    return RequestExplanation(steps, _cause(request_lines, context, later))


def _context_of(ordered: list[LogLine], request_lines: list[LogLine]) -> list[LogLine]:
    """Return events of the store, the settings and the endpoints that concern the request."""
    hosts = {line.host for line in request_lines}
    endpoints = {line.get("endpoint") for line in request_lines} - {""}
    digests = {line.get("digest") for line in request_lines} - {""}
    start = request_lines[0].at - datetime.timedelta(seconds=_CONTEXT_BEFORE_S)

    def is_relevant(line: LogLine) -> bool:
        if line.event in _DIGEST_EVENTS:
            return line.get("digest") in digests and line.at <= request_lines[-1].at
        if line.host not in hosts or not start <= line.at <= request_lines[-1].at:
            return False
        is_own_endpoint = line.event in _ENDPOINT_EVENTS and line.get("endpoint") in endpoints
        return line.event in _CONTEXT_EVENTS or is_own_endpoint

    return [line for line in ordered if is_relevant(line)]


def _sentence(line: LogLine, start: datetime.datetime) -> str:
    after_ms = (line.at - start).total_seconds() * 1000
    formatter = _DESCRIPTIONS.get(line.event)
    text = formatter(line) if formatter is not None else f"{line.event}"
    time = f"{line.at:%H:%M:%S}.{line.at.microsecond // 1000:03}"
    return f"{time} ({after_ms:+.0f} ms) {line.host}: {text}"


def _describe_sent(line: LogLine) -> str:
    account = f" for {line.get('account')}" if line.get("account") else ""
    return (
        f"sent to endpoint {line.get('endpoint')} of {line.get('service')}{account} by route "
        f"{line.get('route')}, attempt {line.get('attempt')}, {line.get('left_ms')} ms left"
        f"{_handed_text(line)}; "
        f"its load was {line.get('load')}{_waiting_text(line)}{_version_text(line)}; "
        f"settings {line.get('settings_version')}, confirmed "
        f"{line.get('settings_age_s')} s earlier, endpoints {line.get('endpoints_age_s')} s earlier"
        f" by {line.get('endpoints_by')}"
    )


def _handed_text(line: LogLine) -> str:
    return f", {line.get('handed_ms')} handed over" if line.get("handed_ms") else ""


def _version_text(line: LogLine) -> str:
    return f", its version {line.get('version')}" if line.get("version") else ""


def _waiting_text(line: LogLine) -> str:
    """Return the waiting requests in the endpoint's last report and its age; empty for none."""
    if line.get("waiting") in ("", "0"):
        return ""
    return f" with {line.get('waiting')} waiting, as of {line.get('load_age_s')} s earlier"


def _describe_attempt_ended(line: LogLine) -> str:
    return (
        f"the attempt at endpoint {line.get('endpoint')} ended as {line.get('outcome')} "
        f"({line.get('detail')}); next: {line.get('verdict')}"
    )


def _describe_refusal(line: LogLine) -> str:
    return (
        f"answered {line.get('status')} because of {line.get('reason')}; settings "
        f"{line.get('settings_version')}, confirmed {line.get('settings_age_s')} s earlier"
    )


_DESCRIPTIONS: dict[str, Callable[[LogLine], str]] = {
    "sent": _describe_sent,
    "attempt_ended": _describe_attempt_ended,
    "refused": _describe_refusal,
    "failed": _describe_refusal,
    "broken_off": lambda line: f"aborted the response because of {line.get('reason')}",
    "answered": lambda line: (
        f"the caller received the whole response, {line.get('status')}, the first byte after "
        f"{line.get('first_ms')} ms, the last after {line.get('whole_ms')} ms"
    ),
    "not_answered": lambda line: (
        f"the caller disconnected or was cut off after {line.get('whole_ms')} ms without a "
        "whole response"
    ),
    "store_lost": lambda line: (
        f"can no longer read the store ({line.get('topic')}: {line.get('reason')})"
    ),
    "store_regained": lambda line: f"can read the store again ({line.get('topic')})",
    "store_read": lambda line: (
        f"read {line.get('records')} records of {line.get('topic')} in {line.get('took_ms')} ms, "
        f"up to {line.get('next')} of {line.get('end')}"
    ),
    "stands_in": lambda line: (
        f"reads {line.get('topic')} from the store in place of the usual readers; its copy is "
        f"{line.get('age_s')} s old"
    ),
    "store_restored": lambda line: (
        f"found that the store was restored from an older copy ({line.get('topic')}, era "
        f"{line.get('era_before')} to {line.get('era')})"
    ),
    "settings_applied": lambda line: (
        f"applied settings {line.get('version')} from {line.get('source')}"
    ),
    "settings_by_peer": lambda line: f"gets its settings confirmed by peer {line.get('peer')}",
    "settings_by_peer_ended": lambda line: "no longer gets its settings confirmed by a peer",
    "settings_refused": lambda line: (
        f"rejected new settings and kept the old ones: {line.get('problem')}"
    ),
    "endpoint_gone": lambda line: f"endpoint {line.get('endpoint')} is no longer in the store",
    "endpoint_ended": lambda line: (
        f"endpoint {line.get('endpoint')} terminated while it had this request"
    ),
    "request_quarantined": lambda line: "quarantined this request and does not send it",
    "endpoint_leaving": lambda line: (
        f"endpoint {line.get('endpoint')} announced that it is leaving"
    ),
    "endpoint_paused": lambda line: (
        f"endpoint {line.get('endpoint')} asked for no requests for {line.get('pause_s')} s"
    ),
    "endpoint_draining": lambda line: f"endpoint {line.get('endpoint')} is draining",
    "endpoint_joined": lambda line: (
        f"endpoint {line.get('endpoint')} has joined{_version_text(line)}"
    ),
    "zone_evacuated": lambda line: (
        f"sends no new requests to zone {line.get('zone')}, which an operator evacuated"
    ),
    "zone_returned": lambda line: f"sends requests to zone {line.get('zone')} again",
    "stopping": lambda line: f"began to shut down with {line.get('in_flight')} requests in flight",
    "drained": lambda line: (
        f"stopped waiting for requests, with {line.get('connections')} connections open and "
        f"{line.get('receiving')} requests being received"
    ),
    "cut": lambda line: f"exited with {line.get('in_flight')} requests in flight",
}


def _cause(request_lines: list[LogLine], context: list[LogLine], later: list[LogLine]) -> str:
    """Return why the request ended as it did.

    Args:
        request_lines: Lines that contain the request's id.
        context: Events of the store, the settings and the endpoints that concern the request.
        later: Lines that the request's last host wrote after the request's last line.
    """
    by_event = {line.event: line for line in request_lines}
    for event in ("refused", "failed", "broken_off"):
        if event in by_event:
            return _cause_of_failure(by_event[event], by_event, context)
    if "attempt_ended" in by_event and by_event["attempt_ended"].get("outcome") == "errored":
        line = by_event["attempt_ended"]
        own_error = f"an error of its own ({line.get('detail')})"
        return f"endpoint {line.get('endpoint')} answered with {own_error}"
    if "answered" in by_event:
        return "none: the caller received the whole response"
    if "not_answered" in by_event:
        return "the caller disconnected before the response was whole"
    return _cause_of_unfinished(request_lines[-1], later)


def _cause_of_unfinished(last: LogLine, later: list[LogLine]) -> str:
    """Return what is known of a request whose end is not in the logs."""
    if not later:
        return (
            f"the log of {last.host} ends at {last.at:%H:%M:%S} with the request in flight: its "
            "process was killed, lost power or hangs; the endpoint may have run it"
        )
    if any(line.event == "started" for line in later):
        return (
            f"{last.host} restarted after {last.at:%H:%M:%S}, with the request in flight; the "
            "endpoint may have run it"
        )
    return f"unknown: {last.host} kept running, but no line shows how the request ended"


def _cause_of_failure(end: LogLine, by_event: dict[str, LogLine], context: list[LogLine]) -> str:
    reason = end.get("reason")
    formatter = _CAUSES.get(reason)
    text = formatter(end, by_event) if formatter is not None else reason
    lost = next((line for line in reversed(context) if line.event.startswith("store_")), None)
    if lost is not None and lost.event == "store_lost" and reason in _STALE_SETTINGS_REASONS:
        text += (
            f"; the host could not read the store from {lost.at:%H:%M:%S} on "
            f"({lost.get('reason')})"
        )
    return text


_STALE_SETTINGS_REASONS = frozenset(("settings_too_old", "unknown_key", "no_route", "no_settings"))
_CauseFormatter = Callable[[LogLine, dict[str, LogLine]], str]


def _explain_stale_settings(end: LogLine, _: dict[str, LogLine]) -> str:
    return (
        f"the settings were last confirmed {end.get('settings_age_s')} s earlier, too long ago to "
        "accept an API key; the request has not run"
    )


def _explain_unknown_key(end: LogLine, _: dict[str, LogLine]) -> str:
    version = end.get("settings_version")
    why = "it was revoked or is wrong"
    return f"no client account has the API key in settings {version}: {why}"


def _explain_lost_response(_: LogLine, by_event: dict[str, LogLine]) -> str:
    line = by_event.get("attempt_ended")
    if line is None:
        return "the endpoint's response was lost; the request may have run"
    return (
        f"endpoint {line.get('endpoint')} received the request and returned no usable response "
        f"({line.get('detail')}); it may have run, so it was not sent again"
    )


def _explain_deadline(_: LogLine, by_event: dict[str, LogLine]) -> str:
    sent = by_event.get("sent")
    if sent is None:
        return "its deadline passed before it could be sent; it has not run"
    return f"endpoint {sent.get('endpoint')} had not answered by the deadline; it may have run"


def _explain_stopping(end: LogLine, _: dict[str, LogLine]) -> str:
    if end.get("status") == "503":
        return "the host was stopping and might have exited before the deadline; it has not run"
    return "the host exited before an endpoint had answered; it may have run"


def _explain_fault(end: LogLine, _: dict[str, LogLine]) -> str:
    has_run = "it has not run" if end.get("status") == "503" else "it may have run"
    return f"an unexpected exception in the host ended it, see its line 'fault'; {has_run}"


def _explain_declined(_: LogLine, by_event: dict[str, LogLine]) -> str:
    line = by_event["attempt_ended"]
    return f"endpoint {line.get('endpoint')} declined it ({line.get('detail')}); it has not run"


_CAUSES: dict[str, _CauseFormatter] = {
    "settings_too_old": _explain_stale_settings,
    "unknown_key": _explain_unknown_key,
    "no_route": lambda end, _: f"settings {end.get('settings_version')} have no route for it",
    "no_settings": lambda *_: "the host had not read any settings yet; the request has not run",
    "no_endpoint": lambda *_: "the service had no endpoint left to send it to",
    "zones_evacuated": lambda *_: (
        "all remaining endpoints are in zones that an operator evacuated; it has not run"
    ),
    "endpoints_cold": lambda *_: (
        "the remaining endpoints have just started and get no more requests this second; "
        "it has not run"
    ),
    "endpoints_paused": lambda *_: (
        "the remaining endpoints have asked for a pause; it has not run"
    ),
    "quarantined": lambda *_: (
        "several endpoints terminated while they had this request, under any id; it is not sent"
    ),
    "failed": _explain_lost_response,
    "declined": _explain_declined,
    "not_sent": lambda *_: "no connection to an endpoint could be opened; the request has not run",
    "deadline": _explain_deadline,
    "no_time": _explain_deadline,
    "max_attempts": lambda *_: "its route allows no further attempt since its settings changed",
    "retry_budget": lambda *_: "the fleet's retry budget was used up",
    "stopping": _explain_stopping,
    "fault": _explain_fault,
}
