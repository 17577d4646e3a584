"""Pushes what this entry has read from the store to downstream entries."""

import math

import anyio
import anyio.abc
import attrs

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.endpoint_watcher import EndpointWatcher
from beryljunction.gateway.registration import Registration
from beryljunction.gateway.state import EntryState
from beryljunction.gateway.store_view import local_zone_update
from beryljunction.gateway.update_client import UpdateClient
from beryljunction.gateway.updates import Progress, Reply, Update
from beryljunction.platform import InvalidRecord
from beryljunction.routing import Address, Confirmation

__all__ = ["UpdatePublisher"]

# Each entry reads larger settings from the store itself: one host sending them to eight others
# would fill a slow link, which its callers share.
_MAX_CONFIG_BYTES = 4_096
# Each entry also reads larger changes of the endpoint records from the store itself.
_MAX_RECORDS_BYTES = 16_384
# The list of the entries of the largest fleet and what is saved beside it is smaller.
_MAX_ENTRIES_BYTES = 65_536
# Confirmations of several topics that arrive within this time are sent in one message.
_BATCH_DELAY_S = 0.02
# The second source of an entry waits this long before sending records that it still lacks.
_SECOND_SOURCE_DELAY_S = 0.1
# A subscriber that did not answer is skipped for this long; its other source continues.
_UNANSWERED_PAUSE_S = 2.0
# The return of the store is reported for this long: expired records may still be rewritten then.
_REGAINED_ANNOUNCED_S = 2.0


