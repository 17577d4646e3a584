"""Tells the story of one request from the log lines of any processes."""

import datetime
import json
import re
from collections.abc import Callable, Iterable

import attrs

__all__ = ["LogLine", "Story", "explain", "parse_line"]

_FIELD = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
# What an entry knew is told from this long before the request on: longer than keys are honoured on
# old settings, so the loss of the store that led to a refusal is in it.
_BEFORE_S = 15.0
_WORLD_EVENTS = frozenset(
    (
        "started",
        "stopping",
        "stopped",
        "cut",
        "reloaded",
        "reload_refused",
        "store_lost",
        "store_regained",
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
# These tell of a request by its digest, on any host and long before it came again.
_DIGEST_EVENTS = frozenset(("endpoint_ended", "request_quarantined"))


@attrs.frozen
class LogLine:
    """One event of a log."""

    at: datetime.datetime
    event: str
    host: str
    fields: dict[str, str]

    def get(self, name: str) -> str:
        """Return a field's text; empty where the line lacks it."""
        return self.fields.get(name, "")


@attrs.frozen
class Story:
    """What happened to a request.

    Attributes:
        sentences: One for each step, in order.
        cause: Why the caller got what it got, in a sentence.
    """

    sentences: tuple[str, ...]
    cause: str


def parse_line(text: str) -> LogLine | None:
    """Return a line's event; None for a line that is no event, whatever stands before it."""
    fields = {name: _plain(value) for name, value in _FIELD.findall(text)}
    try:
        at = datetime.datetime.fromisoformat(fields["time"])
        return LogLine(at, fields["event"], fields["host"], fields)
    except (KeyError, ValueError):
        return None


def _plain(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except ValueError:
        return value


def explain(request_id: str, lines: Iterable[LogLine]) -> Story | None:
    """Return the story of a request; None when no line names it."""
    ordered = sorted(lines, key=lambda line: line.at)
    own = [line for line in ordered if line.get("request_id") == request_id]
    if not own:
        return None
    world = _world(ordered, own)
    steps = sorted([*world, *own], key=lambda line: line.at)
    sentences = tuple(_sentence(line, own[0].at) for line in steps)
    later = [line for line in ordered if line.host == own[-1].host and line.at > own[-1].at]
    return Story(sentences, _cause(own, world, later))


def _world(ordered: list[LogLine], own: list[LogLine]) -> list[LogLine]:
    """Return what the request's hosts knew around it: the store, settings, its endpoints."""
    hosts = {line.host for line in own}
    endpoints = {line.get("endpoint") for line in own} - {""}
    digests = {line.get("digest") for line in own} - {""}
    begins = own[0].at - datetime.timedelta(seconds=_BEFORE_S)

    def matters(line: LogLine) -> bool:
        if line.event in _DIGEST_EVENTS:
            return line.get("digest") in digests and line.at <= own[-1].at
        if line.host not in hosts or not begins <= line.at <= own[-1].at:
            return False
        is_own_endpoint = line.event in _ENDPOINT_EVENTS and line.get("endpoint") in endpoints
        return line.event in _WORLD_EVENTS or is_own_endpoint

    return [line for line in ordered if matters(line)]


def _sentence(line: LogLine, begins: datetime.datetime) -> str:
    after_ms = (line.at - begins).total_seconds() * 1000
    tell = _SENTENCES.get(line.event)
    text = tell(line) if tell is not None else f"{line.event}"
    moment = f"{line.at:%H:%M:%S}.{line.at.microsecond // 1000:03}"
    return f"{moment} ({after_ms:+.0f} ms) {line.host}: {text}"


def _sent(line: LogLine) -> str:
    account = f" for {line.get('account')}" if line.get("account") else ""
    return (
        f"sent to endpoint {line.get('endpoint')} of {line.get('service')}{account} by route "
        f"{line.get('route')}, attempt {line.get('attempt')}, {line.get('left_ms')} ms left; "
        f"its load was {line.get('load')}; settings {line.get('settings_version')}, confirmed "
        f"{line.get('settings_age_s')} s before, endpoints {line.get('endpoints_age_s')} s before"
        f" by {line.get('endpoints_by')}"
    )


def _ended(line: LogLine) -> str:
    return (
        f"the attempt at {line.get('endpoint')} ended as {line.get('outcome')} "
        f"({line.get('detail')}); next: {line.get('verdict')}"
    )


def _refused(line: LogLine) -> str:
    return (
        f"answered {line.get('status')} because of {line.get('reason')}; settings "
        f"{line.get('settings_version')}, confirmed {line.get('settings_age_s')} s before"
    )


_SENTENCES: dict[str, Callable[[LogLine], str]] = {
    "sent": _sent,
    "attempt_ended": _ended,
    "refused": _refused,
    "failed": _refused,
    "broken_off": lambda line: f"broke the answer off because of {line.get('reason')}",
    "answered": lambda line: (
        f"the caller has its whole answer, {line.get('status')}, the first byte after "
        f"{line.get('first_ms')} ms, the last after {line.get('whole_ms')} ms"
    ),
    "not_answered": lambda line: (
        f"the caller left or was cut off after {line.get('whole_ms')} ms without a whole answer"
    ),
    "store_lost": lambda line: f"lost the store ({line.get('topic')}: {line.get('reason')})",
    "store_regained": lambda line: f"has the store again ({line.get('topic')})",
    "stands_in": lambda line: (
        f"reads {line.get('topic')} in place of others, {line.get('age_s')} s old here"
    ),
    "store_restored": lambda line: (
        f"found the store restored from an older copy ({line.get('topic')}, era "
        f"{line.get('era_before')} to {line.get('era')})"
    ),
    "settings_applied": lambda line: f"put settings {line.get('version')} in force",
    "settings_by_peer": lambda line: f"has its settings confirmed by {line.get('peer')}",
    "settings_by_peer_ended": lambda line: "is no longer confirmed by a peer",
    "settings_refused": lambda line: f"kept its settings: {line.get('problem')}",
    "endpoint_gone": lambda line: f"endpoint {line.get('endpoint')} is gone from the store",
    "endpoint_ended": lambda line: f"endpoint {line.get('endpoint')} ended under this request",
    "request_quarantined": lambda line: "keeps this request from being sent",
    "endpoint_leaving": lambda line: f"endpoint {line.get('endpoint')} says that it leaves",
    "endpoint_paused": lambda line: (
        f"endpoint {line.get('endpoint')} wants no requests for {line.get('pause_s')} s"
    ),
    "endpoint_draining": lambda line: f"endpoint {line.get('endpoint')} is leaving",
    "endpoint_joined": lambda line: f"endpoint {line.get('endpoint')} has joined",
    "zone_evacuated": lambda line: f"sends nothing new to zone {line.get('zone')}, by the operator",
    "zone_returned": lambda line: f"sends to zone {line.get('zone')} again",
    "stopping": lambda line: f"began to stop with {line.get('in_flight')} requests in flight",
    "cut": lambda line: f"ended with {line.get('in_flight')} requests in flight",
}


def _cause(own: list[LogLine], world: list[LogLine], later: list[LogLine]) -> str:
    """Return why the request ended as it did, from its last decision and what was known.

    Args:
        own: Lines that name the request.
        world: What its hosts knew.
        later: What its last host wrote after it.
    """
    by_event = {line.event: line for line in own}
    for event in ("refused", "failed", "broken_off"):
        if event in by_event:
            return _cause_of(by_event[event], by_event, world)
    if "attempt_ended" in by_event and by_event["attempt_ended"].get("outcome") == "errored":
        line = by_event["attempt_ended"]
        own_error = f"an error of its own ({line.get('detail')})"
        return f"endpoint {line.get('endpoint')} answered with {own_error}"
    if "answered" in by_event:
        return "none: the caller has its whole answer"
    if "not_answered" in by_event:
        return "the caller left before its answer was whole"
    return _unfinished(own[-1], later)


def _unfinished(last: LogLine, later: list[LogLine]) -> str:
    """Return what is known of a request whose end no line tells."""
    if not later:
        return (
            f"the log of {last.host} ends at {last.at:%H:%M:%S} with the request in flight: its "
            "process was killed, lost power or hangs; the endpoint may have run it"
        )
    if any(line.event == "started" for line in later):
        return (
            f"{last.host} started anew after {last.at:%H:%M:%S}, with the request in flight; the "
            "endpoint may have run it"
        )
    return f"not known: {last.host} goes on, and no line tells the request's end"


def _cause_of(end: LogLine, by_event: dict[str, LogLine], world: list[LogLine]) -> str:
    reason = end.get("reason")
    tell = _CAUSES.get(reason)
    text = tell(end, by_event) if tell is not None else reason
    lost = next((line for line in reversed(world) if line.event.startswith("store_")), None)
    if lost is not None and lost.event == "store_lost" and reason in _FROM_OLD_SETTINGS:
        text += f"; the host lost the store at {lost.at:%H:%M:%S} ({lost.get('reason')})"
    return text


_FROM_OLD_SETTINGS = frozenset(("settings_too_old", "unknown_key", "no_route", "no_settings"))
_Cause = Callable[[LogLine, dict[str, LogLine]], str]


def _old_settings(end: LogLine, _: dict[str, LogLine]) -> str:
    return (
        f"the settings were last confirmed {end.get('settings_age_s')} s before, too long ago to "
        "honour an API key; the request has not run"
    )


def _unknown_key(end: LogLine, _: dict[str, LogLine]) -> str:
    version = end.get("settings_version")
    why = "it was taken away or is wrong"
    return f"no client account holds the API key in settings {version}: {why}"


def _lost_answer(_: LogLine, by_event: dict[str, LogLine]) -> str:
    line = by_event.get("attempt_ended")
    if line is None:
        return "the endpoint's answer was lost; the request may have run"
    return (
        f"endpoint {line.get('endpoint')} got the request and gave no usable answer "
        f"({line.get('detail')}); it may have run, so it was not sent again"
    )


def _late(_: LogLine, by_event: dict[str, LogLine]) -> str:
    sent = by_event.get("sent")
    if sent is None:
        return "its time was over before it could be sent; it has not run"
    return f"endpoint {sent.get('endpoint')} had no answer when the time was over; it may have run"


def _declined(_: LogLine, by_event: dict[str, LogLine]) -> str:
    line = by_event["attempt_ended"]
    return f"endpoint {line.get('endpoint')} declined it ({line.get('detail')}); it has not run"


_CAUSES: dict[str, _Cause] = {
    "settings_too_old": _old_settings,
    "unknown_key": _unknown_key,
    "no_route": lambda end, _: f"settings {end.get('settings_version')} have no route for it",
    "no_settings": lambda *_: "the host had read no settings yet; the request has not run",
    "no_endpoint": lambda *_: "no endpoint of the service was left to send it to",
    "zones_evacuated": lambda *_: (
        "all endpoints that are left are in zones that the operator empties; it has not run"
    ),
    "endpoints_cold": lambda *_: (
        "the endpoints that are left have just started and get no more requests this second; "
        "it has not run"
    ),
    "endpoints_paused": lambda *_: (
        "the endpoints that are left have asked for a pause; it has not run"
    ),
    "quarantined": lambda *_: (
        "several endpoints ended while they had this request, under whatever id; it is not sent"
    ),
    "failed": _lost_answer,
    "declined": _declined,
    "not_sent": lambda *_: "no endpoint could be connected to; the request has not run",
    "deadline": _late,
    "no_time": _late,
    "retry_budget": lambda *_: "the fleet's share of second sends was used up",
}
