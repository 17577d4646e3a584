"""The policies that a run compares: the present one, its earlier forms and the usual baselines."""

import attrs

from beryljunction.bench.policy.fakes import MAX_RUNNING, PREFILL_TOKENS_PER_S
from beryljunction.systems import AdmissionLimits

__all__ = ["BASELINES", "POLICIES", "Policy"]

_NO_BOUND = 1e9
_NO_WAIT = 1e12


@attrs.frozen
class Policy:
    """How entries order the endpoints and what the sidecars enforce.

    Attributes:
        order: "rendezvous", or how an entry without it chooses.
        pointers: Whether sidecars know which chats are cached where.
        cold_multiple: Part of the mean from which requests with nothing cached go elsewhere.
    """

    order: str = "rendezvous"
    bounded: bool = True
    pointers: bool = True
    waits: bool = True
    cold_multiple: float = 0.9

    def limits(self) -> AdmissionLimits:
        """Return the limits of a sidecar under this policy."""
        return AdmissionLimits(
            load_multiple=1.25 if self.bounded else _NO_BOUND,
            cold_multiple=self.cold_multiple if self.bounded and self.pointers else _NO_BOUND,
            max_running=MAX_RUNNING,
            quantum_tokens=4_096,
            prefill_tokens_per_s=PREFILL_TOKENS_PER_S if self.waits else _NO_WAIT,
        )


POLICIES = {
    "current": Policy(),
    "cold-from-mean": Policy(cold_multiple=1.0),
    "no-wait": Policy(waits=False),
    "no-pointers": Policy(waits=False, pointers=False),
    "unbounded": Policy(bounded=False, pointers=False, waits=False),
    "least-loaded": Policy("least-loaded", False, False, False),
    "round-robin": Policy("round-robin", False, False, False),
    "random": Policy("random", False, False, False),
}

BASELINES = ("unbounded", "least-loaded", "round-robin", "random")
