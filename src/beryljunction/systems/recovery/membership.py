"""Which endpoints one process may offer work to, from a lagging list and its own evidence."""

import math

import attrs

from beryljunction.tables import Endpoint, EndpointState, EndpointTable

__all__ = ["ListedEndpoint", "MembershipLimits", "MembershipSystem"]


@attrs.frozen
class ListedEndpoint:
    """One endpoint as the platform's list has it.

    Attributes:
        leaving: Whether the list says that the endpoint is to get no new work.
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
        suspect_s: Time that a failed connection keeps new work away.
        missing_s: Time that an endpoint missing from the list stays known.
        evidence_s: Age up to which an answer of an endpoint counts against its missing.
        flap_half_life_s: Time in which the memory of failures halves.
        flap_limit: Remembered failures from which an endpoint goes last.
        forget_s: Time after its drop for which an endpoint's failures are still remembered; after
            five half-lives a thirtieth is left of them.
    """

    suspect_s: float = 3.0
    missing_s: float = 6.0
    evidence_s: float = 3.0
    flap_half_life_s: float = 20.0
    flap_limit: float = 2.5
    forget_s: float = 100.0


@attrs.define
class _Evidence:
    """What this process itself has seen of an endpoint."""

    answered_s: float = -math.inf
    missing_since_s: float | None = None
    failures: float = 0.0
    failed_s: float = -math.inf
    down: bool = False
    left_incarnation: str | None = None


