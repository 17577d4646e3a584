"""Reads response bodies of a bounded size."""

from collections.abc import AsyncIterator

import anyio
import httpcore

__all__ = ["read_body", "receive_parts"]

# A part costs tens of microseconds, whatever its size.
_PARTS_BETWEEN_PAUSES = 64
# Parts of a body as large as the limits allow are mostly full segments or reads.
_MAX_PARTS = 65_536


async def receive_parts(response: httpcore.Response, max_bytes: int) -> AsyncIterator[bytes]:
    """Yield the parts of the body of an open response; other tasks run every few parts.

    Raises:
        httpcore.RemoteProtocolError: It is larger than the limit, or in too many parts; the rest
            was not received.
    """
    size = count = 0
    async for part in response.aiter_stream():
        size += len(part)
        count += 1
        if size > max_bytes:
            raise httpcore.RemoteProtocolError(f"expected a body of at most {max_bytes} bytes")
        if count > _MAX_PARTS:
            raise httpcore.RemoteProtocolError(f"expected a body of at most {_MAX_PARTS} parts")
        if count % _PARTS_BETWEEN_PAUSES == 0:
            await anyio.sleep(0)
        yield part


async def read_body(response: httpcore.Response, max_bytes: int) -> bytes:
    """Return the body of an open response.

    Raises:
        httpcore.RemoteProtocolError: It is larger than the limit, or in too many parts; the rest
            was not received.
    """
    body = bytearray()
    async for part in receive_parts(response, max_bytes):
        body += part
    return bytes(body)
