import anyio
import httpcore
import pytest

from beryljunction.watches import WatchList


class TestWatchList:
    def test_silence_beyond_the_limit_ends_the_connection(self):
        watches = WatchList()

        def read_in_vain():
            with watches.watch(limit_s=3.0) as watch:
                watches.tick(watch.heard_s + 2.9)
                assert not watch.fired
                watches.tick(watch.heard_s + 3.1)
                assert watch.fired

        with pytest.raises(httpcore.ReadTimeout):
            _in_a_task(read_in_vain)

    def test_a_slow_caller_is_no_silence(self):
        watches = WatchList()

        def wait_for_the_caller():
            with watches.watch(limit_s=3.0) as watch:
                watch.paused = True
                watches.tick(watch.heard_s + 60.0)
                watch.paused = False
                watches.tick(watch.heard_s + 2.9)
                assert not watch.fired

        _in_a_task(wait_for_the_caller)


def _in_a_task(block):
    async def run():
        block()

    anyio.run(run)
