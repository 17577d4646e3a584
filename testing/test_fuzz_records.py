"""Arbitrary JSON in the streams never stops a reader."""

from hypothesis import given, settings
from hypothesis import strategies as st

from beryljunction.settings import SettingsState
from beryljunction.stores import LogPage, LogRecord

SCALARS = st.none() | st.booleans() | st.integers(-5, 5) | st.floats() | st.text(max_size=5)
JSON = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner),
    max_leaves=6,
)
NAMES = ("deadline_s", "service.a.kind", "operator.x.may_change", "", "a.b.c")
PATHS = st.sampled_from(NAMES) | JSON
EDITS = st.lists(st.fixed_dictionaries({"path": PATHS}, optional={"value": JSON, "unset": JSON}))
LEAVES = st.lists(st.tuples(PATHS, JSON, st.booleans(), st.integers(0, 9) | JSON, JSON, JSON))
CHANGES = st.fixed_dictionaries(
    {
        "kind": st.just("change"),
        "base": st.integers(-1, 3) | JSON,
        "operator": st.text(max_size=2) | JSON,
        "edits": EDITS | JSON,
    },
    optional={"reads": JSON, "note": JSON},
)
SNAPSHOTS = st.fixed_dictionaries(
    {
        "kind": st.just("snapshot"),
        "version": st.integers(-1, 9) | JSON,
        "leaves": LEAVES | JSON,
    }
)


class TestArbitraryRecords:
    @settings(max_examples=150, derandomize=True, deadline=None, database=None)
    @given(st.lists(CHANGES | JSON, max_size=4), SNAPSHOTS | JSON)
    def test_no_record_stops_a_reader_and_all_readers_judge_alike(self, changes, snapshot):
        states = [SettingsState("gj-west"), SettingsState("gj-west")]
        records = tuple(LogRecord(i, str(i), data) for i, data in enumerate(changes, start=1))

        for state in states:
            state.apply_page(LogPage(records, 1, len(records) + 1))
            state.apply_snapshot(snapshot)

        assert states[0].version >= len(records)
        assert states[0].digest == states[1].digest
