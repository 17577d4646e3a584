import contextlib
import itertools
import socket

import pytest

from beryljunction.servers import bind
from ports import free_ports


class TestFreePorts:
    def test_give_each_port_once_though_nothing_listens_on_it_yet(self):
        with contextlib.ExitStack() as held:
            ports = list(itertools.islice(free_ports(held), 300))

        assert len(set(ports)) == len(ports)

    def test_let_a_listener_bind_a_port_that_nobody_else_gets(self):
        with contextlib.ExitStack() as held:
            port = next(free_ports(held))
            with socket.socket() as stranger, pytest.raises(OSError, match="in use"):
                stranger.bind(("127.0.0.1", port))

            listener = bind(f"127.0.0.1:{port}")

        with listener:
            assert listener.getsockname()[1] == port