@attrs.frozen
class _KnownPositions:
    """Versions and positions that an entry has, and when the store confirmed them.

    Attributes:
        version: Version of the settings.
        evacuations: Position in the operator's records up to which zones are known.
        endpoints: Position in the endpoint records.
        entries: Position in the addresses of entries.
        confirmed_s: When the store was asked for the newest settings.
        endpoints_confirmed_s: When it was asked for the newest endpoint records.
        entries_confirmed_s: When it was asked for the newest addresses of entries.
    """

    version: int = -1
    evacuations: int = -1
    endpoints: int = -1
    entries: int = -1
    confirmed_s: float = -math.inf
    endpoints_confirmed_s: float = -math.inf
    entries_confirmed_s: float = -math.inf

    def is_behind(self, other: "_KnownPositions") -> bool:
        """Return whether the other one includes a change that this one lacks."""
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
        reply: Its last reply; None before the first.
        replied_s: When that reply was received.
        acked: What it has received. What it could not apply is sent again with the next
            confirmation.
        lacks_records: Whether its last reply shows that it still lacks the newest records.
    """

    reply: Reply | None = None
    replied_s: float = 0.0
    acked: _KnownPositions = _KnownPositions()
    lacks_records: bool = False
    paused_until_s: float = -math.inf
    is_busy: bool = False


class UpdatePublisher:
    """Pushes settings, records and confirmations to downstream entries as soon as they change."""

    def __init__(
        self,
        client: UpdateClient,
        state: EntryState,
        endpoints: EndpointWatcher,
        entries: Registration,
    ) -> None:
        self._client = client
        self._state = state
        self._endpoints = endpoints
        self._entries = entries
        self._subscribers: dict[str, _Subscriber] = {}

    async def run(self) -> None:
        """Push updates until cancelled; a run that failed has left its sends unfinished."""
        for subscriber in self._subscribers.values():
            subscriber.is_busy = False
        async with anyio.create_task_group() as group:
            while True:
                self.step(group)
                await self._state.store_data_changed.wait()

    def step(self, group: anyio.abc.TaskGroup) -> None:
        """Start sending to each subscriber that lacks something."""
        downstream = self._state.fan_out.downstream()
        self._subscribers = {
            host: self._subscribers.get(host) or _Subscriber() for host in downstream
        }
        now_s = boot_time_s()
        for host, address in downstream.items():
            subscriber = self._subscribers[host]
            is_skipped = subscriber.is_busy or subscriber.paused_until_s > now_s
            if not is_skipped and self._is_due(subscriber):
                subscriber.is_busy = True
                group.start_soon(self._send, host, address, subscriber)

    def _is_due(self, subscriber: _Subscriber) -> bool:
        """Return whether a subscriber lacks a change or is due for a newer confirmation."""
        state, known, acked = self._state, self._known_positions(), subscriber.acked
        confirmations = (
            (known.confirmed_s, acked.confirmed_s, state.settings_bound),
            (known.endpoints_confirmed_s, acked.endpoints_confirmed_s, state.endpoints_bound),
            (known.entries_confirmed_s, acked.entries_confirmed_s, state.addresses_bound),
        )
        return acked.is_behind(known) or any(
            here_s > acked_s + bound.publish_interval_s for here_s, acked_s, bound in confirmations
        )

    async def _send(self, host: str, address: Address, subscriber: _Subscriber) -> None:
        """Send to a subscriber until it lacks nothing or stops answering."""
        if not subscriber.acked.is_behind(self._known_positions()):
            await anyio.sleep(_BATCH_DELAY_S)
        while self._is_due(subscriber):
            if not await self._send_once(host, address, subscriber):
                subscriber.paused_until_s = boot_time_s() + _UNANSWERED_PAUSE_S
                subscriber.reply, subscriber.acked = None, _KnownPositions()
                self._state.events.write("update_unanswered", peer=host)
                break
            if subscriber.lacks_records:
                await anyio.sleep(_SECOND_SOURCE_DELAY_S)
        subscriber.is_busy = False

    async def _send_once(self, host: str, address: Address, subscriber: _Subscriber) -> bool:
        """Send one update; return False if there was no valid answer.

        The first source of a subscriber includes records in its messages. The second source sends
        none at first, and adds them when the reply shows that the subscriber lacks some.
        """
        has_records = subscriber.lacks_records or self._state.fan_out.is_first_source_of(host)
        known, update = self._known_positions(), self._update(subscriber, has_records)
        answer = await self._client.send_update(address, update.encode())
        if answer is None:
            return False
        reply = Reply.decode(answer)
        if isinstance(reply, InvalidRecord):
            self._state.events.write("peer_rejected", status=200, problem=reply.problem)
            return False
        subscriber.reply = reply
        subscriber.replied_s = boot_time_s()
        # A reply from another process start of the subscriber acknowledges nothing. The first
        # message only learns which start it is.
        is_same_start = reply.incarnation == update.incarnation
        subscriber.acked = known if is_same_start else _KnownPositions()
        is_behind = reply.endpoints < known.endpoints or reply.entries < known.entries
        subscriber.lacks_records = is_same_start and is_behind and not has_records
        if subscriber.lacks_records:
            positions = {
                "endpoints": reply.endpoints,
                "entries": reply.entries,
            }
            subscriber.acked = attrs.evolve(known, **positions)
        return True

    def _known_positions(self) -> _KnownPositions:
        state = self._state
        if state.config is None or self._endpoints.offset is None or self._entries.offset is None:
            return _KnownPositions()
        offsets = self._endpoints.offset, self._entries.offset
        zones = state.evacuations.position
        times = (
            state.lease.confirmed_s,
            self._endpoints.confirmation.asked_s,
            self._entries.confirmation.asked_s,
        )
        return _KnownPositions(self._newest_version(), zones, *offsets, *times)

    def _newest_version(self) -> int:
        """Return the newest version that this entry has or has just learned of.

        Reading it may take a second here. Entries below need not wait for that to read it, and the
        confirmation of an older version holds for the newer one as well.
        """
        config = self._state.config
        own_version = config.version if config is not None else -1
        return max(own_version, self._state.announced_version.forwarded(boot_time_s()))

    def _update(self, subscriber: _Subscriber, has_records: bool) -> Update:
        """Return what a subscriber lacks by its last reply; with records only if `has_records`."""
        state, reply = self._state, subscriber.reply
        host = state.host.host
        assert state.config is not None
        own_version, version = state.config.version, self._newest_version()
        if reply is None:
            return Update(host, "", 0.0, 0.0, None, version)
        is_sent = reply.version < own_version and len(state.config_record) <= _MAX_CONFIG_BYTES
        regained_s = state.store_reachability.recovered_s
        is_announced = boot_time_s() - regained_s < _REGAINED_ANNOUNCED_S
        endpoints = self._endpoints.update_since(reply.endpoints) if has_records else None
        omits_endpoints = endpoints is not None and endpoints.size_bytes > _MAX_RECORDS_BYTES
        entries = self._entries.update_since(reply.entries) if has_records else None
        omits_entries = entries is not None and entries.size_bytes > _MAX_ENTRIES_BYTES
        return Update(
            host,
            reply.incarnation,
            reply.clock_s,
            state.lease.confirmed_s - subscriber.replied_s,
            regained_s - subscriber.replied_s if is_announced else None,
            version,
            local_zone_update(state),
            _progress(self._endpoints.position, self._endpoints.confirmation, subscriber.replied_s),
            _progress(self._entries.position, self._entries.confirmation, subscriber.replied_s),
            omits_endpoints,
            state.config_record if is_sent else None,
            None if omits_endpoints else endpoints,
            None if omits_entries else entries,
        )


def _progress(end: int, confirmation: Confirmation, replied_s: float) -> Progress:
    """Return how far records are known, with the time relative to a subscriber's last reply."""
    return Progress(
        end, confirmation.asked_s - replied_s if math.isfinite(confirmation.asked_s) else None
    )
