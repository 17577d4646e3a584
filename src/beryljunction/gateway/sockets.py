"""TCP timeouts that detect connections whose remote end is unreachable."""

import socket

import attrs

__all__ = ["CALLER_TIMEOUTS", "ENDPOINT_TIMEOUTS", "SocketTimeouts", "set_timeouts"]


@attrs.frozen
class SocketTimeouts:
    """TCP user timeout and keepalive settings of a connection.

    Attributes:
        unacked_ms: Time that sent data may stay unacknowledged before the connection fails.
        idle_s: Time without traffic after which keepalive probes are sent.
        interval_s: Time between probes.
        probes: Number of unanswered probes after which the connection fails.
    """

    unacked_ms: int
    idle_s: int
    interval_s: int
    probes: int


# If a host loses its network, or a middlebox drops a connection's state, a stream would hang until
# its deadline although another endpoint could resume it. Callers abandon a stream after 2 s of
# silence or more, so the loss is detected in about that time.
ENDPOINT_TIMEOUTS = SocketTimeouts(unacked_ms=1_500, idle_s=1, interval_s=1, probes=2)
# An undetected loss of a caller keeps its endpoint working for nobody and a file descriptor open.
# Callers may be on slow links, so these are longer; requests have separate timeouts.
CALLER_TIMEOUTS = SocketTimeouts(unacked_ms=8_000, idle_s=10, interval_s=5, probes=3)


def set_timeouts(sock: socket.socket, timeouts: SocketTimeouts) -> None:
    """Set the timeouts of a TCP socket."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, timeouts.idle_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, timeouts.interval_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, timeouts.probes)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeouts.unacked_ms)
