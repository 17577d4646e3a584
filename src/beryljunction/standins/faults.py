"""Faults of the stand-ins, switched by settings; the same seed gives the same faults."""

import attrs

__all__ = ["EngineFaults", "HostListFaults"]


@attrs.frozen
class EngineFaults:
    """What a stand-in engine does wrong.

    Attributes:
        refuse_ratio: Share of requests that are answered 503 before they run.
        cut_ratio: Share of streams whose connection breaks after a few tokens.
        silent_ratio: Share of streams whose connection goes silent after a few tokens; the
            answer goes on and can be resumed on a new connection.
        slow_factor: Every time is longer by this factor.
        event_delay_s: Age that a cache event has when it is first shown.
        event_gap_ratio: Share of cache events that are never shown; their numbers are missing.
        load_lag_s: Age of the load that is reported.
        lost_order_answer_ratio: Share of orders that take effect and whose answer is lost.
        checks_fencing: Whether an order with an old fencing number is refused.
    """

    seed: int = 0
    refuse_ratio: float = 0.0
    cut_ratio: float = 0.0
    silent_ratio: float = 0.0
    slow_factor: float = 1.0
    event_delay_s: float = 0.05
    event_gap_ratio: float = 0.0
    load_lag_s: float = 0.2
    lost_order_answer_ratio: float = 0.0
    checks_fencing: bool = True


@attrs.frozen
class HostListFaults:
    """What the stand-in host list does wrong.

    Attributes:
        lag_s: Time until a change is shown.
        outage: Whether every read is answered 503.
    """

    lag_s: float = 0.0
    outage: bool = False
