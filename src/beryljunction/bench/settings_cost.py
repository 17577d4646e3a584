"""Measures what operators' races cost them, and what following the settings costs a node."""

import heapq
import json
import random

import anyio
import attrs

from beryljunction.fleet_process.traffic import CountingBackend
from beryljunction.servers import Server, bind_listener, create_client_pool
from beryljunction.settings import (
    CHANGES_STREAM,
    Accepted,
    Change,
    Edit,
    FollowerSettings,
    SettingsFollower,
    SettingsState,
    SettingsTree,
    dependencies_of,
)
from beryljunction.standins import LogStandIn
from beryljunction.stores import HttpLogClient, LogRecord

__all__ = ["RaceShares", "SettingsCost", "measure_races", "measure_settings_cost"]

_DAY_S = 86_400.0
_SERVICES = 17
_ACCOUNTS = 350
_FIELDS = ("max_running", "floor_running", "deadline_s", "pointer_s", "model_version")
_POLLS = 20
_RECORDS = 50


@attrs.frozen
class RaceShares:
    """Share of valid changes that are refused, by what a change's base stands for.

    Attributes:
        think_s: Time between an operator's look and the append.
    """

    changes: int
    think_s: float
    per_path_refused_ratio: float
    whole_tree_refused_ratio: float


@attrs.frozen
class SettingsCost:
    """What one node spends on following the settings.

    Attributes:
        idle_poll_bytes: Bytes of one read that finds nothing, both ways.
        record_bytes: Bytes of one change, read.
        snapshot_bytes: Bytes of the tree at the target's size.
        control_bytes_per_s: All of it at 2,100 changes a day.
    """

    idle_poll_bytes: float
    record_bytes: float
    snapshot_bytes: int
    control_bytes_per_s: float


def measure_races(changes: int, window_s: float, think_s: float, seed: int) -> RaceShares:
    """Count refusals of changes that are valid by themselves, under both rules.

    Args:
        changes: Changes that operators look up within the window.
        window_s: Time over which they look, evenly drawn; 0 for all at one moment.
        think_s: Mean time between look and append, drawn exponentially.
        seed: Of all draws.
    """
    rng = random.Random(seed)
    looks = sorted(rng.uniform(0.0, window_s) for _ in range(changes))
    events = [(look_s, number, False) for number, look_s in enumerate(looks)]
    heapq.heapify(events)
    trees = {"path": _target_tree(), "tree": _target_tree()}
    last_accepted = {"path": 0, "tree": 0}
    bases: dict[int, dict[str, int]] = {}
    refused = dict.fromkeys(trees, 0)
    while events:
        at_s, number, appends = heapq.heappop(events)
        if not appends:
            bases[number] = {rule: tree.version for rule, tree in trees.items()}
            heapq.heappush(events, (at_s + rng.expovariate(1 / think_s), number, True))
            continue
        edits = _drawn_edit(rng)
        for rule, tree in trees.items():
            base = bases[number][rule]
            is_newest = last_accepted[rule] <= base
            change = Change(str(number), base, "asha", edits, dependencies_of(edits))
            record = LogRecord(tree.version + 1, str(number), change.to_data())
            if (rule == "path" or is_newest) and isinstance(tree.apply(record), Accepted):
                last_accepted[rule] = tree.version
            else:
                refused[rule] += 1
    return RaceShares(changes, think_s, refused["path"] / changes, refused["tree"] / changes)


async def measure_settings_cost() -> SettingsCost:
    """Count the bytes of real messages over HTTP between a follower and a log."""
    counted = [0]

    def count(sent_bytes: int, received_bytes: int) -> None:
        counted[0] += sent_bytes + received_bytes

    log = LogStandIn()
    server = Server(log, bind_listener("127.0.0.1:0"))
    async with (
        anyio.create_task_group() as group,
        create_client_pool(None, CountingBackend(count)) as pool,
    ):
        await group.start(server.serve_until_stopped)
        client = HttpLogClient(f"http://{server.address}", pool)
        pace = FollowerSettings(poll_s=0.0)
        follower = SettingsFollower(SettingsState(""), client, lambda _: None, settings=pace)
        _append(log, 1)
        await follower.step()
        counted[0] = 0
        for _ in range(_POLLS):
            await follower.step()
        idle_bytes = counted[0] / _POLLS
        counted[0] = 0
        for number in range(2, 2 + _RECORDS):
            _append(log, number)
            await follower.step()
        record_bytes = counted[0] / _RECORDS - idle_bytes
        group.cancel_scope.cancel()
    snapshot_bytes = len(json.dumps(_target_tree().to_data(), separators=(",", ":")))
    return _cost(idle_bytes, record_bytes, snapshot_bytes)


def _cost(idle_bytes: float, record_bytes: float, snapshot_bytes: int) -> SettingsCost:
    pace = FollowerSettings()
    polls_per_s = 1.0 / (pace.poll_s + 1.5 * pace.pause_s)
    snapshots_per_s = 8.0 / pace.retention_s
    per_s = (
        idle_bytes * polls_per_s + record_bytes * 2_100 / _DAY_S + snapshot_bytes * snapshots_per_s
    )
    return SettingsCost(idle_bytes, record_bytes, snapshot_bytes, per_s)


def _append(log: LogStandIn, number: int) -> None:
    edits = (Edit("service.s0.deadline_s", float(number)),)
    change = Change(f"{number:032x}", number - 1, "asha", edits, dependencies_of(edits))
    log.model.append(CHANGES_STREAM, change.change_id, change.to_data(), 0.0)


def _target_tree() -> SettingsTree:
    edits = [Edit(f"account.a{i}.key_sha256", f"{i:064x}") for i in range(_ACCOUNTS)]
    edits += [Edit(f"account.a{i}.weight", 2.0) for i in range(_ACCOUNTS)]
    for i in range(_SERVICES):
        edits.append(Edit(f"service.s{i}.kind", "engine"))
        edits.append(Edit(f"service.s{i}.models", [f"model-{i}"]))
        edits += [Edit(f"region.r{r}.service.s{i}.max_running", 32) for r in range(3)]
    tree = SettingsTree()
    change = Change(f"{0:032x}", 0, "asha", tuple(edits))
    tree.apply(LogRecord(1, change.change_id, change.to_data()))
    return tree


def _drawn_edit(rng: random.Random) -> tuple[Edit, ...]:
    """Draw what one operator changes; few services and accounts get most of the changes."""
    if rng.random() < 0.5:
        account = min(int(rng.paretovariate(1.0)), _ACCOUNTS) - 1
        return (Edit(f"account.a{account}.weight", rng.choice((1.0, 3.0, 4.0))),)
    service = min(int(rng.paretovariate(1.0)), _SERVICES) - 1
    return (Edit(f"service.s{service}.{rng.choice(_FIELDS)}", rng.randint(5, 30)),)
