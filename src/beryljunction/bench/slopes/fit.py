"""Straight lines through measured points."""

import statistics

import attrs

__all__ = ["Point", "Slope", "fit"]

_LEAST_POINTS = 4


@attrs.frozen
class Point:
    """One measurement: ``value`` at a size of ``count``."""

    count: float
    value: float


@attrs.frozen
class Slope:
    """A fitted line.

    Attributes:
        subject: What was made larger, for example "chat pointers".
        role: The process whose cost it is: "entry", "sidecar" or "both".
        unit: Unit of the value, for example "bytes" or "cpu_us_per_s".
        per_unit: Growth of the value for each one more of the subject.
        fixed: Value at a count of zero.
        residual_ratio: Largest distance of a point from the line over the largest value.
    """

    subject: str
    role: str
    unit: str
    per_unit: float
    fixed: float
    residual_ratio: float
    points: tuple[Point, ...]

    def at(self, count: float) -> float:
        """Return the fitted value at a size."""
        return self.fixed + self.per_unit * count


def fit(subject: str, role: str, unit: str, points: list[Point]) -> Slope:
    """Fit a least-squares line.

    Raises:
        ValueError: With fewer than four points, which would fit any line too well.
    """
    if len(points) < _LEAST_POINTS:
        raise ValueError(f"expected at least {_LEAST_POINTS} points, got {len(points)}")
    line = statistics.linear_regression([p.count for p in points], [p.value for p in points])
    largest = max(abs(p.value) for p in points) or 1.0
    off = max(abs(p.value - line.intercept - line.slope * p.count) for p in points)
    return Slope(subject, role, unit, line.slope, line.intercept, off / largest, tuple(points))
