"""Tells the other entries where sessions are that moved, and which endpoints are full."""

import anyio
import attrs

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.news import News
from beryljunction.gateway.peers import PeerLink
from beryljunction.gateway.state import EntryState
from beryljunction.routing import PeerTable, loads_to_tell

__all__ = ["ShareNews"]

# One message each 0.125 s at most, to one peer after the other: at 500 bytes each that is the
# 4 KB/s which control may cost an entry, whatever their number. With three peers each hears
# within 0.4 s; sessions return after seconds.
_STEP_S = 0.125
# Moved sessions in one message, 45 bytes each. An entry moves one or two a second, more only for
# the moments after endpoints were lost.
_MOST_MOVED = 32


@attrs.define
class ShareNews:
    """Sends each peer in turn what it has not heard."""

    _link: PeerLink
    _state: EntryState
    _peers: PeerTable
    _life: str

    async def run(self) -> None:
        """Tell peers until cancelled."""
        while True:
            await anyio.sleep(_STEP_S)
            await self.step()

    async def step(self) -> None:
        """Tell the next peer that has not heard all.

        Load: a peer is cut off for a while, or starts anew. Harm: sessions that moved meanwhile are
        looked for at their homes there, and read again. What was not answered is told again, and
        each message says which start of this entry it is of, so that a new one is told all. A first
        one goes to each peer also when there is nothing to tell.
        """
        now_s = boot_time_s()
        rows = self._state.registry.rows if self._state.mechanisms.load_news else []
        loads = loads_to_tell(rows, now_s)
        moved = self._state.moved
        for host, address in self._peers.in_turn():
            if not self._peers.may_answer(host, now_s):
                continue
            heard = self._peers.heard(host)
            untold = moved.since(heard or 0)
            if heard is not None and not untold and not loads:
                continue
            told, end = untold[:_MOST_MOVED], moved.end - len(untold[_MOST_MOVED:])
            self._peers.take_turn(host)
            news = News(self._state.host.host, self._life, told, loads)
            if await self._link.tell(address, news.encode()):
                self._peers.note_told(host, end)
            else:
                self._peers.note_silent(host, now_s)
            return
