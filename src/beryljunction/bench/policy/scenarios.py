"""What callers send and what fails, drawn from a seed before any policy runs."""

import random

import attrs

__all__ = ["SCENARIOS", "SIZES", "Call", "Fault", "Scenario", "Service", "Size", "draw"]

WARMUP_S = 40.0
_LIFE_S = 100.0
_PAUSE_S = 30.0
_DEADLINE_S = 5.0
_RETURNING_SHARE = 0.8
_ACCOUNT_SHARES = (0.28, 0.2, 0.14, 0.1, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02)
_SKEWED_SHARES = (0.6, 0.08, 0.07, 0.06, 0.05, 0.04, 0.035, 0.025, 0.022, 0.018)
_SURGING = 3
_LARGE_ACCOUNTS = 5
_LONG_SHARE = 0.1
_MOST_PROMPT_TOKENS = 16_000


@attrs.frozen
class Service:
    """One service and its demand for each endpoint, in requests a second."""

    name: str
    endpoints: int
    rate: float
    is_engine: bool = True


@attrs.frozen
class Size:
    """A fleet. ``latency_s`` is one way between an entry and a sidecar."""

    services: tuple[Service, ...]
    entries: int
    zones: int
    latency_s: float
    life_s: float = _LIFE_S


SIZES = {
    "prairie": Size(
        (Service("reel-llm", 5, 8.0), Service("intake-app", 3, 8.0, False)), 4, 3, 0.0005
    ),
    "sahyog": Size((Service("drafter", 9, 8.0), Service("ledger", 4, 8.0, False)), 4, 4, 0.0015),
    # One of the 17 models: 700 / 17 endpoints, with the entries that have calls for it.
    "target": Size((Service("model", 41, 8.0),), 20, 10, 0.001, 30.0),
}


@attrs.frozen
class Scenario:
    """How a run differs from steady demand.

    Attributes:
        demand: Factor on all demand.
        burst: Factor on all demand for five seconds in the middle.
        surge: Factor on one account's demand from the middle on.
        faults: Kinds of faults, one of ``Fault.kind``.
    """

    shares: tuple[float, ...] = _ACCOUNT_SHARES
    demand: float = 1.0
    burst: float = 1.0
    surge: float = 1.0
    long_work: bool = False
    faults: str = ""
    cache_tokens: int = 1_500_000


SCENARIOS = {
    "steady": Scenario(),
    "burst": Scenario(burst=2.5),
    "skewed": Scenario(shares=_SKEWED_SHARES),
    "surge": Scenario(surge=10.0),
    "slow-endpoint": Scenario(faults="slow"),
    "removed-endpoint": Scenario(faults="removed"),
    "mixed": Scenario(long_work=True),
    "saturated": Scenario(demand=2.7),
    "churn": Scenario(faults="churn"),
    "flap": Scenario(faults="flap"),
    "disagree": Scenario(faults="disagree"),
    "gaps": Scenario(faults="gaps", cache_tokens=300_000),
    "pause": Scenario(faults="pause"),
}


@attrs.frozen
class Call:
    """One request of a caller; the same for all policies."""

    number: int
    at_s: float
    service: str
    account: str
    chat: str | None
    prompt_tokens: int
    output_tokens: int
    prefix_tokens: int
    deadline_s: float = _DEADLINE_S
    small_account: bool = False


@attrs.frozen
class Fault:
    """Something that happens to one endpoint (or to one entry's list, for ``hide``)."""

    at_s: float
    kind: str
    endpoint: str


@attrs.define
class _Chat:
    name: str
    prefix_tokens: int
    asked_s: float


