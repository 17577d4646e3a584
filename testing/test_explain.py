import anyio
import pytest

from beryljunction.cli.explain import explain as explain_command
from beryljunction.explain import explain, parse_line
from beryljunction.gateway.state import EntryState
from beryljunction.platform import DeploymentBounds
from entry_harness import open_harness, reset, route
from routing_fakes import known


def explanation_of(request_id, lines):
    parsed = [line for line in map(parse_line, lines) if line is not None]
    return explain(request_id, parsed)


class TestCauses:
    """Failed requests are explained from the log lines of a running entry alone."""

    def test_request_refused_during_a_store_outage(self):
        async def run():
            async with open_harness(
                route(), bounds=DeploymentBounds(revocation_ms=2_000)
            ) as harness:
                await harness.add_endpoint("e1")
                await harness.wait_for_endpoints(1)
                harness.store.faults.busy = True
                await anyio.sleep(2.2)
                status = (await harness.send_request(request_id="late1"))[0]
                return status, harness.lines.lines

        status, lines = anyio.run(run)
        explanation = explanation_of("late1", lines)

        assert status == 503
        assert "too long ago to accept an API key" in explanation.cause
        assert "has not run" in explanation.cause
        assert "the host could not read the store from" in explanation.cause

    def test_request_whose_endpoint_died(self):
        async def die(answer, writer, number):
            reset(writer)

        async def run():
            async with open_harness(route()) as harness:
                await harness.add_endpoint("e1", script=die)
                await harness.wait_for_endpoints(1)
                status = (await harness.send_request(request_id="pay7"))[0]
                return status, harness.lines.lines

        status, lines = anyio.run(run)
        explanation = explanation_of("pay7", lines)

        assert status == 502
        assert (
            "endpoint e1 received the request and returned no usable response" in explanation.cause
        )
        assert "may have run, so it was not sent again" in explanation.cause
        assert any("sent to endpoint e1 of plain for acme" in text for text in explanation.steps)

    def test_request_sent_to_an_endpoint_with_a_queue(self):
        """Guards against looking for a slow engine when requests waited there for memory."""

        async def queue(answer, writer, number):
            writer.write(answer.whole(extra=("x-server-load: 3,2,128",)))

        async def run():
            async with open_harness(route()) as harness:
                await harness.add_endpoint("e1", script=queue)
                await harness.wait_for_endpoints(1)
                await harness.send_request(request_id="q1")
                await harness.send_request(request_id="q2")
                data = b"GET /metrics HTTP/1.1\r\n\r\n"
                metrics = (await harness.send_to(harness.host.probes, data))[2].decode()
                return harness.lines.lines, metrics

        lines, metrics = anyio.run(run)

        assert not any("waiting" in text for text in explanation_of("q1", lines).steps)
        assert any("with 2 waiting, as of 0" in text for text in explanation_of("q2", lines).steps)
        assert 'beryl_endpoints_queueing{service="plain"} 1.0' in metrics

    def test_stream_that_a_caller_resumes(self):
        """Guards against logs that can't tell at which version a stream began and went on."""

        async def run():
            async with open_harness(route()) as harness:
                await harness.add_endpoint("e1")
                await harness.wait_for_endpoints(1)
                parts = "X-Prompt-Prefix: a1:800,b2:40,c3:10"
                await harness.send_request(headers=("Last-Event-Id: 2", "Resumes: q0", parts))
                return harness.lines

        lines = anyio.run(run)

        assert "resumes=q0" in lines.of_event("sent")[0]
        assert 'parts="a1,b2"' in lines.of_event("sent")[0]
        assert any("its version v1" in text for text in explanation_of("q1", lines.lines).steps)

    def test_request_with_a_revoked_key(self):
        async def run():
            async with open_harness(route()) as harness:
                await harness.add_endpoint("e1")
                await harness.wait_for_endpoints(1)
                harness.configure(route(), tenants=[{"name": "acme", "api-keys": ["other"]}])
                await anyio.sleep(0.2)
                status = (await harness.send_request(request_id="old9"))[0]
                return status, harness.lines.lines

        status, lines = anyio.run(run)
        explanation = explanation_of("old9", lines)

        assert status == 401
        assert "no client account has the API key in settings 6" in explanation.cause
        assert any("applied settings 6" in text for text in explanation.steps)
        assert not any("key=" in line for line in lines)

    def test_request_while_all_zones_are_evacuated(self):
        async def run():
            async with open_harness(route()) as harness:
                await harness.add_endpoint("e1")
                await harness.wait_for_endpoints(1)
                harness.put("keyed.op", "evacuate/a", b"{}")
                await harness.wait_until(harness.has_evacuated_zones)
                status = (await harness.send_request(request_id="none1"))[0]
                return status, harness.lines.lines

        status, lines = anyio.run(run)
        explanation = explanation_of("none1", lines)

        assert status == 503
        assert "zones that an operator evacuated; it has not run" in explanation.cause
        assert any("sends no new requests to zone a" in text for text in explanation.steps)

    def test_request_that_terminates_endpoints(self):
        async def end(answer, writer, number):
            harness.endpoints["e1"].server.close()
            reset(writer)

        async def run():
            nonlocal harness
            async with open_harness(route()) as harness:
                await harness.add_endpoint("e1", script=end)
                await harness.wait_for_endpoints(1)
                await harness.send_request(request_id="bad1", body=b"bad")
                (line,) = harness.lines.of_event("endpoint_ended")
                digest = parse_line(line).get("digest")
                for number in range(2):
                    quarantine = harness.entry._state.quarantine
                    quarantine.note_crash(frozenset([digest]), known(f"x{number}", service="plain"))
                status = (await harness.send_request(request_id="bad2", body=b"bad"))[0]
                return status, harness.lines.lines

        harness = None
        status, lines = anyio.run(run)
        explanation = explanation_of("bad2", lines)

        assert status == 503
        assert "several endpoints terminated while they had this request" in explanation.cause
        ended = [
            text for text in explanation.steps if "terminated while it had this request" in text
        ]
        assert len(ended) == 3
        assert any(
            "quarantined this request and does not send it" in text for text in explanation.steps
        )


