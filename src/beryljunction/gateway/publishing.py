"""Sends what the store has told to other entries."""

import math

import anyio
import anyio.abc
import attrs

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.known import zones_here
from beryljunction.gateway.membership import EndpointWatcher
from beryljunction.gateway.registration import Registration
from beryljunction.gateway.state import EntryState
from beryljunction.gateway.updatelink import UpdateLink
from beryljunction.gateway.updates import Progress, Reply, Update
from beryljunction.routing import Address, Confirmation

__all__ = ["UpdatePublisher"]

# Larger settings are read from the store by each entry: sent by one host to eight others, they fill
# a thin link, which callers share.
_MOST_CONFIG_BYTES = 4_096
# The same for records of endpoints.
_MOST_RECORDS_BYTES = 16_384
# Confirmations of several kinds that come within this time go out in one message.
_GATHER_S = 0.02
# The other source of an entry sends it the records after this time, unless it has them by then.
_SECOND_SOURCE_S = 0.1
# One that did not answer is left out for this long: its other source goes on.
_LEFT_OUT_S = 2.0
# Expired records are waited for as long as this after the store's return.
_REGAINED_TOLD_S = 2.0


@attrs.frozen
class _Known:
    """How far an entry's knowledge goes.

    Attributes:
        version: Version of the settings.
        evacuations: Position in the operator's records, up to which zones are known.
        endpoints: Position in the endpoints' records.
        entries: Position in the entries' addresses.
        confirmed_s: When the store was asked whether the settings are the newest.
        endpoints_confirmed_s: The same of the endpoints' records.
        entries_confirmed_s: The same of the entries' addresses.
    """

    version: int = -1
    evacuations: int = -1
    endpoints: int = -1
    entries: int = -1
    confirmed_s: float = -math.inf
    endpoints_confirmed_s: float = -math.inf
    entries_confirmed_s: float = -math.inf

    def is_behind(self, other: "_Known") -> bool:
        """Return whether the other one knows of a change that is not known here."""
        return (
            self.version < other.version
            or self.evacuations < other.evacuations
            or self.endpoints < other.endpoints
            or self.entries < other.entries
        )


@attrs.define
class _Subscriber:
    """An entry that gets updates from this one.

    Attributes:
        reply: Its last word; None before the first.
        replied_s: When that was received.
        acked: What it has received; what it could not use is sent again with the next confirmation.
        lacks_records: Whether its last word shows that nobody has sent it the newest records.
    """

    reply: Reply | None = None
    replied_s: float = 0.0
    acked: _Known = _Known()
    lacks_records: bool = False
    left_out_until_s: float = -math.inf
    is_busy: bool = False


