"""The platform as the fleet meets it: log, host list, weight store."""

from beryljunction.platform.log import (
    Appended,
    AppendOutcome,
    AppendRefused,
    AppendUnknown,
    HttpLogClient,
    LogClient,
    LogPage,
    LogRecord,
    ReadFailed,
    ReadOutcome,
)

__all__ = [
    "AppendOutcome",
    "AppendRefused",
    "AppendUnknown",
    "Appended",
    "HttpLogClient",
    "LogClient",
    "LogPage",
    "LogRecord",
    "ReadFailed",
    "ReadOutcome",
]
