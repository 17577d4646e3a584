"""Applies the updates that upstream entries push to this one."""

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.config_watcher import ConfigWatcher
from beryljunction.gateway.endpoint_watcher import EndpointWatcher
from beryljunction.gateway.registration import Registration
from beryljunction.gateway.state import EntryState
from beryljunction.gateway.updates import Progress, Reply, Update
from beryljunction.platform import InvalidRecord

__all__ = ["UpdateReceiver"]


class UpdateReceiver:
    """Applies the updates that other entries send.

    A message may have waited in the socket buffer of a paused host. Its times are therefore
    relative to the last reply of this process start, which it names. So old settings never look
    new, and a revoked key is not accepted.

    Args:
        incarnation: Differs for each process start of this entry.
    """

    def __init__(
        self,
        state: EntryState,
        config: ConfigWatcher,
        endpoints: EndpointWatcher,
        entries: Registration,
        incarnation: str,
    ) -> None:
        self._state = state
        self._config = config
        self._endpoints = endpoints
        self._entries = entries
        self._incarnation = incarnation

    def apply(self, message: bytes) -> bytes | InvalidRecord:
        """Apply a message and return the encoded reply.

        A message that is malformed, has times in the future or comes from an entry that isn't
        known is an invalid record.
        """
        update = Update.decode(message)
        if isinstance(update, InvalidRecord):
            return update
        if update.host not in self._state.fan_out:
            self._entries.mark_incomplete()
            return InvalidRecord(
                f"expected an update from a listed entry, got one from {update.host!r}"
            )
        problem = self._apply_update(update) if update.incarnation == self._incarnation else None
        return problem or self._reply().encode()

    def _apply_update(self, update: Update) -> InvalidRecord | None:
        asked_s = update.clock_s + update.confirmed_s
        regained_s = update.clock_s + (update.regained_s or 0.0)
        progress = (update.endpoints_progress, update.entries_progress)
        spans = (update.confirmed_s, *(row.confirmed_s for row in progress))
        answered_s = update.clock_s + max(span_s for span_s in spans if span_s is not None)
        now_s = boot_time_s()
        if max(answered_s, regained_s) > now_s:
            return InvalidRecord(
                f"expected times in the past, got {answered_s} s and {regained_s} s"
            )
        is_return = update.regained_s is not None
        self._state.store_reachability.note_update(
            answered_s, regained_s if is_return else None, now_s
        )
        evacuations = update.evacuations
        self._state.replace_evacuations(evacuations.zones, evacuations.position)
        if update.entries is not None:
            self._entries.apply_update(update.entries)
        if update.endpoints is not None:
            self._endpoints.apply_update(update.endpoints)
        self._confirm(self._endpoints, update.endpoints_progress, update)
        self._confirm(self._entries, update.entries_progress, update)
        if update.omits_endpoints:
            self._endpoints.mark_behind(update.endpoints_progress.end)
        self._config.apply_update(update.host, update.version, update.config, asked_s)
        self._state.store_data_changed.set()
        return None

    @staticmethod
    def _confirm(
        records: EndpointWatcher | Registration, progress: Progress, update: Update
    ) -> None:
        if progress.confirmed_s is not None:
            asked_s = update.clock_s + progress.confirmed_s
            records.confirm_up_to(progress.end, asked_s, update.host)

    def _reply(self) -> Reply:
        config = self._state.config
        return Reply(
            self._incarnation,
            boot_time_s(),
            config.version if config is not None else -1,
            self._endpoints.position,
            self._entries.position,
        )
