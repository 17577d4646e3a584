"""Time-outs of TCP sockets, by which connections whose other end is gone are found."""

import socket

import attrs

__all__ = ["CALLER_TIMEOUTS", "ENDPOINT_TIMEOUTS", "SocketTimeouts", "set_timeouts"]


@attrs.frozen
class SocketTimeouts:
    """How long a connection may be without a sign of the other end.

    Attributes:
        unacked_ms: Time for which sent bytes may stay unacknowledged.
        idle_s: Time without traffic after which the other end is asked.
        interval_s: Time between such questions.
        probes: Unanswered questions after which the connection is given up.
    """

    unacked_ms: int
    idle_s: int
    interval_s: int
    probes: int


# Load: a host is cut off, or something between the ends has lost track of a connection. Harm: a
# stream hangs until its deadline, though another endpoint could take it up. Callers give a stream
# up after 2 s of silence and more, so it is found in about that time.
ENDPOINT_TIMEOUTS = SocketTimeouts(unacked_ms=1_500, idle_s=1, interval_s=1, probes=2)
# Harm on the callers' side: an endpoint works for somebody who is gone, and the descriptor is kept.
# Callers may be on slow links, so they get longer; their requests have time-outs of their own.
CALLER_TIMEOUTS = SocketTimeouts(unacked_ms=8_000, idle_s=10, interval_s=5, probes=3)


def set_timeouts(sock: socket.socket, timeouts: SocketTimeouts) -> None:
    """Set the time-outs of a TCP socket."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, timeouts.idle_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, timeouts.interval_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, timeouts.probes)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeouts.unacked_ms)
