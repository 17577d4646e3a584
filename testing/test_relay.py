import json

import anyio

from beryljunction.bench.relay import RelayLoad, measure_relay


class TestRelayBench:
    def test_relays_frames_through_entry_and_sidecar_and_reports_figures(self):
        load = RelayLoad(streams=4, duration_s=0.5, warm_up_s=0.5)

        figures = json.loads(anyio.run(measure_relay, load).to_json())

        assert figures["frames"] > 0
        assert figures["ratio"] > 0
        assert set(figures["rss_mb"]) == {"entry", "sidecar"}
