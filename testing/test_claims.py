import pytest

from beryljunction.outcomes import ExecutionStatus
from beryljunction.systems import (
    ClaimLimits,
    KeyClaim,
    KeyClaimResolver,
    KeyLost,
    KeyMismatch,
    KeyUnavailable,
    KeyWon,
    claim_shard,
    key_digest,
    key_refusal,
)

LIMITS = ClaimLimits(life_s=100.0, max_keys=3, batch_claims=2, append_gap_s=0.2, wait_s=2.0)


def claims(name: str = "a") -> KeyClaimResolver:
    return KeyClaimResolver(name, LIMITS)


def claim(ticket: str, key: str = "k", body: str = "b") -> KeyClaim:
    return KeyClaim(key, body, ticket)


def record(*rows: KeyClaim) -> dict:
    return {"id": "x", "claims": [[row.key, row.body, row.ticket] for row in rows]}


class TestKeyClaimResolver:
    def test_first_claim_in_log_order_wins_at_every_reader(self):
        one, two = claims("a"), claims("b")
        one.submit("r1", claim("t1"), 0.0)
        two.submit("r2", claim("t2"), 0.0)
        log = [two.next_batch(0.0).to_record(), one.next_batch(0.0).to_record()]

        for resolver in (one, two):
            for offset, row in enumerate(log):
                resolver.apply(offset, row, 0.1)

        assert one.tick(0.1) == [("r1", KeyLost("t2"))]
        assert two.tick(0.1) == [("r2", KeyWon("t2"))]

    def test_known_key_gets_its_verdict_at_once_even_while_the_log_is_down(self):
        resolver = claims()
        resolver.apply(0, record(claim("t1")), 0.0)
        resolver.log_failed(1.0)

        assert resolver.submit("r1", claim("t2"), 1.0) == KeyLost("t1")
        assert resolver.submit("r2", claim("t3", body="other"), 1.0) == KeyMismatch()

    def test_new_key_is_refused_at_once_while_the_log_is_down(self):
        # An earlier try with the key may have run through another entry, and only the log could
        # tell. So the refusal says "unknown", because after a "no" the caller might retry under a
        # new key. For this try alone it says "no", which is true and lets a caller that has never
        # sent the key before continue at once.
        resolver = claims()
        resolver.log_failed(1.0)

        verdict = resolver.submit("r1", claim("t1"), 1.5)

        assert verdict == KeyUnavailable(0.5)
        assert (key_refusal(verdict).ran, key_refusal(verdict).try_ran) == (
            ExecutionStatus.UNKNOWN,
            ExecutionStatus.NO,
        )

    def test_lost_append_answer_is_resolved_by_reading(self):
        # The append takes effect but its answer is lost. The batch is appended again, and the
        # reader gets both copies.
        resolver = claims()
        resolver.submit("r1", claim("t1"), 0.0)
        first = resolver.next_batch(0.0)
        resolver.append_ended(first, is_sure=False, now_s=0.1)

        again = resolver.next_batch(1.2)
        resolver.apply(0, first.to_record(), 1.3)
        resolver.apply(1, again.to_record(), 1.3)

        assert again.claims == first.claims
        assert resolver.tick(1.3) == [("r1", KeyWon("t1"))]

    def test_claim_times_out_and_is_not_appended_later(self):
        resolver = claims()
        resolver.submit("r1", claim("t1"), 0.0)
        batch = resolver.next_batch(0.0)

        assert resolver.tick(1.9) == []
        assert resolver.tick(2.0) == [("r1", KeyUnavailable(LIMITS.down_s))]
        resolver.append_ended(batch, is_sure=False, now_s=2.1)
        assert resolver.next_batch(9.0) is None

    def test_batches_are_bounded_and_paced(self):
        resolver = claims()
        for i in range(3):
            resolver.submit(f"r{i}", claim(f"t{i}", key=f"k{i}"), 0.0)

        first = resolver.next_batch(0.0)
        assert resolver.next_batch(0.1) is None
        resolver.append_ended(first, is_sure=True, now_s=0.1)
        assert resolver.next_batch(0.1) is None
        second = resolver.next_batch(0.2)

        assert [len(first.claims), len(second.claims)] == [2, 1]

    def test_key_expires_and_the_next_claim_takes_over(self):
        # Reader one has known the key's first claim for its whole life; reader two started late
        # and keeps it longer. A second claim follows in the log. Both must agree on the second one.
        one, two = claims(), claims()
        one.apply(0, record(claim("t1")), 0.0)
        two.apply(0, record(claim("t1")), 50.0)
        for resolver in (one, two):
            resolver.tick(101.0)
            resolver.apply(1, record(claim("t2")), 101.0)

        assert one.submit("r1", claim("t9"), 102.0) == KeyLost("t2")
        assert two.submit("r1", claim("t9"), 102.0) == KeyLost("t1")
        two.tick(151.0)
        assert two.submit("r1", claim("t9"), 151.0) == KeyLost("t2")

    @pytest.mark.parametrize("retention_s", [600.0, 1200.0, 86_400.0])
    def test_key_does_not_outlive_the_records_of_the_log(self, retention_s):
        # The log drops the claim of a request that ran, and the key's home is replaced. The new
        # home finds no claim, treats the key as new and gives a retry a second ticket. A reader
        # that still knew the key would give its retry the first ticket, and both requests would
        # count as the key's. So by then no reader may still know the key.
        limits = ClaimLimits.within(retention_s)
        older, newer = KeyClaimResolver("a", limits), KeyClaimResolver("b", limits)
        older.apply(0, record(claim("t1")), 0.0)

        newer.submit("r1", claim("t2"), retention_s)
        newer.apply(1, newer.next_batch(retention_s).to_record(), retention_s)

        assert newer.tick(retention_s) == [("r1", KeyWon("t2"))]
        older.tick(retention_s)
        assert older.submit("r2", claim("t9"), retention_s) is None

    def test_full_table_treats_no_key_as_new(self):
        # A key that the full table could not store would look new to the next caller, and its
        # request would run twice.
        resolver = claims()
        for i in range(4):
            resolver.apply(i, record(claim(f"t{i}", key=f"k{i}")), 0.0)

        assert isinstance(resolver.submit("r1", claim("t9", key="k3"), 1.0), KeyUnavailable)
        assert resolver.submit("r2", claim("t9", key="k0"), 1.0) == KeyLost("t0")
        resolver.tick(101.0)
        assert resolver.submit("r3", claim("t9", key="k9"), 101.0) is None

    @pytest.mark.parametrize(
        "poison",
        [None, 7, {}, {"claims": 3}, {"claims": [["k"]]}, {"claims": [[1, 2, 3]]}],
        ids=["none", "number", "empty", "no-list", "short-row", "wrong-types"],
    )
    def test_malformed_record_claims_nothing(self, poison):
        resolver = claims()

        resolver.apply(0, poison, 0.0)

        assert (len(resolver), resolver.next_offset) == (0, 1)

    def test_record_is_not_applied_twice(self):
        resolver = claims()
        resolver.apply(5, record(claim("t5")), 0.0)

        resolver.apply(5, record(claim("t6", key="k6")), 0.0)

        assert len(resolver) == 1


class TestKeys:
    def test_accounts_and_services_never_share_a_key(self):
        digests = {key_digest(a, s, "k") for a in ("a", "ab") for s in ("b", "c")}

        assert len(digests) == 4

    def test_stream_depends_on_the_key_alone(self):
        digests = [key_digest("a", "s", str(i)) for i in range(256)]

        assert len({claim_shard(digest, 64) for digest in digests}) > 48
