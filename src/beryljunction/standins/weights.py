"""A small weight store: so many loads at a time, so long for each, and slow when told to be."""

import json
import time

import attrs

from beryljunction.servers import Receive, Scope, Send, read_body, send_response

__all__ = ["WeightStandIn", "WeightStoreModel"]

_BODY_BYTES = 65_536


@attrs.define
class WeightStoreModel:
    """The store with the time handed in.

    Attributes:
        parallel_loads: Loads taken at one time; more are refused.
        load_s: Time of one load.
        slow_factor: Times longer that loads take which are under way.
        peak: Most loads that were under way at one time.
        refusals: Loads refused at the limit.
    """

    parallel_loads: int = 4
    load_s: float = 30.0
    slow_factor: float = 1.0
    peak: int = 0
    refusals: int = 0
    _begun_s: dict[str, float] = attrs.field(factory=dict)
    _number: int = 0

    def begin(self, name: str, now_s: float) -> str | None:
        """Begin a load and return its id; None at the limit."""
        if len(self._begun_s) >= self.parallel_loads:
            self.refusals += 1
            return None
        self._number += 1
        load_id = f"{self._number}"
        self._begun_s[load_id] = now_s
        self.peak = max(self.peak, len(self._begun_s))
        return load_id

    def is_done(self, load_id: str, now_s: float) -> bool:
        """Whether a load has ended; its slot is free from then on."""
        begun_s = self._begun_s.get(load_id)
        if begun_s is None:
            return True
        if now_s - begun_s < self.load_s * self.slow_factor:
            return False
        del self._begun_s[load_id]
        return True

    def cancel(self, load_id: str) -> None:
        """Free a load's slot."""
        self._begun_s.pop(load_id, None)


class WeightStandIn:
    """ASGI application that serves a model over HTTP."""

    def __init__(self, model: WeightStoreModel | None = None) -> None:
        self.model = model if model is not None else WeightStoreModel()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one call."""
        body = await read_body(receive, _BODY_BYTES) or b"{}"
        load_id = scope["path"].removeprefix("/loads").strip("/")
        if scope["method"] == "POST":
            begun = self.model.begin(json.loads(body)["name"], time.monotonic())
            status = 429 if begun is None else 201
            await send_response(send, status, json.dumps({"load_id": begun}).encode())
        elif scope["method"] == "DELETE":
            self.model.cancel(load_id)
            await send_response(send, 204, b"")
        else:
            done = self.model.is_done(load_id, time.monotonic())
            await send_response(send, 200, json.dumps({"done": done}).encode())
