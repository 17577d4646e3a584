import anyio

from beryljunction.metrics import Metrics, MetricsMiddleware
from beryljunction.timeline import Timeline


def sample_value(metrics, name, **labels):
    return metrics.registry.get_sample_value(name, labels)


class TestMetrics:
    def test_refusals_are_counted_by_code(self):
        metrics = Metrics("entry")
        timeline = Timeline("host-a", "ahd-a")
        timeline.add_listener(metrics.count_event)

        for _ in range(2):
            timeline.add("refused", "r1", "overloaded")

        assert sample_value(metrics, "beryl_refusals_total", code="overloaded") == 2
        assert sample_value(metrics, "beryl_events_total", kind="refused") == 2

    def test_processes_do_not_share_a_registry(self):
        first, second = Metrics("entry"), Metrics("entry")

        first.count_control_bytes("peers", 10, 20)

        assert (
            sample_value(first, "beryl_control_bytes_total", purpose="peers", direction="sent")
            == 10
        )
        assert (
            sample_value(second, "beryl_control_bytes_total", purpose="peers", direction="sent")
            is None
        )

    def test_gauge_is_read_at_each_scrape(self):
        metrics = Metrics("sidecar")
        running = [1.0]
        metrics.add_gauge("beryl_running_requests", "Requests that run here.", lambda: running[0])

        running[0] = 2.0

        assert b"beryl_running_requests 2.0" in metrics.render()


class TestMetricsMiddleware:
    def test_observes_the_first_byte_of_a_response_once(self):
        async def app(scope, receive, send):
            await send({"type": "http.response.start"})
            for _ in range(3):
                await send({"type": "http.response.body"})

        async def discard(message):
            return None

        metrics = Metrics("entry")

        anyio.run(MetricsMiddleware(app, metrics), {}, None, discard)

        assert sample_value(metrics, "beryl_first_byte_seconds_count") == 1
