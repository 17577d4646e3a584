"""The runs of one endpoint: what is taken, started, kept, ended and forgotten."""

import time

import anyio
import anyio.abc
import attrs

from beryljunction.clocks import boot_time_s
from beryljunction.outcomes import Ran, Refusal, RefusalCode
from beryljunction.servers import client_pool
from beryljunction.settings import FleetView, ServiceSettings, SidecarFile
from beryljunction.sidecar.endpoint import EndpointClient
from beryljunction.sidecar.kv import KvClient
from beryljunction.sidecar.ledger import RunLedger
from beryljunction.sidecar.runs import Run, RunTable
from beryljunction.streams import FrameLog, StreamName
from beryljunction.systems import (
    AdmissionLimits,
    AdmissionSystem,
    AlreadyRunning,
    Arrival,
    Asked,
    LoadSystem,
    PointerSystem,
    Refuse,
    Replay,
    TicketLedger,
    TicketMint,
    TombstoneSystem,
    claim_refusal,
)
from beryljunction.systems import Run as Claimed
from beryljunction.tables import Answer, Prefix, PrefixTable, Stamp, Work
from beryljunction.timeline import Timeline
from beryljunction.watches import WatchList
from beryljunction.wire import Attach, Cancel, Envelope

__all__ = ["RunKeeper"]

_TICK_S = 0.05
_ENGINE = "engine"
_LATE = "this try arrived after its sender was told that it did not run; it will not run"
_NOT_TAKEN = {
    Arrival.BURIED: Refusal(RefusalCode.CANCELLED, _LATE, Ran.NO),
    Arrival.CLOSED: Refusal(RefusalCode.OVERLOADED, "too many requests; ask again", Ran.NO, 1.0),
    Arrival.TOO_OLD: Refusal(
        RefusalCode.OUTCOME_UNKNOWN, "arrived too late to tell whether it was here", Ran.UNKNOWN
    ),
}


def _not_taken(arrival: Arrival, envelope: Envelope) -> Refusal:
    """Refuse a try that the tombstones do not let in.

    Of the ticket it says nothing, which was not looked at: an earlier try may have run, and a "no"
    for this one would deny that. So its sender is to send again under a fresh stamp.
    """
    refusal = _NOT_TAKEN[arrival]
    if envelope.idempotent or refusal.ran is not Ran.NO:
        return refusal
    return attrs.evolve(refusal, code=RefusalCode.STALE_STAMP)


