"""HTTP interface of a sidecar for the other processes of the fleet."""

import hmac
import ssl
import time
import uuid
from collections.abc import Mapping

import anyio
import anyio.abc
import httpcore

from beryljunction.clocks import boot_time_s
from beryljunction.graceful_stop import Stoppable
from beryljunction.outcomes import ExecutionStatus, Refusal, RefusalCode
from beryljunction.servers import Receive, Scope, Send, create_client_pool, read_body
from beryljunction.settings import ResolvedSettings, SidecarFile
from beryljunction.sidecar.calls import Call, Handler
from beryljunction.sidecar.control_routes import ControlRoutes
from beryljunction.sidecar.keys import KeyClaims
from beryljunction.sidecar.pointer_handover import pointers_by_successor, send_pointers
from beryljunction.sidecar.prefix_handover import PrefixReceiver, PrefixSender
from beryljunction.sidecar.readers import ReadRequest, serve_reader
from beryljunction.sidecar.run_manager import RunManager
from beryljunction.sidecar.writers import ResponseWriter
from beryljunction.stores import HttpLogClient
from beryljunction.systems import HandoverLimits, HandoverPlanner
from beryljunction.tables import Answer, EndpointTable
from beryljunction.timeline import HLC_HEADER, Timeline
from beryljunction.wire import (
    ATTACH_PATH,
    CANCEL_PATH,
    ENVELOPE_HEADER,
    FLEET_KEY_HEADER,
    PREFIX_PATH,
    RUN_PATH,
    Attach,
    Cancel,
    Envelope,
    SidecarStatus,
    decode,
)

__all__ = ["SidecarApp"]


