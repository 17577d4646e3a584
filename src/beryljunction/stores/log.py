"""The platform's append-only log: named streams of records with offsets that only grow.

Outcomes are values. An append has three: the log took the record, it provably did not, or nobody
knows, since the answer was lost. Who gets "unknown" looks the record up by its id.
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

_ANSWER_S = 2.0
_CONNECT_S = 1.0
_RATE_LIMITED_STATUS = 429


@attrs.frozen
class LogRecord:
    """One record of a stream.

    Attributes:
        offset: Place in the stream; the first record has 1.
        record_id: Id that the writer chose; the log does not check that it is unique.
        data: Any JSON value.
    """

    offset: int
    record_id: str
    data: Any


@attrs.frozen
class Appended:
    """The log holds the record."""

    offset: int


@attrs.frozen
class AppendRefused:
    """The log does not hold the record, and never will by this attempt."""

    reason: str
    retry_after_s: float


@attrs.frozen
class AppendUnknown:
    """No answer came: the log may hold the record or not."""

    reason: str


AppendOutcome = Appended | AppendRefused | AppendUnknown


@attrs.frozen
class LogPage:
    """Records of a stream in order.

    Attributes:
        first_offset: Oldest offset still kept; equal to ``next_offset`` when none is.
        next_offset: Offset that the next append will get.
    """

    records: tuple[LogRecord, ...]
    first_offset: int
    next_offset: int

    @property
    def read_to(self) -> int:
        """Offset up to which a reader of this page has seen the stream."""
        return self.records[-1].offset if self.records else self.next_offset - 1

    @property
    def at_end(self) -> bool:
        """Whether the page reaches the end of the stream."""
        return self.read_to == self.next_offset - 1


@attrs.frozen
class ReadFailed:
    """The log did not answer; a read has no effect, so it may be repeated."""

    reason: str


ReadOutcome = LogPage | ReadFailed


class LogClient(abc.ABC):
    """How the fleet meets the log."""

    @abc.abstractmethod
    async def append(self, stream: str, record_id: str, data: Any) -> AppendOutcome:
        """Append a record.

        Args:
            stream: Name of the stream; letters, digits, "-" and "_".
            record_id: Unique id, by which a lost answer is looked up.
            data: Any JSON value.
        """

    @abc.abstractmethod
    async def read(
        self, stream: str, after: int, limit: int = 500, wait_s: float = 0.0
    ) -> ReadOutcome:
        """Read records with offsets above ``after``.

        Args:
            stream: Name of the stream.
            after: Last offset already seen; 0 reads from the oldest record kept.
            limit: Most records on the page.
            wait_s: Longest wait for a record when there is none yet.
        """


class HttpLogClient(LogClient):
    """The log service over HTTP with JSON."""

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
            # A proxy or a failing log may answer 5xx after the record went in, so no answer but
            # the log's own "too many" proves that it did not.
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
        timeouts = {"connect": _CONNECT_S, "pool": _CONNECT_S, "write": _ANSWER_S}
        timeouts["read"] = _ANSWER_S + wait_s
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
