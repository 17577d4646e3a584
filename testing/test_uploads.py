import pytest

from beryljunction.systems import UploadSystem


def uploads(*held: tuple[str, int], limit_bytes: int = 1000) -> UploadSystem:
    system = UploadSystem(limit_bytes)
    for account, size_bytes in held:
        assert system.begin(account, size_bytes) is not None
    return system


class TestUploadSystem:
    @pytest.mark.parametrize(
        ("hogs", "held_bytes"),
        [(["jury"], 500), (["jury", "mill"], 660), (["jury", "mill", "fair"], 750)],
        ids=["half", "two-thirds", "three-quarters"],
    )
    def test_space_is_left_for_small_accounts(self, hogs, held_bytes):
        # A few accounts start far more uploads than fit and end none. Without the threshold they
        # would use the whole limit, and a short body of another account would be refused.
        system = uploads()
        for _ in range(1000):
            for account in hogs:
                system.begin(account, 10)

        assert system.held_bytes == pytest.approx(held_bytes, abs=10 * len(hogs))
        assert system.begin("hall", 100) is not None

    def test_longest_body_fits_while_its_account_sends_nothing_else(self):
        assert uploads(("mill", 100)).begin("jury", 900) is not None

    def test_body_without_a_length_counts_as_it_arrives(self):
        system = uploads(("jury", 400))
        upload = system.begin("jury", 0)

        assert [system.receive(upload, 50) for _ in range(3)] == [True, True, False]
        assert system.held_bytes == 500

    def test_announced_body_counts_once(self):
        system = uploads()
        upload = system.begin("jury", 100)

        system.receive(upload, 100)

        assert system.held_bytes == 100

    def test_ended_upload_gives_everything_back(self):
        system = uploads()
        for size_bytes in (500, 900, 1000):
            system.end(system.begin("jury", size_bytes))

        assert system.held_bytes == 0
        assert system.begin("jury", 1001) is None

    def test_request_without_a_body_is_never_refused(self):
        assert uploads(("jury", 1000)).begin("jury", 0) is not None

    def test_heavier_account_gets_more(self):
        system = uploads()
        while system.begin("jury", 10, weight=4.0) is not None:
            pass

        assert system.held_bytes == 800
