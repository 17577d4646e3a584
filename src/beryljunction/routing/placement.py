"""Chooses an endpoint; the plain way is to take the emptiest one, nearer ones first."""

import abc
import random
from collections.abc import Sequence

import attrs

from beryljunction.routing.knownendpoint import KnownEndpoint
from beryljunction.routing.mechanisms import ALL_ON, Mechanisms
from beryljunction.routing.soundness import weighted_loads
from beryljunction.routing.warmth import PromptParts

__all__ = ["Demand", "Placement", "PlainPlacement", "Reading"]

# A plain endpoint in another availability zone counts as this much fuller (share of its slots):
# the way there costs 0.5 to 1.4 ms of some 45 ms of work.
_OTHER_ZONE_SHARE = 0.05


@attrs.frozen
class Demand:
    """What placement knows of a request.

    Attributes:
        parts: Its prompt.
        closed: Endpoints of its service that it may not go to; they count in the mean load.
    """

    parts: PromptParts = PromptParts()
    closed: Sequence[KnownEndpoint] = ()


@attrs.frozen
class Reading:
    """What an endpoint is to do with a prompt before its first token.

    Attributes:
        source: Endpoint to fetch cached parts from; None for nowhere.
        unread_tokens: Tokens that nobody is known to keep, and the request's own.
    """

    source: KnownEndpoint | None = None
    unread_tokens: int = 0


class Placement(abc.ABC):
    """Chooses one of several usable endpoints."""

    @abc.abstractmethod
    def choose(
        self, rows: Sequence[KnownEndpoint], demand: Demand, now_s: float
    ) -> KnownEndpoint | None:
        """Return the endpoint that is to get the request; None when there is none."""

    def reading(
        self, rows: Sequence[KnownEndpoint], chosen: KnownEndpoint, demand: Demand, now_s: float
    ) -> Reading:
        """Return what the chosen endpoint is to read; called once a request is about to be sent.

        Args:
            rows: Endpoints that can be reached, leaving ones too.
            chosen: The endpoint that gets the request.
            demand: What is known of the request.
            now_s: Time on the clock of the endpoints' loads.
        """
        return Reading()

    @abc.abstractmethod
    def note_first(self, service: str, reading: Reading, took_ms: float) -> None:
        """Take in how long an endpoint took to its answer's first byte.

        Args:
            service: The endpoint's service.
            reading: What it was to read for it.
            took_ms: Time from the sending.
        """


class PlainPlacement(Placement):
    """The emptiest endpoint, nearer ones first.

    Load: many short calls to endpoints with few slots. Harm: a call that waits behind another takes
    twice its time. Equal ones are drawn at random, so that entries which read the same loads don't
    all pick the same.
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
        self, rows: Sequence[KnownEndpoint], demand: Demand, now_s: float
    ) -> KnownEndpoint | None:
        """Return the emptiest endpoint."""
        loads = weighted_loads(rows, now_s, self._mechanisms)
        return min(rows, key=lambda row: self._fullness(row, loads[row.start]), default=None)

    def note_first(self, service: str, reading: Reading, took_ms: float) -> None:
        """Do nothing: what is read here is short."""

    def _fullness(self, row: KnownEndpoint, load: float) -> tuple[float, float]:
        share = load / max(1, row.record.slots)
        if self._mechanisms.zone_penalty and row.record.availability_zone != self._zone:
            share += _OTHER_ZONE_SHARE
        return share, self._draw.random()
