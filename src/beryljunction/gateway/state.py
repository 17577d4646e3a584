"""What an entry knows: settings, endpoints, shares of second sends, and the decisions over them."""

import random

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.events import Events
from beryljunction.platform import HostBounds, HostSettings
from beryljunction.routing import (
    Demand,
    EndpointRegistry,
    FleetConfig,
    KnownEndpoint,
    Placement,
    PlainPlacement,
    RetryShare,
    SettingsLease,
    WarmPlacement,
    retry_after_s,
    sound_rows,
)

__all__ = ["EntryState"]


class EntryState:
    """Tables and systems of one entry.

    Attributes:
        config: Settings in force; None before the first were read.
        bounds: Promises of the deployment in force.
    """

    def __init__(self, host: HostSettings, events: Events) -> None:
        bounds = self.bounds = host.bounds
        self.host = host
        self.events = events
        self.config: FleetConfig | None = None
        self.lease = SettingsLease(bounds.revocation_ms / 1000)
        self.registry = EndpointRegistry()
        self.random = random.Random()
        self._warm = WarmPlacement()
        self._plain = PlainPlacement(host.availability_zone, self.random)
        self._shares: dict[str, RetryShare] = {}

    def apply_bounds(self, bounds: HostBounds) -> None:
        """Put other bounds of the deployment in force."""
        if bounds == self.bounds:
            return
        self.bounds = bounds
        self.lease.revocation_s = bounds.revocation_ms / 1000
        self._shares.clear()

    def apply(self, config: FleetConfig) -> bool:
        """Put settings in force; never older ones than those that are."""
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        return True

    def share(self, service: str) -> RetryShare:
        """Return this entry's share of second sends to a service."""
        share = self._shares.get(service)
        if share is None:
            bounds = self.bounds
            share = self._shares[service] = RetryShare(
                bounds.repeat_ratio, bounds.repeat_window_s, bounds.repeat_slack
            )
        return share

    def repeats_left(self) -> float:
        """Return the second sends left, over all services."""
        return sum(share.left for share in self._shares.values())

    def choose(
        self, service: str, demand: Demand, tried: set[KnownEndpoint]
    ) -> KnownEndpoint | None:
        """Return the endpoint that is to get a request; sound ones go before doubtful ones."""
        now_s = boot_time_s()
        usable = [row for row in self.registry.usable(service, now_s) if row not in tried]
        sound = sound_rows(usable, now_s)
        return self._placement(service).choose(sound, demand, now_s)

    def retry_after_s(self, service: str, tried: set[KnownEndpoint], left_s: float | None) -> float:
        """Return the pause that a refused caller is told."""
        now_s = boot_time_s()
        usable = self.registry.usable(service, now_s)
        rows = [row for row in sound_rows(usable, now_s) if row not in tried]
        return retry_after_s(rows, left_s, self.random, now_s)

    def source(self, service: str, chosen: KnownEndpoint, demand: Demand) -> tuple[str, int] | None:
        """Return the address of who keeps more of a prompt than the chosen endpoint."""
        now_s = boot_time_s()
        rows = self.registry.reachable(service, now_s)
        found = self._placement(service).source(rows, chosen, demand, now_s)
        known = self.config.services.get(service) if self.config is not None else None
        can_fetch = known is not None and known.can_fetch
        return found.record.address if found is not None and can_fetch else None

    def unread_tokens(self, service: str, chosen: KnownEndpoint, demand: Demand) -> int:
        """Return the prompt tokens that the chosen endpoint will have to read."""
        now_s = boot_time_s()
        rows = self.registry.reachable(service, now_s)
        return self._placement(service).unread_tokens(rows, chosen, demand, now_s)

    def _placement(self, service: str) -> Placement:
        return self._warm if self._is_engine(service) else self._plain

    def _is_engine(self, service: str) -> bool:
        known = self.config.services.get(service) if self.config is not None else None
        return known is not None and known.is_engine

    def is_ready(self) -> bool:
        """Return whether callers can be served here."""
        is_known = self.config is not None and self.registry.is_loaded
        return is_known and self.lease.is_ready(boot_time_s())
