import pytest

from beryljunction.fuzz.platform.actors import CrashStyle
from part_traffic import BadCallers, PartConditions, play_conditions, play_total_outages

HEAD = CrashStyle(sends_head=True)


class TestSmallService:
    """Bad requests end all endpoints before other requests are served."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    @pytest.mark.parametrize(
        "conditions",
        [
            PartConditions(bad_every_s=0.02),
            PartConditions(bad_every_s=0.02, restart_s=5.0),
            PartConditions(bad_every_s=0.1, sound_every_s=0.5),
            PartConditions(bad_every_s=0.1, sound_every_s=0.5, restart_s=8.0, length_s=40.0),
            PartConditions(bad_every_s=0.1, event_gap_s=0.1),
            PartConditions(bad_every_s=0.1, sound_every_s=0.5, endpoints=1),
            PartConditions(bad_every_s=0.1, parts=1, place=0, endpoints=1),
            PartConditions(bad_every_s=0.1, sound_every_s=0.02, event_gap_s=0.2, style=HEAD),
        ],
        ids=[
            "50-bad",
            "50-bad-slow-restart",
            "few-sound",
            "few-sound-slow-restart",
            "long-answers",
            "one-endpoint",
            "one-endpoint-one-part",
            "many-in-flight",
        ],
    )
    def test_part_stops_and_other_requests_are_served(self, conditions, seed):
        """Guards against waiting for an answer that the service can't give while it is ended."""
        violations, _ = play_conditions(conditions, seed)

        assert violations == []


class TestAbandonedRequests:
    """Callers of bad requests wait no longer when the endpoints end."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    @pytest.mark.parametrize(
        "conditions",
        [
            PartConditions(callers=BadCallers(1.0, 0.03)),
            PartConditions(callers=BadCallers(0.8, 0.03), bad_every_s=0.2),
            PartConditions(callers=BadCallers(1.0, 0.03), keeps_id=True, restart_s=0.2),
            PartConditions(callers=BadCallers(1.0, 0.03), silent_s=0.5),
            PartConditions(style=CrashStyle(begins_in_s=1.0), callers=BadCallers(limit_s=0.3)),
            PartConditions(style=CrashStyle(begins_in_s=2.5), callers=BadCallers(limit_s=1.0)),
            PartConditions(
                style=CrashStyle(begins_in_s=0.6), callers=BadCallers(1.0, 0.1), sound_every_s=0.5
            ),
        ],
        ids=[
            "callers-leave",
            "most-leave",
            "back-same-id",
            "probe-lost",
            "deadline",
            "late-end",
            "few-sound",
        ],
    )
    def test_part_stops_and_other_requests_are_served(self, conditions, seed):
        """Guards against blaming all but the request whose answer nobody waits for any more."""
        violations, _ = play_conditions(conditions, seed)

        assert violations == []


class TestLastPart:
    """The bad part is the last one of prompts that otherwise differ."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    @pytest.mark.parametrize("share", [0.5, 1.0])
    def test_part_stops_and_other_requests_are_served(self, share, seed):
        """Guards against blaming other parts, as if a last part were in one request only."""
        violations, _ = play_conditions(PartConditions(last_share=share), seed)

        assert violations == []


class TestDrawnConditions:
    @pytest.mark.parametrize("seed", range(1, 31))
    def test_part_stops_and_other_requests_are_served(self, seed):
        """Guards against conditions of crashes, answers or prompts that no other test has."""
        violations, _ = play_conditions(PartConditions.drawn(seed), seed)

        assert violations == []


class TestTotalOutages:
    """Endpoints end again and again for reasons of their own, often all at once."""

    @pytest.mark.parametrize("seed", [*range(1, 21), 61, 76])
    def test_no_sound_request_is_quarantined(self, seed):
        """Guards against blaming requests for endpoints that end by themselves."""
        assert play_total_outages(seed) == []
