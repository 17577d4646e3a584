"""HTTP/1.1 messages as bytes: read with their defects kept, and written."""

import asyncio

import attrs

__all__ = ["Message", "call", "head_bytes", "read_message"]


@attrs.frozen
class Message:
    """One message; `is_complete` is False when its connection ended early."""

    first: str
    headers: dict
    body: bytes
    is_complete: bool = True

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_message(reader, is_answer=False):
    """Return the next message; None when the connection ends before the end of a head."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body, is_complete = bytearray(), True
    try:
        await _read_body(reader, headers, is_answer, body)
    except (asyncio.IncompleteReadError, OSError) as error:
        body += getattr(error, "partial", b"")
        is_complete = False
    return Message(first, headers, bytes(body), is_complete)


async def _read_body(reader, headers, is_answer, body):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    elif "content-length" in headers:
        body += await reader.readexactly(int(headers["content-length"]))
    elif is_answer:
        body += await reader.read()


def head_bytes(first, headers):
    """Return the bytes of a head."""
    return "\r\n".join([first, *(f"{k}: {v}" for k, v in headers.items()), "", ""]).encode()


async def call(address, target, body=None, timeout_s=5.0):
    """Make one call on a connection of its own; return its answer, None without one."""
    method = "GET" if body is None else "POST"
    headers = {"Host": "soak", "Connection": "close", "Content-Length": len(body or b"")}

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(head_bytes(f"{method} {target} HTTP/1.1", headers) + (body or b""))
            return await read_message(reader, is_answer=True)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, TimeoutError):
        return None
