"""What a run says about the callers' outcome and the load."""

import statistics

import attrs

from beryljunction.bench.policy.fakes import EngineCosts, FakeEngine
from beryljunction.bench.policy.policies import POLICIES
from beryljunction.bench.policy.scenarios import SCENARIOS, SIZES, WARMUP_S, Call, draw
from beryljunction.bench.policy.world import Asked, FakeSidecar, World
from beryljunction.outcomes import Ran

__all__ = ["Figures", "LoadWatch", "run_policy"]

_LEAST_MEAN = 4.0
_WARM_SHARE = 0.5
_DRAIN_S = 20.0
_LIST_LAG_S = 3.0


@attrs.frozen
class Figures:
    """Figures of one run; times in seconds of virtual time.

    Attributes:
        max_over_mean: Highest ratio of one endpoint's running requests to the mean over the
            service's endpoints, over all moments at which that mean is at least 4; an endpoint
            counts from three seconds after it came, when the lists of the entries have it.
        max_over_mean_at_start: The same over the moments at which the endpoint starts a request.
        found_warm_ratio: Returning requests that found at least half of their prefix cached.
        goodput_over_capacity: Tokens of answers whose first token met the deadline, over what the
            engines give with full batches and all returning chats warm.
        retries_over_requests: Tries that were neither first, nor led by a pointer, nor a spill.
    """

    requests: int
    found_warm_ratio: float
    max_over_mean: float
    max_over_mean_at_start: float
    first_token_s_p50: float
    first_token_s_p95: float
    first_token_s_p99: float
    small_account_wait_s_p95: float
    goodput_over_capacity: float
    refused_ratio: float
    small_account_refused_ratio: float
    false_not_run: int
    double_runs: int
    hops_mean: float
    retries_over_requests: float
    control_bytes_per_s_per_node: float


class LoadWatch:
    """Follows the running requests of each service's endpoints."""

    def __init__(self) -> None:
        self.highest = 0.0
        self.highest_at_start = 0.0

    def moment(self, sidecar: FakeSidecar) -> None:
        """Look at the service of an endpoint whose load has changed."""
        runs = self._runs(sidecar)
        if runs:
            self.highest = max(self.highest, max(runs) * len(runs) / sum(runs))

    def start(self, sidecar: FakeSidecar) -> None:
        """Look at an endpoint that has just started a request."""
        runs = self._runs(sidecar)
        if runs:
            ratio = sidecar.engine.running * len(runs) / sum(runs)
            self.highest_at_start = max(self.highest_at_start, ratio)

    @staticmethod
    def _runs(sidecar: FakeSidecar) -> list[int]:
        world = sidecar.world
        if not WARMUP_S <= world.now_s <= WARMUP_S + world.size.life_s:
            return []
        live = [s for s in world.live(sidecar.service) if world.now_s - s.since_s >= _LIST_LAG_S]
        runs = [s.engine.running for s in live]
        return runs if runs and sum(runs) / len(runs) >= _LEAST_MEAN else []


def run_policy(scenario_name: str, size_name: str, policy_name: str, seed: int) -> Figures:
    """Run one scenario under one policy."""
    scenario, size = SCENARIOS[scenario_name], SIZES[size_name]
    calls, faults = draw(scenario, size, seed)
    load = LoadWatch()
    world = World(scenario, size, POLICIES[policy_name], seed, load.moment, load.start)
    end_s = WARMUP_S + size.life_s
    done = world.run(calls, faults, end_s + _DRAIN_S)
    seen = [asked for asked in done if asked.call.at_s >= WARMUP_S]
    chats = [asked for asked in seen if asked.call.chat]
    ran = [asked for asked in seen if asked.first_token_s is not None]
    ran_chats = [asked for asked in ran if asked.call.chat]
    returning = [asked for asked in ran_chats if asked.call.prefix_tokens]
    first = sorted(asked.first_token_s - asked.call.at_s for asked in ran_chats)
    small = [asked for asked in seen if asked.call.small_account and asked.call.chat]
    waits = sorted(a.started_s - a.call.at_s for a in small if a.started_s is not None)
    capacity = size.services[0].endpoints * _capacity_tokens_per_s(calls)
    on_time = sum(
        a.call.output_tokens
        for a in done
        if a.call.chat
        and a.ended_s is not None
        and WARMUP_S <= a.ended_s < end_s
        and a.first_token_s - a.call.at_s <= a.call.deadline_s
    )
    tries = sum(asked.all_tries for asked in seen)
    control = sum(sidecar.control_bytes for sidecar in world.sidecars.values())
    return Figures(
        requests=len(seen),
        found_warm_ratio=_share(returning, _found_warm),
        max_over_mean=round(load.highest, 4),
        max_over_mean_at_start=round(load.highest_at_start, 4),
        first_token_s_p50=_quantile(first, 0.5),
        first_token_s_p95=_quantile(first, 0.95),
        first_token_s_p99=_quantile(first, 0.99),
        small_account_wait_s_p95=_quantile(waits, 0.95),
        goodput_over_capacity=round(on_time / (capacity * size.life_s), 4),
        refused_ratio=_share(chats, _refused),
        small_account_refused_ratio=_share(small, _refused),
        false_not_run=sum(a.starts > 0 and _told_not_run(a) for a in seen),
        double_runs=sum(a.starts > 1 for a in seen if a.call.chat is None),
        hops_mean=round(tries / max(1, len(seen)), 4),
        retries_over_requests=round(sum(a.all_retries for a in seen) / max(1, len(seen)), 4),
        control_bytes_per_s_per_node=round(control / len(world.sidecars) / world.now_s, 1),
    )


def _found_warm(asked: Asked) -> bool:
    return asked.cached_tokens >= _WARM_SHARE * asked.call.prefix_tokens


def _refused(asked: Asked) -> bool:
    return asked.refusal is not None


def _told_not_run(asked: Asked) -> bool:
    return asked.refusal is not None and asked.refusal.ran is Ran.NO


def _share(rows: list[Asked], holds: object) -> float:
    return round(sum(map(holds, rows)) / max(1, len(rows)), 4)  # type: ignore[call-overload]


def _quantile(values: list[float], share: float) -> float:
    return round(values[int(share * (len(values) - 1))], 4) if values else 0.0


def _capacity_tokens_per_s(calls: list[Call]) -> float:
    """Return what one engine gives with its batch always full and each returning chat warm."""
    engine = FakeEngine(EngineCosts())
    chats = [call for call in calls if call.chat]
    prefilling: list[tuple[float, int]] = []
    now_s, tokens, taken = 0.0, 0, 0
    start_s, start_tokens = 30.0, 0
    while now_s < 90.0 and taken < len(chats) - 1:
        while engine.running < engine.costs.max_running:
            call = chats[taken]
            taken += 1
            engine.keep("chat", call.prefix_tokens)
            ready_s, _ = engine.start("chat", call.prompt_tokens, now_s)
            prefilling.append((ready_s, call.output_tokens))
        next_end_s = engine.next_end_s()
        ready_s = prefilling[0][0] if prefilling else None
        if ready_s is not None and (next_end_s is None or ready_s <= next_end_s):
            now_s = ready_s
            output = prefilling.pop(0)[1]
            engine.decode(str(output), output, now_s)
            continue
        assert next_end_s is not None
        now_s = next_end_s
        engine.advance(now_s)
        tokens += sum(int(output) for output in engine.pop_ended())
        if now_s < start_s:
            start_tokens = tokens
    return (tokens - start_tokens) / max(1.0, now_s - start_s)
