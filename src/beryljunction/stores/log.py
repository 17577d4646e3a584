"""The platform's append-only log: named streams of records with increasing offsets.

Outcomes are returned as values. An append has three: the log stored the record, it certainly did
not, or the result is unknown because the response was lost. In the last case the writer looks the
record up by its id.
"""

import abc
import json
from typing import Any

import attrs
import httpcore

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

_RESPONSE_TIMEOUT_S = 2.0
_CONNECT_TIMEOUT_S = 1.0
_RATE_LIMITED_STATUS = 429


@attrs.frozen
class LogRecord:
    """One record of a stream.

    Attributes:
        offset: Position in the stream; the first record has 1.
        record_id: Id set by the writer; the log does not check that it is unique.
        data: Any JSON value.
    """

    offset: int
    record_id: str
    data: Any


@attrs.frozen
class Appended:
    """The log has stored the record."""

    offset: int


@attrs.frozen
class AppendRefused:
    """The log has not stored the record, and this attempt can no longer store it."""

    reason: str
    retry_after_s: float


@attrs.frozen
class AppendUnknown:
    """The response was lost: the log may or may not have stored the record."""

    reason: str


AppendOutcome = Appended | AppendRefused | AppendUnknown


@attrs.frozen
class LogPage:
    """Consecutive records of a stream.

    Attributes:
        first_offset: Oldest retained offset; equal to ``next_offset`` when there is none.
        next_offset: Offset of the next append.
    """

    records: tuple[LogRecord, ...]
    first_offset: int
    next_offset: int

    @property
    def last_offset(self) -> int:
        """Offset up to which the stream has been read with this page."""
        return self.records[-1].offset if self.records else self.next_offset - 1

    @property
    def is_last(self) -> bool:
        """Whether the page reaches the end of the stream."""
        return self.last_offset == self.next_offset - 1


@attrs.frozen
class ReadFailed:
    """The read failed; reads have no side effects, so it may be repeated."""

    reason: str


ReadOutcome = LogPage | ReadFailed


class LogClient(abc.ABC):
    """Interface of a client of the log."""

    @abc.abstractmethod
    async def append(self, stream: str, record_id: str, data: Any) -> AppendOutcome:
        """Append a record.

        Args:
            stream: Name of the stream; may contain letters, digits, "-" and "_".
            record_id: Unique id, used to look the record up when the response was lost.
            data: Any JSON value.
        """

    @abc.abstractmethod
    async def read(
        self, stream: str, after: int, limit: int = 500, wait_s: float = 0.0
    ) -> ReadOutcome:
        """Read records with offsets above ``after``.

        Args:
            stream: Name of the stream.
            after: Last offset already read; 0 reads from the oldest retained record.
            limit: Maximum number of records on the page.
            wait_s: Longest time to wait for a record when there is none yet.
        """


class HttpLogClient(LogClient):
    """Client of the log service (JSON over HTTP)."""

    def __init__(self, base_url: str, pool: httpcore.AsyncConnectionPool) -> None:
        self._base_url = base_url.rstrip("/")
        self._pool = pool

    async def append(self, stream: str, record_id: str, data: Any) -> AppendOutcome:
        """Append a record; see :meth:`LogClient.append`."""
        body = json.dumps({"id": record_id, "data": data}, separators=(",", ":")).encode()
        try:
            response = await self._request("POST", f"/streams/{stream}/records", body)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            return AppendRefused(f"no connection to the log: {error}", retry_after_s=1.0)
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            return AppendUnknown(f"no answer from the log: {type(error).__name__}")
        if response.status == _RATE_LIMITED_STATUS:
            return AppendRefused("the log's rate limit", _retry_after_s(response))
        try:
            return Appended(int(json.loads(response.content)["offset"]))
        except (ValueError, KeyError, TypeError):
            # A proxy or a failing log may respond with 5xx after the record was stored. Only the
            # log's own 429 proves that it was not stored.
            return AppendUnknown(f"the log answered {response.status}")

    async def read(
        self, stream: str, after: int, limit: int = 500, wait_s: float = 0.0
    ) -> ReadOutcome:
        """Read records; see :meth:`LogClient.read`."""
        path = f"/streams/{stream}/records?after={after}&limit={limit}&wait_s={wait_s}"
        try:
            response = await self._request("GET", path, b"", wait_s)
            return _page_of(json.loads(response.content))
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            return ReadFailed(f"no answer from the log: {type(error).__name__}")
        except (ValueError, KeyError, TypeError) as error:
            return ReadFailed(f"expected a page of records, got {error!r}")

    async def _request(
        self, method: str, path: str, body: bytes, wait_s: float = 0.0
    ) -> httpcore.Response:
        timeouts = {
            "connect": _CONNECT_TIMEOUT_S,
            "pool": _CONNECT_TIMEOUT_S,
            "write": _RESPONSE_TIMEOUT_S,
        }
        timeouts["read"] = _RESPONSE_TIMEOUT_S + wait_s
        return await self._pool.request(
            method,
            self._base_url + path,
            headers=[("content-type", "application/json")],
            content=body,
            extensions={"timeout": timeouts},
        )


def _retry_after_s(response: httpcore.Response) -> float:
    for name, value in response.headers:
        if name.lower() == b"retry-after":
            return float(value)
    return 1.0


def _page_of(data: Any) -> LogPage:
    records = tuple(LogRecord(int(r["offset"]), str(r["id"]), r["data"]) for r in data["records"])
    return LogPage(records, int(data["first_offset"]), int(data["next_offset"]))
