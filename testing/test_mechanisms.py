import random

import pytest

from beryljunction.cli.deploy import check
from beryljunction.cli.settings import explain
from beryljunction.errors import SettingsError
from beryljunction.platform import read_host_settings
from beryljunction.routing import (
    AttemptDecision,
    AttemptOutcome,
    AttemptPlan,
    CacheAwarePlacement,
    LoadReport,
    Mechanisms,
    MovedSession,
    PlacementRequest,
    PlainPlacement,
    PrefillPlan,
    PromptParts,
    RepeatPolicy,
    RetryShare,
    healthy_endpoints,
    list_switches,
    weighted_loads,
)
from routing_fakes import known

NAMES = [row.name for row in list_switches(Mechanisms())]


def off(*names):
    return Mechanisms.parse(",".join(f"{name}=off" for name in names))


def request(session="chat", tokens=5_000):
    return PlacementRequest(PromptParts(("common", session), (500, tokens), 300))


def rows_of(count, **fields):
    return [known(f"e{number}", **fields) for number in range(count)]


class TestSwitches:
    def test_all_mechanisms_are_on_by_default(self):
        assert Mechanisms.parse("") == Mechanisms()
        assert Mechanisms.parse("fetch=off, stall=off").off == ("fetch", "stall")
        assert Mechanisms.parse("fetch=on").off == ()

    @pytest.mark.parametrize("name", NAMES)
    def test_each_mechanism_has_a_description(self, name):
        (row,) = [row for row in list_switches(Mechanisms()) if row.name == name]

        assert row.is_on
        assert 20 < len(row.guards) < 90

    @pytest.mark.parametrize(
        ("text", "problem"),
        [
            ("fetsh=off", "fetsh=off: expected one of warmth, home, "),
            ("fetch=no", "fetch=no: expected on or off, got 'no'"),
            ("fetch", "fetch: expected on or off, got ''"),
            ("fetch=off,fetch=on", "fetch=on: expected each name once, got 'fetch' again"),
        ],
    )
    def test_misspelt_switch_is_reported_with_its_text(self, text, problem):
        with pytest.raises(SettingsError, match=f"^{problem}") as caught:
            Mechanisms.parse(text)

        assert len(caught.value.problems) == 1

    def test_entry_with_a_wrong_switch_does_not_start(self, tmp_path, monkeypatch):
        file = tmp_path / "node.toml"
        file.write_text(
            'node-name = "a"\nzone = "z"\nregion = "r"\n'
            '[listen-addresses]\nfront = "127.0.0.1:1"\nready = "127.0.0.1:2"\n'
            '[platform]\naddress = "127.0.0.1:3"\n'
        )
        monkeypatch.setenv("BERYL_MECHANISMS", "stall=off")
        assert read_host_settings(str(file)).mechanisms == off("stall")

        monkeypatch.setenv("BERYL_MECHANISMS", "stal=off")
        with pytest.raises(SettingsError, match="^BERYL_MECHANISMS: stal=off: expected one of "):
            read_host_settings(str(file))


class TestCacheAwarePlacement:
    """Each switch changes only the decision that it names."""

    def placed(self, mechanisms, rows, sessions=40):
        placement = CacheAwarePlacement(mechanisms)
        chosen = []
        for number in range(sessions):
            wanted = request(f"chat{number}")
            row = placement.choose(rows, wanted, 0.0)
            placement.plan_prefill(rows, row, wanted, 0.0)
            chosen.append(row.incarnation_id)
        return chosen

    def test_without_warmth_a_session_follows_its_hash_to_a_new_endpoint(self):
        placement, rows = CacheAwarePlacement(off("warmth")), rows_of(4)
        sessions = [request(f"chat{n}") for n in range(60)]
        before = [placement.choose(rows, wanted, 0.0).incarnation_id for wanted in sessions]
        for wanted in sessions:
            placement.plan_prefill(rows, placement.choose(rows, wanted, 0.0), wanted, 0.0)

        after = [placement.choose([*rows, known("new")], w, 0.1).incarnation_id for w in sessions]

        moved = [new for old, new in zip(before, after, strict=True) if new != old]
        assert moved
        assert {endpoint_id for endpoint_id, _ in moved} == {"new"}

    def test_without_home_an_unknown_session_goes_to_the_least_loaded(self):
        rows = rows_of(3, in_flight=2)
        rows[1].in_flight = 0

        assert {*self.placed(off("home"), rows)} == {rows[1].incarnation_id}

    def test_without_bound_an_overloaded_home_still_gets_its_session(self):
        rows = rows_of(4)
        home = CacheAwarePlacement().choose(rows, request(), 0.0)
        home.in_flight = 50

        assert CacheAwarePlacement(off("bound")).choose(rows, request(), 0.0) is home
        assert CacheAwarePlacement().choose(rows, request(), 0.0) is not home

    def test_without_bound_margin_an_old_report_does_not_lower_the_bound(self):
        rows = rows_of(4, in_flight=4)
        home = CacheAwarePlacement(off("bound_margin", "hot_copies")).choose(rows, request(), 0.0)
        home.in_flight = 10
        for row in rows:
            row.report = LoadReport(row.in_flight, 0, row.in_flight, -10.0)

        def chosen(placement):
            return {placement.choose(rows, request(), 0.0).incarnation_id for _ in range(20)}

        without_margin = CacheAwarePlacement(off("bound_margin", "hot_copies"))
        assert chosen(without_margin) == {home.incarnation_id}
        assert chosen(CacheAwarePlacement(off("hot_copies"))) > {home.incarnation_id}

    def test_without_patience_a_session_waits_behind_a_long_prefill(self):
        rows = rows_of(4)
        home = CacheAwarePlacement().choose(rows, request(), 0.0)
        home.prefill_tokens = 50_000

        assert CacheAwarePlacement(off("patience")).choose(rows, request(), 0.0) is home
        assert CacheAwarePlacement().choose(rows, request(), 0.0) is not home

    def test_without_fetch_a_moved_session_is_recomputed(self):
        rows = rows_of(4)
        for mechanisms, has_source in ((Mechanisms(), True), (off("fetch"), False)):
            placement = CacheAwarePlacement(mechanisms)
            home = placement.choose(rows, request(), 0.0)
            placement.plan_prefill(rows, home, request(), 0.0)
            elsewhere = next(row for row in rows if row is not home)

            prefill = placement.plan_prefill(rows, elsewhere, request(), 0.1)

            assert (prefill.source is home) == has_source

    def test_without_moved_news_no_session_is_announced_or_learned(self):
        rows = rows_of(4)
        placement = CacheAwarePlacement(off("moved_news"))
        home = placement.choose(rows, request(), 0.0)
        elsewhere = next(row for row in rows if row is not home)

        placement.plan_prefill(rows, elsewhere, request("other"), 0.0)
        placement.note_moved_session(
            MovedSession(request().parts.ids, elsewhere.incarnation_id), 0.0
        )

        assert placement.moved.end == 0
        assert placement.choose(rows, request(), 0.1) is home

    def test_without_learned_pace_the_prior_rate_stays(self):
        for mechanisms, is_learned in ((Mechanisms(), True), (off("learned_pace"), False)):
            placement = CacheAwarePlacement(mechanisms)
            before = placement.prefill_rate("engine").tokens_per_ms
            for tokens in range(0, 100_000, 1_000):
                placement.note_first_byte("engine", PrefillPlan(None, tokens), 20 + tokens / 100)

            assert (placement.prefill_rate("engine").tokens_per_ms > before * 2) == is_learned


