"""Stalls of this process, and peers that take no connections."""

import asyncio
import contextlib
import socket
import time

from beryljunction.fuzz.platform.virtual import VirtualLoop, virtual_clock

__all__ = ["full_listener", "run_virtually", "run_with_stall"]


def run_virtually(operation):
    """Run a coroutine in virtual time and return its result.

    A stall is simulated by adding to the `now_s` of the running loop.
    """
    loop = VirtualLoop()
    with contextlib.closing(loop), virtual_clock(loop):
        return loop.run_until_complete(operation)


async def run_with_stall(operation, stall_s, stalls=1, passes=1):
    """Run an awaitable, and stall the event loop in the passes that follow the first ones."""
    task = asyncio.ensure_future(operation)
    for _ in range(passes - 1):
        await asyncio.sleep(0)
    for _ in range(stalls):
        await asyncio.sleep(0)
        asyncio.get_running_loop().call_soon(time.sleep, stall_s)
    return await task


@contextlib.contextmanager
def full_listener():
    """Yield the address of a listener that lets new connections wait, since its backlog is full."""
    with socket.create_server(("127.0.0.1", 0), backlog=0) as listener:
        address = listener.getsockname()
        with contextlib.ExitStack() as held:
            for _ in range(2):
                connection = held.enter_context(socket.socket())
                connection.setblocking(False)
                connection.connect_ex(address)
            time.sleep(0.05)
            yield address
