import asyncio
import time

import anyio
import pytest

from beryljunction.timeouts import fail_after, move_on_after
from stalls import run_with_stall

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def sleep_within(limit_s, sleep_s):
    """Return whether a sleep was cancelled by its limit, and how long it took."""
    started_s = time.monotonic()
    with move_on_after(limit_s) as scope:
        await anyio.sleep(sleep_s)
    return scope.cancelled_caught, time.monotonic() - started_s


class TestMoveOnAfter:
    async def test_cancels_the_block_at_the_limit(self):
        is_cancelled, took_s = await sleep_within(0.2, 5.0)

        assert is_cancelled
        assert 0.2 <= took_s < 0.4

    async def test_block_that_ends_in_time_is_not_cancelled(self):
        assert (await sleep_within(0.2, 0.05))[0] is False

    @pytest.mark.parametrize("stall_s", [0.15, 0.5])
    async def test_stall_uses_up_a_small_part_of_the_limit(self, stall_s):
        """Guards against a peer that gets less time to answer because this process stalled."""
        is_cancelled, took_s = await run_with_stall(sleep_within(0.2, 5.0), stall_s)

        assert is_cancelled
        assert stall_s + 0.9 * 0.2 <= took_s < stall_s + 0.4

    async def test_cancellation_from_outside_is_passed_on(self):
        task = asyncio.ensure_future(sleep_within(5.0, 5.0))
        await asyncio.sleep(0.01)
        task.cancel()

        with pytest.raises(asyncio.CancelledError):
            await task


class TestFailAfter:
    async def test_raises_at_the_limit(self):
        with pytest.raises(TimeoutError, match=r"within 0\.05 s"), fail_after(0.05):
            await anyio.sleep(5.0)

    async def test_without_a_limit_waits(self):
        with fail_after(None):
            await anyio.sleep(0.05)
