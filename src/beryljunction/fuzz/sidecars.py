"""A sidecar without sockets: the real systems, wired as the shell wires them."""

import random
from collections.abc import Callable

import attrs

from beryljunction.fuzz.network import (
    AnswerReply,
    AppendCall,
    AppendReply,
    AttachCall,
    FramesReply,
    HelloCall,
    HelloReply,
    KeyCall,
    KeyReply,
    Message,
    MovedCall,
    Network,
    RefusalReply,
    RunCall,
)
from beryljunction.fuzz.oracle import EngineRun, Oracle
from beryljunction.outcomes import ExecutionStatus, Refusal, RefusalCode
from beryljunction.streams import DONE, FrameNumberer, ReplayBuffer, StreamId, parse_event_id
from beryljunction.systems import (
    AdmissionController,
    AdmissionLimits,
    AdmissionRefused,
    AlreadyRunning,
    Arrival,
    ChatDirectory,
    ClaimBatch,
    ClaimLimits,
    FirstClaim,
    KeyClaimResolver,
    KeyLost,
    KeyVerdict,
    KeyWon,
    LedgerLimits,
    LoadTracker,
    OutcomeAnswer,
    Replay,
    RequestTombstones,
    TicketClaimRequest,
    TicketLedger,
    TicketMint,
    TombstoneLimits,
    body_digest,
    claim_refusal,
    key_refusal,
)
from beryljunction.tables import Answer, SidecarRequest, Stamp

__all__ = ["Job", "Limits", "Sidecar", "SERVICE"]

SERVICE = "ledger"
_RESUME_S = 15.0
_APPEND_TIMEOUT_S = 2.0
_LOG = "log"
_FRAMES_BYTES = 10_000
_CHAT_TOKENS = 100
_COMMENT = b": still working"


@attrs.frozen
class Limits:
    """Bounds of the systems, small enough that a short history meets them."""

    ledger: LedgerLimits
    tombstones: TombstoneLimits
    claims: ClaimLimits
    admission: AdmissionLimits


@attrs.define(eq=False)
class Job:
    """One request at a sidecar, with the connections that wait for it."""

    call: RunCall
    name: StreamId
    numberer: FrameNumberer
    readers: set[tuple[str, int]]
    serial: str | None = None
    run: EngineRun | None = None
    produced: int = 0
    frames: ReplayBuffer = attrs.field(factory=lambda: ReplayBuffer(_FRAMES_BYTES))
    reply: AnswerReply | RefusalReply | None = None
    ended_s: float | None = None


