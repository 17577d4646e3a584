import os
import time

from beryljunction.gateway.events import Events, LineWriter
from platform_world import Lines


class TestLineWriter:
    def test_reader_that_stops_reading_costs_lines_not_time(self):
        """Whoever reads standard output stops reading; the pipe fills up.

        A blocking write would hold up every request of the process. Lines that fit neither in the
        pipe nor in the bounded backlog are dropped and counted.
        """
        reading, writing = os.pipe()
        try:
            writer = LineWriter(writing)
            line = "x" * 1_000 + "\n"
            begun_s = time.monotonic()
            for _ in range(1_000):
                writer.write(line)
            took_s = time.monotonic() - begun_s
            read = os.read(reading, 5_000)
        finally:
            os.close(reading)
            os.close(writing)

        assert took_s < 1.0
        assert 800 < writer.dropped < 1_000
        assert read.startswith(line.encode() * 4)

    def test_reader_that_is_gone_costs_lines_only(self):
        reading, writing = os.pipe()
        os.close(reading)
        writer = LineWriter(writing)

        writer.write("one\n")
        os.close(writing)

        assert writer.dropped == 1


class TestEvents:
    def test_lines_a_second_are_bounded_and_what_is_left_out_is_said(self):
        lines = Lines()
        events = Events("entry-1", "a", lines)

        for number in range(1_000):
            events.write("refused", request_id=f"q{number}", reason="no_endpoint")
        time.sleep(1.05)
        events.write("refused", request_id="later", reason="no_endpoint")

        assert len(lines.of("refused")) < 410
        left_out = lines.of("lines_left_out")[0]
        assert int(left_out.rpartition("lines=")[2]) >= 600
        assert b'beryl_refusals_total{reason="no_endpoint"} 1001.0' in events.metrics.render()
