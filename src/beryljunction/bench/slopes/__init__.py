"""What one more endpoint, account, chat, stream or request costs, on one machine."""

from beryljunction.bench.slopes.fit import Point, Slope, fit
from beryljunction.bench.slopes.measure import measure_slopes, print_slopes
from beryljunction.bench.slopes.sizes import SIZES, Estimate, FleetSize, estimate, markdown
from beryljunction.bench.slopes.spending import Window
from beryljunction.bench.slopes.state import STATES, StateSubject, measure_state

__all__ = [
    "SIZES",
    "STATES",
    "Estimate",
    "FleetSize",
    "Point",
    "Slope",
    "StateSubject",
    "Window",
    "estimate",
    "fit",
    "markdown",
    "measure_slopes",
    "measure_state",
    "print_slopes",
]
