"""Decisions: each system works over tables, with the time handed in and no input or output."""

from beryljunction.systems.admission import (
    Admission,
    AdmissionLimits,
    AdmissionSystem,
    Refuse,
    Start,
    Wait,
)
from beryljunction.systems.attempts import AttemptSystem, GiveUp, RetryBudget, Step, Try
from beryljunction.systems.placement import (
    PlacementQuery,
    PlacementSystem,
    chat_key_of,
    rendezvous_score,
)

__all__ = [
    "Admission",
    "AdmissionLimits",
    "AdmissionSystem",
    "AttemptSystem",
    "GiveUp",
    "PlacementQuery",
    "PlacementSystem",
    "Refuse",
    "RetryBudget",
    "Start",
    "Step",
    "Try",
    "Wait",
    "chat_key_of",
    "rendezvous_score",
]
