"""Transfer of cached prefixes from a leaving endpoint to the endpoints that get its chats next."""

import collections
import time
from collections.abc import Callable, Iterator

import anyio
import httpcore

from beryljunction.outcomes import ExecutionStatus, Refusal, RefusalCode
from beryljunction.sidecar.calls import Call
from beryljunction.sidecar.kv import KvClient
from beryljunction.systems import (
    AdmissionController,
    HandoverPlanner,
    Transfer,
    TransferResult,
    wants_prefix,
)
from beryljunction.tables import EndpointTable, Prefix, PrefixTable
from beryljunction.timeline import Timeline
from beryljunction.wire import (
    FLEET_KEY_HEADER,
    OUTCOME_HEADER,
    PREFIX_PATH,
    Outcome,
    PrefixOffer,
    PrefixTaken,
    decode,
    encode,
)

__all__ = ["PrefixSender", "PrefixReceiver"]

_LEAVING_POLL_S = 0.05
# Interval at which a draining sidecar looks for chats whose answers have ended since the last pass.
_PASS_INTERVAL_S = 0.5
# With one transfer at a time most of the time is lost to round trips (some 15 prefixes of 6,000
# tokens took 1.2 s). Many at once would slow down the answers that are still being decoded here.
_MAX_PARALLEL_TRANSFERS = 4
_MAX_PARALLEL_IMPORTS = 2
_CONNECTION_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


class PrefixSender:
    """Transfers prefixes while the endpoint leaves, a few at a time, beside answers in flight.

    The transfers start when the endpoint begins to leave. The last answer may end minutes later,
    and most chats return before that. They pause while admitted requests wait for the engine.

    Args:
        members: Returns the known endpoints.

    Attributes:
        limit_s: Maximum time that the handover delays a stop; 0 disables the handover.
    """

    def __init__(
        self,
        planner: HandoverPlanner,
        admission: AdmissionController,
        prefixes: PrefixTable,
        kv: KvClient,
        pool: httpcore.AsyncConnectionPool,
        fleet_key: bytes,
        members: Callable[[], EndpointTable],
        timeline: Timeline,
    ) -> None:
        self.limit_s = 0.0
        self.planner = planner
        self._admission = admission
        self._prefixes = prefixes
        self._kv = kv
        self._pool = pool
        self._headers = [(FLEET_KEY_HEADER, fleet_key)]
        self._members = members
        self._timeline = timeline
        self._lock = anyio.Lock()

    async def run(self) -> None:
        """Transfer prefixes while the endpoint leaves, until cancelled."""
        while True:
            if self._admission.leaving:
                await self._transfer_all()
                await anyio.sleep(_PASS_INTERVAL_S)
            else:
                self.planner.reset()
                await anyio.sleep(_LEAVING_POLL_S)

    async def transfer_remaining(self) -> None:
        """Transfer the rest before a stop, when nothing is in flight, for at most `limit_s`."""
        with anyio.move_on_after(self.limit_s):
            await self._transfer_all()

    async def _transfer_all(self) -> None:
        if self.limit_s <= 0.0:
            return
        async with self._lock:
            busy = {work.chat_key for work in self._admission.requests if work.chat_key is not None}
            plan = self.planner.plan(self._prefixes, busy, self._members(), time.monotonic())
            counts: collections.Counter[TransferResult] = collections.Counter()
            try:
                async with anyio.create_task_group() as group:
                    for _ in range(_MAX_PARALLEL_TRANSFERS):
                        group.start_soon(self._run_transfers, plan, counts)
            finally:
                if counts:
                    detail = " ".join(f"{key}={count}" for key, count in sorted(counts.items()))
                    self._timeline.add("prefixes_handed_over", detail=detail)

    async def _run_transfers(
        self, transfers: Iterator[Transfer], counts: collections.Counter[TransferResult]
    ) -> None:
        """Run transfers one after the other; several tasks share the same plan."""
        for transfer in transfers:
            if not self._admission.leaving or self._admission.requests.waiting_count:
                return
            if self.planner.may_start(transfer):
                counts[await self._transfer(transfer)] += 1
            else:
                self.planner.skipped(transfer)
                await anyio.lowlevel.checkpoint()

    async def _transfer(self, transfer: Transfer) -> TransferResult:
        """Transfer one prefix within its time limit; a failure costs its chat one cold prefill."""
        result = TransferResult.EXPORT_FAILED
        self.planner.started(transfer)
        with anyio.move_on_after(transfer.limit_s):
            exported = await self._kv.export(transfer.chat_id)
            if exported is not None and exported.tokens == 0:
                result = TransferResult.EVICTED
            elif exported is not None:
                # A timeout from here on counts as a failure of the successor.
                result = TransferResult.SUCCESSOR_FAILED
                result = await self._offer(transfer, exported.description)
        self.planner.ended(transfer, result)
        return result

    async def _offer(self, transfer: Transfer, description: str) -> TransferResult:
        own_id = self._admission.pointers.endpoint_id
        idle_s = time.monotonic() - transfer.used_s
        offer = PrefixOffer(transfer.chat_key, transfer.chat_id, own_id, idle_s, description)
        url = f"http://{transfer.successor.address}{PREFIX_PATH}"
        try:
            response = await self._pool.request(
                "POST", url, headers=self._headers, content=encode(offer)
            )
            if dict(response.headers).get(OUTCOME_HEADER) != Outcome.DONE.encode():
                return TransferResult.SUCCESSOR_FAILED
            answer = decode(response.content, PrefixTaken)
        except (*_CONNECTION_ERRORS, ValueError):
            return TransferResult.SUCCESSOR_FAILED
        return TransferResult.TAKEN if answer.tokens else TransferResult.DECLINED


