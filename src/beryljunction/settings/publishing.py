"""State machine that publishes one change and determines its outcome."""

import random

import attrs

from beryljunction.settings.changes import Accepted, Change, Refused
from beryljunction.settings.state import AppliedRecord
from beryljunction.stores.log import Appended, AppendOutcome, AppendRefused

__all__ = [
    "AppendNow",
    "ChangeRefused",
    "InForce",
    "NotPublished",
    "OutcomeUnknown",
    "PublishOutcome",
    "PublishStateMachine",
    "PublishStep",
    "WaitAndRead",
]

_RETRY_S = 0.5


@attrs.frozen
class InForce:
    """The change was accepted."""

    change_id: str
    version: int


@attrs.frozen
class ChangeRefused:
    """Every reader refused the change."""

    change_id: str
    verdict: Refused


@attrs.frozen
class NotPublished:
    """The change is not on the log and will not be appended later."""

    change_id: str
    reason: str


@attrs.frozen
class OutcomeUnknown:
    """The change may be on the log; look it up by its id once the log responds again."""

    change_id: str
    reason: str


PublishOutcome = InForce | ChangeRefused | NotPublished | OutcomeUnknown


@attrs.frozen
class AppendNow:
    """Append the change."""


@attrs.frozen
class WaitAndRead:
    """Wait, then read the log from the state's version on."""

    wait_s: float


PublishStep = AppendNow | WaitAndRead | PublishOutcome


class PublishStateMachine:
    """Decides the next step for one change.

    The log may respond late, or append the record although its response is lost, while other
    operators publish concurrently. An operator must not be told "refused" about a change that
    comes into force later, nor overwrite a newer value by publishing twice. After a lost response
    the record is looked up by its id; if it is not there, it is appended again with the same id
    and base. This is safe because the first copy decides: if it was accepted, its edit conflicts
    with the second copy, and if it conflicted with another change, so does the second copy.
    """

    def __init__(self, change: Change, deadline_s: float, rng: random.Random) -> None:
        self.change = change
        self._deadline_s = deadline_s
        self._rng = rng
        self._outcome: PublishOutcome | None = None
        self._may_be_on_log = False
        self._next_append_s = 0.0
        self._has_read_to_end = True
        self._reason = "no response from the log"

    def on_append_outcome(self, outcome: AppendOutcome, now_s: float) -> None:
        """Process the log's response to an append."""
        if isinstance(outcome, Appended):
            self._may_be_on_log = True
            self._reason = f"appended to the log at offset {outcome.offset}, but not read back yet"
            self._next_append_s = self._deadline_s
            return
        self._reason = outcome.reason
        pause_s = outcome.retry_after_s if isinstance(outcome, AppendRefused) else _RETRY_S
        self._next_append_s = now_s + pause_s * (1.0 + self._rng.random())
        if not isinstance(outcome, AppendRefused):
            self._may_be_on_log = True
            self._has_read_to_end = False

    def on_record_applied(self, applied: AppliedRecord) -> None:
        """Process a record that was applied to the state; the first one with this id decides."""
        if applied.change_id != self.change.change_id or self._outcome is not None:
            return
        if isinstance(applied.verdict, Accepted):
            self._outcome = InForce(applied.change_id, applied.verdict.version)
        elif isinstance(applied.verdict, Refused):
            self._outcome = self._outcome_of_refusal(applied.verdict)

    def on_log_end(self) -> None:
        """Note that the log was read to its end."""
        self._has_read_to_end = True

    def next_step(self, now_s: float) -> PublishStep:
        """Return the next step, or the outcome."""
        if self._outcome is not None:
            return self._outcome
        if now_s >= self._deadline_s:
            if self._may_be_on_log:
                return OutcomeUnknown(self.change.change_id, self._reason)
            return NotPublished(self.change.change_id, self._reason)
        if self._has_read_to_end and now_s >= self._next_append_s:
            return AppendNow()
        return WaitAndRead(0.1 * (1.0 + self._rng.random()))

    def _outcome_of_refusal(self, verdict: Refused) -> PublishOutcome:
        own_conflicts = [c for c in verdict.conflicts if c.change_id == self.change.change_id]
        if own_conflicts:
            return InForce(self.change.change_id, own_conflicts[0].version)
        return ChangeRefused(self.change.change_id, verdict)
