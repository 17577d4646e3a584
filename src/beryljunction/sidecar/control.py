"""Control messages to a sidecar: tickets, keys, chat pointers, drain and status."""

import time

import anyio.abc

from beryljunction.clocks import boot_time_s
from beryljunction.operators import STATUS_PATH
from beryljunction.settings import SidecarFile
from beryljunction.sidecar.calls import Call, Handler
from beryljunction.sidecar.keeper import RunKeeper
from beryljunction.sidecar.keys import KeyClaims
from beryljunction.systems import KeyClaim, KeyLost, KeyWon, key_refusal
from beryljunction.timeline import Timeline
from beryljunction.wire import (
    CLAIM_PATH,
    DRAIN_PATH,
    MOVED_PATH,
    POINTERS_PATH,
    TICKET_PATH,
    ChatMoved,
    Drain,
    KeyWish,
    PointerList,
    SidecarStatus,
    TicketGrant,
    TicketWish,
    encode,
)

__all__ = ["ControlRoutes"]


class ControlRoutes:
    """Handlers of the control messages.

    Attributes:
        group: Where work that outlives its message runs; set while the sidecar runs.
        stopping: Whether the process stops, which no message takes back.
    """

    def __init__(
        self,
        file: SidecarFile,
        incarnation: str,
        keeper: RunKeeper,
        keys: KeyClaims,
        timeline: Timeline,
    ) -> None:
        self.group: anyio.abc.TaskGroup | None = None
        self.stopping = False
        self._file = file
        self._incarnation = incarnation
        self._keeper = keeper
        self._keys = keys
        self._timeline = timeline

    def routes(self) -> dict[str, Handler]:
        """Return the handlers by path."""
        return {
            CLAIM_PATH: self._claim,
            DRAIN_PATH: self._drain,
            MOVED_PATH: self._moved,
            POINTERS_PATH: self._pointers,
            STATUS_PATH: self._status,
            TICKET_PATH: self._ticket,
        }

    def status(self) -> SidecarStatus:
        """Return what this sidecar is doing."""
        admission = self._keeper.admission
        return SidecarStatus(
            endpoint_id=self._file.endpoint_id,
            service=self._file.service,
            incarnation=self._incarnation,
            leaving=admission.leaving,
            running=admission.requests.running_count,
            waiting=admission.requests.waiting_count,
            kept=sum(run.ended_s is not None for run in self._keeper.runs),
        )

    async def _ticket(self, call: Call) -> None:
        wish = await call.message(TicketWish)
        if wish is not None:
            ticket = self._keeper.tickets.mint(wish.account, boot_time_s())
            await call.writer.done(encode(TicketGrant(ticket)))

    async def _claim(self, call: Call) -> None:
        wish = await call.message(KeyWish)
        if wish is None:
            return
        assert self.group is not None
        claim = KeyClaim(wish.key, wish.body, wish.ticket)
        verdict = await self._keys.settle(self.group, wish.shard, wish.request_id, claim)
        if isinstance(verdict, (KeyWon, KeyLost)):
            await call.writer.done(encode(TicketGrant(verdict.ticket)))
        else:
            await call.writer.refuse(key_refusal(verdict), wish.request_id)

    async def _drain(self, call: Call) -> None:
        drain = await call.message(Drain)
        if drain is not None:
            self._keeper.admission.leaving = drain.leaving or self.stopping
            self._timeline.add("drain", detail=str(drain.leaving))
            await call.writer.done(encode(self.status()))

    async def _moved(self, call: Call) -> None:
        moved = await call.message(ChatMoved)
        if moved is not None:
            self._take_pointer(moved)
            await call.writer.done()

    async def _pointers(self, call: Call) -> None:
        pointers = await call.message(PointerList)
        if pointers is None:
            return
        for moved in pointers.rows:
            self._take_pointer(moved)
        self._timeline.add("pointers_taken", detail=str(len(pointers.rows)))
        await call.writer.done()

    def _take_pointer(self, moved: ChatMoved) -> None:
        self._keeper.admission.pointers.placed(
            moved.chat_key, moved.endpoint_id, moved.tokens, time.monotonic()
        )

    async def _status(self, call: Call) -> None:
        await call.writer.done(encode(self.status()))
