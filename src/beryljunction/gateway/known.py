"""What an entry knows from the store, and the form in which it tells it to another entry."""

import json
from typing import Any

import attrs

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.membership import EndpointWatcher
from beryljunction.gateway.state import EntryState
from beryljunction.gateway.updates import ZoneUpdate
from beryljunction.platform import Record

__all__ = ["Known", "known_here", "zones_here"]


@attrs.frozen
class Known:
    """What an entry has from the store.

    Attributes:
        version: Version of its settings.
        age_s: Age of its confirmation that they are the newest, when it answered.
        endpoints_age_s: The same of the endpoints' records.
        evacuations: Availability zones under evacuation.
        config: The settings as the operator wrote them; None where the asking entry has them.
        offset: Position in the endpoints' records up to which they are taken in.
        endpoints: The record of each endpoint; None where the asking entry has them.
    """

    version: int
    age_s: float
    endpoints_age_s: float
    evacuations: ZoneUpdate
    config: bytes | None
    offset: int
    endpoints: tuple[Record, ...] | None

    def encode(self) -> bytes:
        """Return it as JSON; records are bytes of the platform's, so each byte is a character."""
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
    def decode(cls, data: bytes) -> "Known":
        """Read it from JSON.

        Raises:
            ValueError: It is no message of this kind.
        """
        try:
            values = json.loads(data)
            config, endpoints = values["config"], values["endpoints"]
            rows = None
            if endpoints is not None:
                rows = tuple(Record(key, row.encode("latin-1")) for key, row in endpoints.items())
            return cls(
                version=int(values["version"]),
                age_s=_age(values["age_s"]),
                endpoints_age_s=_age(values["endpoints_age_s"]),
                evacuations=ZoneUpdate.decode(values["evacuations"]),
                config=None if config is None else config.encode("latin-1"),
                offset=int(values["offset"]),
                endpoints=rows,
            )
        except (KeyError, TypeError, AttributeError, UnicodeError) as error:
            raise ValueError(f"expected what a peer knows, got {error!r}") from error


def _age(value: Any) -> float:
    age_s = float(value)
    if not 0.0 <= age_s < float("inf"):
        raise ValueError(f"expected an age of 0 s or more, got {value!r}")
    # It was rounded to milliseconds; what was cut off must not make it younger.
    return age_s + 0.001


def zones_here(state: EntryState) -> ZoneUpdate:
    """Return the availability zones under evacuation, as this entry knows them."""
    return ZoneUpdate(state.evacuations.position, tuple(state.evacuations.zones))


def known_here(
    state: EntryState, endpoints: EndpointWatcher, version: int, offset: int
) -> Known | None:
    """Return what this entry knows beyond what the asking one has; None before the first read.

    Args:
        state: Settings and their age.
        endpoints: Holder of the endpoints' records.
        version: Version of the settings that the asking entry has.
        offset: Position in the endpoints' records that it has.
    """
    config = state.config
    now_s = boot_time_s()
    age_s, endpoints_age_s = state.lease.age_s(now_s), endpoints.known.age_s(now_s)
    if config is None or endpoints.offset is None or max(age_s, endpoints_age_s) == float("inf"):
        return None
    return Known(
        config.version,
        age_s,
        endpoints_age_s,
        zones_here(state),
        state.config_record if config.version > version else None,
        endpoints.offset,
        endpoints.records() if endpoints.offset > offset else None,
    )
