"""Form of the message in which entries tell each other of requests that end endpoints."""

import json
import math
from typing import Any

import attrs

from beryljunction.gateway.fields import read_rows, read_start, read_text
from beryljunction.routing import Crash

__all__ = ["CrashReport"]


@attrs.frozen
class CrashReport:
    """What an entry tells another one.

    Attributes:
        crashes: Endpoints that ended, each with a request that it had.
        served: Digests of requests that were served after all.
        quarantined: Digests of requests that may not be sent, with the seconds that are left.
    """

    crashes: tuple[Crash, ...] = ()
    served: tuple[str, ...] = ()
    quarantined: tuple[tuple[str, float], ...] = ()

    def encode(self) -> bytes:
        """Return it as JSON."""
        values = {
            "crashes": [[row.digest, *row.start] for row in self.crashes],
            "served": self.served,
            "quarantined": [[digest, round(left_s, 1)] for digest, left_s in self.quarantined],
        }
        return json.dumps(values, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data: bytes) -> "CrashReport":
        """Read it from JSON.

        Raises:
            ValueError: It is no message of this kind, or holds more than an entry tells at a time.
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


def _crash(digest: Any, endpoint_id: Any, born_ms: Any) -> Crash:
    return Crash(read_text(digest), read_start(endpoint_id, born_ms))


def _quarantined(digest: Any, left_s: Any) -> tuple[str, float]:
    is_number = isinstance(left_s, int | float) and not isinstance(left_s, bool)
    if not is_number or not math.isfinite(left_s) or left_s < 0:
        raise ValueError(f"expected the seconds of a quarantine, got {left_s!r}")
    return read_text(digest), float(left_s)
