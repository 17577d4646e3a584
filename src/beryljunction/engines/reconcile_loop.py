"""Reconciliation of an engine with the settings: loads the wanted models step by step."""

import abc
import random
import time
from collections.abc import Callable

import anyio

from beryljunction.engines.control import EngineControl, NoEngine, OrderFenced, OrderRefused
from beryljunction.engines.load_turn_log import LoadTurnLog
from beryljunction.engines.rollout_peers import RolloutPeers
from beryljunction.settings.schema import ResolvedSettings
from beryljunction.systems.recovery.orders import (
    AwaitRollout,
    EngineReconciler,
    NoOrder,
    Order,
    desired_state_of,
)
from beryljunction.systems.recovery.rollout import (
    LoadAllowed,
    LoadDelayed,
    PeerRolloutPolicy,
    RolloutLimits,
)
from beryljunction.systems.recovery.turns import (
    EndTurn,
    RenewTurn,
    TakeTurn,
    TurnRolloutPolicy,
    TurnStep,
)
from beryljunction.tables.orders import DesiredState, EngineState, OrderRow, OrderRowTable, Phase

__all__ = ["ReconcileLoop", "RequestGate"]

_POLL_INTERVAL_S = 1.0
_POLL_AFTER_ORDER_S = 0.05
_ROW_TTL_S = 15.0
# A decision older than this, since the process was paused, is made again: the state of the other
# endpoints that it is based on may be outdated.
_MAX_DECISION_AGE_S = 2.0
# An append that was delayed on the network may still create a turn that is no longer needed.
_LATE_TURN_S = 60.0


class RequestGate(abc.ABC):
    """Drains the engine before an order that needs it idle."""

    @abc.abstractmethod
    def set_open(self, is_open: bool) -> None:
        """Accept new requests, or refuse them as "not run"; running requests always continue."""

    @abc.abstractmethod
    def running(self) -> int:
        """Return how many requests run on the engine."""


