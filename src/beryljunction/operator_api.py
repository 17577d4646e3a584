"""Operator API of every process: paths, status and check of the operator key."""

import hashlib
import hmac

import attrs

__all__ = ["EVENTS_PATH", "STATUS_PATH", "ProcessStatus", "is_operator_authorized"]

STATUS_PATH = "/beryl/v1/status"
EVENTS_PATH = "/beryl/v1/events"
_BEARER_PREFIX = b"Bearer "


@attrs.frozen
class ProcessStatus:
    """Status of a process, as reported to operators.

    Attributes:
        settings_version: Version of the settings that the process uses.
        settings_age_s: Time since the settings were last confirmed to be the newest; None if the
            process doesn't track it.
        endpoints_age_s: Time since the endpoint records were last confirmed to be complete; None
            if the process doesn't track it.
        hosts_version: Version of the host list that the process uses.
        not_ready: Why the process accepts no requests; empty when it does.
        in_flight: Requests that the process has not finished.
        running: Requests running at the endpoint.
        waiting: Requests queued for the endpoint.
        reads_from: Hosts from which an entry gets store updates; "store" if it reads the store
            itself.
        evacuated: Availability zones that get no new requests, with the time since this process
            learned of it, as in "north (12 s)".
        cold_endpoints: Endpoints that are, or may be, warming up.
        choices_without_report: Share of an entry's recent choices of an endpoint that had no load
            report to go by, for each service with any, as in "engine 25%".
        refused_records: Records of the store that an entry can't use, each counted once; they come
            from other writers.
        orders: What the sidecar is doing about the models of its engine, and why.
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
    choices_without_report: str = ""
    refused_records: int = 0


def is_operator_authorized(authorization: bytes, digests: tuple[str, ...]) -> bool:
    """Return whether an authorization header contains a valid operator key.

    Args:
        authorization: Value of the request's authorization header.
        digests: SHA-256 of each valid key.
    """
    digest = hashlib.sha256(authorization.removeprefix(_BEARER_PREFIX)).hexdigest()
    # All digests are compared, so that the response time doesn't reveal a partial match.
    matches = [hmac.compare_digest(digest, known) for known in digests]
    return any(matches) and authorization.startswith(_BEARER_PREFIX)
