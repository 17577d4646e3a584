import asyncio

import anyio
import pytest

from beryljunction.timeouts import fail_after, move_on_after
from stalls import run_virtually


async def sleep_within(limit_s, sleep_s=60.0, stall_s=0.0):
    """Return whether a sleep was cancelled by its limit, and how long it took without the stall."""
    loop = asyncio.get_running_loop()

    def stall():
        loop.now_s += stall_s

    started_s = loop.time()
    with move_on_after(limit_s) as scope:
        loop.call_later(0.001, stall)
        await anyio.sleep(sleep_s)
    return scope.cancelled_caught, loop.time() - started_s - stall_s


class TestMoveOnAfter:
    @pytest.mark.parametrize("limit_s", [0.25, 1.0, 12.5])
    def test_cancels_the_block_at_the_limit(self, limit_s):
        """Guards against callers that learn late that a peer doesn't answer."""
        is_cancelled, took_s = run_virtually(sleep_within(limit_s))

        assert is_cancelled
        assert took_s == pytest.approx(limit_s, rel=0.01)

    def test_block_that_ends_in_time_is_not_cancelled(self):
        is_cancelled, took_s = run_virtually(sleep_within(0.25, sleep_s=0.24))

        assert not is_cancelled
        assert took_s == pytest.approx(0.24)

    @pytest.mark.parametrize("limit_s", [0.25, 1.0, 12.5])
    @pytest.mark.parametrize("stall_s", [0.2, 3.0, 60.0])
    def test_stall_uses_up_a_tenth_of_the_limit_and_a_tenth_of_a_second(self, limit_s, stall_s):
        """Guards against a peer that gets less time to answer because this process stalled."""
        is_cancelled, took_s = run_virtually(sleep_within(limit_s, 200.0, stall_s))

        assert is_cancelled
        assert limit_s - min(0.1 * limit_s, 0.1) <= took_s <= limit_s * 1.01

    def test_cancellation_from_outside_is_passed_on(self):
        async def cancel():
            task = asyncio.ensure_future(sleep_within(5.0))
            await anyio.sleep(1.0)
            task.cancel()
            await task

        with pytest.raises(asyncio.CancelledError):
            run_virtually(cancel())


class TestFailAfter:
    def test_raises_at_the_limit(self):
        async def fail():
            with fail_after(0.25):
                await anyio.sleep(5.0)

        with pytest.raises(TimeoutError, match=r"within 0\.25 s"):
            run_virtually(fail())

    def test_without_a_limit_waits(self):
        async def wait():
            with fail_after(None):
                await anyio.sleep(60.0)
            return "done"

        assert run_virtually(wait()) == "done"