class UpdatePublisher:
    """Sends what this entry knows to its subscribers, as soon as there is something new."""

    def __init__(
        self,
        link: UpdateLink,
        state: EntryState,
        endpoints: EndpointWatcher,
        entries: Registration,
    ) -> None:
        self._link = link
        self._state = state
        self._endpoints = endpoints
        self._entries = entries
        self._subscribers: dict[str, _Subscriber] = {}

    async def run(self) -> None:
        """Send until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                self.step(group)
                await self._state.news.wait()

    def step(self, group: anyio.abc.TaskGroup) -> None:
        """Begin to send to those that lack something."""
        downstream = self._state.fan_out.downstream()
        self._subscribers = {
            host: self._subscribers.get(host) or _Subscriber() for host in downstream
        }
        now_s = boot_time_s()
        for host, address in downstream.items():
            subscriber = self._subscribers[host]
            is_left_out = subscriber.is_busy or subscriber.left_out_until_s > now_s
            if not is_left_out and self._is_due(subscriber):
                subscriber.is_busy = True
                group.start_soon(self._send, host, address, subscriber)

    def _is_due(self, subscriber: _Subscriber) -> bool:
        """Return whether there is a change for it, or a confirmation fresh enough for a message."""
        state, known, acked = self._state, self._known(), subscriber.acked
        fresher = (
            (known.confirmed_s, acked.confirmed_s, state.settings_bound),
            (known.endpoints_confirmed_s, acked.endpoints_confirmed_s, state.endpoints_bound),
            (known.entries_confirmed_s, acked.entries_confirmed_s, state.addresses_bound),
        )
        return acked.is_behind(known) or any(
            here_s > there_s + bound.publish_interval_s for here_s, there_s, bound in fresher
        )

    async def _send(self, host: str, address: Address, subscriber: _Subscriber) -> None:
        """Send to one subscriber until it lacks nothing."""
        if not subscriber.acked.is_behind(self._known()):
            await anyio.sleep(_GATHER_S)
        while self._is_due(subscriber):
            if not await self._send_once(host, address, subscriber):
                subscriber.left_out_until_s = boot_time_s() + _LEFT_OUT_S
                subscriber.reply, subscriber.acked = None, _Known()
                self._state.events.write("update_unanswered", peer=host)
                break
            if subscriber.lacks_records:
                await anyio.sleep(_SECOND_SOURCE_S)
        subscriber.is_busy = False

    async def _send_once(self, host: str, address: Address, subscriber: _Subscriber) -> bool:
        """Send one update; False when there was no answer.

        Records go out with the first message of its first source. The other one, which knows the
        same, sends what the answer to a message without records shows to be missing.
        """
        has_records = subscriber.lacks_records or self._state.fan_out.is_first_source_of(host)
        known, update = self._known(), self._update(subscriber, has_records)
        answer = await self._link.update(address, update.encode())
        if answer is None:
            return False
        try:
            subscriber.reply = Reply.decode(answer)
        except ValueError as error:
            self._state.events.write("peer_rejected", status=200, problem=str(error))
            return False
        subscriber.replied_s = boot_time_s()
        # Only what this start of the subscriber has received counts; the first message only asks.
        is_same_start = subscriber.reply.life == update.life
        subscriber.acked = known if is_same_start else _Known()
        is_behind = (
            subscriber.reply.endpoints < known.endpoints or subscriber.reply.entries < known.entries
        )
        subscriber.lacks_records = is_same_start and is_behind and not has_records
        if subscriber.lacks_records:
            positions = {
                "endpoints": subscriber.reply.endpoints,
                "entries": subscriber.reply.entries,
            }
            subscriber.acked = attrs.evolve(known, **positions)
        return True

    def _known(self) -> _Known:
        state = self._state
        if state.config is None or self._endpoints.offset is None or self._entries.offset is None:
            return _Known()
        offsets = self._endpoints.offset, self._entries.offset
        zones = state.evacuations.position
        times = (
            state.lease.confirmed_s,
            self._endpoints.known.asked_s,
            self._entries.known.asked_s,
        )
        return _Known(state.config.version, zones, *offsets, *times)

    def _update(self, subscriber: _Subscriber, has_records: bool) -> Update:
        """Return what one entry lacks, by its last word; records only where they are to be sent."""
        state, reply = self._state, subscriber.reply
        host = state.host.host
        assert state.config is not None
        version = state.config.version
        if reply is None:
            return Update(host, "", 0.0, 0.0, None, version)
        is_sent = reply.version < version and len(state.config_record) <= _MOST_CONFIG_BYTES
        regained_s = state.contact.regained_s
        is_told = boot_time_s() - regained_s < _REGAINED_TOLD_S
        endpoints = self._endpoints.update_since(reply.endpoints) if has_records else None
        is_cut_short = endpoints is not None and endpoints.size_bytes > _MOST_RECORDS_BYTES
        return Update(
            host,
            reply.life,
            reply.clock_s,
            state.lease.confirmed_s - subscriber.replied_s,
            regained_s - subscriber.replied_s if is_told else None,
            version,
            zones_here(state),
            _progress(self._endpoints.position, self._endpoints.known, subscriber.replied_s),
            _progress(self._entries.position, self._entries.known, subscriber.replied_s),
            is_cut_short,
            state.config_record if is_sent else None,
            None if is_cut_short else endpoints,
            self._entries.update_since(reply.entries) if has_records else None,
        )


def _progress(end: int, known: Confirmation, replied_s: float) -> Progress:
    """Return how far records are known, as of a span from a subscriber's last word."""
    return Progress(end, known.asked_s - replied_s if math.isfinite(known.asked_s) else None)
