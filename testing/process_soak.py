"""Plays seeded faults on real entry processes under traffic, and checks what callers saw.

python testing/process_soak.py --seeds 1-50 --entries 4 --seconds 20 [--large]
"""

import argparse
import asyncio
import collections
import contextlib
import functools
import json
import pathlib
import random
import signal
import sys
import tempfile
import time
from collections.abc import Callable

import attrs

from soak.callers import Traffic
from soak.deadly import SHARES as DEADLY_SHARES
from soak.deadly import draw_deadly_parts
from soak.faults import Pause, draw_first_starts, draw_schedule, play_schedule
from soak.fleet import Fleet, Size, Start, do_nothing
from soak.oracles import (
    Answers,
    Attempts,
    Deadlines,
    count_deadly_runs,
    count_resumptions,
    find_violations,
    worst_repeat_share,
)
from soak.records import ROUTES
from soak.releases import draw_releases, start_relays
from soak.repeats import VARIATIONS, draw_variation

__all__ = ["SCENARIOS", "Result", "run_soak"]

_LARGE = Size(entries=60, endpoints=20, callers=60, pause_s=1.0)
_FAILING = {"fail": 0.3, "reject": 0.3}
_RESUMABLE_STREAMS_MOSTLY = {"notes": 0.25, "reads": 0.25, "chat": 0.0, "talk": 4.0}
_RECOVERY_LIMIT_S = 20.0
_STALL_POLL_S, _LAG_S, _STALL_S = 0.05, 0.02, 0.2
_SHOWN_VIOLATIONS = 4
_SHOWN_NOTES = 10
_SHOWN_LINES = 5
_LINE_CHARS = 200


@attrs.frozen
class Result:
    """What one run showed."""

    seed: int
    evidence: object
    violations: list

    def summary(self):
        """Return one line of figures."""
        rows = self.evidence.attempts
        answers = collections.Counter(
            str(row.status) if row.status and row.is_complete else "broken off" for row in rows
        )
        ends = collections.Counter(str(row.status) for row in self.evidence.processes)
        shares = [
            f"{service} {worst_repeat_share(self.evidence, service)[0]:.2f}"
            for service in ("drafter", "ledger")
        ]
        counted, late = Deadlines().count(self.evidence)
        over = len(Attempts().over(self.evidence))
        broken = collections.Counter(row.rule for row in self.violations)
        excuses = collections.Counter(row[2] for row in Answers().unanswered(self.evidence))
        early = sum(bool(row.early_signals) for row in self.evidence.processes)
        stalls = sum(name == "machine" for name, _, _ in self.evidence.pauses)
        return (
            f"seed {self.seed}: {f'BROKEN {dict(broken)}' if broken else 'held'}; "
            f"{len(rows)} requests, answers {dict(answers)}, without one by excuse "
            f"{dict(excuses)}; processes by status {dict(ends)}, "
            f"{early} signalled before their program; worst repeats of the allowed: "
            f"{', '.join(shares)}; too late {len(late)} of {counted}, too many endpoints {over}; "
            f"{self._summarize_resumptions()}{self._summarize_crashes()}"
            f"machine stalled {stalls} times"
        )

    def _summarize_resumptions(self):
        """Return the figures of resumed streams; nothing if there were none."""
        counts = count_resumptions(self.evidence)
        if not counts.resumed_anywhere:
            return ""
        return (
            f"{counts.resumed_anywhere} resumptions; at entries in touch, with two endpoints of "
            f"the version, {counts.continued} of {counts.resumed} streams went on after "
            f"{len(counts.refused)} refusals, and {counts.started} of {counts.begun} new ones "
            "began; "
        )

    def _summarize_crashes(self):
        """Return the figures of a deadly part; nothing if there was none."""
        counts = count_deadly_runs(self.evidence)
        if counts is None:
            return ""
        return (
            f"{counts.crashes} endpoints ended by a part, {len(counts.late)} runs with it long "
            f"after the fifth; of {counts.sound} sound requests {counts.refused} were refused as "
            f"quarantined or suspected, {counts.served} served; "
        )

    def report(self):
        """Return the first violations of each rule, with faults and log lines before them."""
        lines, shown, explained = [], collections.Counter(), set()
        for violation in self.violations:
            shown[violation.rule] += 1
            if shown[violation.rule] <= _SHOWN_VIOLATIONS:
                at_s = violation.at_s - self.evidence.started_s
                lines.append(f"{violation.rule} at {at_s:.3f} s, {violation.text}")
                place = violation.entry, round(at_s)
                lines += [] if place in explained else self._surroundings(violation)
                explained.add(place)
        return "\n".join(lines)

    def _surroundings(self, violation):
        evidence = self.evidence
        notes = [row for row in evidence.notes if -4.0 < row[0] - violation.at_s < 0.5]
        for moment, text in notes[-_SHOWN_NOTES:]:
            yield f"    {moment - evidence.started_s:.3f} {text[:_LINE_CHARS]}"
        for process in evidence.processes:
            ended_s = (process.ended_s or evidence.ended_s) + 1.0
            is_near = process.started_s <= violation.at_s <= ended_s
            if is_near and process.entry == violation.entry:
                lines = [row for row in process.log.splitlines() if "event=answered" not in row]
                for line in lines[-_SHOWN_LINES:]:
                    yield f"    {process.name}| {line[:_LINE_CHARS]}"


