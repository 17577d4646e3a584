"""Exchanges datagrams with other entries: loads of endpoints, and streams that have begun."""

import anyio
import anyio.abc

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.load_datagrams import decode_loads, encode_loads
from beryljunction.gateway.state import EntryState
from beryljunction.gateway.stream_datagrams import is_stream_datagram
from beryljunction.platform import InvalidRecord
from beryljunction.routing import Address, PeerTable, loads_to_gossip

__all__ = ["LoadExchange"]

# At 111 bytes each, 20 datagrams a second take 2.2 of the 4 KB/s for control traffic. A load
# reaches most of 24 entries within 0.25 s and most of 350 within 0.4 s.
_SEND_INTERVAL_S = 0.05
# Time until the socket is opened again after an error of the network stack.
_REOPEN_S = 1.0


class LoadExchange:
    """Sends the latest loads to one random peer after the other, and applies those of peers.

    Loads are outdated within a second and each datagram holds the latest ones, so none is
    acknowledged or sent again. Peers get theirs on the same port as other messages.

    Args:
        address: Address of this entry for peers.
    """

    def __init__(self, state: EntryState, peers: PeerTable, address: Address) -> None:
        self._state = state
        self._peers = peers
        self._address = address
        self._turns: list[Address] = []

    async def run(self) -> None:
        """Send and receive loads until cancelled; an error only costs the loads of a second."""
        while True:
            try:
                await self._exchange()
            except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
                problem = f"{type(error).__name__} {error}".strip()
                self._state.events.write("load_exchange_failed", problem=problem)
            await anyio.sleep(_REOPEN_S)

    async def _exchange(self) -> None:
        host, port = self._address
        socket = await anyio.create_udp_socket(local_host=host, local_port=port)
        async with socket, anyio.create_task_group() as group:
            group.start_soon(self._send, socket)
            async for data, _ in socket:
                self.apply(data)

    async def _send(self, socket: anyio.abc.UDPSocket) -> None:
        while True:
            await anyio.sleep(_SEND_INTERVAL_S)
            for data, address in self.next_messages():
                await socket.sendto(data, *address)

    def next_messages(self) -> list[tuple[bytes, Address]]:
        """Return the datagrams that are due, with their receivers."""
        message = self.next_message()
        streams = self._state.streams.next_datagrams()
        return streams if message is None else [message, *streams]

    def next_message(self) -> tuple[bytes, Address] | None:
        """Return the next datagram of loads and its receiver; None if there is nothing to send."""
        loads = loads_to_gossip(self._state.registry.rows, boot_time_s())
        address = self._next_peer() if loads else None
        return (encode_loads(loads), address) if address is not None else None

    def _next_peer(self) -> Address | None:
        """Return the peers in random order, each once in a round, except unresponsive ones."""
        now_s = boot_time_s()
        if not self._turns:
            peers = self._peers.by_last_turn()
            self._turns = [
                address for host, address in peers if self._peers.is_responsive(host, now_s)
            ]
            self._state.random.shuffle(self._turns)
        return self._turns.pop() if self._turns else None

    def apply(self, data: bytes) -> None:
        """Apply the rows of a datagram; a malformed one is only logged."""
        if is_stream_datagram(data):
            self._state.streams.apply_datagram(data)
            return
        loads = decode_loads(data, self._state.registry.rows)
        if isinstance(loads, InvalidRecord):
            self._state.events.write("peer_rejected", status=400, problem=loads.problem)
            return
        self._state.apply_gossip((), loads)
