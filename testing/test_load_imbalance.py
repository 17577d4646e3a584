import anyio
import pytest

from beryljunction.cli.imbalance import imbalance
from beryljunction.explain import parse_line
from beryljunction.load_imbalance import Arrival, CountedWindow, count_imbalance, worst_window
from entry_harness import open_harness, route
from routing_fakes import known


def arrivals(*groups):
    """Return arrivals for groups of (start_s, requests, over), 1 ms apart."""
    return [
        Arrival(start_s + n / 1000, n < over)
        for start_s, requests, over in groups
        for n in range(requests)
    ]


class TestWorstWindow:
    def test_limit_is_twenty_requests_and_more_than_three_in_a_hundred(self):
        assert not worst_window(arrivals((0.0, 500, 19))).breaks_limit
        assert not worst_window(arrivals((0.0, 1_000, 30))).breaks_limit
        assert worst_window(arrivals((0.0, 600, 20))).breaks_limit

    def test_windows_slide(self):
        """Guards against windows that start at whole seconds and split what belongs together."""
        found = worst_window(arrivals((0.0, 10, 0), (4.9, 100, 10), (9.7, 100, 10), (20.0, 1, 0)))

        assert (found.start_s, found.over) == (4.9, 20)

    def test_no_arrivals(self):
        assert worst_window([]) == CountedWindow()


class TestCountImbalance:
    """Guards against a count that needs more than the logs of the entries."""

    def lines(self, *rows):
        times = (f"time=2026-12-04T00:12:{n:02}.000+00:00 " for n in range(60))
        common = "name=beryljunction.entry host=h1"
        return [parse_line(f"{at}{common} {row}") for at, row in zip(times, rows, strict=False)]

    def test_endpoint_holds_a_request_until_its_answer_has_ended(self):
        joined = [f"event=endpoint_joined endpoint=e{n} service=engine" for n in range(4)]
        sent = [f"event=sent request_id=r{n} endpoint=e0 service=engine" for n in range(8)]
        answered = [f"event=answered request_id=r{n}" for n in range(8)]

        kept = count_imbalance(self.lines(*joined, *sent))[0]
        ended = [line for pair in zip(sent, answered, strict=True) for line in pair]
        returned = count_imbalance(self.lines(*joined, *ended))[0]

        # One endpoint of four holds n requests: n > 2 * n / 4 + 3 from the seventh on.
        assert (kept.endpoints, kept.requests, kept.over) == (4, 8, 2)
        assert kept.over_by_endpoint == (("e0", 2),)
        assert returned.over == 0

    def test_second_attempt_ends_the_first(self):
        rows = self.lines(
            "event=sent request_id=r endpoint=e0 service=engine",
            "event=attempt_ended request_id=r endpoint=e0",
            "event=sent request_id=r endpoint=e1 service=engine",
            "event=answered request_id=r",
        )

        assert count_imbalance(rows)[0].requests == 2

    def test_endpoint_that_is_gone_leaves_the_mean(self):
        joined = [f"event=endpoint_joined endpoint=e{n} service=engine" for n in range(4)]
        gone = [f"event=endpoint_gone endpoint=e{n}" for n in range(1, 4)]
        sent = [f"event=sent request_id=r{n} endpoint=e0 service=engine" for n in range(8)]

        assert count_imbalance(self.lines(*joined, *gone, *sent))[0].over == 0


class TestCommand:
    def run(self, tmp_path, over):
        lines = [f"event=endpoint_joined endpoint=e{n} service=engine" for n in range(9)]
        lines += [f"event=sent request_id=r{n} endpoint=e0 service=engine" for n in range(4 + over)]
        path = tmp_path / "entry.log"
        start = "time=2026-12-04T00:12:01.000+00:00 name=beryljunction.entry host=h1"
        path.write_text("".join(f"{start} {line}\n" for line in lines))
        return imbalance(path)

    def test_exit_code_says_whether_the_limit_is_broken(self, tmp_path, capsys):
        assert self.run(tmp_path, over=30) == 1
        assert "limit broken; most at e0" in capsys.readouterr().out
        assert self.run(tmp_path, over=10) == 0
        assert "within the limit" in capsys.readouterr().out

    def test_log_without_requests_is_an_error(self, tmp_path, capsys):
        path = tmp_path / "empty.log"
        path.write_text("")

        assert imbalance(path) == 2
        assert "expected lines of sent requests, got none" in capsys.readouterr().err

    def test_missing_file_is_an_error(self, tmp_path, capsys):
        assert imbalance(tmp_path / "none.log") == 2
        assert "expected a readable log file" in capsys.readouterr().err


class TestSentLine:
    """Guards against a log that doesn't say why a request went to a loaded endpoint."""

    def test_shows_what_was_known_of_each_endpoint_and_the_bound(self):
        async def run():
            async with open_harness(route(service="engine")) as harness:
                for name in ("e0", "e1", "e2"):
                    await harness.add_endpoint(name, service="engine")
                await harness.wait_for_endpoints(3)
                for row in harness.entry._state.registry.rows:
                    row.in_flight = 20 if row.record.endpoint_id != "e1" else 0
                await harness.send_request(request_id="r1")
                return [parse_line(line) for line in harness.lines.lines]

        lines = {line.event: line for line in anyio.run(run) if line and line.get("request_id")}
        sent = lines["sent"]

        assert sent.get("endpoint") == "e1"
        assert float(sent.get("bound")) > float(sent.get("mean_load")) > 13.0
        assert {row.split(":")[1] for row in sent.get("passed_over").split(",") if row} <= {"20.0"}
        assert "endpoint_load" in lines["answered"].fields

    @pytest.mark.parametrize("endpoints", [4, 12])
    def test_number_of_endpoints_on_a_line_is_bounded(self, endpoints):
        from beryljunction.gateway.exchangelog import _format_passed_over
        from beryljunction.routing import PassedOver, PassedOverReason

        rows = [
            PassedOver(known(f"e{n}").record.endpoint_id, 9.0, 0.5, PassedOverReason.OVER_BOUND)
            for n in range(endpoints)
        ]
        shown = _format_passed_over(rows).split(",")

        assert shown[0] == "e0:9.0:0.50:over_bound"
        assert len(shown) == min(endpoints, 7)
        assert shown[-1] == ("+6" if endpoints == 12 else "e3:9.0:0.50:over_bound")
