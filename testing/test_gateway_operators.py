import functools
import hashlib
import json

import anyio
import pytest

from beryljunction.cli.status import status
from beryljunction.cli.timeline import timeline
from beryljunction.gateway.operators import operator_digests
from endpoint_records import record
from entry_harness import open_harness, route

KEY = "operator-key"
DIGEST = hashlib.sha256(KEY.encode()).hexdigest()


class TestOperatorDigests:
    @pytest.mark.parametrize("text", ["", "x", DIGEST.upper(), f"{DIGEST} "])
    def test_invalid_digest_is_ignored(self, text):
        assert operator_digests(text) == ()

    def test_several_digests_are_accepted(self):
        assert operator_digests(f"{DIGEST},{'0' * 64}") == (DIGEST, "0" * 64)


async def has_refused(harness, count):
    return len(harness.lines.of_event("endpoint_refused")) == count


class TestOperatorHandler:
    async def send_get(self, harness, path, key):
        data = f"GET {path} HTTP/1.1\r\nAuthorization: Bearer {key}\r\n\r\n".encode()
        answer = await harness.send_to(harness.host.metrics, data)
        return answer[0], answer[2]

    def test_status_and_events_need_a_key(self):
        async def run():
            async with open_harness(route(), operator_keys=DIGEST) as harness:
                await harness.send_request(request_id="mine")
                await harness.send_request(path="/nowhere/", request_id="other")
                events = "/beryl/v1/events?request_id=mine"
                return (
                    await self.send_get(harness, "/beryl/v1/status", KEY),
                    await self.send_get(harness, events, KEY),
                    await self.send_get(harness, events, "wrong"),
                    await self.send_get(harness, "/metrics", "wrong"),
                )

        status_answer, events, wrong, metrics = anyio.run(run)
        values = json.loads(status_answer[1])

        assert (status_answer[0], events[0], wrong[0], metrics[0]) == (200, 200, 401, 200)
        assert (values["settings_version"], values["not_ready"]) == (3, "")
        assert 0 <= values["settings_age_s"] < 3
        assert 0 <= values["endpoints_age_s"] < 3
        assert b"beryl_endpoints_age_seconds" in metrics[1]
        assert {row[5] for row in json.loads(events[1])["events"]} == {"mine"}
        assert wrong[1] == b""

    def test_status_lists_evacuated_zones(self):
        async def run():
            async with open_harness(route(), operator_keys=DIGEST) as harness:
                harness.put("keyed.op", "evacuate/north", b"{}")
                await harness.wait_until(harness.has_evacuated_zones)
                return (
                    await self.send_get(harness, "/beryl/v1/status", KEY),
                    await self.send_get(harness, "/metrics", KEY),
                )

        status_answer, metrics = anyio.run(run)

        assert json.loads(status_answer[1])["evacuated"] == "north (0 s)"
        assert b"beryl_zones_evacuated 1.0" in metrics[1]
        assert b"beryl_endpoints_cold 0.0" in metrics[1]

    def test_status_has_the_records_that_cannot_be_used(self):
        async def run():
            async with open_harness(route(), operator_keys=DIGEST) as harness:
                harness.put("keyed.servers", "x1", record(slots=2**2048))
                harness.put("keyed.servers", "x2", b"{}")
                await harness.wait_until(functools.partial(has_refused, harness, 2))
                return (
                    await self.send_get(harness, "/beryl/v1/status", KEY),
                    await self.send_get(harness, "/metrics", KEY),
                )

        status_answer, metrics = anyio.run(run)

        assert json.loads(status_answer[1])["refused_records"] == 2
        assert b"beryl_refused_records 2.0" in metrics[1]

    def test_status_is_refused_without_configured_keys(self):
        async def run():
            async with open_harness(route(), operator_keys="") as harness:
                return await self.send_get(harness, "/beryl/v1/status", KEY)

        assert anyio.run(run)[0] == 401


class TestCommands:
    def test_status_and_timeline_query_entries_by_address(self, capsys, tmp_path):
        """Entries on the platform are in no list, so that the commands need their addresses."""
        config = tmp_path / "beryl.toml"

        async def run():
            async with open_harness(route(), operator_keys=DIGEST) as harness:
                await harness.send_request(request_id="mine")
                at = ":".join(map(str, harness.host.metrics))
                config.write_text(FILE)
                return [
                    await anyio.to_thread.run_sync(lambda: status(config=config, at=at)),
                    await anyio.to_thread.run_sync(
                        lambda: timeline(config=config, at=at, request="mine")
                    ),
                ]

        codes = anyio.run(run)
        text = capsys.readouterr().out

        assert codes == [0, 0]
        assert "entry-1" in text
        assert "no_endpoint" in text


FILE = f"""
operator = "ops"
log_address = "http://127.0.0.1:1"
operator_key = "{KEY}"
"""
