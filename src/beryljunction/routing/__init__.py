"""Routing decisions of an entry that calls endpoints directly; no I/O and no clock access."""

from beryljunction.routing.admission_checks import Admitted, Denial, DenialReason, admit
from beryljunction.routing.announced_version import AnnouncedVersion
from beryljunction.routing.answer_times import AnswerTimes
from beryljunction.routing.attempts import AttemptDecision, AttemptOutcome, AttemptPlan
from beryljunction.routing.budget import RetryShare
from beryljunction.routing.cache_aware_placement import CacheAwarePlacement
from beryljunction.routing.cold_start import ColdStartLimit, ColdStartLimiter
from beryljunction.routing.confirmation import STORE, AgeBound, Confirmation
from beryljunction.routing.crashes import (
    PART_PREFIX,
    SUSPICION_S,
    Cause,
    CountedCrash,
    Crash,
    CrashTable,
    is_part,
)
from beryljunction.routing.digest import request_digest, stream_key
from beryljunction.routing.endpoints import EndpointRegistry
from beryljunction.routing.evacuations import Evacuations, ZoneChange
from beryljunction.routing.fanout import FanOut
from beryljunction.routing.fleet import (
    Account,
    CallerLimits,
    FleetConfig,
    RepeatPolicy,
    Route,
    Service,
    WeightedService,
)
from beryljunction.routing.health import healthy_endpoints, weighted_loads
from beryljunction.routing.known_endpoint import (
    EndpointRecord,
    KnownEndpoint,
    LatencyEstimate,
    LoadReport,
)
from beryljunction.routing.lease import SettingsLease
from beryljunction.routing.load_gossip import LoadSample, loads_to_gossip, merge_loads
from beryljunction.routing.mechanisms import ALL_ON, Mechanism, Mechanisms, list_switches
from beryljunction.routing.moved_sessions import MovedSession, MovedSessions
from beryljunction.routing.peers import Address, PeerTable, should_ask_peers
from beryljunction.routing.placement import (
    Choice,
    PassedOver,
    PassedOverReason,
    Placement,
    PlacementRequest,
    PlainPlacement,
    PrefillPlan,
)
from beryljunction.routing.prefill_rate import PrefillRate
from beryljunction.routing.prefix_directory import PrefixDirectory, PromptParts
from beryljunction.routing.rendezvous import responsible_hosts
from beryljunction.routing.report_coverage import ReportCoverage
from beryljunction.routing.retry_after import retry_after_s
from beryljunction.routing.service_versions import VERSIONS_TTL_S, ServiceVersions
from beryljunction.routing.store_reachability import StoreReachability
from beryljunction.routing.stream_origins import StreamOrigin, StreamOrigins
from beryljunction.routing.trials import TrialLimiter
from beryljunction.routing.unread_sends import UnreadSends

__all__ = [
    "VERSIONS_TTL_S",
    "ALL_ON",
    "Account",
    "Address",
    "Admitted",
    "AnnouncedVersion",
    "AnswerTimes",
    "AgeBound",
    "AttemptDecision",
    "AttemptOutcome",
    "AttemptPlan",
    "CacheAwarePlacement",
    "CallerLimits",
    "Cause",
    "ColdStartLimit",
    "ColdStartLimiter",
    "Confirmation",
    "CountedCrash",
    "Crash",
    "CrashTable",
    "Denial",
    "DenialReason",
    "EndpointRecord",
    "EndpointRegistry",
    "Evacuations",
    "FanOut",
    "FleetConfig",
    "KnownEndpoint",
    "LatencyEstimate",
    "LoadReport",
    "LoadSample",
    "Mechanism",
    "Mechanisms",
    "MovedSession",
    "MovedSessions",
    "PART_PREFIX",
    "PeerTable",
    "Choice",
    "PassedOver",
    "PassedOverReason",
    "Placement",
    "PlacementRequest",
    "PlainPlacement",
    "PrefillPlan",
    "PrefillRate",
    "PrefixDirectory",
    "PromptParts",
    "RepeatPolicy",
    "ReportCoverage",
    "RetryShare",
    "Route",
    "STORE",
    "Service",
    "ServiceVersions",
    "SettingsLease",
    "SUSPICION_S",
    "StoreReachability",
    "TrialLimiter",
    "UnreadSends",
    "StreamOrigin",
    "StreamOrigins",
    "WeightedService",
    "ZoneChange",
    "admit",
    "healthy_endpoints",
    "is_part",
    "list_switches",
    "loads_to_gossip",
    "merge_loads",
    "request_digest",
    "responsible_hosts",
    "retry_after_s",
    "should_ask_peers",
    "stream_key",
    "weighted_loads",
]
