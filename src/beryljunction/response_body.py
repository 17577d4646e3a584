"""Reads response bodies of a bounded size."""

import httpcore

__all__ = ["read_body"]


async def read_body(response: httpcore.Response, max_bytes: int) -> bytes:
    """Return the body of an open response.

    Raises:
        httpcore.RemoteProtocolError: It is larger than the limit; the rest was not received.
    """
    body = bytearray()
    async for chunk in response.aiter_stream():
        body += chunk
        if len(body) > max_bytes:
            raise httpcore.RemoteProtocolError(f"expected a body of at most {max_bytes} bytes")
    return bytes(body)
