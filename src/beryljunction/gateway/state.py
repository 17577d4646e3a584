"""State of one entry: settings, endpoints, retry budgets, and the routing decisions on them."""

import math
import random
from collections.abc import Collection, Iterable, Mapping

import attrs

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.auto_reset_event import AutoResetEvent
from beryljunction.gateway.buffer_memory import BufferMemory
from beryljunction.gateway.endpoint_losses import EndpointLosses
from beryljunction.gateway.events import EntryEventLog
from beryljunction.gateway.planned_stop import PlannedStop
from beryljunction.gateway.quarantine import Quarantine
from beryljunction.gateway.streamdirectory import StreamDirectory
from beryljunction.gateway.trials import TrialPermits
from beryljunction.platform import DeploymentBounds, HostSettings
from beryljunction.routing import (
    VERSIONS_TTL_S,
    AgeBound,
    AnnouncedVersion,
    AnswerTimes,
    CacheAwarePlacement,
    Choice,
    ColdStartLimit,
    ColdStartLimiter,
    Confirmation,
    EndpointRegistry,
    Evacuations,
    FanOut,
    FleetConfig,
    KnownEndpoint,
    LoadSample,
    MovedSession,
    MovedSessions,
    Placement,
    PlacementRequest,
    PlainPlacement,
    PrefillPlan,
    ReportCoverage,
    RetryShare,
    Service,
    SettingsLease,
    StoreReachability,
    StreamOrigin,
    UnreadSends,
    ZoneChange,
    healthy_endpoints,
    merge_loads,
    retry_after_s,
)

__all__ = ["EntryState", "VERSION_NOT_SERVED"]

# No endpoint has the software version that began the stream, or that version is not known.
VERSION_NOT_SERVED = "version_not_served"

# A starting entry is on the list of every other entry within this time. Until then it serves
# callers, gets no updates from other entries and reads the store itself.
_ADDRESSES_BOUND = AgeBound(40.0)
# Part of the memory that connections may fill. The rest is for the program, the state of the fleet,
# copies in passing, and what the allocator doesn't return.
_BUFFER_RATIO = 0.3
_BYTES_PER_MB = 1_000_000


