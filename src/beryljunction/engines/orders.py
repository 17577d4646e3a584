"""Orders from a sidecar to the engine beside it, one step at a time."""

import abc
import random
import time
from collections.abc import Callable

import anyio

from beryljunction.engines.control import EngineControl, NoEngine, OrderFenced, OrderRefused
from beryljunction.engines.peers import OrderPeers
from beryljunction.engines.turns import TurnLog
from beryljunction.settings.schema import FleetView
from beryljunction.systems.recovery.orders import Hold, NeedSlot, Order, OrderSystem, wanted_of
from beryljunction.systems.recovery.rollout import Go, RolloutLimits, RolloutSystem, Stay
from beryljunction.systems.recovery.turns import EndTurn, RenewTurn, TakeTurn, TurnStep, TurnSystem
from beryljunction.tables.orders import EngineState, OrderRow, OrderRowTable, Phase, Wanted

__all__ = ["OrderRunner", "WorkGate"]

_READ_BACK_S = 1.0
_AFTER_ORDER_S = 0.05
_ROW_LIFE_S = 15.0
# A decision that waited longer than this before it was carried out (the process was paused) is
# made anew: what the others said is no longer true.
_STALE_S = 2.0
# A copy of a take that was delayed on its way may still bring a turn that nobody needs.
_LATE_TAKE_S = 60.0


class WorkGate(abc.ABC):
    """Lets an order wait until nothing runs on the engine."""

    @abc.abstractmethod
    def set_open(self, is_open: bool) -> None:
        """Take new work or refuse it with "not run"; what runs is never touched."""

    @abc.abstractmethod
    def running(self) -> int:
        """Return how many requests run on the engine."""


