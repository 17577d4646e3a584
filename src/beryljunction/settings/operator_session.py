"""Operations of an operator on the settings: read, validate, publish and find a change."""

import hashlib
import hmac
import random
import time
import uuid
from collections.abc import Awaitable, Callable

import anyio
import attrs

from beryljunction.settings.changes import (
    CHANGES_STREAM,
    SNAPSHOTS_STREAM,
    Change,
    Edit,
)
from beryljunction.settings.follower import FollowerSettings, PeerSource, SettingsFollower
from beryljunction.settings.paths import Path, Scope, parse_path, parse_scope
from beryljunction.settings.publishing import (
    AppendNow,
    PublishOutcome,
    PublishStateMachine,
    WaitAndRead,
)
from beryljunction.settings.state import AppliedRecord, SettingsState
from beryljunction.settings.validation import dependencies_of, validate_tree
from beryljunction.stores.log import LogClient, ReadFailed

__all__ = ["InvalidChange", "OperatorSession"]

_SYNC_TIMEOUT_S = 10.0
_PUBLISH_TIMEOUT_S = 20.0
_PAGE_RECORDS = 500


@attrs.frozen
class InvalidChange:
    """The change was not published: it makes the tree invalid or the operator may not make it."""

    problems: tuple[str, ...]


class OperatorSession:
    """One operator's session; it has its own settings state and publishes no snapshots."""

    def __init__(
        self,
        log: LogClient,
        operator: str,
        key: str = "",
        peers: PeerSource | None = None,
        now_s: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
        rng: random.Random | None = None,
    ) -> None:
        self.state = SettingsState("")
        self._log = log
        self._operator = operator
        self._key = key
        self._now_s = now_s
        self._sleep = sleep
        self._rng = rng if rng is not None else random.Random()
        settings = FollowerSettings(poll_s=0.0, publishes=False)
        self._follower = SettingsFollower(
            self.state, log, lambda view: None, peers, settings, now_s, self._rng
        )

    async def sync(self) -> bool:
        """Read the settings in force; return False if the log did not respond in time."""
        end_s = self._now_s() + _SYNC_TIMEOUT_S
        while self._now_s() < end_s:
            pause_s = await self._follower.step()
            if self.state.caught_up:
                return True
            await self._sleep(pause_s)
        return False

    async def read_history(self) -> bool:
        """Read all records that the log still keeps, so that the history has their verdicts."""
        page = await self._log.read(CHANGES_STREAM, 0, 1)
        if isinstance(page, ReadFailed):
            return False
        if page.first_offset > 1:
            await self._apply_oldest_snapshot(page.first_offset)
        return await self.sync()

    def unset_edits(self, text: str) -> tuple[Edit, ...]:
        """Return the edits that unset a path, or all paths within a scope.

        Raises:
            ValueError: When nothing is set there.
        """
        values = self.state.tree.values()
        if _is_scope(text):
            scope = parse_scope(text)
            paths = [path for path in values if scope.contains(path.scope)]
        else:
            paths = [path for path in values if path == parse_path(text)]
        if not paths:
            raise ValueError(f"{text}: expected a path that is set, got none; nothing to unset")
        return tuple(Edit(str(path), unset=True) for path in paths)

    def validate(self, edits: tuple[Edit, ...]) -> InvalidChange | None:
        """Return the problems that the edits cause; existing problems of the tree don't count.

        A tree may hold values that only a newer program version knows. They must not block every
        other change.
        """
        before = validate_tree(self.state.tree)
        after = validate_tree(self.state.tree.with_edits(edits))
        problems = [problem for problem in after if problem not in before]
        if not self._key_matches():
            problems.append(f"operator.{self._operator}: expected the key of this operator")
        problems += [
            f"{edit.path}: operator {self._operator!r} may not change it"
            for edit in edits
            if not self.state.tree.may_change(self._operator, parse_path(edit.path).scope)
        ]
        return InvalidChange(tuple(problems)) if problems else None

    async def publish(
        self, edits: tuple[Edit, ...], note: str = "", change_id: str | None = None
    ) -> PublishOutcome | InvalidChange:
        """Publish edits based on the version that this session has read, and return the outcome."""
        invalid = self.validate(edits)
        if invalid is not None:
            return invalid
        change = Change(
            change_id=change_id if change_id is not None else uuid.uuid4().hex,
            base=self.state.version,
            operator=self._operator,
            edits=edits,
            reads=dependencies_of(edits),
            note=note,
        )
        machine = PublishStateMachine(change, self._now_s() + _PUBLISH_TIMEOUT_S, self._rng)
        while True:
            step = machine.next_step(self._now_s())
            if isinstance(step, AppendNow):
                data = change.to_data()
                outcome = await self._log.append(CHANGES_STREAM, change.change_id, data)
                machine.on_append_outcome(outcome, self._now_s())
            elif isinstance(step, WaitAndRead):
                await self._sleep(step.wait_s)
                await self._read_new_records(machine)
            else:
                return step

    def find_record(self, change_id: str) -> AppliedRecord | None:
        """Return the first record with an id that :meth:`read_history` or :meth:`sync` has read.

        A second copy of an accepted change is refused because of the first; the first one counts.
        """
        found = [applied for applied in self.state.history if applied.change_id == change_id]
        return found[0] if found else None

    async def _read_new_records(self, machine: PublishStateMachine) -> None:
        page = await self._log.read(CHANGES_STREAM, self.state.version, _PAGE_RECORDS)
        if isinstance(page, ReadFailed):
            return
        previous_version = self.state.version
        self.state.apply_page(page)
        for applied in self.state.history:
            if applied.offset > previous_version:
                machine.on_record_applied(applied)
        if self.state.caught_up:
            machine.on_log_end()

    async def _apply_oldest_snapshot(self, first_offset: int) -> None:
        """Apply the oldest snapshot from which the kept records continue without a gap."""
        after = 0
        while True:
            page = await self._log.read(SNAPSHOTS_STREAM, after, 1)
            if isinstance(page, ReadFailed) or not page.records:
                return
            record = page.records[0]
            after = record.offset
            if record.data.get("version", 0) + 1 >= first_offset:
                self.state.apply_snapshot(record.data)
                return

    def _key_matches(self) -> bool:
        path = Path(Scope(operator=self._operator), "key_sha256")
        expected = self.state.tree.value(path)
        if expected is None:
            return True
        digest = hashlib.sha256(self._key.encode()).hexdigest()
        return hmac.compare_digest(str(expected), digest)


def _is_scope(text: str) -> bool:
    try:
        parse_scope(text)
    except ValueError:
        return False
    return True
