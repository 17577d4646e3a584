"""What a sidecar orders from the engine beside it: the difference, by level and not by event."""

import random

import attrs

from beryljunction.settings.schema import FleetView
from beryljunction.tables.orders import EngineState, Wanted

__all__ = ["Hold", "NeedSlot", "Order", "OrderStep", "OrderSystem", "wanted_of"]

_RETRY_MIN_S = 2.0
_RETRY_MAX_S = 120.0


@attrs.frozen
class Order:
    """Tell the engine to hold exactly this.

    Attributes:
        fence: Fencing number; an engine that checks refuses a number below its highest.
    """

    models: dict[str, str]
    adapters: tuple[str, ...]
    role: str
    fence: int


@attrs.frozen
class NeedSlot:
    """Give this order once the roll-out lets this endpoint load.

    Attributes:
        interrupts: Whether the engine serves callers now and won't while it follows the order.
    """

    order: Order
    interrupts: bool


@attrs.frozen
class Hold:
    """Order nothing now."""

    reason: str


OrderStep = Order | NeedSlot | Hold


def wanted_of(view: FleetView, service: str) -> Wanted:
    """Return what the settings want the engines of a service to hold."""
    settings = view.services[service]
    models = dict.fromkeys(settings.models, settings.model_version)
    return Wanted(models, tuple(sorted(settings.adapters)), settings.role, view.version)


class OrderSystem:
    """Compares what the engine has with what is wanted; keeps no belief of what it ordered.

    Harm: an answer lost after its effect, a sidecar that was paused or replaced, or an engine that
    ignores the fencing number leaves the engine in a state that nobody remembers ordering. Each
    decision starts from a fresh read-back, and an order names the whole state, so a repeat is
    harmless and an old order that an engine obeyed is undone by the next read-back.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures = 0
        self._retry_s = 0.0

    def decide(self, wanted: Wanted, state: EngineState, now_s: float) -> OrderStep:
        """Return the next step towards the wanted state."""
        if state.fence is not None and state.fence > wanted.fence:
            # Another sidecar of this slot, or this one before a restart, knew newer settings.
            return Hold(f"settings {wanted.fence} here are older than the engine's {state.fence}")
        if state.is_loading:
            return self._while_loading(wanted, state)
        if state.fulfils(wanted):
            self._failures = 0
            return Hold("the engine holds what is wanted")
        if self._backs_off(state, now_s):
            return Hold(f"the last load failed ({state.failed}); the next follows later")
        order = _next_order(wanted, state)
        loads = order.models != _ready(wanted, state) or set(order.adapters) - set(state.adapters)
        if loads or order.role != state.role:
            return NeedSlot(order, interrupts=state.serves(wanted))
        return order

    def ordered(self, now_s: float, *, refused: bool) -> None:
        """Note that an order was given; a refusal by the store or engine waits ever longer.

        Load: a weight store that is slow or full for long, and every engine of a roll-out behind
        it. Repeats in step would keep it full; two minutes is the most that a recovered store
        stays idle.
        """
        if not refused:
            return
        self._failures = min(self._failures + 1, 16)
        longest_s = min(_RETRY_MAX_S, _RETRY_MIN_S * 2.0**self._failures)
        self._retry_s = now_s + longest_s * (0.5 + 0.5 * self._rng.random())

    def _backs_off(self, state: EngineState, now_s: float) -> bool:
        if state.failed and now_s >= self._retry_s and self._failures == 0:
            self.ordered(now_s, refused=True)
        return now_s < self._retry_s

    def _while_loading(self, wanted: Wanted, state: EngineState) -> OrderStep:
        """Leave a load alone however long it takes, unless its result is not wanted any more.

        A second order of the same load would start it anew at a store that is slow already.
        """
        models = state.loading.items() <= wanted.models.items()
        if models and set(state.loading_adapters) <= set(wanted.adapters):
            return Hold("a load is under way")
        return Order(
            _ready(wanted, state),
            tuple(a for a in state.adapters if a in wanted.adapters),
            state.role,
            wanted.fence,
        )


def _ready(wanted: Wanted, state: EngineState) -> dict[str, str]:
    return {n: v for n, v in state.models.items() if wanted.models.get(n) == v}


def _next_order(wanted: Wanted, state: EngineState) -> Order:
    """Return the state after one more load: what is not wanted goes, one missing piece comes."""
    models = _ready(wanted, state)
    adapters = [a for a in wanted.adapters if a in state.adapters]
    missing_models = [name for name in sorted(wanted.models) if name not in models]
    missing_adapters = [a for a in wanted.adapters if a not in adapters]
    if missing_models:
        models[missing_models[0]] = wanted.models[missing_models[0]]
    elif missing_adapters:
        adapters.append(missing_adapters[0])
    return Order(models, tuple(adapters), wanted.role, wanted.fence)
