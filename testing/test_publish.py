import json
import random
import sys
import threading

import anyio
import attrs
import pytest

from beryljunction.cli import operator
from beryljunction.servers import Server, bind_listener
from beryljunction.settings import (
    CHANGES_STREAM,
    Change,
    Edit,
    SettingsState,
    serve_settings,
)
from beryljunction.settings.operator_session import InvalidChange, OperatorSession
from beryljunction.settings.publishing import (
    AppendNow,
    ChangeRefused,
    InForce,
    NotPublished,
    OutcomeUnknown,
    PublishStateMachine,
)
from beryljunction.standins import (
    HostListStandIn,
    LogModel,
    LogModelSettings,
    LogStandIn,
    ModelLogClient,
)
from beryljunction.stores import Appended, AppendRefused, AppendUnknown, HostRow, LogRecord

DRAFTER = (Edit("service.drafter.kind", "engine"), Edit("service.drafter.models", ["drafter"]))


class SessionFactory:
    """Sessions of several operators on one log, in virtual time."""

    def __init__(self, **settings):
        self.now_s = 0.0
        self.log = LogModel(LogModelSettings(**settings))

    def session(self, name="asha", key=""):
        client = ModelLogClient(self.log, lambda: self.now_s)
        return OperatorSession(
            client, name, key, None, lambda: self.now_s, self.sleep, random.Random(name)
        )

    async def sleep(self, seconds):
        self.now_s += seconds

    def synced_session(self, name="asha", key=""):
        session = self.session(name, key)
        run_coroutine(session.sync())
        return session


def run_coroutine(coroutine):
    """Run a coroutine that never suspends, and return its result."""
    with pytest.raises(StopIteration) as stopped:
        coroutine.send(None)
    return stopped.value.value


class TestOperatorSession:
    def test_operator_who_loses_a_race_gets_the_conflicting_change(self):
        factory = SessionFactory()
        run_coroutine(factory.synced_session().publish(DRAFTER))
        asha, ravi = factory.synced_session("asha"), factory.synced_session("ravi")

        won = run_coroutine(asha.publish((Edit("service.drafter.max_running", 16),)))
        lost = run_coroutine(ravi.publish((Edit("service.drafter.max_running", 24),)))

        assert isinstance(won, InForce)
        assert isinstance(lost, ChangeRefused)
        (conflict,) = lost.verdict.conflicts
        assert (conflict.operator, conflict.value, conflict.version) == ("asha", 16, won.version)

    @pytest.mark.parametrize(
        "settings",
        [{"lost_answer_ratio": 0.6}, {"lost_append_ratio": 0.6}],
        ids=["after", "before"],
    )
    @pytest.mark.parametrize("seed", range(5))
    def test_change_takes_effect_once_after_a_lost_response(self, settings, seed):
        factory = SessionFactory(seed=seed, **settings)

        answer = run_coroutine(factory.synced_session().publish(DRAFTER))

        state = factory.synced_session().state
        accepted = [j for j in state.history if type(j.verdict).__name__ == "Accepted"]
        assert isinstance(answer, InForce)
        assert [j.offset for j in accepted] == [answer.version]

    def test_outage_gives_unknown_and_the_id_is_looked_up_later(self):
        factory = SessionFactory()
        session = factory.synced_session()
        factory.log.down = True

        answer = run_coroutine(session.publish(DRAFTER))
        factory.log.down = False
        later = factory.session()
        run_coroutine(later.read_history())

        assert isinstance(answer, OutcomeUnknown)
        assert later.find_record(answer.change_id) is None

    def test_invalid_change_is_not_appended(self):
        factory = SessionFactory()

        answer = run_coroutine(
            factory.synced_session().publish((*DRAFTER, Edit("service.drafter.max_running", 0)))
        )

        assert answer == InvalidChange(
            ("service.drafter.max_running: expected a whole number from 1 to 4096, got int 0",)
        )
        assert factory.log.read(CHANGES_STREAM, 0, 1, 0.0).next_offset == 1

    @pytest.mark.parametrize(("key", "is_accepted"), [("secret", True), ("guess", False)])
    def test_operator_needs_the_key_in_the_tree(self, key, is_accepted):
        digest = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
        factory = SessionFactory()
        rows = {"key_sha256": digest, "may_change": ["fleet"]}
        run_coroutine(
            factory.synced_session().publish(
                tuple(Edit(f"operator.asha.{f}", v) for f, v in rows.items())
            )
        )

        answer = run_coroutine(factory.synced_session(key=key).publish(DRAFTER))

        assert isinstance(answer, InForce) is is_accepted

    def test_unset_of_a_scope_unsets_all_paths_below_it(self):
        factory = SessionFactory()
        run_coroutine(factory.synced_session().publish(DRAFTER))
        session = factory.synced_session()

        run_coroutine(session.publish(session.unset_edits("service.drafter")))

        assert factory.synced_session().state.tree.values() == {}