class SidecarApp(Stoppable):
    """ASGI application of a sidecar; the decisions are made in `beryljunction.systems`.

    Args:
        routes: Additional control routes by path, such as the load exchange with peers.
        members: Known endpoints, among which the receivers of a handover are selected.
        tls: TLS settings for calls to other sidecars.
        fleet: Pool for those calls that counts them as control traffic. By default the app uses a
            pool of its own.

    Attributes:
        incarnation: Unique id of this process start. Runs are kept in memory only, so a restarted
            sidecar knows none of the earlier ones.
    """

    def __init__(
        self,
        file: SidecarFile,
        view: ResolvedSettings,
        routes: Mapping[str, Handler] | None = None,
        members: EndpointTable | None = None,
        tls: ssl.SSLContext | None = None,
        fleet: httpcore.AsyncConnectionPool | None = None,
    ) -> None:
        self.file = file
        self.incarnation = uuid.uuid4().hex[:12]
        self.timeline = Timeline(file.process.host, file.process.availability_zone)
        self.members = members if members is not None else EndpointTable()
        self.view = view
        self.run_manager = RunManager(file, view, self.incarnation, self.timeline)
        self.admission = self.run_manager.admission
        self.runs = self.run_manager.runs
        self._fleet_key = file.process.fleet_key.encode()
        self._own_pool = create_client_pool(tls)
        self._fleet_pool = fleet if fleet is not None else self._own_pool
        self._log_pool = create_client_pool()
        address = file.process.log_address
        log = HttpLogClient(address, self._log_pool) if address else None
        keys = KeyClaims(log, self.incarnation, file.process.log_retention_s)
        receiver = PrefixReceiver(self.admission, self.run_manager.prefixes, self.run_manager.kv)
        self.prefix_sender = self._create_prefix_sender()
        self._control = ControlRoutes(file, self.incarnation, self.run_manager, keys, self.timeline)
        self.routes: dict[str, Handler] = {
            RUN_PATH: self._handle_run,
            ATTACH_PATH: self._handle_attach,
            CANCEL_PATH: self._handle_cancel,
            PREFIX_PATH: receiver.handle,
            **self._control.routes(),
            **(routes or {}),
        }
        self._apply_handover_limits()

    def apply_settings(self, view: ResolvedSettings) -> None:
        """Apply new settings."""
        self.view = view
        self.run_manager.apply_settings(view)
        self._apply_handover_limits()

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Run the background tasks until cancelled."""
        async with self._own_pool, self._log_pool, anyio.create_task_group() as group:
            self._control.group = group
            await group.start(self.run_manager.run)
            group.start_soon(self.prefix_sender.run)
            task_status.started()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request from another process of the fleet."""
        headers = dict(scope["headers"])
        self.timeline.clock.update_from_header(headers.get(HLC_HEADER))
        writer = ResponseWriter(
            send, self.run_manager.tombstones.stamp(boot_time_s()), self.timeline.clock
        )
        handler = self.routes.get(scope["path"])
        if not hmac.compare_digest(headers.get(FLEET_KEY_HEADER, b""), self._fleet_key):
            refusal = Refusal(
                RefusalCode.UNAUTHENTICATED, "expected the fleet's key", ExecutionStatus.NO
            )
            await writer.refuse(refusal, "")
        elif handler is None:
            refusal = Refusal(
                RefusalCode.NOT_FOUND, f"no such path {scope['path']}", ExecutionStatus.NO
            )
            await writer.refuse(refusal, "")
        else:
            await handler(Call(headers, receive, writer))

    def status(self) -> SidecarStatus:
        """Return the current state of this sidecar."""
        return self._control.status()

    @property
    def in_flight(self) -> int:
        """Number of runs that wait, run or are kept for a reader that may reconnect."""
        return len(self.runs)

    def start_draining(self) -> None:
        """Refuse new requests; admitted ones continue."""
        self._control.stopping = True
        self.admission.leaving = True

    async def hand_over(self) -> None:
        """Send cached prefixes and chat pointers to the sidecars that get these chats next."""
        await self.prefix_sender.transfer_remaining()
        pointers = self.admission.pointers
        by_successor = pointers_by_successor(
            pointers, self.members, self.file.service, time.monotonic()
        )
        await send_pointers(self._fleet_pool, self._fleet_key, by_successor)
        self.timeline.add("handed_over", detail=str(sum(len(rows) for _, rows in by_successor)))

    def _create_prefix_sender(self) -> PrefixSender:
        return PrefixSender(
            HandoverPlanner(self.file.endpoint_id, self.file.service, self.file.process.region),
            self.admission,
            self.run_manager.prefixes,
            self.run_manager.kv,
            self._fleet_pool,
            self._fleet_key,
            lambda: self.members,
            self.timeline,
        )

    def _apply_handover_limits(self) -> None:
        service = self.run_manager.service
        self.prefix_sender.limit_s = service.handover_s
        self.prefix_sender.planner.limits = HandoverLimits(
            total_bytes=service.handover_bytes,
            token_bytes=service.kv_token_bytes,
            prefill_tokens_per_s=self.admission.limits.prefill_tokens_per_s,
        )

    @property
    def _pending_timeout_s(self) -> float:
        """Time after which a reader with no data is told to ask again.

        Half the silence timeout, so that the reader does not take the connection for broken.
        """
        return self.run_manager.service.silence_s / 2

    async def _handle_run(self, call: Call) -> None:
        try:
            envelope = decode(call.headers.get(ENVELOPE_HEADER, b""), Envelope)
        except ValueError as error:
            await call.writer.refuse(
                Refusal(RefusalCode.BAD_REQUEST, str(error), ExecutionStatus.NO), ""
            )
            return
        limits = self.view.limits
        body = await read_body(call.receive, limits.body_bytes, limits.body_s)
        if body is None:
            message = f"expected a whole body of at most {limits.body_bytes} bytes"
            refusal = Refusal(RefusalCode.TOO_LARGE, message, ExecutionStatus.NO)
            await call.writer.refuse(refusal, envelope.request_id)
            return
        await self._answer(call, envelope, body)

    async def _answer(self, call: Call, envelope: Envelope, body: bytes) -> None:
        result = self.run_manager.accept(envelope, body)
        if isinstance(result, Refusal):
            self.timeline.add("refused", envelope.request_id, result.code)
            await call.writer.refuse(result, envelope.request_id)
        elif isinstance(result, Answer):
            self.timeline.add("replayed", envelope.request_id)
            await call.writer.answer(result)
        else:
            read_request = ReadRequest(envelope.request_id, 0, self._pending_timeout_s)
            await serve_reader(
                result,
                self.run_manager.stream_name(result),
                read_request,
                call.receive,
                call.writer,
            )

    async def _handle_attach(self, call: Call) -> None:
        attach = await call.read_message(Attach)
        if attach is None:
            return
        run = self.run_manager.find_run(attach)
        if isinstance(run, Refusal):
            await call.writer.refuse(run, attach.request_id)
            return
        self.timeline.add("attached", attach.request_id, str(attach.after))
        read_request = ReadRequest(
            attach.request_id, attach.after, self._pending_timeout_s, exclusive=attach.resume
        )
        await serve_reader(
            run, self.run_manager.stream_name(run), read_request, call.receive, call.writer
        )

    async def _handle_cancel(self, call: Call) -> None:
        cancel = await call.read_message(Cancel)
        if cancel is not None:
            self.run_manager.cancel(cancel)
            await call.writer.done()
