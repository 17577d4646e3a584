"""What callers send and what fails, drawn from a seed before any policy runs."""

import random

import attrs

__all__ = ["DEADLINE_S", "SCENARIOS", "SIZES", "WARMUP_S", "Call", "Fault", "Size", "draw"]

WARMUP_S = 40.0
DEADLINE_S = 5.0
_CHAT_PAUSE_S = 30.0
_RETURNING_SHARE = 0.8
_ACCOUNT_SHARES = (0.28, 0.2, 0.14, 0.1, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02)
_SKEWED_SHARES = (0.6, 0.08, 0.07, 0.06, 0.05, 0.04, 0.035, 0.025, 0.022, 0.018)
_SURGING_ACCOUNT = 3
_LONG_SHARE = 0.1
_MOST_PREFIX_TOKENS = 16_000
_FAULT_PERIOD_S = {"churn": 15.0, "flap": 6.0, "hide": 5.0, "pause": 30.0}


@attrs.frozen
class Service:
    """One service and its demand for each endpoint, in requests a second."""

    name: str
    endpoints: int
    rate: float = 6.5
    is_engine: bool = True


@attrs.frozen
class Size:
    """A fleet; ``latency_s`` is one way between an entry and a sidecar."""

    services: tuple[Service, ...]
    entries: int
    zones: int
    latency_s: float
    life_s: float = 60.0

    @property
    def end_s(self) -> float:
        """Time of the last call."""
        return WARMUP_S + self.life_s


SIZES = {
    "prairie": Size((Service("reel-llm", 5), Service("intake-app", 3, 8.0, False)), 4, 3, 0.0005),
    "sahyog": Size((Service("drafter", 9), Service("ledger", 4, 8.0, False)), 4, 4, 0.0015),
    # One of the 17 models: 700 / 17 endpoints, and entries in proportion.
    "target": Size((Service("model", 41),), 20, 10, 0.001, 30.0),
}


@attrs.frozen
class Scenario:
    """How a run differs from steady demand.

    Attributes:
        demand: Factor on all demand.
        burst: Factor on all demand for five seconds.
        surge: Factor on one account's demand from then on.
        fault: Kind of fault that keeps happening.
        cache_tokens: Size of an engine's prefix cache.
    """

    shares: tuple[float, ...] = _ACCOUNT_SHARES
    demand: float = 1.0
    burst: float = 1.0
    surge: float = 1.0
    long_work: bool = False
    fault: str = ""
    cache_tokens: int = 2_000_000


SCENARIOS = {
    "steady": Scenario(),
    "burst": Scenario(burst=2.5),
    "skewed": Scenario(shares=_SKEWED_SHARES),
    "surge": Scenario(surge=10.0),
    "slow-endpoint": Scenario(fault="slow"),
    "removed-endpoint": Scenario(fault="removed"),
    "mixed": Scenario(long_work=True),
    "saturated": Scenario(demand=3.0),
    "churn": Scenario(fault="churn"),
    "flap": Scenario(fault="flap"),
    "disagree": Scenario(fault="hide"),
    "gaps": Scenario(cache_tokens=250_000),
    "pause": Scenario(fault="pause"),
    "zone-loss": Scenario(fault="zone"),
}


@attrs.frozen
class Call:
    """One request of a caller; ``prefix_tokens`` is what its chat's earlier turns left cached."""

    at_s: float
    service: str
    account: int
    chat: str | None
    prompt_tokens: int
    output_tokens: int
    prefix_tokens: int = 0


@attrs.frozen
class Fault:
    """Something that happens to one endpoint, or for ``hide`` to one entry's list."""

    at_s: float
    kind: str
    endpoint: str


@attrs.define
class _Chat:
    name: str
    prefix_tokens: int = 0
    asked_s: float = 0.0


