"""The process beside an endpoint: admits, queues, runs and relays."""

import hmac
import time
import uuid
from collections.abc import Awaitable, Callable, Mapping

import anyio
import anyio.abc
import attrs

from beryljunction.clocks import boot_time_s
from beryljunction.outcomes import Ran, Refusal, RefusalCode
from beryljunction.platform import HttpLogClient
from beryljunction.servers import Receive, Scope, Send, client_pool, read_body
from beryljunction.settings import FleetView, ServiceSettings, SidecarFile
from beryljunction.sidecar.endpoint import EndpointClient
from beryljunction.sidecar.keys import KeyClaims
from beryljunction.sidecar.ledger import RunLedger
from beryljunction.sidecar.readers import Place, serve_reader
from beryljunction.sidecar.runs import Run, RunTable
from beryljunction.sidecar.writers import Writer
from beryljunction.stops import Stoppable
from beryljunction.streams import FrameLog, StreamName
from beryljunction.systems import (
    AdmissionLimits,
    AdmissionSystem,
    AlreadyRunning,
    Arrival,
    Asked,
    KeyClaim,
    KeyLost,
    KeyWon,
    LoadSystem,
    PointerSystem,
    Refuse,
    Replay,
    TicketLedger,
    TicketMint,
    TombstoneSystem,
    claim_refusal,
    key_refusal,
)
from beryljunction.systems import Run as Claimed
from beryljunction.tables import Answer, Stamp, Work
from beryljunction.timeline import HLC_HEADER, Timeline
from beryljunction.watches import WatchList
from beryljunction.wire import (
    ATTACH_PATH,
    CANCEL_PATH,
    CLAIM_PATH,
    DRAIN_PATH,
    ENVELOPE_HEADER,
    FLEET_KEY_HEADER,
    MOVED_PATH,
    RUN_PATH,
    STATUS_PATH,
    TICKET_PATH,
    Attach,
    Cancel,
    ChatMoved,
    Drain,
    Envelope,
    KeyWish,
    SidecarStatus,
    TicketGrant,
    TicketWish,
    decode,
    encode,
)

__all__ = ["Call", "Handler", "SidecarApp"]

_TICK_S = 0.05
_CONTROL_BYTES = 262_144
_LATE = "this try arrived after its sender was told that it did not run; it will not run"
_NOT_TAKEN = {
    Arrival.BURIED: Refusal(RefusalCode.CANCELLED, _LATE, Ran.NO),
    Arrival.CLOSED: Refusal(RefusalCode.OVERLOADED, "too many requests; ask again", Ran.NO, 1.0),
    Arrival.TOO_OLD: Refusal(
        RefusalCode.OUTCOME_UNKNOWN, "arrived too late to tell whether it was here", Ran.UNKNOWN
    ),
}


@attrs.frozen
class Call:
    """One HTTP request of another process of the fleet, its key checked."""

    headers: dict[bytes, bytes]
    receive: Receive
    writer: Writer

    async def body(self) -> bytes:
        """Return the body of a control message; empty when it is too long or broke off."""
        return await read_body(self.receive, _CONTROL_BYTES) or b""


Handler = Callable[[Call], Awaitable[None]]


