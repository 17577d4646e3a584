"""Reads request bodies within a limit on the bytes of all uploads in progress."""

from collections.abc import MutableMapping
from typing import Any

from beryljunction.outcomes import RefusalCode
from beryljunction.servers import Receive, read_body
from beryljunction.settings import ResolvedSettings
from beryljunction.systems import Upload, UploadLimiter

__all__ = ["UPLOAD_RETRY_S", "UploadReader"]

# Most uploads take well under a second, though the slowest may take `limits.body_s`.
UPLOAD_RETRY_S = 1.0
_LENGTH_HEADER = b"content-length"


class UploadReader:
    """Reads request bodies within the shared limit `limits.upload_bytes`.

    Attributes:
        view: Current settings.
    """

    def __init__(self, view: ResolvedSettings) -> None:
        self.view = view
        self._uploads = UploadLimiter(view.limits.upload_bytes)

    @property
    def reserved_bytes(self) -> int:
        """Bytes that currently count against the limit."""
        return self._uploads.held_bytes

    async def read(
        self, receive: Receive, headers: dict[bytes, bytes], account: str
    ) -> bytes | RefusalCode:
        """Return the body, TOO_LARGE if it is too large or slow, or OVERLOADED at the limit."""
        limits = self.view.limits
        announced_bytes = _announced_bytes(headers)
        if announced_bytes > limits.body_bytes:
            return RefusalCode.TOO_LARGE
        self._uploads.limit_bytes = limits.upload_bytes
        upload = self._uploads.begin(account, announced_bytes, self._weight(account))
        if upload is None:
            return RefusalCode.OVERLOADED
        counter = _CountedReceive(self._uploads, upload, receive, self._weight(account))
        try:
            body = await read_body(counter.receive, limits.body_bytes, limits.body_s)
        finally:
            self._uploads.end(upload)
        if counter.is_full:
            return RefusalCode.OVERLOADED
        return RefusalCode.TOO_LARGE if body is None else body

    def _weight(self, account: str) -> float:
        settings = self.view.accounts.get(account)
        return settings.weight if settings is not None else 1.0


class _CountedReceive:
    """Counts the received bytes of one body and cuts it off at the shared limit.

    Attributes:
        is_full: Whether the body was cut off.
    """

    def __init__(
        self, uploads: UploadLimiter, upload: Upload, receive: Receive, weight: float
    ) -> None:
        self.is_full = False
        self._uploads = uploads
        self._upload = upload
        self._receive = receive
        self._weight = weight

    async def receive(self) -> MutableMapping[str, Any]:
        """Return the next ASGI message, or a disconnect if the limit is reached."""
        message = await self._receive()
        size_bytes = len(message.get("body", b""))
        if not self._uploads.receive(self._upload, size_bytes, self._weight):
            self.is_full = True
            return {"type": "http.disconnect"}
        return message


def _announced_bytes(headers: dict[bytes, bytes]) -> int:
    """Return the Content-Length, or 0 for a chunked body, which counts as it arrives."""
    text = headers.get(_LENGTH_HEADER, b"0")
    return int(text) if text.isdigit() else 0