class EntryState:
    """State and routing components of one entry.

    Attributes:
        config: Settings in force; None before the first read.
        config_record: The settings in force as the operator wrote them.
        announced_version: Newest version of the settings that other entries have announced.
        bounds: Limits that the deployment guarantees, as in force.
        mechanisms: Which optional routing mechanisms are enabled.
        endpoints_confirmation: Time up to which the endpoint records are known to be complete.
        addresses_confirmation: Time up to which the addresses of entries are known to be complete.
        store_reachability: When the store last answered, and when it became reachable again.
        evacuations: Availability zones that get no new requests.
        cold_start_limiter: This entry's share of the requests to endpoints that are warming up.
        fan_out: Which entries read the store, and which entry sends updates to which.
        era: Highest restore count of the store that this entry has seen.
        quarantine: Requests that crash the endpoints which run them.
        trial_permits: Permits to send requests that may crash endpoints.
        losses: Endpoints whose connections were lost, and which may have crashed.
        streams: Where streams began.
        answer_times: How long answers take, and how much time a retry is handed.
        unread_sends: Requests that endpoints may still read after their connections were closed.
        report_coverage: How many choices of an endpoint had a load report to go by.
        memory: What all connections buffer together.
        stop: When this entry exits, once it is stopping.
        store_data_changed: Set when data or a confirmation has arrived from the store or from
            another entry.
        awaits_peers: Whether this entry has started and hasn't asked others for newer settings yet.
    """

    def __init__(self, host: HostSettings, events: EntryEventLog) -> None:
        bounds = self.bounds = host.bounds
        self.host = host
        self.events = events
        self.config: FleetConfig | None = None
        self.config_record = b""
        self._routes_moved_s = -math.inf
        self.lease = SettingsLease(bounds.revocation_ms / 1000)
        self.announced_version = AnnouncedVersion(self.lease.revocation_s)
        self.endpoints_confirmation = Confirmation()
        self.addresses_confirmation = Confirmation()
        self.store_reachability = StoreReachability(2 * bounds.heartbeat_ms / 1000)
        self.registry = EndpointRegistry(self.store_reachability, self.addresses_confirmation)
        self.evacuations = Evacuations()
        self.era = 0
        self.cold_start_limiter = ColdStartLimiter(
            host.host, _cold_start_limit(bounds), boot_time_s()
        )
        self.fan_out = FanOut(host.host)
        self.quarantine = Quarantine(host.host, self.fan_out, events)
        self.trial_permits = TrialPermits(host.host, self.fan_out, self.quarantine)
        self.losses = EndpointLosses(self.registry, self.quarantine, events)
        self.streams = StreamDirectory(
            host.host,
            self.fan_out,
            self.registry,
            self.endpoints_confirmation,
            lambda: self.endpoints_bound,
            lambda: self.lease.confirmed_s,
            lambda: boot_time_s() - self._routes_moved_s <= VERSIONS_TTL_S,
            lambda service: self.known_service(service) is not None,
            events,
        )
        self.report_coverage = ReportCoverage()
        self.memory = BufferMemory(_buffer_limit_bytes(bounds), self._log_given_up)
        self.stop = PlannedStop()
        self.store_data_changed = AutoResetEvent()
        self.awaits_peers = False
        self.random = random.Random()
        mechanisms = self.mechanisms = host.mechanisms
        self._warm_placement = CacheAwarePlacement(mechanisms, self.random)
        self._plain_placement = PlainPlacement(host.availability_zone, self.random, mechanisms)
        self._retry_shares: dict[str, RetryShare] = {}
        self.unread_sends = UnreadSends()
        self.answer_times = AnswerTimes()
        # Known once the list of entries was read; without an address for others it never is.
        self._max_entries_seen = 0 if host.peers is not None else 1
        self._started_s = boot_time_s()

    def apply_bounds(self, bounds: DeploymentBounds) -> None:
        """Replace the limits that the deployment guarantees."""
        if bounds == self.bounds:
            return
        self.bounds = bounds
        self.lease.revocation_s = bounds.revocation_ms / 1000
        self.announced_version.memory_s = self.lease.revocation_s
        self.store_reachability.least_outage_s = 2 * bounds.heartbeat_ms / 1000
        self.cold_start_limiter.limit = _cold_start_limit(bounds)
        self.memory.limit_bytes = _buffer_limit_bytes(bounds)
        for share in self._retry_shares.values():
            share.set_limits(bounds.repeat_ratio, bounds.repeat_window_s, bounds.repeat_slack)

    def _log_given_up(self, size_bytes: int) -> None:
        self.events.write("buffers_full", given_up_bytes=size_bytes)

    @property
    def settings_bound(self) -> AgeBound:
        """How old this entry's view of the operator's settings and evacuations may become."""
        in_force_s = min(self.bounds.apply_ms, self.bounds.evacuation_ms) / 1000
        return AgeBound(min(in_force_s, self.lease.ready_s))

    @property
    def endpoints_bound(self) -> AgeBound:
        """How old this entry's view of the endpoints may become."""
        return AgeBound(self.bounds.drain_ms / 1000)

    @property
    def addresses_bound(self) -> AgeBound:
        """How old this entry's list of other entries may become."""
        return _ADDRESSES_BOUND

    def apply_config(self, config: FleetConfig, record: bytes) -> bool:
        """Put settings in force unless their version is not newer; return whether it was."""
        if self.config is not None and config.version <= self.config.version:
            return False
        if self.config is not None and config.stream_targets != self.config.stream_targets:
            self._routes_moved_s = boot_time_s()
        self.config = config
        self.config_record = record
        self.answer_times.keep(config.route_names)
        return True

    def replace_evacuations(self, zones: Iterable[str], position: int) -> None:
        """Replace the set of evacuated availability zones, as of a position in the records."""
        self._note_zones(self.evacuations.replace(zones, position, boot_time_s()))

    def update_evacuations(self, states: Mapping[str, bool], position: int) -> None:
        """Apply which availability zones were evacuated or returned to service."""
        self._note_zones(self.evacuations.update(states, position, boot_time_s()))

    def _note_zones(self, changes: Collection[ZoneChange]) -> None:
        for change in changes:
            event = "zone_evacuated" if change.is_evacuated else "zone_returned"
            self.events.write(event, zone=change.zone, position=self.evacuations.position)
        if changes:
            self.registry.evacuate(self.evacuations.zones, boot_time_s())

    def retry_share(self, service: str) -> RetryShare:
        """Return this entry's share of the retry budget of a service."""
        share = self._retry_shares.get(service)
        if share is None:
            bounds = self.bounds
            share = self._retry_shares[service] = RetryShare(
                bounds.repeat_ratio,
                bounds.repeat_window_s,
                bounds.repeat_slack,
                self._max_entries_seen,
                self._started_s,
            )
        return share

    def update_entry_count(self) -> None:
        """Update the budgets that are divided among the entries after their list has changed."""
        entries = len(self.fan_out)
        self.cold_start_limiter.note_entries(self.fan_out.hosts)
        self._max_entries_seen = max(self._max_entries_seen, entries)
        for share in self._retry_shares.values():
            share.note_entries(entries)

    def retries_left(self) -> float:
        """Return the number of retries left, summed over all services."""
        return sum(share.left(boot_time_s()) for share in self._retry_shares.values())

    def unread_retries(self) -> int:
        """Return the number of retries that endpoints may still read, over all services."""
        return sum(share.unread_retries for share in self._retry_shares.values())

    def choose_endpoint(
        self,
        service: str,
        request: PlacementRequest,
        tried: set[KnownEndpoint],
        origin: StreamOrigin | None = None,
        begins_stream: bool = False,
        is_retry: bool = False,
    ) -> Choice | None:
        """Choose the endpoint for a request; healthy ones are preferred to suspect ones.

        Args:
            service: Name of the service.
            request: What placement knows of the request.
            tried: Endpoints that the request was sent to.
            origin: Where the stream began that the endpoint is to continue; None for a new one.
            begins_stream: Whether the endpoint is to begin a stream that may be resumed.
            is_retry: Whether it was sent before; endpoints that may stand still are then avoided.
        """
        now_s = boot_time_s()
        usable = [row for row in self.registry.usable(service, now_s) if row not in tried]
        if origin is not None:
            usable = [row for row in usable if self.can_resume(origin, row)]
        allowed = self.cold_start_limiter.allowed(usable, self.known_service(service), now_s)
        if begins_stream and origin is None:
            allowed = self.registry.of_saved_versions(service, allowed) or allowed
        healthy = healthy_endpoints(allowed, now_s, self.mechanisms)
        if is_retry:
            healthy = [row for row in healthy if not row.unread] or healthy
        excluded = self.registry.others(service, allowed)
        request = attrs.evolve(
            request, excluded_endpoints=excluded, entries=max(1, len(self.fan_out))
        )
        choice = self._placement(service).decide(healthy, request, now_s)
        if choice is not None:
            self.report_coverage.note_choice(service, choice.age_s, now_s)
        return choice

    def stream_origin(self, endpoint: KnownEndpoint, attempt: int) -> StreamOrigin:
        """Return the origin of a stream that an endpoint begins now.

        In an outage of the store, another incarnation may have the id, with another version.
        """
        record = endpoint.record
        age_s = self.endpoints_confirmation.age_s(boot_time_s())
        is_certain = not record.may_reuse_id or age_s <= self.endpoints_bound.usual_age_s
        version = record.version if is_certain else None
        return StreamOrigin(record.service, endpoint.incarnation_id, version, attempt)

    def can_resume(self, origin: StreamOrigin, endpoint: KnownEndpoint) -> bool:
        """Return whether an endpoint has the software version that began a stream."""
        return self.registry.can_resume(origin, endpoint)

    def reason_not_to_send(
        self, service: str, endpoint: KnownEndpoint, origin: StreamOrigin | None = None
    ) -> str:
        """Return why a request may not go to an endpoint now; empty if it may."""
        now_s = boot_time_s()
        if origin is not None and not self.can_resume(origin, endpoint):
            return "endpoint has another version"
        if not self.registry.is_usable(endpoint):
            is_known = self.registry.find(endpoint.record.endpoint_id) is endpoint
            return "zone is evacuated" if is_known and endpoint.is_evacuated else "endpoint left"
        if endpoint.is_paused(now_s):
            return "endpoint is paused"
        is_allowed = self.cold_start_limiter.allows(endpoint, self.known_service(service), now_s)
        return "" if is_allowed else "endpoint is cold"

    def note_send(self, service: str, endpoint: KnownEndpoint) -> None:
        """Count a request that is sent to an endpoint now."""
        self.cold_start_limiter.note_send(endpoint, self.known_service(service), boot_time_s())

    def no_endpoint_reason(self, service: str, origin: StreamOrigin | None = None) -> str:
        """Return why no endpoint of a service can be chosen."""
        now_s = boot_time_s()
        rows = self.registry.open(service, now_s)
        if origin is not None and not any(self.can_resume(origin, row) for row in rows):
            return VERSION_NOT_SERVED
        known = self.known_service(service)
        usable = self.registry.usable(service, now_s)
        if not usable and rows:
            return "endpoints_paused"
        if not usable and self.registry.evacuated(service):
            return "zones_evacuated"
        is_limited = len(self.cold_start_limiter.allowed(usable, known, now_s)) < len(usable)
        return "endpoints_cold" if is_limited else "no_endpoint"

    def queueing_endpoints(self) -> dict[str, int]:
        """Return how many endpoints of each service had waiting requests a moment ago."""
        now_s = boot_time_s()
        counts = dict.fromkeys(self.config.services if self.config is not None else (), 0)
        for row in self.registry.rows:
            if row.has_queue(now_s):
                counts[row.record.service] = counts.get(row.record.service, 0) + 1
        return counts

    def cold_endpoints(self) -> int:
        """Return how many endpoints are, or may be, warming up."""
        now_s = boot_time_s()
        rows = self.registry.rows
        return sum(
            self.cold_start_limiter.is_cold(row, self.known_service(row.record.service), now_s)
            for row in rows
        )

    def retry_after_s(
        self, service: str, tried: set[KnownEndpoint], left_s: float | None
    ) -> float | None:
        """Return the Retry-After value for a refused caller; None to send none."""
        if not self.mechanisms.retry_pauses:
            return None
        now_s = boot_time_s()
        usable = self.registry.usable(service, now_s)
        healthy = healthy_endpoints(usable, now_s, self.mechanisms)
        rows = [row for row in healthy if row not in tried]
        available_in_s = 0.0 if usable else self.registry.available_in_s(service, now_s)
        return retry_after_s(rows, left_s, self.random, now_s, available_in_s)

    def prefill_plan(
        self, service: str, chosen: KnownEndpoint, request: PlacementRequest
    ) -> PrefillPlan:
        """Return what the chosen endpoint has to prefill, and where it may fetch KV cache from."""
        now_s = boot_time_s()
        drain_s = self.bounds.drain_ms / 1000 if self.mechanisms.departed_sources else 0.0
        rows = self.registry.reachable(service, now_s, drain_s)
        prefill = self._placement(service).plan_prefill(rows, chosen, request, now_s)
        known = self.known_service(service)
        can_fetch = known is not None and known.can_fetch
        return prefill if can_fetch else attrs.evolve(prefill, source=None)

    def note_first_byte(self, service: str, prefill: PrefillPlan, took_ms: float) -> None:
        """Record how long an endpoint took to send the first byte of its response."""
        self._placement(service).note_first_byte(service, prefill, took_ms)

    @property
    def moved_sessions(self) -> MovedSessions:
        """Sessions that other entries would send to a different endpoint by default."""
        return self._warm_placement.moved

    def note_join(self, endpoint_id: str) -> None:
        """Tell the placement that an endpoint has joined."""
        self._warm_placement.announce_outranked_sessions(endpoint_id, boot_time_s())

    def apply_gossip(self, sessions: Iterable[MovedSession], loads: Iterable[LoadSample]) -> None:
        """Apply another entry's session placements and its reports of loads."""
        now_s = boot_time_s()
        for session in sessions:
            self._warm_placement.note_moved_session(session, now_s)
        if self.mechanisms.load_news:
            merge_loads(self.registry.rows, loads, now_s)

    def _placement(self, service: str) -> Placement:
        known = self.known_service(service)
        return (
            self._warm_placement if known is not None and known.is_engine else self._plain_placement
        )

    def known_service(self, service: str) -> Service | None:
        """Return what the settings in force say of a service; None if they don't know it."""
        return self.config.services.get(service) if self.config is not None else None

    def is_ready(self) -> bool:
        """Return whether this entry can serve callers."""
        is_known = self.config is not None and self.registry.is_loaded and not self.awaits_peers
        return is_known and self.lease.is_ready(boot_time_s())


def _buffer_limit_bytes(bounds: DeploymentBounds) -> float:
    return bounds.memory_mb * _BYTES_PER_MB * _BUFFER_RATIO


def _cold_start_limit(bounds: DeploymentBounds) -> ColdStartLimit:
    return ColdStartLimit(bounds.cold_overshoot, bounds.cold_slack)
