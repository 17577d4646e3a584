import anyio
import pytest

from beryljunction.routing import request_digest
from entry_harness import open_harness, reset, route

REQUEST = {
    "account": "acme",
    "method": b"POST",
    "host": "shop.example",
    "target": b"/pay/?n=1",
    "body": b"x" * 10,
}


class TestDigest:
    def test_same_request_has_the_same_digest(self):
        again = {**REQUEST, "host": "Shop.Example"}

        assert request_digest(**REQUEST) == request_digest(**again)

    @pytest.mark.parametrize(
        "change",
        [
            {"account": "other"},
            {"account": ""},
            {"method": b"PUT"},
            {"host": "two.example"},
            {"target": b"/pay/?n=2"},
            {"body": b"y" * 10},
            {"body": b""},
            {"target": b"/pay/?n=1x", "body": b"x" * 9},
        ],
        ids=lambda change: "-".join(change),
    )
    def test_different_request_has_a_different_digest(self, change):
        assert request_digest(**REQUEST) != request_digest(**{**REQUEST, **change})


class TestLog:
    def test_log_lines_of_a_repeated_request_share_its_digest(self):
        """Guards against a log that hides that one request crashes endpoint after endpoint."""

        async def end(answer, writer, number):
            reset(writer)

        async def run():
            async with open_harness(route()) as harness:
                await harness.add_endpoint("e1", script=end)
                await harness.wait_for_endpoints(1)
                for request_id, body in (("q1", b"same"), ("q2", b"same"), ("q3", b"other")):
                    await harness.send_request(request_id=request_id, body=body)
                lines = harness.lines.of_event("sent") + harness.lines.of_event("attempt_ended")
            return [dict(part.partition("=")[::2] for part in line.split()) for line in lines]

        digests = {}
        for line in anyio.run(run):
            digests.setdefault(line["request_id"], set()).add(line["digest"])

        assert digests["q1"] == digests["q2"] != digests["q3"]
        assert all(len(found) == 1 for found in digests.values())
