from beryljunction.routing import AnnouncedVersion


class TestAnnouncedVersion:
    def test_answer_to_an_earlier_question_stays_valid(self):
        """Guards against refused callers while settings change faster than a slow link reads."""
        announced = AnnouncedVersion()
        announced.note(9, "other", 10.5)

        assert announced.is_newer(8, 11.0)
        assert not announced.contradicts(8, 10.0, 11.0)

    def test_later_answer_without_the_version_proves_nothing(self):
        """Guards against a restored store that confirms settings from before a revocation."""
        announced = AnnouncedVersion()
        announced.note(9, "other", 10.5)

        assert announced.contradicts(8, 10.6, 11.0)
        assert not announced.contradicts(9, 10.6, 11.0)

    def test_version_that_no_entry_has_any_more_is_forgotten(self):
        """Guards against callers that are refused for good after a wrong announcement."""
        announced = AnnouncedVersion(memory_s=5.0)
        announced.note(9, "other", 10.0)
        announced.note(9, "third", 12.0)
        announced.note(8, "other", 16.0)

        assert announced.contradicts(8, 16.5, 16.9)
        assert not announced.contradicts(8, 16.5, 17.1)
        assert announced.host == "third"

    def test_announcement_is_not_forwarded_for_good(self):
        """Guards against entries that keep a wrong announcement alive among themselves."""
        announced = AnnouncedVersion()
        announced.note(9, "other", 10.0)
        announced.note(9, "third", 11.9)

        assert announced.forwarded(11.9) == 9
        assert announced.forwarded(12.1) == -1
