"""What a streamed frame costs: entry and sidecar against a bare one-hop relay, side by side.

Both carry the same paced streams at the same time, so that whatever else the machine does slows
both alike. The figure is CPU time of the relaying processes over frames delivered; the source and
the reader run in processes of their own.
"""

import contextlib
import json
import sys
from collections.abc import AsyncIterator

import anyio
import anyio.abc
import attrs

from beryljunction.bench.relay_parts import BENCH_KEY, MODEL
from beryljunction.bench.usage import usage_of
from beryljunction.errors import StartError
from beryljunction.servers import create_client_pool

__all__ = ["RelayFigures", "RelayLoad", "measure_relay"]

_PART = "beryljunction.bench.relay_parts"
_START_S = 20.0
_MEGABYTE = 1_048_576
_FRAME_END = b"\n\n"


@attrs.frozen
class RelayLoad:
    """The load of one measurement.

    Attributes:
        streams: Open streams at each relay.
        frame_interval_s: Time between two frames of a stream.
        duration_s: Time over which CPU is counted.
        warm_up_s: Time before that, for connections to open.
    """

    streams: int = 60
    frame_interval_s: float = 0.02
    duration_s: float = 8.0
    warm_up_s: float = 2.0


@attrs.frozen
class RelayFigures:
    """What was measured; CPU in microseconds a frame, memory resident."""

    relay_cpu_us_per_frame: float
    entry_cpu_us_per_frame: float
    sidecar_cpu_us_per_frame: float
    bare_cpu_us_per_frame: float
    ratio: float
    entry_rss_mb: float
    sidecar_rss_mb: float
    frames: int

    def to_json(self) -> str:
        """Return the figures as one JSON object."""
        fields = attrs.asdict(self)
        rss_mb = {"entry": fields.pop("entry_rss_mb"), "sidecar": fields.pop("sidecar_rss_mb")}
        return json.dumps({**fields, "rss_mb": rss_mb})


@attrs.define
class _Part:
    """One process of the measurement."""

    address: str
    pid: int

    def cpu_s(self) -> float:
        """Return the CPU time of the process so far, user and system."""
        return usage_of(self.pid).cpu_s

    def rss_mb(self) -> float:
        """Return the resident memory of the process."""
        return usage_of(self.pid).resident_bytes / _MEGABYTE


@contextlib.asynccontextmanager
async def _part(role: str, target: str = "") -> AsyncIterator[_Part]:
    command = [sys.executable, "-m", _PART, role, target]
    async with await anyio.open_process(command, stderr=None) as process:
        try:
            assert process.stdout is not None
            address = b""
            with anyio.move_on_after(_START_S):
                address = await process.stdout.receive()
            if not address:
                raise StartError(f"{role}: expected its address within {_START_S:g} s, got none")
            yield _Part(address.decode().strip(), process.pid)
        finally:
            process.kill()


class _Reader:
    """Reads streams at one relay and counts their frames."""

    def __init__(self, address: str, load: RelayLoad) -> None:
        self._url = f"http://{address}/v1/chat/completions"
        self._load = load
        self.frames = 0

    async def run(self, group: anyio.abc.TaskGroup) -> None:
        """Open the streams, spread over one interval."""
        for _ in range(self._load.streams):
            group.start_soon(self._read)
            await anyio.sleep(self._load.frame_interval_s / self._load.streams)

    async def _read(self) -> None:
        seconds = self._load.duration_s + 2 * self._load.warm_up_s
        body = {
            "model": MODEL,
            "messages": [],
            "stream": True,
            "max_tokens": int(seconds / self._load.frame_interval_s),
            "frame_interval_s": self._load.frame_interval_s,
        }
        headers = [("authorization", f"Bearer {BENCH_KEY}")]
        async with (
            create_client_pool() as pool,
            pool.stream(
                "POST", self._url, headers=headers, content=json.dumps(body).encode()
            ) as response,
        ):
            async for chunk in response.aiter_stream():
                self.frames += chunk.count(_FRAME_END)


async def measure_relay(load: RelayLoad) -> RelayFigures:
    """Carry the load through both relays at the same time and return what each frame cost."""
    async with (
        _part("source") as source,
        _part("bare", source.address) as bare,
        _part("sidecar", source.address) as sidecar,
        _part("entry", sidecar.address) as entry,
        anyio.create_task_group() as group,
    ):
        readers = [_Reader(entry.address, load), _Reader(bare.address, load)]
        for reader in readers:
            group.start_soon(reader.run, group)
        await anyio.sleep(load.warm_up_s)
        parts = (entry, sidecar, bare)
        frames = [reader.frames for reader in readers]
        before_s = [part.cpu_s() for part in parts]
        await anyio.sleep(load.duration_s)
        relayed, bared = (r.frames - before for r, before in zip(readers, frames, strict=True))
        used_s = [part.cpu_s() - start_s for part, start_s in zip(parts, before_s, strict=True)]
        rss_mb = (entry.rss_mb(), sidecar.rss_mb())
        group.cancel_scope.cancel()
    return _figures(used_s, relayed, bared, *rss_mb)


def _figures(
    used_s: list[float], relayed: int, bared: int, entry_rss_mb: float, sidecar_rss_mb: float
) -> RelayFigures:
    entry_us, sidecar_us = (used * 1e6 / relayed for used in used_s[:2])
    bare_us = used_s[2] * 1e6 / bared
    return RelayFigures(
        relay_cpu_us_per_frame=round(entry_us + sidecar_us, 1),
        entry_cpu_us_per_frame=round(entry_us, 1),
        sidecar_cpu_us_per_frame=round(sidecar_us, 1),
        bare_cpu_us_per_frame=round(bare_us, 1),
        ratio=round((entry_us + sidecar_us) / bare_us, 3),
        entry_rss_mb=round(entry_rss_mb, 1),
        sidecar_rss_mb=round(sidecar_rss_mb, 1),
        frames=relayed,
    )