class TestStopping:
    """A request that a stopping host refuses must be told from one that it cut off."""

    @pytest.mark.parametrize(
        ("event", "status", "expected"),
        [("refused", 503, "it has not run"), ("failed", 502, "it may have run")],
    )
    def test_request_that_ends_with_its_host(self, event, status, expected):
        at = "time=2026-01-01T00:00:0"
        cause = explanation_of(
            "q1",
            [
                f"{at}1+00:00 event=stopping host=h1 in_flight=1",
                f"{at}2+00:00 event={event} host=h1 request_id=q1 status={status} reason=stopping",
                f"{at}2+00:00 event=answered host=h1 request_id=q1 status={status} whole_ms=9",
                f"{at}3+00:00 event=drained host=h1 in_flight=0 receiving=0 connections=0",
            ],
        ).cause

        assert expected in cause


class TestFault:
    """A request that an exception in its host ended must not be explained by its endpoint."""

    @pytest.mark.parametrize(
        ("owner", "name", "expected"),
        [
            (EntryState, "choose_endpoint", "it has not run"),
            (EntryState, "note_first_byte", "it may have run"),
        ],
    )
    def test_request_that_ends_with_an_exception(self, owner, name, expected, monkeypatch):
        def fail(*_, **__):
            raise RuntimeError("injected")

        async def run():
            async with open_harness(route()) as harness:
                await harness.add_endpoint("e1")
                await harness.wait_for_endpoints(1)
                monkeypatch.setattr(owner, name, fail)
                await harness.send_request(request_id="f1")
                return harness.lines.lines

        cause = explanation_of("f1", anyio.run(run)).cause

        assert "an unexpected exception in the host" in cause
        assert expected in cause


class TestUnfinished:
    """A host that lost power must not be reported as a caller that disconnected."""

    SENT = "time=2026-01-01T00:00:01+00:00 event=sent host=h1 request_id=q1 endpoint=e1"

    def cause(self, *lines):
        return explanation_of("q1", [self.SENT, *lines]).cause

    def test_host_that_logs_nothing_more(self):
        other = "time=2026-01-01T00:00:09+00:00 event=started host=h2"

        assert "the log of h1 ends at 00:00:01" in self.cause(other)

    def test_host_that_restarts(self):
        again = "time=2026-01-01T00:00:03+00:00 event=started host=h1"

        assert "h1 restarted" in self.cause(again)

    def test_host_that_keeps_running_without_logging_the_end(self):
        left_out = "time=2026-01-01T00:00:03+00:00 event=lines_left_out host=h1"

        assert "unknown: h1" in self.cause(left_out)

    def test_caller_that_disconnected(self):
        end = "time=2026-01-01T00:00:02+00:00 event=not_answered host=h1 request_id=q1 whole_ms=9"

        assert self.cause(end) == "the caller disconnected before the response was whole"


class TestParseLine:
    @pytest.mark.parametrize("text", ["", "Traceback (most recent call last):", "time=now event=x"])
    def test_other_lines_are_ignored(self, text):
        assert parse_line(text) is None

    def test_quoted_values(self):
        line = parse_line('time=2026-01-01T00:00:00.5+00:00 event=a host=h detail="b \\"c\\" d"')

        assert line.get("detail") == 'b "c" d'


class TestCommand:
    def test_unknown_request(self, tmp_path, capsys):
        path = tmp_path / "entry.log"
        path.write_text("time=2026-01-01T00:00:00+00:00 event=started host=h\n")

        assert explain_command("q1", path) == 1
        assert "expected a line with this request id" in capsys.readouterr().err

    def test_missing_file(self, tmp_path, capsys):
        assert explain_command("q1", tmp_path / "no.log") == 2
        assert "expected a readable log file" in capsys.readouterr().err
