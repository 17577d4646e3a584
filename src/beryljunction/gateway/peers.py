"""Requests between entries: settings with their age, sessions, crashes and streams."""

import abc
import contextlib
import math
from collections.abc import Callable

import anyio
import httpcore

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.callers import CallerConnection, CallerHandler
from beryljunction.gateway.config_watcher import ConfigWatcher
from beryljunction.gateway.crashreports import CrashReport
from beryljunction.gateway.endpoint_watcher import EndpointWatcher
from beryljunction.gateway.gossip import Gossip
from beryljunction.gateway.messages import HttpRequest
from beryljunction.gateway.state import EntryState
from beryljunction.gateway.store_view import StoreView, local_store_view
from beryljunction.gateway.streamreports import StreamReport
from beryljunction.gateway.update_client import UPDATE_PATH
from beryljunction.gateway.update_receiver import UpdateReceiver
from beryljunction.platform import InvalidRecord
from beryljunction.response_body import read_body
from beryljunction.routing import Address, CallerLimits, PeerTable, should_ask_peers
from beryljunction.timeouts import fail_after

__all__ = ["PeerConfirmation", "HttpPeerClient", "PeerHandler", "PeerClient"]

_KNOWN_PATH = "/v1/known"
_GOSSIP_PATH = "/v1/news"
_CRASHES_PATH = "/v1/crashes"
_STREAMS_PATH = "/v1/begun-streams"
# Interval between requests to peers. Two of them fit between the age at which an entry starts to
# ask peers and the age at which it stops being ready.
_ASK_INTERVAL_S = 0.5
# A starting entry asks this many peers for newer settings before it serves, for this long at most
# from when it has read the store's.
_ASKED_AT_START = 2
_ASK_AT_START_S = 0.7
_START_POLL_INTERVAL_S = 0.02
# A peer answers within a few ms, even from another zone; an unreachable one never does.
_ANSWER_TIMEOUT_S = 0.3
# Settings of 1,640 routes take 0.7 s on a link of 5 Mbit/s, which the callers' answers share.
_VIEW_TIMEOUT_S = 2.0
# Settings, endpoints and all else that an entry knows take a few MB in the largest deployment.
_MAX_VIEW_BYTES = 16 * 1_048_576
_MAX_ANSWER_BYTES = 1_048_576
_MAX_DIGITS = 20
# A zone has about as many peers; connections beyond that are opened on demand.
_MAX_KEEPALIVE_CONNECTIONS = 8
MessageHandler = Callable[[bytes], bytes | InvalidRecord]
_TRANSPORT_ERRORS = (httpcore.TimeoutException, httpcore.NetworkError, httpcore.ProtocolError)


class PeerHandler(CallerHandler):
    """Serves the requests of other entries."""

    def __init__(
        self,
        state: EntryState,
        endpoints: EndpointWatcher,
        peers: PeerTable,
        updates: UpdateReceiver | None = None,
    ) -> None:
        super().__init__()
        self._message_handlers: dict[str, MessageHandler] = {
            _GOSSIP_PATH: self._apply_gossip,
            _CRASHES_PATH: self._apply_crashes,
            _STREAMS_PATH: self._apply_streams,
        }
        if updates is not None:
            self._message_handlers[UPDATE_PATH] = updates.apply
        self.limits = CallerLimits()
        self._state = state
        self._endpoints = endpoints
        self._peers = peers

    def on_reject(self, status: int, problem: str) -> None:
        """Log a malformed request."""
        self._state.events.write("peer_rejected", status=status, problem=problem)

    def on_request(self, connection: CallerConnection, request: HttpRequest) -> None:
        """Answer a request immediately."""
        handle = self._message_handlers.get(request.path)
        if handle is not None:
            self._handle_message(connection, request.body, handle)
            return
        asked = _parse_query(request.target.decode("latin-1"))
        if asked is None:
            connection.answer(404, [], b"")
            return
        known = local_store_view(self._state, self._endpoints, *asked)
        if known is None:
            connection.answer(503, [], b"")
            return
        connection.answer(200, [(b"content-type", b"application/json")], known.encode())

    def _handle_message(
        self, connection: CallerConnection, body: bytes, handle: MessageHandler
    ) -> None:
        """Handle a message and send the reply; answer 400 if the message is invalid."""
        answer = handle(body)
        if isinstance(answer, InvalidRecord):
            self._state.events.write("peer_rejected", status=400, problem=answer.problem)
            connection.answer(400, [], b"")
            return
        connection.answer(200, [], answer)

    def _apply_gossip(self, body: bytes) -> bytes | InvalidRecord:
        gossip = Gossip.decode(body)
        if isinstance(gossip, InvalidRecord):
            return gossip
        self._peers.note_incarnation(gossip.host, gossip.incarnation)
        self._state.apply_gossip(gossip.moved, gossip.loads)
        return b""

    def _apply_crashes(self, body: bytes) -> bytes | InvalidRecord:
        report = CrashReport.decode(body)
        if isinstance(report, InvalidRecord):
            return report
        return self._state.quarantine.apply_report(report).encode()

    def _apply_streams(self, body: bytes) -> bytes | InvalidRecord:
        report = StreamReport.decode(body)
        if isinstance(report, InvalidRecord):
            return report
        return self._state.streams.apply_report(report).encode()


