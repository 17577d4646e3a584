import socket

import pytest

from beryljunction.early_listener import open_early_listener, open_listener


class TestOpenEarlyListener:
    def test_client_connects_before_accept_is_called(self):
        listener = open_early_listener("127.0.0.1:0")
        with listener, socket.create_connection(listener.getsockname(), 1.0) as caller:
            caller.sendall(b"GET / HTTP/1.1\r\n\r\n")

    @pytest.mark.parametrize("text", ["", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", ":", "a:99999"])
    def test_returns_none_for_an_invalid_address(self, text):
        assert open_early_listener(text) is None

    def test_returns_none_for_an_address_in_use(self):
        with open_listener(("127.0.0.1", 0)) as taken:
            assert open_early_listener(f"127.0.0.1:{taken.getsockname()[1]}") is None