class PrefixReceiver:
    """Imports prefixes of leaving endpoints into the engine of this sidecar.

    The pointer to an imported prefix is kept only in this sidecar, and set only after the import.
    If this endpoint goes down, the pointer is lost with it, so that no chat is sent to a lost
    prefix.
    """

    def __init__(self, admission: AdmissionController, prefixes: PrefixTable, kv: KvClient) -> None:
        self._admission = admission
        self._prefixes = prefixes
        self._kv = kv
        # Several endpoints may leave at once, and imports share the engine's memory with answers.
        self._limiter = anyio.CapacityLimiter(_MAX_PARALLEL_IMPORTS)

    async def handle(self, call: Call) -> None:
        """Handle a prefix offer from a leaving sidecar."""
        offer = await call.read_message(PrefixOffer)
        if offer is None:
            return
        refusal = self._check_available()
        tokens = await self._import(offer) if refusal is None else None
        if tokens is not None:
            await call.writer.done(encode(PrefixTaken(tokens)))
            return
        failed = Refusal(
            RefusalCode.ENDPOINT_FAILED, "the engine did not import it", ExecutionStatus.NO
        )
        await call.writer.refuse(refusal or failed, "")

    def _check_available(self) -> Refusal | None:
        if self._admission.leaving:
            return Refusal(RefusalCode.LEAVING, "the endpoint is leaving", ExecutionStatus.NO)
        if self._admission.paused:
            return Refusal(RefusalCode.OVERLOADED, self._admission.paused, ExecutionStatus.NO)
        return None

    async def _import(self, offer: PrefixOffer) -> int | None:
        """Import a prefix; return its length in tokens, 0 if declined, None on failure."""
        if not self._is_wanted(offer):
            return 0
        async with self._limiter:
            tokens = await self._kv.import_prefix(offer.description)
        if not tokens:
            return None
        # The chat may have returned during the import and have a newer pointer by now.
        if self._is_wanted(offer):
            now_s = time.monotonic()
            pointers = self._admission.pointers
            pointers.record_location(offer.chat_key, pointers.endpoint_id, tokens, now_s)
            used_s = now_s - offer.idle_s
            self._prefixes.put(Prefix(offer.chat_key, offer.chat_id, tokens, used_s))
        return tokens

    def _is_wanted(self, offer: PrefixOffer) -> bool:
        pointers = self._admission.pointers
        pointer = pointers.look_up(offer.chat_key, time.monotonic())
        return wants_prefix(pointer, pointers.endpoint_id, offer.sender_id)