def _format_query(version: int, offset: int) -> str:
    return f"{_KNOWN_PATH}/{version}/{offset}"


def _parse_query(target: str) -> tuple[int, int] | None:
    path, _, offset = target.rpartition("/")
    path, _, version = path.rpartition("/")
    if path != _KNOWN_PATH or not (_is_number(version) and _is_number(offset)):
        return None
    return int(version), int(offset)


def _is_number(text: str) -> bool:
    return text.isdecimal() and len(text) <= _MAX_DIGITS


class PeerClient(abc.ABC):
    """Sends requests to another entry."""

    @abc.abstractmethod
    async def fetch_view(self, address: Address, version: int, offset: int) -> StoreView | str:
        """Return what it has beyond this version and offset, or why there is no answer."""

    @abc.abstractmethod
    async def send_gossip(self, address: Address, gossip: bytes) -> bool:
        """Send session placements and loads; return False if there was no answer."""

    @abc.abstractmethod
    async def report_crashes(self, address: Address, crashes: bytes) -> bytes | None:
        """Report requests that crash endpoints.

        Returns:
            Its report of which of them it has in quarantine; None if there was no answer.
        """

    @abc.abstractmethod
    async def exchange_streams(self, address: Address, report: bytes) -> bytes | None:
        """Report or ask where streams began; return its report, None if there was no answer."""


class HttpPeerClient(PeerClient):
    """Sends requests to other entries over HTTP.

    `fetch_view` is rare and opens a connection each time, since an idle one may be dead. The other
    calls use keep-alive connections; gossip that is lost on a dead one costs a prefix cache hit.
    """

    def __init__(self) -> None:
        self._pool = httpcore.AsyncConnectionPool(
            max_keepalive_connections=_MAX_KEEPALIVE_CONNECTIONS
        )

    async def send_gossip(self, address: Address, gossip: bytes) -> bool:
        """Send session placements and loads; return False if there was no answer."""
        return await self._post(address, _GOSSIP_PATH, gossip) is not None

    async def report_crashes(self, address: Address, crashes: bytes) -> bytes | None:
        """Report requests that crash endpoints; return its report, None if there was no answer."""
        return await self._post(address, _CRASHES_PATH, crashes)

    async def exchange_streams(self, address: Address, report: bytes) -> bytes | None:
        """Report or ask where streams began; return its report, None if there was no answer."""
        return await self._post(address, _STREAMS_PATH, report)

    async def _post(self, address: Address, path: str, message: bytes) -> bytes | None:
        url = f"http://{address[0]}:{address[1]}{path}"
        try:
            with fail_after(_ANSWER_TIMEOUT_S):
                async with self._pool.stream("POST", url, content=message) as response:
                    body = await read_body(response, _MAX_ANSWER_BYTES)
        except (TimeoutError, *_TRANSPORT_ERRORS):
            return None
        return body if response.status == 200 else None

    async def fetch_view(self, address: Address, version: int, offset: int) -> StoreView | str:
        """Return what it has beyond this version and offset, or why there is no answer."""
        url = f"http://{address[0]}:{address[1]}{_format_query(version, offset)}"
        try:
            async with contextlib.AsyncExitStack() as stack:
                pool = await stack.enter_async_context(httpcore.AsyncConnectionPool())
                with fail_after(_ANSWER_TIMEOUT_S):
                    response = await stack.enter_async_context(
                        pool.stream("GET", url, headers={"connection": "close"})
                    )
                if response.status != 200:
                    return f"expected status 200, got {response.status}"
                with fail_after(_VIEW_TIMEOUT_S):
                    view = StoreView.decode(await read_body(response, _MAX_VIEW_BYTES))
                return view.problem if isinstance(view, InvalidRecord) else view
        except (TimeoutError, *_TRANSPORT_ERRORS) as error:
            return f"{type(error).__name__} {error}".strip()


