"""Encoding of the messages in which entries pass on what they have read from the store."""

import json
import math
from typing import Any

import attrs

from beryljunction.gateway.message_fields import (
    decode_message,
    read_bytes,
    read_key,
    read_number,
    read_position,
    read_text,
    read_whole,
)
from beryljunction.platform import InvalidRecord, Record
from beryljunction.platform.fields import FieldError, describe

__all__ = ["Progress", "Reply", "TopicUpdate", "Update", "ZoneUpdate"]

# Limit of the records in one message; no fleet has more endpoints or entries.
_MAX_RECORDS = 4_096
_MAX_ZONES = 256
# Limit of the time between two events of one exchange; messages normally follow within seconds.
_MAX_SPAN_S = 86_400.0
# No host runs for longer than this.
_MAX_CLOCK_S = 1e10


@attrs.frozen
class Reply:
    """Reply of the receiving entry: which versions and positions it has, and when it replied.

    Attributes:
        incarnation: Differs for each process start of the receiver.
        clock_s: The receiver's clock when it replied.
        version: Version of its settings.
        endpoints: Position that it has in the endpoint records; -1 for none.
        entries: Position that it has in the addresses of entries; -1 for none.
    """

    incarnation: str
    clock_s: float
    version: int
    endpoints: int
    entries: int

    def encode(self) -> bytes:
        """Return it as JSON."""
        return json.dumps(attrs.astuple(self), separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data: bytes) -> "Reply | InvalidRecord":
        """Decode it from JSON; any data that is no message of this kind is an invalid record."""
        return decode_message(cls._parse, data, "the answer to an update")

    @classmethod
    def _parse(cls, values: Any) -> "Reply":
        incarnation, clock_s, version, endpoints, entries = values
        return cls(
            read_text(incarnation),
            _clock(clock_s),
            read_whole(version, -1),
            read_position(endpoints),
            read_position(entries),
        )


@attrs.frozen
class TopicUpdate:
    """Records of a topic of the store.

    Attributes:
        first: Position from which the records are complete; None if they are the newest record of
            each key.
        end: Position after the last record, where the next read starts.
    """

    records: tuple[Record, ...]
    first: int | None
    end: int

    @property
    def size_bytes(self) -> int:
        """Size of all keys and values."""
        return sum(len(row.key) + len(row.value or b"") for row in self.records)


@attrs.frozen
class ZoneUpdate:
    """The availability zones under evacuation.

    Attributes:
        position: Position in the operator's records up to which the zones are complete.
    """

    position: int
    zones: tuple[str, ...]

    def encode(self) -> list[Any]:
        """Return it as a part of a JSON message."""
        return [self.position, *self.zones]

    @classmethod
    def parse(cls, values: Any) -> "ZoneUpdate":
        """Read it from a part of a JSON message.

        Raises:
            FieldError: The part is malformed.
        """
        if not isinstance(values, list) or not 0 < len(values) <= _MAX_ZONES:
            raise FieldError(f"expected a list of zones, got {describe(values)}")
        return cls(read_position(values[0]), tuple(read_text(zone) for zone in values[1:]))


@attrs.frozen
class Progress:
    """Position up to which an entry has the records of a topic.

    Attributes:
        end: The position; -1 for none.
        confirmed_s: When the store was asked whether there are more; None for never.
    """

    end: int = -1
    confirmed_s: float | None = None

    def encode(self) -> list[Any]:
        """Return it as a part of a JSON message."""
        return [self.end, None if self.confirmed_s is None else _round_down(self.confirmed_s)]

    @classmethod
    def parse(cls, values: Any) -> "Progress":
        """Read it from a part of a JSON message.

        Raises:
            ValueError: The part is malformed.
            TypeError: It is no list.
        """
        end, confirmed_s = values
        return cls(read_position(end), None if confirmed_s is None else _span(confirmed_s))