class SidecarApp(Stoppable):
    """ASGI application of a sidecar; decisions are left to its systems.

    Args:
        routes: Further control routes by path, such as the exchange with peers.

    Attributes:
        incarnation: Names this process's life; a sidecar that starts anew has forgotten every run.
    """

    def __init__(
        self, file: SidecarFile, view: FleetView, routes: Mapping[str, Handler] | None = None
    ) -> None:
        self.file = file
        self.incarnation = uuid.uuid4().hex[:12]
        self._pool = client_pool()
        started_s = boot_time_s()
        name = (file.endpoint_id, self.incarnation, started_s)
        mint = TicketMint(file.process.fleet_key.encode())
        self.tickets = TicketLedger(mint, *name)
        self.tombstones = TombstoneSystem(*name)
        self._ledger = RunLedger(self.tickets)
        address = file.process.log_address
        log = HttpLogClient(address, self._pool) if address else None
        self._keys = KeyClaims(log, self.incarnation)
        self.timeline = Timeline(file.process.host, file.process.availability_zone)
        self.admission = AdmissionSystem(
            AdmissionLimits(),
            LoadSystem(file.endpoint_id, self.incarnation),
            PointerSystem(file.endpoint_id),
        )
        self.runs = RunTable()
        self._stopping = False
        self.watches = WatchList()
        self._group: anyio.abc.TaskGroup | None = None
        self._fleet_key = file.process.fleet_key.encode()
        speed = self.admission.load.speed
        self._endpoint = EndpointClient(self._pool, self.watches, file.endpoint_address, speed)
        self.routes: dict[str, Handler] = {
            RUN_PATH: self._handle_run,
            ATTACH_PATH: self._handle_attach,
            CANCEL_PATH: self._handle_cancel,
            DRAIN_PATH: self._handle_drain,
            STATUS_PATH: self._handle_status,
            TICKET_PATH: self._handle_ticket,
            CLAIM_PATH: self._handle_claim,
            MOVED_PATH: self._handle_moved,
            **(routes or {}),
        }
        self.apply(view)

    def apply(self, view: FleetView) -> None:
        """Put settings in force."""
        self.view = view
        service = self._service
        self.admission.limits = AdmissionLimits(
            load_multiple=service.load_multiple,
            floor_running=service.floor_running,
            max_running=service.max_running,
            max_waiting=service.max_waiting,
            max_waiting_per_account=service.max_waiting_per_account,
            quantum_tokens=service.quantum_tokens,
        )
        self.admission.weights = {name: row.weight for name, row in view.accounts.items()}
        self.runs.kept_total_bytes = view.limits.kept_total_bytes
        self._endpoint.silence_s = service.engine_silence_s
        self._endpoint.request_s = view.limits.request_s
        self._endpoint.answer_bytes = view.limits.answer_bytes

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Work until cancelled."""
        async with self._pool, anyio.create_task_group() as self._group:
            self._group.start_soon(self.watches.run)
            self._group.start_soon(self._keep_runs)
            task_status.started()
            while True:
                await anyio.sleep(_TICK_S)
                self._tick()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request of another process of the fleet."""
        headers = dict(scope["headers"])
        self.timeline.clock.heard_stamp(headers.get(HLC_HEADER))
        writer = Writer(send, self.tombstones.stamp(boot_time_s()), self.timeline.clock)
        handler = self.routes.get(scope["path"])
        if not hmac.compare_digest(headers.get(FLEET_KEY_HEADER, b""), self._fleet_key):
            refusal = Refusal(RefusalCode.UNAUTHENTICATED, "expected the fleet's key", Ran.NO)
            await writer.refuse(refusal, "")
        elif handler is None:
            refusal = Refusal(RefusalCode.NOT_FOUND, f"no such path {scope['path']}", Ran.NO)
            await writer.refuse(refusal, "")
        else:
            await handler(Call(headers, receive, writer))

    @property
    def in_flight(self) -> int:
        """Runs that are not over: waiting, running or kept for a reader that comes back."""
        return len(self.runs)

    def refuse_new(self) -> None:
        """Take no new work any more; what was admitted goes on."""
        self._stopping = True
        self.admission.leaving = True

    async def hand_over(self) -> None:
        """Hand over nothing yet: chat pointers come with their system."""

    @property
    def _service(self) -> ServiceSettings:
        return self.view.services[self.file.service]

    @property
    def _pending_s(self) -> float:
        """Wait of a reader for something to read: short of the silence that it would act on."""
        return self._service.silence_s / 2

    async def _handle_run(self, call: Call) -> None:
        try:
            envelope = decode(call.headers.get(ENVELOPE_HEADER, b""), Envelope)
        except ValueError as error:
            await call.writer.refuse(Refusal(RefusalCode.BAD_REQUEST, str(error), Ran.NO), "")
            return
        limits = self.view.limits
        body = await read_body(call.receive, limits.body_bytes, limits.body_s)
        if body is None:
            message = f"expected a whole body of at most {limits.body_bytes} bytes"
            refusal = Refusal(RefusalCode.TOO_LARGE, message, Ran.NO)
            await call.writer.refuse(refusal, envelope.request_id)
            return
        found = self._accept(envelope, body)
        if isinstance(found, Refusal):
            self.timeline.add("refused", envelope.request_id, found.code)
            await call.writer.refuse(found, envelope.request_id)
        elif isinstance(found, Answer):
            self.timeline.add("replayed", envelope.request_id)
            await call.writer.answer(found)
        else:
            place = Place(envelope.request_id, 0, self._pending_s)
            await serve_reader(found, self._name(found), place, call.receive, call.writer)

    def _accept(self, envelope: Envelope, body: bytes) -> Run | Answer | Refusal:
        """Return the run to read, a new one or one under way already, an answer or a refusal."""
        heard = Stamp.from_text(envelope.heard)
        try_id = _try_id(envelope)
        arrival = self.tombstones.arrive(try_id, heard, envelope.heard_age_s, boot_time_s())
        if arrival in _NOT_TAKEN:
            return _NOT_TAKEN[arrival]
        known = self.runs.get(envelope.request_id)
        if known is not None and not known.refused_unrun:
            return known
        if arrival is Arrival.DUPLICATE and envelope.ticket is None:
            message = "this try was here before and its answer is no longer kept"
            return Refusal(RefusalCode.OUTCOME_UNKNOWN, message, Ran.UNKNOWN)
        if envelope.idempotent:
            return self._admit(Run(envelope, body, FrameLog(self._log_bytes(envelope))))
        return self._accept_once(envelope, body)

    def _accept_once(self, envelope: Envelope, body: bytes) -> Run | Answer | Refusal:
        """Go by the ledger: a request that may not be repeated runs under a ticket, once."""
        claim = self._ledger.claim(envelope, body)
        if isinstance(claim, Replay) and claim.answer is not None:
            return claim.answer
        if isinstance(claim, AlreadyRunning):
            return self._join(claim, envelope)
        if isinstance(claim, Claimed):
            run = Run(envelope, body, FrameLog(self._log_bytes(envelope)), serial=claim.serial)
            return self._admit(run)
        refusal = claim_refusal(claim)
        assert refusal is not None
        return refusal

    def _join(self, claim: AlreadyRunning, envelope: Envelope) -> Run | Refusal:
        run = self.runs.get(claim.request_id)
        if run is None:
            message = "the request runs here, and its run can't be read; ask again"
            return Refusal(RefusalCode.OUTCOME_UNKNOWN, message, Ran.UNKNOWN, 1.0)
        self.runs.join(run, envelope.request_id)
        return run

    def _admit(self, run: Run) -> Run | Refusal:
        now_s = time.monotonic()
        self.admission.load.merge(run.envelope.loads, now_s)
        decision = self.admission.offer(_work_of(run.envelope), now_s)
        if isinstance(decision, Refuse):
            if run.serial is None:
                return decision.refusal
            return self._ledger.burn(run.serial, run.envelope, decision.refusal)
        self.runs.add(run)
        assert self._group is not None
        self._group.start_soon(self._execute, run)
        self._tick()
        return run

    def _log_bytes(self, envelope: Envelope) -> int:
        """Bound of a stream's log; one that may not run again is kept whole for its retry."""
        if envelope.idempotent:
            return self._service.kept_bytes
        return self.view.limits.answer_bytes

    async def _handle_attach(self, call: Call) -> None:
        try:
            attach = decode(await call.body(), Attach)
        except ValueError as error:
            await call.writer.refuse(Refusal(RefusalCode.BAD_REQUEST, str(error), Ran.UNKNOWN), "")
            return
        run = self.runs.get(attach.request_id)
        if run is None or run.envelope.account != attach.account:
            await call.writer.refuse(self._not_here(attach), attach.request_id)
            return
        self.timeline.add("attached", attach.request_id, str(attach.after))
        place = Place(attach.request_id, attach.after, self._pending_s, alone=attach.resume)
        await serve_reader(run, self._name(run), place, call.receive, call.writer)

    def _not_here(self, attach: Attach) -> Refusal:
        """Answer truthfully for a run that is not known: "not run" only with a tombstone."""
        if attach.resume:
            message = "expected a stream that is still kept; it ended, or never was here"
            return Refusal(RefusalCode.NOT_FOUND, message, Ran.UNKNOWN)
        heard = Stamp.from_text(attach.heard)
        asked = self.tombstones.ask(_try_id(attach), heard, attach.heard_age_s, boot_time_s())
        if asked is Asked.NOT_RUN:
            message = "the request never arrived here and will be refused if it does"
            return Refusal(RefusalCode.ENDPOINT_FAILED, message, Ran.NO)
        message = "the sidecar that was given the request is gone or has forgotten it"
        return Refusal(RefusalCode.OUTCOME_UNKNOWN, message, Ran.UNKNOWN)

    async def _handle_cancel(self, call: Call) -> None:
        try:
            cancel = decode(await call.body(), Cancel)
        except ValueError as error:
            await call.writer.refuse(Refusal(RefusalCode.BAD_REQUEST, str(error), Ran.UNKNOWN), "")
            return
        run = self.runs.get(cancel.request_id)
        if run is None:
            stamp = self.tombstones.stamp(boot_time_s())
            self.tombstones.ask(_try_id(cancel), stamp, 0.0, boot_time_s())
        elif run.envelope.account == cancel.account and run.ended_s is None:
            self._hang_up(run)
        await call.writer.done()

    @staticmethod
    def _hang_up(run: Run) -> None:
        """End work that nobody can want any more; a stream may still be resumed for a while."""
        if run.may_be_cut and not run.envelope.streamed:
            run.scope.cancel()

    async def _handle_ticket(self, call: Call) -> None:
        try:
            wish = decode(await call.body(), TicketWish)
        except ValueError as error:
            await call.writer.refuse(Refusal(RefusalCode.BAD_REQUEST, str(error), Ran.NO), "")
            return
        ticket = self.tickets.mint(wish.account, boot_time_s())
        await call.writer.done(encode(TicketGrant(ticket)))

    async def _handle_claim(self, call: Call) -> None:
        try:
            wish = decode(await call.body(), KeyWish)
        except ValueError as error:
            await call.writer.refuse(Refusal(RefusalCode.BAD_REQUEST, str(error), Ran.UNKNOWN), "")
            return
        assert self._group is not None
        claim = KeyClaim(wish.key, wish.body, wish.ticket)
        verdict = await self._keys.settle(self._group, wish.shard, wish.request_id, claim)
        if isinstance(verdict, (KeyWon, KeyLost)):
            await call.writer.done(encode(TicketGrant(verdict.ticket)))
        else:
            await call.writer.refuse(key_refusal(verdict), wish.request_id)

    async def _handle_drain(self, call: Call) -> None:
        try:
            drain = decode(await call.body(), Drain)
        except ValueError as error:
            await call.writer.refuse(Refusal(RefusalCode.BAD_REQUEST, str(error), Ran.NO), "")
            return
        self.admission.leaving = drain.leaving or self._stopping
        self.timeline.add("drain", detail=str(drain.leaving))
        await call.writer.done(encode(self.status()))

    async def _handle_moved(self, call: Call) -> None:
        try:
            moved = decode(await call.body(), ChatMoved)
        except ValueError as error:
            await call.writer.refuse(Refusal(RefusalCode.BAD_REQUEST, str(error), Ran.NO), "")
            return
        pointers = self.admission.pointers
        pointers.placed(moved.chat_key, moved.endpoint_id, moved.tokens, time.monotonic())
        await call.writer.done()

    async def _handle_status(self, call: Call) -> None:
        await call.writer.done(encode(self.status()))

    def status(self) -> SidecarStatus:
        """Return what this sidecar is doing."""
        requests = self.admission.requests
        return SidecarStatus(
            endpoint_id=self.file.endpoint_id,
            service=self.file.service,
            incarnation=self.incarnation,
            leaving=self.admission.leaving,
            running=requests.running_count,
            waiting=requests.waiting_count,
            kept=sum(run.ended_s is not None for run in self.runs),
        )

    def _tick(self) -> None:
        for decision in self.admission.tick(time.monotonic()):
            run = self.runs.get(decision.request_id)
            if run is None:
                continue
            if isinstance(decision, Refuse):
                run.refusal = decision.refusal
            run.decided.set()

    async def _keep_runs(self) -> None:
        """Send heartbeats on quiet streams; end and forget runs that nobody reads any more."""
        while True:
            await anyio.sleep(self._service.heartbeat_s)
            for run in self.runs:
                for reader in run.readers if run.streaming else ():
                    reader.beat_if_quiet(run.changed)
            for run in self.runs.expire(time.monotonic(), self._service.resume_s):
                run.scope.cancel()

    async def _execute(self, run: Run) -> None:
        request_id = run.envelope.request_id
        started = False
        try:
            with run.scope:
                await run.decided.wait()
                started = run.refusal is None and self._ledger.start(run)
                if started:
                    self.timeline.add("started", request_id)
                    await self._endpoint.carry(run, self._name(run))
            if run.scope.cancelled_caught and run.ran is not Ran.NO:
                await self._endpoint.cancel(request_id)
        finally:
            self.timeline.add("ended", request_id)
            self.admission.finish(request_id)
            self._ledger.close(run, started)
            run.end(time.monotonic())
            self._tick()

    def _name(self, run: Run) -> StreamName:
        return StreamName(self.file.endpoint_id, self.incarnation, run.envelope.request_id)


def _try_id(message: Envelope | Attach | Cancel) -> str:
    """Name one try; a tombstone stops that one, not those that follow."""
    return f"{message.request_id}/{message.attempt}"


def _work_of(envelope: Envelope) -> Work:
    now_s = time.monotonic()
    return Work(
        request_id=envelope.request_id,
        account=envelope.account,
        arrived_s=now_s,
        deadline_s=now_s + envelope.wait_s,
        chat_key=envelope.chat_key,
        prompt_tokens=envelope.prompt_tokens,
        output_tokens=envelope.output_tokens,
        priority=envelope.priority,
        idempotent=envelope.idempotent,
        warm=envelope.warm,
        last_resort=envelope.last_resort,
        only_if_warm=envelope.only_if_warm,
        ignore_pointer=envelope.ignore_pointer,
    )
