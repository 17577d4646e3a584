"""Follows the platform's host list into a process's own view of the hosts."""

import random
from collections.abc import Callable
from typing import Any

import anyio

from beryljunction.errors import PlatformUnavailableError
from beryljunction.stores import HostChanges, HostList, HostRow
from beryljunction.timeline import Timeline

__all__ = ["HostFollower", "HostView"]

# Long polls: an idle list costs a process one small exchange in this time.
_WAIT_S = 20.0
# Changes come in bursts (a rack, a roll-out). The pause puts a burst into few answers, and 0.5 s
# is well within the few seconds in which a leaving endpoint must get no more work.
_PAUSE_S = 0.5
_MAX_BACKOFF_S = 5.0


class HostView:
    """The hosts as the list has them, put together from its changes."""

    def __init__(self) -> None:
        self.rows: dict[str, HostRow] = {}
        self.version = 0

    def apply(self, changes: HostChanges) -> bool:
        """Take in changes; False when they were left out of account.

        A list service that has lost its rows answers with a full list of none. Taken in, every
        endpoint would be gone and all callers refused, so an empty full list changes nothing: an
        endpoint that is really gone fails its next connection and is suspected.
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


class HostFollower:
    """Reads the list's changes for as long as the process runs.

    Args:
        on_change: Told of all rows after each change.
    """

    def __init__(
        self, hosts: HostList, on_change: Callable[[list[HostRow]], None], timeline: Timeline
    ) -> None:
        self.view = HostView()
        self.is_current = False
        self._hosts = hosts
        self._on_change = on_change
        self._timeline = timeline
        self._random = random.Random()

    async def run(self, *, task_status: Any = anyio.TASK_STATUS_IGNORED) -> None:
        """Follow until cancelled; an outage leaves the last view as it is."""
        task_status.started()
        failures = 0
        while True:
            problem = await self._read()
            self.is_current = not problem
            failures = failures + 1 if problem else 0
            if failures == 1:
                self._timeline.add("hosts_unavailable", detail=problem)
            await anyio.sleep(self._backoff_s(failures) if problem else _PAUSE_S)

    async def _read(self) -> str:
        """Read and take in the next changes; return the problem, empty when there was none."""
        try:
            changes = await self._hosts.changes(self.view.version, _WAIT_S)
        except PlatformUnavailableError as error:
            return str(error)
        if not self.view.apply(changes):
            return "expected rows, got a full list without any"
        if changes.rows or changes.gone or changes.full:
            detail = f"version={changes.version} rows={len(changes.rows)} gone={len(changes.gone)}"
            self._timeline.add("hosts_changed", detail=detail)
            self._on_change(list(self.view.rows.values()))
        return ""

    def _backoff_s(self, failures: int) -> float:
        """Full jitter, so that the fleet doesn't come back to a restarted list at one moment."""
        return self._random.uniform(0.1, min(_MAX_BACKOFF_S, 0.2 * 2.0**failures))
