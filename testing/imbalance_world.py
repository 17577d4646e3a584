"""Simulates entries that place sessions on engines, each with an old, partial view of loads."""

import collections
import heapq
import itertools
import random

import attrs

from beryljunction.load_imbalance import BOUND_ALLOWANCE, BOUND_RATIO, Arrival, worst_window
from beryljunction.routing import (
    CacheAwarePlacement,
    LoadReport,
    Mechanisms,
    PlacementRequest,
    PromptParts,
    loads_to_gossip,
    merge_loads,
)
from routing_fakes import known

__all__ = ["Fleet", "moved_tokens", "share_over_bound", "worst_five_seconds"]

# An engine states its load in the head of its answer, this long after the request arrived.
HEAD_S = 0.07
# Interval at which an entry updates one peer after the other, and how many peers it knows.
NEWS_S = 0.05
MOST_PEERS = 64
# Requests before this time only warm the fleet up and are not counted.
WARM_UP_S = 3.0


@attrs.frozen
class Fleet:
    """Size and load of a fleet.

    Attributes:
        rate: Requests per second from all entries.
        sessions: Sessions per engine; the first ones return more often.
        tells: Whether entries tell each other about engines above the mean load.
        evacuated: Engines that get no requests and lower the mean in the fleet's bound.
        hot_share: Share of the requests that belong to one session.
        disrupted_from_s: When the evacuation and the requests for that session begin.
        prefix_tokens: Sizes of the sessions' prefixes; sessions have them in turn.
        mechanisms: Which optional mechanisms the entries have.
    """

    entries: int
    engines: int
    rate: float
    sessions: int = 8
    tells: bool = True
    evacuated: int = 0
    hot_share: float = 0.0
    disrupted_from_s: float = 0.0
    length_s: float = 8.0
    prefix_tokens: tuple[int, ...] = (5_000,)
    mechanisms: Mechanisms = Mechanisms()


class _World:
    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.draw = random.Random(seed)
        names = [f"e{self.draw.getrandbits(40):x}" for _ in range(fleet.engines)]
        self.place = [CacheAwarePlacement(fleet.mechanisms) for _ in range(fleet.entries)]
        self.rows = [[known(name, slots=64) for name in names] for _ in range(fleet.entries)]
        self.held = dict.fromkeys(names, 0)
        count = fleet.sessions * fleet.engines
        self.sessions = [f"{self.draw.getrandbits(48):x}" for _ in range(count)]
        self.weights = list(itertools.accumulate((n + 1) ** -0.3 for n in range(count)))
        self.events = []
        self.numbers = itertools.count()
        self.placed = self.over = self.moved_tokens = 0
        self.arrivals = []
        self.cached = collections.defaultdict(set)

    def schedule(self, at_s, step, *args):
        heapq.heappush(self.events, (at_s, next(self.numbers), step, args))

    def run(self):
        for entry in range(self.fleet.entries if self.fleet.tells else 0):
            turns = itertools.cycle(self.peers_of(entry))
            self.schedule(self.draw.random() * NEWS_S, self.tell, entry, turns)
        now_s = 0.0
        while (now_s := now_s + self.draw.expovariate(self.fleet.rate)) < self.fleet.length_s:
            while self.events[0:1] and self.events[0][0] <= now_s:
                at_s, _, step, args = heapq.heappop(self.events)
                step(at_s, *args)
            self.request(now_s)

    def peers_of(self, entry):
        others = [number for number in range(self.fleet.entries) if number != entry]
        return self.draw.sample(others, min(len(others), MOST_PEERS))

    def request(self, now_s):
        entry = self.draw.randrange(self.fleet.entries)
        session = self.draw.choices(self.sessions, cum_weights=self.weights)[0]
        is_disrupted = now_s >= self.fleet.disrupted_from_s
        if self.fleet.hot_share and is_disrupted and self.draw.random() < self.fleet.hot_share:
            session = self.sessions[0]
        sizes = self.fleet.prefix_tokens
        tokens = sizes[int(session, 16) % len(sizes)]
        parts = PromptParts(("common", session), (500, tokens), 300)
        evacuated = self.fleet.evacuated if is_disrupted else 0
        request = PlacementRequest(parts, self.rows[entry][:evacuated], self.fleet.entries)
        rows = self.rows[entry][evacuated:]
        row = self.place[entry].choose(rows, request, now_s)
        self.place[entry].plan_prefill(rows, row, request, now_s)
        name = row.record.endpoint_id
        self.held[name] += 1
        row.in_flight += 1
        if self.cached[session] and name not in self.cached[session]:
            self.moved_tokens += tokens
        self.cached[session].add(name)
        mean = sum(self.held.values()) / len(self.held)
        is_over = self.held[name] > BOUND_RATIO * mean + BOUND_ALLOWANCE
        self.arrivals.append(Arrival(now_s, is_over))
        if now_s > WARM_UP_S:
            self.placed += 1
            self.over += is_over
        self.schedule(now_s + HEAD_S, self.answer, row)
        self.schedule(now_s + max(0.1, self.draw.lognormvariate(-0.2, 0.7)), self.end, row)

    def answer(self, now_s, row):
        row.report = LoadReport(self.held[row.record.endpoint_id], 0, row.in_flight, now_s)

    def end(self, now_s, row):
        self.held[row.record.endpoint_id] -= 1
        row.in_flight -= 1

    def tell(self, now_s, entry, turns):
        peer = next(turns)
        merge_loads(self.rows[peer], loads_to_gossip(self.rows[entry], now_s), now_s)
        self.schedule(now_s + NEWS_S, self.tell, entry, turns)


def share_over_bound(fleet, seed):
    """Return the share of requests that went to an engine over the fleet's bound."""
    world = _World(fleet, seed)
    world.run()
    return world.over / world.placed


def worst_five_seconds(fleet, seed):
    """Return the five seconds with the largest share over the bound, cold start included."""
    world = _World(fleet, seed)
    world.run()
    return worst_window(world.arrivals)


def moved_tokens(fleet, seed):
    """Return the prefix tokens of sessions that went to an engine which didn't have them cached."""
    world = _World(fleet, seed)
    world.run()
    return world.moved_tokens