class OrderRunner:
    """Brings one engine to the settings and keeps it there, one step at a time.

    Attributes:
        phase: What this endpoint is doing.
        reason: Why it holds, for ``beryl status``.
        leaving: Set when the endpoint leaves: nothing is ordered any more, and others don't
            count on it. A load under way goes on in the engine and harms nobody.
    """

    def __init__(
        self,
        endpoint_id: str,
        service: str,
        view: Callable[[], FleetView],
        engine: EngineControl,
        peers: OrderPeers,
        gate: WorkGate,
        now_s: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
        turns: TurnLog | None = None,
    ) -> None:
        self.phase = Phase.SERVING
        self.reason = "not asked yet"
        self.leaving = False
        self._endpoint_id = endpoint_id
        self._service = service
        self._view = view
        self._engine = engine
        self._peers = peers
        self._gate = gate
        self._now_s = now_s
        self._rng = rng if rng is not None else random.Random()
        self._orders = OrderSystem(self._rng)
        self._rollout = RolloutSystem(endpoint_id)
        self._turns = turns
        self._turn_system = TurnSystem(endpoint_id, self._rng)
        # A process that stood in this slot before may have left a turn.
        self._tidy_until_s = now_s() + _LATE_TAKE_S
        self._heard = OrderRowTable()
        self._state: EngineState | None = None
        self._ordered = 0

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            orders = self._ordered
            await self.step()
            # A load that needs no time is seen at once, so that the endpoint serves again.
            pause_s = _READ_BACK_S if self._ordered == orders else _AFTER_ORDER_S
            await anyio.sleep(pause_s * (0.75 + 0.5 * self._rng.random()))

    async def step(self) -> None:
        """Read back, decide, and order at most one thing."""
        if self._wanted() is None:
            # A plain service is never asked: it would take the question for a call.
            self.reason = f"the settings name no models for {self._service}"
            return
        state = await self._engine.state()
        if isinstance(state, NoEngine):
            self._state, self.reason = None, state.reason
            return
        self._state = state
        if self.leaving:
            self.phase, self.reason = Phase.LEAVING, "the endpoint leaves"
            return
        wanted = self._wanted()
        if wanted is None:
            return
        decided_s = self._now_s()
        step = self._orders.decide(wanted, state, decided_s)
        if isinstance(step, Hold):
            self._hold(step, wanted, state)
            await self._tidy_turn(state, wanted)
        elif isinstance(step, Order):
            await self._send(step, decided_s)
        elif await self._has_slot(step, decided_s):
            await self._drain_and_send(step, decided_s)
        self._gate.set_open(self._serves(wanted, state))

    def row(self) -> OrderRow:
        """Return what to tell the others."""
        wanted, state = self._wanted(), self._state
        if wanted is None or state is None:
            return OrderRow(self._endpoint_id, self.phase, done=False, serves=False, fence=0)
        return OrderRow(
            self._endpoint_id,
            self.phase,
            done=state.fulfils(wanted),
            serves=self._serves(wanted, state),
            fence=wanted.fence,
        )

    def hear(self, row: OrderRow) -> None:
        """Take in what another endpoint said of itself."""
        self._heard.put(row, self._now_s())

    def _wanted(self) -> Wanted | None:
        """Return what the settings want, if they know the service and it is an engine's."""
        service = self._view().services.get(self._service)
        if service is None or service.kind != "engine" or not service.models:
            return None
        return wanted_of(self._view(), self._service)

    def _serves(self, wanted: Wanted, state: EngineState) -> bool:
        return state.serves(wanted) and self.phase in (Phase.SERVING, Phase.INTENDS)

    def _hold(self, step: Hold, wanted: Wanted, state: EngineState) -> None:
        self.reason = step.reason
        if state.is_loading:
            self.phase = Phase.LOADING
        elif state.serves(wanted):
            self._rollout.withdraw()
            self.phase = Phase.SERVING

    async def _has_slot(self, step: NeedSlot, decided_s: float) -> bool:
        """Whether this endpoint may load; who has begun keeps its slot through a failed load.

        So a version that can't be loaded takes one endpoint of the service and not all of them.
        """
        if self.phase is Phase.LOADING:
            return True
        if self.phase is Phase.DRAINING:
            return await self._keeps_turn(step.interrupts)
        decision = await self._decide(step.interrupts)
        if not isinstance(decision, Go):
            reason = decision.reason if isinstance(decision, Stay) else "queueing up on the log"
            self.phase, self.reason = Phase.INTENDS, reason
            return False
        if self._now_s() - decided_s > _STALE_S:
            self.reason = "paused between asking and acting; asking again"
            return False
        return True

    async def _decide(self, interrupts: bool) -> TurnStep:
        """Decide by the log's turns; without the log, engines that serve nothing ask the others.

        Such a load takes nothing away from callers, and the store itself refuses what is too much
        for it, so a host that is replaced in an outage need not stay empty until its end.
        """
        if self._turns is not None and await self._turns.refresh():
            return await self._by_turn(self._turns, interrupts)
        if self._turns is not None and interrupts:
            return Stay("the log does not answer; no endpoint stops serving until it does")
        for row in await self._peers.exchange(self.row()):
            self.hear(row)
        self._heard.drop_older(self._now_s() - _ROW_LIFE_S)
        return self._rollout.decide(
            self._peers.listed(), self._heard, self._limits(), interrupts, self._now_s()
        )

    async def _by_turn(self, turns: TurnLog, interrupts: bool) -> TurnStep:
        """Take the next step; only who is next in turn asks the others, and each once a step."""
        limits = self._limits()
        is_near = self._turn_system.is_near(turns.queue, limits)
        answers = await self._peers.exchange(self.row()) if is_near else []
        step = self._turn_system.decide(
            turns.queue, self._peers.listed(), answers, limits, interrupts, self._now_s()
        )
        if isinstance(step, TakeTurn):
            self._tidy_until_s = self._now_s() + _LATE_TAKE_S
            await turns.take(self._endpoint_id)
        elif isinstance(step, RenewTurn):
            await turns.renew(self._endpoint_id)
        elif isinstance(step, EndTurn):
            await turns.end(step)
        return step

    async def _keeps_turn(self, interrupts: bool) -> bool:
        """Whether an endpoint that has stopped serving may go on to its load.

        Load: its process was paused while it drained and others ended its turn, or the log went
        down. It serves again instead of loading beside them or staying out for the whole outage.
        """
        if self._turns is None or not interrupts:
            return True
        if not await self._turns.refresh() or self._turns.queue.turn(self._endpoint_id) is None:
            self.phase, self.reason = Phase.INTENDS, "the log does not show this endpoint's turn"
            return False
        await self._renew_turn(self._turns)
        self.reason = "renewing the turn on the log"
        return self._turn_system.holds(self._turns.queue, self._now_s())

    async def _renew_turn(self, turns: TurnLog) -> None:
        if self._turn_system.renews(turns.queue, self._now_s()):
            await turns.renew(self._endpoint_id)

    async def _tidy_turn(self, state: EngineState, wanted: Wanted) -> None:
        """Renew the turn while a load is under way; end it once it is not needed any more."""
        turns = self._turns
        own = turns.queue.turn(self._endpoint_id) if turns is not None else None
        if turns is None or (own is None and self._now_s() > self._tidy_until_s):
            return
        if not await turns.refresh():
            return
        own = turns.queue.turn(self._endpoint_id)
        if own is None:
            return
        if self.phase is Phase.SERVING and state.fulfils(wanted):
            await turns.end(EndTurn(self._endpoint_id, own.renewed_at))
        else:
            await self._renew_turn(turns)

    async def _drain_and_send(self, step: NeedSlot, decided_s: float) -> None:
        """Stop taking work, wait for what runs without a limit of time, then order."""
        self._rollout.withdraw()
        self.phase = Phase.DRAINING
        self._gate.set_open(False)
        if self._gate.running():
            self.reason = f"waiting for {self._gate.running()} requests to end"
            return
        await self._send(step.order, decided_s)

    async def _send(self, order: Order, decided_s: float) -> None:
        if self._now_s() - decided_s > _STALE_S:
            self.reason = "paused between reading back and ordering; reading back again"
            return
        self._ordered += 1
        outcome = await self._engine.order(order)
        if isinstance(outcome, OrderRefused):
            self._orders.ordered(self._now_s(), refused=True)
            self.reason = f"the engine refused: {outcome.reason}"
            return
        self._orders.ordered(self._now_s(), refused=False)
        self.reason = f"ordered: {type(outcome).__name__}"
        if self.phase is Phase.DRAINING and not isinstance(outcome, OrderFenced):
            self.phase = Phase.LOADING

    def _limits(self) -> RolloutLimits:
        view = self._view()
        engines = sum(service.kind == "engine" for service in view.services.values())
        least = view.services[self._service].min_serving
        return RolloutLimits.share(least, view.weights.parallel_loads, engines)
