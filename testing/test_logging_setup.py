import logging

import pytest

from beryljunction.logging_setup import EventLogger, configure_logging
from beryljunction.timeline import Timeline


@pytest.fixture
def restored_logging():
    root = logging.getLogger()
    handlers, level = list(root.handlers), root.level
    yield
    root.handlers, root.level = handlers, level


def logged_events(caplog, sample_ratio, events):
    caplog.set_level(logging.INFO)
    timeline = Timeline("host-a", "ahd-a")
    timeline.add_listener(EventLogger(sample_ratio))
    for kind, request_id in events:
        timeline.add(kind, request_id)
    return [(record.message, record.request_id) for record in caplog.records]


class TestEventLogger:
    def test_sampling_never_drops_refusals_and_failures(self, caplog):
        events = [("arrived", "r1"), ("refused", "r1"), ("try_refused", "r2"), ("broken", "r3")]

        assert logged_events(caplog, 0.0, events) == events[1:]

    def test_sampling_keeps_all_events_of_a_sampled_request(self, caplog):
        events = [(kind, f"r{i}") for i in range(400) for kind in ("arrived", "ended")]

        kept = logged_events(caplog, 0.25, events)

        arrived = [request_id for kind, request_id in kept if kind == "arrived"]
        assert arrived == [request_id for kind, request_id in kept if kind == "ended"]
        assert 60 < len(arrived) < 140


class TestConfigureLogging:
    @pytest.mark.usefixtures("restored_logging")
    def test_event_is_one_line_of_key_value_pairs(self, capsys):
        configure_logging()
        timeline = Timeline("host-a", "ahd-a")
        timeline.add_listener(EventLogger(1.0))

        timeline.add("refused", "r1", 'two words and a "quote"\n')

        lines = capsys.readouterr().err.splitlines()
        assert len(lines) == 1
        assert "level=INFO name=beryljunction event=refused" in lines[0]
        assert r'detail="two words and a \"quote\"\n"' in lines[0]
