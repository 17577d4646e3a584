"""Requests from other processes of the fleet to a sidecar."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import attrs

from beryljunction.outcomes import ExecutionStatus, Refusal, RefusalCode
from beryljunction.servers import Receive, read_body
from beryljunction.sidecar.writers import ResponseWriter
from beryljunction.wire import decode

__all__ = ["Call", "Handler"]

_MAX_CONTROL_MESSAGE_BYTES = 262_144

T = TypeVar("T")


@attrs.frozen
class Call:
    """One HTTP request from another process of the fleet; its fleet key has been checked."""

    headers: dict[bytes, bytes]
    receive: Receive
    writer: ResponseWriter

    async def read_message(self, cls: type[T]) -> T | None:
        """Decode the body; send a refusal and return None when that fails."""
        try:
            return decode(await read_body(self.receive, _MAX_CONTROL_MESSAGE_BYTES) or b"", cls)
        except ValueError as error:
            refusal = Refusal(RefusalCode.BAD_REQUEST, str(error), ExecutionStatus.UNKNOWN)
            await self.writer.refuse(refusal, "")
            return None


Handler = Callable[[Call], Awaitable[None]]
