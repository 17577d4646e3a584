"""Life cycle of the runs of one endpoint, from acceptance until their answers expire."""

import time

import anyio
import anyio.abc
import attrs

from beryljunction.clocks import boot_time_s
from beryljunction.idle_timeouts import IdleTimeouts
from beryljunction.outcomes import ExecutionStatus, Refusal, RefusalCode
from beryljunction.servers import create_client_pool
from beryljunction.settings import ResolvedSettings, ServiceSettings, SidecarFile
from beryljunction.sidecar.endpoint_client import EndpointClient
from beryljunction.sidecar.kv import KvClient
from beryljunction.sidecar.run_tickets import RunTickets
from beryljunction.sidecar.runs import Run, RunTable
from beryljunction.streams import ReplayBuffer, StreamId
from beryljunction.systems import (
    AdmissionController,
    AdmissionLimits,
    AdmissionRefused,
    AlreadyRunning,
    Arrival,
    ChatDirectory,
    FirstClaim,
    LoadTracker,
    OutcomeAnswer,
    Replay,
    RequestTombstones,
    TicketLedger,
    TicketMint,
    claim_refusal,
)
from beryljunction.tables import Answer, Prefix, PrefixTable, SidecarRequest, Stamp
from beryljunction.timeline import Timeline
from beryljunction.wire import Attach, Cancel, Envelope

__all__ = ["RunManager"]

_TICK_S = 0.05
_ENGINE_KIND = "engine"
_TOMBSTONED_MESSAGE = (
    "this try arrived after its sender was told that it did not run; it will not run"
)
_ARRIVAL_REFUSALS = {
    Arrival.BURIED: Refusal(RefusalCode.CANCELLED, _TOMBSTONED_MESSAGE, ExecutionStatus.NO),
    Arrival.CLOSED: Refusal(
        RefusalCode.OVERLOADED, "too many requests; ask again", ExecutionStatus.NO, 1.0
    ),
    Arrival.TOO_OLD: Refusal(
        RefusalCode.OUTCOME_UNKNOWN,
        "arrived too late to tell whether it was here",
        ExecutionStatus.UNKNOWN,
    ),
}


def _arrival_refusal(arrival: Arrival, envelope: Envelope) -> Refusal:
    """Return the refusal of an attempt that the tombstones reject.

    The ticket of a non-idempotent request has not been checked at this point. An earlier attempt
    under it may have run, which a plain "not run" would deny, so the sender is told to send the
    request again with a new stamp.
    """
    refusal = _ARRIVAL_REFUSALS[arrival]
    if envelope.idempotent or refusal.ran is not ExecutionStatus.NO:
        return refusal
    return attrs.evolve(refusal, code=RefusalCode.STALE_STAMP)


