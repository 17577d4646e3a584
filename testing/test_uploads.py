import pytest

from beryljunction.systems import UploadLimiter


def uploads(*held: tuple[str, int], limit_bytes: int = 1000) -> UploadLimiter:
    limiter = UploadLimiter(limit_bytes)
    for account, size_bytes in held:
        assert limiter.begin(account, size_bytes) is not None
    return limiter


class TestUploadLimiter:
    @pytest.mark.parametrize(
        ("hogs", "held_bytes"),
        [(["jury"], 500), (["jury", "mill"], 660), (["jury", "mill", "fair"], 750)],
        ids=["half", "two-thirds", "three-quarters"],
    )
    def test_space_is_left_for_small_accounts(self, hogs, held_bytes):
        # A few accounts start far more uploads than fit and end none. Without the threshold they
        # would use the whole limit, and a short body of another account would be refused.
        limiter = uploads()
        for _ in range(1000):
            for account in hogs:
                limiter.begin(account, 10)

        assert limiter.held_bytes == pytest.approx(held_bytes, abs=10 * len(hogs))
        assert limiter.begin("hall", 100) is not None

    def test_longest_body_fits_while_its_account_sends_nothing_else(self):
        assert uploads(("mill", 100)).begin("jury", 900) is not None

    def test_body_without_a_length_counts_as_it_arrives(self):
        limiter = uploads(("jury", 400))
        upload = limiter.begin("jury", 0)

        assert [limiter.receive(upload, 50) for _ in range(3)] == [True, True, False]
        assert limiter.held_bytes == 500

    def test_announced_body_counts_once(self):
        limiter = uploads()
        upload = limiter.begin("jury", 100)

        limiter.receive(upload, 100)

        assert limiter.held_bytes == 100

    def test_ended_upload_gives_everything_back(self):
        limiter = uploads()
        for size_bytes in (500, 900, 1000):
            limiter.end(limiter.begin("jury", size_bytes))

        assert limiter.held_bytes == 0
        assert limiter.begin("jury", 1001) is None

    def test_request_without_a_body_is_never_refused(self):
        assert uploads(("jury", 1000)).begin("jury", 0) is not None

    def test_heavier_account_gets_more(self):
        limiter = uploads()
        while limiter.begin("jury", 10, weight=4.0) is not None:
            pass

        assert limiter.held_bytes == 800
