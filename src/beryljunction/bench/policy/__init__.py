"""Decisions under load, measured: the real systems in virtual time against small fakes."""

from beryljunction.bench.policy.command import policy
from beryljunction.bench.policy.figures import Figures, run_policy
from beryljunction.bench.policy.policies import BASELINES, POLICIES
from beryljunction.bench.policy.scenarios import SCENARIOS, SIZES

__all__ = ["BASELINES", "POLICIES", "SCENARIOS", "SIZES", "Figures", "policy", "run_policy"]
