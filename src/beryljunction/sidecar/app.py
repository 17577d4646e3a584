"""The process beside an endpoint: admits, queues, runs and relays."""

import hmac
import time
import uuid

import anyio
import anyio.abc
import httpcore

from beryljunction.outcomes import Ran, Refusal, RefusalCode
from beryljunction.servers import Receive, Scope, Send, client_pool, read_body, respond
from beryljunction.settings import FleetView, SidecarFile
from beryljunction.sidecar.runs import Run
from beryljunction.streams import FrameCutter, FrameNumberer
from beryljunction.systems import (
    AdmissionLimits,
    AdmissionSystem,
    LoadSystem,
    PointerSystem,
    Refuse,
)
from beryljunction.tables import Work
from beryljunction.timeline import Timeline
from beryljunction.wire import (
    ENVELOPE_HEADER,
    FLEET_KEY_HEADER,
    MOVED_PATH,
    RUN_PATH,
    ChatMoved,
    Envelope,
    decode,
    refusal_body,
)

__all__ = ["SidecarApp"]

_TICK_S = 0.05
_HOP_HEADERS = frozenset(
    (b"connection", b"transfer-encoding", b"content-length", b"keep-alive", b"date", b"server")
)


class SidecarApp:
    """ASGI application of a sidecar; decisions are left to its systems."""

    def __init__(self, file: SidecarFile, view: FleetView) -> None:
        self.file = file
        self.timeline = Timeline(file.process.host, file.process.availability_zone)
        incarnation = uuid.uuid4().hex[:8]
        self.admission = AdmissionSystem(
            AdmissionLimits(),
            LoadSystem(file.endpoint_id, incarnation),
            PointerSystem(file.endpoint_id),
        )
        self.runs: dict[str, Run] = {}
        self._pool = client_pool()
        self._group: anyio.abc.TaskGroup | None = None
        self._fleet_key = file.process.fleet_key.encode()
        self.apply(view)

    def apply(self, view: FleetView) -> None:
        """Put settings in force."""
        self.view = view
        service = view.services[self.file.service]
        self.admission.limits = AdmissionLimits(
            load_multiple=service.load_multiple,
            floor_running=service.floor_running,
            max_running=service.max_running,
            max_waiting=service.max_waiting,
            max_waiting_per_account=service.max_waiting_per_account,
            quantum_tokens=service.quantum_tokens,
        )
        self.admission.weights = {name: row.weight for name, row in view.accounts.items()}

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Work until cancelled."""
        async with self._pool, anyio.create_task_group() as self._group:
            task_status.started()
            while True:
                await anyio.sleep(_TICK_S)
                self._tick()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request of an entry."""
        headers = dict(scope["headers"])
        if not hmac.compare_digest(headers.get(FLEET_KEY_HEADER, b""), self._fleet_key):
            refusal = Refusal(RefusalCode.UNAUTHENTICATED, "expected the fleet's key", Ran.NO)
            await respond(send, 401, refusal_body(refusal, ""))
        elif scope["path"] == RUN_PATH:
            await self._handle_run(headers, receive, send)
        elif scope["path"] == MOVED_PATH:
            await self._handle_moved(receive, send)
        else:
            refusal = Refusal(RefusalCode.NOT_FOUND, f"no such path {scope['path']}", Ran.NO)
            await respond(send, 404, refusal_body(refusal, ""))

    async def _handle_moved(self, receive: Receive, send: Send) -> None:
        body = await read_body(receive, self.view.limits.header_bytes)
        moved = decode(body or b"", ChatMoved)
        now_s = time.monotonic()
        self.admission.pointers.placed(moved.chat_key, moved.endpoint_id, moved.tokens, now_s)
        await respond(send, 204, b"")

    async def _handle_run(self, headers: dict[bytes, bytes], receive: Receive, send: Send) -> None:
        envelope = decode(headers[ENVELOPE_HEADER], Envelope)
        body = await read_body(receive, self.view.limits.body_bytes)
        if body is None:
            return
        run = Run(envelope, body, sink=send)
        self.admission.load.merge(envelope.loads, time.monotonic())
        decision = self.admission.offer(_work_of(envelope), time.monotonic())
        if isinstance(decision, Refuse):
            self.timeline.add("refused", envelope.request_id, decision.refusal.code)
            await run.write_refusal(decision.refusal)
            return
        self.runs[envelope.request_id] = run
        assert self._group is not None
        self._group.start_soon(self._execute, run)
        self._tick()
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch, run, receive)
            await run.ended.wait()
            group.cancel_scope.cancel()

    @staticmethod
    async def _watch(run: Run, receive: Receive) -> None:
        """Cancel a run whose reader hung up."""
        while (await receive())["type"] != "http.disconnect":
            pass
        run.sink = None
        run.scope.cancel()

    def _tick(self) -> None:
        for decision in self.admission.tick(time.monotonic()):
            run = self.runs.get(decision.request_id)
            if run is None:
                continue
            if isinstance(decision, Refuse):
                run.refusal = decision.refusal
            run.decided.set()

    async def _execute(self, run: Run) -> None:
        request_id = run.envelope.request_id
        try:
            with run.scope:
                await run.decided.wait()
                if run.refusal is not None:
                    await run.write_refusal(run.refusal)
                else:
                    self.timeline.add("started", request_id)
                    await self._relay(run)
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            await run.write_refusal(_failure(error))
        finally:
            self.timeline.add("ended", request_id)
            self.admission.finish(request_id)
            self.runs.pop(request_id, None)
            run.ended.set()
            self._tick()

    async def _relay(self, run: Run) -> None:
        envelope = run.envelope
        async with self._pool.stream(
            envelope.method,
            self.file.endpoint_address + envelope.path,
            headers=[*envelope.headers, ("x-request-id", envelope.request_id)],
            content=run.body,
        ) as response:
            if envelope.streamed and response.status == 200:
                await self._relay_stream(run, response)
                return
            body = await response.aread()
            kept = [(k, v) for k, v in response.headers if k.lower() not in _HOP_HEADERS]
            kept.append((b"content-length", b"%d" % len(body)))
            await run.write_answer(response.status, kept, body)

    async def _relay_stream(self, run: Run, response: httpcore.Response) -> None:
        cutter = FrameCutter()
        numberer = FrameNumberer(f"{self.file.endpoint_id}.{run.envelope.request_id}")
        async for chunk in response.aiter_stream():
            frames = [numberer.number(frame) for frame in cutter.feed(chunk)]
            if frames:
                self.admission.load.speed.note(len(frames))
                await run.write_frames(frames)
        if numberer.done and not cutter.partial:
            await run.write_end()
        else:
            message = "the endpoint ended its stream early; the answer is incomplete"
            await run.write_refusal(Refusal(RefusalCode.INCOMPLETE, message, Ran.YES))


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


def _failure(error: Exception) -> Refusal:
    if isinstance(error, (httpcore.ConnectError, httpcore.ConnectTimeout)):
        message = "the endpoint did not take the connection; no byte of the request was sent"
        return Refusal(RefusalCode.ENDPOINT_FAILED, message, Ran.NO, 1.0)
    message = f"the connection to the endpoint broke: {type(error).__name__}"
    return Refusal(RefusalCode.ENDPOINT_FAILED, message, Ran.UNKNOWN)
