"""Checks of sockets that the event loop reads from."""

import select
import socket
import struct

__all__ = ["is_readable", "unread_s"]

# Size of the kernel's struct tcp_info up to and including tcpi_last_data_recv, and its place there.
_TCP_INFO_BYTES = 56
_LAST_DATA_RECV = 52


def is_readable(sock: socket.socket) -> bool:
    """Return whether received bytes, or the end of the input, wait to be read."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def unread_s(sock: socket.socket) -> float:
    """Return how long ago the last bytes were received, as bytes that were just read.

    While a process stalls, they wait in the socket. The result is never more than the bytes waited;
    it is 0 if the system doesn't state it.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    except OSError:
        return 0.0
    if len(info) < _TCP_INFO_BYTES:
        return 0.0
    (last_received_ms,) = struct.unpack_from("=I", info, _LAST_DATA_RECV)
    return float(last_received_ms) / 1000
