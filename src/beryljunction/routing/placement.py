"""Chooses an endpoint; plain placement takes the least loaded one, nearby ones first."""

import abc
import random
from collections.abc import Sequence

import attrs

from beryljunction.routing.health import weighted_loads
from beryljunction.routing.known_endpoint import KnownEndpoint
from beryljunction.routing.mechanisms import ALL_ON, Mechanisms
from beryljunction.routing.prefix_directory import PromptParts

__all__ = ["Placement", "PlacementRequest", "PlainPlacement", "PrefillPlan"]

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
    """

    parts: PromptParts = PromptParts()
    excluded_endpoints: Sequence[KnownEndpoint] = ()


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
    def choose(
        self, rows: Sequence[KnownEndpoint], request: PlacementRequest, now_s: float
    ) -> KnownEndpoint | None:
        """Return the endpoint that is to get the request; None if there is none."""

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
    its time. Ties are broken at random, so that entries which know the same loads don't all pick
    the same endpoint.
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

    def choose(
        self, rows: Sequence[KnownEndpoint], request: PlacementRequest, now_s: float
    ) -> KnownEndpoint | None:
        """Return the least loaded endpoint."""
        loads = weighted_loads(rows, now_s, self._mechanisms)
        return min(
            rows, key=lambda row: self._load_share(row, loads[row.incarnation_id]), default=None
        )

    def note_first_byte(self, service: str, prefill: PrefillPlan, took_ms: float) -> None:
        """Do nothing: plain calls have no long prompt."""

    def _load_share(self, row: KnownEndpoint, load: float) -> tuple[float, float]:
        share = load / max(1, row.record.slots)
        if self._mechanisms.zone_penalty and row.record.availability_zone != self._zone:
            share += _OTHER_ZONE_PENALTY
        return share, self._draw.random()
