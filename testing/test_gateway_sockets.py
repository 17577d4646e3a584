import socket

import anyio

from beryljunction.gateway import callers, calls, sockets
from entry_harness import open_harness, route


class TestTimeouts:
    def test_caller_and_endpoint_connections_have_tcp_timeouts(self, monkeypatch):
        """A caller or an endpoint loses its network without closing its connection.

        Only the TCP timeouts detect that, so that connections of both kinds must have them.
        """
        seen = []

        def note(sock, timeouts):
            sockets.set_timeouts(sock, timeouts)
            unacked = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            alive = sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
            seen.append((unacked, bool(alive)))

        monkeypatch.setattr(calls, "set_timeouts", note)
        monkeypatch.setattr(callers, "set_timeouts", note)

        async def run():
            async with open_harness(route()) as harness:
                await harness.add_endpoint("e1")
                await harness.wait_for_endpoints(1)
                seen.clear()
                return (await harness.send_request())[0]

        assert anyio.run(run) == 200
        assert sorted(seen) == [(1_500, True), (8_000, True)]