class RunManager:
    """Accepts requests, runs them at the endpoint and keeps their answers for the readers.

    Args:
        incarnation: Unique id of this process start.
    """

    def __init__(
        self, file: SidecarFile, view: ResolvedSettings, incarnation: str, timeline: Timeline
    ) -> None:
        start = (file.endpoint_id, incarnation, boot_time_s())
        self.tickets = TicketLedger(TicketMint(file.process.fleet_key.encode()), *start)
        self.tombstones = RequestTombstones(*start)
        self.admission = AdmissionController(
            AdmissionLimits(),
            LoadTracker(file.endpoint_id, incarnation),
            ChatDirectory(file.endpoint_id),
        )
        self.runs = RunTable()
        self.idle_timeouts = IdleTimeouts()
        self._file = file
        self._incarnation = incarnation
        self._timeline = timeline
        self._ledger = RunTickets(self.tickets)
        self._pool = create_client_pool()
        speed = self.admission.load.speed
        self._endpoint = EndpointClient(
            self._pool, self.idle_timeouts, file.endpoint_address, speed
        )
        self.kv = KvClient(self._pool, file.endpoint_address)
        self.prefixes = PrefixTable()
        self._group: anyio.abc.TaskGroup | None = None
        self.apply_settings(view)

    def apply_settings(self, view: ResolvedSettings) -> None:
        """Apply new settings."""
        self._view = view
        service = self.service
        self.admission.limits = AdmissionLimits.from_service(service)
        self.admission.weights = {name: row.weight for name, row in view.accounts.items()}
        self.admission.max_waiting_by_account = {
            account: service_settings.max_waiting_per_account
            for (account, name), service_settings in view.account_services.items()
            if name == self._file.service
        }
        self.runs.kept_total_bytes = view.limits.kept_total_bytes
        self._endpoint.silence_s = service.engine_silence_s
        self._endpoint.request_s = view.limits.request_s
        self._endpoint.answer_bytes = view.limits.answer_bytes

    @property
    def service(self) -> ServiceSettings:
        """Settings of the service that the endpoint belongs to."""
        return self._view.services[self._file.service]

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Run the background tasks until cancelled."""
        async with self._pool, anyio.create_task_group() as self._group:
            self._group.start_soon(self.idle_timeouts.run)
            self._group.start_soon(self._send_heartbeats_and_expire)
            task_status.started()
            while True:
                await anyio.sleep(_TICK_S)
                self._tick()

    def accept(self, envelope: Envelope, body: bytes) -> Run | Answer | Refusal:
        """Return a new or existing run to read, a stored answer or a refusal."""
        heard_stamp = Stamp.from_text(envelope.heard)
        if envelope.idempotent and self.tombstones.has_other_incarnation(heard_stamp):
            message = "sent to an earlier start of this sidecar, which may have run it; send again"
            return Refusal(RefusalCode.STALE_STAMP, message, ExecutionStatus.UNKNOWN, 0.0)
        attempt_id = _attempt_id(envelope)
        arrival = self.tombstones.arrive(
            attempt_id, heard_stamp, envelope.heard_age_s, boot_time_s()
        )
        if arrival in _ARRIVAL_REFUSALS:
            return _arrival_refusal(arrival, envelope)
        existing = self.runs.get(envelope.request_id)
        if existing is not None and not existing.ended_without_running:
            return existing
        if arrival is Arrival.DUPLICATE and envelope.ticket is None:
            message = "this try was here before and its answer is no longer kept"
            return Refusal(RefusalCode.OUTCOME_UNKNOWN, message, ExecutionStatus.UNKNOWN)
        if envelope.idempotent:
            return self._admit(Run(envelope, body, ReplayBuffer(self._frame_log_bytes(envelope))))
        return self._accept_non_idempotent(envelope, body)

    def _accept_non_idempotent(self, envelope: Envelope, body: bytes) -> Run | Answer | Refusal:
        """Accept a non-idempotent request; the ledger lets each ticket run at most once."""
        claim = self._ledger.claim(envelope, body)
        if isinstance(claim, Replay) and claim.answer is not None:
            return claim.answer
        if isinstance(claim, AlreadyRunning):
            return self._join_run(claim, envelope)
        if isinstance(claim, FirstClaim):
            run = Run(
                envelope, body, ReplayBuffer(self._frame_log_bytes(envelope)), serial=claim.serial
            )
            return self._admit(run)
        refusal = claim_refusal(claim)
        assert refusal is not None
        return refusal

    def _join_run(self, claim: AlreadyRunning, envelope: Envelope) -> Run | Refusal:
        run = self.runs.get(claim.request_id)
        if run is None:
            message = "the request runs here, and its run can't be read; ask again"
            return Refusal(RefusalCode.OUTCOME_UNKNOWN, message, ExecutionStatus.UNKNOWN, 1.0)
        self.runs.join(run, envelope.request_id)
        return run

    def _admit(self, run: Run) -> Run | Refusal:
        now_s = time.monotonic()
        self.admission.load.merge(run.envelope.loads, now_s)
        work = _work_of(run.envelope, self._priority(run.envelope))
        decision = self.admission.offer(work, now_s)
        if isinstance(decision, AdmissionRefused):
            if run.serial is None:
                return decision.refusal
            return self._ledger.retire(run.serial, run.envelope, decision.refusal)
        self.runs.add(run)
        assert self._group is not None
        self._group.start_soon(self._execute, run)
        self._tick()
        return run

    def _priority(self, envelope: Envelope) -> int:
        """Return the priority of a client account at this service.

        When the engine has more runs than it batches, an interactive request would otherwise wait
        behind long batch work. The priority comes from the settings, since callers would all ask
        for the highest. It cannot starve others: the fair queue gives each account its slots
        regardless of priority, and the engine holds only the runs in these slots. So runs of low
        priority that wait in the engine soon hold all slots that are not batched, and then each
        batched run that ends starts one of them.
        """
        return self._view.service_for(self._file.service, envelope.account).priority

    def _resume_s(self, run: Run) -> float:
        return self._view.service_for(self._file.service, run.envelope.account).resume_s

    def _engine_priority(self, run: Run) -> int | None:
        return self._priority(run.envelope) if self.service.kind == _ENGINE_KIND else None

    def _frame_log_bytes(self, envelope: Envelope) -> int:
        """Return the maximum size of a run's frame log.

        The log of a non-idempotent request holds the whole answer, since a retry must get it
        without a second run.
        """
        if envelope.idempotent:
            return self.service.kept_bytes
        return self._view.limits.answer_bytes

    def find_run(self, attach: Attach) -> Run | Refusal:
        """Return the run that a reader asks for, or a refusal."""
        run = self.runs.get(attach.request_id)
        if run is None or run.envelope.account != attach.account:
            return self._unknown_run_refusal(attach)
        return run

    def _unknown_run_refusal(self, attach: Attach) -> Refusal:
        """Return the refusal for an unknown run.

        It says "not run" only if a tombstone ensures that a late arrival will not run either.
        """
        if attach.resume:
            message = "expected a stream that is still kept; it ended, or never was here"
            return Refusal(RefusalCode.NOT_FOUND, message, ExecutionStatus.UNKNOWN)
        heard_stamp = Stamp.from_text(attach.heard)
        asked = self.tombstones.query_outcome(
            _attempt_id(attach), heard_stamp, attach.heard_age_s, boot_time_s()
        )
        if asked is OutcomeAnswer.NOT_RUN:
            message = "the request never arrived here and will be refused if it does"
            return Refusal(RefusalCode.ENDPOINT_FAILED, message, ExecutionStatus.NO)
        message = "the sidecar that was given the request is gone or has forgotten it"
        return Refusal(RefusalCode.OUTCOME_UNKNOWN, message, ExecutionStatus.UNKNOWN)

    def cancel(self, cancel: Cancel) -> None:
        """Cancel a run whose caller has disconnected.

        A stream continues, since its reader may still resume it for a while, and so does a
        non-idempotent run that may have started. An unknown request gets a tombstone.
        """
        run = self.runs.get(cancel.request_id)
        if run is None:
            stamp = self.tombstones.stamp(boot_time_s())
            self.tombstones.query_outcome(_attempt_id(cancel), stamp, 0.0, boot_time_s())
            return
        is_over = run.ended_s is not None or run.envelope.account != cancel.account
        if not is_over and run.may_be_cancelled and not run.envelope.streamed:
            run.scope.cancel()

    def stream_name(self, run: Run) -> StreamId:
        """Return the name of the stream of a run."""
        return StreamId(self._file.endpoint_id, self._incarnation, run.envelope.request_id)

    def _tick(self) -> None:
        for decision in self.admission.tick(time.monotonic()):
            run = self.runs.get(decision.request_id)
            if run is None:
                continue
            if isinstance(decision, AdmissionRefused):
                run.refusal = decision.refusal
            run.admission_decided.set()

    async def _send_heartbeats_and_expire(self) -> None:
        """Send heartbeats on idle streams, and cancel or remove runs without readers."""
        while True:
            await anyio.sleep(self.service.heartbeat_s)
            for run in self.runs:
                for reader in run.readers if run.streaming else ():
                    reader.request_heartbeat_if_idle(run.data_available)
            for run in self.runs.expire(time.monotonic(), self._resume_s):
                run.scope.cancel()

    async def _execute(self, run: Run) -> None:
        request_id = run.envelope.request_id
        started = False
        try:
            with run.scope:
                await run.admission_decided.wait()
                started = run.refusal is None and self._ledger.start(run)
                if started:
                    self._timeline.add("started", request_id)
                    await self._endpoint.execute(
                        run, self.stream_name(run), self._engine_priority(run)
                    )
            if run.scope.cancelled_caught and run.ran is not ExecutionStatus.NO:
                await self._endpoint.cancel(request_id)
        finally:
            self._timeline.add("ended", request_id)
            self.admission.finish(request_id)
            self._ledger.record_end(run, started)
            self._record_prefix(run.envelope, run.ran)
            run.end(time.monotonic())
            self._tick()

    def _record_prefix(self, envelope: Envelope, ran: ExecutionStatus) -> None:
        """Record the chat id under which the engine has cached a chat's prefix."""
        if envelope.chat_key is not None and envelope.chat_id and ran is ExecutionStatus.YES:
            tokens = envelope.prompt_tokens + envelope.output_tokens
            now_s = time.monotonic()
            self.prefixes.put(Prefix(envelope.chat_key, envelope.chat_id, tokens, now_s))


def _attempt_id(message: Envelope | Attach | Cancel) -> str:
    """Return the id of one attempt; a tombstone stops that attempt and no later ones."""
    return f"{message.request_id}/{message.attempt}"


def _work_of(envelope: Envelope, priority: int) -> SidecarRequest:
    now_s = time.monotonic()
    return SidecarRequest(
        request_id=envelope.request_id,
        account=envelope.account,
        arrived_s=now_s,
        deadline_s=now_s + envelope.wait_s,
        chat_key=envelope.chat_key,
        prompt_tokens=envelope.prompt_tokens,
        output_tokens=envelope.output_tokens,
        priority=priority,
        idempotent=envelope.idempotent,
        warm=envelope.warm,
        last_resort=envelope.last_resort,
        only_if_warm=envelope.only_if_warm,
        ignore_pointer=envelope.ignore_pointer,
    )
