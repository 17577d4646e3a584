from beryljunction.routing import (
    CacheAwarePlacement,
    MovedSession,
    MovedSessions,
    PlacementRequest,
    PromptParts,
)
from routing_fakes import known

SESSION = MovedSession(("common", "chat"), ("e1", 1))


def request(session):
    return PlacementRequest(PromptParts(("common", session), (500, 2_000)))


class Entries:
    """Two entries that place sessions on the same endpoints."""

    def __init__(self, count=5):
        self.rows = [known(f"e{number}") for number in range(count)]
        self.one, self.two = CacheAwarePlacement(), CacheAwarePlacement()

    def send(self, entry, session, now_s):
        """Choose and send; return the endpoint and where it fetches the prefix from."""
        row = entry.choose(self.rows, request(session), now_s)
        prefill = entry.plan_prefill(self.rows, row, request(session), now_s)
        return row, prefill

    def move(self, session, now_s):
        """Let the first entry place a session while its first two endpoints are overloaded."""
        for _ in range(2):
            home = CacheAwarePlacement().choose(
                [row for row in self.rows if not row.in_flight], request(session), now_s
            )
            home.in_flight = 40
        moved, _ = self.send(self.one, session, now_s)
        for row in self.rows:
            row.in_flight = 0
        return moved

    def share_moved(self, now_s):
        for session in self.one.moved.since(0):
            self.two.note_moved_session(session, now_s)


class TestMovedSessions:
    def test_session_is_announced_once_and_again_before_peers_forget_it(self):
        moved = MovedSessions()

        moved.note(SESSION, 0.0)
        moved.note(SESSION, 10.0)

        assert (moved.end, list(moved.since(0)), list(moved.since(1))) == (1, [SESSION], [])

        moved.note(SESSION, 16.0)

        assert (moved.end, list(moved.since(1))) == (2, [SESSION])

    def test_peer_that_missed_many_sessions_gets_the_newest(self):
        moved = MovedSessions()
        for number in range(1_000):
            moved.note(MovedSession(("common", f"chat{number}"), ("e1", 1)), 0.0)

        rows = list(moved.since(3))

        assert len(rows) == 256
        assert rows[-1].part_ids[-1] == "chat999"


class TestSessionsOfTwoEntries:
    def test_moved_session_is_found_by_another_entry(self):
        """Guards against recomputing the prefix of a session that another entry moved off its home.

        An entry that was not told would send it to its home, which has not prefilled it, and would
        fetch from the next endpoint in order, which has not either.
        """
        entries = Entries()
        moved = entries.move("chat", 0.0)
        without_news, _ = entries.send(CacheAwarePlacement(), "chat", 1.0)

        entries.share_moved(1.0)
        found, prefill = entries.send(entries.two, "chat", 1.0)

        assert without_news is not moved
        assert (found, prefill.uncached_tokens) == (moved, 0)

    def test_session_at_its_home_is_not_announced(self):
        entries = Entries()
        for number in range(50):
            entries.send(entries.one, f"chat{number}", 0.0)

        assert entries.one.moved.end == 0

    def test_sessions_with_a_new_endpoint_as_home_are_announced_when_it_joins(self):
        """Guards against recomputing prefixes when two engines are added one after the other.

        An entry that was not told of a chat would send it to one new engine and fetch its prefix
        from the other new one.
        """
        entries = Entries()
        before = {n: entries.send(entries.one, f"chat{n}", 0.0)[0] for n in range(100)}

        for name in ("new1", "new2"):
            entries.rows.append(known(name))
            entries.one.announce_outranked_sessions(name, 1.0)
        entries.share_moved(1.0)
        after = {n: entries.send(entries.two, f"chat{n}", 2.0)[0] for n in range(100)}

        assert after == before
        assert entries.one.moved.end < 60