class ReconcileLoop:
    """Reconciles one engine with the settings, one step at a time.

    Attributes:
        phase: Current phase of this endpoint.
        reason: Why no order is sent now, or the result of the last one; for ``beryl status``.
        leaving: Set when the endpoint leaves. No further order is sent, and the other endpoints no
            longer count on this one. A load in progress continues in the engine, which is
            harmless.
    """

    def __init__(
        self,
        endpoint_id: str,
        service: str,
        view: Callable[[], ResolvedSettings],
        engine: EngineControl,
        peers: RolloutPeers,
        gate: RequestGate,
        now_s: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
        turns: LoadTurnLog | None = None,
    ) -> None:
        self.phase = Phase.SERVING
        self.reason = "the engine has not been asked for its state yet"
        self.leaving = False
        self._endpoint_id = endpoint_id
        self._service = service
        self._view = view
        self._engine = engine
        self._peers = peers
        self._gate = gate
        self._now_s = now_s
        self._rng = rng if rng is not None else random.Random()
        self._order_rules = EngineReconciler(self._rng)
        self._rollout_rules = PeerRolloutPolicy(endpoint_id)
        self._turns = turns
        self._turn_rules = TurnRolloutPolicy(endpoint_id, self._rng)
        # An earlier process of this endpoint may have left a turn on the log.
        self._turn_check_until_s = now_s() + _LATE_TURN_S
        self._peer_rows = OrderRowTable()
        self._state: EngineState | None = None
        self._sent_orders = 0

    async def run(self) -> None:
        """Run steps until cancelled."""
        while True:
            orders_before = self._sent_orders
            await self.step()
            # Poll sooner after an order, so that the endpoint serves again soon after a short load.
            pause_s = (
                _POLL_INTERVAL_S if self._sent_orders == orders_before else _POLL_AFTER_ORDER_S
            )
            await anyio.sleep(pause_s * (0.75 + 0.5 * self._rng.random()))

    async def step(self) -> None:
        """Read the state of the engine, decide, and send at most one order."""
        if self._desired() is None:
            # Plain services are not polled: they would handle the request as one of a caller.
            self.reason = f"the settings list no models for service {self._service}"
            return
        state = await self._engine.read_state()
        if isinstance(state, NoEngine):
            self._state, self.reason = None, state.reason
            return
        self._state = state
        if self.leaving:
            self.phase, self.reason = Phase.LEAVING, "the endpoint is leaving"
            return
        desired = self._desired()
        if desired is None:
            return
        decided_s = self._now_s()
        step = self._order_rules.decide(desired, state, decided_s)
        if isinstance(step, NoOrder):
            self._update_phase(step, desired, state)
            await self._renew_or_end_turn(state, desired)
        elif isinstance(step, Order):
            await self._send(step, decided_s)
        elif await self._may_load(step, decided_s):
            await self._drain_and_send(step, decided_s)
        self._gate.set_open(self._serves(desired, state))

    def own_row(self) -> OrderRow:
        """Return the row about this endpoint that is sent to its peers."""
        desired, state = self._desired(), self._state
        if desired is None or state is None:
            return OrderRow(self._endpoint_id, self.phase, done=False, serves=False, fence=0)
        return OrderRow(
            self._endpoint_id,
            self.phase,
            done=state.fulfils(desired),
            serves=self._serves(desired, state),
            fence=desired.fence,
        )

    def receive_row(self, row: OrderRow) -> None:
        """Store a row received from a peer."""
        self._peer_rows.put(row, self._now_s())

    def _desired(self) -> DesiredState | None:
        """Return the target state; None if the service is unknown or has no engines."""
        service = self._view().services.get(self._service)
        if service is None or service.kind != "engine" or not service.models:
            return None
        return desired_state_of(self._view(), self._service)

    def _serves(self, desired: DesiredState, state: EngineState) -> bool:
        return state.serves(desired) and self.phase in (Phase.SERVING, Phase.INTENDS)

    def _update_phase(self, step: NoOrder, desired: DesiredState, state: EngineState) -> None:
        self.reason = step.reason
        if state.is_loading:
            self.phase = Phase.LOADING
        elif state.serves(desired):
            self._rollout_rules.withdraw()
            self.phase = Phase.SERVING

    async def _may_load(self, step: AwaitRollout, decided_s: float) -> bool:
        """Whether this endpoint may load; it keeps its slot after a failed load.

        So a version that cannot be loaded stops one endpoint of the service and not all of them.
        """
        if self.phase is Phase.LOADING:
            return True
        if self.phase is Phase.DRAINING:
            return await self._still_holds_turn(step.interrupts)
        decision = await self._request_slot(step.interrupts)
        if not isinstance(decision, LoadAllowed):
            reason = decision.reason if isinstance(decision, LoadDelayed) else "waiting for a turn"
            self.phase, self.reason = Phase.INTENDS, reason
            return False
        if self._now_s() - decided_s > _MAX_DECISION_AGE_S:
            self.reason = "the process was paused after the decision to load; deciding again"
            return False
        return True

    async def _request_slot(self, interrupts: bool) -> TurnStep:
        """Ask for a load slot by the turns on the log, or by the peers if the log is unavailable.

        Without the log, only engines that serve nothing may load. Such a load takes no capacity
        away from callers, and the weight store refuses loads beyond its capacity. So a host that
        is replaced during a log outage does not stay empty until the end of the outage.
        """
        if self._turns is not None and await self._turns.refresh():
            return await self._decide_by_turn(self._turns, interrupts)
        if self._turns is not None and interrupts:
            return LoadDelayed("the log does not answer; endpoints keep serving until it does")
        for row in await self._peers.exchange(self.own_row()):
            self.receive_row(row)
        self._peer_rows.drop_older(self._now_s() - _ROW_TTL_S)
        return self._rollout_rules.decide(
            self._peers.endpoint_ids(), self._peer_rows, self._limits(), interrupts, self._now_s()
        )

    async def _decide_by_turn(self, turns: LoadTurnLog, interrupts: bool) -> TurnStep:
        """Take the next step by the queue of turns.

        Only an endpoint whose turn has come asks its peers, and each of them once per step.
        """
        limits = self._limits()
        is_turn = self._turn_rules.turn_is_due(turns.queue, limits)
        peer_rows = await self._peers.exchange(self.own_row()) if is_turn else []
        step = self._turn_rules.decide(
            turns.queue, self._peers.endpoint_ids(), peer_rows, limits, interrupts, self._now_s()
        )
        if isinstance(step, TakeTurn):
            self._turn_check_until_s = self._now_s() + _LATE_TURN_S
            await turns.enqueue(self._endpoint_id)
        elif isinstance(step, RenewTurn):
            await turns.renew(self._endpoint_id)
        elif isinstance(step, EndTurn):
            await turns.release(step)
        return step

    async def _still_holds_turn(self, interrupts: bool) -> bool:
        """Whether a draining endpoint still holds its turn and may load.

        Peers may have ended the turn while this process was paused, or the log may have become
        unavailable. The endpoint then serves again. It must neither load at the same time as
        others nor stay out of service for the whole outage.
        """
        if self._turns is None or not interrupts:
            return True
        if not await self._turns.refresh() or self._turns.queue.turn(self._endpoint_id) is None:
            self.phase, self.reason = Phase.INTENDS, "the log does not confirm the turn held here"
            return False
        await self._renew_if_due(self._turns)
        self.reason = "renewing this endpoint's turn on the log"
        return self._turn_rules.holds(self._turns.queue, self._now_s())

    async def _renew_if_due(self, turns: LoadTurnLog) -> None:
        if self._turn_rules.renews(turns.queue, self._now_s()):
            await turns.renew(self._endpoint_id)

    async def _renew_or_end_turn(self, state: EngineState, desired: DesiredState) -> None:
        """Renew the turn during a load; end it when it is no longer needed."""
        turns = self._turns
        own_turn = turns.queue.turn(self._endpoint_id) if turns is not None else None
        if turns is None or (own_turn is None and self._now_s() > self._turn_check_until_s):
            return
        if not await turns.refresh():
            return
        own_turn = turns.queue.turn(self._endpoint_id)
        if own_turn is None:
            return
        if self.phase is Phase.SERVING and state.fulfils(desired):
            await turns.release(EndTurn(self._endpoint_id, own_turn.renewed_at))
        else:
            await self._renew_if_due(turns)

    async def _drain_and_send(self, step: AwaitRollout, decided_s: float) -> None:
        """Refuse new requests, wait for running ones without a timeout, then send the order."""
        self._rollout_rules.withdraw()
        self.phase = Phase.DRAINING
        self._gate.set_open(False)
        if self._gate.running():
            self.reason = f"waiting for {self._gate.running()} running requests to end"
            return
        await self._send(step.order, decided_s)

    async def _send(self, order: Order, decided_s: float) -> None:
        if self._now_s() - decided_s > _MAX_DECISION_AGE_S:
            self.reason = "the process was paused before the order; reading the state again"
            return
        self._sent_orders += 1
        outcome = await self._engine.send_order(order)
        if isinstance(outcome, OrderRefused):
            self._order_rules.ordered(self._now_s(), refused=True)
            self.reason = f"the engine refused the order: {outcome.reason}"
            return
        self._order_rules.ordered(self._now_s(), refused=False)
        self.reason = f"order sent: {type(outcome).__name__}"
        if self.phase is Phase.DRAINING and not isinstance(outcome, OrderFenced):
            self.phase = Phase.LOADING

    def _limits(self) -> RolloutLimits:
        view = self._view()
        engine_services = sum(service.kind == "engine" for service in view.services.values())
        min_serving = view.services[self._service].min_serving
        return RolloutLimits.share(min_serving, view.weights.parallel_loads, engine_services)
