"""How many bytes one more entity costs, measured on the tables that the processes use."""

import abc
import gc
import tracemalloc

from beryljunction.bench.slopes.fit import Point, Slope, fit
from beryljunction.loads import LoadRow
from beryljunction.settings import AccountSettings, ResolvedSettings, ServiceSettings
from beryljunction.settings.paths import parse_path
from beryljunction.settings.tree import Leaf, SettingsTree
from beryljunction.systems import RequestTombstones
from beryljunction.tables import (
    ChatPointer,
    ChatTable,
    Endpoint,
    EndpointTable,
    PeerTable,
    RequestTable,
    SidecarRequest,
    TicketRow,
    TicketTable,
)

__all__ = ["STATES", "StateSubject", "measure_state"]

_HASH_STEP = 0x9E37_79B9_7F4A_7C15
_MASK = 2**64 - 1


class StateSubject(abc.ABC):
    """Something that a process holds many of."""

    subject: str
    role: str

    @abc.abstractmethod
    def build(self, count: int) -> object:
        """Return a table of ``count`` rows, each with values of its own."""


class _Endpoints(StateSubject):
    subject = "endpoints known"
    role = "entry"

    def build(self, count: int) -> object:
        return EndpointTable(
            Endpoint(
                f"service-{i % 17}-{i}",
                f"service-{i % 17}",
                f"zone-{i % 10}",
                f"10.0.{i // 256}.{i % 256}:8100",
                f"incarnation-{i}",
            )
            for i in range(count)
        )


class _Accounts(StateSubject):
    subject = "client accounts"
    role = "both"

    def build(self, count: int) -> object:
        accounts = {f"account-{i}": AccountSettings(f"{i:064x}", 1.0 + i) for i in range(count)}
        return ResolvedSettings(services={"drafter": ServiceSettings()}, accounts=accounts)


class _Pointers(StateSubject):
    subject = "chat pointers"
    role = "sidecar"

    def build(self, count: int) -> object:
        table = ChatTable()
        for i in range(count):
            table.put(ChatPointer(i * _HASH_STEP & _MASK, f"drafter-{i % 41}", 1000 + i, 1.0 + i))
        return table


class _Peers(StateSubject):
    subject = "peer load rows"
    role = "sidecar"

    def build(self, count: int) -> object:
        table = PeerTable()
        for i in range(count):
            table.merge(
                LoadRow(f"drafter-{i}", f"{i:016x}", 300 + i, i, i, 9_000 + i, 0.5 + i), 1.0 + i
            )
        return table


class _Requests(StateSubject):
    subject = "requests waiting or running"
    role = "sidecar"

    def build(self, count: int) -> object:
        table = RequestTable()
        for i in range(count):
            key = i * _HASH_STEP & _MASK
            table.add(
                SidecarRequest(f"{i:032x}", f"account-{i % 350}", 1.0 + i, 31.0 + i, key, 1000 + i)
            )
        return table


class _Tickets(StateSubject):
    subject = "live tickets"
    role = "sidecar"

    def build(self, count: int) -> object:
        table = TicketTable()
        for i in range(count):
            table.add(TicketRow(f"{i:024x}", f"{i:032x}", f"{i:032x}", 1_000 + i, 900_000 + i))
        return table


class _Tombstones(StateSubject):
    subject = "request ids remembered"
    role = "sidecar"

    def build(self, count: int) -> object:
        tombstones = RequestTombstones("drafter-0", "incarnation-0", 0.0)
        for i in range(count):
            tombstones.arrive(f"{i:032x}", tombstones.stamp(0.0), 0.0, 0.001 * i)
        return tombstones


class _SettingsKeys(StateSubject):
    subject = "settings keys"
    role = "both"

    def build(self, count: int) -> object:
        leaves = {
            parse_path(f"account.account-{i}.service.s-{i % 17}.max_running"): Leaf(
                1_000 + i, True, i, f"operator-{i % 20}", f"{i:032x}"
            )
            for i in range(count)
        }
        return SettingsTree(count, leaves)


STATES: tuple[StateSubject, ...] = (
    _Endpoints(),
    _Accounts(),
    _Pointers(),
    _Peers(),
    _Requests(),
    _Tickets(),
    _Tombstones(),
    _SettingsKeys(),
)


def measure_state(subject: StateSubject, counts: tuple[int, ...]) -> Slope:
    """Return how the subject's memory grows, by the allocator's own count."""
    points = [Point(count, _bytes_of(subject, count)) for count in counts]
    return fit(subject.subject, subject.role, "bytes", points)


def _bytes_of(subject: StateSubject, count: int) -> int:
    gc.collect()
    tracemalloc.start()
    try:
        held = subject.build(count)
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del held
    return size
