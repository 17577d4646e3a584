"""Keeps a reader up to date from the log, and from other nodes while the log is down."""

import abc
import random
import time
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc
import attrs

from beryljunction.settings.changes import CHANGES_STREAM, SNAPSHOTS_STREAM
from beryljunction.settings.reader import SettingsReader
from beryljunction.settings.schema import FleetView
from beryljunction.settings.snapshots import SnapshotSchedule
from beryljunction.stores.log import AppendRefused, LogClient, ReadFailed

__all__ = ["FollowSettings", "NoPeers", "PeerSource", "SettingsFollower"]

_PAGE_RECORDS = 500
_SNAPSHOTS_TRIED = 4
# A read that is under way answers within its wait and this, unless the log is down.
_ANSWER_S = 0.1
_LEAST_PAUSE_S = 0.05


class PeerSource(abc.ABC):
    """Other nodes of the fleet, as a source of settings."""

    @abc.abstractmethod
    async def newer_than(self, version: int) -> Any:
        """Meet the next node: take its tree if that is newer, hand it the own one if that is.

        Returns:
            A snapshot's data, or None when the node did not answer or has nothing newer.
        """

    @property
    @abc.abstractmethod
    def pace_s(self) -> float:
        """Time from one meeting to the next."""


class NoPeers(PeerSource):
    """No other nodes are known."""

    async def newer_than(self, version: int) -> Any:
        """Return None."""
        return None

    @property
    def pace_s(self) -> float:
        """Return a time that costs nothing."""
        return 1.0


@attrs.frozen
class FollowSettings:
    """Pace of following.

    Attributes:
        poll_s: Longest wait of one read for a new record. A log that falls silent is noticed
            within it and the pause, so it is a small part of the 5 s in which nodes must agree.
        pause_s: Least time between two reads; bounds the reads in a burst of changes.
        backoff_s: Longest pause after failures. A change has to be in force everywhere within 9 s
            when the log is up, so a reader may not sleep longer than a small part of that.
        retention_s: How long the log keeps records.
        publishes: Whether this process re-publishes snapshots; an operator's program does not.
    """

    poll_s: float = 1.0
    pause_s: float = 0.25
    backoff_s: float = 1.5
    retention_s: float = 86_400.0
    publishes: bool = True


class SettingsFollower:
    """Moves one reader: :meth:`run` in a process, :meth:`step` in tests with virtual time."""

    def __init__(
        self,
        reader: SettingsReader,
        log: LogClient,
        on_change: Callable[[FleetView], None],
        peers: PeerSource | None = None,
        settings: FollowSettings | None = None,
        now_s: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self.reader = reader
        self.settings = settings if settings is not None else FollowSettings()
        self._log = log
        self._on_change = on_change
        self._peers = peers if peers is not None else NoPeers()
        self._now_s = now_s
        self._rng = rng if rng is not None else random.Random()
        self._schedule = SnapshotSchedule(self.settings.retention_s, self._rng, now_s())
        self._snapshot_offset = 0
        self._failures = 0
        self._heard_s = now_s()

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Follow until cancelled; started once there are settings from the log or a peer."""
        started = False
        async with anyio.create_task_group() as group:
            group.start_soon(self._meet_peers)
            while True:
                pause_s = await self.step()
                if not started and (self.reader.caught_up or self.reader.version > 0):
                    started = True
                    task_status.started()
                await anyio.sleep(pause_s)

    async def step(self) -> float:
        """Read once and do what follows from it; return the pause before the next step."""
        is_cold = self.reader.version == 0 or self.reader.needs_snapshot
        if is_cold and not await self._read_snapshots():
            return self._without_log()
        # A log that takes connections and answers nothing holds each read for the wait and more.
        wait_s = 0.0 if self._failures else self.settings.poll_s
        page = await self._log.read(CHANGES_STREAM, self.reader.version, _PAGE_RECORDS, wait_s)
        if isinstance(page, ReadFailed):
            return self._without_log()
        self._heard_s = self._now_s()
        if self.reader.take_page(page):
            self._on_change(self.reader.view)
        if self.reader.needs_snapshot:
            return self._without_log()
        self._failures = 0
        if not page.at_end:
            return 0.0
        if self.settings.publishes and self._schedule.due(self._now_s()):
            await self._publish_snapshot()
        return self.settings.pause_s * (1.0 + self._rng.random())

    async def peer_step(self) -> float:
        """Meet one peer if the log does not answer; return the pause before the next step.

        This runs beside :meth:`step`, because a log that takes connections and answers nothing
        holds each read for seconds: asked only between two reads, the slowest node of 13 heard of
        the newest version after 8.8 s.
        """
        began_s = self._now_s()
        quiet_s = self._heard_s + self._overdue_s - began_s
        if not self._failures and quiet_s > 0.0:
            return max(_LEAST_PAUSE_S, quiet_s)
        data = await self._peers.newer_than(self.reader.version)
        if data is not None:
            self.take(data)
        return max(_LEAST_PAUSE_S, self._peers.pace_s - (self._now_s() - began_s))

    def take(self, data: Any) -> bool:
        """Take a tree from a peer or the log if it is newer; say whether it was."""
        taken = self.reader.take_snapshot(data)
        if taken:
            self._on_change(self.reader.view)
        return taken

    @property
    def _overdue_s(self) -> float:
        """Time since the last answer of the log after which peers are met."""
        return self.settings.poll_s + 2.0 * self.settings.pause_s + _ANSWER_S

    async def _meet_peers(self) -> None:
        while True:
            await anyio.sleep(await self.peer_step())

    def _without_log(self) -> float:
        """Back off with jitter, so that a log that returns is not overrun."""
        self.reader.caught_up = False
        self._failures += 1
        longest_s = min(self.settings.backoff_s, 0.1 * 2.0 ** min(self._failures, 10))
        return longest_s * (0.5 + 0.5 * self._rng.random())

    async def _read_snapshots(self) -> bool:
        """Take the newest snapshot that can be read; False when the log did not answer."""
        page = await self._log.read(SNAPSHOTS_STREAM, 0, 1)
        if isinstance(page, ReadFailed):
            return False
        oldest = max(page.first_offset, page.next_offset - _SNAPSHOTS_TRIED)
        for offset in range(page.next_offset - 1, oldest - 1, -1):
            one = await self._log.read(SNAPSHOTS_STREAM, offset - 1, 1)
            if isinstance(one, ReadFailed):
                return False
            if one.records and self.take(one.records[0].data):
                self._snapshot_offset = offset
                break
        return True

    async def _publish_snapshot(self) -> None:
        """Publish unless another node did since; a doubled snapshot says the same and is harmless.

        Only a reader that has seen the log's end publishes: an older tree would be a snapshot
        from before the records that are still kept, and nobody could go on from it.
        """
        page = await self._log.read(SNAPSHOTS_STREAM, self._snapshot_offset, _SNAPSHOTS_TRIED)
        if isinstance(page, ReadFailed):
            self._schedule.failed(self._now_s())
            return
        if page.records:
            self._snapshot_offset = page.records[-1].offset
            self._schedule.seen(self._now_s())
            return
        if self.reader.version == 0:
            self._schedule.seen(self._now_s())
            return
        data = self.reader.tree.to_data()
        outcome = await self._log.append(SNAPSHOTS_STREAM, f"snapshot-{self.reader.version}", data)
        if isinstance(outcome, AppendRefused):
            self._schedule.failed(self._now_s())
        else:
            self._schedule.seen(self._now_s())
