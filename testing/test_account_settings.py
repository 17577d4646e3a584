"""What a client account has of its own at a service, as callers see it."""

import attrs
import pytest

from beryljunction.settings import ServiceSettings
from beryljunction.systems import AdmissionLimits, AdmissionSystem, Refuse, Wait
from beryljunction.tables import Work
from path_fakes import AUTH, OTHER_KEY, ScriptedEngine, chat, error_of, path_of, view_with

pytestmark = pytest.mark.anyio
CHAT = "/v1/chat/completions"
OTHER_AUTH = ("authorization", f"Bearer {OTHER_KEY}")


@pytest.fixture
def anyio_backend():
    return "asyncio"


def view_of_jury(**own):
    """Return settings in which the account "jury" has values of its own at "drafter"."""
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
    async def test_request_of_an_account_that_may_not_repeat_is_not_tried_again(
        self, auth, ran, runs
    ):
        # A jury's verdicts go through the drafter; for this account the operators have set that
        # they may not be repeated. The first endpoint breaks off in the middle, and may have run
        # the request. A second try elsewhere would be a second verdict.
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
    async def test_is_the_accounts_own(self):
        # The account's callers give up after a second, so a longer wait would be work for nobody.
        async with path_of(view_of_jury(deadline_s=1.5)) as path:
            app = await path.sidecar(ScriptedEngine())
            entry = await path.entry()
            waits = []
            offer = app.admission.offer
            app.admission.offer = lambda work, now_s: (
                waits.append(round(work.deadline_s - work.arrived_s, 3)) or offer(work, now_s)
            )
            for auth in (AUTH, OTHER_AUTH):
                async with path.pool.stream(
                    "POST", entry + CHAT, headers=[auth], content=chat()
                ) as answer:
                    assert answer.status == 200

        assert waits == [1.5, ServiceSettings().deadline_s]


class TestWaiting:
    def test_is_bounded_by_the_accounts_own_limit(self):
        limits = AdmissionLimits(max_running=1, max_waiting_per_account=64)
        system = AdmissionSystem(limits)
        system.account_waiting = {"jury": 1}

        decisions = [
            system.offer(Work(f"{account}-{i}", account, 0.0, 9.0, last_resort=True), 0.0)
            for account in ("jury", "other")
            for i in range(2)
        ]

        assert [type(decision) for decision in decisions] == [Wait, Refuse, Wait, Wait]
