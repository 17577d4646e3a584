"""Claims of idempotency keys, which are ordered by their position in the platform's log."""

import anyio
import anyio.abc

from beryljunction.clocks import boot_time_s
from beryljunction.errors import SettingsError
from beryljunction.stores import Appended, LogClient, LogPage
from beryljunction.systems import (
    ClaimBatch,
    ClaimLimits,
    KeyClaim,
    KeyClaimResolver,
    KeyUnavailable,
    KeyVerdict,
)
from beryljunction.wire import claim_log_stream

__all__ = ["KeyClaims"]

# A stream is followed for this long after the last claim, so that a burst of claims reads it once.
_FOLLOW_IDLE_S = 2.0
_READ_POLL_S = 0.2
_READ_RETRY_S = 0.1
_NO_LOG_RETRY_AFTER_S = 60.0
# A key lives for half the retention. With a shorter life a key could expire while its first attempt
# still waits for its start (30 s by default), and a retry of the caller would run as well.
_MIN_RETENTION_S = 120.0


class _ClaimStream:
    """The claims of this process in the log stream of one shard."""

    def __init__(self, log: LogClient, shard: int, incarnation: str, limits: ClaimLimits) -> None:
        self._log = log
        self._name = claim_log_stream(shard)
        self._resolver = KeyClaimResolver(f"{self._name}.{incarnation}", limits)
        self._waiting: dict[str, anyio.Event] = {}
        self._verdicts: dict[str, KeyVerdict] = {}
        self._last_used_s = 0.0
        self.following = False

    async def settle(self, request_id: str, claim: KeyClaim) -> KeyVerdict:
        """Return the verdict on a claim once its position in the log is known."""
        self._last_used_s = boot_time_s()
        verdict = self._resolver.submit(request_id, claim, self._last_used_s)
        if verdict is not None:
            return verdict
        event = self._waiting[request_id] = anyio.Event()
        try:
            await event.wait()
            return self._verdicts.pop(request_id)
        finally:
            self._waiting.pop(request_id, None)
            self._verdicts.pop(request_id, None)

    async def follow(self) -> None:
        """Append and read claims until none has been made for `_FOLLOW_IDLE_S`."""
        while self._waiting or boot_time_s() - self._last_used_s < _FOLLOW_IDLE_S:
            async with anyio.create_task_group() as group:
                batch = self._resolver.next_batch(boot_time_s())
                if batch is not None:
                    group.start_soon(self._append, batch)
                await self._read()
            for request_id, verdict in self._resolver.tick(boot_time_s()):
                self._resolve(request_id, verdict)
        self.following = False

    async def _append(self, batch: ClaimBatch) -> None:
        outcome = await self._log.append(self._name, batch.batch_id, batch.to_record())
        self._resolver.append_ended(batch, isinstance(outcome, Appended), boot_time_s())

    async def _read(self) -> None:
        after = self._resolver.next_offset - 1 if self._resolver.next_offset else 0
        page = await self._log.read(self._name, after, wait_s=_READ_POLL_S)
        if not isinstance(page, LogPage):
            self._resolver.log_failed(boot_time_s())
            await anyio.sleep(_READ_RETRY_S)
            return
        for record in page.records:
            self._resolver.apply(record.offset, record.data, boot_time_s())

    def _resolve(self, request_id: str, verdict: KeyVerdict) -> None:
        event = self._waiting.get(request_id)
        if event is not None:
            self._verdicts[request_id] = verdict
            event.set()


class KeyClaims:
    """Settles claims of any shard; a stream is opened with the first claim that needs it.

    Args:
        log: The platform's log. Without one, no key can be settled.
        incarnation: Unique id of this process start, which makes its batch ids unique.
        retention_s: How long the log keeps records.

    Raises:
        SettingsError: If the retention is too short for the life of a key.
    """

    def __init__(self, log: LogClient | None, incarnation: str, retention_s: float) -> None:
        if retention_s < _MIN_RETENTION_S:
            problem = (
                f"process.log_retention_s: expected at least {_MIN_RETENTION_S:g} seconds, "
                f"got {retention_s:g}"
            )
            raise SettingsError([problem])
        self._limits = ClaimLimits.within(retention_s)
        self._log = log
        self._incarnation = incarnation
        self._streams: dict[int, _ClaimStream] = {}

    async def settle(
        self, group: anyio.abc.TaskGroup, shard: int, request_id: str, claim: KeyClaim
    ) -> KeyVerdict:
        """Return the verdict on a claim once its position in the log is known.

        Args:
            group: Runs the task that follows the stream; it must outlive the request.
            shard: Number of the key's stream.
            request_id: Identifies the claim until it is settled.
            claim: The claim.
        """
        if self._log is None:
            return KeyUnavailable(_NO_LOG_RETRY_AFTER_S)
        stream = self._streams.get(shard)
        if stream is None:
            stream = self._streams[shard] = _ClaimStream(
                self._log, shard, self._incarnation, self._limits
            )
        if not stream.following:
            stream.following = True
            group.start_soon(stream.follow)
        return await stream.settle(request_id, claim)
