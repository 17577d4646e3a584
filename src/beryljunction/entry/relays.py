"""One try at one sidecar: its answer brought to the caller, whole.

It takes as many connections as it needs: one that breaks or goes silent is replaced by another,
which goes on after the last frame that was seen.
"""

from contextlib import AbstractAsyncContextManager

import anyio
import attrs

from beryljunction.entry.sidecars import BROKEN, NOT_CONNECTED, SidecarAnswer, SidecarClient
from beryljunction.entry.writers import CallerWriter
from beryljunction.outcomes import Ran, Refusal, RefusalCode
from beryljunction.streams import SequenceChecker, StreamName
from beryljunction.tables import Endpoint
from beryljunction.wire import Attach, Cancel, Envelope, Outcome, refusal_from_body

__all__ = ["Relay"]

# Three connections in a row without a byte of progress: the sidecar is gone, or nothing reaches
# it. More tries would only keep the caller from its error.
_MAX_FAILURES = 3
_BACKOFF_S = 0.1
_HOP_HEADERS = frozenset((b"connection", b"transfer-encoding", b"keep-alive"))


@attrs.frozen
class _Whole:
    """The endpoint's whole answer."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


@attrs.frozen
class _StreamEnd:
    """The stream ended: cleanly, or with the sidecar's error."""

    refusal: Refusal | None


@attrs.frozen
class _Again:
    """Nothing final was said; attach on a new connection."""

    failed: bool


_Step = _Whole | _StreamEnd | _Again | Refusal


class Relay:
    """Brings the answer of one sidecar to one caller.

    Args:
        silence_s: Silence after which a connection is given up and a new one takes its place.
    """

    def __init__(
        self,
        client: SidecarClient,
        endpoint: Endpoint,
        attach: Attach,
        caller: CallerWriter,
        silence_s: float,
    ) -> None:
        self._client = client
        self.endpoint = endpoint
        self._attach = attach
        self._caller = caller
        self._silence_s = silence_s
        self._failures = 0
        self._checker: SequenceChecker | None = None
        self._resumed: StreamName | None = None

    async def run(self, envelope: Envelope, body: bytes) -> Refusal | None:
        """Send the request; None when the caller has its answer."""
        opening = self._client.run(self.endpoint, envelope, body, self._silence_s)
        try:
            step = await self._read(opening)
        except NOT_CONNECTED:
            self._suspect()
            message = "the endpoint's sidecar did not take the connection"
            return Refusal(RefusalCode.ENDPOINT_FAILED, message, Ran.NO, 1.0)
        return await self._follow(step)

    async def resume(self, stream: StreamName) -> Refusal | None:
        """Take up a stream that another connection began; None when the caller has the rest."""
        self._resumed = stream
        return await self._follow(_Again(failed=False))

    async def cancel(self) -> None:
        """Tell the sidecar that the caller hung up."""
        attach = self._attach
        message = Cancel(attach.request_id, attach.account, attach.attempt)
        await self._client.cancel(self.endpoint, message)

    async def _follow(self, step: _Step) -> Refusal | None:
        while isinstance(step, _Again):
            self._failures = self._failures + 1 if step.failed else 0
            if self._failures >= _MAX_FAILURES:
                self._suspect()
                return await self._fail(self._given_up())
            if step.failed:
                await self._client.drop_idle(self.endpoint)
            await anyio.sleep(_BACKOFF_S * self._failures)
            step = await self._attach_once()
        if isinstance(step, Refusal):
            return await self._fail(step)
        if isinstance(step, _Whole):
            await self._caller.answer(step.status, step.headers, step.body)
        elif step.refusal is not None:
            await self._caller.refuse(step.refusal)
        else:
            await self._caller.end()
        return None

    async def _fail(self, refusal: Refusal) -> Refusal | None:
        """End an open stream with the error; before that, leave the next step to the caller."""
        if not self._caller.streaming:
            return refusal
        broken = Refusal(RefusalCode.INCOMPLETE, refusal.message, Ran.YES)
        await self._caller.refuse(broken)
        return None

    async def _attach_once(self) -> _Step:
        last = self._checker.last if self._checker is not None else self._attach.after
        attach = attrs.evolve(self._attach, after=last)
        try:
            return await self._read(self._client.attach(self.endpoint, attach, self._silence_s))
        except NOT_CONNECTED:
            return _Again(failed=True)

    async def _read(self, opening: AbstractAsyncContextManager[SidecarAnswer]) -> _Step:
        """Read one connection to its end; a connection that ends early asks for the next."""
        step: _Step = _Again(failed=True)
        before = self._position()
        try:
            async with opening as answer:
                step = await self._take(answer)
        except BROKEN as error:
            if isinstance(error, NOT_CONNECTED):
                raise
        if self._checker is not None and self._checker.complete:
            return _StreamEnd(None)
        moved = self._position() > before
        return _Again(failed=not moved) if isinstance(step, _Again) and step.failed else step

    def _position(self) -> int:
        return self._checker.last if self._checker is not None else 0

    async def _take(self, answer: SidecarAnswer) -> _Step:
        if answer.outcome is Outcome.STREAM and answer.name is not None:
            if not answer.name.is_rest_of(self._resumed):
                message = "expected a stream that is still kept; its sidecar has started anew"
                return Refusal(RefusalCode.NOT_FOUND, message, Ran.UNKNOWN)
            return await self._take_stream(answer, answer.name)
        if answer.outcome is None:
            return _Again(failed=True)
        body = await answer.response.aread()
        if answer.outcome is Outcome.REFUSAL:
            return refusal_from_body(body)
        if answer.outcome is Outcome.ANSWER:
            headers = [(k, v) for k, v in answer.response.headers if k not in _HOP_HEADERS]
            return _Whole(answer.response.status, headers, body)
        return _Again(failed=False)

    async def _take_stream(self, answer: SidecarAnswer, name: StreamName) -> _Step:
        checker = await self._open_stream(name)
        watch = answer.watch
        async for chunk in answer.response.aiter_stream():
            data = checker.feed(chunk)
            if data:
                # A slow caller holds this up; that is not the sidecar's silence.
                watch.paused = True
                await self._caller.frames(data)
                watch.paused = False
            watch.heard()
            if checker.gap:
                break
        if checker.error is not None:
            return _StreamEnd(refusal_from_body(checker.error))
        return _Again(failed=True)

    async def _open_stream(self, name: StreamName) -> SequenceChecker:
        if self._checker is None:
            self._checker = SequenceChecker(name, self._attach.after)
            await self._caller.open_stream(name)
        else:
            self._checker.restart()
        return self._checker

    def _given_up(self) -> Refusal:
        message = "the connection to the sidecar broke and could not be taken up again"
        return Refusal(RefusalCode.OUTCOME_UNKNOWN, message, Ran.UNKNOWN)

    def _suspect(self) -> None:
        self._client.note_failure(self.endpoint)
