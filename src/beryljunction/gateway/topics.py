"""Reads a topic of the platform's store, and passes its records on to other entries."""

import collections
from collections.abc import Awaitable, Callable, Iterable, Sequence

import anyio

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.schedules import FAILED_PAUSE_S
from beryljunction.gateway.state import EntryState
from beryljunction.gateway.updates import TopicUpdate
from beryljunction.platform import (
    Expired,
    Newest,
    Record,
    Records,
    Store,
    Topic,
    Unavailable,
    era_of,
)
from beryljunction.routing import Confirmation, StoreContact

__all__ = ["Take", "TopicReader", "paced", "rest_until_back"]

# Longest rest of a reader that leaves it to another one to find out when the store is back.
_LONGEST_REST_S = 2.0
# Records kept for entries that go on by this one; one that lacks more gets the newest of each key.
_MOST_RECENT = 256

Take = Callable[[Iterable[Record]], None]


class TopicReader:
    """Reads a topic from its newest records on, and again from there when its history is gone.

    Attributes:
        known: As of when the records are complete here.

    """

    def __init__(
        self, store: Store, state: EntryState, topic: Topic, known: Confirmation | None = None
    ) -> None:
        self._store = store
        self.state = state
        self.known = Confirmation() if known is None else known
        self._topic = topic
        self._offset: int | None = None
        self._recent: collections.deque[Record] = collections.deque()
        self._recent_from = 0
        self._listed: int | None = None
        self._is_lost = False

    async def step(
        self,
        wait_ms: int,
        take_all: Take,
        take: Take,
        answer_timeout_s: float | None = None,
    ) -> bool:
        """Read once; False when there was no usable answer.

        Args:
            wait_ms: How long the store may wait for a record.
            take_all: Takes the newest record of each key.
            take: Takes records that follow those known.
            answer_timeout_s: Time for an answer to begin on top of that; None for the store's own
                limit.
        """
        asked = self._offset
        asked_s = boot_time_s()
        if asked is None:
            answer: Newest | Records | Expired | Unavailable = await self._store.newest(self._topic)
        else:
            answer = await self._read(asked, wait_ms, answer_timeout_s)
        if isinstance(answer, Unavailable):
            self._note_lost(answer.reason)
            self.state.contact.note_failure()
            return False
        if isinstance(answer, Expired):
            if self._offset == asked:
                self.state.events.write("history_expired", topic=self._topic.name, offset=asked)
                self._offset = None
            return await self.step(wait_ms, take_all, take, answer_timeout_s)
        self._note_regained()
        now_s = boot_time_s()
        self.state.contact.note_answer(asked_s, now_s)
        if isinstance(answer, Newest):
            self._replace(answer.records, answer.next_offset, take_all)
        elif isinstance(answer, Records):
            self._add(answer.records, answer.next_offset, take)
        self.known.confirm(_complete_at_s(answer, asked_s, now_s, wait_ms / 1000))
        self.state.news.set()
        return True

    async def _read(
        self, offset: int, wait_ms: int, answer_timeout_s: float | None
    ) -> Records | Expired | Unavailable:
        if answer_timeout_s is None:
            return await self._store.read(self._topic, offset, wait_ms)
        answer: Records | Expired | Unavailable
        answer = Unavailable(f"expected an answer within {answer_timeout_s:.2f} s")
        async with anyio.create_task_group() as group:
            limit_s = wait_ms / 1000 + answer_timeout_s
            group.start_soon(self._give_up, group.cancel_scope, limit_s)
            answer = await self._store.read(self._topic, offset, wait_ms)
            group.cancel_scope.cancel()
        return answer

    async def _give_up(self, read: anyio.CancelScope, limit_s: float) -> None:
        """End a read whose answer has not begun; many records on a thin link take longer."""
        await anyio.sleep(limit_s)
        if not self._store.is_receiving(self._topic):
            read.cancel()

    def confirm_to(self, end: int, asked_s: float, source: str) -> None:
        """Note that another entry has the records up to a position, as of when it asked.

        Whoever lacks some of them is not confirmed: it has to get those first.
        """
        if self.position >= end:
            self.known.confirm(asked_s, source)

    def _replace(self, records: Iterable[Record], end: int, take_all: Take) -> None:
        """Take in the newest record of each key, unless later ones are known."""
        if self._offset is not None and end < self._offset:
            return
        if self._listed is not None and era_of(end) > era_of(self._listed):
            self._note_restored(era_of(self._listed), era_of(end))
        self.state.era = max(self.state.era, era_of(end))
        self._offset = self._recent_from = self._listed = end
        self._recent.clear()
        take_all(records)
        self.state.news.set()

    def _add(self, records: Sequence[Record], end: int, take: Take) -> None:
        """Take in records that go on where the known ones end, or before that.

        What lies before the known end is left out: an answer that was overtaken by an update of
        another entry would bring back an endpoint that is leaving.
        """
        known = max(0, (self._offset or 0) - (end - len(records)))
        new = records[known:]
        if not new:
            return
        self._offset = end
        self._recent.extend(new)
        while len(self._recent) > _MOST_RECENT:
            self._recent.popleft()
        self._recent_from = end - len(self._recent)
        take(new)
        self.state.news.set()

    def update_since(
        self, offset: int, newest: Callable[[], tuple[Record, ...]]
    ) -> TopicUpdate | None:
        """Return what came after a position: records, or the newest of each key; None for nothing.

        Args:
            offset: The position; negative for none.
            newest: Returns the newest record of each key.
        """
        end = self._offset
        if end is None or offset >= end:
            return None
        if offset < self._recent_from:
            return TopicUpdate(newest(), None, end)
        first = len(self._recent) - (end - offset)
        return TopicUpdate(tuple(self._recent)[first:], offset, end)

    def apply_update(self, update: TopicUpdate, take_all: Take, take: Take) -> None:
        """Take in what another entry has read, where it goes on from what is known here."""
        if update.first is None:
            if self._offset is None or update.end > self._offset:
                self._replace(update.records, update.end, take_all)
        elif self._offset is not None and update.first <= self._offset:
            self._add(update.records, update.end, take)

    @property
    def offset(self) -> int | None:
        """Position up to which records are taken in; None before the first read."""
        return self._offset

    @property
    def position(self) -> int:
        """The same as a number; -1 before the first read."""
        return -1 if self._offset is None else self._offset

    def _note_restored(self, before: int, era: int) -> None:
        """Take in that the store lost what was written since its copy was made."""
        topic = self._topic.name
        self.state.events.write("store_restored", topic=topic, era_before=before, era=era)
        self.state.contact.note_restored(boot_time_s())

    def _note_lost(self, reason: str) -> None:
        if not self._is_lost:
            self.state.events.write("store_lost", topic=self._topic.name, reason=reason)
        self._is_lost = True

    def _note_regained(self) -> None:
        if self._is_lost:
            self.state.events.write("store_regained", topic=self._topic.name)
        self._is_lost = False


def _complete_at_s(answer: Newest | Records, asked_s: float, now_s: float, wait_s: float) -> float:
    """Return as of when nothing is missing after an answer.

    A read that came back empty was held by the store for the whole wait.
    """
    is_waited_out = isinstance(answer, Records) and not answer.records and now_s >= asked_s + wait_s
    return asked_s + wait_s if is_waited_out else asked_s


async def rest_until_back(contact: StoreContact, longest_s: float = _LONGEST_REST_S) -> None:
    """Rest after a failed read until another one was answered, or for a while.

    One read after the other finds out when the store is back; each refused call is paid for.
    """
    failed_s = boot_time_s()
    while contact.confirmed_s < failed_s and boot_time_s() - failed_s < longest_s:
        await anyio.sleep(FAILED_PAUSE_S)


async def paced(
    step: Callable[[], Awaitable[bool]],
    distance_s: float,
    failed_pause_s: float = FAILED_PAUSE_S,
) -> bool:
    """Step once, and rest so that steps are at least this distance apart; False if it failed."""
    started_s = boot_time_s()
    done = await step()
    rest_s = started_s + distance_s - boot_time_s() if done else failed_pause_s
    await anyio.sleep(max(0.0, rest_s))
    return done