def parse_seeds(text):
    """Return the seeds of "3" or "1-50"."""
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def _draw_faults(draw, seconds, size):
    """Return drawn faults of all kinds, and how the entries start."""
    starts = draw_first_starts(draw, size.entries)
    return starts, draw_schedule(draw, seconds, size.entries)


def _draw_faults_and_stalls(draw, seconds, size):
    """Return drawn faults, and pauses of half of the endpoints again and again."""
    starts, faults = _draw_faults(draw, seconds, size)
    places = range(2 * size.endpoints)
    moments = [2.0 + 4.5 * number for number in range(int((seconds - 3.0) / 4.5))]
    faults += [
        Pause(at_s, "endpoint", place, 2.5)
        for at_s in moments
        for place in draw.sample(places, size.endpoints)
    ]
    return starts, sorted(faults, key=lambda fault: fault.at_s)


def _draw_stalls(draw, seconds, size):
    """Return no faults but pauses of some endpoints, after spans in which all of them run."""
    faults, at_s = [], 2.0
    places = range(2 * size.endpoints)
    while at_s < seconds - 2.0:
        length_s = draw.choice((0.4, 1.0, 2.5, 5.0, 9.0))
        chosen = draw.sample(places, draw.randint(1, len(places) - 2))
        faults += [
            Pause(at_s + draw.uniform(0.0, 0.2), "endpoint", place, length_s) for place in chosen
        ]
        at_s += length_s + draw.choice((0.3, 1.5, 4.0))
    return [Start(delay_s=0.0)] * size.entries, sorted(faults, key=lambda fault: fault.at_s)


def _draw_releases(draw, seconds, size):
    """Return releases beside entries that are out of step; half of the seeds have other faults."""
    faults = draw_releases(draw, seconds, size.entries)
    if draw.random() < 0.5:
        faults += draw_schedule(draw, seconds, 0)
    return [Start(delay_s=0.0)] * size.entries, sorted(faults, key=lambda fault: fault.at_s)


@attrs.frozen
class Scenario:
    """What happens in a run.

    Attributes:
        draw: Draws how the entries start, and the faults.
        misbehaviour: How all endpoints fail from their start on.
        before_entries: Called with the fleet before the first entry starts.
        shares: Share of the usual number of callers by the name of the route; 1 for others.
        leave_share: Share of the new streams whose callers close the connection, and resume them.
    """

    draw: Callable
    misbehaviour: dict = attrs.field(factory=dict)
    before_entries: Callable = do_nothing
    shares: dict = attrs.field(factory=dict)
    leave_share: float = 0.0


SCENARIOS = {
    "faults": Scenario(_draw_faults),
    "overload": Scenario(_draw_faults_and_stalls, _FAILING),
    "stalls": Scenario(_draw_stalls, _FAILING),
    "releases": Scenario(
        _draw_releases,
        before_entries=start_relays,
        shares=_RESUMABLE_STREAMS_MOSTLY,
        leave_share=0.3,
    ),
    "deadly-parts": Scenario(draw_deadly_parts, shares=DEADLY_SHARES),
}
SCENARIOS |= {
    name: Scenario(functools.partial(draw_variation, variation), variation.misbehaviour)
    for name, variation in VARIATIONS.items()
}


async def _recover(fleet, traffic):
    """Return the entries that don't serve though the faults are over."""
    unready = []
    ends_s = time.monotonic() + _RECOVERY_LIMIT_S

    async def serves(entry):
        if not await entry.is_ready():
            return False
        connection = await traffic.connect(entry)
        if connection is None:
            return False
        attempt, _ = await traffic.send(connection, ROUTES["reads"], ROUTES["reads"].timeout_s)
        connection.writer.close()
        return attempt.is_served

    async def wait(entry):
        while not await serves(entry):
            if time.monotonic() > ends_s:
                unready.append(entry.name)
                return
            await asyncio.sleep(0.3)

    await asyncio.gather(*[wait(entry) for entry in fleet.entries])
    return unready


