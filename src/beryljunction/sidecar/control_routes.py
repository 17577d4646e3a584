"""Control requests to a sidecar: tickets, idempotency keys, chat pointers, drain and status."""

import time

import anyio.abc

from beryljunction.clocks import boot_time_s
from beryljunction.operator_api import STATUS_PATH
from beryljunction.settings import SidecarFile
from beryljunction.sidecar.calls import Call, Handler
from beryljunction.sidecar.keys import KeyClaims
from beryljunction.sidecar.run_manager import RunManager
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
    """Handlers of the control requests.

    Attributes:
        group: Runs work that outlives its request; set while the sidecar runs.
        stopping: Whether the process is stopping; a drain request cannot undo this.
    """

    def __init__(
        self,
        file: SidecarFile,
        incarnation: str,
        run_manager: RunManager,
        keys: KeyClaims,
        timeline: Timeline,
    ) -> None:
        self.group: anyio.abc.TaskGroup | None = None
        self.stopping = False
        self._file = file
        self._incarnation = incarnation
        self._run_manager = run_manager
        self._keys = keys
        self._timeline = timeline

    def routes(self) -> dict[str, Handler]:
        """Return the handlers by path."""
        return {
            CLAIM_PATH: self._handle_claim,
            DRAIN_PATH: self._handle_drain,
            MOVED_PATH: self._handle_chat_moved,
            POINTERS_PATH: self._handle_pointers,
            STATUS_PATH: self._handle_status,
            TICKET_PATH: self._handle_ticket,
        }

    def status(self) -> SidecarStatus:
        """Return the current state of this sidecar."""
        admission = self._run_manager.admission
        return SidecarStatus(
            endpoint_id=self._file.endpoint_id,
            service=self._file.service,
            incarnation=self._incarnation,
            leaving=admission.leaving,
            running=admission.requests.running_count,
            waiting=admission.requests.waiting_count,
            kept=sum(run.ended_s is not None for run in self._run_manager.runs),
        )

    async def _handle_ticket(self, call: Call) -> None:
        request = await call.read_message(TicketWish)
        if request is not None:
            ticket = self._run_manager.tickets.mint(request.account, boot_time_s())
            await call.writer.done(encode(TicketGrant(ticket)))

    async def _handle_claim(self, call: Call) -> None:
        request = await call.read_message(KeyWish)
        if request is None:
            return
        assert self.group is not None
        claim = KeyClaim(request.key, request.body, request.ticket)
        verdict = await self._keys.settle(self.group, request.shard, request.request_id, claim)
        if isinstance(verdict, (KeyWon, KeyLost)):
            await call.writer.done(encode(TicketGrant(verdict.ticket)))
        else:
            await call.writer.refuse(key_refusal(verdict), request.request_id)

    async def _handle_drain(self, call: Call) -> None:
        drain = await call.read_message(Drain)
        if drain is not None:
            self._run_manager.admission.leaving = drain.leaving or self.stopping
            self._timeline.add("drain", detail=str(drain.leaving))
            await call.writer.done(encode(self.status()))

    async def _handle_chat_moved(self, call: Call) -> None:
        pointer = await call.read_message(ChatMoved)
        if pointer is not None:
            self._record_pointer(pointer)
            await call.writer.done()

    async def _handle_pointers(self, call: Call) -> None:
        pointers = await call.read_message(PointerList)
        if pointers is None:
            return
        for pointer in pointers.rows:
            self._record_pointer(pointer)
        self._timeline.add("pointers_taken", detail=str(len(pointers.rows)))
        await call.writer.done()

    def _record_pointer(self, pointer: ChatMoved) -> None:
        self._run_manager.admission.pointers.record_location(
            pointer.chat_key, pointer.endpoint_id, pointer.tokens, time.monotonic()
        )

    async def _handle_status(self, call: Call) -> None:
        await call.writer.done(encode(self.status()))
