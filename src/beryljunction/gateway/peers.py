"""Entries tell each other what the store has told them, with its age, and their news."""

import abc
from collections.abc import Callable

import anyio
import httpcore

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.callers import CallerConnection, CallerHandler
from beryljunction.gateway.crashreports import CrashReport
from beryljunction.gateway.following import ConfigWatcher
from beryljunction.gateway.known import Known, known_here
from beryljunction.gateway.membership import EndpointWatcher
from beryljunction.gateway.messages import HttpRequest
from beryljunction.gateway.news import News
from beryljunction.gateway.receiving import UpdateReceiver
from beryljunction.gateway.state import EntryState
from beryljunction.gateway.updatelink import UPDATE_PATH
from beryljunction.routing import Address, CallerLimits, PeerTable, needs_peers

__all__ = ["PeerConfirmation", "HttpPeerLink", "PeerHandler", "PeerLink"]

_KNOWN_PATH = "/v1/known"
_NEWS_PATH = "/v1/news"
_CRASHES_PATH = "/v1/crashes"
# Pause between questions, while they are needed: two fit between the age from which peers are asked
# and that from which callers are sent elsewhere.
_STEP_S = 0.5
# A peer answers in a few ms, also from another zone; one that is dark never does.
_ANSWER_S = 0.3
# As many as there are peers in a zone today; others are opened when they are needed.
_KEPT_CONNECTIONS = 8
_NO_ANSWER = (httpcore.TimeoutException, httpcore.NetworkError, httpcore.ProtocolError)


class PeerHandler(CallerHandler):
    """Answers other entries."""

    def __init__(
        self,
        state: EntryState,
        endpoints: EndpointWatcher,
        peers: PeerTable,
        updates: UpdateReceiver | None = None,
    ) -> None:
        self._takers: dict[str, Callable[[bytes], bytes]] = {
            _NEWS_PATH: self._learn,
            _CRASHES_PATH: self._take_crashes,
        }
        if updates is not None:
            self._takers[UPDATE_PATH] = updates.take
        self.limits = CallerLimits()
        self.leaving = False
        self._state = state
        self._endpoints = endpoints
        self._peers = peers

    def opened(self, connection: CallerConnection) -> None:
        """Do nothing."""

    def closed(self, connection: CallerConnection) -> None:
        """Do nothing."""

    def rejected(self, status: int, problem: str) -> None:
        """Log what was no request."""
        self._state.events.write("peer_rejected", status=status, problem=problem)

    def requested(self, connection: CallerConnection, request: HttpRequest) -> None:
        """Answer at once."""
        take = self._takers.get(request.path)
        if take is not None:
            self._take(connection, request.body, take)
            return
        asked = _read_question(request.target.decode("latin-1"))
        if asked is None:
            connection.answer(404, [], b"")
            return
        known = known_here(self._state, self._endpoints, *asked)
        if known is None:
            connection.answer(503, [], b"")
            return
        connection.answer(200, [(b"content-type", b"application/json")], known.encode())

    def _take(
        self, connection: CallerConnection, body: bytes, take: Callable[[bytes], bytes]
    ) -> None:
        """Take in a message, and answer what is to be said to it."""
        try:
            answer = take(body)
        except ValueError as error:
            self._state.events.write("peer_rejected", status=400, problem=str(error))
            connection.answer(400, [], b"")
            return
        connection.answer(200, [], answer)

    def _learn(self, body: bytes) -> bytes:
        news = News.decode(body)
        self._peers.greet(news.host, news.life)
        self._state.learn(news.moved, news.loads)
        return b""

    def _take_crashes(self, body: bytes) -> bytes:
        return self._state.quarantine.take(CrashReport.decode(body)).encode()


def _question(version: int, offset: int) -> str:
    return f"{_KNOWN_PATH}/{version}/{offset}"


def _read_question(target: str) -> tuple[int, int] | None:
    path, _, offset = target.rpartition("/")
    path, _, version = path.rpartition("/")
    if path != _KNOWN_PATH or not (version.isdecimal() and offset.isdecimal()):
        return None
    return int(version), int(offset)


class PeerLink(abc.ABC):
    """Asks another entry."""

    @abc.abstractmethod
    async def ask(self, address: Address, version: int, offset: int) -> Known | str:
        """Return what it knows beyond this version and offset, or why there is no answer."""

    @abc.abstractmethod
    async def tell(self, address: Address, news: bytes) -> bool:
        """Tell it news; False when it did not answer."""

    @abc.abstractmethod
    async def report(self, address: Address, crashes: bytes) -> bytes | None:
        """Tell it of requests that end endpoints.

        Returns:
            Its report of which of them it keeps from being sent; None when it did not answer.
        """


