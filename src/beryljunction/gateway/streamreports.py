"""Encoding of the messages in which entries report and ask where streams began."""

import json
from typing import Any

import attrs

from beryljunction.gateway.message_fields import (
    decode_message,
    read_key,
    read_rows,
    read_start,
    read_text,
    read_whole,
)
from beryljunction.platform import InvalidRecord
from beryljunction.routing import StreamOrigin

__all__ = ["BegunStream", "StreamQuery", "StreamReport"]

_MAX_ATTEMPT = 1_000


@attrs.frozen
class BegunStream:
    """A stream and where it began."""

    key: str
    origin: StreamOrigin


@attrs.frozen
class StreamQuery:
    """Question of an entry at which a caller resumes a stream.

    Attributes:
        key: Key of the stream.
        services: Services at which it may have begun.
    """

    key: str
    services: tuple[str, ...]


@attrs.frozen
class StreamReport:
    """Streams of one entry, as it sends them to another or answers its question.

    Attributes:
        begun: Where streams began.
        query: Question to the receiver; None for none.
    """

    begun: tuple[BegunStream, ...] = ()
    query: StreamQuery | None = None

    def encode(self) -> bytes:
        """Return it as JSON."""
        values: dict[str, Any] = {
            "begun": [_encode_begun(row) for row in self.begun],
            "only": [],
        }
        if self.query is not None:
            values["query"] = [self.query.key, *self.query.services]
        return json.dumps(values, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data: bytes) -> "StreamReport | InvalidRecord":
        """Decode it from JSON; any data that is no message of this kind is an invalid record."""
        return decode_message(cls._parse, data, "a report of streams")

    @classmethod
    def _parse(cls, values: Any) -> "StreamReport":
        # Entries of earlier releases answer with the versions that they take for the only ones, and
        # expect the field.
        for row in read_rows(values["only"], "services"):
            _check_only(*row)
        query = [read_key(text) for text in read_rows(values.get("query", []), "services")]
        return cls(
            tuple(_decode_begun(*row) for row in read_rows(values["begun"], "streams")),
            StreamQuery(query[0], tuple(query[1:])) if query else None,
        )


def _encode_begun(row: BegunStream) -> list[Any]:
    origin = row.origin
    return [row.key, origin.service, *origin.incarnation_id, origin.version, origin.attempt]


def _decode_begun(
    key: Any, service: Any, endpoint_id: Any, started_ms: Any, version: Any, attempt: Any
) -> BegunStream:
    origin = StreamOrigin(
        read_key(service),
        read_start(endpoint_id, started_ms),
        None if version is None else read_key(version),
        read_whole(attempt, 1, _MAX_ATTEMPT),
    )
    return BegunStream(read_text(key), origin)


def _check_only(service: Any, version: Any) -> None:
    read_key(service)
    read_key(version)
