import anyio
import httpcore
import pytest

from beryljunction.watches import WatchList


class TestWatchList:
    def test_connection_idle_beyond_the_limit_times_out(self):
        watches = WatchList()

        def read_nothing():
            with watches.watch(limit_s=3.0) as watch:
                watches.tick(watch.heard_s + 2.9)
                assert not watch.fired
                watches.tick(watch.heard_s + 3.1)
                assert watch.fired

        with pytest.raises(httpcore.ReadTimeout):
            _run_in_event_loop(read_nothing)

    def test_time_waiting_for_a_slow_caller_is_not_counted(self):
        watches = WatchList()

        def wait_for_the_caller():
            with watches.watch(limit_s=3.0) as watch:
                watch.paused = True
                watches.tick(watch.heard_s + 60.0)
                watch.paused = False
                watches.tick(watch.heard_s + 2.9)
                assert not watch.fired

        _run_in_event_loop(wait_for_the_caller)


def _run_in_event_loop(block):
    async def run():
        block()

    anyio.run(run)
