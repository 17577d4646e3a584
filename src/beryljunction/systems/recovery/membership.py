"""Endpoint membership in one process, from the platform's lagging list and own observations."""

import math

import attrs

from beryljunction.tables import Endpoint, EndpointState, EndpointTable

__all__ = ["ListedEndpoint", "MembershipLimits", "MembershipTracker"]


@attrs.frozen
class ListedEndpoint:
    """One endpoint in the platform's list.

    Attributes:
        leaving: Whether the list says that the endpoint gets no new requests.
    """

    endpoint_id: str
    service: str
    availability_zone: str
    address: str
    incarnation: str = ""
    weight: float = 1.0
    leaving: bool = False
    region: str = ""


@attrs.frozen
class MembershipLimits:
    """Times and limits of membership.

    Attributes:
        suspect_s: Time for which an endpoint is suspect after a failed connection.
        missing_s: Time until an endpoint that is missing from the list is dropped.
        evidence_s: Age up to which an answer keeps an endpoint that is missing from the list.
        flap_half_life_s: Half-life of the failure count.
        flap_limit: Decayed failure count from which an endpoint counts as flapping.
        forget_s: Time for which the failures of a dropped endpoint are kept; after five half-lives
            a thirtieth of the count is left.
    """

    suspect_s: float = 3.0
    missing_s: float = 6.0
    evidence_s: float = 3.0
    flap_half_life_s: float = 20.0
    flap_limit: float = 2.5
    forget_s: float = 100.0


@attrs.define
class _Evidence:
    """Observations of this process about an endpoint."""

    answered_s: float = -math.inf
    missing_since_s: float | None = None
    failures: float = 0.0
    failed_s: float = -math.inf
    down: bool = False
    left_incarnation: str | None = None


