import pytest

from beryljunction.settings import (
    Accepted,
    Change,
    Edit,
    Refused,
    SettingsTree,
    Skipped,
    dependencies_of,
    edits_between,
    parse_leaves,
    resolve,
    validate_tree,
)
from beryljunction.settings.validation import tree_from_leaves
from beryljunction.stores import LogRecord

DRAFTER = {"service": {"drafter": {"kind": "engine", "models": ["drafter"]}}}


def tree(data):
    leaves, problems = parse_leaves(data)
    assert not problems
    return tree_from_leaves(leaves)


def record(offset, base, *edits, operator="asha"):
    change = Change(f"c{offset}", base, operator, edits, dependencies_of(edits))
    return LogRecord(offset, change.change_id, change.to_data())


class TestResolving:
    @pytest.mark.parametrize(
        ("data", "expected_s"),
        [
            ({}, 30.0),
            ({"deadline_s": 9.0}, 9.0),
            ({"deadline_s": 9.0, "region": {"gj-west": {"deadline_s": 8.0}}}, 8.0),
            ({"region": {"prairies": {"deadline_s": 8.0}}}, 30.0),
            (
                {
                    "region": {"gj-west": {"deadline_s": 8.0}},
                    "service": {"drafter": {**DRAFTER["service"]["drafter"], "deadline_s": 7.0}},
                },
                7.0,
            ),
        ],
        ids=["default", "fleet", "region", "other-region", "service-over-region"],
    )
    def test_strongest_scope_wins(self, data, expected_s):
        view, unusable = resolve(tree({**DRAFTER, **data}), "gj-west")

        assert view.services["drafter"].deadline_s == expected_s
        assert unusable == []

    def test_account_overrides_a_service_setting_only_for_itself(self):
        data = {"account": {"jury": {"key_sha256": "a" * 64, "deadline_s": 3.0}}}

        view, _ = resolve(tree({**DRAFTER, **data}), "gj-west")

        assert view.service_for("drafter", "jury").deadline_s == 3.0
        assert view.service_for("drafter", "other").deadline_s == 30.0

    def test_unusable_value_is_kept_and_the_weaker_scope_is_used(self):
        data = {**DRAFTER, "max_running": 9, "service": {"drafter": {"kind": "engine"}}}
        newer = tree(data).with_edits(
            (Edit("service.drafter.max_running", "auto"), Edit("service.drafter.new_field", 1))
        )

        view, unusable = resolve(newer, "gj-west")

        assert view.services["drafter"].max_running == 9
        assert len(unusable) == 1
        assert SettingsTree.from_data(newer.to_data()).digest() == newer.digest()


class TestValidating:
    def test_all_problems_have_path_expected_and_actual_value(self):
        data = {
            "service": {"drafter": {"kind": "motor", "deadline_s": "12", "max_runing": 3}},
            "account": {"jury": {"weight": -1.0}},
        }

        assert validate_tree(tree(data)) == [
            "service.drafter.deadline_s: expected a number of seconds from 0.1 to 3600, "
            "got str '12'",
            "service.drafter.kind: expected one of engine, plain, got str 'motor'",
            "service.drafter.max_runing: expected a known field, got 'max_runing'",
            "account.jury.weight: expected a number from 0.001 to 1000, got float -1.0",
            "account.jury.weight: expected account.jury.key_sha256 to be set too, got none",
        ]

    def test_constraint_between_two_fields_is_checked(self):
        data = {**DRAFTER, "region": {"gj-west": {"max_running": 2}}}

        (problem,) = validate_tree(tree(data))

        assert problem == (
            "region.gj-west: service.drafter.floor_running: expected at most max_running 2, got 4"
        )

    def test_longest_body_must_fit_into_the_limit_for_all_uploads(self):
        (problem,) = validate_tree(tree({"limits": {"upload_bytes": 1_000_000}}))

        assert problem == (
            "limits.upload_bytes: expected at least limits.body_bytes 4194304, got 1000000"
        )