class TestPublishSystem:
    CHANGE = Change("c", 0, "asha", DRAFTER)

    def test_rate_limit_alone_ends_in_not_published(self):
        machine = PublishStateMachine(self.CHANGE, 5.0, random.Random(0))

        machine.on_append_outcome(AppendRefused("limit", 1.0), 0.0)

        assert machine.next_step(5.0) == NotPublished("c", "limit")

    def test_log_is_read_to_its_end_before_a_second_append(self):
        machine = PublishStateMachine(self.CHANGE, 60.0, random.Random(0))
        machine.on_append_outcome(AppendUnknown("lost"), 0.0)

        before = machine.next_step(5.0)
        machine.on_log_end()

        assert not isinstance(before, AppendNow)
        assert isinstance(machine.next_step(5.0), AppendNow)

    def test_appended_change_that_is_not_read_back_is_unknown(self):
        machine = PublishStateMachine(self.CHANGE, 5.0, random.Random(0))

        machine.on_append_outcome(Appended(3), 0.0)

        assert isinstance(machine.next_step(6.0), OutcomeUnknown)


class Fleet(threading.Thread):
    """HTTP servers for the commands under test: a log, a host list and a process with settings."""

    def __init__(self):
        super().__init__(daemon=True)
        self.log = LogStandIn()
        self.state = SettingsState("gj-west")

        async def node(scope, receive, send):
            page = self.log.model.read(CHANGES_STREAM, self.state.version, 500, 0.0)
            self.state.apply_page(page)
            await serve_settings(self.state, self.state.apply_snapshot, scope, receive, send)

        self.hosts = HostListStandIn()
        apps = (self.log, node, self.hosts)
        self.servers = [Server(app, bind_listener("127.0.0.1:0")) for app in apps]
        self.ready = threading.Event()

    def run(self):
        async def serve():
            async with anyio.create_task_group() as group:
                for server in self.servers:
                    await group.start(server.serve_until_stopped)
                self.ready.set()

        anyio.run(serve)


@pytest.fixture
def beryl(tmp_path, monkeypatch, capsys):
    """Return a function that runs `beryl settings` and returns its exit code and output."""
    fleet = Fleet()
    fleet.start()
    fleet.ready.wait(10)
    log, node, hosts = (server.address for server in fleet.servers)
    config = tmp_path / "beryl.toml"
    config.write_text(
        f'operator = "asha"\nlog_address = "http://{log}"\nnodes = ["{node}"]\n'
        f'hosts_address = "http://{hosts}"\n'
    )

    def run(command, *arguments):
        argv = ["beryl", "settings", command, *arguments]
        argv += [] if command == "validate" else ["--config", str(config)]
        monkeypatch.setattr(sys, "argv", argv)
        with pytest.raises(SystemExit) as stopped:
            operator.main()
        printed = capsys.readouterr()
        return stopped.value.code, printed.out + printed.err

    run.fleet = fleet
    run.directory = tmp_path
    yield run
    for server in fleet.servers:
        server.stop()
    fleet.join(10)