class RunKeeper:
    """Takes requests, runs them at the endpoint and keeps their answers for their readers.

    Args:
        incarnation: Names this process's life.
    """

    def __init__(
        self, file: SidecarFile, view: FleetView, incarnation: str, timeline: Timeline
    ) -> None:
        name = (file.endpoint_id, incarnation, boot_time_s())
        self.tickets = TicketLedger(TicketMint(file.process.fleet_key.encode()), *name)
        self.tombstones = TombstoneSystem(*name)
        self.admission = AdmissionSystem(
            AdmissionLimits(),
            LoadSystem(file.endpoint_id, incarnation),
            PointerSystem(file.endpoint_id),
        )
        self.runs = RunTable()
        self.watches = WatchList()
        self._file = file
        self._incarnation = incarnation
        self._timeline = timeline
        self._ledger = RunLedger(self.tickets)
        self._pool = client_pool()
        speed = self.admission.load.speed
        self._endpoint = EndpointClient(self._pool, self.watches, file.endpoint_address, speed)
        self.kv = KvClient(self._pool, file.endpoint_address)
        self.prefixes = PrefixTable()
        self._group: anyio.abc.TaskGroup | None = None
        self.apply(view)

    def apply(self, view: FleetView) -> None:
        """Put settings in force."""
        self._view = view
        service = self.service
        self.admission.limits = AdmissionLimits.from_service(service)
        self.admission.weights = {name: row.weight for name, row in view.accounts.items()}
        self.admission.account_waiting = {
            account: own.max_waiting_per_account
            for (account, name), own in view.account_services.items()
            if name == self._file.service
        }
        self.runs.kept_total_bytes = view.limits.kept_total_bytes
        self._endpoint.silence_s = service.engine_silence_s
        self._endpoint.request_s = view.limits.request_s
        self._endpoint.answer_bytes = view.limits.answer_bytes

    @property
    def service(self) -> ServiceSettings:
        """Settings of the endpoint's service."""
        return self._view.services[self._file.service]

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Work until cancelled."""
        async with self._pool, anyio.create_task_group() as self._group:
            self._group.start_soon(self.watches.run)
            self._group.start_soon(self._keep)
            task_status.started()
            while True:
                await anyio.sleep(_TICK_S)
                self._tick()

    def accept(self, envelope: Envelope, body: bytes) -> Run | Answer | Refusal:
        """Return the run to read, a new one or one under way already, an answer or a refusal."""
        heard = Stamp.from_text(envelope.heard)
        if envelope.idempotent and self.tombstones.names_earlier_start(heard):
            message = "sent to an earlier start of this sidecar, which may have run it; send again"
            return Refusal(RefusalCode.STALE_STAMP, message, Ran.UNKNOWN, 0.0)
        try_id = _try_id(envelope)
        arrival = self.tombstones.arrive(try_id, heard, envelope.heard_age_s, boot_time_s())
        if arrival in _NOT_TAKEN:
            return _not_taken(arrival, envelope)
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
        work = _work_of(run.envelope, self._priority(run.envelope))
        decision = self.admission.offer(work, now_s)
        if isinstance(decision, Refuse):
            if run.serial is None:
                return decision.refusal
            return self._ledger.burn(run.serial, run.envelope, decision.refusal)
        self.runs.add(run)
        assert self._group is not None
        self._group.start_soon(self._execute, run)
        self._tick()
        return run

    def _priority(self, envelope: Envelope) -> int:
        """Return the priority of a client account at this service.

        Load: more runs than the engine batches, long work beside short. Harm: without it a
        programmer who waits for a first word stands behind a night's batch. It comes from the
        settings and not from callers, who would all ask for the highest. It can't starve others:
        the fair queue gives each account its places here whatever its priority, and the engine
        holds no more than those, so low priorities that wait there soon hold all the places that
        are not batched, and each end of a batched run then starts one of them.
        """
        return self._view.service_for(self._file.service, envelope.account).priority

    def _resume_s(self, run: Run) -> float:
        return self._view.service_for(self._file.service, run.envelope.account).resume_s

    def _engine_priority(self, run: Run) -> int | None:
        return self._priority(run.envelope) if self.service.kind == _ENGINE else None

    def _log_bytes(self, envelope: Envelope) -> int:
        """Bound of a stream's log; one that may not run again is kept whole for its retry."""
        if envelope.idempotent:
            return self.service.kept_bytes
        return self._view.limits.answer_bytes

    def find(self, attach: Attach) -> Run | Refusal:
        """Return the run that a reader wants to take up."""
        run = self.runs.get(attach.request_id)
        if run is None or run.envelope.account != attach.account:
            return self._not_here(attach)
        return run

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

    def hang_up(self, cancel: Cancel) -> None:
        """End work that nobody can want any more; a stream may still be resumed for a while."""
        run = self.runs.get(cancel.request_id)
        if run is None:
            stamp = self.tombstones.stamp(boot_time_s())
            self.tombstones.ask(_try_id(cancel), stamp, 0.0, boot_time_s())
            return
        is_over = run.ended_s is not None or run.envelope.account != cancel.account
        if not is_over and run.may_be_cut and not run.envelope.streamed:
            run.scope.cancel()

    def name(self, run: Run) -> StreamName:
        """Return the name of a run's stream."""
        return StreamName(self._file.endpoint_id, self._incarnation, run.envelope.request_id)

    def _tick(self) -> None:
        for decision in self.admission.tick(time.monotonic()):
            run = self.runs.get(decision.request_id)
            if run is None:
                continue
            if isinstance(decision, Refuse):
                run.refusal = decision.refusal
            run.decided.set()

    async def _keep(self) -> None:
        """Send heartbeats on quiet streams; end and forget runs that nobody reads any more."""
        while True:
            await anyio.sleep(self.service.heartbeat_s)
            for run in self.runs:
                for reader in run.readers if run.streaming else ():
                    reader.beat_if_quiet(run.changed)
            for run in self.runs.expire(time.monotonic(), self._resume_s):
                run.scope.cancel()

    async def _execute(self, run: Run) -> None:
        request_id = run.envelope.request_id
        started = False
        try:
            with run.scope:
                await run.decided.wait()
                started = run.refusal is None and self._ledger.start(run)
                if started:
                    self._timeline.add("started", request_id)
                    await self._endpoint.carry(run, self.name(run), self._engine_priority(run))
            if run.scope.cancelled_caught and run.ran is not Ran.NO:
                await self._endpoint.cancel(request_id)
        finally:
            self._timeline.add("ended", request_id)
            self.admission.finish(request_id)
            self._ledger.close(run, started)
            self._note_prefix(run.envelope, run.ran)
            run.end(time.monotonic())
            self._tick()

    def _note_prefix(self, envelope: Envelope, ran: Ran) -> None:
        """Remember by which name the engine knows a chat that it has cached now."""
        if envelope.chat_key is not None and envelope.chat_id and ran is Ran.YES:
            tokens = envelope.prompt_tokens + envelope.output_tokens
            now_s = time.monotonic()
            self.prefixes.put(Prefix(envelope.chat_key, envelope.chat_id, tokens, now_s))


def _try_id(message: Envelope | Attach | Cancel) -> str:
    """Name one try; a tombstone stops that one, not those that follow."""
    return f"{message.request_id}/{message.attempt}"


def _work_of(envelope: Envelope, priority: int) -> Work:
    now_s = time.monotonic()
    return Work(
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