class Sidecar:
    """One start of the sidecar in one slot, beside an engine that never forgets its runs."""

    def __init__(
        self,
        endpoint_id: str,
        incarnation: str,
        clock: Callable[[], float],
        network: Network,
        oracle: Oracle,
        mint: TicketMint,
        limits: Limits,
    ) -> None:
        self.endpoint_id = endpoint_id
        self.skew_s = 0.0
        self.was_set = False
        self.engine_refuses = False
        self.jobs: dict[str, Job] = {}
        self._clock = clock
        self._network = network
        self._oracle = oracle
        self._mint = mint
        self._incarnation = incarnation
        self._by_serial: dict[str, Job] = {}
        self._claiming: dict[str, tuple[str, int]] = {}
        self._append: tuple[float, ClaimBatch] | None = None
        self.ledger = TicketLedger(mint, endpoint_id, incarnation, clock(), limits.ledger)
        self.tombstones = RequestTombstones(endpoint_id, incarnation, clock(), limits.tombstones)
        self.claims = KeyClaimResolver(incarnation, limits.claims)
        self.admission = AdmissionController(
            limits.admission,
            LoadTracker(endpoint_id, incarnation),
            ChatDirectory(endpoint_id),
            rng=random.Random(0),
        )

    @property
    def now_s(self) -> float:
        """What this host's clock shows."""
        return self._clock() + self.skew_s

    @property
    def unfinished(self) -> list[Job]:
        """Requests that have been neither answered nor refused."""
        return [job for job in dict.fromkeys(self.jobs.values()) if job.ended_s is None]

    @property
    def is_claiming(self) -> bool:
        """Whether requests wait for the log to settle their key."""
        return bool(self._claiming)

    def set_clock(self, by_s: float) -> None:
        """Set the host's clock forward or back."""
        self.skew_s += by_s
        self.was_set = True

    def drain(self) -> None:
        """Begin a planned stop."""
        self.admission.leaving = True

    def handle(self, message: Message) -> None:
        """Take in one message."""
        content = message.content
        reader = (message.sender, message.connection)
        if isinstance(content, RunCall):
            self._run(content, reader)
        elif isinstance(content, AttachCall):
            self._attach(content, reader)
        elif isinstance(content, KeyCall):
            self._claim_key(content, reader)
        elif isinstance(content, MovedCall):
            self.admission.pointers.record_location(
                content.chat_key, content.endpoint_id, _CHAT_TOKENS, self.now_s
            )
        elif isinstance(content, HelloCall):
            self._reply(reader, HelloReply(self._stamp()))
        elif isinstance(content, AppendReply):
            self._append = None
            self.claims.append_ended(content.batch, content.is_taken, self.now_s)

    def tick(self, records: list[object] | None) -> None:
        """Let time pass; ``records`` is the log as far as it can be read, None while it is down."""
        self._tick_claims(records)
        for request_id, verdict in self.claims.tick(self.now_s):
            self._settle_key(self._claiming.pop(request_id), verdict)
        self._decide()
        self._forget_old()

    def produce(self, job: Job) -> None:
        """Let the engine produce the next piece of an answer."""
        assert job.run is not None
        piece = job.run.chunks[job.produced]
        job.produced += 1
        is_last = job.produced == len(job.run.chunks)
        if job.call.streamed:
            pieces = [_COMMENT, b"data: " + piece]
            self._frames(job, [*pieces, DONE] if is_last else pieces)
        if is_last:
            body = job.frames.read_after(0) if job.call.streamed else b"".join(job.run.chunks)
            self._finish(job, body)

    def resume_engine(self, job: Job) -> None:
        """Let the connection to the engine break, and take up the stream on a new one.

        The engine is asked for what follows the events that were numbered, as in the shell.
        """
        if job.run is None or not job.call.streamed:
            return
        job.produced = min(job.numberer.sequence, len(job.run.chunks) - 1)

    def break_engine(self, job: Job) -> None:
        """Let the connection to the engine break after the work has begun there."""
        ran = ExecutionStatus.YES if job.produced else ExecutionStatus.UNKNOWN
        code = RefusalCode.INCOMPLETE if job.produced else RefusalCode.ENDPOINT_FAILED
        refusal = Refusal(code, "the connection to the endpoint broke", ran)
        if job.serial is not None:
            self.ledger.fail(job.serial, refusal)
        self._refuse(job, refusal)

    def _run(self, call: RunCall, reader: tuple[str, int]) -> None:
        heard_age_s = call.heard_age_s
        if call.idempotent and self.tombstones.has_other_incarnation(call.heard):
            refusal = Refusal(
                RefusalCode.STALE_STAMP, "an earlier start", ExecutionStatus.UNKNOWN, 0.0
            )
            self._reply(reader, RefusalReply(self._stamp(), refusal))
            return
        arrival = self.tombstones.arrive(call.try_id, call.heard, heard_age_s, self.now_s)
        if arrival is Arrival.DUPLICATE:
            self._join(self.jobs.get(call.try_id), reader, 0)
            return
        if arrival is not Arrival.FRESH:
            self._reply(reader, RefusalReply(self._stamp(), _not_taken(arrival, call.idempotent)))
            return
        name = StreamId(self.endpoint_id, self._incarnation, call.try_id)
        job = self.jobs[call.try_id] = Job(call, name, FrameNumberer(name), {reader})
        if call.idempotent:
            self._admit(job)
        else:
            self._claim(job, call.ticket or "")

    def _claim_key(self, call: KeyCall, reader: tuple[str, int]) -> None:
        verdict = self.claims.submit(call.request_id, call.claim, self.now_s)
        if verdict is None:
            self._claiming[call.request_id] = reader
        else:
            self._settle_key(reader, verdict)

    def _settle_key(self, reader: tuple[str, int], verdict: KeyVerdict) -> None:
        if isinstance(verdict, KeyWon | KeyLost):
            self._reply(reader, KeyReply(self._stamp(), verdict.ticket))
        else:
            self._reply(reader, RefusalReply(self._stamp(), key_refusal(verdict)))

    def _claim(self, job: Job, ticket: str) -> None:
        call = job.call
        digest = body_digest(call.body.encode())
        request = TicketClaimRequest(
            call.account,
            digest,
            call.request_id,
            call.wait_s,
            call.heard,
            call.heard_age_s,
            call.candidates,
        )
        claim = self.ledger.claim(ticket, request, self.now_s)
        if isinstance(claim, FirstClaim):
            job.serial = claim.serial
            self._by_serial[claim.serial] = job
            self._admit(job)
        elif isinstance(claim, AlreadyRunning):
            self._follow(job, self._by_serial[claim.serial])
        elif isinstance(claim, Replay) and claim.answer is not None:
            self._replay(job, claim.answer.body)
        else:
            refusal = claim_refusal(claim)
            assert refusal is not None
            self._refuse(job, refusal)

    def _admit(self, job: Job) -> None:
        call = job.call
        work = SidecarRequest(
            call.try_id,
            call.account,
            self.now_s,
            self.now_s + call.wait_s,
            idempotent=call.idempotent,
            last_resort=call.last_resort,
            chat_key=call.chat_key,
            ignore_pointer=call.ignore_pointer,
        )
        decision = self.admission.offer(work, self.now_s)
        if isinstance(decision, AdmissionRefused):
            self._give_up(job, decision.refusal)
            return
        self._oracle.accepted(self.endpoint_id, self.is_leaving)
        self._decide()

    def _decide(self) -> None:
        """Start or refuse what waits; as in the shell, at once when a request has arrived."""
        for decision in self.admission.tick(self.now_s):
            job = self.jobs.get(decision.request_id)
            if job is None or job.ended_s is not None:
                continue
            if isinstance(decision, AdmissionRefused):
                self._give_up(job, decision.refusal)
            else:
                self._start(job)

    @property
    def is_leaving(self) -> bool:
        """Whether a planned stop has begun."""
        return self.admission.leaving

    def _start(self, job: Job) -> None:
        late = Refusal(RefusalCode.DEADLINE, "its deadline passed", ExecutionStatus.NO)
        if job.serial is not None and not self.ledger.start(job.serial, self.now_s):
            self._give_up(job, late)
            return
        if self.engine_refuses:
            self.engine_refuses = False
            refusal = Refusal(
                RefusalCode.ENDPOINT_FAILED, "connection refused", ExecutionStatus.NO, 1.0
            )
            if job.serial is not None:
                self.ledger.fail(job.serial, refusal)
            self._give_up(job, refusal)
            return
        is_timed = job.serial is not None and not self.was_set
        latest_s = job.call.latest_s if is_timed else None
        job.run = self._oracle.run(job.call.try_id, job.call.body, latest_s, self._clock())

    def _give_up(self, job: Job, refusal: Refusal) -> None:
        """Refuse what has not started; a ticket is retired and its successor named."""
        if job.serial is None:
            self._refuse(job, refusal)
            return
        retired = self.ledger.retire(job.serial, job.call.account, job.call.candidates)
        named = claim_refusal(retired) if retired.successor is not None else None
        self._refuse(job, named or refusal)

    def _refuse(self, job: Job, refusal: Refusal) -> None:
        self._end(job, RefusalReply(self._stamp(), refusal))

    def _finish(self, job: Job, body: bytes) -> None:
        if job.serial is not None:
            self.ledger.finish(job.serial, Answer(200, (), body))
        self._end(job, None if job.call.streamed else AnswerReply(self._stamp(), body))

    def _replay(self, job: Job, body: bytes) -> None:
        if not job.call.streamed:
            self._end(job, AnswerReply(self._stamp(), body))
            return
        name = _name_of(body)
        for reader in job.readers:
            self._reply(reader, FramesReply(self._stamp(), name, body))
        self._end(job, None)

    def _end(self, job: Job, reply: AnswerReply | RefusalReply | None) -> None:
        job.reply = reply
        job.ended_s = self.now_s
        self.admission.finish(job.call.try_id)
        if reply is not None:
            for reader in job.readers:
                self._reply(reader, reply)

    def _frames(self, job: Job, pieces: list[bytes]) -> None:
        before = job.frames.last_sequence
        job.frames.append(job.numberer.add_ids(pieces))
        for reader in job.readers:
            self._reply(reader, FramesReply(self._stamp(), job.name, job.frames.read_after(before)))

    def _follow(self, job: Job, other: Job) -> None:
        """Join a request to the one that runs under the same ticket."""
        self.jobs[job.call.try_id] = other
        for reader in job.readers:
            self._join(other, reader, 0)

    def _resume(self, call: AttachCall, reader: tuple[str, int]) -> None:
        """Give a caller that came back the rest of its stream; its older readers are gone."""
        job = self.jobs.get(call.try_id)
        if job is None or job.call.account != call.resumed_by or not job.call.streamed:
            refusal = Refusal(RefusalCode.NOT_FOUND, "not kept", ExecutionStatus.UNKNOWN)
            self._reply(reader, RefusalReply(self._stamp(), refusal))
        elif not job.frames.can_resume_after(call.last):
            refusal = Refusal(RefusalCode.INCOMPLETE, "no longer kept", ExecutionStatus.YES)
            self._reply(reader, RefusalReply(self._stamp(), refusal))
        else:
            job.readers.clear()
            self._join(job, reader, call.last)

    def _attach(self, call: AttachCall, reader: tuple[str, int]) -> None:
        if call.resumed_by:
            self._resume(call, reader)
            return
        heard_age_s = call.heard_age_s
        asked = self.tombstones.query_outcome(call.try_id, call.heard, heard_age_s, self.now_s)
        job = self.jobs.get(call.try_id)
        if asked is OutcomeAnswer.SEEN and job is not None:
            self._join(job, reader, call.last)
            return
        refusal = Refusal(RefusalCode.OUTCOME_UNKNOWN, "not known here", ExecutionStatus.UNKNOWN)
        if asked is OutcomeAnswer.NOT_RUN:
            refusal = Refusal(RefusalCode.ENDPOINT_FAILED, "never arrived", ExecutionStatus.NO)
        self._reply(reader, RefusalReply(self._stamp(), refusal))

    def _join(self, job: Job | None, reader: tuple[str, int], last: int) -> None:
        if job is None:
            return
        job.readers.add(reader)
        if job.frames.can_resume_after(last):
            self._reply(reader, FramesReply(self._stamp(), job.name, job.frames.read_after(last)))
        if job.reply is not None:
            self._reply(reader, job.reply)

    def _tick_claims(self, records: list[object] | None) -> None:
        now_s = self.now_s
        if records is None:
            self.claims.log_failed(now_s)
            return
        for offset in range(self.claims.next_offset, len(records)):
            self.claims.apply(offset, records[offset], now_s)
        batch = self.claims.next_batch(now_s)
        if batch is not None:
            self._append = (now_s + _APPEND_TIMEOUT_S, batch)
            self._network.send(_LOG, self.endpoint_id, 0, AppendCall(self.endpoint_id, batch))
        elif self._append is not None and self._append[0] <= now_s:
            _, lost = self._append
            self._append = None
            self.claims.append_ended(lost, False, now_s)

    def _forget_old(self) -> None:
        until_s = self.now_s - _RESUME_S
        for try_id, job in list(self.jobs.items()):
            if job.ended_s is not None and job.ended_s < until_s:
                del self.jobs[try_id]
                if job.serial is not None:
                    self._by_serial.pop(job.serial, None)

    def _stamp(self) -> Stamp:
        return self.ledger.stamp(self.now_s)

    def _reply(self, reader: tuple[str, int], content: object) -> None:
        self._network.send(reader[0], self.endpoint_id, reader[1], content)


def _not_taken(arrival: Arrival, is_idempotent: bool) -> Refusal:
    if arrival is Arrival.TOO_OLD:
        return Refusal(
            RefusalCode.OUTCOME_UNKNOWN, "arrived too late to tell", ExecutionStatus.UNKNOWN
        )
    # The ticket has not been looked at, so the refusal speaks of this try alone.
    code = RefusalCode.OVERLOADED if is_idempotent else RefusalCode.STALE_STAMP
    return Refusal(code, "arrived too late", ExecutionStatus.NO, 1.0)


def _name_of(frames: bytes) -> StreamId:
    """Return whose frames a kept answer holds: those of the try that ran."""
    event_id = frames.partition(b"id: ")[2].partition(b"\n")[0].decode()
    position = parse_event_id(event_id)
    assert position is not None
    return position[0]
