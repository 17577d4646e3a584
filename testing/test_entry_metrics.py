import subprocess
import sys

import anyio

from beryljunction.gateway.metrics import EntryMetrics
from entry_harness import open_harness, route


class TestEntryMetrics:
    def test_latencies_are_cumulative_histograms(self):
        metrics = EntryMetrics()
        for first_ms in (5.0, 30.0, 30.0, 99_000.0):
            metrics.count_event("answered", {"status": 200, "first_ms": first_ms, "whole_ms": 1.0})

        text = metrics.render().decode()

        assert 'beryl_first_byte_seconds_bucket{le="0.01"} 1.0' in text
        assert 'beryl_first_byte_seconds_bucket{le="0.05"} 3.0' in text
        assert 'beryl_first_byte_seconds_bucket{le="+Inf"} 4.0' in text
        assert 'beryl_answers_total{status="200"} 4.0' in text

    def test_metrics_are_served_at_the_probes_address(self):
        async def run():
            async with open_harness(route()) as harness:
                await harness.send_request(path="/nowhere/")
                await harness.send_request()
                data = b"GET /metrics HTTP/1.1\r\n\r\n"
                return (await harness.send_to(harness.host.probes, data))[2].decode()

        text = anyio.run(run)

        assert 'beryl_refusals_total{reason="no_endpoint"} 1.0' in text
        assert 'beryl_failures_total{reason="no_route"} 1.0' in text
        assert "beryl_settings_version 3.0" in text
        assert "beryl_ready 1.0" in text

    def test_prometheus_client_is_not_imported_before_a_scrape(self):
        code = (
            "import sys, beryljunction.gateway.process as process; "
            "print('prometheus_client' in sys.modules, process.__name__)"
        )

        completed = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)

        assert completed.stdout.split() == ["False", "beryljunction.gateway.process"]
