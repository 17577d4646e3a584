"""Keeps the settings state up to date from the log, and from peers while the log is down."""

import abc
import random
import time
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc
import attrs

from beryljunction.settings.changes import CHANGES_STREAM, SNAPSHOTS_STREAM
from beryljunction.settings.schema import ResolvedSettings
from beryljunction.settings.snapshots import SnapshotSchedule
from beryljunction.settings.state import SettingsState
from beryljunction.stores.log import AppendRefused, LogClient, ReadFailed

__all__ = ["FollowerSettings", "NoPeers", "PeerSource", "SettingsFollower"]

_PAGE_RECORDS = 500
_MAX_SNAPSHOTS_TRIED = 4
# If the log is up, a read returns within its wait plus this margin.
_READ_MARGIN_S = 0.1
_MIN_PAUSE_S = 0.05


class PeerSource(abc.ABC):
    """Other processes of the fleet, as a source of settings."""

    @abc.abstractmethod
    async def exchange(self, version: int) -> Any:
        """Exchange trees with the next peer: fetch its tree if newer, else push the own if newer.

        Returns:
            A snapshot's data, or None when the peer did not respond or has nothing newer.
        """

    @property
    @abc.abstractmethod
    def exchange_interval_s(self) -> float:
        """Interval between two exchanges."""


class NoPeers(PeerSource):
    """A source without any peers."""

    async def exchange(self, version: int) -> Any:
        """Return None."""
        return None

    @property
    def exchange_interval_s(self) -> float:
        """Return an interval that costs almost no CPU time."""
        return 1.0


@attrs.frozen
class FollowerSettings:
    """Intervals at which a follower reads the log.

    Attributes:
        poll_s: Longest time that one read waits for a new record. It takes this time plus the pause
            to notice that the log is silent, so it is a small part of the 5 s within which all
            processes must have the same settings.
        pause_s: Shortest time between two reads; limits the reads in a burst of changes.
        backoff_s: Longest pause after failures. While the log is up, a change must be in force
            everywhere within 9 s, so this is a small part of that.
        retention_s: How long the log keeps records.
        publishes: Whether this process publishes snapshots; an operator's program does not.
    """

    poll_s: float = 1.0
    pause_s: float = 0.25
    backoff_s: float = 1.5
    retention_s: float = 86_400.0
    publishes: bool = True


