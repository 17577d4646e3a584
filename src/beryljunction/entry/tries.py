"""One try of a request at one endpoint's sidecar."""

import attrs

from beryljunction.entry.exchanges import Exchange
from beryljunction.entry.relays import Relay
from beryljunction.entry.sidecars import SidecarClient
from beryljunction.entry.writers import ROUTE_HINT_HEADER
from beryljunction.outcomes import Refusal, RefusalCode
from beryljunction.tables import Endpoint
from beryljunction.timeline import Timeline
from beryljunction.wire import Attach, Envelope

__all__ = ["Tries"]


# A sidecar takes a request under an old stamp for one that was sent back then, and refuses it when
# that is longer ago than it remembers. Without a stamp it is taken, and "not run" is never said.
_FRESH_STAMP_S = 60.0


class Tries:
    """Carries tries out, whatever decided on them."""

    def __init__(self, sidecars: SidecarClient, timeline: Timeline) -> None:
        self._sidecars = sidecars
        self._timeline = timeline

    async def run(
        self,
        exchange: Exchange,
        endpoint: Endpoint,
        envelope: Envelope,
        body: bytes,
        silence_s: float,
    ) -> Refusal | None:
        """Offer the request to an endpoint; None when the caller has its answer."""
        caller = exchange.caller
        heard = self._sidecars.heard(endpoint)
        if heard is not None and heard.age_s > _FRESH_STAMP_S:
            heard = None
        # What was heard before a byte went out: only the incarnation that got it can prove "no".
        stamp = heard.stamp.to_text() if heard is not None else ""
        age_s = heard.age_s if heard is not None else 0.0
        attach = Attach(
            envelope.request_id,
            envelope.account,
            heard=stamp,
            attempt=envelope.attempt,
            heard_age_s=age_s,
        )
        envelope = attrs.evolve(envelope, heard=stamp, heard_age_s=age_s)
        caller.put(ROUTE_HINT_HEADER, endpoint.endpoint_id.encode())
        exchange.relay = Relay(self._sidecars, endpoint, attach, caller, silence_s)
        refusal = await exchange.relay.run(envelope, body)
        if refusal is not None:
            self._timeline.add("try_refused", envelope.request_id, refusal.code)
            if refusal.code is RefusalCode.LEAVING:
                self._sidecars.avoid(endpoint)
        return refusal
