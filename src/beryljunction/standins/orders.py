"""The orders interface of the engine stand-in: fencing checked or ignored, loads that take time."""

import json

import attrs

from beryljunction.servers import Receive, Scope, Send, read_body, send_response
from beryljunction.standins.weights import WeightStoreModel
from beryljunction.systems.recovery.orders import Order
from beryljunction.tables.orders import EngineState

__all__ = ["EngineOrdersModel", "answer_engine_orders"]

_BODY_BYTES = 1_048_576


@attrs.define
class EngineOrdersModel:
    """What an engine holds and loads, with the time handed in.

    Attributes:
        store: Where weights come from; None loads at once.
        checks_fence: Whether an order with an old fencing number is refused.
    """

    store: WeightStoreModel | None = None
    checks_fence: bool = True
    models: dict[str, str] = attrs.field(factory=dict)
    adapters: tuple[str, ...] = ()
    role: str = "both"
    fence: int = 0
    failed: str = ""
    orders: int = 0
    _loads: dict[str, tuple[str, str]] = attrs.field(factory=dict)

    def state(self, now_s: float) -> EngineState:
        """Return what the engine holds at a time."""
        self._finish_loads(now_s)
        return EngineState(
            models=dict(self.models),
            adapters=self.adapters,
            role=self.role,
            loading=self._loading("model/"),
            loading_adapters=tuple(self._loading("adapter/")),
            fence=self.fence if self.checks_fence else None,
            failed=self.failed,
        )

    def order(self, order: Order, now_s: float) -> bool:
        """Take an order; False when its fencing number is old and this engine checks."""
        self._finish_loads(now_s)
        if self.checks_fence and order.fence < self.fence:
            return False
        self.fence = max(self.fence, order.fence)
        self.orders += 1
        self.failed = ""
        self.role = order.role
        self.models = {n: v for n, v in self.models.items() if order.models.get(n) == v}
        self.adapters = tuple(a for a in self.adapters if a in order.adapters)
        wanted = {f"model/{n}": v for n, v in order.models.items() if n not in self.models}
        wanted |= {f"adapter/{a}": "" for a in order.adapters if a not in self.adapters}
        self._cancel_all_but(wanted)
        for key, version in wanted.items():
            if key not in self._loads:
                self._load(key, version, now_s)
        return True

    def _loading(self, prefix: str) -> dict[str, str]:
        loads = self._loads.items()
        return {k.removeprefix(prefix): v for k, (v, _) in loads if k.startswith(prefix)}

    def _load(self, key: str, version: str, now_s: float) -> None:
        if self.store is None:
            self._have(key, version)
            return
        load_id = self.store.begin(f"{key}/{version}", now_s)
        if load_id is None:
            self.failed = "the weight store is at its limit"
        else:
            self._loads[key] = (version, load_id)

    def _finish_loads(self, now_s: float) -> None:
        for key, (version, load_id) in list(self._loads.items()):
            if self.store is not None and self.store.is_done(load_id, now_s):
                del self._loads[key]
                self._have(key, version)

    def _have(self, key: str, version: str) -> None:
        kind, _, name = key.partition("/")
        if kind == "model":
            self.models[name] = version
        else:
            self.adapters = (*self.adapters, name)

    def _cancel_all_but(self, wanted: dict[str, str]) -> None:
        for key, (version, load_id) in list(self._loads.items()):
            if wanted.get(key) != version:
                del self._loads[key]
                if self.store is not None:
                    self.store.cancel(load_id)


async def answer_engine_orders(
    model: EngineOrdersModel, now_s: float, scope: Scope, receive: Receive, send: Send
) -> None:
    """Answer GET /v1/state and PUT /v1/orders; see :mod:`beryljunction.engines.control`."""
    body = await read_body(receive, _BODY_BYTES)
    if scope["method"] == "GET":
        state = attrs.asdict(model.state(now_s), filter=lambda _, value: value is not None)
        await send_response(send, 200, json.dumps(state).encode())
        return
    fields = json.loads(body or b"{}")
    taken = model.order(Order(**{**fields, "adapters": tuple(fields["adapters"])}), now_s)
    answer = json.dumps({"fence": model.fence}).encode()
    await send_response(send, 200 if taken else 409, answer)
