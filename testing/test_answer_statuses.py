import re

import anyio
import pytest

from entry_harness import open_harness, read_answer, route

STATUSES = ("000", "099", "20", "0200", "600", "700", "999", "1000", "-200", "2oo")
ROUTES = (
    route("/once/"),
    route("/again/", kind="idempotent"),
    route("/stream/", kind="streaming"),
)


async def answer_with_status(answer, writer, number):
    """Answer with the status that the path of the request names."""
    status = re.search(r"/status([\w-]+) ", answer.head)[1]
    lines = [f"x-request-id: {answer.request_id}", "x-server-signature: s", "content-length: 4"]
    writer.write("\r\n".join([f"HTTP/1.1 {status} X", *lines, "", "body"]).encode())
    await writer.drain()


async def ask(path, status):
    """Ask for an answer with a status; return its status, head, body and completeness."""
    async with open_harness(*ROUTES) as harness:
        await harness.add_endpoint("odd", script=answer_with_status)
        await harness.wait_for_endpoints(1)
        reader, writer = await harness.connect()
        writer.write(harness.request_bytes(f"/{path}/status{status}", b"", "GET", "r1"))
        answer = await read_answer(reader)
        writer.close()
        return answer


class TestStatuses:
    @pytest.mark.parametrize("path", ["once", "again", "stream"])
    @pytest.mark.parametrize("status", STATUSES)
    def test_status_that_is_none_is_no_answer(self, status, path):
        """Guards against passing on an answer whose status HTTP doesn't have."""
        got, head, _, _ = anyio.run(ask, path, status)

        assert got == 502
        assert "x-server-signature" not in head

    @pytest.mark.parametrize("status", ["200", "299", "404", "500", "599"])
    def test_other_statuses_are_passed_on(self, status):
        got, _, body, _ = anyio.run(ask, "once", status)

        assert (got, body) == (int(status), b"body")
