"""Asks whether a request under suspicion may be sent as a trial."""

from typing import Protocol

import anyio

from beryljunction.gateway.auto_reset_event import AutoResetEvent
from beryljunction.gateway.crashreports import CrashReport, Suspicion
from beryljunction.gateway.quarantine import Quarantine
from beryljunction.platform import InvalidRecord
from beryljunction.routing import Address, FanOut

__all__ = ["TrialClient", "TrialPermits"]

# Each service has one trial at a time, so few releases are unsent unless the sender isn't running.
_MAX_UNSENT_RELEASES = 256


class TrialClient(Protocol):
    """The method of a peer client by which an entry asks another one."""

    async def report_crashes(self, address: Address, crashes: bytes) -> bytes | None:
        """Send a report; return the answer, None if there was none."""


class TrialPermits:
    """Asks the counting hosts of a service in turn, until one answers.

    Attributes:
        client: Asks other entries; None while this entry has no peers.
    """

    def __init__(self, host: str, fan_out: FanOut, quarantine: Quarantine) -> None:
        self._host = host
        self._fan_out = fan_out
        self._quarantine = quarantine
        self.client: TrialClient | None = None
        self._unsent_releases: dict[Suspicion, None] = {}
        self._sending: set[Suspicion] = set()
        self._released = AutoResetEvent()

    async def run(self) -> None:
        """Send releases until cancelled; a run that failed may have left some behind."""
        self._sending.clear()
        async with anyio.create_task_group() as group:
            while True:
                for trial in self._unsent_releases:
                    if trial not in self._sending:
                        self._sending.add(trial)
                        group.start_soon(self._send_release, trial)
                await self._released.wait()

    async def ask(self, service: str, features: frozenset[str]) -> bool:
        """Return whether a request may be sent as the only trial of its service.

        Without any answer it may not: trials of several entries would end several endpoints.
        """
        message = CrashReport(trial=Suspicion(service, features)).encode()
        for host in self._quarantine.trial_hosts(service):
            if host == self._host:
                return self._quarantine.permit_trial(service, features)
            is_permitted = await self._ask_host(host, message)
            if is_permitted is not None:
                return is_permitted
        return False

    def release(self, service: str, features: frozenset[str]) -> None:
        """Report that a trial ended without a crash; other hosts are informed in the background.

        They may not answer for longer than the request has time, and its answer may be complete.
        """
        if len(self._unsent_releases) < _MAX_UNSENT_RELEASES:
            self._unsent_releases[Suspicion(service, features)] = None
            self._released.set()

    async def _send_release(self, trial: Suspicion) -> None:
        try:
            await self._inform_counting_host(trial)
            self._unsent_releases.pop(trial, None)
        finally:
            self._sending.discard(trial)

    async def _inform_counting_host(self, trial: Suspicion) -> None:
        """Send a release to the first counting host that answers."""
        message = CrashReport(trial=trial, is_permitted=False).encode()
        for host in self._quarantine.trial_hosts(trial.service):
            if host == self._host:
                self._quarantine.end_trial(trial.features)
                return
            if await self._ask_host(host, message) is not None:
                return

    async def _ask_host(self, host: str, message: bytes) -> bool | None:
        address = self._fan_out.addresses().get(host)
        if self.client is None or address is None:
            return None
        answer = await self.client.report_crashes(address, message)
        if answer is None:
            return None
        report = CrashReport.decode(answer)
        return None if isinstance(report, InvalidRecord) else report.is_permitted
