import pytest

from beryljunction.streams import (
    HEARTBEAT,
    FrameNumberer,
    FrameParser,
    ReplayBuffer,
    SequenceChecker,
    StreamId,
    error_event,
    parse_event_id,
)

NAME = StreamId("drafter-0.gj", "ab12", "r1")


def wire_frames(words: int) -> list[bytes]:
    frames = [b"data: word%d" % i for i in range(words)]
    return FrameNumberer(NAME).add_ids([*frames, b"data: [DONE]"])


class TestEventId:
    def test_parses_stream_and_sequence_with_dots_in_the_endpoint_id(self):
        assert parse_event_id(f"{NAME}.17") == (NAME, 17)

    @pytest.mark.parametrize("text", ["", "17", "a.b.17", "a.b.c.x", "a..c.1"])
    def test_rejects_texts_of_another_format(self, text):
        assert parse_event_id(text) is None


class TestFrameParser:
    def test_buffers_an_incomplete_frame_and_accepts_crlf(self):
        parser = FrameParser()

        assert parser.feed(b"data: a\r") == []
        assert parser.feed(b"\n\r\ndata: b\n\nda") == [b"data: a", b"data: b"]
        assert parser.has_partial_frame

    def test_frame_that_never_ends_is_too_long(self):
        parser = FrameParser(frame_bytes=10)
        parser.feed(b"data: " + b"x" * 10)
        assert parser.is_frame_too_long


class TestFrameNumberer:
    def test_skips_comments_so_that_the_engine_resumes_at_the_right_token(self):
        numberer = FrameNumberer(NAME)
        numberer.add_ids([b": ping", b"data: a", b": ping"])
        assert numberer.sequence == 1

    def test_adds_the_count_to_the_last_frame_and_drops_later_ones(self):
        numberer = FrameNumberer(NAME)
        frames = numberer.add_ids([b"data: a", b"data: [DONE]", b"data: late"])
        assert frames[-1] == b": count=2\nid: drafter-0.gj.ab12.r1.2\ndata: [DONE]\n\n"


class TestSequenceChecker:
    @pytest.mark.parametrize("size", [1, 7, 40, 10_000], ids=lambda size: f"{size}-byte-chunks")
    def test_forwards_a_complete_response_for_any_chunk_size(self, size):
        data = b"".join(wire_frames(5))
        checker = SequenceChecker(NAME)

        out = b"".join(checker.feed(data[i : i + size]) for i in range(0, len(data), size))

        assert (out, checker.complete) == (data, True)

    def test_drops_duplicate_and_late_frames(self):
        frames = wire_frames(3)
        checker = SequenceChecker(NAME)

        out = [checker.feed(frames[i]) for i in (0, 1, 0, 1, 2, 1, 3, 3)]

        assert b"".join(out) == b"".join(frames)
        assert checker.complete

    def test_stops_at_a_gap_until_restarted(self):
        frames = wire_frames(3)
        checker = SequenceChecker(NAME)

        out = [checker.feed(frames[0]), checker.feed(frames[2]), checker.feed(frames[3])]
        assert (b"".join(out), checker.has_gap, checker.complete) == (frames[0], True, False)

        checker.restart()
        assert checker.feed(b"".join(frames[1:])) == b"".join(frames[1:])
        assert checker.complete

    def test_drops_frames_of_another_stream(self):
        other = FrameNumberer(StreamId("drafter-0.gj", "ab12", "r2")).add_ids([b"data: a"])
        assert SequenceChecker(NAME).feed(other[0]) == b""

    def test_drops_heartbeats(self):
        assert SequenceChecker(NAME).feed(HEARTBEAT) == b""

    def test_error_is_stored_and_not_forwarded(self):
        checker = SequenceChecker(NAME)
        assert checker.feed(error_event(b"{}")) == b""
        assert (checker.error, checker.complete) == (b"{}", False)


class TestReplayBuffer:
    def test_retains_unsent_frames_and_reports_when_full(self):
        log = ReplayBuffer(limit_bytes=10)
        log.append([b"12345678"] * 3)

        assert log.full
        assert log.read_after(0) == b"12345678" * 3
        assert not log.full

    def test_drops_the_oldest_sent_frames_above_the_limit(self):
        log = ReplayBuffer(limit_bytes=16)
        for i in range(20):
            log.append([b"12345678"])
            log.read_after(i)

        assert log.size_bytes <= 2 * 16 + 8
        assert not log.can_resume_after(1)
        assert log.read_after(18) == b"12345678" * 2

    def test_returns_the_same_frames_from_any_retained_sequence(self):
        frames = wire_frames(400)
        log = ReplayBuffer(limit_bytes=4_096)
        for i, frame in enumerate(frames):
            log.append([frame])
            log.read_after(i)

        reached = [i for i in range(len(frames)) if log.can_resume_after(i)]

        assert [log.read_after(i) for i in reached] == [b"".join(frames[i:]) for i in reached]
        assert sum(map(len, frames[reached[0] :])) >= 4_096

    def test_compresses_sent_frames(self):
        log = ReplayBuffer(limit_bytes=65_536)
        for i, frame in enumerate(wire_frames(1_000)):
            log.append([frame])
            log.read_after(i)

        assert log.can_resume_after(0)
        assert log.size_bytes < 16_384

    def test_does_not_reach_a_sequence_that_was_never_appended(self):
        assert not ReplayBuffer(limit_bytes=10).can_resume_after(1)
