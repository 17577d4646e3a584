import socket

import anyio

from beryljunction.gateway import callers, calls, sockets
from platform_world import open_world, route


class TestTimeouts:
    def test_connections_to_callers_and_endpoints_have_them(self, monkeypatch):
        """A caller or an endpoint is cut off without a word.

        Neither end of its connection hears anything. Only the time-outs of the sockets show it, so
        each connection of both kinds must have them.
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
            async with open_world(route()) as world:
                await world.add_endpoint("e1")
                await world.known(1)
                seen.clear()
                return (await world.ask())[0]

        assert anyio.run(run) == 200
        assert sorted(seen) == [(1_500, True), (8_000, True)]
