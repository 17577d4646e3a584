import json
import pathlib
import ssl

import anyio
import httpcore
import pytest

from beryljunction.local import DEMO_API_KEY, DemoResult, LocalFleet, demo_settings
from beryljunction.servers import create_client_pool
from beryljunction.settings import TlsSettings

CERTIFICATES = pathlib.Path(__file__).parent / "certificates"
AUTH = [("authorization", f"Bearer {DEMO_API_KEY}")]


def tls_settings():
    paths = ("host-a.pem", "host-a.key", "fleet-authority.pem")
    return TlsSettings(*(str(CERTIFICATES / path) for path in paths))


class TestTls:
    def test_fleet_runs_over_tls_and_a_sidecar_requires_a_client_certificate(self):
        async def run():
            async with anyio.create_task_group() as group:
                fleet = LocalFleet(group, demo_settings(), tls_settings())
                local = await fleet.add_endpoint("ledger-0", "ledger")
                entry = await fleet.add_entry()
                await fleet.wait_until_ready()
                caller = ssl.create_default_context(cafile=CERTIFICATES / "fleet-authority.pem")
                async with create_client_pool(caller) as pool:
                    response = await pool.request(
                        "POST", f"{entry}/services/ledger/notes", headers=AUTH, content=b"note"
                    )
                    with pytest.raises((httpcore.NetworkError, httpcore.ProtocolError)):
                        await pool.request("GET", f"https://{local.row.address}/")
                await fleet.stop()
                group.cancel_scope.cancel()
                return json.loads(response.content)

        assert anyio.run(run)["times"] == 1


class TestLocalFleet:
    def test_replaced_endpoint_has_a_new_incarnation_and_receives_requests(self):
        async def run():
            async with anyio.create_task_group() as group, create_client_pool() as pool:
                fleet = LocalFleet(group, demo_settings())
                before = await fleet.add_endpoint("ledger-0", "ledger")
                entry = await fleet.add_entry()
                await fleet.wait_until_ready()
                await fleet.remove_endpoint("ledger-0")
                after = await fleet.add_endpoint("ledger-0", "ledger")
                await fleet.wait_until_ready()
                response = await pool.request(
                    "POST", f"{entry}/services/ledger/notes", headers=AUTH, content=b"note"
                )
                await fleet.stop()
                group.cancel_scope.cancel()
                return before.row.incarnation, after.row.incarnation, response.status

        before, after, status = anyio.run(run)

        assert before != after
        assert status == 200


class TestDemoResult:
    @pytest.mark.parametrize(
        ("whole", "refusals", "double_runs", "kept"),
        [
            pytest.param(9, 1, 0, True, id="refused-not-run"),
            pytest.param(9, 0, 0, False, id="cut"),
            pytest.param(10, 0, 1, False, id="run-twice"),
        ],
    )
    def test_kept_promises(self, whole, refusals, double_runs, kept):
        result = DemoResult(
            answers_total=10, answers_whole=whole, refusals=refusals, double_runs=double_runs
        )

        assert result.kept_promises is kept
