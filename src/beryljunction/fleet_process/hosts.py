"""Keeps a local copy of the platform's host list up to date."""

import random
from collections.abc import Callable
from typing import Any

import anyio

from beryljunction.errors import PlatformUnavailableError
from beryljunction.stores import HostChanges, HostList, HostRow
from beryljunction.timeline import Timeline

__all__ = ["HostListCache", "HostListWatcher"]

# Long polls: an unchanged list costs each process one small exchange per interval.
_POLL_WAIT_S = 20.0
# Changes come in bursts (a rack, a roll-out), and the pause collects a burst into few responses.
# 0.5 s is well within the few seconds after which a leaving endpoint must get no more work.
_POLL_PAUSE_S = 0.5
_MAX_BACKOFF_S = 5.0


class HostListCache:
    """Local copy of the host list, built from its changes."""

    def __init__(self) -> None:
        self.rows: dict[str, HostRow] = {}
        self.version = 0

    def apply(self, changes: HostChanges) -> bool:
        """Apply changes; return False if they were ignored.

        A list service that has lost its data returns an empty full list. Applying it would remove
        every endpoint and refuse all callers, so it is ignored. An endpoint that is really gone
        fails its next connection and is then suspected.
        """
        if changes.full and not changes.rows and self.rows:
            return False
        if changes.full:
            self.rows.clear()
        for key in changes.gone:
            self.rows.pop(key, None)
        for row in changes.rows:
            self.rows[row.key] = row
        self.version = changes.version
        return True


class HostListWatcher:
    """Polls the host list for changes.

    Args:
        on_change: Called with all rows after each change.
    """

    def __init__(
        self, hosts: HostList, on_change: Callable[[list[HostRow]], None], timeline: Timeline
    ) -> None:
        self.view = HostListCache()
        self.is_current = False
        self._hosts = hosts
        self._on_change = on_change
        self._timeline = timeline
        self._random = random.Random()

    async def run(self, *, task_status: Any = anyio.TASK_STATUS_IGNORED) -> None:
        """Poll until cancelled; during an outage the last view is kept."""
        task_status.started()
        failures = 0
        while True:
            problem = await self._read()
            self.is_current = not problem
            failures = failures + 1 if problem else 0
            if failures == 1:
                self._timeline.add("hosts_unavailable", detail=problem)
            await anyio.sleep(self._backoff_s(failures) if problem else _POLL_PAUSE_S)

    async def _read(self) -> str:
        """Read and apply the next changes; return an error text, empty on success."""
        try:
            changes = await self._hosts.fetch_changes(self.view.version, _POLL_WAIT_S)
        except PlatformUnavailableError as error:
            return str(error)
        if not self.view.apply(changes):
            return "expected at least one row, got an empty full list; keeping the known hosts"
        if changes.rows or changes.gone or changes.full:
            detail = f"version={changes.version} rows={len(changes.rows)} gone={len(changes.gone)}"
            self._timeline.add("hosts_changed", detail=detail)
            self._on_change(list(self.view.rows.values()))
        return ""

    def _backoff_s(self, failures: int) -> float:
        """Return a delay with full jitter, to spread the fleet's reconnects to a restarted list."""
        return self._random.uniform(0.1, min(_MAX_BACKOFF_S, 0.2 * 2.0**failures))
