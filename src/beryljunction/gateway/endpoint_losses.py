"""Finds out whether an endpoint has crashed after connections to it were lost."""

import collections
import math

import anyio
import anyio.abc
import attrs

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.auto_reset_event import AutoResetEvent
from beryljunction.gateway.calls import PortState, probe_port, probe_start
from beryljunction.gateway.events import EntryEventLog
from beryljunction.gateway.quarantine import Quarantine
from beryljunction.routing import EndpointRegistry, KnownEndpoint
from beryljunction.timeouts import move_on_after

__all__ = ["EndpointLoss", "EndpointLosses", "LostRequest"]

# A live host answers one of several connection attempts, also on a link that loses packets.
_MAX_PROBES = 3
# Limit of the wait for the first probe, which takes up to a quarter of a second.
_FIRST_PROBE_TIMEOUT_S = 0.5
# Time in which a restarted endpoint has written its record, or that of a lost one has expired.
_UNCONFIRMED_TTL_S = 10.0
_REGISTRY_POLL_S = 0.1
_MAX_UNCONFIRMED_REQUESTS = 256
# Pause before an endpoint with unconfirmed requests is probed again; it doubles up to the maximum.
_REPROBE_PAUSE_S = 0.1
_MAX_REPROBE_PAUSE_S = 1.0


@attrs.frozen
class LostRequest:
    """A request whose connection to an endpoint was lost, or closed before the answer ended.

    Attributes:
        features: Features of the request.
        may_be_part: Whether a part of its prompt may have crashed the endpoint.
        was_ended: Whether the endpoint's host ended the connection, with a reset or a close;
            otherwise it failed for want of an answer, or this process closed it.
        at_s: Boot time of the loss.
        is_trial: Whether it was sent as a trial.
        abandoned_sent_s: Boot time at which it was sent, if this process closed the connection, as
            nobody waits for the answer any more; None for other requests.
    """

    features: frozenset[str]
    may_be_part: bool
    was_ended: bool
    at_s: float
    is_trial: bool = False
    abandoned_sent_s: float | None = None


@attrs.define(eq=False)
class EndpointLoss:
    """Requests that an endpoint had when connections to it were lost at about the same time.

    Attributes:
        first_probe: Set when the endpoint has been probed once.
    """

    requests: list[LostRequest] = attrs.field(factory=list)
    first_probe: anyio.Event = attrs.field(factory=anyio.Event)


@attrs.define(eq=False)
class _Unconfirmed:
    """Requests of an endpoint that may have crashed since, or may yet crash under them.

    Attributes:
        checked_s: Boot time of the last probe.
        pause_s: Time from then until the next one.
    """

    checked_s: float
    pause_s: float = _REPROBE_PAUSE_S
    requests: list[LostRequest] = attrs.field(factory=list)


