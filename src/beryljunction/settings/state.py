"""State of the settings in one process: takes log records and produces the resolved settings.

The version only increases. There is no I/O and no clock here;
:mod:`beryljunction.settings.follower` supplies the records.
"""

import collections
from typing import Any

import attrs

from beryljunction.settings.changes import Accepted, Change, Skipped, Verdict
from beryljunction.settings.resolver import resolve
from beryljunction.settings.schema import ResolvedSettings
from beryljunction.settings.tree import SettingsTree
from beryljunction.stores.log import LogPage

__all__ = ["Alarms", "AppliedRecord", "SettingsState"]

_MAX_HISTORY = 512


@attrs.define
class Alarms:
    """Conditions that an operator should look into, as counters since the start.

    Attributes:
        poison_records: Records that are not a valid change; every reader skips them.
        poison_snapshots: Snapshots that could not be decoded; another one is used.
        gaps: Times that the log had dropped records before this process read them.
        unusable_values: Current number of values in force that this program version can't use; the
            value of a weaker scope is used instead.
        forks: Peers with a different tree at the same version; must never happen.
    """

    poison_records: int = 0
    poison_snapshots: int = 0
    gaps: int = 0
    unusable_values: int = 0
    forks: int = 0


@attrs.frozen
class AppliedRecord:
    """A record that was applied, and the verdict on it."""

    offset: int
    change_id: str
    change: Change | None
    verdict: Verdict


class SettingsState:
    """The settings in force in one process.

    Attributes:
        view: Resolved settings for the process's region.
        needs_snapshot: Whether the log dropped records before they were read, so that the rest
            of the log can't be applied without a snapshot.
        caught_up: Whether the last page read reached the end of the log.
        alarms: Counters for operators.
        history: Last verdicts, oldest first.
    """

    def __init__(self, region: str) -> None:
        self.region = region
        self.tree = SettingsTree()
        self.view = ResolvedSettings()
        self.needs_snapshot = False
        self.caught_up = False
        self.alarms = Alarms()
        self.history: collections.deque[AppliedRecord] = collections.deque(maxlen=_MAX_HISTORY)
        self._digest = (0, "")

    @property
    def version(self) -> int:
        """Offset of the last applied record."""
        return self.tree.version

    @property
    def digest(self) -> str:
        """Hash of the tree, cached per version."""
        if self._digest[0] != self.version or not self._digest[1]:
            self._digest = (self.version, self.tree.digest())
        return self._digest[1]

    def apply_page(self, page: LogPage) -> bool:
        """Apply the records that follow the current version; return whether the settings changed.

        A page may be late, repeated or overlap with an earlier one; records that are not newer are
        skipped. Nothing is applied across a gap: the dropped records may affect the verdicts on
        later ones, so this state would diverge from the others permanently.
        """
        if page.first_offset > self.version + 1:
            self._record_gap()
            return False
        version_before = self.version
        accepted = False
        for record in page.records:
            if record.offset <= self.version:
                continue
            if record.offset != self.version + 1:
                self._record_gap()
                break
            verdict = self.tree.apply(record)
            self._record_verdict(record.offset, record.record_id, record.data, verdict)
            accepted = accepted or isinstance(verdict, Accepted)
        self.caught_up = self.version == page.next_offset - 1
        if self.caught_up:
            self.needs_snapshot = False
        if accepted:
            self._resolve()
        elif self.version != version_before:
            self.view = attrs.evolve(self.view, version=self.version)
        return accepted

    def apply_snapshot(self, data: Any) -> bool:
        """Replace the tree by a snapshot if that is newer; return whether it was.

        The snapshot comes from the log or a peer. A process needs it when it starts or was paused
        beyond the log's retention. While the log is down, the only snapshot may come from a peer
        that lags. An older tree is ignored, so that an accepted change is never reverted.
        """
        try:
            tree = SettingsTree.from_data(data)
        except ValueError:
            self.alarms.poison_snapshots += 1
            return False
        if tree.version <= self.version:
            return False
        self.tree = tree
        self.needs_snapshot = False
        self._resolve()
        return True

    def check_peer_digest(self, version: int, digest: str) -> None:
        """Count a fork when a peer has a different tree at the same version."""
        if version == self.version and digest != self.digest:
            self.alarms.forks += 1

    def _record_gap(self) -> None:
        if not self.needs_snapshot:
            self.alarms.gaps += 1
        self.needs_snapshot = True
        self.caught_up = False

    def _record_verdict(self, offset: int, change_id: str, data: Any, verdict: Verdict) -> None:
        change = None
        if isinstance(verdict, Skipped):
            self.alarms.poison_records += 1
        else:
            change = Change.from_data(change_id, data)
        self.history.append(AppliedRecord(offset, change_id, change, verdict))

    def _resolve(self) -> None:
        self.view, unusable = resolve(self.tree, self.region)
        self.alarms.unusable_values = len(unusable)
