"""Permits of trials, while the entries that gave them don't answer."""

import asyncio
import contextlib
import re
import types

import anyio
import pytest

from beryljunction.gateway.crashreports import CrashReport
from entry_harness import event, open_harness, read_answer, route
from fanout_world import FleetWorld

TRIAL_HOSTS = ["entry-2", "entry-3", "entry-4"]
SILENT_S = 0.3


class PeersThatPermitOneTrial:
    """Permit the first trial, then don't answer `silent_questions` questions."""

    def __init__(self, silent_questions):
        self.silent_questions = silent_questions
        self.is_asked = False
        self.released = anyio.Event()

    async def report_crashes(self, address, crashes):
        report = CrashReport.decode(crashes)
        if report.is_permitted is None:
            self.is_asked = True
            return CrashReport(trial=report.trial, is_permitted=True).encode()
        if self.silent_questions:
            self.silent_questions -= 1
            await anyio.sleep(SILENT_S)
            return None
        self.released.set()
        return CrashReport(trial=report.trial, is_permitted=True).encode()

    def permit_trials_of(self, state):
        """Put the first request of an entry under suspicion, and permit its trial."""
        state.quarantine.is_suspected = lambda features: not self.is_asked
        state.quarantine.trial_hosts = lambda service: TRIAL_HOSTS
        addresses = dict.fromkeys(TRIAL_HOSTS, ("127.0.0.1", 9))
        state.trial_permits._fan_out = types.SimpleNamespace(addresses=lambda: addresses)
        state.trial_permits.client = self


async def answer_slowly(answer, writer, number):
    """Answer within the route's timeout, but so late that it ends soon after."""
    await asyncio.sleep(0.3)
    if "streaming" in answer.head:
        data = answer.chunk(event(1)) + b"0\r\n\r\n"
        writer.write(answer.stream_head() + data)
    else:
        writer.write(answer.whole(body=answer.request_id.encode()))


class TestRelease:
    @pytest.mark.parametrize("kind", ["idempotent", "non_idempotent", "streaming"])
    def test_silent_peers_do_not_touch_the_connection_of_an_answered_request(self, kind):
        """Guards against a second answer, or an abort, while the next request is served."""

        async def run():
            async with open_harness(
                route(f"/{kind}/", kind=kind, **{"timeout-ms": 500})
            ) as harness:
                await harness.add_endpoint("e1", script=answer_slowly)
                await harness.wait_for_endpoints(1)
                PeersThatPermitOneTrial(9).permit_trials_of(harness.entry._state)
                reader, writer = await harness.connect()
                with contextlib.closing(writer):
                    answers = []
                    for request_id in ("q1", "q2", "q3"):
                        writer.write(harness.request_bytes(f"/{kind}/1", request_id=request_id))
                        answers.append(await asyncio.wait_for(read_answer(reader), 2.0))
                return answers

        answers = anyio.run(run)

        assert [row[0] for row in answers] == [200] * 3
        assert all(row[3] for row in answers)
        names = re.findall(r"x-request-id: (\S+)", "".join(row[1] for row in answers))
        assert names == ["q1", "q2", "q3"]

    def test_answer_is_logged_and_its_endpoint_free_at_once(self):
        """Guards against counting the wait for other entries as load and as answer time."""

        async def run():
            async with open_harness(route()) as harness:
                await harness.add_endpoint("e1")
                await harness.wait_for_endpoints(1)
                state = harness.entry._state
                PeersThatPermitOneTrial(9).permit_trials_of(state)
                reader, writer = await harness.connect()
                with contextlib.closing(writer):
                    writer.write(harness.request_bytes())
                    await read_answer(reader)
                    await asyncio.sleep(0.05)
                    in_flight = [row.in_flight for row in state.registry.rows]
                return in_flight, harness.lines.of_event("answered")

        in_flight, answered = anyio.run(run)

        assert in_flight == [0]
        assert len(answered) == 1

    def test_it_goes_on_after_the_caller_has_left(self):
        """Guards against trials held up because a caller closes after its answer."""

        async def run():
            async with open_harness(route()) as harness:
                await harness.add_endpoint("e1")
                await harness.wait_for_endpoints(1)
                peers = PeersThatPermitOneTrial(1)
                peers.permit_trials_of(harness.entry._state)
                await harness.send_request()
                with anyio.fail_after(2.0):
                    await peers.released.wait()

        anyio.run(run)


class TestLostLink:
    """One link between entries is cut."""

    FEATURES = frozenset({"part"})

    def test_entry_that_does_not_reach_the_first_host_gets_no_second_permit(self):
        """Guards against two trials of a service of a service at the same time."""
        with FleetWorld(5) as world:
            world.advance(8.0)
            hosts = world.members["front-0"].state.quarantine.trial_hosts("s")
            asking = [row for name, row in world.members.items() if name not in hosts]
            client = asking[1].state.trial_permits.client
            lost = world.members[hosts[0]].address

            async def report_crashes(address, crashes, send=client.report_crashes):
                return None if address == lost else await send(address, crashes)

            client.report_crashes = report_crashes
            permits = [
                world.loop.run_until_complete(row.state.trial_permits.ask("s", self.FEATURES))
                for row in asking[:2]
            ]

            assert permits != [True, True]
