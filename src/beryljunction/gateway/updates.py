"""Form of the messages in which entries pass on what the store has told them."""

import json
import math
from typing import Any

import attrs

from beryljunction.gateway.fields import read_text
from beryljunction.platform import Record

__all__ = ["Progress", "Reply", "TopicUpdate", "Update", "ZoneUpdate"]

# Records of one message: more than a fleet has endpoints or entries is no message of this fleet.
_MOST_RECORDS = 4_096
_MOST_ZONES = 256
# A span between two moments of one exchange; messages follow each other within seconds.
_MOST_SPAN_S = 86_400.0


@attrs.frozen
class Reply:
    """What the entry that was told knows, and when it said so.

    Attributes:
        life: Differs for each start of that entry.
        clock_s: Its clock when it answered.
        version: Version of its settings.
        endpoints: Position in the endpoints' records that it has; -1 for none.
        entries: Position in the entries' addresses that it has; -1 for none.
    """

    life: str
    clock_s: float
    version: int
    endpoints: int
    entries: int

    def encode(self) -> bytes:
        """Return it as JSON."""
        return json.dumps(attrs.astuple(self), separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data: bytes) -> "Reply":
        """Read it from JSON.

        Raises:
            ValueError: It is no message of this kind.
        """
        try:
            life, clock_s, version, endpoints, entries = json.loads(data)
            return cls(
                read_text(life), _number(clock_s), int(version), int(endpoints), int(entries)
            )
        except (TypeError, ValueError) as error:
            raise ValueError(f"expected the answer to an update, got {error!r}") from error


@attrs.frozen
class TopicUpdate:
    """Records of a topic of the store.

    Attributes:
        first: Position from which they are complete; None for the newest record of each key.
        end: Position from which to read on.
    """

    records: tuple[Record, ...]
    first: int | None
    end: int

    @property
    def size_bytes(self) -> int:
        """Bytes of the records."""
        return sum(len(row.key) + len(row.value or b"") for row in self.records)


@attrs.frozen
class ZoneUpdate:
    """The availability zones under evacuation.

    Attributes:
        position: Position in the operator's records up to which they are taken in.
    """

    position: int
    zones: tuple[str, ...]

    def encode(self) -> list[Any]:
        """Return it as a part of a JSON message."""
        return [self.position, *self.zones]

    @classmethod
    def decode(cls, values: Any) -> "ZoneUpdate":
        """Read it from a part of a JSON message.

        Raises:
            ValueError: It is no such part.
        """
        if not isinstance(values, list) or not 0 < len(values) <= _MOST_ZONES:
            raise ValueError(f"expected a list of zones, got {values!r:.80}")
        return cls(int(values[0]), tuple(read_text(zone) for zone in values[1:]))


@attrs.frozen
class Progress:
    """How far an entry has the records of a topic.

    Attributes:
        end: Position up to which it has them; -1 for none.
        confirmed_s: When the store was asked whether that is all; None for never.
    """

    end: int = -1
    confirmed_s: float | None = None

    def encode(self) -> list[Any]:
        """Return it as a part of a JSON message."""
        return [self.end, None if self.confirmed_s is None else _round_down(self.confirmed_s)]

    @classmethod
    def decode(cls, values: Any) -> "Progress":
        """Read it from a part of a JSON message.

        Raises:
            ValueError: It is no such part.
        """
        end, confirmed_s = values
        return cls(int(end), None if confirmed_s is None else _span(confirmed_s))


@attrs.frozen
class Update:
    """What an entry tells one below it.

    Times are spans from the moment at which the one that is told said its clock, on the clock of
    the one that tells. So a message that was long on its way, or met a paused process, does not
    make anything look younger than it is.

    Attributes:
        host: Name of the host of the entry that tells.
        life: Start of the entry that is told, by its last word; empty before the first.
        clock_s: Clock of the entry that is told, by its last word.
        confirmed_s: When the store was asked whether these settings are the newest.
        regained_s: When the store came back; None where it was not away.
        version: Version of the settings.
        evacuations: Availability zones under evacuation.
        endpoints_progress: How far the entry that tells has the endpoints' records.
        entries_progress: How far it has the entries' addresses.
        is_cut_short: Whether records of endpoints are missing here because they are too many: the
            entry that is told reads them from the store.
        config: The settings as the operator wrote them; None where they are not sent along.
        endpoints: Records of endpoints that the other lacks; None for none.
        entries: Addresses of entries that the other lacks; None for none.
    """

    host: str
    life: str
    clock_s: float
    confirmed_s: float
    regained_s: float | None
    version: int
    evacuations: ZoneUpdate = ZoneUpdate(-1, ())
    endpoints_progress: Progress = Progress()
    entries_progress: Progress = Progress()
    is_cut_short: bool = False
    config: bytes | None = None
    endpoints: TopicUpdate | None = None
    entries: TopicUpdate | None = None

    def encode(self) -> bytes:
        """Return it as JSON; records are bytes of the platform's, so each byte is a character."""
        times = [self.clock_s, _round_down(self.confirmed_s), self.regained_s]
        config = None if self.config is None else self.config.decode("latin-1")
        topics = [_encode_topic(self.endpoints), _encode_topic(self.entries)]
        progress = [self.endpoints_progress.encode(), self.entries_progress.encode()]
        known = [self.version, self.evacuations.encode(), *progress, self.is_cut_short]
        values = [self.host, self.life, *times, *known, config, *topics]
        return json.dumps(values, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data: bytes) -> "Update":
        """Read it from JSON.

        Raises:
            ValueError: It is no message of this kind.
        """
        try:
            host, life, *rest, config, endpoints, entries = json.loads(data)
            clock_s, confirmed_s, regained_s, version, zones, *progress, is_cut_short = rest
            endpoints_progress, entries_progress = map(Progress.decode, progress)
            return cls(
                host=read_text(host),
                life=read_text(life),
                clock_s=_number(clock_s),
                confirmed_s=_span(confirmed_s),
                regained_s=None if regained_s is None else _span(regained_s),
                version=int(version),
                evacuations=ZoneUpdate.decode(zones),
                endpoints_progress=endpoints_progress,
                entries_progress=entries_progress,
                is_cut_short=bool(is_cut_short),
                config=None if config is None else config.encode("latin-1"),
                endpoints=_decode_topic(endpoints),
                entries=_decode_topic(entries),
            )
        except (TypeError, ValueError, AttributeError) as error:
            raise ValueError(f"expected an update of an entry, got {error!r}") from error


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
    if not isinstance(rows, list) or len(rows) > _MOST_RECORDS:
        raise ValueError(f"expected {_MOST_RECORDS} records at most")
    records = tuple(
        Record(read_text(key), None if value is None else value.encode("latin-1"))
        for key, value in rows
    )
    return TopicUpdate(records, None if first is None else int(first), int(end))


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError(f"expected a number, got {value!r}")
    return float(value)


def _round_down(span_s: float) -> float:
    """Return it in whole milliseconds; what is cut off must not make it younger."""
    return math.floor(span_s * 1000) / 1000


def _span(value: Any) -> float:
    span_s = _number(value)
    if abs(span_s) > _MOST_SPAN_S:
        raise ValueError(f"expected a span of {_MOST_SPAN_S:.0f} s at most, got {value!r}")
    return span_s
