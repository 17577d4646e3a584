"""beryl-bench: measures policy, relay and cost."""

import sys
from collections.abc import Callable

import anyio
import defopt

from beryljunction.bench.relay import RelayLoad, measure_relay
from beryljunction.bench.slopes import measure_slopes, print_slopes
from beryljunction.errors import BerylError

__all__ = ["main"]


def relay(
    *, streams: int = 60, frame_ms: float = 20.0, duration_s: float = 8.0, json: bool = False
) -> int:
    """Measure the CPU of a streamed frame against a bare one-hop relay.

    :param streams: Open streams at each relay.
    :param frame_ms: Milliseconds between two frames of a stream.
    :param duration_s: Seconds over which CPU is counted.
    :param json: Print one JSON object instead of a table.
    """
    figures = anyio.run(measure_relay, RelayLoad(streams, frame_ms / 1000, duration_s))
    if json:
        print(figures.to_json())
        return 0
    print(f"entry and sidecar  {figures.relay_cpu_us_per_frame:8.1f} us a frame")
    print(f"bare relay         {figures.bare_cpu_us_per_frame:8.1f} us a frame")
    print(f"ratio              {figures.ratio:8.2f}")
    print(f"resident memory    {figures.entry_rss_mb:.0f} MB entry, ", end="")
    print(f"{figures.sidecar_rss_mb:.0f} MB sidecar")
    return 0


def slopes(*, quick: bool = False, only: str = "", json: bool = False) -> int:
    """Measure how state, control traffic, CPU and memory grow, with real processes on loopback.

    :param quick: Short windows, under a minute; processor times are then rough.
    :param only: Measure only subjects that hold this text, such as "frames" or "accounts".
    :param json: Print one JSON object instead of a table.
    """
    print_slopes(measure_slopes(quick, only), json)
    return 0


# Each measurement is a function here over a module of beryljunction.bench.
_BENCHES: list[Callable[..., int]] = [
    relay,
    slopes,
]


def main() -> None:
    """Run the command line."""
    try:
        sys.exit(defopt.run(_BENCHES))
    except BerylError as error:
        sys.exit(str(error))
