"""Decisions on the tables, without I/O; callers pass in the current time."""

from beryljunction.systems.recovery.handover import (
    HandoverLimits,
    HandoverPlanner,
    Transfer,
    TransferResult,
    successor_of,
    wants_prefix,
)
from beryljunction.systems.recovery.membership import (
    ListedEndpoint,
    MembershipLimits,
    MembershipTracker,
)
from beryljunction.systems.requests.admission import (
    Admission,
    AdmissionController,
    AdmissionLimits,
    AdmissionQueued,
    AdmissionRefused,
    AdmissionStarted,
)
from beryljunction.systems.requests.attempts import GiveUp, RequestAttempts, Step, Try
from beryljunction.systems.requests.load import LoadBound, LoadLimits, LoadTracker, SpeedMeter
from beryljunction.systems.requests.placement import (
    EndpointSelector,
    PlacementQuery,
    chat_key_of,
    rendezvous_score,
)
from beryljunction.systems.requests.queueing import FairQueue
from beryljunction.systems.requests.rates import DrainMeter
from beryljunction.systems.requests.retries import RetryBudget
from beryljunction.systems.requests.uploads import Upload, UploadLimiter
from beryljunction.systems.state.claims import ClaimLimits, KeyClaimResolver
from beryljunction.systems.state.incarnation_clock import IncarnationClock, IssueValidity
from beryljunction.systems.state.key_claims import (
    ClaimBatch,
    KeyClaim,
    KeyLost,
    KeyMismatch,
    KeyUnavailable,
    KeyVerdict,
    KeyWon,
    claim_shard,
    key_digest,
    key_refusal,
)
from beryljunction.systems.state.pointers import ChatDirectory
from beryljunction.systems.state.ticket_claims import (
    AlreadyRunning,
    Expired,
    Failed,
    FirstClaim,
    Full,
    Invalid,
    Mismatch,
    Replay,
    TicketClaimRequest,
    TicketClaimResult,
    TicketRetired,
    Unstamped,
    Unverified,
    WrongIncarnation,
    claim_refusal,
)
from beryljunction.systems.state.ticket_mint import TicketMint, body_digest
from beryljunction.systems.state.tickets import LedgerLimits, TicketLedger
from beryljunction.systems.state.tombstones import (
    Arrival,
    OutcomeAnswer,
    RequestTombstones,
    TombstoneLimits,
)

__all__ = [
    "Admission",
    "AdmissionController",
    "AdmissionLimits",
    "AdmissionQueued",
    "AdmissionRefused",
    "AdmissionStarted",
    "AlreadyRunning",
    "Arrival",
    "ChatDirectory",
    "ClaimBatch",
    "ClaimLimits",
    "DrainMeter",
    "EndpointSelector",
    "Expired",
    "Failed",
    "FairQueue",
    "FirstClaim",
    "Full",
    "GiveUp",
    "HandoverLimits",
    "HandoverPlanner",
    "IncarnationClock",
    "Invalid",
    "IssueValidity",
    "KeyClaim",
    "KeyClaimResolver",
    "KeyLost",
    "KeyMismatch",
    "KeyUnavailable",
    "KeyVerdict",
    "KeyWon",
    "LedgerLimits",
    "ListedEndpoint",
    "LoadBound",
    "LoadLimits",
    "LoadTracker",
    "MembershipLimits",
    "MembershipTracker",
    "Mismatch",
    "OutcomeAnswer",
    "PlacementQuery",
    "Replay",
    "RequestAttempts",
    "RequestTombstones",
    "RetryBudget",
    "SpeedMeter",
    "Step",
    "TicketClaimRequest",
    "TicketClaimResult",
    "TicketLedger",
    "TicketMint",
    "TicketRetired",
    "TombstoneLimits",
    "Transfer",
    "TransferResult",
    "Try",
    "Unstamped",
    "Unverified",
    "Upload",
    "UploadLimiter",
    "WrongIncarnation",
    "body_digest",
    "chat_key_of",
    "claim_refusal",
    "claim_shard",
    "key_digest",
    "key_refusal",
    "rendezvous_score",
    "successor_of",
    "wants_prefix",
]