class TestCommands:
    def test_setting_is_published_and_explained(self, beryl):
        code, out = beryl("set", "service.drafter.kind=engine", "deadline_s=20.0", "--json")
        accepted = json.loads(out)

        assert (code, accepted["outcome"], accepted["in_force_on"]) == (0, "accepted", 1)
        assert beryl("get", "region.gj-west.service.drafter.deadline_s") == (0, "20.0\n")
        explained = beryl("explain", "service.drafter.deadline_s")[1]
        assert "fleet: 20.0, set by asha in version 1" in explained

    def test_process_in_both_file_and_host_list_is_counted_once(self, beryl, monkeypatch):
        monkeypatch.setattr("beryljunction.cli.settings_change._IN_FORCE_TIMEOUT_S", 0.0)
        node = beryl.fleet.servers[1].address
        row = HostRow("host-a", "drafter-0", "drafter", "ahd-a", "gj-west", node)
        beryl.fleet.hosts.put(attrs.evolve(row, operator_address="127.0.0.1:1"))

        accepted = json.loads(beryl("set", "deadline_s=20.0", "--json")[1])

        assert (accepted["nodes"], accepted["missing"]) == (1, ["host-a"])

    def test_printed_tree_equals_the_tree_in_force(self, beryl):
        beryl("set", "service.drafter.kind=engine", 'service.drafter.models=["drafter"]')
        tree = beryl.directory / "tree.toml"
        tree.write_text(beryl("get")[1])

        same = beryl("diff", str(tree))
        tree.write_text("max_running = 9\n" + tree.read_text())

        assert same == (0, "no difference\n")
        assert beryl("diff", str(tree)) == (
            1,
            "max_running: unset -> 9\n",
        )

    def test_problems_are_listed_and_nothing_is_published(self, beryl):
        code, out = beryl("set", "max_runing=3", "deadline_s=-1", "nonsense")

        assert code == 2
        assert out.splitlines() == ["nonsense: expected PATH=VALUE"]
        code, out = beryl("set", "max_runing=3", "deadline_s=-1")
        assert (code, len(out.splitlines())) == (2, 2)
        assert beryl("history") == (
            0,
            "not there: the log's kept records up to offset 0 do not " "hold it\n",
        )

    def test_validate_needs_no_log(self, beryl):
        tree = beryl.directory / "tree.toml"
        tree.write_text('[service.drafter]\nkind = "motor"\n')

        code, out = beryl("validate", str(tree))

        assert code == 2
        assert out == ("service.drafter.kind: expected one of engine, plain, got str 'motor'\n")

    def test_history_has_refused_and_skipped_records(self, beryl):
        beryl("set", "deadline_s=5.0")
        late = Change("late", 0, "ravi", (Edit("deadline_s", 6.0),))
        for number, data in (("late", late.to_data()), ("poison", 7)):
            beryl.fleet.log.model.append(CHANGES_STREAM, number, data, 0.0)

        out = beryl("history")[1].splitlines()

        assert [line.split()[1] for line in out] == ["accepted", "refused", "skipped"]
        code, one = beryl("history", "--id", "late", "--json")
        assert code == 0
        assert json.loads(one)["changes"][0]["conflicts"][0]["operator"] == "asha"

    def test_unset_and_watch_commands(self, beryl):
        beryl("set", "deadline_s=5.0")

        assert beryl("unset", "deadline_s")[0] == 0
        assert beryl("get", "deadline_s") == (0, "30.0\n")
        assert beryl("unset", "deadline_s")[0] == 2
        assert beryl("watch", "--for-s", "0.01") == (0, "")


def test_record_of_a_newer_program_version_does_not_break_the_reader():
    state = SettingsState("")
    newer = Change("c", 0, "asha", (Edit("service.drafter.new_field", {"a": 1}),))

    state.tree.apply(LogRecord(1, "c", {**newer.to_data(), "later_addition": 1}))

    assert state.version == 1
