"""Control traffic of a node at a fleet's size: real systems in virtual time, real messages' bytes.

Only messages are counted. No host, engine or caller is simulated.
"""

import heapq
import random

import anyio
import attrs

from beryljunction.bench.control_messages import MessageBytes, busy_row, measure_messages
from beryljunction.settings import FollowerSettings
from beryljunction.settings.peer_rotation import PeerRotation
from beryljunction.settings.snapshots import SnapshotSchedule
from beryljunction.systems import LoadTracker
from beryljunction.wire import encode_load_rows

__all__ = ["CONTROL_SIZES", "ControlFigures", "ControlSize", "measure_control"]

_DAY_S = 86_400.0
_CHANGES_PER_DAY = 2_100
# 11 hosts fail and 130 are restarted a day among 1,050: each leaves the list and comes again.
_ROW_CHANGES_PER_NODE_DAY = 2 * (11 + 130) / 1_050
_HOSTS_POLL_S = 20.5
_SETTLE_S = 60.0
_COUNTED_S = 120.0
_RETENTIONS = 4


@attrs.frozen
class ControlSize:
    """A fleet: its nodes, and the endpoints of its largest service."""

    name: str
    entries: int
    sidecars: int
    service_endpoints: int

    @property
    def nodes(self) -> int:
        """Number of nodes."""
        return self.entries + self.sidecars


CONTROL_SIZES = (
    ControlSize("five", 2, 3, 3),
    ControlSize("prairie", 3, 8, 5),
    ControlSize("thirteen", 3, 10, 6),
    ControlSize("sahyog", 3, 13, 9),
    ControlSize("hundred", 33, 67, 17),
    ControlSize("target", 350, 700, 42),
)


@attrs.frozen
class ControlFigures:
    """Bytes a second of one node, sent and received; a sidecar under load unless said otherwise.

    Attributes:
        load_rows: Exchange of load, with the stamps of settings versions.
        log_reads: Idle reads of the log.
        changes: Changes of settings, read.
        snapshots: Share in reading and publishing snapshots.
        hosts: Host list: polls, changed rows, and a full list for each start.
        log_down: What meetings add while the log is down and its reads fall away.
        entry_bytes_per_s: All of it at an entry, which exchanges no load.
        control_bytes_per_s_per_node: All of it at a sidecar while the log is up.
        log_down_bytes_per_s: The same while the log is down.
        busiest_bytes_per_s: The sidecar with the most load rows, instead of the mean one.
    """

    nodes: int
    load_rows: float
    log_reads: float
    changes: float
    snapshots: float
    hosts: float
    log_down: float
    entry_bytes_per_s: float
    control_bytes_per_s_per_node: float
    log_down_bytes_per_s: float
    busiest_bytes_per_s: float


def measure_control(sizes: tuple[ControlSize, ...] = CONTROL_SIZES) -> list[ControlFigures]:
    """Return the figures of each size."""
    messages = anyio.run(measure_messages)
    return [_figures(size, messages) for size in sizes]


def _figures(size: ControlSize, messages: MessageBytes) -> ControlFigures:
    load_each = _load_bytes_per_s(size.service_endpoints, messages)
    load_rows = sum(load_each) / len(load_each)
    pace = FollowerSettings()
    log_reads = messages.log_idle / (pace.poll_s + 1.5 * pace.pause_s)
    changes = messages.log_record * _CHANGES_PER_DAY / _DAY_S
    snapshots = _snapshots_per_s(size.nodes) * messages.snapshot
    hosts = _hosts_bytes_per_s(size, messages)
    entry = log_reads + changes + snapshots + hosts
    log_down = _meetings_per_s(size) * messages.meeting - log_reads - changes
    log_down += messages.log_refused / (0.75 * pace.backoff_s)
    return ControlFigures(
        nodes=size.nodes,
        load_rows=load_rows,
        log_reads=log_reads,
        changes=changes,
        snapshots=snapshots,
        hosts=hosts,
        log_down=log_down,
        entry_bytes_per_s=entry,
        control_bytes_per_s_per_node=entry + load_rows,
        log_down_bytes_per_s=entry + load_rows + log_down,
        busiest_bytes_per_s=entry + max(load_each),
    )


def _load_bytes_per_s(endpoints: int, messages: MessageBytes) -> list[float]:
    """Let the sidecars of one service exchange load; return what each sends and receives."""
    names = [f"reel-llm-{number}" for number in range(endpoints)]
    loads = {n: LoadTracker(n, "0a1b2c3d4e5f", rng=random.Random(n)) for n in names}
    rotations = {n: PeerRotation(random.Random(n)) for n in names}
    rng = random.Random(1)
    for load in loads.values():
        load.note_own(17, 3, 123_456, 0.0)
        load.merge([busy_row(number) for number in range(endpoints)], 0.0)
    bytes_by_name = dict.fromkeys(names, 0)
    due = [(rng.random(), name) for name in names]
    heapq.heapify(due)
    while due[0][0] < _SETTLE_S + _COUNTED_S:
        now_s, name = heapq.heappop(due)
        heapq.heappush(due, (now_s + loads[name].interval_s * rng.uniform(0.8, 1.2), name))
        peer = rotations[name].next_peer(
            "", names[: names.index(name)] + names[names.index(name) + 1 :]
        )
        if peer is None:
            continue
        rows = loads[name].rows_to_send(now_s)
        # The sequence of a day ago keeps rows as long as they are in a fleet that has run on.
        rows[0] = attrs.evolve(rows[0], sequence=rows[0].sequence + 100_000)
        loads[peer].merge(rows, now_s)
        if now_s >= _SETTLE_S:
            size_bytes = int(messages.load_head) + len(encode_load_rows(rows))
            bytes_by_name[name] += size_bytes
            bytes_by_name[peer] += size_bytes
    return [count / _COUNTED_S for count in bytes_by_name.values()]


def _snapshots_per_s(nodes: int) -> float:
    """Let the timers of a fleet run; return how often a node reads or publishes a snapshot."""
    retention_s = FollowerSettings().retention_s
    rng = random.Random(1)
    schedules = [SnapshotSchedule(retention_s, rng, 0.0) for _ in range(nodes)]
    due = [(schedule.due_s, number) for number, schedule in enumerate(schedules)]
    heapq.heapify(due)
    transfers = 0
    while due[0][0] < _RETENTIONS * retention_s:
        now_s, number = heapq.heappop(due)
        transfers += 1
        schedules[number].restart(now_s)
        heapq.heappush(due, (schedules[number].due_s, number))
    return transfers / nodes / (_RETENTIONS * retention_s)


def _hosts_bytes_per_s(size: ControlSize, messages: MessageBytes) -> float:
    row_changes_per_s = _ROW_CHANGES_PER_NODE_DAY * size.nodes / _DAY_S
    starts_per_s = _ROW_CHANGES_PER_NODE_DAY / 2 / _DAY_S
    polls = messages.hosts_idle / _HOSTS_POLL_S
    changed = row_changes_per_s * (messages.hosts_idle + messages.hosts_row)
    return polls + changed + starts_per_s * size.nodes * messages.hosts_row


def _meetings_per_s(size: ControlSize) -> float:
    """Return how often a sidecar meets or is met while the log is down."""
    names = [f"sidecar-{number}" for number in range(size.sidecars)]
    of_ring = 2.0 / PeerRotation.exchange_interval_s(names[0], names)
    of_entries = size.entries / size.sidecars / PeerRotation.exchange_interval_s("", names)
    return of_ring + of_entries