class MembershipTracker:
    """Sets the states in the endpoint table from the list and own observations.

    The evidence, strongest first: the sidecar's own message that it leaves, "leaving" in the list,
    a failed connection. A wrong state costs a warm cache or a hop, but never correctness.
    """

    def __init__(self, endpoints: EndpointTable, limits: MembershipLimits | None = None) -> None:
        self.endpoints = endpoints
        self.limits = limits if limits is not None else MembershipLimits()
        self._evidence: dict[str, _Evidence] = {}
        self._dropped_at_s: dict[str, float] = {}
        self._first_list = True

    @property
    def remembered(self) -> int:
        """Number of endpoints with stored observations, including dropped endpoints."""
        return len(self._evidence)

    def apply_list(self, listed: list[ListedEndpoint], now_s: float) -> None:
        """Apply a new version of the platform's list.

        An endpoint that is missing from the list is not dropped at once: the lists of two processes
        may differ for seconds, and each difference moves chats away from their cached prefix. If it
        answered recently it stays live, else it is suspect until it is dropped.
        """
        names = set()
        for row in listed:
            names.add(row.endpoint_id)
            self._apply_listed(row, now_s)
        for known in self.endpoints:
            if known.endpoint_id not in names:
                self._apply_missing(known, now_s)
        self._first_list = False

    def note_answer(self, endpoint_id: str, now_s: float, incarnation: str = "") -> None:
        """Record that an endpoint's sidecar has answered, with any status."""
        row = self.endpoints.get(endpoint_id)
        if row is None:
            return
        evidence = self._evidence_of(endpoint_id)
        evidence.answered_s = now_s
        evidence.down = False
        if incarnation and row.incarnation and incarnation != row.incarnation:
            self._reset_for_incarnation(row, incarnation, now_s)
        if not self._is_flapping(evidence, now_s):
            row.suspect_until_s = 0.0
        self._update_state(row, now_s)

    def note_failure(self, endpoint_id: str, now_s: float) -> None:
        """Record that a connection to an endpoint failed.

        If an endpoint flaps within seconds, its chats move back on each return, find nothing cached
        and are cut off again. So failures are counted with a half-life (flap damping): above the
        limit the endpoint stays suspect until the count has decayed, even if it answers.
        """
        row = self.endpoints.get(endpoint_id)
        if row is None:
            return
        evidence = self._evidence_of(endpoint_id)
        if not evidence.down:
            evidence.failures = self._decayed_failures(evidence, now_s) + 1.0
            evidence.failed_s = now_s
        evidence.down = True
        until_s = now_s + self.limits.suspect_s
        if self._is_flapping(evidence, now_s):
            until_s = max(until_s, now_s + self._time_until_undamped_s(evidence, now_s))
        row.suspect_until_s = max(row.suspect_until_s, until_s)
        self._update_state(row, now_s)

    def note_leaving(self, endpoint_id: str, incarnation: str = "") -> None:
        """Record that the sidecar said it is leaving, which holds until it restarts."""
        row = self.endpoints.get(endpoint_id)
        if row is not None:
            self._evidence_of(endpoint_id).left_incarnation = incarnation or row.incarnation
            row.state = EndpointState.LEAVING

    def note_replaced(self, endpoint_id: str, now_s: float) -> None:
        """Record that the slot's host was replaced; the new incarnation is not known yet."""
        row = self.endpoints.get(endpoint_id)
        if row is not None:
            self._evidence_of(endpoint_id).left_incarnation = None
            row.state = EndpointState.LIVE
            self._reset_for_incarnation(row, "", now_s)

    def tick(self, now_s: float) -> list[str]:
        """Update states, drop endpoints that were missing for too long and return their ids."""
        dropped = []
        for row in self.endpoints:
            evidence = self._evidence_of(row.endpoint_id)
            since_s = evidence.missing_since_s
            gone = since_s is not None and now_s - since_s >= self.limits.missing_s
            if gone and now_s - evidence.answered_s >= self.limits.evidence_s:
                self.endpoints.remove(row.endpoint_id)
                self._dropped_at_s[row.endpoint_id] = now_s
                dropped.append(row.endpoint_id)
                continue
            self._update_state(row, now_s)
        self._remove_old_evidence(now_s)
        return dropped

    def _remove_old_evidence(self, now_s: float) -> None:
        """Remove the observations of endpoints that were dropped long ago.

        With 130 hosts replaced per day, each under a new id, an entry that runs for months would
        keep a row for every endpoint that ever existed. A flapping endpoint returns before its
        failures have decayed, so being dropped does not clear its count.
        """
        for endpoint_id, dropped_s in tuple(self._dropped_at_s.items()):
            if self.endpoints.get(endpoint_id) is not None:
                del self._dropped_at_s[endpoint_id]
            elif now_s - dropped_s >= self.limits.forget_s:
                del self._dropped_at_s[endpoint_id]
                del self._evidence[endpoint_id]

    def _apply_listed(self, listed: ListedEndpoint, now_s: float) -> None:
        evidence = self._evidence_of(listed.endpoint_id)
        evidence.missing_since_s = None
        row = self.endpoints.get(listed.endpoint_id)
        if row is None or row.service != listed.service:
            row = self._add_listed(listed, now_s)
        elif listed.incarnation and listed.incarnation != row.incarnation:
            self._reset_for_incarnation(row, listed.incarnation, now_s)
        row.availability_zone = listed.availability_zone
        row.address = listed.address
        row.region = listed.region
        row.weight = listed.weight
        if listed.leaving:
            self.note_leaving(listed.endpoint_id, listed.incarnation)
        self._update_state(row, now_s)

    def _add_listed(self, listed: ListedEndpoint, now_s: float) -> Endpoint:
        # An endpoint that left and was dropped comes back as a new one and is not leaving any more.
        self._evidence_of(listed.endpoint_id).left_incarnation = None
        row = Endpoint(
            listed.endpoint_id,
            listed.service,
            listed.availability_zone,
            listed.address,
            incarnation=listed.incarnation,
            weight=listed.weight,
            joined_s=-math.inf if self._first_list else now_s,
        )
        self.endpoints.put(row)
        return row

    def _reset_for_incarnation(self, row: Endpoint, incarnation: str, now_s: float) -> None:
        """Reset the state of an endpoint whose sidecar restarted under the same id.

        Leaving and suspicion of the earlier incarnation don't apply to the new one. Only the
        failure count stays, since a flapping endpoint may restart each time.
        """
        if row.incarnation:
            row.joined_s = now_s
        row.incarnation = incarnation
        evidence = self._evidence_of(row.endpoint_id)
        if evidence.left_incarnation is not None and evidence.left_incarnation != incarnation:
            evidence.left_incarnation = None
            row.state = EndpointState.LIVE
        if not self._is_flapping(evidence, now_s):
            row.suspect_until_s = 0.0

    def _apply_missing(self, row: Endpoint, now_s: float) -> None:
        evidence = self._evidence_of(row.endpoint_id)
        if evidence.missing_since_s is None:
            evidence.missing_since_s = now_s
        self._update_state(row, now_s)

    def _update_state(self, row: Endpoint, now_s: float) -> None:
        evidence = self._evidence_of(row.endpoint_id)
        if evidence.left_incarnation is not None:
            row.state = EndpointState.LEAVING
            return
        unheard = now_s - evidence.answered_s >= self.limits.evidence_s
        unlisted = evidence.missing_since_s is not None and unheard
        if unlisted:
            row.suspect_until_s = max(row.suspect_until_s, now_s + self.limits.suspect_s)
        suspect = row.suspect_until_s > now_s
        row.state = EndpointState.SUSPECT if suspect else EndpointState.LIVE

    def _evidence_of(self, endpoint_id: str) -> _Evidence:
        return self._evidence.setdefault(endpoint_id, _Evidence())

    def _decayed_failures(self, evidence: _Evidence, now_s: float) -> float:
        age_s = now_s - evidence.failed_s
        return evidence.failures * math.pow(0.5, age_s / self.limits.flap_half_life_s)

    def _is_flapping(self, evidence: _Evidence, now_s: float) -> bool:
        return self._decayed_failures(evidence, now_s) >= self.limits.flap_limit

    def _time_until_undamped_s(self, evidence: _Evidence, now_s: float) -> float:
        """Return the time until the failure count is below the limit again."""
        ratio = self._decayed_failures(evidence, now_s) / self.limits.flap_limit
        return self.limits.flap_half_life_s * math.log2(ratio)
