"""Clients of the platform services: log, host list, weight store."""

from beryljunction.stores.hosts import HostChanges, HostList, HostRow, HttpHostList
from beryljunction.stores.log import (
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
from beryljunction.stores.weights import (
    HttpWeightStore,
    LoadRefused,
    LoadStarted,
    LoadUnknown,
    WeightStore,
)

__all__ = [
    "HostChanges",
    "HostList",
    "HostRow",
    "HttpHostList",
    "HttpWeightStore",
    "LoadStarted",
    "LoadRefused",
    "LoadUnknown",
    "WeightStore",
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
