import time

import anyio

from beryljunction.local import LocalFleet, demo_settings
from beryljunction.settings import Edit
from beryljunction.settings.operator_session import OperatorSession
from beryljunction.settings.publishing import InForce
from beryljunction.standins import ModelLogClient

TIMEOUT_S = 60.0


class TestModelOrders:
    def test_published_model_version_reaches_engines_but_not_plain_services(self):
        async def run():
            async with anyio.create_task_group() as group:
                fleet = LocalFleet(group, demo_settings())
                engines = [
                    (await fleet.add_endpoint(f"drafter-{i}", "drafter")).app for i in (0, 1)
                ]
                ledger = (await fleet.add_endpoint("ledger-0", "ledger")).app
                await fleet.wait_until_ready()
                session = OperatorSession(ModelLogClient(fleet.log, time.monotonic), "asha")
                await session.sync()
                answer = await session.publish((Edit("service.drafter.model_version", "v2"),))
                with anyio.fail_after(TIMEOUT_S):
                    while {e.orders.models.get("drafter") for e in engines} != {"v2"}:
                        await anyio.sleep(0.05)
                sidecar = fleet.endpoints["drafter-0"].node
                with anyio.fail_after(TIMEOUT_S):
                    while sidecar.role.sidecar.admission.paused:
                        await anyio.sleep(0.05)
                await fleet.stop()
                group.cancel_scope.cancel()
            return answer, ledger.runs

        answer, ledger_runs = anyio.run(run)

        assert isinstance(answer, InForce)
        assert ledger_runs == []
