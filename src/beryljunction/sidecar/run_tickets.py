"""Runs under tickets: each ticket runs at most once, even after retries and network failures."""

from beryljunction.clocks import boot_time_s
from beryljunction.outcomes import ExecutionStatus, Refusal, RefusalCode
from beryljunction.sidecar.runs import Run
from beryljunction.systems import TicketClaimRequest, TicketClaimResult, TicketLedger, body_digest
from beryljunction.tables import Answer, Stamp
from beryljunction.wire import Envelope

__all__ = ["RunTickets"]

_STREAM_HEADERS = ((b"content-type", b"text/event-stream"),)


class RunTickets:
    """Updates the ticket ledger as the runs of this sidecar start and end.

    A run claims its ticket before it is admitted, marks it as started just before the first byte
    is sent to the endpoint, and closes it with the answer or failure. The ticket of a run that
    does not start is retired ("burned" in refusals). The refusal then names its successor, the only
    ticket under which the request may be sent to another endpoint.
    """

    def __init__(self, ledger: TicketLedger) -> None:
        self._ledger = ledger

    def claim(self, envelope: Envelope, body: bytes) -> TicketClaimResult:
        """Claim the ticket of a request that has just arrived."""
        request = TicketClaimRequest(
            envelope.account,
            body_digest(envelope.method.encode(), envelope.path.encode(), body),
            envelope.request_id,
            envelope.wait_s,
            Stamp.from_text(envelope.heard),
            envelope.heard_age_s,
            _candidate_stamps(envelope),
        )
        return self._ledger.claim(envelope.ticket or "", request, boot_time_s())

    def retire(self, serial: str, envelope: Envelope, refusal: Refusal) -> Refusal:
        """Retire a ticket that has not started; return the refusal with its successor."""
        retired = self._ledger.retire(serial, envelope.account, _candidate_stamps(envelope))
        return Refusal(
            refusal.code,
            refusal.message,
            # A successor that was named earlier may already have been used by another attempt.
            (
                ExecutionStatus.NO
                if retired.fresh or retired.successor is None
                else ExecutionStatus.UNKNOWN
            ),
            refusal.retry_after_s,
            successor=retired.successor,
            pointer=refusal.pointer,
        )

    def start(self, run: Run) -> bool:
        """Mark the ticket of a run as running; return False if its deadline has passed."""
        if run.serial is None or self._ledger.start(run.serial, boot_time_s()):
            return True
        message = "its caller has been told that the outcome is unknown; it will not run"
        run.refusal = Refusal(RefusalCode.DEADLINE, message, ExecutionStatus.NO)
        return False

    def record_end(self, run: Run, started: bool) -> None:
        """Record how a run ended; the ticket of a run that provably did not run is retired."""
        if run.serial is None:
            return
        if not started:
            refusal = run.refusal or Refusal(RefusalCode.CANCELLED, "cancelled", ExecutionStatus.NO)
            run.refusal = self.retire(run.serial, run.envelope, refusal)
        elif run.answer is not None:
            self._ledger.finish(run.serial, run.answer)
        elif run.complete:
            self._ledger.finish(run.serial, _stream_answer(run))
        else:
            self._record_failure(run, run.serial)

    def _record_failure(self, run: Run, serial: str) -> None:
        message = "the run ended without an answer"
        refusal = run.refusal or Refusal(RefusalCode.ENDPOINT_FAILED, message, run.ran)
        self._ledger.fail(serial, refusal)
        if refusal.ran is ExecutionStatus.NO:
            run.refusal = self.retire(serial, run.envelope, refusal)


def _candidate_stamps(envelope: Envelope) -> tuple[Stamp, ...]:
    stamps = (Stamp.from_text(text) for text in envelope.candidates)
    return tuple(stamp for stamp in stamps if stamp is not None)


def _stream_answer(run: Run) -> Answer | None:
    """Return a stream as one answer for retries; None if its first frames were dropped."""
    if not run.log.can_resume_after(0):
        return None
    return Answer(200, _STREAM_HEADERS, run.log.read_after(0))
