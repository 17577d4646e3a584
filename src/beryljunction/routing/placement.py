"""Chooses an endpoint; plain placement takes the least loaded one, nearby ones first."""

import abc
import enum
import random
from collections.abc import Sequence

import attrs

from beryljunction.routing.health import weighted_loads
from beryljunction.routing.known_endpoint import KnownEndpoint
from beryljunction.routing.load_bound import mean_load
from beryljunction.routing.mechanisms import ALL_ON, Mechanisms
from beryljunction.routing.prefix_directory import PromptParts

__all__ = [
    "Choice",
    "PassedOver",
    "PassedOverReason",
    "Placement",
    "PlacementRequest",
    "PlainPlacement",
    "PrefillPlan",
]

# Added to the load of a plain endpoint in another availability zone, as a share of its slots: the
# network path costs 0.5 to 1.4 ms of about 45 ms of work.
_OTHER_ZONE_PENALTY = 0.05


@attrs.frozen
class PlacementRequest:
    """What placement knows of a request.

    Attributes:
        parts: Parts of its prompt.
        excluded_endpoints: Endpoints of its service that must not get it; they count in the mean
            load.
        entries: Number of entries that send to the same endpoints.
    """

    parts: PromptParts = PromptParts()
    excluded_endpoints: Sequence[KnownEndpoint] = ()
    entries: int = 1


class PassedOverReason(enum.Enum):
    """Why an endpoint didn't get a request that would have gone to it first."""

    OVER_BOUND = "over_bound"
    QUEUE = "queue"
    PREFILL_QUEUE = "prefill_queue"
    MORE_LOADED = "more_loaded"
    HOT_SESSION = "hot_session"
    ENTRY_SHARE = "entry_share"


@attrs.frozen
class PassedOver:
    """An endpoint that didn't get a request, and what was known of its load.

    Attributes:
        load: Its estimated load, weighted by its slowness.
        age_s: Age of its last load report; infinity without a report.
    """

    endpoint_id: str
    load: float
    age_s: float
    reason: PassedOverReason


@attrs.frozen
class Choice:
    """The endpoint that is to get a request, and the values behind the choice.

    Attributes:
        load: Its estimated load, weighted by its slowness.
        age_s: Age of its last load report; infinity without a report.
        mean_load: Estimated mean load of the service, over all of its endpoints.
        bound: Load from which an endpoint was skipped, before any margin; None if the placement has
            no bound.
        passed_over: Endpoints that would have gone first, in order.
    """

    endpoint: KnownEndpoint
    load: float
    age_s: float
    mean_load: float
    bound: float | None = None
    passed_over: tuple[PassedOver, ...] = ()


@attrs.frozen
class PrefillPlan:
    """How an endpoint is to prefill a prompt before its first token.

    Attributes:
        source: Endpoint to fetch cached parts from; None for none.
        uncached_tokens: Tokens that no endpoint is known to have cached, and the request's own.
    """

    source: KnownEndpoint | None = None
    uncached_tokens: int = 0


class Placement(abc.ABC):
    """Chooses one of several usable endpoints."""

    @abc.abstractmethod
    def decide(
        self, rows: Sequence[KnownEndpoint], request: PlacementRequest, now_s: float
    ) -> Choice | None:
        """Return the endpoint that is to get the request, and why; None if there is none."""

    def choose(
        self, rows: Sequence[KnownEndpoint], request: PlacementRequest, now_s: float
    ) -> KnownEndpoint | None:
        """Return the endpoint that is to get the request; None if there is none."""
        choice = self.decide(rows, request, now_s)
        return choice.endpoint if choice is not None else None

    def plan_prefill(
        self,
        rows: Sequence[KnownEndpoint],
        chosen: KnownEndpoint,
        request: PlacementRequest,
        now_s: float,
    ) -> PrefillPlan:
        """Return how the chosen endpoint is to prefill; called just before a request is sent.

        Args:
            rows: Endpoints that can be reached, including leaving ones.
            chosen: The endpoint that gets the request.
            request: What is known of the request.
            now_s: Time on the clock of the endpoints' loads.
        """
        return PrefillPlan()

    @abc.abstractmethod
    def note_first_byte(self, service: str, prefill: PrefillPlan, took_ms: float) -> None:
        """Record how long an endpoint took to the first byte of its answer.

        Args:
            service: The endpoint's service.
            prefill: How it was to prefill the prompt.
            took_ms: Time since the request was sent.
        """


class PlainPlacement(Placement):
    """Chooses the least loaded endpoint and prefers the entry's own availability zone.

    With many short calls and few slots per endpoint, a call that waits behind another takes twice
    its time. Reports fade within the time of a few calls: older ones say nothing of the load, and
    would send all entries to the same endpoint. Ties are broken at random, so that entries which
    know the same loads don't all pick the same endpoint.
    """

    def __init__(
        self,
        availability_zone: str,
        draw: random.Random,
        mechanisms: Mechanisms = ALL_ON,
    ) -> None:
        self._zone = availability_zone
        self._draw = draw
        self._mechanisms = mechanisms

    def decide(
        self, rows: Sequence[KnownEndpoint], request: PlacementRequest, now_s: float
    ) -> Choice | None:
        """Return the least loaded endpoint."""
        if not rows:
            return None
        loads = weighted_loads(rows, now_s, self._mechanisms, _call_load)
        chosen = min(rows, key=lambda row: self._load_share(row, loads[row.incarnation_id]))
        return Choice(
            chosen,
            loads[chosen.incarnation_id],
            chosen.report_age_s(now_s),
            mean_load(loads.values(), request.excluded_endpoints, now_s),
            passed_over=tuple(
                PassedOver(
                    row.record.endpoint_id,
                    loads[row.incarnation_id],
                    row.report_age_s(now_s),
                    PassedOverReason.MORE_LOADED,
                )
                for row in rows
                if row is not chosen
            ),
        )

    def note_first_byte(self, service: str, prefill: PrefillPlan, took_ms: float) -> None:
        """Do nothing: plain calls have no long prompt."""

    def _load_share(self, row: KnownEndpoint, load: float) -> tuple[float, float]:
        share = load / max(1, row.record.slots)
        if self._mechanisms.zone_penalty and row.record.availability_zone != self._zone:
            share += _OTHER_ZONE_PENALTY
        return share, self._draw.random()


def _call_load(row: KnownEndpoint, now_s: float) -> float:
    return row.load(now_s, row.call_decay_s(now_s))
