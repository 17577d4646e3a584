"""Encoding of the message in which entries report requests that crash endpoints."""

import json
import math
from typing import Any

import attrs

from beryljunction.gateway.message_fields import read_rows, read_start, read_text
from beryljunction.routing import Crash

__all__ = ["CrashReport"]


@attrs.frozen
class CrashReport:
    """Crashes and quarantines, as one entry sends them to another.

    Attributes:
        crashes: Crashed endpoints, each with a request that it was running.
        served: Digests of suspected requests that were served successfully later.
        quarantined: Digests of quarantined requests, each with the seconds that are left.
    """

    crashes: tuple[Crash, ...] = ()
    served: tuple[str, ...] = ()
    quarantined: tuple[tuple[str, float], ...] = ()

    def encode(self) -> bytes:
        """Return it as JSON."""
        values = {
            "crashes": [[row.digest, *row.incarnation_id] for row in self.crashes],
            "served": self.served,
            "quarantined": [[digest, round(left_s, 1)] for digest, left_s in self.quarantined],
        }
        return json.dumps(values, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data: bytes) -> "CrashReport":
        """Decode it from JSON.

        Raises:
            ValueError: The data is not a message of this kind, or it exceeds a size limit.
        """
        try:
            values = json.loads(data)
            return cls(
                tuple(_crash(*row) for row in read_rows(values["crashes"], "crashes")),
                tuple(read_text(digest) for digest in read_rows(values["served"], "digests")),
                tuple(_quarantined(*row) for row in read_rows(values["quarantined"], "digests")),
            )
        except (KeyError, TypeError) as error:
            raise ValueError(f"expected a report of crashes, got {error!r}") from error


def _crash(digest: Any, endpoint_id: Any, started_ms: Any) -> Crash:
    return Crash(read_text(digest), read_start(endpoint_id, started_ms))


def _quarantined(digest: Any, left_s: Any) -> tuple[str, float]:
    is_number = isinstance(left_s, int | float) and not isinstance(left_s, bool)
    if not is_number or not math.isfinite(left_s) or left_s < 0:
        raise ValueError(f"expected 0 or more seconds of quarantine, got {left_s!r}")
    return read_text(digest), float(left_s)
