"""One entry of the fuzz, and the way by which entries ask each other."""

import asyncio

import attrs

from beryljunction.fuzz.platform.stores import FuzzStore
from beryljunction.gateway.crashreports import CrashReport
from beryljunction.gateway.endpoint_watcher import EndpointWatcher
from beryljunction.gateway.frontend import CallerFrontend
from beryljunction.gateway.peers import PeerClient
from beryljunction.gateway.state import EntryState
from beryljunction.gateway.store_view import StoreView, local_store_view
from beryljunction.gateway.streamreports import StreamReport
from beryljunction.platform import InvalidRecord
from beryljunction.routing import Address

__all__ = ["FuzzEntry", "FuzzPeerClient"]

_PEER_S = 0.002


@attrs.define(eq=False)
class FuzzEntry:
    """An entry with its store, and what cuts it off."""

    name: str
    address: tuple[str, int]
    store: FuzzStore
    state: EntryState
    task: asyncio.Task[None] | None = None
    frontend: CallerFrontend | None = None
    fault_since_s: float | None = None
    endpoints: EndpointWatcher | None = None
    is_alone: bool = False


class FuzzPeerClient(PeerClient):
    """Asks another entry of the world, unless one of both is cut off from it.

    Args:
        entry: The one that asks.
        entries: All, by name.
    """

    def __init__(self, entry: FuzzEntry, entries: dict[str, FuzzEntry]) -> None:
        self._entry = entry
        self._entries = entries

    async def fetch_view(self, address: Address, version: int, offset: int) -> StoreView | str:
        """Return what the other entry knows."""
        await asyncio.sleep(_PEER_S)
        peer = self._at(address)
        if peer is None or peer.endpoints is None:
            return "no answer"
        store_view = local_store_view(peer.state, peer.endpoints, version, offset)
        await asyncio.sleep(_PEER_S)
        if store_view is None:
            return "nothing known"
        decoded = StoreView.decode(store_view.encode())
        return decoded.problem if isinstance(decoded, InvalidRecord) else decoded

    async def send_gossip(self, address: Address, gossip: bytes) -> bool:
        """Tell nothing: the world has no engines."""
        return False

    async def report_crashes(self, address: Address, crashes: bytes) -> bytes | None:
        """Tell of requests that end endpoints."""
        await asyncio.sleep(_PEER_S)
        peer = self._at(address)
        if peer is None:
            return None
        decoded = CrashReport.decode(crashes)
        if isinstance(decoded, InvalidRecord):
            return None
        return peer.state.quarantine.apply_report(decoded).encode()

    async def exchange_streams(self, address: Address, report: bytes) -> bytes | None:
        """Report or ask where streams began."""
        await asyncio.sleep(_PEER_S)
        peer = self._at(address)
        if peer is None:
            return None
        decoded = StreamReport.decode(report)
        if isinstance(decoded, InvalidRecord):
            return None
        answer = peer.state.streams.apply_report(decoded).encode()
        await asyncio.sleep(_PEER_S)
        return answer

    def _at(self, address: Address) -> FuzzEntry | None:
        """Return the entry at an address; None where it can't be reached."""
        peer = next(row for row in self._entries.values() if row.address == address)
        return None if self._entry.is_alone or peer.is_alone else peer
