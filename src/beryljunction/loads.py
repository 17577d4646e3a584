"""Load of an endpoint as processes tell each other of it."""

import attrs

__all__ = ["LoadRow"]


@attrs.frozen
class LoadRow:
    """Load of one endpoint as its own sidecar reports it.

    Attributes:
        incarnation: Changes whenever the sidecar starts anew.
        sequence: Grows with each report of one incarnation; an older row never replaces a newer.
        work_tokens: Estimated tokens of the running requests.
        speed_tokens_per_s: Tokens a second that one running request gets; 0 when not yet measured.
    """

    endpoint_id: str
    incarnation: str
    sequence: int
    running: int
    waiting: int
    work_tokens: int
    speed_tokens_per_s: float = 0.0