async def _monitor_stalls(evidence):
    """Record when the machine was too busy to run this process."""
    while True:
        from_s = time.monotonic()
        await asyncio.sleep(_STALL_POLL_S)
        lag_s = time.monotonic() - from_s - _STALL_POLL_S
        if lag_s > _LAG_S:
            name = "machine" if lag_s > _STALL_S else "callers"
            evidence.pauses.append((name, from_s, time.monotonic()))


async def _play(fleet, seed, seconds, scenario):
    first_starts, schedule = scenario.draw(random.Random(seed), seconds, fleet.size)
    draw = random.Random(f"{seed}-callers")
    traffic = Traffic(fleet, draw, scenario.shares, scenario.leave_share)
    fleet.traffic = traffic
    fleet.on_start = traffic.open_early
    fleet.spawn(_monitor_stalls(fleet.evidence))
    await fleet.start(first_starts)
    callers = asyncio.create_task(traffic.run())
    await play_schedule(fleet, schedule)
    await fleet.end_misbehaviour()
    fleet.evidence.unready = await _recover(fleet, traffic)
    stopping = asyncio.create_task(fleet.stop())
    await asyncio.sleep(2.0)
    traffic.ends_s = time.monotonic()
    await callers
    await stopping
    for task in fleet.tasks:
        if task.done():
            task.result()


def run_soak(seed, size, seconds, folder, scenario=SCENARIOS["faults"]):
    """Run one seed; return what it showed.

    Args:
        folder: Where settings, logs and the endpoints' runs are kept.
    """
    with contextlib.ExitStack() as held:
        usual = scenario.misbehaviour
        fleet = Fleet(folder, seed, size, held, usual, scenario.before_entries)
        try:
            asyncio.run(_play(fleet, seed, seconds, scenario))
        finally:
            fleet.close()
        evidence = fleet.collect()
    return Result(seed, evidence, find_violations(evidence))


def _keep(result, folder):
    """Write what a broken run recorded beside its logs."""
    evidence = result.evidence
    with (folder / "attempts.jsonl").open("w") as file:
        for row in evidence.attempts:
            values = {**attrs.asdict(row), "route": row.route.name}
            file.write(json.dumps(values) + "\n")
    notes = [f"{at_s - evidence.started_s:.3f} {text}\n" for at_s, text in evidence.notes]
    (folder / "schedule.txt").write_text("".join(notes))
    (folder / "report.txt").write_text(f"{result.summary()}\n{result.report()}\n")


def main():
    """Run the seeds of the command line; return 1 if a rule was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1", help="SEED or FIRST-LAST")
    parser.add_argument("--entries", type=int, default=Size().entries)
    parser.add_argument("--callers", type=int, default=Size().callers, help="for each route")
    parser.add_argument("--rate", type=float, default=0.0, help="calls a second for each route")
    parser.add_argument("--seconds", type=float, default=20.0)
    scenario = parser.add_mutually_exclusive_group()
    for name, text in (
        ("overload", "endpoints fail and stall"),
        ("stalls", "the same, without other faults"),
        ("releases", "endpoints of other versions join while entries are out of step"),
        ("deadly-parts", "a part of prompts ends endpoints; callers leave, entries restart"),
    ):
        scenario.add_argument(
            f"--{name}", dest="scenario", action="store_const", const=name, help=text
        )
    scenario.add_argument("--repeats", dest="scenario", choices=VARIATIONS)
    parser.set_defaults(scenario="faults")
    parser.add_argument("--endpoints", type=int, default=Size().endpoints, help="for each service")
    parser.add_argument("--slack", type=int, default=Size().slack, help="of the retry budget")
    parser.add_argument("--large", action="store_true", help="60 entries and 40 endpoints")
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    size = Size(
        entries=options.entries,
        endpoints=options.endpoints,
        callers=options.callers,
        rate_per_s=options.rate,
        slack=options.slack,
    )
    size = _LARGE if options.large else size
    broken = []
    for seed in parse_seeds(options.seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        result = run_soak(seed, size, options.seconds, folder, SCENARIOS[options.scenario])
        print(result.summary(), flush=True)
        if result.violations:
            broken.append(seed)
            _keep(result, folder)
            again = " ".join(row if row != options.seeds else str(seed) for row in sys.argv[1:])
            command = f"python testing/process_soak.py {again}"
            print(f"{result.report()}\nlogs: {folder}\nagain: {command}", flush=True)
    print(f"{len(broken)} of {len(parse_seeds(options.seeds))} seeds broke a rule: {broken}")
    return int(bool(broken))


if __name__ == "__main__":
    sys.exit(main())
