"""Real processes of the deploy file's command: starts, signals and exit statuses."""

import signal

import anyio

from entry_harness import route
from entry_process import open_entry_program


class TestStart:
    def test_entry_serves_and_stops_with_status_0(self, tmp_path):
        async def run():
            async with open_entry_program(tmp_path, route()) as program:
                await program.harness.add_endpoint("e1")
                program.start()
                await program.wait_until_ready()
                status = (await program.harness.send_request())[0]
                program.process.send_signal(signal.SIGTERM)
                return status, await program.wait_until_ended()

        assert anyio.run(run) == (200, 0)
