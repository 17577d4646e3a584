import socket

import pytest

from beryljunction.listening import listen_early, open_listener


class TestListenEarly:
    def test_caller_is_connected_before_anybody_accepts(self):
        listener = listen_early("127.0.0.1:0")
        with listener, socket.create_connection(listener.getsockname(), 1.0) as caller:
            caller.sendall(b"GET / HTTP/1.1\r\n\r\n")

    @pytest.mark.parametrize("text", ["", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", ":", "a:99999"])
    def test_address_that_is_none_is_left_to_the_start_proper(self, text):
        assert listen_early(text) is None

    def test_address_in_use_is_left_to_the_start_proper(self):
        with open_listener(("127.0.0.1", 0)) as taken:
            assert listen_early(f"127.0.0.1:{taken.getsockname()[1]}") is None