class TestHealth:
    def test_without_slowness_an_endpoint_counts_by_its_requests(self):
        rows = rows_of(3, in_flight=2)
        for row, took_ms in zip(rows, (10.0, 10.0, 50.0), strict=True):
            row.latency.note(took_ms, 0.0)

        assert weighted_loads(rows, 0.0)[rows[2].incarnation_id] == 10.0
        assert weighted_loads(rows, 0.0, off("slowness"))[rows[2].incarnation_id] == 2.0

    def test_without_suspects_a_failed_endpoint_still_gets_requests(self):
        rows = rows_of(3)
        rows[0].note_failure(0.0)

        assert rows[0] not in healthy_endpoints(rows, 0.1)
        assert rows[0] in healthy_endpoints(rows, 0.1, off("suspects"))

    def test_without_stall_a_silent_endpoint_still_gets_requests(self):
        rows = rows_of(3)
        rows[0].pending_since_s["request"] = 0.0

        assert rows[0] not in healthy_endpoints(rows, 5.0)
        assert rows[0] in healthy_endpoints(rows, 5.0, off("stall"))

    def test_without_fault_shares_a_failing_endpoint_still_gets_requests(self):
        rows = rows_of(3)
        for _ in range(8):
            rows[0].error_rate.note(True, 0.0)

        assert rows[0] not in healthy_endpoints(rows, 0.1)
        assert rows[0] in healthy_endpoints(rows, 0.1, off("fault_shares"))


class TestPlainCalls:
    def test_without_zone_penalty_all_zones_are_equal(self):
        rows = [known("far", availability_zone="b"), known("near")]
        chosen = {
            PlainPlacement("a", random.Random(seed), off("zone_penalty"))
            .choose(rows, PlacementRequest(), 0.0)
            .incarnation_id
            for seed in range(20)
        }

        assert len(chosen) == 2

    def test_without_second_sends_a_failed_request_is_not_sent_again(self):
        share = RetryShare(1.0, 10.0, 100)
        plan = AttemptPlan(RepeatPolicy.FREELY, 3, share, may_send_again=False)
        plan.before_send(0.0)

        assert plan.after(AttemptOutcome.ERRORED) is AttemptDecision.DELIVER
        assert plan.after(AttemptOutcome.DECLINED) is AttemptDecision.FAIL


class TestCommands:
    DEPLOY = (
        'build = "true"\n[roles.entry]\nrun = "python3 -m x"\non = "front"\nserves = ["front"]\n'
    )

    def file(self, tmp_path, switches):
        path = tmp_path / "system.toml"
        path.write_text(f'{self.DEPLOY}env = {{ BERYL_MECHANISMS = "{switches}" }}\n')
        return path

    def test_explain_shows_the_state_and_description_of_mechanisms(self, tmp_path, capsys):
        path = self.file(tmp_path, "fetch=off")

        assert explain("mechanisms.fetch", deploy=path) == 0
        assert explain("mechanisms", deploy=path) == 0

        lines = capsys.readouterr().out.splitlines()
        assert lines[0].startswith("mechanisms.fetch = off (entry, ")
        assert len(lines) == 1 + len(NAMES)
        assert sum(" = on (entry, default): " in line for line in lines) == len(NAMES) - 1

    def test_wrong_switches_are_reported_before_the_deployment(self, tmp_path, capsys):
        path = self.file(tmp_path, "fetch=maybe")

        assert check(path) == 2
        assert explain("mechanisms", deploy=path) == 2
        assert explain("mechanisms.fetsh", deploy=self.file(tmp_path, "")) == 2

        reported = capsys.readouterr().err.splitlines()
        place = "roles.entry.env.BERYL_MECHANISMS: fetch=maybe: "
        assert place + "expected on or off, got 'maybe'" in reported[0]
        assert reported[2] == "mechanisms.fetsh: expected the name of a mechanism, got 'fetsh'"
