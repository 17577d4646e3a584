import pytest

from beryljunction.streams import (
    HEARTBEAT,
    FrameCutter,
    FrameLog,
    FrameNumberer,
    SequenceChecker,
    StreamName,
    error_event,
    event_position,
)

NAME = StreamName("drafter-0.gj", "ab12", "r1")


def wire_frames(words: int) -> list[bytes]:
    frames = [b"data: word%d" % i for i in range(words)]
    return FrameNumberer(NAME).number([*frames, b"data: [DONE]"])


class TestEventId:
    def test_names_stream_and_sequence_even_with_dots_in_the_endpoint(self):
        assert event_position(f"{NAME}.17") == (NAME, 17)

    @pytest.mark.parametrize("text", ["", "17", "a.b.17", "a.b.c.x", "a..c.1"])
    def test_other_texts_are_not_ours(self, text):
        assert event_position(text) is None


class TestFrameCutter:
    def test_holds_an_unfinished_frame_and_takes_crlf(self):
        cutter = FrameCutter()

        assert cutter.feed(b"data: a\r") == []
        assert cutter.feed(b"\n\r\ndata: b\n\nda") == [b"data: a", b"data: b"]
        assert cutter.partial

    def test_a_frame_that_never_ends_is_overlong(self):
        cutter = FrameCutter(frame_bytes=10)
        cutter.feed(b"data: " + b"x" * 10)
        assert cutter.overlong


class TestFrameNumberer:
    def test_skips_comments_so_that_the_engine_resumes_at_the_right_token(self):
        numberer = FrameNumberer(NAME)
        numberer.number([b": ping", b"data: a", b": ping"])
        assert numberer.sequence == 1

    def test_puts_the_count_into_the_last_frame_and_ends_there(self):
        numberer = FrameNumberer(NAME)
        frames = numberer.number([b"data: a", b"data: [DONE]", b"data: late"])
        assert frames[-1] == b": count=2\nid: drafter-0.gj.ab12.r1.2\ndata: [DONE]\n\n"


class TestSequenceChecker:
    @pytest.mark.parametrize("size", [1, 7, 40, 10_000], ids=lambda size: f"{size}-byte-chunks")
    def test_passes_a_whole_answer_however_it_is_cut(self, size):
        data = b"".join(wire_frames(5))
        checker = SequenceChecker(NAME)

        out = b"".join(checker.feed(data[i : i + size]) for i in range(0, len(data), size))

        assert (out, checker.complete) == (data, True)

    def test_drops_duplicated_and_late_frames(self):
        frames = wire_frames(3)
        checker = SequenceChecker(NAME)

        out = [checker.feed(frames[i]) for i in (0, 1, 0, 1, 2, 1, 3, 3)]

        assert b"".join(out) == b"".join(frames)
        assert checker.complete

    def test_stops_at_a_gap_until_the_rest_was_asked_for_again(self):
        frames = wire_frames(3)
        checker = SequenceChecker(NAME)

        out = [checker.feed(frames[0]), checker.feed(frames[2]), checker.feed(frames[3])]
        assert (b"".join(out), checker.gap, checker.complete) == (frames[0], True, False)

        checker.restart()
        assert checker.feed(b"".join(frames[1:])) == b"".join(frames[1:])
        assert checker.complete

    def test_frames_of_another_stream_are_not_passed(self):
        other = FrameNumberer(StreamName("drafter-0.gj", "ab12", "r2")).number([b"data: a"])
        assert SequenceChecker(NAME).feed(other[0]) == b""

    def test_heartbeats_stay_between_our_processes(self):
        assert SequenceChecker(NAME).feed(HEARTBEAT) == b""

    def test_an_error_is_kept_apart_from_the_answer(self):
        checker = SequenceChecker(NAME)
        assert checker.feed(error_event(b"{}")) == b""
        assert (checker.error, checker.complete) == (b"{}", False)


class TestFrameLog:
    def test_keeps_what_no_reader_was_given_and_says_when_it_is_full(self):
        log = FrameLog(limit_bytes=10)
        log.append([b"12345678"] * 3)

        assert log.full
        assert log.after(0) == b"12345678" * 3
        assert not log.full

    def test_drops_the_oldest_given_frames_above_the_bound(self):
        log = FrameLog(limit_bytes=16)
        for i in range(20):
            log.append([b"12345678"])
            log.after(i)

        assert log.size_bytes <= 2 * 16 + 8
        assert not log.reaches(1)
        assert log.after(18) == b"12345678" * 2

    def test_gives_the_same_frames_again_from_any_place_that_it_reaches(self):
        frames = wire_frames(400)
        log = FrameLog(limit_bytes=4_096)
        for i, frame in enumerate(frames):
            log.append([frame])
            log.after(i)

        reached = [i for i in range(len(frames)) if log.reaches(i)]

        assert [log.after(i) for i in reached] == [b"".join(frames[i:]) for i in reached]
        assert sum(map(len, frames[reached[0] :])) >= 4_096

    def test_frames_that_were_given_are_kept_compressed(self):
        log = FrameLog(limit_bytes=65_536)
        for i, frame in enumerate(wire_frames(1_000)):
            log.append([frame])
            log.after(i)

        assert log.reaches(0)
        assert log.size_bytes < 16_384

    def test_does_not_reach_a_sequence_that_never_was(self):
        assert not FrameLog(limit_bytes=10).reaches(1)
