"""The platform's rate-limited weight store, as an engine meets it."""

import abc
import json

import attrs
import httpcore

__all__ = ["HttpWeightStore", "LoadBegun", "LoadRefused", "LoadUnknown", "WeightStore"]

_ANSWER_S = 5.0


@attrs.frozen
class LoadBegun:
    """The store sends the weights."""

    load_id: str


@attrs.frozen
class LoadRefused:
    """The store is at its limit."""

    retry_after_s: float


@attrs.frozen
class LoadUnknown:
    """No answer: the store may have begun; the load ends by itself when nobody asks for it."""

    reason: str


class WeightStore(abc.ABC):
    """Loads of weights by name."""

    @abc.abstractmethod
    async def begin(self, name: str) -> LoadBegun | LoadRefused | LoadUnknown:
        """Begin a load."""

    @abc.abstractmethod
    async def is_done(self, load_id: str) -> bool:
        """Whether a load has ended; False too when the store does not answer."""

    @abc.abstractmethod
    async def cancel(self, load_id: str) -> None:
        """Give a load up, so that its slot is free for others."""


class HttpWeightStore(WeightStore):
    """The store over HTTP: POST /loads, GET and DELETE /loads/ID."""

    def __init__(self, base_url: str, pool: httpcore.AsyncConnectionPool) -> None:
        self._base_url = base_url.rstrip("/")
        self._pool = pool

    async def begin(self, name: str) -> LoadBegun | LoadRefused | LoadUnknown:
        """Begin a load; see :meth:`WeightStore.begin`."""
        response = await self._request("POST", "/loads", json.dumps({"name": name}).encode())
        if response is None:
            return LoadUnknown("no answer from the weight store")
        if response.status == 429:
            return LoadRefused(1.0)
        try:
            return LoadBegun(str(json.loads(response.content)["load_id"]))
        except (ValueError, KeyError, TypeError):
            return LoadUnknown(f"the weight store answered {response.status}")

    async def is_done(self, load_id: str) -> bool:
        """Ask for a load; see :meth:`WeightStore.is_done`."""
        response = await self._request("GET", f"/loads/{load_id}", b"")
        return response is not None and response.status == 200 and b"true" in response.content

    async def cancel(self, load_id: str) -> None:
        """Give a load up; see :meth:`WeightStore.cancel`."""
        await self._request("DELETE", f"/loads/{load_id}", b"")

    async def _request(self, method: str, path: str, body: bytes) -> httpcore.Response | None:
        timeouts = dict.fromkeys(("connect", "read", "write", "pool"), _ANSWER_S)
        try:
            return await self._pool.request(
                method, self._base_url + path, content=body, extensions={"timeout": timeouts}
            )
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            return None
