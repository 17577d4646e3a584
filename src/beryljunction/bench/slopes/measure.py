"""All slopes in one run."""

import json
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
import attrs

from beryljunction.bench.slopes.carried import (
    frames_a_second,
    idempotent_requests,
    streams_open,
    ticketed_requests,
)
from beryljunction.bench.slopes.fit import Slope
from beryljunction.bench.slopes.known import (
    accounts_known,
    changes_a_second,
    endpoints_known,
    sidecars_of_a_service,
)
from beryljunction.bench.slopes.spending import Window, at_each
from beryljunction.bench.slopes.state import STATES, measure_state
from beryljunction.errors import StartError

__all__ = ["measure_slopes", "print_slopes"]

_Growth = Callable[[Window], Coroutine[Any, Any, list[Slope]]]
# In a first look those of one row run side by side: 34, 26 and 32 processes, of at most 40.
_BATCHES: tuple[dict[str, _Growth], ...] = (
    {
        "endpoints known": endpoints_known,
        "client accounts": accounts_known,
        "sidecars of the service": sidecars_of_a_service,
    },
    {
        "settings changes/s": changes_a_second,
        "idempotent requests/s": idempotent_requests,
        "ticketed requests/s": ticketed_requests,
        "frames/s": frames_a_second,
    },
    {"open streams": streams_open},
)
_FULL = Window()
# Points of a short window carry the noise of a few scheduler ticks: good for memory and bytes.
_QUICK = Window(0.5, 1.0, sidecars=(2, 3, 4, 5), rows=(200, 400, 800, 1_600), side_by_side=True)


def measure_slopes(quick: bool, only: str = "") -> list[Slope]:
    """Measure every slope whose subject holds the text ``only``, one after the other.

    Raises:
        StartError: When no subject holds it.
    """
    window = _QUICK if quick else _FULL
    slopes = [measure_state(state, window.rows) for state in STATES if only in state.subject]
    for batch in _BATCHES:
        growths = [growth for subject, growth in batch.items() if only in subject]
        slopes += anyio.run(_measure, window, growths)
    if not slopes:
        raise StartError(f"expected a text that a subject holds, got {only!r}")
    return slopes


async def _measure(window: Window, growths: list[_Growth]) -> list[Slope]:
    measured = await at_each(window, growths, lambda growth: growth(window))
    return [slope for slopes in measured for slope in slopes]


def print_slopes(slopes: list[Slope], as_json: bool) -> None:
    """Print a table for a person, or one JSON object."""
    if as_json:
        print(json.dumps({"slopes": [attrs.asdict(slope) for slope in slopes]}))
        return
    for slope in slopes:
        name = f"{slope.subject} ({slope.role}, {slope.unit})"
        print(f"{name:60} {slope.per_unit:12.2f} each  {slope.fixed:14.0f} fixed", end="")
        print(f"  residual {slope.residual_ratio:.3f}")
