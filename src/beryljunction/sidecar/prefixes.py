"""Cached prefixes on their way from a leaving sidecar to those that are asked next."""

import collections
import time
from collections.abc import Callable, Iterator

import anyio
import httpcore

from beryljunction.outcomes import Ran, Refusal, RefusalCode
from beryljunction.sidecar.calls import Call
from beryljunction.sidecar.kv import KvClient
from beryljunction.systems import AdmissionSystem, Handed, HandoverSystem, Transfer, wants_prefix
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

__all__ = ["PrefixHandover", "PrefixReceiver"]

_LOOK_S = 0.05
# Chats whose answers have ended since; a drained sidecar goes through its table this often.
_AGAIN_S = 0.5
# One at a time left most of the time to the round trips (some 15 prefixes of 6,000 tokens took
# 1.2 s); many would hold up the answers that are still decoded here.
_PARALLEL_TRANSFERS = 4
_PARALLEL_IMPORTS = 2
_BROKEN = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


class PrefixHandover:
    """Hands prefixes on while the endpoint leaves, a few at a time, beside the answers in flight.

    It begins with the leaving and not with the end of the last answer: that may be minutes away,
    and most chats return before. It waits while admitted requests wait for the engine.

    Args:
        members: Returns the endpoints as this process knows them.

    Attributes:
        limit_s: Longest time that a stop is held up by it; none is handed on at 0.
    """

    def __init__(
        self,
        system: HandoverSystem,
        admission: AdmissionSystem,
        prefixes: PrefixTable,
        kv: KvClient,
        pool: httpcore.AsyncConnectionPool,
        fleet_key: bytes,
        members: Callable[[], EndpointTable],
        timeline: Timeline,
    ) -> None:
        self.limit_s = 0.0
        self.system = system
        self._admission = admission
        self._prefixes = prefixes
        self._kv = kv
        self._pool = pool
        self._headers = [(FLEET_KEY_HEADER, fleet_key)]
        self._members = members
        self._timeline = timeline
        self._lock = anyio.Lock()

    async def run(self) -> None:
        """Hand prefixes on whenever the endpoint leaves, until cancelled."""
        while True:
            if self._admission.leaving:
                await self._pass_on()
                await anyio.sleep(_AGAIN_S)
            else:
                self.system.reset()
                await anyio.sleep(_LOOK_S)

    async def finish(self) -> None:
        """Hand on what is left now that nothing is in flight; a stop waits for it, not for long."""
        with anyio.move_on_after(self.limit_s):
            await self._pass_on()

    async def _pass_on(self) -> None:
        if self.limit_s <= 0.0:
            return
        async with self._lock:
            busy = {work.chat_key for work in self._admission.requests if work.chat_key is not None}
            plan = self.system.plan(self._prefixes, busy, self._members(), time.monotonic())
            counts: collections.Counter[Handed] = collections.Counter()
            try:
                async with anyio.create_task_group() as group:
                    for _ in range(_PARALLEL_TRANSFERS):
                        group.start_soon(self._work_off, plan, counts)
            finally:
                if counts:
                    detail = " ".join(f"{key}={count}" for key, count in sorted(counts.items()))
                    self._timeline.add("prefixes_handed_over", detail=detail)

    async def _work_off(
        self, transfers: Iterator[Transfer], counts: collections.Counter[Handed]
    ) -> None:
        """Make one transfer after the other, as one of several tasks with the same plan."""
        for transfer in transfers:
            if not self._admission.leaving or self._admission.requests.waiting_count:
                return
            if self.system.may_go(transfer):
                counts[await self._transfer(transfer)] += 1
            else:
                self.system.skipped(transfer)
                await anyio.lowlevel.checkpoint()

    async def _transfer(self, transfer: Transfer) -> Handed:
        """Move one prefix within its limit; whatever fails costs its chat one cold prefill."""
        handed = Handed.EXPORT_FAILED
        self.system.started(transfer)
        with anyio.move_on_after(transfer.limit_s):
            exported = await self._kv.export(transfer.chat_id)
            if exported is not None and exported.tokens == 0:
                handed = Handed.EVICTED
            elif exported is not None:
                # From here on a transfer that takes too long is the successor's fault.
                handed = Handed.SUCCESSOR_FAILED
                handed = await self._offer(transfer, exported.description)
        self.system.ended(transfer, handed)
        return handed

    async def _offer(self, transfer: Transfer, description: str) -> Handed:
        own_id = self._admission.pointers.endpoint_id
        idle_s = time.monotonic() - transfer.used_s
        offer = PrefixOffer(transfer.chat_key, transfer.chat_id, own_id, idle_s, description)
        url = f"http://{transfer.successor.address}{PREFIX_PATH}"
        try:
            response = await self._pool.request(
                "POST", url, headers=self._headers, content=encode(offer)
            )
            if dict(response.headers).get(OUTCOME_HEADER) != Outcome.DONE.encode():
                return Handed.SUCCESSOR_FAILED
            taken = decode(response.content, PrefixTaken)
        except (*_BROKEN, ValueError):
            return Handed.SUCCESSOR_FAILED
        return Handed.TAKEN if taken.tokens else Handed.DECLINED


class PrefixReceiver:
    """Takes prefixes of leaving endpoints into the engine here.

    Only this sidecar remembers that the prefix is here, and only once its engine has it. If it
    goes, the pointer goes with it, and nobody is left who would send the chat after it.
    """

    def __init__(self, admission: AdmissionSystem, prefixes: PrefixTable, kv: KvClient) -> None:
        self._admission = admission
        self._prefixes = prefixes
        self._kv = kv
        # Several endpoints may leave at once; imports share the engine's memory with its answers.
        self._limiter = anyio.CapacityLimiter(_PARALLEL_IMPORTS)

    async def handle(self, call: Call) -> None:
        """Answer the offer of a leaving sidecar."""
        offer = await call.message(PrefixOffer)
        if offer is None:
            return
        refusal = self._refusal()
        tokens = await self._take(offer) if refusal is None else None
        if tokens is not None:
            await call.writer.done(encode(PrefixTaken(tokens)))
            return
        failed = Refusal(RefusalCode.ENDPOINT_FAILED, "the engine did not import it", Ran.NO)
        await call.writer.refuse(refusal or failed, "")

    def _refusal(self) -> Refusal | None:
        if self._admission.leaving:
            return Refusal(RefusalCode.LEAVING, "the endpoint is leaving", Ran.NO)
        if self._admission.paused:
            return Refusal(RefusalCode.OVERLOADED, self._admission.paused, Ran.NO)
        return None

    async def _take(self, offer: PrefixOffer) -> int | None:
        """Import; the length that is here now, 0 when it was declined, None when it failed."""
        if not self._wants(offer):
            return 0
        async with self._limiter:
            tokens = await self._kv.take(offer.description)
        if not tokens:
            return None
        # The chat may have come back during the import, and its pointer be newer than this one.
        if self._wants(offer):
            now_s = time.monotonic()
            pointers = self._admission.pointers
            pointers.placed(offer.chat_key, pointers.endpoint_id, tokens, now_s)
            used_s = now_s - offer.idle_s
            self._prefixes.put(Prefix(offer.chat_key, offer.chat_id, tokens, used_s))
        return tokens

    def _wants(self, offer: PrefixOffer) -> bool:
        pointers = self._admission.pointers
        row = pointers.look_up(offer.chat_key, time.monotonic())
        return wants_prefix(row, pointers.endpoint_id, offer.sender_id)