class _Source:
    """Draws the calls of one account at one service."""

    def __init__(self, name: str, seed: int, service: Service, account: int) -> None:
        self._name = name
        self._rng = random.Random(f"{seed}/{name}")
        self._service = service
        self._account = account
        self._chats: list[_Chat] = []
        self._born = 0

    def calls(self, rate: float, start_s: float, end_s: float, long_work: bool) -> list[Call]:
        """Return calls that arrive at random with this rate."""
        calls = []
        at_s = start_s + self._rng.expovariate(rate)
        while at_s < end_s:
            if self._service.is_engine:
                calls.append(self._turn(at_s, rate * _CHAT_PAUSE_S * _RETURNING_SHARE, long_work))
            else:
                tokens = 1 + int(self._rng.expovariate(1 / 8))
                calls.append(Call(at_s, self._service.name, self._account, None, 1, tokens))
            at_s += self._rng.expovariate(rate)
        return calls

    def _turn(self, at_s: float, chats: float, long_work: bool) -> Call:
        rng, chat = self._rng, self._chat(at_s, chats)
        is_long = long_work and rng.random() < _LONG_SHARE
        prefix = chat.prefix_tokens
        new = rng.randint(30, 300) if prefix else int(min(8_000, rng.lognormvariate(7.3, 0.7)))
        prompt = prefix + new + (4_000 if is_long else 0)
        output = int(min(1_000, rng.lognormvariate(5.5, 0.6))) * (4 if is_long else 1)
        chat.prefix_tokens, chat.asked_s = prompt + output, at_s
        if chat.prefix_tokens > _MOST_PREFIX_TOKENS or rng.random() > _RETURNING_SHARE:
            self._chats.remove(chat)
        return Call(at_s, self._service.name, self._account, chat.name, prompt, output, prefix)

    def _chat(self, at_s: float, chats: float) -> _Chat:
        """Return a chat that comes back after a pause, or a new one."""
        if len(self._chats) >= chats and self._rng.random() < _RETURNING_SHARE:
            for _ in range(5):
                chat = self._rng.choice(self._chats)
                if at_s - chat.asked_s > 2 * DEADLINE_S:
                    return chat
        self._born += 1
        self._chats.append(_Chat(f"{self._name}/{self._born}"))
        return self._chats[-1]


def draw(scenario: Scenario, size: Size, seed: int) -> tuple[list[Call], list[Fault]]:
    """Return the calls in order of time and the faults."""
    middle_s = WARMUP_S + 0.3 * size.life_s
    phases = [("base", 1.0, 0.0, size.end_s)]
    if scenario.burst > 1:
        phases.append(("burst", scenario.burst - 1, middle_s, middle_s + 5.0))
    if scenario.surge > 1:
        phases.append(("surge", scenario.surge - 1, middle_s, size.end_s))
    calls = []
    for service in size.services:
        for account, share in enumerate(scenario.shares):
            rate = service.endpoints * service.rate * share * scenario.demand
            for name, factor, start_s, end_s in phases:
                if name == "surge" and account != _SURGING_ACCOUNT:
                    continue
                source = _Source(f"{service.name}/{account}/{name}", seed, service, account)
                calls += source.calls(rate * factor, start_s, end_s, scenario.long_work)
    calls.sort(key=lambda call: call.at_s)
    return calls, _faults(scenario.fault, size, random.Random(f"{seed}/faults"))


def _faults(kind: str, size: Size, rng: random.Random) -> list[Fault]:
    service = size.services[0]
    names = [f"{service.name}-{i}" for i in range(service.endpoints)]
    if kind == "zone":
        return _zone_loss(names, size)
    if kind in ("slow", "removed"):
        return [Fault(WARMUP_S / 2, kind, rng.choice(names))]
    period_s = _FAULT_PERIOD_S.get(kind)
    if period_s is None:
        return []
    faults, name, is_down = [], rng.choice(names), False
    for i in range(int(size.life_s / period_s)):
        is_down = not is_down
        if kind != "flap" and (is_down or kind != "churn"):
            name = rng.choice(names)
        lost_or_back = "lost" if is_down else "back"
        what = kind if kind in ("hide", "pause") else lost_or_back
        faults.append(Fault(WARMUP_S + i * period_s, what, name))
    return faults


def _zone_loss(names: list[str], size: Size) -> list[Fault]:
    """Return the loss of all endpoints of an availability zone at once, and their return."""
    lost = names[:: size.zones]
    lost_s, back_s = (WARMUP_S + share * size.life_s for share in (0.3, 0.7))
    faults = [Fault(lost_s, "lost", name) for name in lost]
    return faults + [Fault(back_s, "back", name) for name in lost]
