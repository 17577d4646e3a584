import asyncio
import contextlib

import anyio
import pytest

from beryljunction.fuzz.platform.actors import Behaviour
from beryljunction.fuzz.platform.world import ENDPOINTS, ENTRIES, PlatformWorld, behave
from entry_harness import open_harness, route

# The platform requires at least this part of the usual share of served requests.
SERVED_RATIO = 0.75


def ask_for(world, entries, length_s, gap_s, service, streamed):
    """Let callers come to the entries in turn; return the share that is served."""
    callers = []
    for number in range(round(length_s / gap_s)):
        entry = entries[number % len(entries)]
        callers.append(world.ask(entry, service, streamed, "key-a"))
        world.advance(gap_s)
    world.advance(2.5)
    return sum(row.asked.status == 200 and row.asked.is_whole for row in callers) / len(callers)


class TestMostCallersAtOneEntry:
    """For some seconds most new connections come to one entry, and more of them than usual."""

    @pytest.mark.parametrize("is_failing", [False, True], ids=["sound", "one-fails"])
    @pytest.mark.parametrize(("service", "streamed"), [("once", False), ("free", True)])
    def test_as_many_are_served_as_before(self, service, streamed, is_failing):
        """Guards against limits that each entry gets a share of, whatever callers it has."""
        with contextlib.closing(PlatformWorld()) as world:
            if is_failing:
                names = [name for name, of in ENDPOINTS.items() if of == service]
                behave(world, names[0], Behaviour.DECLINE)
            before = ask_for(world, ENTRIES, 6.0, 0.1, service, streamed)
            during = ask_for(world, ENTRIES[:1], 8.0, 0.03, service, streamed)

            assert world.finish() == []
            assert during >= SERVED_RATIO * before > 0.0

    def test_many_connections_at_once_are_served(self):
        """Guards against an entry that accepts new connections too slowly."""

        async def run():
            async with open_harness(route(**{"timeout-ms": 5_000})) as harness:
                await harness.add_endpoint("e1")
                await harness.wait_for_endpoints(1)
                requests = [harness.send_request(request_id=f"q{row}") for row in range(300)]
                return await asyncio.gather(*requests)

        answers = anyio.run(run)

        assert sum(status == 200 for status, *_ in answers) >= SERVED_RATIO * len(answers)
