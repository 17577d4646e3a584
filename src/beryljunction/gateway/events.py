"""Event log of an entry: one line of key=value pairs per event, written without blocking."""

import logging
import os
import sys
import time
from typing import Any

from beryljunction.gateway.metrics import EntryMetrics
from beryljunction.gateway.refused_records import RefusedRecords
from beryljunction.logging_setup import format_key_values, key_value_formatter
from beryljunction.timeline import Timeline

__all__ = ["EntryEventLog", "LineWriter"]

# A line costs 38 us of CPU time, so this rate uses less than 1% of a core. Lines above it are
# counted and reported.
_MAX_LINES_PER_S = 200
# Bytes that are buffered while the reader of standard output is behind.
_MAX_BACKLOG_BYTES = 65_536
# Events that are always written, because they say why a process ended or didn't start.
_LIFECYCLE_EVENTS = frozenset(
    {"started", "start_failed", "crashed", "stopping", "drained", "cut", "stopped"}
)
# Events kept for operators in each of the two rings, ordinary and other events: 10 s at the
# maximum line rate, 1 MB.
_TIMELINE_EVENTS = 2_000


def _output_descriptor() -> int:
    """Return standard output, or standard error if only that is open, or else the null device."""
    for stream in (sys.stdout, sys.stderr):
        if stream is not None:
            return stream.fileno()
    return os.open(os.devnull, os.O_WRONLY)


class LineWriter:
    """A text stream over a file descriptor that drops lines instead of blocking.

    If the reader of standard output stops reading, a blocking write would stop every request of the
    process. Lines that don't fit in the pipe go to a bounded backlog; further ones are dropped and
    counted.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._backlog = b""
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write a line, add it to the backlog, or drop it."""
        data = text.encode(errors="replace")
        if len(self._backlog) + len(data) > _MAX_BACKLOG_BYTES:
            self.dropped_lines += 1
            data = b""
        self._backlog += data
        try:
            written = os.write(self._descriptor, self._backlog) if self._backlog else 0
        except BlockingIOError:
            written = 0
        except OSError:
            self.dropped_lines += 1
            self._backlog = b""
            return
        self._backlog = self._backlog[written:]

    def flush(self) -> None:
        """Do nothing: `write` has no buffer that a flush could empty sooner."""


class EntryEventLog:
    """Writes events to the log, up to a fixed number of lines per second.

    Attributes:
        metrics: Counts every event, written or left out.
        refused_records: Records of the store that can't be used.
        timeline: Keeps the latest events for operators; None when no operator key is set.

    Args:
        host: Name of this host, written on every line.
        writer: Stream that lines are written to; standard output, or error, when None.
    """

    def __init__(self, host: str, availability_zone: str, writer: LineWriter | None = None) -> None:
        self._common_fields = {"host": host, "availability_zone": availability_zone}
        self.writer = writer if writer is not None else LineWriter(_output_descriptor())
        handler = logging.StreamHandler(self.writer)
        handler.setFormatter(key_value_formatter())
        # Not from logging.getLogger: entries that share a process in tests must not share a logger.
        self._logger = logging.Logger("beryljunction.entry", logging.INFO)
        self._logger.addHandler(handler)
        self._current_second = 0
        self._lines_this_second = 0
        self.suppressed_lines = 0
        self.metrics = EntryMetrics()
        self.refused_records = RefusedRecords()
        self.timeline: Timeline | None = None

    def enable_timeline(self) -> None:
        """Start to keep the latest events."""
        host, zone = self._common_fields["host"], self._common_fields["availability_zone"]
        self.timeline = Timeline(host, zone, ring_events=_TIMELINE_EVENTS)

    def write(self, event: str, exc_info: bool | BaseException = False, **fields: Any) -> None:
        """Write one event, with the traceback of an exception if `exc_info` is set.

        Args:
            event: Name of the event.
            exc_info: The exception; True for the one that is being handled.
            fields: What the line says.
        """
        self.metrics.count_event(event, fields)
        if self.timeline is not None:
            request_id = str(fields.get("request_id", ""))
            rest = {key: value for key, value in fields.items() if key != "request_id"}
            self.timeline.add(event, request_id, format_key_values(rest))
        second = int(time.monotonic())
        if second != self._current_second:
            self._start_second(second)
        if self._lines_this_second >= _MAX_LINES_PER_S and event not in _LIFECYCLE_EVENTS:
            self.suppressed_lines += 1
            return
        self._lines_this_second += 1
        self._logger.info(event, exc_info=exc_info, extra={**self._common_fields, **fields})

    def write_refused(self, event: str, key: str, /, **fields: Any) -> None:
        """Count a record of the store that can't be used; write it once for each key."""
        if self.refused_records.note(event, key, time.monotonic()):
            self.write(event, **fields)

    def _start_second(self, second: int) -> None:
        self._current_second = second
        self._lines_this_second = 0
        missing_lines = self.suppressed_lines + self.writer.dropped_lines
        if missing_lines:
            self.suppressed_lines = 0
            self.writer.dropped_lines = 0
            self._lines_this_second = 1
            self._logger.info(
                "lines_left_out", extra={**self._common_fields, "lines": missing_lines}
            )
