"""Stateful fuzzing of the promises to callers: real systems, small fakes, a plain oracle.

It needs the developer's requirements (hypothesis); nothing that runs in production imports it.
"""

from beryljunction.fuzz.machine import CI, FleetMachine, Profile, Tally, run_fuzz
from beryljunction.fuzz.oracle import Kind, Operation, Oracle
from beryljunction.fuzz.world import ENDPOINTS, ENTRIES, World

__all__ = [
    "CI",
    "ENDPOINTS",
    "ENTRIES",
    "FleetMachine",
    "Kind",
    "Operation",
    "Oracle",
    "Profile",
    "Tally",
    "World",
    "run_fuzz",
]
