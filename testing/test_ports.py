import contextlib
import itertools
import socket

import pytest

from beryljunction.servers import bind_listener
from ports import free_ports


class TestFreePorts:
    def test_yields_each_port_once_although_nothing_listens_yet(self):
        with contextlib.ExitStack() as held:
            ports = list(itertools.islice(free_ports(held), 300))

        assert len(set(ports)) == len(ports)

    def test_only_a_listener_can_bind_a_reserved_port(self):
        with contextlib.ExitStack() as held:
            port = next(free_ports(held))
            with socket.socket() as other, pytest.raises(OSError, match="in use"):
                other.bind(("127.0.0.1", port))

            listener = bind_listener(f"127.0.0.1:{port}")

        with listener:
            assert listener.getsockname()[1] == port
