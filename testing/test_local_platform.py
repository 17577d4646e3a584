import anyio

from beryljunction.gateway.events import EntryEventLog
from beryljunction.local import LocalPlatformFleet
from entry_harness import CapturedLog, EntryHarness

HEAD = (
    b"POST %b HTTP/1.1\r\nHost: demo.example\r\nX-Request-Id: q1\r\nX-Credential: demo-key\r\n"
    b"X-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n"
)


class TestLocalPlatformFleet:
    def test_a_stream_and_a_call_are_relayed_whole(self):
        async def run():
            async with anyio.create_task_group() as group:
                local = LocalPlatformFleet(group)
                await local.start(EntryEventLog("entry-local", "local", CapturedLog()))

                async def is_ready():
                    try:
                        data = b"GET / HTTP/1.1\r\n\r\n"
                        return (await EntryHarness.send_to(local.host.probes, data))[0] == 200
                    except OSError:
                        return False

                await EntryHarness.wait_until(is_ready)
                stream = await EntryHarness.send_to(local.host.callers, HEAD % b"/chat/1")
                call = await EntryHarness.send_to(local.host.callers, HEAD % b"/notes/1")
                runs = sum(len(endpoint.runs) for endpoint in local.endpoints.values())
                group.cancel_scope.cancel()
                return stream, call, runs

        stream, call, runs = anyio.run(run)

        assert (stream[0], stream[3]) == (200, True)
        assert stream[2].count(b"data: token") == 8
        assert call[0] == 200
        assert b'"endpoint": "ledger-' in call[2]
        assert runs == 2
