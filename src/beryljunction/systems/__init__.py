"""Decisions: each system works over tables, with the time handed in and no input or output."""

from beryljunction.systems.admission import (
    Admission,
    AdmissionLimits,
    AdmissionSystem,
    Refuse,
    Start,
    Wait,
)
from beryljunction.systems.attempts import AttemptSystem, GiveUp, Step, Try
from beryljunction.systems.load import LoadBound, LoadLimits, LoadSystem, SpeedMeter
from beryljunction.systems.membership import ListedEndpoint, MembershipLimits, MembershipSystem
from beryljunction.systems.placement import (
    PlacementQuery,
    PlacementSystem,
    chat_key_of,
    rendezvous_score,
)
from beryljunction.systems.pointers import PointerSystem
from beryljunction.systems.queueing import FairQueue
from beryljunction.systems.rates import DrainMeter
from beryljunction.systems.retries import RetryBudget

__all__ = [
    "Admission",
    "AdmissionLimits",
    "AdmissionSystem",
    "AttemptSystem",
    "DrainMeter",
    "FairQueue",
    "GiveUp",
    "ListedEndpoint",
    "LoadBound",
    "LoadLimits",
    "LoadSystem",
    "MembershipLimits",
    "MembershipSystem",
    "PlacementQuery",
    "PlacementSystem",
    "PointerSystem",
    "Refuse",
    "RetryBudget",
    "SpeedMeter",
    "Start",
    "Step",
    "Try",
    "Wait",
    "chat_key_of",
    "rendezvous_score",
]