class TestSettingsTree:
    def test_first_of_two_concurrent_edits_of_one_path_is_accepted(self):
        fleet = tree(DRAFTER)
        first = record(1, 0, Edit("deadline_s", 5.0))
        second = record(2, 0, Edit("deadline_s", 6.0), operator="ravi")

        assert fleet.apply(first) == Accepted(1)
        refused = fleet.apply(second)

        assert isinstance(refused, Refused)
        assert [(c.path, c.operator, c.value) for c in refused.conflicts] == [
            ("deadline_s", "asha", 5.0)
        ]

    def test_concurrent_edits_of_different_paths_are_both_accepted(self):
        fleet = tree(DRAFTER)

        verdicts = [
            fleet.apply(record(1, 0, Edit("deadline_s", 5.0))),
            fleet.apply(record(2, 0, Edit("pointer_s", 60.0))),
        ]

        assert verdicts == [Accepted(1), Accepted(2)]

    @pytest.mark.parametrize(
        ("one", "other"),
        [
            (Edit("region.gj-west.max_running", 8), Edit("service.drafter.floor_running", 16)),
            (Edit("service.drafter.kind", unset=True), Edit("service.drafter.pointer_s", 6.0)),
            (Edit("service.drafter.models", ["m"]), Edit("service.reader.models", ["m"])),
        ],
        ids=["floor-above-limit", "value-below-removed-service", "model-served-twice"],
    )
    @pytest.mark.parametrize("swapped", [False, True], ids=["in-order", "swapped"])
    def test_two_valid_edits_that_are_invalid_together_conflict(self, one, other, swapped):
        # Each edit is valid against the version that its operator saw, but both together would make
        # the tree invalid at every reader without any operator being told.
        fleet = tree(DRAFTER)
        first, second = (other, one) if swapped else (one, other)

        fleet.apply(record(1, 0, first))

        assert isinstance(fleet.apply(record(2, 0, second)), Refused)

    def test_second_copy_of_a_record_conflicts_with_the_first(self):
        fleet = tree(DRAFTER)
        fleet.apply(record(1, 0, Edit("deadline_s", 5.0)))
        again = record(1, 0, Edit("deadline_s", 5.0))

        assert isinstance(fleet.apply(LogRecord(2, again.record_id, again.data)), Refused)

    @pytest.mark.parametrize(
        "data",
        [None, 7, "x", [], {}, {"kind": "change"}, {"kind": "change", "edits": [{"path": ""}]}],
        ids=str,
    )
    def test_invalid_record_is_skipped_and_the_version_advances(self, data):
        fleet = tree(DRAFTER)

        assert isinstance(fleet.apply(LogRecord(1, "x", data)), Skipped)
        assert fleet.version == 1

    @pytest.mark.parametrize(
        ("operator", "path", "is_accepted"),
        [
            ("asha", "deadline_s", True),
            ("ravi", "service.drafter.deadline_s", True),
            ("ravi", "region.gj-west.service.drafter.deadline_s", True),
            ("ravi", "deadline_s", False),
            ("nobody", "service.drafter.deadline_s", False),
        ],
    )
    def test_operator_changes_only_the_scopes_in_may_change(self, operator, path, is_accepted):
        lists = {"asha": ["fleet"], "ravi": ["service.drafter"]}
        operators = {n: {"key_sha256": "b" * 64, "may_change": s} for n, s in lists.items()}
        fleet = tree({**DRAFTER, "operator": operators})

        verdict = fleet.apply(record(1, 0, Edit(path, 5.0), operator=operator))

        assert isinstance(verdict, Accepted) is is_accepted

    def test_edits_between_two_trees_convert_one_to_the_other(self):
        old, new = ({**DRAFTER, **extra} for extra in ({"deadline_s": 5.0}, {"pointer_s": 9.0}))

        edits = edits_between(parse_leaves(old)[0], parse_leaves(new)[0])

        assert edits == (Edit("deadline_s", unset=True), Edit("pointer_s", 9.0))
