"""Where streams began, so that they go on only at an endpoint of the same software version."""

import attrs

__all__ = ["StreamOrigin"]


@attrs.frozen
class StreamOrigin:
    """The endpoint that sent the first event of a stream.

    Attributes:
        service: The endpoint's service.
        incarnation_id: Id and start time of the endpoint.
        version: Its software version; None if that is not known for certain.
        attempt: Number of the attempt at an endpoint, counted from 1; only the last one that an
            entry made before the first event can have begun the stream.
    """

    service: str
    incarnation_id: tuple[str, int]
    version: str | None
    attempt: int = 1
