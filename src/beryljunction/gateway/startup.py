"""The program of an entry: settings, address for callers, signals, and the exit status."""

import asyncio
import enum
import os
import signal
import socket
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import anyio
import anyio.abc

from beryljunction.early_start import HANDLED_SIGNALS, hold_signals, release_signals
from beryljunction.errors import SettingsError, StartError
from beryljunction.gateway.addresses import open_when_free
from beryljunction.gateway.events import EntryEventLog
from beryljunction.gateway.listener import Listener
from beryljunction.gateway.process import EntryProcess
from beryljunction.gateway.refusals import RefusalHandler
from beryljunction.platform import SETTINGS_VARIABLE, HostSettings, read_host_settings

__all__ = ["EntryProgram", "ExitStatus"]

# The platform may start a process before it has written the settings file.
_SETTINGS_TIMEOUT_S = 10.0
_MIN_PAUSE_S = 0.05
_MAX_PAUSE_S = 0.5
# Callers who connected early wait this long for the settings before they are refused.
_REFUSE_AFTER_S = 0.3
# The process before may hold the address until its grace period ends, and is then killed.
_ADDRESS_MARGIN_S = 4.0
# Time in which callers who connected before a failed start send their requests.
_LAST_REQUESTS_S = 0.3
_CLOSE_TIMEOUT_S = 0.5
# The same for those whose requests had begun when the settings arrived.
_UNFINISHED_REQUESTS_S = 5.0
_CLOSE_POLL_INTERVAL_S = 0.05


class ExitStatus(enum.IntEnum):
    """Statuses with which an entry ends."""

    STOPPED = 0
    CANNOT_START = 2
    CRASHED = 3


class EntryProgram:
    """Runs an entry process from the first settings to its exit status.

    Args:
        early_socket: Listening socket for callers, opened before most modules were imported; None
            if there is none.
        end_hold: Called before held signals are released; returns a monotonic time before which
            none of them was a stop.
    """

    def __init__(self, early_socket: socket.socket | None, end_hold: Callable[[], float]) -> None:
        self._end_hold = end_hold
        self._no_stop_until_s = 0.0
        self._socket = early_socket
        self._entry: EntryProcess | None = None
        self._events = EntryEventLog(os.uname().nodename, "")
        self._stopping = anyio.Event()

    async def run(self) -> ExitStatus:
        """Run until stopped; repeated signals don't shorten the drain."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._log_callback_error)
        # A thread that doesn't hold signals would get them after the handlers are removed.
        loop.set_default_executor(ThreadPoolExecutor(initializer=hold_signals))
        async with anyio.create_task_group() as self._group:
            await self._group.start(self._handle_signals)
            status = await self._run_to_status()
            self._group.cancel_scope.cancel()
        return status

    async def _run_to_status(self) -> ExitStatus:
        try:
            await self._run_entry()
            if self._entry is None:
                self._events.write("stopped")
            status = ExitStatus.STOPPED
        except (SettingsError, StartError) as error:
            self._events.write("start_failed", problem=str(error))
            status = ExitStatus.CANNOT_START
        except Exception as error:  # noqa: BLE001 - the last place that can log it
            self._events.write("crashed", problem=repr(error), exc_info=True)
            status = ExitStatus.CRASHED
        if self._socket is not None and self._socket.fileno() >= 0:
            await _refuse_callers(self._socket)
        return status

    async def _run_entry(self) -> None:
        host = await self._wait_for_settings()
        if host is None:
            return
        self._events = EntryEventLog(host.host, host.availability_zone, self._events.writer)
        if self._socket is not None and self._socket.getsockname() != host.callers:
            self._group.start_soon(_refuse_callers, self._socket)
            self._socket = None
        if self._socket is None:
            limit_s = host.bounds.grace_s + _ADDRESS_MARGIN_S
            self._socket = await open_when_free(
                host.callers, self._events, "callers_unavailable", self._stopping, limit_s
            )
        if self._socket is None:
            return
        self._entry = EntryProcess(host, self._events, self._socket)
        if self._stopping.is_set():
            # The signal may have been pending since then.
            self._entry.stop(self._no_stop_until_s)
        await self._entry.run()

    async def _wait_for_settings(self) -> HostSettings | None:
        """Return the settings once they can be read; None if the process is stopped before.

        Raises:
            SettingsError: They can't be read in time.
        """
        async with anyio.create_task_group() as group:
            group.start_soon(self._refuse_while_waiting)
            settings = await self._read_settings()
            group.cancel_scope.cancel()
        if isinstance(settings, SettingsError):
            raise settings
        return settings

    async def _read_settings(self) -> HostSettings | SettingsError | None:
        ends_s = time.monotonic() + _SETTINGS_TIMEOUT_S
        pause_s, problem = _MIN_PAUSE_S, ""
        while True:
            try:
                return read_host_settings()
            except SettingsError as error:
                if time.monotonic() >= ends_s or not os.environ.get(SETTINGS_VARIABLE):
                    return error
                if str(error) != problem:
                    problem = str(error)
                    self._events.write("settings_unusable", problem=problem)
            with anyio.move_on_after(pause_s):
                await self._stopping.wait()
                return None
            pause_s = min(_MAX_PAUSE_S, 2 * pause_s)

    async def _refuse_while_waiting(self) -> None:
        if self._socket is None:
            return
        await anyio.sleep(_REFUSE_AFTER_S)
        handler = RefusalHandler()
        listener = Listener(handler, self._socket)
        try:
            await anyio.sleep_forever()
        finally:
            self._socket = listener.release()
            self._group.start_soon(_close_connections, handler)

    async def _handle_signals(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        with anyio.open_signal_receiver(*HANDLED_SIGNALS) as signals:
            self._no_stop_until_s = self._end_hold()
            release_signals()
            task_status.started()
            try:
                async for number in signals:
                    self._handle_signal(number)
            finally:
                # The handlers are removed next.
                hold_signals()

    def _handle_signal(self, number: signal.Signals) -> None:
        if number != signal.SIGHUP:
            self._stopping.set()
            if self._entry is not None:
                self._entry.stop()
        elif self._entry is not None:
            try:
                self._entry.reload()
            except Exception as error:  # noqa: BLE001 - the settings in force go on
                self._events.write("fault", problem=repr(error), exc_info=True)

    def _log_callback_error(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Log what asyncio would write to standard error, where a full pipe stops the process."""
        error = context.get("exception")
        self._events.write("fault", problem=f"{context.get('message')}: {error!r}")


async def _close_connections(handler: RefusalHandler) -> None:
    """Close the connections of a handler once they are idle, so that callers connect again."""
    with anyio.move_on_after(_UNFINISHED_REQUESTS_S):
        while handler.connections:
            handler.close_idle()
            await anyio.sleep(_CLOSE_POLL_INTERVAL_S)
    for connection in list(handler.connections):
        connection.abort()


async def _refuse_callers(sock: socket.socket) -> None:
    """Refuse the requests of all callers who have connected, then close the socket."""
    listener = Listener(RefusalHandler(), sock)
    await anyio.sleep(_LAST_REQUESTS_S)
    await listener.close(time.monotonic() + _CLOSE_TIMEOUT_S)
