"""Load reports of endpoints, as exchanged between processes."""

import attrs

__all__ = ["LoadRow"]


@attrs.frozen
class LoadRow:
    """Load of one endpoint, reported by its sidecar.

    Attributes:
        incarnation: Changes whenever the sidecar restarts.
        sequence: Increases with each report of an incarnation; older rows never replace newer ones.
        work_tokens: Estimated tokens of the running requests.
        speed_tokens_per_s: Tokens per second for each running request; 0 when not yet measured.
    """

    endpoint_id: str
    incarnation: str
    sequence: int
    running: int
    waiting: int
    work_tokens: int
    speed_tokens_per_s: float = 0.0
