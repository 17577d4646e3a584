"""Endpoints that stop at each byte of their answer and close or reset the connection."""

import asyncio
import contextlib
import re

import anyio
import attrs
import pytest

from beryljunction.gateway import planned_stop
from entry_harness import event, open_harness, read_answer, reset, route

BODY = b"a whole body"
EVENTS = event(1) + event(2)
CHUNKED = b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY)
ROUTES = (
    route("/once/"),
    route("/again/", kind="idempotent"),
    route("/stream/", kind="streaming"),
    route("/resumed/", kind="streaming", **{"resume-streams": True}),
)
_PATH = re.compile(r"/(\w+)/([\w-]+)/(\d+)/(\w+)")


@attrs.frozen
class Form:
    """A whole answer.

    Attributes:
        text: Its head; the lines of the endpoint's own are added.
        is_cut_by_close: Whether a part of its body that ends with an orderly close is whole.
    """

    text: str
    body: bytes = BODY
    method: str = "GET"
    path: str = "again"
    is_cut_by_close: bool = False

    @property
    def status(self):
        return int(re.findall(r"HTTP/1.\d (\d+)", self.text)[-1])

    @property
    def content(self):
        """Return the body without its framing."""
        if "chunked" not in self.text:
            return self.body
        return EVENTS if EVENT_STREAM in self.text else BODY

    def whole(self, request_id):
        """Return the head and the body."""
        *interim, text = self.text.split("\r\n\r\n")
        first, *lines = text.split("\r\n")
        own = [f"x-request-id: {request_id}", "x-server-signature: signed"]
        head = "\r\n".join([first, *own, *lines, "", ""])
        return "".join(f"{part}\r\n\r\n" for part in interim).encode() + head.encode(), self.body


LENGTH = f"content-length: {len(BODY)}"
EVENT_STREAM = "content-type: text/event-stream"
FORMS = {
    "length": Form(f"HTTP/1.1 200 OK\r\n{LENGTH}"),
    "length-posted": Form(f"HTTP/1.1 200 OK\r\n{LENGTH}", method="POST", path="once"),
    "chunked": Form("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked", CHUNKED),
    "trailers": Form(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked", CHUNKED[:-2] + b"x-sum: 1\r\n\r\n"
    ),
    "close": Form("HTTP/1.1 200 OK\r\nconnection: close", is_cut_by_close=True),
    "old": Form("HTTP/1.0 200 OK", is_cut_by_close=True),
    "old-length": Form(f"HTTP/1.0 200 OK\r\n{LENGTH}"),
    "after-100": Form(f"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n{LENGTH}"),
    "no-content": Form("HTTP/1.1 204 No Content", b""),
    "not-modified": Form(f"HTTP/1.1 304 Not Modified\r\n{LENGTH}", b""),
    "head": Form(f"HTTP/1.1 200 OK\r\n{LENGTH}", b"", "HEAD"),
    "not-found": Form(f"HTTP/1.1 404 Not Found\r\n{LENGTH}"),
    "failure": Form(f"HTTP/1.1 500 Failed\r\n{LENGTH}"),
    "failure-posted": Form(f"HTTP/1.1 500 Failed\r\n{LENGTH}", method="POST", path="once"),
    "stream": Form(
        f"HTTP/1.1 200 OK\r\n{EVENT_STREAM}\r\ntransfer-encoding: chunked",
        b"%x\r\n%b\r\n0\r\n\r\n" % (len(EVENTS), EVENTS),
        "POST",
        "stream",
    ),
    "stream-resumed": Form(
        f"HTTP/1.1 200 OK\r\n{EVENT_STREAM}\r\ntransfer-encoding: chunked",
        b"%x\r\n%b\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(event(1)), event(1), len(event(2)), event(2)),
        "POST",
        "resumed",
    ),
    "stream-close": Form(
        f"HTTP/1.1 200 OK\r\n{EVENT_STREAM}\r\nconnection: close",
        EVENTS,
        "POST",
        "stream",
        is_cut_by_close=True,
    ),
}


async def cut_answer(answer, writer, number):
    """Answer as the path of the request says: in which form, cut where, and ended how."""
    _, form, cut, end = _PATH.search(answer.head).groups()
    head, body = FORMS[form].whole(answer.request_id)
    writer.write((head + body)[: int(cut)])
    await writer.drain()
    if end == "reset":
        await asyncio.sleep(0.002)
        reset(writer)


