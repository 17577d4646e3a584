"""Orders from a sidecar to the engine beside it.

The engine's side, HTTP with JSON:

``GET /v1/state`` answers 200 with what the engine holds::

    {"models": {"drafter": "v3"}, "adapters": ["gu"], "role": "both",
     "loading": {"drafter": "v4"}, "loading_adapters": [], "fence": 17, "failed": ""}

``fence`` is left out by an engine that ignores fencing numbers; ``failed`` says why the last load
failed and is empty again after the next order.

``PUT /v1/orders`` names the whole state to hold, so that it may be repeated::

    {"fence": 18, "models": {"drafter": "v4"}, "adapters": ["gu"], "role": "both"}

200 means taken (loads go on afterwards; the state says how far), 409 ``{"fence": 20}`` that the
engine took an order with a higher number before, 429 or 503 that it can't take one now. What is
not named is dropped at once, a load of it is cancelled.
"""

import abc
import json
import random
import time
from collections.abc import Callable, Mapping
from typing import Any

import anyio
import attrs
import httpcore

from beryljunction.engines.turns import TurnLog
from beryljunction.servers import Receive, Send, read_body, respond
from beryljunction.settings.schema import FleetView
from beryljunction.systems.orders import Hold, NeedSlot, Order, OrderSystem, wanted_of
from beryljunction.systems.rollout import Go, RolloutLimits, RolloutSystem, Stay
from beryljunction.systems.turns import EndTurn, RenewTurn, TakeTurn, TurnStep, TurnSystem
from beryljunction.tables.orders import EngineState, OrderRow, OrderRowTable, Phase, Wanted
from beryljunction.wire import FLEET_KEY_HEADER, decode, encode

__all__ = [
    "ORDERS_PATH",
    "EngineControl",
    "HttpEngineControl",
    "HttpOrderPeers",
    "NoEngine",
    "OrderFenced",
    "OrderOutcome",
    "OrderPeers",
    "OrderRefused",
    "OrderRunner",
    "OrderTaken",
    "OrderUnknown",
    "WorkGate",
    "answer_orders",
]

ORDERS_PATH = "/beryl/v1/orders"
_STATE_PATH = "/v1/state"
_ENGINE_ORDERS_PATH = "/v1/orders"
_ANSWER_S = 2.0
_READ_BACK_S = 1.0
_AFTER_ORDER_S = 0.05
_ROW_LIFE_S = 15.0
# A decision that waited longer than this before it was carried out (the process was paused) is
# made anew: what the others said is no longer true.
_STALE_S = 2.0
_ROW_BYTES = 4096
# A copy of a take that was delayed on its way may still bring a turn that nobody needs.
_LATE_TAKE_S = 60.0


@attrs.frozen
class OrderTaken:
    """The engine took the order."""


@attrs.frozen
class OrderFenced:
    """The engine took an order with a higher number before."""


@attrs.frozen
class OrderRefused:
    """The engine did not take the order now."""

    reason: str


@attrs.frozen
class OrderUnknown:
    """No answer: the engine may have taken it; the next read-back tells."""


OrderOutcome = OrderTaken | OrderFenced | OrderRefused | OrderUnknown


@attrs.frozen
class NoEngine:
    """The engine did not say what it holds."""

    reason: str


class EngineControl(abc.ABC):
    """How a sidecar meets the orders interface of its engine."""

    @abc.abstractmethod
    async def state(self) -> EngineState | NoEngine:
        """Read back what the engine holds."""

    @abc.abstractmethod
    async def order(self, order: Order) -> OrderOutcome:
        """Tell the engine what to hold."""


class OrderPeers(abc.ABC):
    """How a sidecar meets the other sidecars of its service."""

    @abc.abstractmethod
    def listed(self) -> list[str]:
        """Return the other endpoints of the service by the host list."""

    @abc.abstractmethod
    async def exchange(self, own: OrderRow) -> list[OrderRow]:
        """Tell every other endpoint how far this one is; return what those that answer say."""


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


class HttpEngineControl(EngineControl):
    """An engine's orders interface over HTTP."""

    def __init__(self, address: str, pool: httpcore.AsyncConnectionPool) -> None:
        self._address = address
        self._pool = pool

    async def state(self) -> EngineState | NoEngine:
        """Read back; see :meth:`EngineControl.state`."""
        try:
            response = await self._request("GET", _STATE_PATH, b"")
            if response.status != 200:
                return NoEngine(f"the engine answered {response.status}")
            return EngineState.from_data(json.loads(response.content))
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            return NoEngine(f"no answer from the engine: {type(error).__name__}")
        except ValueError as error:
            return NoEngine(str(error))

    async def order(self, order: Order) -> OrderOutcome:
        """Order; see :meth:`EngineControl.order`."""
        body = json.dumps(attrs.asdict(order)).encode()
        try:
            response = await self._request("PUT", _ENGINE_ORDERS_PATH, body)
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            return OrderUnknown()
        if response.status == 200:
            return OrderTaken()
        if response.status == 409:
            return OrderFenced()
        return OrderRefused(f"status {response.status}")

    async def _request(self, method: str, path: str, body: bytes) -> httpcore.Response:
        return await self._pool.request(
            method,
            self._address + path,
            headers=[("content-type", "application/json")],
            content=body,
            extensions={"timeout": dict.fromkeys(("connect", "read", "write", "pool"), _ANSWER_S)},
        )


class HttpOrderPeers(OrderPeers):
    """The other sidecars of the service over HTTP."""

    def __init__(
        self,
        addresses: Callable[[], Mapping[str, str]],
        pool: httpcore.AsyncConnectionPool,
        fleet_key: str,
    ) -> None:
        self._addresses = addresses
        self._pool = pool
        self._fleet_key = fleet_key.encode()

    def listed(self) -> list[str]:
        """Return the other endpoints; see :meth:`OrderPeers.listed`."""
        return list(self._addresses())

    async def exchange(self, own: OrderRow) -> list[OrderRow]:
        """Tell and ask all; see :meth:`OrderPeers.exchange`."""
        rows: list[OrderRow] = []
        async with anyio.create_task_group() as group:
            for address in self._addresses().values():
                group.start_soon(self._ask, address, encode(own), rows)
        return rows

    async def _ask(self, address: str, body: bytes, rows: list[OrderRow]) -> None:
        timeouts = dict.fromkeys(("connect", "read", "write", "pool"), _STALE_S / 2)
        try:
            response = await self._pool.request(
                "POST",
                f"http://{address}{ORDERS_PATH}",
                headers=[(FLEET_KEY_HEADER, self._fleet_key)],
                content=body,
                extensions={"timeout": timeouts},
            )
            if response.status == 200:
                rows.append(decode(response.content, OrderRow))
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            return
        except ValueError:
            return


async def answer_orders(runner: OrderRunner, receive: Receive, send: Send) -> None:
    """Answer POST ORDERS_PATH: take in the asker's row, return the own one.

    The caller has checked the fleet's key.
    """
    body: Any = await read_body(receive, _ROW_BYTES)
    try:
        runner.hear(decode(body or b"", OrderRow))
    except ValueError as error:
        await respond(send, 400, str(error).encode(), content_type=b"text/plain")
        return
    await respond(send, 200, encode(runner.row()))
