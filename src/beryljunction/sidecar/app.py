"""The process beside an endpoint: admits, queues, runs and relays."""

import hmac
import time
import uuid
from collections.abc import Awaitable, Callable, Mapping

import anyio
import anyio.abc
import attrs

from beryljunction.outcomes import Ran, Refusal, RefusalCode
from beryljunction.servers import Receive, Scope, Send, client_pool, read_body
from beryljunction.settings import FleetView, ServiceSettings, SidecarFile
from beryljunction.sidecar.endpoint import EndpointClient
from beryljunction.sidecar.readers import serve_reader
from beryljunction.sidecar.runs import Run, RunTable
from beryljunction.sidecar.writers import Writer
from beryljunction.stops import Stoppable
from beryljunction.streams import FrameLog, StreamName
from beryljunction.systems import (
    AdmissionLimits,
    AdmissionSystem,
    LoadSystem,
    PointerSystem,
    Refuse,
)
from beryljunction.tables import Work
from beryljunction.timeline import HLC_HEADER, Timeline
from beryljunction.watches import WatchList
from beryljunction.wire import (
    ATTACH_PATH,
    CANCEL_PATH,
    DRAIN_PATH,
    ENVELOPE_HEADER,
    FLEET_KEY_HEADER,
    MOVED_PATH,
    RUN_PATH,
    STATUS_PATH,
    Attach,
    Cancel,
    ChatMoved,
    Drain,
    Envelope,
    SidecarStatus,
    decode,
    encode,
)

__all__ = ["Call", "Handler", "SidecarApp"]

_TICK_S = 0.05
_CONTROL_BYTES = 262_144


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
        self.timeline = Timeline(file.process.host, file.process.availability_zone)
        self.admission = AdmissionSystem(
            AdmissionLimits(),
            LoadSystem(file.endpoint_id, self.incarnation),
            PointerSystem(file.endpoint_id),
        )
        self.runs = RunTable()
        self.watches = WatchList()
        self._pool = client_pool()
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
        writer = Writer(send, self.incarnation, self.timeline.clock)
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
        """Take no new work; what was admitted goes on."""
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
        run = self._admit(envelope, body)
        if isinstance(run, Refusal):
            self.timeline.add("refused", envelope.request_id, run.code)
            await call.writer.refuse(run, envelope.request_id)
            return
        await serve_reader(run, 0, self._pending_s, call.receive, call.writer)

    def _admit(self, envelope: Envelope, body: bytes) -> Run | Refusal:
        """Return the run to read, a new one or one that is under way already, or a refusal."""
        if self.runs.is_buried(envelope.request_id, envelope.attempt):
            message = "this try arrived after its sender was told that it did not run"
            return Refusal(RefusalCode.CANCELLED, message, Ran.NO)
        known = self.runs.get(envelope.request_id)
        refused_after_wait = known is not None and known.refused_unrun
        if known is not None and not refused_after_wait:
            return known
        now_s = time.monotonic()
        self.admission.load.merge(envelope.loads, now_s)
        decision = self.admission.offer(_work_of(envelope), now_s)
        if isinstance(decision, Refuse):
            return decision.refusal
        run = Run(envelope, body, FrameLog(self._log_bytes(envelope)))
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
        await serve_reader(run, attach.after, self._pending_s, call.receive, call.writer)

    def _not_here(self, attach: Attach) -> Refusal:
        """Answer for a run that is not known, truthfully.

        A request that this incarnation has never seen did not run, and won't: the tombstone meets
        a late arrival. Of what another incarnation did nothing is known, nor of a run that ended
        and is no longer kept.
        """
        if attach.resume:
            message = "expected a stream that is still kept; it ended, or never was here"
            return Refusal(RefusalCode.NOT_FOUND, message, Ran.UNKNOWN)
        now_s = time.monotonic()
        absent = self.runs.never_came(attach.request_id, now_s - attach.age_s)
        buried = absent and self.runs.bury(attach.request_id, attach.attempt, now_s)
        if buried and attach.incarnation == self.incarnation:
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
            self.runs.bury(cancel.request_id, cancel.attempt, time.monotonic())
        elif run.envelope.account == cancel.account and run.ended_s is None:
            self._hang_up(run)
        await call.writer.done()

    @staticmethod
    def _hang_up(run: Run) -> None:
        """End work that nobody can want any more; a stream may still be resumed for a while."""
        if run.may_be_cut and not run.envelope.streamed:
            run.scope.cancel()

    async def _handle_drain(self, call: Call) -> None:
        try:
            drain = decode(await call.body(), Drain)
        except ValueError as error:
            await call.writer.refuse(Refusal(RefusalCode.BAD_REQUEST, str(error), Ran.NO), "")
            return
        self.admission.leaving = drain.leaving
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
                if run.reader is not None and run.streaming:
                    run.reader.beat_if_quiet(run.changed)
            for run in self.runs.expire(time.monotonic(), self._service.resume_s):
                run.scope.cancel()

    async def _execute(self, run: Run) -> None:
        request_id = run.envelope.request_id
        try:
            with run.scope:
                await run.decided.wait()
                if run.refusal is None:
                    self.timeline.add("started", request_id)
                    await self._endpoint.carry(run, self._name(request_id))
            if run.scope.cancelled_caught and run.ran is not Ran.NO:
                await self._endpoint.cancel(request_id)
        finally:
            self.timeline.add("ended", request_id)
            self.admission.finish(request_id)
            run.end(time.monotonic())
            self._tick()

    def _name(self, request_id: str) -> StreamName:
        return StreamName(self.file.endpoint_id, self.incarnation, request_id)


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
