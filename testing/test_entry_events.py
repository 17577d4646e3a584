import os
import time

from beryljunction.gateway.events import EntryEventLog, LineWriter
from entry_harness import CapturedLog


class TestLineWriter:
    def test_write_does_not_block_when_the_pipe_is_full(self):
        """The reader of standard output stops reading, so the pipe fills up.

        A blocking write would stall every request of the process. Lines that fit neither in the
        pipe nor in the bounded backlog must be dropped and counted.
        """
        read_fd, write_fd = os.pipe()
        try:
            writer = LineWriter(write_fd)
            line = "x" * 1_000 + "\n"
            started_s = time.monotonic()
            for _ in range(1_000):
                writer.write(line)
            took_s = time.monotonic() - started_s
            read = os.read(read_fd, 5_000)
        finally:
            os.close(read_fd)
            os.close(write_fd)

        assert took_s < 1.0
        assert 800 < writer.dropped_lines < 1_000
        assert read.startswith(line.encode() * 4)

    def test_write_to_a_closed_pipe_drops_the_line(self):
        read_fd, write_fd = os.pipe()
        os.close(read_fd)
        writer = LineWriter(write_fd)

        writer.write("one\n")
        os.close(write_fd)

        assert writer.dropped_lines == 1


class TestEvents:
    def test_lines_on_the_end_of_the_process_are_written_at_any_rate(self):
        """Guards against a process that ends without a line while requests fill the log."""
        lines = CapturedLog()
        events = EntryEventLog("entry-1", "a", lines)

        for number in range(1_000):
            events.write("refused", request_id=f"q{number}", reason="no_endpoint")
        events.write("crashed", problem="lost")

        assert len(lines.of_event("crashed")) == 1

    def test_line_rate_is_limited_and_left_out_lines_are_reported(self):
        lines = CapturedLog()
        events = EntryEventLog("entry-1", "a", lines)

        for number in range(1_000):
            events.write("refused", request_id=f"q{number}", reason="no_endpoint")
        time.sleep(1.05)
        events.write("refused", request_id="later", reason="no_endpoint")

        assert len(lines.of_event("refused")) < 410
        left_out = lines.of_event("lines_left_out")[0]
        assert int(left_out.rpartition("lines=")[2]) >= 600
        assert b'beryl_refusals_total{reason="no_endpoint"} 1001.0' in events.metrics.render()
