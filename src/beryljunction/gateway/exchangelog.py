"""Writes the log events of one request."""

from collections.abc import Sequence
from typing import Any

from beryljunction.clocks import boot_time_s
from beryljunction.gateway.caller_answer import CallerAnswer
from beryljunction.gateway.state import EntryState
from beryljunction.routing import Account, Choice, PassedOver, PlacementRequest, PrefillPlan, Route

__all__ = ["ExchangeLog"]

# Endpoints on a line that were passed over; the line says how many there were.
_MAX_PASSED_OVER = 6


class ExchangeLog:
    """Writes log events with the fields that all events of a request share.

    Attributes:
        request_id: Request id that the caller sent; empty until it is read.
        digest: Hash of the request's content, equal for a repeat under another request id; empty
            until the request is admitted.
        resumed_request_id: Request id of the attempt in which the stream that the caller resumes
            began; empty if it resumes none, or doesn't name it.
        reported_load: Requests that the endpoint stated to have, with this one, in its last answer;
            None if it stated none.
    """

    def __init__(self, state: EntryState) -> None:
        self._state = state
        self.request_id = ""
        self.digest = ""
        self.resumed_request_id = ""
        self.reported_load: int | None = None

    def write(self, event: str, **fields: Any) -> None:
        """Write an event with the version and age of the settings."""
        config = self._state.config
        self._state.events.write(
            event,
            request_id=self.request_id,
            settings_version=config.version if config is not None else 0,
            settings_age_s=round(self._state.lease.age_s(boot_time_s()), 3),
            **fields,
        )

    def log_sent(
        self,
        choice: Choice,
        route: Route,
        account: Account | None,
        placement_request: PlacementRequest,
        prefill: PrefillPlan,
        **fields: Any,
    ) -> None:
        """Write that the request was sent to an endpoint, with the values behind that choice."""
        endpoint, parts = choice.endpoint, placement_request.parts.ids
        known = self._state.endpoints_confirmation
        self.write(
            "sent",
            route=route.name,
            account=account.name if account is not None else "",
            digest=self.digest,
            endpoint=endpoint.record.endpoint_id,
            version=endpoint.record.version or "",
            resumes=self.resumed_request_id,
            endpoints_age_s=round(known.age_s(boot_time_s()), 3),
            endpoints_by=known.source,
            load=round(choice.load, 1),
            waiting=endpoint.reported_waiting,
            load_age_s=round(choice.age_s, 2),
            mean_load=round(choice.mean_load, 1),
            bound=round(choice.bound, 1) if choice.bound is not None else "",
            passed_over=_format_passed_over(choice.passed_over),
            session=parts[-1] if parts else "",
            parts=",".join(parts),
            reading=endpoint.prefill_tokens,
            unread=prefill.uncached_tokens,
            fetch_from=prefill.source.record.endpoint_id if prefill.source is not None else "",
            **fields,
        )

    def log_ended(self, caller_answer: CallerAnswer, arrived_s: float) -> None:
        """Write the status and latencies of the answer that the caller received."""
        first_byte_s = caller_answer.first_byte_s
        self.write(
            "answered" if caller_answer.is_complete else "not_answered",
            status=caller_answer.status,
            first_ms=(
                round((first_byte_s - arrived_s) * 1000, 1) if first_byte_s is not None else None
            ),
            whole_ms=round((boot_time_s() - arrived_s) * 1000, 1),
            endpoint_load=self.reported_load if self.reported_load is not None else "",
        )


def _format_passed_over(passed_over: Sequence[PassedOver]) -> str:
    """Return id, load, age and reason of the first endpoints, and the number of further ones."""
    shown = [
        f"{row.endpoint_id}:{row.load:.1f}:{row.age_s:.2f}:{row.reason.value}"
        for row in passed_over[:_MAX_PASSED_OVER]
    ]
    more = len(passed_over) - len(shown)
    return ",".join([*shown, f"+{more}"] if more else shown)