class PeerConfirmation:
    """Gets the settings confirmed by other entries while the store is unreachable.

    Peers send the age along with the settings, and it counts from when the request was sent, so it
    never decreases. Entries that are all cut off thus can't keep each other's settings in force.
    """

    def __init__(
        self,
        client: PeerClient,
        state: EntryState,
        config: ConfigWatcher,
        endpoints: EndpointWatcher,
        peers: PeerTable,
    ) -> None:
        self._client = client
        self._state = state
        self._config = config
        self._endpoints = endpoints
        self._peers = peers
        self._is_peer_confirmed = False
        state.awaits_peers = True

    async def run(self) -> None:
        """Ask peers whenever necessary, until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._ask_at_start)
            while True:
                await anyio.sleep(_ASK_INTERVAL_S)
                await self.step()

    async def _ask_at_start(self) -> None:
        """Ask peers for settings that are newer than the store's, which may be an older copy."""
        await self._config.loaded.wait()
        if not self._state.awaits_peers:
            return
        try:
            with anyio.move_on_after(_ASK_AT_START_S):
                await self._ask_some()
        finally:
            self._state.awaits_peers = False

    async def _ask_some(self) -> None:
        while not math.isfinite(self._state.addresses_confirmation.asked_s):
            await anyio.sleep(_START_POLL_INTERVAL_S)
        for _ in range(_ASKED_AT_START):
            chosen = self._peers.choose(boot_time_s())
            if chosen is not None:
                self._peers.note(chosen[0], await self._ask(*chosen), boot_time_s())

    async def step(self) -> None:
        """Ask one peer if the last confirmation is so old that the store seems unreachable."""
        lease, now_s = self._state.lease, boot_time_s()
        chosen = self._find_announcer()
        if chosen is None and not should_ask_peers(self._config.age_s(now_s), lease.revocation_s):
            self._log_peer_confirmation(self._config.confirmed_by)
            return
        if self._config.is_receiving() and self._config.age_s(now_s) < lease.ready_s:
            # A peer's answer would share the link with the same settings from the store. A response
            # that stalls is not waited for any longer than the settings allow.
            return
        if chosen is None:
            chosen = self._peers.choose(now_s)
        if chosen is None:
            return
        host, address = chosen
        has_confirmed = await self._ask(host, address)
        if has_confirmed:
            self._state.awaits_peers = False
        self._peers.note(host, has_confirmed, boot_time_s())
        self._log_peer_confirmation(host if has_confirmed else "")

    async def _ask(self, host: str, address: Address) -> bool:
        """Apply what a peer has beyond this entry; return whether the peer confirmed it."""
        asked_s = boot_time_s()
        version = self._state.config.version if self._state.config is not None else 0
        answer = await self._client.fetch_view(address, version, self._endpoints.offset or 0)
        if not isinstance(answer, StoreView):
            return False
        return self._apply_store_view(host, answer, asked_s)

    def _find_announcer(self) -> tuple[str, Address] | None:
        """Return the entry that has settings which the store lacks; None if there is none."""
        host = self._config.announcer()
        address = self._state.fan_out.addresses().get(host) if host is not None else None
        return (host, address) if host is not None and address is not None else None

    def _apply_store_view(self, host: str, store_view: StoreView, asked_s: float) -> bool:
        """Apply a peer's answer; return whether the peer itself is in contact with the store."""
        self._state.store_reachability.note_update(asked_s - store_view.age_s, None, boot_time_s())
        self._state.replace_evacuations(
            store_view.evacuations.zones, store_view.evacuations.position
        )
        asked_settings_s = asked_s - store_view.age_s
        is_confirmed = self._config.apply_from_peer(
            host, store_view.version, store_view.config, asked_settings_s
        )
        if store_view.endpoints is not None:
            self._endpoints.apply_from_peer(store_view.offset, store_view.endpoints)
        if not is_confirmed:
            return False
        lease = self._state.lease
        self._endpoints.confirm_up_to(store_view.offset, asked_s - store_view.endpoints_age_s, host)
        self._state.store_data_changed.set()
        return not should_ask_peers(store_view.age_s, lease.revocation_s)

    def _log_peer_confirmation(self, host: str) -> None:
        """Log when peers start confirming the settings, and when this entry's reads work again.

        Args:
            host: The entry that confirmed them just now; empty if there was none.
        """
        is_rejected_by_store = self._config.is_rejected_by_store(boot_time_s())
        is_peer_confirmed = is_rejected_by_store and (bool(host) or self._is_peer_confirmed)
        if is_peer_confirmed != self._is_peer_confirmed:
            self._is_peer_confirmed = is_peer_confirmed
            event = "settings_by_peer" if is_peer_confirmed else "settings_by_peer_ended"
            self._state.events.write(event, peer=host)
