"""What an operator's program does with a change until it can give a true answer."""

import random

import attrs

from beryljunction.settings.changes import Accepted, Change, Refused
from beryljunction.settings.reader import Judged
from beryljunction.stores.log import Appended, AppendOutcome, AppendRefused

__all__ = [
    "AppendNow",
    "InForce",
    "Lost",
    "NotPublished",
    "PublishAnswer",
    "PublishStep",
    "PublishSystem",
    "ReadOn",
    "Unknown",
]

_RETRY_S = 0.5


@attrs.frozen
class InForce:
    """The change was accepted."""

    change_id: str
    version: int


@attrs.frozen
class Lost:
    """The change was refused, at every reader alike."""

    change_id: str
    verdict: Refused


@attrs.frozen
class NotPublished:
    """The change is not on the log and won't appear there."""

    change_id: str
    reason: str


@attrs.frozen
class Unknown:
    """The change may be on the log; its id tells once the log answers again."""

    change_id: str
    reason: str


PublishAnswer = InForce | Lost | NotPublished | Unknown


@attrs.frozen
class AppendNow:
    """Append the change."""


@attrs.frozen
class ReadOn:
    """Wait, then read the log on from where the reader is."""

    wait_s: float


PublishStep = AppendNow | ReadOn | PublishAnswer


class PublishSystem:
    """Decides the next step for one change.

    Load: the log answers late, not at all, or after the record went in, while other operators race.
    Harm: an operator who is told "refused" and sees the change come into force later, or one who
    publishes it twice over somebody else's newer value. A record whose answer was lost is looked
    up by its id; when it is not there it is appended again under the same id and base. That is
    safe: whichever copy comes first decides, since its own edit is newer than the base of the
    second, and a conflict with the base never goes away.
    """

    def __init__(self, change: Change, deadline_s: float, rng: random.Random) -> None:
        self.change = change
        self._deadline_s = deadline_s
        self._rng = rng
        self._answer: PublishAnswer | None = None
        self._maybe_there = False
        self._next_append_s = 0.0
        self._looked = True
        self._reason = "no answer from the log"

    def take_append(self, outcome: AppendOutcome, now_s: float) -> None:
        """Take in what the log said to an append."""
        if isinstance(outcome, Appended):
            self._maybe_there = True
            self._reason = f"on the log at offset {outcome.offset}, not read back yet"
            self._next_append_s = self._deadline_s
            return
        self._reason = outcome.reason
        pause_s = outcome.retry_after_s if isinstance(outcome, AppendRefused) else _RETRY_S
        self._next_append_s = now_s + pause_s * (1.0 + self._rng.random())
        if not isinstance(outcome, AppendRefused):
            self._maybe_there = True
            self._looked = False

    def take_judged(self, judged: Judged) -> None:
        """Take in a record that the reader applied; the first with this id decides."""
        if judged.change_id != self.change.change_id or self._answer is not None:
            return
        if isinstance(judged.verdict, Accepted):
            self._answer = InForce(judged.change_id, judged.verdict.version)
        elif isinstance(judged.verdict, Refused):
            self._answer = self._refused(judged.verdict)

    def take_end(self) -> None:
        """Take in that the reader has seen the log's end."""
        self._looked = True

    def next(self, now_s: float) -> PublishStep:
        """Return the next step, or the answer."""
        if self._answer is not None:
            return self._answer
        if now_s >= self._deadline_s:
            if self._maybe_there:
                return Unknown(self.change.change_id, self._reason)
            return NotPublished(self.change.change_id, self._reason)
        if self._looked and now_s >= self._next_append_s:
            return AppendNow()
        return ReadOn(0.1 * (1.0 + self._rng.random()))

    def _refused(self, verdict: Refused) -> PublishAnswer:
        own = [c for c in verdict.conflicts if c.change_id == self.change.change_id]
        if own:
            return InForce(self.change.change_id, own[0].version)
        return Lost(self.change.change_id, verdict)