@attrs.frozen
class Update:
    """Update that an entry sends to a downstream entry.

    Times are relative to when the sender received the receiver's last reply, measured on the
    sender's clock. So a message that was delayed, or whose receiver was paused, does not make
    anything look newer than it is.

    Attributes:
        host: Name of the sender's host.
        incarnation: Process start of the receiver, from its last reply; empty before the first.
        clock_s: Clock of the receiver, from its last reply.
        confirmed_s: When the store was asked whether the sender's settings are the newest.
        regained_s: When the store became reachable again; None if that was not recent.
        version: Newest version of the settings that the sender has or has just learned of.
        evacuations: Availability zones under evacuation.
        endpoints_progress: How far the sender has the endpoint records.
        entries_progress: How far the sender has the addresses of entries.
        omits_endpoints: Whether endpoint records were omitted because they are too large; the
            receiver reads them from the store.
        config: The settings as the operator wrote them; None if they are omitted.
        endpoints: Endpoint records that the receiver lacks; None if there are none or they are
            omitted.
        entries: Addresses of entries that the receiver lacks; None if there are none or they are
            omitted.
    """

    host: str
    incarnation: str
    clock_s: float
    confirmed_s: float
    regained_s: float | None
    version: int
    evacuations: ZoneUpdate = ZoneUpdate(-1, ())
    endpoints_progress: Progress = Progress()
    entries_progress: Progress = Progress()
    omits_endpoints: bool = False
    config: bytes | None = None
    endpoints: TopicUpdate | None = None
    entries: TopicUpdate | None = None

    def encode(self) -> bytes:
        """Return it as JSON; records are arbitrary bytes, so each is written as Latin-1 text."""
        times = [self.clock_s, _round_down(self.confirmed_s), self.regained_s]
        config = None if self.config is None else self.config.decode("latin-1")
        topics = [_encode_topic(self.endpoints), _encode_topic(self.entries)]
        progress = [self.endpoints_progress.encode(), self.entries_progress.encode()]
        known = [self.version, self.evacuations.encode(), *progress, self.omits_endpoints]
        values = [self.host, self.incarnation, *times, *known, config, *topics]
        return json.dumps(values, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data: bytes) -> "Update | InvalidRecord":
        """Decode it from JSON; any data that is no message of this kind is an invalid record."""
        return decode_message(cls._parse, data, "an update of an entry")

    @classmethod
    def _parse(cls, values: Any) -> "Update":
        host, incarnation, *rest, config, endpoints, entries = values
        clock_s, confirmed_s, regained_s, version, zones, *progress, omits_endpoints = rest
        endpoints_progress, entries_progress = map(Progress.parse, progress)
        return cls(
            host=read_text(host),
            incarnation=read_text(incarnation),
            clock_s=_clock(clock_s),
            confirmed_s=_span(confirmed_s),
            regained_s=None if regained_s is None else _span(regained_s),
            version=read_whole(version, -1),
            evacuations=ZoneUpdate.parse(zones),
            endpoints_progress=endpoints_progress,
            entries_progress=entries_progress,
            omits_endpoints=bool(omits_endpoints),
            config=None if config is None else read_bytes(config),
            endpoints=_decode_topic(endpoints),
            entries=_decode_topic(entries),
        )


def _encode_topic(topic: TopicUpdate | None) -> list[Any] | None:
    if topic is None:
        return None
    rows = [
        [row.key, None if row.value is None else row.value.decode("latin-1")]
        for row in topic.records
    ]
    return [topic.first, topic.end, rows]


def _decode_topic(values: Any) -> TopicUpdate | None:
    if values is None:
        return None
    first, end, rows = values
    if not isinstance(rows, list) or len(rows) > _MAX_RECORDS:
        raise FieldError(f"expected a list of {_MAX_RECORDS} records at most, got {describe(rows)}")
    records = tuple(
        Record(read_key(key), None if value is None else read_bytes(value)) for key, value in rows
    )
    first_position = None if first is None else read_position(first)
    return TopicUpdate(records, first_position, read_position(end))


def _clock(value: Any) -> float:
    return read_number(value, -_MAX_CLOCK_S, _MAX_CLOCK_S)


def _round_down(span_s: float) -> float:
    """Return a time in whole milliseconds, rounded down so that it never gets newer."""
    return math.floor(span_s * 1000) / 1000


def _span(value: Any) -> float:
    return read_number(value, -_MAX_SPAN_S, _MAX_SPAN_S)
