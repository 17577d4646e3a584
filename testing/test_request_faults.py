import pytest

from beryljunction.gateway import callers as callers_module
from beryljunction.gateway.caller_answer import CallerAnswer
from beryljunction.gateway.exchange import Exchange
from beryljunction.gateway.exchangelog import ExchangeLog
from beryljunction.gateway.frontend import CallerFrontend
from beryljunction.gateway.operators import OperatorHandler
from beryljunction.gateway.peers import PeerHandler
from beryljunction.gateway.probes import ProbeHandler
from beryljunction.gateway.state import EntryState
from entry_harness import open_harness, route

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


def fail_once(monkeypatch, owner, name, after=0):
    """Make a function raise once, after a number of calls."""
    function = getattr(owner, name)
    left = [after]

    def call(*args, **fields):
        left[0] -= 1
        if left[0] == -1:
            raise RuntimeError("injected")
        return function(*args, **fields)

    monkeypatch.setattr(owner, name, call)


async def stream(answer, writer, number):
    parts = [answer.chunk(b"id: %d\ndata: a\n\n" % row) for row in (1, 2)]
    writer.write(answer.stream_head() + b"".join(parts) + b"0\r\n\r\n")


class TestRequest:
    async def send(self, *routes, script=None):
        """Send a request, and another one after it; return both answers and the log."""
        async with open_harness(*routes, start=False) as harness:
            await harness.add_endpoint("one", script=script)
            await harness.start_entry()
            first = await harness.send_request()
            second = await harness.send_request(request_id="q2")
            requests = len(harness.endpoints["one"].requests)
            return first, second, requests, harness.lines

    @pytest.mark.parametrize(
        ("owner", "name", "status", "requests"),
        [
            (EntryState, "choose_endpoint", 503, 1),
            (EntryState, "note_first_byte", 502, 2),
            (ExchangeLog, "log_sent", 502, 2),
            (CallerAnswer, "relay_answer", 502, 2),
        ],
    )
    async def test_exception_is_answered(self, owner, name, status, requests, monkeypatch):
        """Guards against a caller whose connection ends without an answer."""
        fail_once(monkeypatch, owner, name)
        first, second, sent, lines = await self.send(route())

        assert (first[0], first[3]) == (status, True)
        assert "retry-after" not in first[1]
        assert second[0] == 200
        assert sent <= requests
        assert "injected" in lines.of_event("fault")[0]

    async def test_exception_in_the_answer_is_answered(self, monkeypatch):
        """Guards against a second exception, while the first one is answered."""
        fail_once(monkeypatch, EntryState, "choose_endpoint")
        fail_once(monkeypatch, Exchange, "end_after_fault")
        first, second, _, lines = await self.send(route())

        assert (first[0], first[3], second[0]) == (502, True, 200)
        assert len(lines.of_event("fault")) == 2

    async def test_answer_that_has_begun_is_cut_visibly(self, monkeypatch):
        """Guards against a part of a stream that looks like the whole."""
        fail_once(monkeypatch, CallerAnswer, "end_answer")
        first, second, _, _ = await self.send(route(kind="streaming"), script=stream)

        assert (first[0], first[3]) == (200, False)
        assert (second[0], second[3]) == (200, True)

    async def test_request_that_cannot_be_begun_is_answered(self, monkeypatch):
        """Guards against an answer that calls a valid request malformed."""
        fail_once(monkeypatch, CallerFrontend, "on_request")
        first, second, sent, lines = await self.send(route())

        assert (first[0], first[3], second[0]) == (503, True, 200)
        assert sent == 1
        assert "injected" in lines.of_event("callback_failed")[0]

    async def test_connection_whose_timeouts_cannot_be_set_is_served(self, monkeypatch):
        """Guards against a connection that is open but that nobody keeps account of."""
        fail_once(monkeypatch, callers_module, "set_timeouts", after=1)
        first, second, _, _ = await self.send(route())

        assert (first[0], second[0]) == (200, 200)


class TestHandlers:
    @pytest.mark.parametrize(
        ("handler", "place"),
        [(ProbeHandler, "probes"), (OperatorHandler, "metrics"), (PeerHandler, "peers")],
    )
    async def test_exception_is_answered_with_500(self, handler, place, monkeypatch):
        """Guards against an exception that ends more than the request concerned."""
        async with open_harness(route(), start=False, operator_keys="") as harness:
            await harness.add_endpoint("one")
            await harness.start_entry(has_peers=True)
            address = getattr(harness.host, place)
            fail_once(monkeypatch, handler, "on_request")
            data = b"GET /v1/known/0/0 HTTP/1.1\r\n\r\n"
            first = await harness.send_to(address, data)
            second = await harness.send_to(address, data)

            assert (first[0], first[3]) == (500, True)
            assert second[0] in (200, 503)
            assert len(harness.lines.of_event("callback_failed")) == 1
            assert (await harness.send_request())[0] == 200
