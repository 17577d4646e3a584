"""Sends one attempt of a request to one endpoint's sidecar."""

import attrs

from beryljunction.entry.relays import Relay
from beryljunction.entry.request_state import RequestContext
from beryljunction.entry.response_writer import ROUTE_HINT_HEADER
from beryljunction.entry.sidecar_client import SidecarClient
from beryljunction.outcomes import Refusal, RefusalCode
from beryljunction.tables import Endpoint
from beryljunction.timeline import Timeline
from beryljunction.wire import Attach, Envelope

__all__ = ["AttemptRunner"]


class AttemptRunner:
    """Runs single attempts for the routers, which choose the endpoints."""

    def __init__(self, sidecars: SidecarClient, timeline: Timeline) -> None:
        self._sidecars = sidecars
        self._timeline = timeline

    async def run(
        self,
        context: RequestContext,
        endpoint: Endpoint,
        envelope: Envelope,
        body: bytes,
        silence_s: float,
    ) -> Refusal | None:
        """Send the request to an endpoint; return None if the caller received its answer."""
        writer = context.response_writer
        known = self._sidecars.last_stamp(endpoint)
        # The stamp known before sending: only the incarnation that received the request can prove
        # that it did not run.
        stamp = known.stamp.to_text() if known is not None else ""
        age_s = known.age_s if known is not None else 0.0
        attach = Attach(
            envelope.request_id,
            envelope.account,
            heard=stamp,
            attempt=envelope.attempt,
            heard_age_s=age_s,
        )
        envelope = attrs.evolve(envelope, heard=stamp, heard_age_s=age_s)
        writer.set_header(ROUTE_HINT_HEADER, endpoint.endpoint_id.encode())
        context.relay = Relay(self._sidecars, endpoint, attach, writer, silence_s)
        refusal = await context.relay.run(envelope, body)
        if refusal is not None:
            self._timeline.add("try_refused", envelope.request_id, refusal.code)
            if refusal.code is RefusalCode.LEAVING:
                self._sidecars.deprioritize(endpoint)
        return refusal