@contextlib.asynccontextmanager
async def open_cutting_harness():
    async with open_harness(*ROUTES) as harness:
        await harness.add_endpoint("cuts", script=cut_answer)
        await harness.wait_for_endpoints(1)
        yield harness


class Caller:
    """A caller that keeps its connection for as long as the entry does."""

    def __init__(self, harness):
        self.harness, self.connection = harness, None

    async def ask(self, name, cut, end):
        """Ask for an answer that is cut; return status, head, body and completeness."""
        form = FORMS[name]
        self.connection = self.connection or await self.harness.connect()
        reader, writer = self.connection
        path = f"/{form.path}/{name}/{cut}/{end}"
        writer.write(self.harness.request_bytes(path, b"", form.method, f"{name}-{cut}-{end}"))
        if form.method == "HEAD":
            answer = await self.read_head(reader)
        else:
            answer = await read_answer(reader)
        if "connection: close" in answer[1] or not answer[3]:
            writer.close()
            self.connection = None
        return answer

    @staticmethod
    async def read_head(reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        return int(head.split()[1]), head, b"", True


def find_defect(form, name, cut, end, answer):
    """Return what is wrong with what the caller got of a cut answer; empty if nothing is."""
    request_id = f"{name}-{cut}-{end}"
    status, head, _, is_complete = answer
    whole_head, _ = form.whole(request_id)
    if not is_complete:
        return ""
    if f"x-request-id: {request_id}" not in head:
        return "an answer to another request"
    if status in (502, 504):
        return "a signature on the entry's own answer" if "x-server-signature" in head else ""
    if form.is_cut_by_close and end == "close" and cut >= len(whole_head):
        return ""
    return f"a whole answer with status {status}"


async def ask_all(harness, names, ends):
    """Ask for each cut of the answers, on kept connections; return what is wrong."""
    caller, defects, count = Caller(harness), [], 0
    for name in names:
        form = FORMS[name]
        for end in ends:
            head, body = form.whole(f"{name}-100-{end}")
            for cut in range(len(head) + len(body)):
                answer = await caller.ask(name, cut, end)
                count += 1
                # The head holds the request's id, which is as long as its cut has digits.
                is_whole = cut >= sum(map(len, form.whole(f"{name}-{cut}-{end}")))
                defect = "" if is_whole else find_defect(form, name, cut, end, answer)
                if defect:
                    defects.append((name, cut, end, defect))
    return defects, count


class TestCutAnswers:
    """Guards against answers that are cut in their head or body and look whole."""

    @pytest.mark.parametrize("name", FORMS)
    def test_no_cut_answer_looks_whole(self, name):
        async def run():
            async with open_cutting_harness() as harness:
                return await ask_all(harness, [name], ("close", "reset"))

        defects, count = anyio.run(run)

        assert defects == []
        assert count > 100

    def test_uncut_answers_are_whole(self):
        """Guards against a test whose endpoint never gives a whole answer."""

        async def run():
            async with open_cutting_harness() as harness:
                caller = Caller(harness)
                return {name: await caller.ask(name, 9_999, "close") for name in FORMS}

        for name, (status, head, body, is_complete) in anyio.run(run).items():
            assert (name, status) == (name, FORMS[name].status)
            assert (name, body, is_complete) == (name, FORMS[name].content, True)
            assert "x-server-signature: signed" in head

    def test_no_cut_answer_looks_whole_during_a_stop(self, monkeypatch):
        monkeypatch.setattr(planned_stop, "_PROBE_FAILURE_DELAY_S", 0.2)
        cuts = [(name, cut) for name in FORMS for cut in range(0, 160, 23)]

        async def run():
            async with open_cutting_harness() as harness:
                callers = [Caller(harness) for _ in cuts]
                for caller in callers:
                    caller.connection = await harness.connect()
                harness.entry.stop()
                return await asyncio.gather(
                    *[caller.ask(*cut, "close") for caller, cut in zip(callers, cuts, strict=True)]
                )

        answers = anyio.run(run)

        for (name, cut), answer in zip(cuts, answers, strict=True):
            if cut < sum(map(len, FORMS[name].whole(f"{name}-{cut}-close"))):
                assert find_defect(FORMS[name], name, cut, "close", answer) == ""
