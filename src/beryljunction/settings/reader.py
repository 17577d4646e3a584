"""What one process knows of the settings: records in, view out; the version only grows.

Pure state, without I/O or a clock; :mod:`beryljunction.settings.following` moves it.
"""

import collections
from typing import Any

import attrs

from beryljunction.settings.changes import Accepted, Change, Skipped, Verdict
from beryljunction.settings.resolving import resolve
from beryljunction.settings.schema import FleetView
from beryljunction.settings.tree import SettingsTree
from beryljunction.stores.log import LogPage

__all__ = ["Alarms", "Judged", "SettingsReader"]

_HISTORY = 512


@attrs.define
class Alarms:
    """What an operator should look at; each counts occurrences since the start.

    Attributes:
        poison_records: Records that are no change; skipped by every reader.
        poison_snapshots: Snapshots that could not be read; another one is taken.
        gaps: Times that the log had dropped records before they were read here.
        unusable_values: Values in force that this program can't use; a weaker scope holds.
        forks: Peers with another tree at the same version; must never happen.
    """

    poison_records: int = 0
    poison_snapshots: int = 0
    gaps: int = 0
    unusable_values: int = 0
    forks: int = 0


@attrs.frozen
class Judged:
    """A record that was applied, and the verdict on it."""

    offset: int
    change_id: str
    change: Change | None
    verdict: Verdict


class SettingsReader:
    """The settings in force at one process.

    Attributes:
        view: Resolved settings of the process's region, ready for use on each request.
        needs_snapshot: Whether records were dropped before they were read, so that the log's tail
            alone can't be applied any more.
        caught_up: Whether the last page read reached the end of the log.
        alarms: Counters for operators.
        history: Last verdicts, oldest first.
    """

    def __init__(self, region: str) -> None:
        self.region = region
        self.tree = SettingsTree()
        self.view = FleetView()
        self.needs_snapshot = False
        self.caught_up = False
        self.alarms = Alarms()
        self.history: collections.deque[Judged] = collections.deque(maxlen=_HISTORY)
        self._digest = (0, "")

    @property
    def version(self) -> int:
        """Offset of the last record applied."""
        return self.tree.version

    @property
    def digest(self) -> str:
        """Hash of the tree, worked out once a version."""
        if self._digest[0] != self.version or not self._digest[1]:
            self._digest = (self.version, self.tree.digest())
        return self._digest[1]

    def take_page(self, page: LogPage) -> bool:
        """Apply the records that follow the present version; say whether the view changed.

        A page may be late, doubled or overlap with one already applied; what is not newer is
        passed over. Nothing is applied across a gap: the dropped records may have changed what
        the next ones are judged by, and this reader would go its own way for good.
        """
        if page.first_offset > self.version + 1:
            self._note_gap()
            return False
        before = self.version
        accepted = False
        for record in page.records:
            if record.offset <= self.version:
                continue
            if record.offset != self.version + 1:
                self._note_gap()
                break
            verdict = self.tree.apply(record)
            self._note(record.offset, record.record_id, record.data, verdict)
            accepted = accepted or isinstance(verdict, Accepted)
        self.caught_up = self.version == page.next_offset - 1
        if self.caught_up:
            self.needs_snapshot = False
        if accepted:
            self._resolve()
        elif self.version != before:
            self.view = attrs.evolve(self.view, version=self.version)
        return accepted

    def take_snapshot(self, data: Any) -> bool:
        """Take the whole tree from the log or a peer if it is newer; say whether it was.

        Load: a process that starts, or one that was paused beyond the log's retention, perhaps
        while the log is down and the only snapshot comes from a peer that lags. An older tree is
        passed over, so an accepted change never reverts here.
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

    def check_peer(self, version: int, digest: str) -> None:
        """Raise the alarm when a peer has another tree at the same version."""
        if version == self.version and digest != self.digest:
            self.alarms.forks += 1

    def _note_gap(self) -> None:
        if not self.needs_snapshot:
            self.alarms.gaps += 1
        self.needs_snapshot = True
        self.caught_up = False

    def _note(self, offset: int, change_id: str, data: Any, verdict: Verdict) -> None:
        change = None
        if isinstance(verdict, Skipped):
            self.alarms.poison_records += 1
        else:
            change = Change.from_data(change_id, data)
        self.history.append(Judged(offset, change_id, change, verdict))

    def _resolve(self) -> None:
        self.view, unusable = resolve(self.tree, self.region)
        self.alarms.unusable_values = len(unusable)
