"""What operators ask any process of the fleet: paths, answers, and the key that they show."""

import hashlib
import hmac

import attrs

__all__ = ["EVENTS_PATH", "STATUS_PATH", "NodeStatus", "shows_key"]

STATUS_PATH = "/beryl/v1/status"
EVENTS_PATH = "/beryl/v1/events"
_BEARER = b"Bearer "


@attrs.frozen
class NodeStatus:
    """What a process says of itself to an operator.

    Attributes:
        settings_version: Version of the settings in force here.
        settings_age_s: Age of the last confirmation that they are the newest; None where the
            process does not keep it.
        endpoints_age_s: Age of the last confirmation that the records of endpoints are complete;
            None where the process does not keep it.
        hosts_version: Version of the host list here.
        not_ready: Why the process takes no work; empty when it does.
        in_flight: Requests that are not over here.
        running: Requests that run at the endpoint.
        waiting: Requests that wait for the endpoint.
        reads_from: Hosts that tell an entry what the store has told them; "store" where it reads
            for itself.
        evacuated: Availability zones that get no new requests, with the time since this process
            learned of it, as in "north (12 s)".
        cold_endpoints: Endpoints that are, or may be, warming up.
        orders: What the sidecar does about the models of its engine, and why.
    """

    role: str
    host: str
    availability_zone: str
    settings_version: int = 0
    settings_age_s: float | None = None
    endpoints_age_s: float | None = None
    hosts_version: int = 0
    not_ready: str = ""
    endpoint_id: str = ""
    service: str = ""
    incarnation: str = ""
    endpoints: int = 0
    in_flight: int = 0
    running: int = 0
    waiting: int = 0
    orders: str = ""
    reads_from: str = ""
    evacuated: str = ""
    cold_endpoints: int = 0


def shows_key(authorization: bytes, digests: tuple[str, ...]) -> bool:
    """Return whether a header shows an operator's key.

    Args:
        authorization: Value of the request's authorization header.
        digests: SHA-256 of each key that is taken.
    """
    digest = hashlib.sha256(authorization.removeprefix(_BEARER)).hexdigest()
    # All are compared, so that the time does not tell which one came near.
    matches = [hmac.compare_digest(digest, known) for known in digests]
    return any(matches) and authorization.startswith(_BEARER)
