"""Loopback ports for processes that a test starts."""

import socket

__all__ = ["free_ports"]


def free_ports(held):
    """Yield ports of which each stays ours for as long as ``held`` (an ExitStack) is open.

    A port that was given back before its process binds it can be drawn again, by this test or by
    another run beside it, and the second to bind it never gets ready. So a bound socket that does
    not listen holds it: the kernel gives it to nobody else, yet a listener may bind it as well,
    since both allow the reuse of the address.
    """
    while True:
        holder = held.enter_context(socket.socket())
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind(("127.0.0.1", 0))
        yield holder.getsockname()[1]