class EndpointLosses:
    """Reports lost requests to the quarantine once their endpoint is known to have crashed.

    A port that refuses connections shows it at once. A host that ended connections and answers no
    further one has lost the endpoint, too. A port that is open may belong to a process that is just
    ending, or to the next endpoint, which has another id or another start; the next probes or the
    records show this a little later.

    A request that this process has given up may crash its endpoint all the same. Its connection is
    closed, so the endpoint is probed for a while in the same way.
    """

    def __init__(
        self, registry: EndpointRegistry, quarantine: Quarantine, events: EntryEventLog
    ) -> None:
        self._registry = registry
        self._quarantine = quarantine
        self._events = events
        self._probing: dict[KnownEndpoint, EndpointLoss] = {}
        self._started: collections.deque[KnownEndpoint] = collections.deque()
        self._unconfirmed: dict[KnownEndpoint, _Unconfirmed] = {}
        self._changed = AutoResetEvent()

    async def run(self) -> None:
        """Probe endpoints and look at their records until cancelled.

        Probes that a failed run has left are started again.
        """
        self._started = collections.deque(self._probing)
        if self._started:
            self._changed.set()
        async with anyio.create_task_group() as group:
            group.start_soon(self._confirm_repeatedly)
            while True:
                await self._changed.wait()
                while self._started:
                    group.start_soon(self._probe, self._started.popleft())

    async def note(self, endpoint: KnownEndpoint, request: LostRequest) -> None:
        """Record a lost request; return when the endpoint has been probed once."""
        loss = self.add(endpoint, request)
        if loss is not None:
            with move_on_after(_FIRST_PROBE_TIMEOUT_S):
                await loss.first_probe.wait()

    def add(self, endpoint: KnownEndpoint, request: LostRequest) -> EndpointLoss | None:
        """Record a lost request; return None if its endpoint ends as planned."""
        if self._has_left(endpoint):
            return None
        loss = self._start_probing(endpoint)
        loss.requests.append(request)
        return loss

    def abandon(self, endpoint: KnownEndpoint, request: LostRequest) -> None:
        """Record a request whose connection this process has closed before its answer ended."""
        if not self._has_left(endpoint):
            self._add_unconfirmed(endpoint, [request])

    def probe_soon(self, endpoint: KnownEndpoint) -> None:
        """Probe an endpoint that refused a connection at once if it has unconfirmed requests."""
        unconfirmed = self._unconfirmed.get(endpoint)
        if unconfirmed is not None:
            unconfirmed.checked_s = -math.inf

    def _start_probing(self, endpoint: KnownEndpoint) -> EndpointLoss:
        loss = self._probing.get(endpoint)
        if loss is None:
            loss = self._probing[endpoint] = EndpointLoss()
            self._started.append(endpoint)
            self._changed.set()
        return loss

    def _add_unconfirmed(self, endpoint: KnownEndpoint, requests: list[LostRequest]) -> None:
        row = self._unconfirmed.get(endpoint)
        if row is None:
            row = self._unconfirmed[endpoint] = _Unconfirmed(boot_time_s())
        row.requests += requests
        del row.requests[:-_MAX_UNCONFIRMED_REQUESTS]

    async def is_running(self, endpoint: KnownEndpoint) -> bool:
        """Return whether an endpoint runs that has closed a connection in an orderly way.

        One that is leaving closes its connections when all of its answers are complete.
        """
        if self._has_left(endpoint):
            return True
        for _ in range(_MAX_PROBES):
            port, started_ms = await self._probe_start(endpoint)
            if self._is_replaced(endpoint) or port is PortState.REFUSED:
                return False
            if port is PortState.OPEN:
                return started_ms in (None, endpoint.record.started_ms)
        return False

    async def _probe_start(self, endpoint: KnownEndpoint) -> tuple[PortState, int | None]:
        if endpoint.record.may_reuse_id:
            return await probe_start(endpoint.record.address)
        return await probe_port(endpoint.record.address), None

    def _has_left(self, endpoint: KnownEndpoint) -> bool:
        """Return whether it announced its shutdown, or its record was removed."""
        is_known = self._registry.find(endpoint.record.endpoint_id) is not None
        return endpoint.has_said_leaving or not is_known

    def _is_replaced(self, endpoint: KnownEndpoint) -> bool:
        """Return whether another incarnation or another endpoint has its id or its address."""
        if self._registry.find(endpoint.record.endpoint_id) not in (None, endpoint):
            return True
        address = endpoint.record.address
        return any(
            row is not endpoint and row.record.address == address for row in self._registry.rows
        )

    async def _probe(self, endpoint: KnownEndpoint) -> None:
        """Probe the port of an endpoint, several times if it doesn't answer."""
        loss = self._probing[endpoint]
        try:
            for _ in range(_MAX_PROBES):
                port = await probe_port(endpoint.record.address)
                if port is not PortState.OPEN:
                    endpoint.note_unreachable(boot_time_s())
                evidence = self._evidence(endpoint, port)
                if evidence:
                    self._report(endpoint, loss.requests, evidence)
                    return
                loss.first_probe.set()
                if port is PortState.OPEN:
                    break
        finally:
            del self._probing[endpoint]
            loss.first_probe.set()
        self._keep_unconfirmed(endpoint, loss.requests, port)

    def _keep_unconfirmed(
        self, endpoint: KnownEndpoint, requests: list[LostRequest], port: PortState
    ) -> None:
        """Keep requests until the records show more; report those of a host that is silent."""
        if self._has_left(endpoint):
            return
        if port is PortState.SILENT:
            # A host whose connections time out may be cut off, and its endpoint may live.
            ended = [row for row in requests if row.was_ended]
            requests = [row for row in requests if not row.was_ended]
            if ended:
                self._report(endpoint, ended, "silent")
        if not requests:
            return
        self._events.write(
            "endpoint_loss_unconfirmed",
            endpoint=endpoint.record.endpoint_id,
            port=port.value,
            requests=len(requests),
        )
        self._add_unconfirmed(endpoint, requests)

    def _evidence(self, endpoint: KnownEndpoint, port: PortState) -> str:
        """Return what shows that an endpoint has crashed; empty for nothing."""
        if self._has_left(endpoint):
            return ""
        if port is PortState.REFUSED:
            return "refused"
        return "replaced" if self._is_replaced(endpoint) else ""

    def _report(self, endpoint: KnownEndpoint, requests: list[LostRequest], evidence: str) -> None:
        """Report requests of a crashed endpoint, and those that were unconfirmed before."""
        unconfirmed = self._unconfirmed.pop(endpoint, None)
        for request in requests + (unconfirmed.requests if unconfirmed is not None else []):
            was_abandoned = request.abandoned_sent_s is not None
            self._quarantine.note_crash(
                request.features,
                endpoint,
                request.may_be_part,
                boot_time_s() if was_abandoned else request.at_s,
                evidence,
                request.is_trial,
                request.abandoned_sent_s,
            )

    async def _confirm_repeatedly(self) -> None:
        while True:
            await anyio.sleep(_REGISTRY_POLL_S)
            for endpoint in list(self._unconfirmed):
                self._confirm_by_record(endpoint)
                self._probe_if_due(endpoint)

    def _confirm_by_record(self, endpoint: KnownEndpoint) -> None:
        """Report the requests of an endpoint that was replaced; forget those that are too old."""
        row = self._unconfirmed[endpoint]
        oldest_s = boot_time_s() - _UNCONFIRMED_TTL_S
        row.requests = [request for request in row.requests if request.at_s > oldest_s]
        if endpoint.has_said_leaving or not row.requests:
            del self._unconfirmed[endpoint]
        elif self._is_replaced(endpoint):
            self._report(endpoint, [], "replaced")

    def _probe_if_due(self, endpoint: KnownEndpoint) -> None:
        """Probe an endpoint once more, unless another connection was accepted meanwhile."""
        row, now_s = self._unconfirmed.get(endpoint), boot_time_s()
        if row is None or now_s - row.checked_s < row.pause_s:
            return
        was_reached = endpoint.reached_s >= row.checked_s > -math.inf
        row.checked_s = now_s
        row.pause_s = min(2 * row.pause_s, _MAX_REPROBE_PAUSE_S)
        if not was_reached:
            self._start_probing(endpoint)