class _Caller:
    """Draws the calls of one account at one service."""

    def __init__(self, service: Service, account: int, rng: random.Random, long_work: bool) -> None:
        self._service = service
        self._account = account
        self._rng = rng
        self._long_work = long_work
        self._chats: list[_Chat] = []
        self._born = 0

    def call(self, at_s: float, returning_pool: float) -> Call:
        rng = self._rng
        small = self._account >= _LARGE_ACCOUNTS
        account = f"account-{self._account}"
        if not self._service.is_engine:
            tokens = max(1, int(rng.expovariate(1 / 8)))
            return Call(
                0, at_s, self._service.name, account, None, 1, tokens, 0, small_account=small
            )
        chat = self._chat(at_s, returning_pool)
        is_long = self._long_work and rng.random() < _LONG_SHARE
        output = int(min(1_000, rng.lognormvariate(5.5, 0.6))) * (4 if is_long else 1)
        prefix = chat.prefix_tokens
        prompt = prefix + rng.randint(30, 300) + (4_000 if is_long else 0)
        if prefix == 0:
            prompt += int(min(8_000, rng.lognormvariate(7.3, 0.7)))
        chat.prefix_tokens = prompt + output
        chat.asked_s = at_s
        if chat.prefix_tokens > _MOST_PROMPT_TOKENS or rng.random() > _RETURNING_SHARE:
            self._chats.remove(chat)
        name = self._service.name
        return Call(0, at_s, name, account, chat.name, prompt, output, prefix, small_account=small)

    def _chat(self, at_s: float, returning_pool: float) -> _Chat:
        """Return a chat that comes back after a pause, or a new one."""
        pool = self._chats
        if len(pool) >= returning_pool and self._rng.random() < _RETURNING_SHARE:
            for _ in range(5):
                chat = self._rng.choice(pool)
                if at_s - chat.asked_s > _DEADLINE_S + 3.0:
                    return chat
        self._born += 1
        name = f"{self._service.name}-{self._account}-{self._born}"
        chat = _Chat(name, 0, at_s)
        pool.append(chat)
        return chat


def draw(scenario: Scenario, size: Size, seed: int) -> tuple[list[Call], list[Fault]]:
    """Return the calls in order of time and the faults."""
    end_s = WARMUP_S + size.life_s
    middle_s = WARMUP_S + 0.3 * size.life_s
    calls: list[Call] = []
    for service in size.services:
        for account, share in enumerate(scenario.shares):
            rate = service.endpoints * service.rate * share * scenario.demand
            rng = random.Random(f"{seed}/{service.name}/{account}")
            calls += _stream(service, account, rng, scenario, rate, 0.0, end_s)
            if scenario.surge > 1 and account == _SURGING:
                rng = random.Random(f"{seed}/{service.name}/surge")
                extra = rate * (scenario.surge - 1)
                calls += _stream(service, account, rng, scenario, extra, middle_s, end_s, "s")
            if scenario.burst > 1:
                rng = random.Random(f"{seed}/{service.name}/{account}/burst")
                extra, until_s = rate * (scenario.burst - 1), middle_s + 5.0
                calls += _stream(service, account, rng, scenario, extra, middle_s, until_s, "b")
    calls.sort(key=lambda call: call.at_s)
    numbered = [attrs.evolve(call, number=i) for i, call in enumerate(calls)]
    return numbered, _faults(scenario, size, random.Random(f"{seed}/faults"))


def _stream(
    service: Service,
    account: int,
    rng: random.Random,
    scenario: Scenario,
    rate: float,
    start_s: float,
    end_s: float,
    tag: str = "",
) -> list[Call]:
    caller = _Caller(service, account, rng, scenario.long_work)
    calls = []
    at_s = start_s + rng.expovariate(rate)
    while at_s < end_s:
        call = caller.call(at_s, rate * _PAUSE_S * _RETURNING_SHARE)
        chat = call.chat + tag if call.chat else None
        calls.append(attrs.evolve(call, chat=chat))
        at_s += rng.expovariate(rate)
    return calls


def _faults(scenario: Scenario, size: Size, rng: random.Random) -> list[Fault]:
    service = size.services[0]
    names = [f"{service.name}-{i}" for i in range(service.endpoints)]
    end_s = WARMUP_S + size.life_s
    kind = scenario.faults
    if kind in ("slow", "removed"):
        at_s = WARMUP_S / 2 if kind == "slow" else 0.0
        return [Fault(at_s, kind, rng.choice(names))]
    period_s = {"churn": 15.0, "flap": 6.0, "disagree": 5.0, "pause": 30.0}.get(kind)
    if period_s is None:
        return []
    faults = []
    name, at_s, down = rng.choice(names), WARMUP_S, False
    while at_s < end_s - period_s:
        if kind == "churn" and not down:
            name = rng.choice(names)
        if kind in ("disagree", "pause"):
            name = rng.choice(names)
        down = not down
        words = {"disagree": "hide", "pause": "pause"}
        faults.append(Fault(at_s, words.get(kind, "lost" if down else "back"), name))
        at_s += period_s
    return faults
