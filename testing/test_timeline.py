import pytest

from beryljunction.timeline import HybridClock, Timeline, merge_events


class TestHybridClock:
    def test_time_never_goes_back_if_the_wall_clock_does(self):
        wall_times_s = iter([10.0, 9.0, 9.5])
        clock = HybridClock(lambda: next(wall_times_s))

        times = [clock.now() for _ in range(3)]

        assert times == sorted(set(times))

    def test_response_is_later_than_its_request_if_the_responding_clock_is_behind(self):
        requester = HybridClock(lambda: 100.0)
        responder = HybridClock(lambda: 99.0)

        sent = requester.now()
        responder.update_from_header(requester.header_value())

        assert responder.now() > sent

    @pytest.mark.parametrize(
        "stamp",
        [
            pytest.param(None, id="missing"),
            pytest.param(b"soon", id="no-number"),
            pytest.param(b"99999999999999.0", id="far-ahead"),
        ],
    )
    def test_implausible_stamp_is_ignored(self, stamp):
        clock = HybridClock(lambda: 100.0)

        clock.update_from_header(stamp)

        assert clock.now() == (100_000, 0)


class TestTimeline:
    def test_flood_of_ordinary_events_does_not_evict_a_refusal(self):
        timeline = Timeline("host-a", "ahd-a")
        timeline.add("refused", "r1", "overloaded")

        for i in range(10_000):
            timeline.add("arrived", f"r{i}")

        assert [event.kind for event in timeline.events("r1")][0] == "refused"

    def test_merged_events_of_one_request_are_in_causal_order(self):
        entry = Timeline("entry-0", "ahd-a", HybridClock(lambda: 100.0))
        sidecar = Timeline("host-a", "ahd-b", HybridClock(lambda: 99.0))

        entry.add("arrived", "r1")
        sidecar.clock.update_from_header(entry.clock.header_value())
        sidecar.add("started", "r1")
        entry.clock.update_from_header(sidecar.clock.header_value())
        entry.add("answered", "r1")

        merged = merge_events(sidecar.events("r1"), entry.events("r1"))
        assert [event.kind for event in merged] == ["arrived", "started", "answered"]
