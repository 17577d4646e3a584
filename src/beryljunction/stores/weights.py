"""Client of the platform's rate-limited weight store, as used by an engine."""

import abc
import json

import attrs
import httpcore

__all__ = ["HttpWeightStore", "LoadStarted", "LoadRefused", "LoadUnknown", "WeightStore"]

_RESPONSE_TIMEOUT_S = 5.0


@attrs.frozen
class LoadStarted:
    """The store has started to send the weights."""

    load_id: str


@attrs.frozen
class LoadRefused:
    """The store refused the load because it is at its limit."""

    retry_after_s: float


@attrs.frozen
class LoadUnknown:
    """The response was lost: a load may have started; the store ends it when nobody polls it."""

    reason: str


class WeightStore(abc.ABC):
    """Interface for loading model weights by name."""

    @abc.abstractmethod
    async def start_load(self, name: str) -> LoadStarted | LoadRefused | LoadUnknown:
        """Start a load."""

    @abc.abstractmethod
    async def is_done(self, load_id: str) -> bool:
        """Return whether a load has ended; False also when the store does not respond."""

    @abc.abstractmethod
    async def cancel(self, load_id: str) -> None:
        """Cancel a load, which frees its slot for others."""


class HttpWeightStore(WeightStore):
    """Client of the store over HTTP: POST /loads, GET and DELETE /loads/ID."""

    def __init__(self, base_url: str, pool: httpcore.AsyncConnectionPool) -> None:
        self._base_url = base_url.rstrip("/")
        self._pool = pool

    async def start_load(self, name: str) -> LoadStarted | LoadRefused | LoadUnknown:
        """Start a load; see :meth:`WeightStore.start_load`."""
        response = await self._request("POST", "/loads", json.dumps({"name": name}).encode())
        if response is None:
            return LoadUnknown("no answer from the weight store")
        if response.status == 429:
            return LoadRefused(1.0)
        try:
            return LoadStarted(str(json.loads(response.content)["load_id"]))
        except (ValueError, KeyError, TypeError):
            return LoadUnknown(f"the weight store answered {response.status}")

    async def is_done(self, load_id: str) -> bool:
        """Return whether a load has ended; see :meth:`WeightStore.is_done`."""
        response = await self._request("GET", f"/loads/{load_id}", b"")
        return response is not None and response.status == 200 and b"true" in response.content

    async def cancel(self, load_id: str) -> None:
        """Cancel a load; see :meth:`WeightStore.cancel`."""
        await self._request("DELETE", f"/loads/{load_id}", b"")

    async def _request(self, method: str, path: str, body: bytes) -> httpcore.Response | None:
        timeouts = dict.fromkeys(("connect", "read", "write", "pool"), _RESPONSE_TIMEOUT_S)
        try:
            return await self._pool.request(
                method, self._base_url + path, content=body, extensions={"timeout": timeouts}
            )
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            return None
