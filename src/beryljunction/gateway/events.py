"""Log of an entry: one line of key=value pairs an event, on standard output, never waited for."""

import logging
import os
import sys
import time
from typing import Any

from beryljunction.gateway.metrics import EntryMetrics
from beryljunction.logs import key_value_formatter, key_value_text
from beryljunction.timeline import Timeline

__all__ = ["Events", "LineWriter"]

# Lines a second that one process writes at most. A line costs 38 us of processor time, so
# this is under 1% of a core; what is left out is counted and said.
_MOST_LINES_PER_S = 200
# Bytes kept for a reader of standard output that has fallen behind.
_MOST_BACKLOG_BYTES = 65_536
# Events kept for operators, ordinary and others each: 10 s at the most lines a second, 1 MB.
_KEPT_EVENTS = 2_000


class LineWriter:
    """A text stream over a file descriptor that drops lines rather than wait.

    Load: whoever reads standard output stops reading. Harm: a blocking write would stop every
    request of the process. Lines that don't fit in the pipe wait in a bounded backlog, then are
    dropped and counted.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._backlog = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write a line, keep it for later, or drop it."""
        data = text.encode(errors="replace")
        if len(self._backlog) + len(data) > _MOST_BACKLOG_BYTES:
            self.dropped += 1
            data = b""
        self._backlog += data
        try:
            written = os.write(self._descriptor, self._backlog) if self._backlog else 0
        except BlockingIOError:
            written = 0
        except OSError:
            self.dropped += 1
            self._backlog = b""
            return
        self._backlog = self._backlog[written:]

    def flush(self) -> None:
        """Do nothing; lines are written at once."""


class Events:
    """Writes events, bounded in number a second.

    Attributes:
        metrics: Counts every event, written or left out.
        timeline: Keeps the latest events for operators; None while nobody may ask for them.

    Args:
        host: Name of this host, on every line.
        writer: Where lines go; standard output when None.
    """

    def __init__(self, host: str, availability_zone: str, writer: LineWriter | None = None) -> None:
        self._common = {"host": host, "availability_zone": availability_zone}
        self.writer = writer if writer is not None else LineWriter(sys.stdout.fileno())
        handler = logging.StreamHandler(self.writer)
        handler.setFormatter(key_value_formatter())
        # A logger of its own, so that entries which share a process in tests don't share lines.
        self._logger = logging.Logger("beryljunction.entry", logging.INFO)
        self._logger.addHandler(handler)
        self._second = 0
        self._lines = 0
        self.left_out = 0
        self.metrics = EntryMetrics()
        self.timeline: Timeline | None = None

    def keep_latest(self) -> None:
        """Keep the latest events from now on."""
        host, zone = self._common["host"], self._common["availability_zone"]
        self.timeline = Timeline(host, zone, ring_events=_KEPT_EVENTS)

    def write(self, event: str, exc_info: bool = False, **fields: Any) -> None:
        """Write one event, with the exception being handled where that is asked for."""
        self.metrics.count(event, fields)
        if self.timeline is not None:
            request_id = str(fields.get("request_id", ""))
            rest = {key: value for key, value in fields.items() if key != "request_id"}
            self.timeline.add(event, request_id, key_value_text(rest))
        second = int(time.monotonic())
        if second != self._second:
            self._start_second(second)
        if self._lines >= _MOST_LINES_PER_S:
            self.left_out += 1
            return
        self._lines += 1
        self._logger.info(event, exc_info=exc_info, extra={**self._common, **fields})

    def _start_second(self, second: int) -> None:
        self._second = second
        self._lines = 0
        left_out = self.left_out + self.writer.dropped
        if left_out:
            self.left_out = 0
            self.writer.dropped = 0
            self._lines = 1
            self._logger.info("lines_left_out", extra={**self._common, "lines": left_out})
