"""Opens a listening socket, before anything else of a process is loaded where that is asked for."""

import socket

__all__ = ["CALLERS_VARIABLE", "listen_early", "open_listener"]

# The deploy file hands the callers' address over here, since the modules that read the settings
# file take longer to load than the socket does to open.
CALLERS_VARIABLE = "BERYL_CALLERS"
# Connections that wait to be accepted; a burst of callers after a start is some hundreds.
_BACKLOG = 1_024


def open_listener(address: tuple[str, int]) -> socket.socket:
    """Return a socket on which connections queue until they are accepted.

    Raises:
        OSError: The address can't be had.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(_BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener


def listen_early(text: str) -> socket.socket | None:
    """Return a socket on IP:PORT; None where that can't be, which the start proper then explains.

    Load: all hosts lose power, and callers try again within a second. Harm: a caller that meets a
    host whose process is still loading is refused, spends its one retry at a host in the same
    state, and fails. Connections queue from 0.03 s after a start on, in place of 0.25 s (a share of
    0.817 of a core), and are answered when the process is up. One day with such a loss, one run
    each: 20 to 26 of 142 callers of the two seconds after it were answered in time.
    """
    host, _, port = text.rpartition(":")
    if not (host and port.isdecimal()):
        return None
    try:
        return open_listener((host, int(port)))
    except (OSError, OverflowError):
        return None
