"""Tells the other entries where sessions are that they would look for elsewhere."""

import anyio
import attrs

from beryljunction.gateway.moved import encode_moved
from beryljunction.gateway.peers import PeerLink
from beryljunction.routing import MovedSessions, PeerTable

__all__ = ["ShareMoved"]

# One message each 0.125 s at most, to one peer after the other: at 500 bytes each that is the
# 4 KB/s which control may cost an entry, whatever their number. With three peers each hears
# within 0.4 s; sessions return after seconds.
_STEP_S = 0.125


@attrs.define
class ShareMoved:
    """Sends each peer in turn what it has not heard."""

    _link: PeerLink
    _moved: MovedSessions
    _peers: PeerTable

    async def run(self) -> None:
        """Tell peers until cancelled."""
        while True:
            await anyio.sleep(_STEP_S)
            await self.step()

    async def step(self) -> None:
        """Tell the next peer that has not heard all; one that does not answer misses it."""
        end = self._moved.end
        for host, address in self._peers.in_turn():
            rows = self._moved.since(self._peers.heard(host))
            if not rows:
                continue
            self._peers.tell(host, end)
            await self._link.tell(address, encode_moved(rows))
            return
