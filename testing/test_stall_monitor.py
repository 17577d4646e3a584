import time

import anyio
import pytest

from beryljunction.gateway.stall_monitor import StallMonitor


class TestStallMonitor:
    def test_reports_a_stall_before_the_tasks_that_it_delayed_run(self):
        """Guards against tasks that conclude from a stall before it is excluded."""

        async def run():
            events = []

            async def wait(delay_s):
                await anyio.sleep(delay_s)
                events.append("task")

            with StallMonitor(events.append):
                async with anyio.create_task_group() as group:
                    group.start_soon(wait, 0.25)
                    await anyio.sleep(0.22)
                    time.sleep(0.5)
                await anyio.sleep(0.15)
            return events

        stall_s, *others = anyio.run(run)

        assert others == ["task"]
        assert stall_s == pytest.approx(0.42, abs=0.1)

    def test_reports_nothing_while_the_event_loop_runs(self):
        async def run():
            stalls_s = []
            with StallMonitor(stalls_s.append):
                await anyio.sleep(0.35)
            return stalls_s

        assert anyio.run(run) == []
