"""An entry's view of the store, and its encoding for another entry that asks for it."""

import json
from typing import Any

import attrs

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.endpoint_watcher import EndpointWatcher
from beryljunction.gateway.message_fields import (
    decode_message,
    read_bytes,
    read_key,
    read_number,
    read_position,
    read_whole,
)
from beryljunction.gateway.state import EntryState
from beryljunction.gateway.updates import ZoneUpdate
from beryljunction.platform import InvalidRecord, Record

__all__ = ["StoreView", "local_store_view", "local_zone_update"]

# No process runs for longer than this.
_MAX_AGE_S = 1e10


@attrs.frozen
class StoreView:
    """An entry's view of the store, sent as the answer to another entry.

    Attributes:
        version: Version of the settings.
        age_s: Seconds since the store confirmed the settings as the newest, when answering.
        endpoints_age_s: Seconds since it confirmed the endpoint records as complete.
        evacuations: Availability zones under evacuation.
        config: The settings as the operator wrote them; None if the asking entry has them.
        offset: Position up to which the endpoint records have been applied.
        endpoints: The record of each endpoint; None if the asking entry has them.
    """

    version: int
    age_s: float
    endpoints_age_s: float
    evacuations: ZoneUpdate
    config: bytes | None
    offset: int
    endpoints: tuple[Record, ...] | None

    def encode(self) -> bytes:
        """Return it as JSON; records are arbitrary bytes, so each is written as Latin-1 text."""
        endpoints = None
        if self.endpoints is not None:
            endpoints = {row.key: (row.value or b"").decode("latin-1") for row in self.endpoints}
        values = {
            "version": self.version,
            "age_s": round(self.age_s, 3),
            "endpoints_age_s": round(self.endpoints_age_s, 3),
            "evacuations": self.evacuations.encode(),
            "config": None if self.config is None else self.config.decode("latin-1"),
            "offset": self.offset,
            "endpoints": endpoints,
        }
        return json.dumps(values).encode()

    @classmethod
    def decode(cls, data: bytes) -> "StoreView | InvalidRecord":
        """Decode it from JSON; any data that is no message of this kind is an invalid record."""
        return decode_message(cls._parse, data, "the answer of /v1/known")

    @classmethod
    def _parse(cls, values: Any) -> "StoreView":
        config, endpoints = values["config"], values["endpoints"]
        rows = None
        if endpoints is not None:
            rows = tuple(Record(read_key(key), read_bytes(row)) for key, row in endpoints.items())
        return cls(
            version=read_whole(values["version"], -1),
            age_s=_age(values["age_s"]),
            endpoints_age_s=_age(values["endpoints_age_s"]),
            evacuations=ZoneUpdate.parse(values["evacuations"]),
            config=None if config is None else read_bytes(config),
            offset=read_position(values["offset"]),
            endpoints=rows,
        )


def _age(value: Any) -> float:
    # The sender rounded to milliseconds; add one so that rounding never makes the age smaller.
    return read_number(value, 0.0, _MAX_AGE_S) + 0.001


def local_zone_update(state: EntryState) -> ZoneUpdate:
    """Return the availability zones that this entry treats as evacuated."""
    return ZoneUpdate(state.evacuations.position, tuple(state.evacuations.zones))


def local_store_view(
    state: EntryState, endpoints: EndpointWatcher, version: int, offset: int
) -> StoreView | None:
    """Return what this entry has and the asking one lacks; None before the first read.

    Args:
        state: State of this entry.
        endpoints: Watcher that holds the endpoint records.
        version: Version of the settings that the asking entry has.
        offset: Position in the endpoint records that the asking entry has.
    """
    config = state.config
    now_s = boot_time_s()
    age_s, endpoints_age_s = state.lease.age_s(now_s), endpoints.confirmation.age_s(now_s)
    if config is None or endpoints.offset is None or max(age_s, endpoints_age_s) == float("inf"):
        return None
    return StoreView(
        config.version,
        age_s,
        endpoints_age_s,
        local_zone_update(state),
        state.config_record if config.version > version else None,
        endpoints.offset,
        endpoints.records() if endpoints.offset > offset else None,
    )