class SettingsFollower:
    """Updates one state: :meth:`run` in a process, :meth:`step` in tests with virtual time."""

    def __init__(
        self,
        state: SettingsState,
        log: LogClient,
        on_change: Callable[[ResolvedSettings], None],
        peers: PeerSource | None = None,
        settings: FollowerSettings | None = None,
        now_s: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self.state = state
        self.settings = settings if settings is not None else FollowerSettings()
        self._log = log
        self._on_change = on_change
        self._peers = peers if peers is not None else NoPeers()
        self._now_s = now_s
        self._rng = rng if rng is not None else random.Random()
        self._schedule = SnapshotSchedule(self.settings.retention_s, self._rng, now_s())
        self._snapshot_offset = 0
        self._failures = 0
        self._last_response_s = now_s()

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Follow until cancelled; report as started once the log or a peer has sent settings."""
        started = False
        async with anyio.create_task_group() as group:
            group.start_soon(self._poll_peers)
            while True:
                pause_s = await self.step()
                if not started and (self.state.caught_up or self.state.version > 0):
                    started = True
                    task_status.started()
                await anyio.sleep(pause_s)

    async def step(self) -> float:
        """Read the log once and apply the result; return the pause before the next step."""
        must_bootstrap = self.state.version == 0 or self.state.needs_snapshot
        if must_bootstrap and not await self._read_snapshots():
            return self._back_off()
        # After a failure don't wait: a log that accepts connections but does not respond blocks
        # each read for the wait plus the timeout.
        wait_s = 0.0 if self._failures else self.settings.poll_s
        page = await self._log.read(CHANGES_STREAM, self.state.version, _PAGE_RECORDS, wait_s)
        if isinstance(page, ReadFailed):
            return self._back_off()
        self._last_response_s = self._now_s()
        if self.state.apply_page(page):
            self._on_change(self.state.view)
        if self.state.needs_snapshot:
            return self._back_off()
        self._failures = 0
        if not page.is_last:
            return 0.0
        if self.settings.publishes and self._schedule.is_due(self._now_s()):
            await self._publish_snapshot()
        return self.settings.pause_s * (1.0 + self._rng.random())

    async def poll_peer(self) -> float:
        """Exchange trees with one peer if the log is silent; return the pause before the next step.

        This runs concurrently with :meth:`step`, because a log that accepts connections but does
        not respond blocks each read for seconds. With peers polled only between two reads, the
        slowest of 13 processes got the newest version after 8.8 s.
        """
        start_s = self._now_s()
        remaining_s = self._last_response_s + self._log_silence_s - start_s
        if not self._failures and remaining_s > 0.0:
            return max(_MIN_PAUSE_S, remaining_s)
        data = await self._peers.exchange(self.state.version)
        if data is not None:
            self.apply_snapshot(data)
        return max(_MIN_PAUSE_S, self._peers.exchange_interval_s - (self._now_s() - start_s))

    def apply_snapshot(self, data: Any) -> bool:
        """Apply a snapshot from a peer or the log if it is newer; return whether it was."""
        taken = self.state.apply_snapshot(data)
        if taken:
            self._on_change(self.state.view)
        return taken

    @property
    def _log_silence_s(self) -> float:
        """Time since the last response of the log after which peers are polled."""
        return self.settings.poll_s + 2.0 * self.settings.pause_s + _READ_MARGIN_S

    async def _poll_peers(self) -> None:
        while True:
            await anyio.sleep(await self.poll_peer())

    def _back_off(self) -> float:
        """Return a backoff with jitter, so that a recovering log is not overloaded."""
        self.state.caught_up = False
        self._failures += 1
        longest_s = min(self.settings.backoff_s, 0.1 * 2.0 ** min(self._failures, 10))
        return longest_s * (0.5 + 0.5 * self._rng.random())

    async def _read_snapshots(self) -> bool:
        """Apply the newest readable snapshot; return False when the log did not respond."""
        page = await self._log.read(SNAPSHOTS_STREAM, 0, 1)
        if isinstance(page, ReadFailed):
            return False
        oldest = max(page.first_offset, page.next_offset - _MAX_SNAPSHOTS_TRIED)
        for offset in range(page.next_offset - 1, oldest - 1, -1):
            snapshot_page = await self._log.read(SNAPSHOTS_STREAM, offset - 1, 1)
            if isinstance(snapshot_page, ReadFailed):
                return False
            if snapshot_page.records and self.apply_snapshot(snapshot_page.records[0].data):
                self._snapshot_offset = offset
                break
        return True

    async def _publish_snapshot(self) -> None:
        """Publish a snapshot unless another process already has; a duplicate is harmless.

        Only a process that has reached the end of the log publishes: a snapshot that is older than
        the oldest kept record leaves a gap, so no process could continue from it.
        """
        page = await self._log.read(SNAPSHOTS_STREAM, self._snapshot_offset, _MAX_SNAPSHOTS_TRIED)
        if isinstance(page, ReadFailed):
            self._schedule.schedule_retry(self._now_s())
            return
        if page.records:
            self._snapshot_offset = page.records[-1].offset
            self._schedule.restart(self._now_s())
            return
        if self.state.version == 0:
            self._schedule.restart(self._now_s())
            return
        data = self.state.tree.to_data()
        outcome = await self._log.append(SNAPSHOTS_STREAM, f"snapshot-{self.state.version}", data)
        if isinstance(outcome, AppendRefused):
            self._schedule.schedule_retry(self._now_s())
        else:
            self._schedule.restart(self._now_s())
