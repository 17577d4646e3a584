"""Form of the message in which entries tell each other of requests that end endpoints."""

import json
import math
from typing import Any

import attrs

from beryljunction.routing import Crash

__all__ = ["CrashReport"]

# Limits of a message that is taken in: more can't come from an entry of this fleet.
_MOST_ROWS = 256
_MOST_CHARS = 128


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
                tuple(_crash(*row) for row in _rows(values["crashes"])),
                tuple(_text(digest) for digest in _rows(values["served"])),
                tuple(_quarantined(*row) for row in _rows(values["quarantined"])),
            )
        except (KeyError, TypeError) as error:
            raise ValueError(f"expected a report of crashes, got {error!r}") from error


def _rows(rows: Any) -> list[Any]:
    if not isinstance(rows, list) or len(rows) > _MOST_ROWS:
        raise ValueError(f"expected a list of {_MOST_ROWS} rows at most")
    return rows


def _text(text: Any) -> str:
    if not isinstance(text, str) or len(text) > _MOST_CHARS:
        raise ValueError(f"expected a text of {_MOST_CHARS} characters at most")
    return text


def _crash(digest: Any, endpoint_id: Any, born_ms: Any) -> Crash:
    if not isinstance(born_ms, int):
        raise ValueError(f"expected an endpoint's birth in ms, got {born_ms!r}")
    return Crash(_text(digest), (_text(endpoint_id), born_ms))


def _quarantined(digest: Any, left_s: Any) -> tuple[str, float]:
    is_number = isinstance(left_s, int | float) and not isinstance(left_s, bool)
    if not is_number or not math.isfinite(left_s) or left_s < 0:
        raise ValueError(f"expected the seconds of a quarantine, got {left_s!r}")
    return _text(digest), float(left_s)
