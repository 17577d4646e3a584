"""Reads the settings file again after a signal or when it has changed, and applies it."""

import os
from collections.abc import Mapping

import anyio
import attrs

from beryljunction.errors import SettingsError
from beryljunction.gateway.events import EntryEventLog
from beryljunction.gateway.state import EntryState
from beryljunction.platform import (
    BOUND_PATHS,
    SETTINGS_VARIABLE,
    START_PATHS,
    HostSettings,
    read_host_settings,
)

__all__ = ["SettingsReloader"]

# The platform may change the settings file without a signal; a check costs one system call.
_CHECK_INTERVAL_S = 2.0


@attrs.frozen
class _FileIdentity:
    """What changes when a file is written or replaced."""

    modified_ns: int
    inode: int
    size_bytes: int


class SettingsReloader:
    """Puts changes of the settings file in force, or names those that need a restart.

    A file that is missing, cut short or invalid changes nothing, and is read again until it is
    complete. Limits are applied at once. Names and addresses are used from the next start on,
    because a process that moved its listeners would lose its callers.

    Args:
        state: The limits are applied here; its host settings are those of the start.
        events: What was changed or refused is logged here.
    """

    def __init__(self, state: EntryState, events: EntryEventLog) -> None:
        self._state = state
        self._events = events
        self._accepted = state.host
        # None until the file was read here: it may have changed since the start read it.
        self._seen: _FileIdentity | None = None
        self._refused = ""

    async def watch(self) -> None:
        """Read the file whenever it has changed without a signal, until cancelled."""
        while True:
            await anyio.sleep(_CHECK_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Read the file if it has changed since it was last read, or was refused then."""
        if self._refused or _identity() != self._seen:
            self._reload(is_asked=False)

    def reload(self) -> None:
        """Read the file, and log the result even if nothing has changed."""
        self._reload(is_asked=True)

    def _reload(self, is_asked: bool) -> None:
        # Taken before the read, so that a change during the read is noticed later.
        self._seen = _identity()
        try:
            host = read_host_settings()
            _check_whole(self._accepted, host)
            self._apply(host, is_asked)
        except Exception as error:  # noqa: BLE001
            is_expected = isinstance(error, SettingsError)
            problem = str(error) if is_expected else repr(error)
            if is_asked or problem != self._refused:
                self._events.write("reload_refused", exc_info=not is_expected, problem=problem)
            self._refused = problem
            return
        self._refused = ""

    def _apply(self, host: HostSettings, is_asked: bool) -> None:
        changed = _changed(self._state.bounds, host.bounds, BOUND_PATHS)
        unused = _changed(self._state.host, host, START_PATHS)
        is_known = not _changed(self._accepted, host, START_PATHS)
        self._accepted = host
        if changed:
            self._state.apply_bounds(host.bounds)
        if changed or is_asked:
            revocation_ms = self._state.bounds.revocation_ms
            fields = ",".join(changed)
            self._events.write("reloaded", revocation_ms=revocation_ms, fields=fields)
        if unused and (is_asked or not is_known):
            self._events.write("restart_needed", fields=",".join(unused))


def _identity() -> _FileIdentity | None:
    """Return the identity of the settings file; None if there is none."""
    try:
        status = os.stat(os.environ.get(SETTINGS_VARIABLE, ""))
    except OSError:
        return None
    return _FileIdentity(status.st_mtime_ns, status.st_ino, status.st_size)


def _changed(before: object, after: object, paths: Mapping[str, tuple[str, ...]]) -> list[str]:
    """Return where the file holds the fields that differ."""
    return [
        ".".join(path)
        for name, path in paths.items()
        if getattr(before, name) != getattr(after, name)
    ]


def _check_whole(before: HostSettings, after: HostSettings) -> None:
    """Check that a file which can be read isn't the beginning of one that is being written.

    Raises:
        SettingsError: It lacks fields, or the end of its last line, that the file had before.
    """
    problems = [
        f"{path}: expected a value as before, got none"
        for path in sorted(before.given - after.given)
    ]
    if before.is_terminated and before.given and not after.is_terminated:
        problems.append("expected an end of the last line as before, got none")
    if problems:
        raise SettingsError(problems)
