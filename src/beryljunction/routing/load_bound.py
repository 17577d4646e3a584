"""Load from which an engine is skipped: lower for prompts that are cheap to place elsewhere.

When an engine is overloaded, some of its sessions have to go to another one for a while. Each of
them takes its cached prefix along, or has it recomputed, so the engine sheds short prefixes before
long ones.
"""

from collections.abc import Collection, Sequence

import attrs

from beryljunction.routing.known_endpoint import KnownEndpoint

__all__ = ["LoadBound", "PrefixSizes", "fleet_bound", "mean_load"]

# An endpoint above a multiple of the mean load, plus an allowance for small numbers, is skipped.
# All are below the fleet's bound of 2 x mean + 3 and leave room for requests that other entries
# have sent since the last report. For a prompt without a prefix, of mean size, and the largest:
_RATIOS = (1.45, 1.6, 1.8)
_ALLOWANCES = (2.25, 3.0, 3.0)
# Factors on the margin for requests that no load report shows yet, for the same three.
_MARGIN_FACTORS = (1.5, 1.0, 0.5)
# Prefixes of this multiple of the mean and above are treated alike.
_MAX_RELATIVE_SIZE = 2.0
# Weight of a new prompt in the mean; about the last fifty count.
_SIZE_WEIGHT = 0.02


@attrs.frozen
class LoadBound:
    """Bound on the load of an engine, for one prompt.

    Attributes:
        load: Load from which an engine is skipped.
        margin_factor: Factor on the margin for requests that no load report shows yet.
        is_cheap_to_move: Whether the prompt's prefix is of mean size at most.
    """

    load: float
    margin_factor: float
    is_cheap_to_move: bool


class PrefixSizes:
    """Mean size of the prefixes of each service, which sets the scale of one prompt's size."""

    def __init__(self) -> None:
        self._mean_tokens: dict[str, float] = {}

    def note(self, service: str, tokens: int) -> None:
        """Add the prefix of a prompt."""
        mean = self._mean_tokens.get(service, float(tokens))
        self._mean_tokens[service] = mean + _SIZE_WEIGHT * (tokens - mean)

    def relative(self, service: str, tokens: int) -> float:
        """Return the size of a prefix relative to the mean, at most 2; 1 if no mean is known."""
        mean = self._mean_tokens.get(service, 0.0)
        return min(_MAX_RELATIVE_SIZE, tokens / mean) if mean > 0.0 else 1.0


def mean_load(loads: Collection[float], excluded: Sequence[KnownEndpoint], now_s: float) -> float:
    """Return the mean load of a service, with endpoints that must not get the request."""
    total = sum(loads) + sum(row.load(now_s) for row in excluded)
    return total / (len(loads) + len(excluded))


def fleet_bound(
    loads: Collection[float],
    excluded: Sequence[KnownEndpoint],
    now_s: float,
    relative_size: float = 1.0,
) -> LoadBound:
    """Return the load from which an endpoint is skipped for a prompt.

    Args:
        loads: Load of each endpoint that may get the request.
        excluded: Endpoints that must not get it; they count in the mean of the fleet's bound.
        now_s: Time on the clock of the loads.
        relative_size: Size of the prompt's prefix relative to the mean, from 0 to 2.
    """
    mean = mean_load(loads, excluded, now_s)
    ratio, allowance, factor = (
        _interpolate(values, relative_size) for values in (_RATIOS, _ALLOWANCES, _MARGIN_FACTORS)
    )
    return LoadBound(ratio * mean + allowance, factor, relative_size <= 1.0)


def _interpolate(values: tuple[float, float, float], relative_size: float) -> float:
    low, middle, high = values
    if relative_size < 1.0:
        return low + (middle - low) * relative_size
    return middle + (high - middle) * (relative_size - 1.0) / (_MAX_RELATIVE_SIZE - 1.0)
