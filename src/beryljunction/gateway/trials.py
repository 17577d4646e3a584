"""Asks whether a request under suspicion may be sent as a trial."""

from typing import Protocol

from beryljunction.gateway.crashreports import CrashReport, Suspicion
from beryljunction.gateway.quarantine import Quarantine
from beryljunction.platform import InvalidRecord
from beryljunction.routing import Address, FanOut

__all__ = ["TrialClient", "TrialPermits"]


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

    async def release(self, service: str, features: frozenset[str]) -> None:
        """Inform the host that permitted a trial that it ended without a crash."""
        message = CrashReport(trial=Suspicion(service, features), is_permitted=False).encode()
        for host in self._quarantine.trial_hosts(service):
            if host == self._host:
                self._quarantine.end_trial(features)
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
