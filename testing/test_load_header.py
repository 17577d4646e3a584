import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from beryljunction.gateway.messages import ResponseHead
from beryljunction.gateway.response_headers import apply_response_headers
from beryljunction.platform.load_header import parse_load
from beryljunction.routing import (
    CacheAwarePlacement,
    KnownEndpoint,
    PlacementRequest,
    PromptParts,
    ReportCoverage,
)
from entry_harness import open_harness, route
from routing_fakes import endpoint


def parse(value):
    return parse_load([(b"x-server-load", value)])


class SilentLog:
    def write(self, event, **fields):
        pass


class TestParsing:
    def test_three_figures_are_running_waiting_and_slots(self):
        load = parse(b"3,1,8")

        assert (load.running, load.waiting, load.slowdown, load.problem) == (3, 1, None, "")

    def test_fourth_figure_is_the_pace_of_the_machine(self):
        """Guards against dropping the reports of endpoints that state one figure more."""
        load = parse(b"3,1,8,250")

        assert (load.running, load.waiting, load.slowdown, load.problem) == (3, 1, 2.5, "")

    def test_unknown_further_figures_are_ignored(self):
        load = parse(b"3, 1, 8, 100, 7, x")

        assert (load.running, load.waiting, load.slowdown, load.problem) == (3, 1, 1.0, "")

    @pytest.mark.parametrize(
        ("value", "expected"),
        [
            (b"3.0,1,8", (3, 1, None)),
            (b"3,x,8", (3, 0, None)),
            (b"3", (3, 0, None)),
            (b"3,1,8,fast", (3, 1, None)),
            (b"3,1,8,-5", (3, 1, None)),
            (b"x,1,8,100", (None, 1, 1.0)),
            (b"", (None, 0, None)),
            (b"nan,inf,8", (None, 0, None)),
        ],
    )
    def test_fields_of_another_type_leave_the_others_readable(self, value, expected):
        load = parse(value)

        assert (load.running, load.waiting, load.slowdown) == expected
        assert bool(load.problem) == (value != b"3.0,1,8")

    def test_problem_names_the_field_and_what_was_expected(self):
        assert parse(b"3,x,8").problem == "waiting: expected a number of requests, got b'x'"

    def test_no_header_is_no_report(self):
        assert parse_load([(b"content-type", b"text/plain")]) is None

    @settings(max_examples=300, derandomize=True, deadline=None, database=None)
    @given(
        st.lists(st.integers(-3, 300).map(lambda n: b"%d" % n) | st.binary(max_size=6), max_size=6)
    )
    def test_no_value_stops_a_choice_or_distorts_a_load(self, fields):
        """Guards against a report that makes every later choice fail or skips an idle endpoint."""
        rows = [KnownEndpoint(endpoint(name)) for name in ("e1", "e2")]
        head = ResponseHead(200, [(b"x-server-load", b",".join(fields))])

        apply_response_headers(rows[0], head, SilentLog(), ReportCoverage())

        assert 0.0 <= rows[0].load(rows[0].report.at_s if rows[0].report else 0.0) <= 200_000
        request = PlacementRequest(PromptParts(("a",), (100,)))
        assert CacheAwarePlacement().choose(rows, request, 0.0) in rows


class TestReports:
    def serve(self, value):
        async def run():
            async def answer_with(answer, writer, number):
                writer.write(answer.whole(extra=(f"x-server-load: {value}",)))

            async with open_harness(route()) as harness:
                await harness.add_endpoint("e1", script=answer_with)
                await harness.wait_for_endpoints(1)
                for number in range(3):
                    await harness.send_request(request_id=f"q{number}")
                data = b"GET /metrics HTTP/1.1\r\n\r\n"
                metrics = (await harness.send_to(harness.host.probes, data))[2].decode()
                return harness.lines, metrics

        return anyio.run(run)

    def test_report_with_four_figures_is_used_for_the_next_choice(self):
        """Guards against a fleet that chooses every endpoint without knowing its load."""
        lines, metrics = self.serve("0,0,6,100")

        ages = [line.partition("load_age_s=")[2].split()[0] for line in lines.of_event("sent")]
        assert ages[0] == "inf"
        assert "inf" not in ages[1:]
        assert 'beryl_choices_without_report_share{service="plain"} 0.33' in metrics

    def test_unreadable_report_is_counted_and_logged_once(self):
        lines, metrics = self.serve("full")

        (line,) = lines.of_event("load_unreadable")
        assert "service=plain" in line
        assert "endpoint=e1" in line
        assert 'beryl_load_reports_unreadable{service="plain"} 3.0' in metrics
        assert 'beryl_choices_without_report_share{service="plain"} 1.0' in metrics
