import anyio
import httpcore
import pytest

from beryljunction.idle_timeouts import IdleTimeouts


class TestIdleTimeouts:
    def test_connection_idle_beyond_the_limit_times_out(self):
        idle_timeouts = IdleTimeouts()

        def read_nothing():
            with idle_timeouts.add(limit_s=3.0) as idle_timeout:
                idle_timeouts.check_all(idle_timeout.last_byte_s + 2.9)
                assert not idle_timeout.expired
                idle_timeouts.check_all(idle_timeout.last_byte_s + 3.1)
                assert idle_timeout.expired

        with pytest.raises(httpcore.ReadTimeout):
            _run_in_event_loop(read_nothing)

    def test_time_waiting_for_a_slow_caller_is_not_counted(self):
        idle_timeouts = IdleTimeouts()

        def wait_for_the_caller():
            with idle_timeouts.add(limit_s=3.0) as idle_timeout:
                idle_timeout.paused = True
                idle_timeouts.check_all(idle_timeout.last_byte_s + 60.0)
                idle_timeout.paused = False
                idle_timeouts.check_all(idle_timeout.last_byte_s + 2.9)
                assert not idle_timeout.expired

        _run_in_event_loop(wait_for_the_caller)

    def test_time_of_a_stall_is_not_counted(self):
        """Guards against blaming peers for the time in which this process was paused."""
        idle_timeouts = IdleTimeouts()

        def stall():
            with idle_timeouts.add(limit_s=3.0) as idle_timeout:
                added_s = idle_timeout.last_byte_s
                idle_timeouts.check_all(added_s + 1.0)
                idle_timeouts.check_all(added_s + 61.0)
                assert not idle_timeout.expired
                for tenths in range(612, 631, 2):
                    idle_timeouts.check_all(added_s + tenths / 10)
                assert idle_timeout.expired

        with pytest.raises(httpcore.ReadTimeout):
            _run_in_event_loop(stall)


def _run_in_event_loop(block):
    async def run():
        block()

    anyio.run(run)
