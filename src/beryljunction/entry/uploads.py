"""Reads callers' bodies within the bound on all of them together."""

from collections.abc import MutableMapping
from typing import Any

from beryljunction.outcomes import RefusalCode
from beryljunction.servers import Receive, read_body
from beryljunction.settings import FleetView
from beryljunction.systems import Upload, UploadSystem

__all__ = ["UPLOAD_RETRY_S", "UploadReader"]

# Most uploads take well under a second; the slowest may take `limits.body_s`.
UPLOAD_RETRY_S = 1.0
_LENGTH_HEADER = b"content-length"


class UploadReader:
    """Reads one body at a time for each request, all of them within one bound.

    Attributes:
        view: Settings in force.
    """

    def __init__(self, view: FleetView) -> None:
        self.view = view
        self._uploads = UploadSystem(view.limits.upload_bytes)

    @property
    def held_bytes(self) -> int:
        """Bytes that count against the bound at the moment."""
        return self._uploads.held_bytes

    async def read(
        self, receive: Receive, headers: dict[bytes, bytes], account: str
    ) -> bytes | RefusalCode:
        """Return a body, or why it was not taken: too large (or slow), or no room now."""
        limits = self.view.limits
        announced_bytes = _announced_bytes(headers)
        if announced_bytes > limits.body_bytes:
            return RefusalCode.TOO_LARGE
        self._uploads.limit_bytes = limits.upload_bytes
        upload = self._uploads.begin(account, announced_bytes, self._weight(account))
        if upload is None:
            return RefusalCode.OVERLOADED
        counter = _Counter(self._uploads, upload, receive, self._weight(account))
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


class _Counter:
    """Counts what arrives of one body, and ends it where there is no more room.

    Attributes:
        is_full: Whether it was ended.
    """

    def __init__(
        self, uploads: UploadSystem, upload: Upload, receive: Receive, weight: float
    ) -> None:
        self.is_full = False
        self._uploads = uploads
        self._upload = upload
        self._receive = receive
        self._weight = weight

    async def receive(self) -> MutableMapping[str, Any]:
        """Return the next message of the body, or a hang-up in its place."""
        message = await self._receive()
        size_bytes = len(message.get("body", b""))
        if not self._uploads.receive(self._upload, size_bytes, self._weight):
            self.is_full = True
            return {"type": "http.disconnect"}
        return message


def _announced_bytes(headers: dict[bytes, bytes]) -> int:
    """Return the length that a caller names; a body in chunks counts as it arrives."""
    text = headers.get(_LENGTH_HEADER, b"0")
    return int(text) if text.isdigit() else 0