class HttpPeerLink(PeerLink):
    """Speaks to other entries over HTTP.

    Questions are few, and go on a connection each, since an open one may be dead. What is told
    goes on kept ones; what is lost on a dead one costs a warm prefix.
    """

    def __init__(self) -> None:
        self._pool = httpcore.AsyncConnectionPool(max_keepalive_connections=_KEPT_CONNECTIONS)

    async def tell(self, address: Address, news: bytes) -> bool:
        """Tell it news; False when it did not answer."""
        return await self._post(address, _NEWS_PATH, news) is not None

    async def report(self, address: Address, crashes: bytes) -> bytes | None:
        """Tell it of requests that end endpoints; return its own report, None for no answer."""
        return await self._post(address, _CRASHES_PATH, crashes)

    async def _post(self, address: Address, path: str, message: bytes) -> bytes | None:
        url = f"http://{address[0]}:{address[1]}{path}"
        try:
            with anyio.fail_after(_ANSWER_S):
                response = await self._pool.request("POST", url, content=message)
        except (TimeoutError, *_NO_ANSWER):
            return None
        return response.content if response.status == 200 else None

    async def ask(self, address: Address, version: int, offset: int) -> Known | str:
        """Return what it knows beyond this version and offset, or why there is no answer."""
        url = f"http://{address[0]}:{address[1]}{_question(version, offset)}"
        try:
            with anyio.fail_after(_ANSWER_S):
                async with httpcore.AsyncConnectionPool() as pool:
                    response = await pool.request("GET", url, headers={"connection": "close"})
            if response.status != 200:
                return f"expected status 200, got {response.status}"
            return Known.decode(response.content)
        except (TimeoutError, ValueError, *_NO_ANSWER) as error:
            return f"{type(error).__name__} {error}".strip()


class PeerConfirmation:
    """Keeps the settings confirmed by way of other entries while the store is out of reach.

    The age is handed on with the settings, and counted from when the question was sent, so it never
    gets younger on the way: entries that are all cut off can't keep each other's settings in force.
    """

    def __init__(
        self,
        link: PeerLink,
        state: EntryState,
        config: ConfigWatcher,
        endpoints: EndpointWatcher,
        peers: PeerTable,
    ) -> None:
        self._link = link
        self._state = state
        self._config = config
        self._endpoints = endpoints
        self._peers = peers
        self._is_helped = False

    async def run(self) -> None:
        """Ask when it is needed, until cancelled."""
        while True:
            await anyio.sleep(_STEP_S)
            await self.step()

    async def step(self) -> None:
        """Ask one peer if the store seems to be out of reach, by this entry's own reads."""
        lease = self._state.lease
        if not needs_peers(self._config.age_s(boot_time_s()), lease.revocation_s):
            self._note_help(self._config.told_by)
            return
        chosen = self._peers.choose(boot_time_s())
        if chosen is None:
            return
        host, address = chosen
        asked_s = boot_time_s()
        version = self._state.config.version if self._state.config is not None else 0
        answer = await self._link.ask(address, version, self._endpoints.offset or 0)
        has_helped = isinstance(answer, Known) and self._take(host, answer, asked_s)
        self._peers.note(host, has_helped, boot_time_s())
        self._note_help(host if has_helped else "")

    def _take(self, host: str, known: Known, asked_s: float) -> bool:
        """Take in what a peer knows; True when it is in touch with the store itself."""
        self._state.contact.note_update(asked_s - known.age_s, None, boot_time_s())
        self._state.replace_evacuations(known.evacuations.zones, known.evacuations.position)
        if known.config is not None:
            self._config.take_from_peer(known.config)
        if known.endpoints is not None:
            self._endpoints.take_from_peer(known.offset, known.endpoints)
        config = self._state.config
        if config is None or config.version < known.version:
            return False
        lease = self._state.lease
        lease.confirm(asked_s - known.age_s)
        self._endpoints.confirm_to(known.offset, asked_s - known.endpoints_age_s, host)
        self._state.news.set()
        return not needs_peers(known.age_s, lease.revocation_s)

    def _note_help(self, host: str) -> None:
        """Log when this entry begins to go on by another one's word, and when its reads work again.

        Args:
            host: The entry that has helped just now; empty for none.
        """
        is_turned_away = self._config.is_turned_away(boot_time_s())
        is_helped = is_turned_away and (bool(host) or self._is_helped)
        if is_helped != self._is_helped:
            self._is_helped = is_helped
            event = "settings_by_peer" if is_helped else "settings_by_peer_ended"
            self._state.events.write(event, peer=host)
