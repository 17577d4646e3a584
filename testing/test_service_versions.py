from beryljunction.routing import ServiceVersions


class TestNote:
    def test_table_is_not_looked_through_for_each_new_version(self, monkeypatch):
        """Guards against a stall of the process when many versions arrive at once."""
        looks = []
        expire = ServiceVersions._expire
        monkeypatch.setattr(
            ServiceVersions,
            "_expire",
            lambda self, now_s: (looks.append(now_s), expire(self, now_s)),
        )
        versions = ServiceVersions()
        for number in range(1_000):
            assert versions.note("s", f"v{number}", 5.0)

        assert len(looks) == 1

    def test_old_versions_are_forgotten(self):
        versions = ServiceVersions()
        versions.note("s", "v1", 0.0)
        versions.note("s", "v2", 61.0)

        assert versions.recent("s", (), 61.0) == {"v2"}
