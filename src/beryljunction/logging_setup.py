"""Logging of events to standard error, one line of key=value pairs each."""

import datetime
import json
import logging
import sys
from typing import Any

import xxhash
from pythonjsonlogger.json import JsonFormatter

from beryljunction.timeline import SAMPLED_EVENT_KINDS, Event

__all__ = ["EventLogger", "configure_logging", "key_value_formatter", "format_key_values"]

_UNQUOTED = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._:/+-")
_HASH_RANGE = 2**64


def format_key_values(fields: dict[str, Any], *_: Any, **__: Any) -> str:
    """Return fields as key=value text; values with special characters are written as JSON.

    Extra arguments are ignored, so that python-json-logger can call it as a serializer.
    """
    return " ".join(f"{key}={_value(value)}" for key, value in fields.items())


def _value(value: Any) -> str:
    text = str(value)
    return text if text and _UNQUOTED.issuperset(text) else json.dumps(text)


class _Formatter(JsonFormatter):
    """Writes times as ISO 8601 in UTC, so that lines of hosts in several time zones sort."""

    def formatTime(self, record: logging.LogRecord, datefmt: Any = None) -> str:  # noqa: N802
        moment = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        return moment.isoformat(timespec="milliseconds")


def key_value_formatter() -> logging.Formatter:
    """Return a formatter that writes one line of key=value pairs."""
    return _Formatter(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level", "message": "event"},
        json_serializer=format_key_values,
    )


def configure_logging(level: str = "INFO") -> None:
    """Send the logs of this process to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(key_value_formatter())
    logging.basicConfig(level=level, handlers=[handler], force=True)
    # uvicorn's INFO messages repeat what the timeline's events report in more detail.
    logging.getLogger("uvicorn.error").setLevel(logging.WARNING)


class EventLogger:
    """Writes the events of a timeline as log lines; ordinary events are sampled.

    Requests are sampled by their id, so all processes log the same requests. Refusals, failures
    and other notable events are always written.
    """

    def __init__(self, sample_ratio: float, logger: logging.Logger | None = None) -> None:
        self._logger = logger if logger is not None else logging.getLogger("beryljunction")
        self._hash_limit = int(sample_ratio * _HASH_RANGE)

    def __call__(self, event: Event) -> None:
        """Log an event unless sampling drops it."""
        if not self._is_logged(event):
            return
        fields = {
            "hlc": f"{event.wall_ms}.{event.logical}",
            "host": event.host,
            "availability_zone": event.availability_zone,
        }
        if event.request_id:
            fields["request_id"] = event.request_id
        if event.detail:
            fields["detail"] = event.detail
        self._logger.info(event.kind, extra=fields)

    def _is_logged(self, event: Event) -> bool:
        if event.kind not in SAMPLED_EVENT_KINDS or not event.request_id:
            return True
        return xxhash.xxh3_64_intdigest(event.request_id.encode()) < self._hash_limit
