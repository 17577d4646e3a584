"""The command `beryl-bench policy`."""

import json as json_codec
from collections.abc import Mapping

import attrs

from beryljunction.bench.policy.figures import Figures, run_policy
from beryljunction.bench.policy.policies import BASELINES, POLICIES
from beryljunction.bench.policy.scenarios import SCENARIOS, SIZES
from beryljunction.errors import SettingsError

__all__ = ["check_name", "policy"]


def policy(
    *,
    scenario: str,
    seed: int = 1,
    policy: str = "current",
    size: str = "prairie",
    json: bool = False,
) -> int:
    """Measure the decisions under load in virtual time, beside the usual baselines.

    :param scenario: What happens, such as steady, surge or churn; a wrong name lists them all.
    :param seed: Seed of all that is random.
    :param policy: Policy to measure; the present one is "current".
    :param size: Fleet: prairie, sahyog or target.
    :param json: Print one JSON object and leave out all baselines but the unbounded one.
    """
    check_name("--scenario", scenario, SCENARIOS)
    check_name("--policy", policy, POLICIES)
    check_name("--size", size, SIZES)
    names = (policy, "unbounded") if json else (policy, *BASELINES)
    figures = {name: run_policy(scenario, size, name, seed) for name in dict.fromkeys(names)}
    if json:
        fields = attrs.asdict(figures[policy])
        fields["found_warm_ratio_unbounded"] = figures["unbounded"].found_warm_ratio
        print(json_codec.dumps(fields))
        return 0
    print(f"{'':30}" + "".join(f"{name:>14}" for name in figures))
    for field in attrs.fields(Figures):
        values = [getattr(row, field.name) for row in figures.values()]
        print(f"{field.name:30}" + "".join(f"{value:>14}" for value in values))
    return 0


def check_name(option: str, name: str, known: Mapping[str, object]) -> None:
    """Refuse a name that is not known, and say which are."""
    if name not in known:
        raise SettingsError([f"{option}: expected one of {', '.join(known)}, got {name!r}"])
