"""Loopback ports for processes that a test starts."""

import socket

__all__ = ["free_ports"]


def free_ports(exit_stack):
    """Yield ports that are each reserved until ``exit_stack`` (an ExitStack) is closed.

    A port that is released before its process binds it can be assigned again, in this test or in a
    parallel run, and the second process to bind it never becomes ready. So each port is held by a
    bound socket that doesn't listen: the kernel assigns the port to nobody else, but a listener
    can still bind it, because both sockets set SO_REUSEADDR.
    """
    while True:
        holder = exit_stack.enter_context(socket.socket())
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind(("127.0.0.1", 0))
        yield holder.getsockname()[1]
