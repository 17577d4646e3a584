"""Service settings that a client account overrides, and their effect on requests."""

import attrs
import pytest

from beryljunction.settings import ServiceSettings
from beryljunction.systems import (
    AdmissionController,
    AdmissionLimits,
    AdmissionQueued,
    AdmissionRefused,
)
from beryljunction.tables import SidecarRequest
from path_fakes import AUTH, OTHER_KEY, ScriptedEngine, chat, error_of, path_of, view_with

pytestmark = pytest.mark.anyio
CHAT = "/v1/chat/completions"
OTHER_AUTH = ("authorization", f"Bearer {OTHER_KEY}")


@pytest.fixture
def anyio_backend():
    return "asyncio"


def view_of_jury(**own):
    """Return settings in which the account "jury" overrides values of the service "drafter"."""
    view = view_with()
    jury = attrs.evolve(view.services["drafter"], **own)
    return attrs.evolve(view, account_services={("jury", "drafter"): jury})


class TestIdempotent:
    @pytest.mark.parametrize(
        ("auth", "ran", "runs"),
        [
            pytest.param(AUTH, "unknown", 0, id="own-value"),
            pytest.param(OTHER_AUTH, None, 1, id="inherited"),
        ],
    )
    async def test_failed_request_is_not_retried_if_the_account_is_not_idempotent(
        self, auth, ran, runs
    ):
        # The account's requests must not run twice, but the service is idempotent by default. The
        # first endpoint closes the connection during the response, so it may have run the request,
        # and a retry on another endpoint could run it a second time.
        async with path_of(view_of_jury(idempotent=False)) as path:
            await path.sidecar(None, address=await path.breaking_endpoint())
            entry = await path.entry()
            engine = ScriptedEngine()
            await path.sidecar(engine)
            hint = ("beryl-route-hint", "drafter-0")
            answer = await path.pool.request(
                "POST", entry + CHAT, headers=[auth, hint], content=chat(stream=False)
            )

        assert len(engine.runs) == runs
        assert (error_of(answer)["ran"] if ran else None) == ran


class TestDeadline:
    async def test_of_an_account_overrides_the_one_of_the_service(self):
        # Work that outlasts the wait of the account's callers would be done for nobody.
        async with path_of(view_of_jury(deadline_s=1.5)) as path:
            app = await path.sidecar(ScriptedEngine())
            entry = await path.entry()
            deadlines_s = []
            offer = app.admission.offer
            app.admission.offer = lambda work, now_s: (
                deadlines_s.append(round(work.deadline_s - work.arrived_s, 3)) or offer(work, now_s)
            )
            for auth in (AUTH, OTHER_AUTH):
                async with path.pool.stream(
                    "POST", entry + CHAT, headers=[auth], content=chat()
                ) as answer:
                    assert answer.status == 200

        assert deadlines_s == [1.5, ServiceSettings().deadline_s]


class TestWaiting:
    def test_queue_of_an_account_is_limited_by_its_own_limit(self):
        limits = AdmissionLimits(max_running=1, max_waiting_per_account=64)
        controller = AdmissionController(limits)
        controller.max_waiting_by_account = {"jury": 1}

        decisions = [
            controller.offer(
                SidecarRequest(f"{account}-{i}", account, 0.0, 9.0, last_resort=True), 0.0
            )
            for account in ("jury", "other")
            for i in range(2)
        ]

        assert [type(decision) for decision in decisions] == [
            AdmissionQueued,
            AdmissionRefused,
            AdmissionQueued,
            AdmissionQueued,
        ]
