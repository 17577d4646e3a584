"""Checks of sockets that the event loop reads from."""

import select
import socket

__all__ = ["is_readable"]


def is_readable(sock: socket.socket) -> bool:
    """Return whether received bytes, or the end of the input, wait to be read."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