class MembershipSystem:
    """Turns the list and own evidence into the states of the endpoint table.

    Signs, strongest first: the sidecar's own word that it leaves, the list's "leaving", a failed
    connection. A wrong guess costs a warm cache or a hop, never correctness.
    """

    def __init__(self, endpoints: EndpointTable, limits: MembershipLimits | None = None) -> None:
        self.endpoints = endpoints
        self.limits = limits if limits is not None else MembershipLimits()
        self._evidence: dict[str, _Evidence] = {}
        self._dropped_s: dict[str, float] = {}
        self._first_list = True

    @property
    def remembered(self) -> int:
        """Endpoints of which something seen is remembered, those that were dropped included."""
        return len(self._evidence)

    def apply_list(self, listed: list[ListedEndpoint], now_s: float) -> None:
        """Take in a new reading of the platform's list.

        An endpoint that the list lacks is not dropped at once: lists of two processes may differ
        for seconds, and each difference moves chats away from their prefix. One that answered
        lately stays, others go last until the time is up.
        """
        names = set()
        for row in listed:
            names.add(row.endpoint_id)
            self._seen(row, now_s)
        for known in self.endpoints:
            if known.endpoint_id not in names:
                self._missing(known, now_s)
        self._first_list = False

    def note_answer(self, endpoint_id: str, now_s: float, incarnation: str = "") -> None:
        """Take in that an endpoint's sidecar has answered, whatever it said."""
        row = self.endpoints.get(endpoint_id)
        if row is None:
            return
        evidence = self._of(endpoint_id)
        evidence.answered_s = now_s
        evidence.down = False
        if incarnation and row.incarnation and incarnation != row.incarnation:
            self._restarted(row, incarnation, now_s)
        if not self._damped(evidence, now_s):
            row.suspect_until_s = 0.0
        self._settle(row, now_s)

    def note_failure(self, endpoint_id: str, now_s: float) -> None:
        """Take in that a connection to an endpoint failed.

        Load: an endpoint that comes and goes within seconds. Harm: with each return its chats move
        back, find nothing cached and are cut off again. Failures are remembered with a half-life;
        past the limit the endpoint goes last until the memory has faded, even when it answers.
        """
        row = self.endpoints.get(endpoint_id)
        if row is None:
            return
        evidence = self._of(endpoint_id)
        if not evidence.down:
            evidence.failures = self._failures(evidence, now_s) + 1.0
            evidence.failed_s = now_s
        evidence.down = True
        until_s = now_s + self.limits.suspect_s
        if self._damped(evidence, now_s):
            until_s = max(until_s, now_s + self._fading_s(evidence, now_s))
        row.suspect_until_s = max(row.suspect_until_s, until_s)
        self._settle(row, now_s)

    def note_leaving(self, endpoint_id: str, incarnation: str = "") -> None:
        """Take in the sidecar's own word that it leaves; it holds until it starts anew."""
        row = self.endpoints.get(endpoint_id)
        if row is not None:
            self._of(endpoint_id).left_incarnation = incarnation or row.incarnation
            row.state = EndpointState.LEAVING

    def note_replaced(self, endpoint_id: str, now_s: float) -> None:
        """Take in that the host in the slot is another one; its sidecar has yet to name itself."""
        row = self.endpoints.get(endpoint_id)
        if row is not None:
            self._of(endpoint_id).left_incarnation = None
            row.state = EndpointState.LIVE
            self._restarted(row, "", now_s)

    def tick(self, now_s: float) -> list[str]:
        """Let suspicions end and drop what was missing for too long; return the dropped ids."""
        dropped = []
        for row in self.endpoints:
            evidence = self._of(row.endpoint_id)
            since_s = evidence.missing_since_s
            gone = since_s is not None and now_s - since_s >= self.limits.missing_s
            if gone and now_s - evidence.answered_s >= self.limits.evidence_s:
                self.endpoints.remove(row.endpoint_id)
                self._dropped_s[row.endpoint_id] = now_s
                dropped.append(row.endpoint_id)
                continue
            self._settle(row, now_s)
        self._forget(now_s)
        return dropped

    def _forget(self, now_s: float) -> None:
        """Forget what was seen of endpoints that are gone for good.

        Load: 130 hosts replaced a day, each under a new id. Harm: an entry that runs for months
        would hold a row for every endpoint there ever was. Those that flap are back before their
        failures have faded, so a flapping endpoint can't clear its record by being dropped.
        """
        for endpoint_id, dropped_s in tuple(self._dropped_s.items()):
            if self.endpoints.get(endpoint_id) is not None:
                del self._dropped_s[endpoint_id]
            elif now_s - dropped_s >= self.limits.forget_s:
                del self._dropped_s[endpoint_id]
                del self._evidence[endpoint_id]

    def _seen(self, listed: ListedEndpoint, now_s: float) -> None:
        evidence = self._of(listed.endpoint_id)
        evidence.missing_since_s = None
        row = self.endpoints.get(listed.endpoint_id)
        if row is None or row.service != listed.service:
            row = self._new(listed, now_s)
        elif listed.incarnation and listed.incarnation != row.incarnation:
            self._restarted(row, listed.incarnation, now_s)
        row.availability_zone = listed.availability_zone
        row.address = listed.address
        row.region = listed.region
        row.weight = listed.weight
        if listed.leaving:
            self.note_leaving(listed.endpoint_id, listed.incarnation)
        self._settle(row, now_s)

    def _new(self, listed: ListedEndpoint, now_s: float) -> Endpoint:
        # An endpoint that left and was dropped comes back as a new one: its leaving is over.
        self._of(listed.endpoint_id).left_incarnation = None
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

    def _restarted(self, row: Endpoint, incarnation: str, now_s: float) -> None:
        """Start over with an endpoint whose sidecar started anew under the same id.

        What was held against the earlier incarnation (leaving, suspicion) says nothing of the new
        one; only the memory of failures stays, since flapping shows as restarts too.
        """
        if row.incarnation:
            row.joined_s = now_s
        row.incarnation = incarnation
        evidence = self._of(row.endpoint_id)
        if evidence.left_incarnation is not None and evidence.left_incarnation != incarnation:
            evidence.left_incarnation = None
            row.state = EndpointState.LIVE
        if not self._damped(evidence, now_s):
            row.suspect_until_s = 0.0

    def _missing(self, row: Endpoint, now_s: float) -> None:
        evidence = self._of(row.endpoint_id)
        if evidence.missing_since_s is None:
            evidence.missing_since_s = now_s
        self._settle(row, now_s)

    def _settle(self, row: Endpoint, now_s: float) -> None:
        evidence = self._of(row.endpoint_id)
        if evidence.left_incarnation is not None:
            row.state = EndpointState.LEAVING
            return
        unheard = now_s - evidence.answered_s >= self.limits.evidence_s
        unlisted = evidence.missing_since_s is not None and unheard
        if unlisted:
            row.suspect_until_s = max(row.suspect_until_s, now_s + self.limits.suspect_s)
        suspect = row.suspect_until_s > now_s
        row.state = EndpointState.SUSPECT if suspect else EndpointState.LIVE

    def _of(self, endpoint_id: str) -> _Evidence:
        return self._evidence.setdefault(endpoint_id, _Evidence())

    def _failures(self, evidence: _Evidence, now_s: float) -> float:
        age_s = now_s - evidence.failed_s
        return evidence.failures * math.pow(0.5, age_s / self.limits.flap_half_life_s)

    def _damped(self, evidence: _Evidence, now_s: float) -> bool:
        return self._failures(evidence, now_s) >= self.limits.flap_limit

    def _fading_s(self, evidence: _Evidence, now_s: float) -> float:
        """Return the time until the memory of failures is below the limit again."""
        ratio = self._failures(evidence, now_s) / self.limits.flap_limit
        return self.limits.flap_half_life_s * math.log2(ratio)
