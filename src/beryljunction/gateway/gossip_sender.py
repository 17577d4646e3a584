"""Informs the other entries of sessions that moved."""

import anyio
import attrs

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.gossip import Gossip
from beryljunction.gateway.peers import PeerClient
from beryljunction.gateway.state import EntryState
from beryljunction.routing import PeerTable

__all__ = ["GossipSender"]

# One message per 0.125 s at most, to the peers in turn. With a moved session it has 190 bytes, so
# these and the datagrams of loads stay below the limit of 4 KB/s for control traffic, regardless of
# the number of peers. Each of three peers gets a message within 0.4 s; a session sends its next
# request after seconds.
_SEND_INTERVAL_S = 0.125
# Moved sessions in one message, 45 bytes each. An entry moves one or two per second, and more only
# just after endpoints were lost.
_MAX_MOVED_SESSIONS = 32


@attrs.define
class GossipSender:
    """Sends each peer in turn the gossip that it has not acknowledged."""

    _client: PeerClient
    _state: EntryState
    _peers: PeerTable
    _incarnation: str

    async def run(self) -> None:
        """Send gossip to peers until cancelled."""
        while True:
            await anyio.sleep(_SEND_INTERVAL_S)
            await self.step()

    async def step(self) -> None:
        """Send one message to the next peer that lacks gossip.

        Unanswered gossip is sent again, since a peer that missed it would send moved sessions to
        their default endpoints, which would prefill them again. Each message names the process
        start of this entry, so that peers send everything to a restarted one; therefore each peer
        gets a first message even if there is nothing to send.
        """
        now_s = boot_time_s()
        moved = self._state.moved_sessions
        for host, address in self._peers.by_last_turn():
            if not self._peers.is_responsive(host, now_s):
                continue
            acked = self._peers.delivered_up_to(host)
            unsent = moved.since(acked or 0)
            if acked is not None and not unsent:
                continue
            sent, end = unsent[:_MAX_MOVED_SESSIONS], moved.end - len(unsent[_MAX_MOVED_SESSIONS:])
            self._peers.take_turn(host)
            gossip = Gossip(self._state.host.host, self._incarnation, sent)
            if await self._client.send_gossip(address, gossip.encode()):
                self._peers.note_delivered(host, end)
            else:
                self._peers.note_unresponsive(host, now_s)
            return
