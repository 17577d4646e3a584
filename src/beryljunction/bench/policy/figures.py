"""What a run says about the callers' outcome and the load."""

import heapq
import math
from collections.abc import Callable

import attrs

from beryljunction.bench.policy.fakes import MAX_RUNNING, FakeEngine
from beryljunction.bench.policy.policies import POLICIES
from beryljunction.bench.policy.scenarios import DEADLINE_S, SCENARIOS, SIZES, WARMUP_S, Call, draw
from beryljunction.bench.policy.world import Asked, FakeSidecar, World

__all__ = ["Figures", "run_policy"]

_LEAST_MEAN = 4.0
_WARM_SHARE = 0.5
_DRAIN_S = 20.0
_JOIN_S = 5.0
_CAPACITY_S = 40.0
_FIRST_SMALL_ACCOUNT = 5


@attrs.frozen
class Figures:
    """Figures of the calls after the warm-up; all but ``requests`` are of the model service.

    Attributes:
        requests: What callers sent, re-sent ones among them.
        found_warm_ratio: Returning requests that found at least half of their prefix cached.
        max_over_mean: Highest ratio of one engine's running requests to the mean over the engines,
            over all moments at which that mean is at least 4; an engine that came back counts
            from five seconds after it came.
        first_token_s_p95: Time from the caller's last sending to the first token, 95th percentile.
        small_account_wait_s_p95: The same to the start, over the five smallest accounts.
        goodput_over_capacity: Tokens a second of answers whose first token met the deadline, over
            what the engines give with full batches and all returning chats warm.
        hops_mean: Tries of a request, the first among them.
        retries_over_requests: Tries that the entries' retry budget paid for.
        failovers_over_requests: Tries at endpoints that proved not to have run the request.
    """

    requests: int
    found_warm_ratio: float
    max_over_mean: float
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
    failovers_over_requests: float
    control_bytes_per_s_per_node: float


class _LoadWatch:
    """Follows the running requests of the engines."""

    def __init__(self) -> None:
        self.highest = 0.0

    def __call__(self, sidecar: FakeSidecar) -> None:
        world = sidecar.world
        is_engine = sidecar.service == world.size.services[0].name
        if not is_engine or not WARMUP_S <= world.now_s <= world.size.end_s:
            return
        live = world.live(sidecar.service)
        runs = [s.engine.running for s in live if world.now_s - s.since_s >= _JOIN_S]
        mean = sum(runs) / max(1, len(runs))
        if mean >= _LEAST_MEAN:
            self.highest = max(self.highest, max(runs) / mean)


def run_policy(scenario_name: str, size_name: str, policy_name: str, seed: int) -> Figures:
    """Run one scenario under one policy."""
    scenario, size = SCENARIOS[scenario_name], SIZES[size_name]
    calls, faults = draw(scenario, size, seed)
    load = _LoadWatch()
    world = World(scenario, size, POLICIES[policy_name], seed, load)
    done = world.run(calls, faults, size.end_s + _DRAIN_S)
    seen = [asked for asked in done if asked.call.at_s >= WARMUP_S]
    chats = [asked for asked in seen if asked.call.chat]
    small = [asked for asked in chats if asked.call.account >= _FIRST_SMALL_ACCOUNT]
    ran = [asked for asked in chats if asked.first_token_s < math.inf]
    returning = [asked for asked in ran if asked.call.prefix_tokens]
    first = sorted(asked.first_token_s - asked.sent_s for asked in ran)
    waits = sorted(a.started_s - a.sent_s for a in small if a.started_s < math.inf)
    capacity_tokens = _capacity_tokens_per_s(calls) * size.services[0].endpoints * size.life_s
    in_time_tokens = sum(_tokens_in_time(asked, WARMUP_S, size.end_s) for asked in done)
    sent = sum(1 + asked.resends for asked in chats)
    control_bytes = sum(sidecar.control_bytes for sidecar in world.sidecars.values())
    return Figures(
        requests=sum(1 + asked.resends for asked in seen),
        found_warm_ratio=_share(returning, _found_warm),
        max_over_mean=round(load.highest, 4),
        first_token_s_p50=_quantile(first, 0.5),
        first_token_s_p95=_quantile(first, 0.95),
        first_token_s_p99=_quantile(first, 0.99),
        small_account_wait_s_p95=_quantile(waits, 0.95),
        goodput_over_capacity=round(in_time_tokens / capacity_tokens, 4),
        refused_ratio=_share(chats, lambda asked: asked.refusal is not None),
        small_account_refused_ratio=_share(small, lambda asked: asked.refusal is not None),
        false_not_run=sum(asked.false_not_run for asked in done),
        double_runs=sum(asked.runs > 1 for asked in done if not asked.call.chat),
        hops_mean=round(sum(asked.tries for asked in chats) / sent, 4),
        retries_over_requests=round(sum(asked.retries for asked in chats) / sent, 4),
        failovers_over_requests=round(sum(asked.failovers for asked in chats) / sent, 4),
        control_bytes_per_s_per_node=round(control_bytes / len(world.sidecars) / world.now_s, 1),
    )


def _found_warm(asked: Asked) -> bool:
    return asked.cached_tokens >= _WARM_SHARE * asked.call.prefix_tokens


def _tokens_in_time(asked: Asked, start_s: float, end_s: float) -> float:
    """Return the tokens of a whole answer that fell into a time, if its first one was in time."""
    ended = asked.call.chat is not None and asked.ended_s < math.inf
    if not ended or asked.first_token_s - asked.sent_s > DEADLINE_S:
        return 0.0
    first_s = min(asked.first_token_s, asked.ended_s)
    within_s = min(asked.ended_s, end_s) - max(first_s, start_s)
    return asked.call.output_tokens * max(0.0, within_s) / max(1e-9, asked.ended_s - first_s)


def _share(rows: list[Asked], holds: Callable[[Asked], bool]) -> float:
    return round(sum(map(holds, rows)) / max(1, len(rows)), 4)


def _quantile(values: list[float], share: float) -> float:
    return round(values[int(share * (len(values) - 1))], 4) if values else 0.0


def _capacity_tokens_per_s(calls: list[Call]) -> float:
    """Return what one engine gives with its batch always full and each returning chat warm."""
    engine = FakeEngine(cache_tokens=1)
    chats = iter([call for call in calls if call.chat and call.at_s >= WARMUP_S])
    prefilling: list[tuple[float, int]] = []
    now_s, tokens = 0.0, 0.0
    while now_s < _CAPACITY_S:
        while engine.running < MAX_RUNNING and (call := next(chats, None)) is not None:
            engine.keep("chat", call.prefix_tokens)
            ready_s, _ = engine.start("chat", call.prompt_tokens, now_s)
            heapq.heappush(prefilling, (ready_s, call.output_tokens))
        if prefilling and prefilling[0][0] <= engine.next_end_s():
            now_s, output_tokens = heapq.heappop(prefilling)
            engine.decode(output_tokens, output_tokens, now_s)
        else:
            now_s = engine.next_end_s()
            engine.advance(now_s)
            engine.pop_ended()
        if now_s < _CAPACITY_S / 2:
            tokens = -engine.sent_tokens
    return (tokens + engine.sent_tokens) / (_CAPACITY_S / 2)
