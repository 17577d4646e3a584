"""Opens listening sockets at addresses that another process may still hold."""

import math
import socket
import time

import anyio

from beryljunction.early_listener import open_listener
from beryljunction.errors import StartError
from beryljunction.gateway.events import EntryEventLog

__all__ = ["open_address", "open_when_free", "reuse_or_open"]

_MIN_PAUSE_S = 0.05
_MAX_PAUSE_S = 0.5


def open_address(address: tuple[str, int]) -> socket.socket:
    """Return a listening socket.

    Raises:
        StartError: The address can't be bound.
    """
    try:
        return open_listener(address)
    except (OSError, ValueError) as error:
        place = f"{address[0]}:{address[1]}"
        raise StartError(f"{place}: expected a free address, got {error}") from error


def reuse_or_open(early_socket: socket.socket | None, address: tuple[str, int]) -> socket.socket:
    """Return `early_socket` if it listens at the address; else close it and return another.

    Raises:
        StartError: The address can't be bound.
    """
    if early_socket is not None:
        if early_socket.getsockname() == address:
            return early_socket
        early_socket.close()
    return open_address(address)


async def open_when_free(
    address: tuple[str, int],
    events: EntryEventLog,
    event: str,
    stopping: anyio.Event,
    limit_s: float = math.inf,
) -> socket.socket | None:
    """Return a listening socket once the address is free; None if the process is stopped before.

    Args:
        address: IP and port.
        events: The event log.
        event: Name of the event that is logged if the address isn't free at once.
        stopping: Set when the process is stopped.
        limit_s: Time in which the address has to be free.

    Raises:
        StartError: The address can't be bound within `limit_s`.
    """
    ends_s = time.monotonic() + limit_s
    pause_s, is_logged = _MIN_PAUSE_S, False
    while not stopping.is_set():
        try:
            sock = open_address(address)
        except StartError as error:
            if time.monotonic() >= ends_s:
                raise
            if not is_logged:
                events.write(event, problem=str(error))
                is_logged = True
        else:
            if is_logged:
                events.write("address_opened", address=f"{address[0]}:{address[1]}")
            return sock
        with anyio.move_on_after(pause_s):
            await stopping.wait()
        pause_s = min(_MAX_PAUSE_S, 2 * pause_s)
    return None
