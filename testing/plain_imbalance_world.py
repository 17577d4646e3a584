"""Simulates entries that send short calls to a few plain endpoints, each with an old view."""

import heapq
import itertools
import random

import attrs

from beryljunction.load_imbalance import BOUND_ALLOWANCE, BOUND_RATIO, Arrival, worst_window
from beryljunction.routing import (
    LoadReport,
    PlacementRequest,
    PlainPlacement,
    PromptParts,
    loads_to_gossip,
    merge_loads,
)
from imbalance_world import NEWS_S
from routing_fakes import known

__all__ = ["PlainFleet", "worst_plain_five_seconds"]

ZONES = ("a", "b", "c")
SLOTS = 6
# Calls arrive in groups of this size on average, each within this time.
CLUMP, CLUMP_S = 3.0, 0.02


@attrs.frozen
class PlainFleet:
    """A service with one endpoint in each of three zones.

    Attributes:
        rate: Calls per second from all entries.
        evacuated: Endpoints that get no calls from `evacuated_s` on.
        work_s: Mean time of a call.
    """

    rate: float
    evacuated: int = 0
    entries: int = 24
    work_s: float = 0.045
    evacuated_s: float = 5.0
    length_s: float = 20.0


class _World:
    def __init__(self, fleet, seed):
        self.fleet, self.draw = fleet, random.Random(seed)
        fields = {"slots": SLOTS, "service": "plain"}
        self.rows = [
            [known(f"p{zone}", availability_zone=zone, **fields) for zone in ZONES]
            for _ in range(fleet.entries)
        ]
        self.place = [
            PlainPlacement(ZONES[number % len(ZONES)], random.Random(number))
            for number in range(fleet.entries)
        ]
        self.held = dict.fromkeys((f"p{zone}" for zone in ZONES), 0)
        self.free_s = {name: [0.0] * SLOTS for name in self.held}
        self.events, self.numbers, self.arrivals = [], itertools.count(), []

    def schedule(self, at_s, step, *args):
        heapq.heappush(self.events, (at_s, next(self.numbers), step, args))

    def run(self):
        at_s = 0.0
        while (at_s := at_s + self.draw.expovariate(self.fleet.rate / CLUMP)) < self.fleet.length_s:
            self.schedule(at_s + self.draw.random() * CLUMP_S, self.call)
            while self.draw.random() > 1 / CLUMP:
                self.schedule(at_s + self.draw.random() * CLUMP_S, self.call)
        for entry in range(self.fleet.entries):
            self.schedule(self.draw.random() * NEWS_S, self.share, entry)
        while self.events[0][0] < self.fleet.length_s:
            at_s, _, step, args = heapq.heappop(self.events)
            step(at_s, *args)

    def call(self, now_s):
        entry = self.draw.randrange(self.fleet.entries)
        rows = self.rows[entry]
        evacuated = self.fleet.evacuated if now_s >= self.fleet.evacuated_s else 0
        request = PlacementRequest(PromptParts(), rows[:evacuated], self.fleet.entries)
        row = self.place[entry].choose(rows[evacuated:], request, now_s)
        name = row.record.endpoint_id
        self.held[name] += 1
        row.in_flight += 1
        mean = sum(self.held.values()) / len(self.held)
        is_over = self.held[name] > BOUND_RATIO * mean + BOUND_ALLOWANCE
        self.arrivals.append(Arrival(now_s, is_over))
        slots = self.free_s[name]
        slot = slots.index(min(slots))
        slots[slot] = max(now_s, slots[slot]) + self.fleet.work_s * self.draw.uniform(0.7, 1.3)
        self.schedule(slots[slot], self.end, row, now_s)

    def end(self, now_s, row, sent_s):
        name = row.record.endpoint_id
        row.report = LoadReport(self.held[name], 0, row.in_flight, now_s)
        row.latency.note((now_s - sent_s) * 1000, now_s)
        self.held[name] -= 1
        row.in_flight -= 1

    def share(self, now_s, entry):
        peer = self.draw.randrange(self.fleet.entries)
        if peer != entry:
            merge_loads(self.rows[peer], loads_to_gossip(self.rows[entry], now_s), now_s)
        self.schedule(now_s + NEWS_S, self.share, entry)


def worst_plain_five_seconds(fleet, seed):
    """Return the five seconds with the largest share of calls over the bound."""
    world = _World(fleet, seed)
    world.run()
    return worst_window(world.arrivals)
