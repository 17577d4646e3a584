"""Reconciles an engine's models and adapters with the desired state (level-triggered)."""

import random

import attrs

from beryljunction.settings.schema import ResolvedSettings
from beryljunction.tables.orders import DesiredState, EngineState

__all__ = ["AwaitRollout", "EngineReconciler", "NoOrder", "Order", "OrderStep", "desired_state_of"]

_MIN_RETRY_S = 2.0
_MAX_RETRY_S = 120.0


@attrs.frozen
class Order:
    """Tell the engine to hold exactly this state.

    Attributes:
        fence: Fencing token; an engine that checks it refuses one below the highest it has seen.
    """

    models: dict[str, str]
    adapters: tuple[str, ...]
    role: str
    fence: int


@attrs.frozen
class AwaitRollout:
    """Give this order once the rollout allows this endpoint to load.

    Attributes:
        interrupts: Whether the engine serves callers now and can't while it carries out the order.
    """

    order: Order
    interrupts: bool


@attrs.frozen
class NoOrder:
    """Send no order now."""

    reason: str


OrderStep = Order | AwaitRollout | NoOrder


def desired_state_of(view: ResolvedSettings, service: str) -> DesiredState:
    """Return what the settings want the engines of a service to hold."""
    settings = view.services[service]
    models = dict.fromkeys(settings.models, settings.model_version)
    return DesiredState(models, tuple(sorted(settings.adapters)), settings.role, view.version)


class EngineReconciler:
    """Compares an engine's state with the desired state and decides the next order.

    It does not rely on earlier orders: after a lost answer, a paused or replaced sidecar, or an
    engine that ignores the fencing token, the engine may be in a state that its sidecar did not
    order. Each decision starts from the state just read from the engine, and an order names the
    whole state. So a repeat is harmless, and a stale order that the engine carried out is corrected
    after the next read.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures = 0
        self._retry_at_s = 0.0

    def decide(self, desired: DesiredState, state: EngineState, now_s: float) -> OrderStep:
        """Return the next step towards the desired state."""
        if state.fence is not None and state.fence > desired.fence:
            # Another sidecar of this slot, or this one before a restart, had newer settings.
            return NoOrder(
                f"settings {desired.fence} here are older than the engine's {state.fence}"
            )
        if state.is_loading:
            return self._decide_while_loading(desired, state)
        if state.fulfils(desired):
            self._failures = 0
            return NoOrder("the engine holds what is wanted")
        if self._backs_off(state, now_s):
            return NoOrder(f"the last load failed ({state.failed}); retrying after a backoff")
        order = _next_order(desired, state)
        loads = order.models != _ready(desired, state) or set(order.adapters) - set(state.adapters)
        if loads or order.role != state.role:
            return AwaitRollout(order, interrupts=state.serves(desired))
        return order

    def ordered(self, now_s: float, *, refused: bool) -> None:
        """Record the result of an order; refusals are retried with backoff and jitter.

        A refusal may come from a weight store that is slow or full while every engine of a rollout
        waits for it, and synchronized retries would keep it full. The maximum of two minutes limits
        how long a recovered store stays idle.
        """
        if not refused:
            return
        self._failures = min(self._failures + 1, 16)
        longest_s = min(_MAX_RETRY_S, _MIN_RETRY_S * 2.0**self._failures)
        self._retry_at_s = now_s + longest_s * (0.5 + 0.5 * self._rng.random())

    def _backs_off(self, state: EngineState, now_s: float) -> bool:
        if state.failed and now_s >= self._retry_at_s and self._failures == 0:
            self.ordered(now_s, refused=True)
        return now_s < self._retry_at_s

    def _decide_while_loading(self, desired: DesiredState, state: EngineState) -> OrderStep:
        """Let a load continue however long it takes, unless its result is no longer wanted.

        Ordering the same load again would restart it at a store that is already slow.
        """
        models = state.loading.items() <= desired.models.items()
        if models and set(state.loading_adapters) <= set(desired.adapters):
            return NoOrder("a load is in progress")
        return Order(
            _ready(desired, state),
            tuple(a for a in state.adapters if a in desired.adapters),
            state.role,
            desired.fence,
        )


def _ready(desired: DesiredState, state: EngineState) -> dict[str, str]:
    return {n: v for n, v in state.models.items() if desired.models.get(n) == v}


def _next_order(desired: DesiredState, state: EngineState) -> Order:
    """Return an order that drops what is not wanted and adds one missing model or adapter."""
    models = _ready(desired, state)
    adapters = [a for a in desired.adapters if a in state.adapters]
    missing_models = [name for name in sorted(desired.models) if name not in models]
    missing_adapters = [a for a in desired.adapters if a not in adapters]
    if missing_models:
        models[missing_models[0]] = desired.models[missing_models[0]]
    elif missing_adapters:
        adapters.append(missing_adapters[0])
    return Order(models, tuple(adapters), desired.role, desired.fence)
