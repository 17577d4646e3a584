"""Desired and actual state of engines, and the rollout progress of each endpoint."""

import enum
from collections.abc import Iterator
from typing import Any

import attrs

__all__ = ["DesiredState", "EngineState", "OrderRow", "OrderRowTable", "Phase"]


class Phase(enum.StrEnum):
    """Phase of an endpoint in a rollout.

    In ``DRAINING`` it takes no new requests and waits for the running ones; in ``LOADING`` it can't
    serve.
    """

    SERVING = "serving"
    INTENDS = "intends"
    DRAINING = "draining"
    LOADING = "loading"
    LEAVING = "leaving"


@attrs.frozen
class DesiredState:
    """State that the settings demand of an engine.

    Attributes:
        models: Version by model name.
        fence: Fencing token: the version of the settings, which is an offset of the log.
    """

    models: dict[str, str]
    adapters: tuple[str, ...]
    role: str
    fence: int


@attrs.frozen
class EngineState:
    """State that an engine reports.

    Attributes:
        models: Version by name of the models that are ready.
        loading: Version by name of the models that are being loaded.
        fence: Highest fencing token of an accepted order; None if the engine stores none.
        failed: Why the last load failed; empty if it did not.
    """

    models: dict[str, str] = attrs.field(factory=dict)
    adapters: tuple[str, ...] = ()
    role: str = "both"
    loading: dict[str, str] = attrs.field(factory=dict)
    loading_adapters: tuple[str, ...] = ()
    fence: int | None = None
    failed: str = ""

    @property
    def is_loading(self) -> bool:
        """Whether a load is in progress."""
        return bool(self.loading or self.loading_adapters)

    def serves(self, desired: DesiredState) -> bool:
        """Whether every desired model can be served, possibly in an older version."""
        return not self.is_loading and desired.models.keys() <= self.models.keys()

    def fulfils(self, desired: DesiredState) -> bool:
        """Whether the engine's state equals the desired state."""
        has = (self.models, set(self.adapters), self.role)
        wants = (desired.models, set(desired.adapters), desired.role)
        return not self.is_loading and has == wants

    @staticmethod
    def from_data(data: Any) -> "EngineState":
        """Return the state from an engine's answer.

        Raises:
            ValueError: If the data does not describe an engine's state.
        """
        try:
            return EngineState(
                models=dict(data["models"]),
                adapters=tuple(data.get("adapters", ())),
                role=str(data.get("role", "both")),
                loading=dict(data.get("loading", {})),
                loading_adapters=tuple(data.get("loading_adapters", ())),
                fence=data.get("fence"),
                failed=str(data.get("failed") or ""),
            )
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"expected an engine's state, got {str(data)[:80]}") from error


@attrs.frozen
class OrderRow:
    """Rollout progress of one endpoint, as its sidecar reports it to others of its service.

    Attributes:
        done: Whether the engine is in the state that its sidecar's settings demand.
        serves: Whether the endpoint serves callers.
    """

    endpoint_id: str
    phase: Phase
    done: bool
    serves: bool
    fence: int


class OrderRowTable:
    """Rows from other endpoints with their receive time; they need not be in the host list."""

    def __init__(self) -> None:
        self._rows: dict[str, tuple[OrderRow, float]] = {}

    def put(self, row: OrderRow, now_s: float) -> None:
        """Store the row of an endpoint."""
        self._rows[row.endpoint_id] = (row, now_s)

    def get(self, endpoint_id: str) -> OrderRow | None:
        """Return the newest row of an endpoint."""
        found = self._rows.get(endpoint_id)
        return found[0] if found is not None else None

    def drop_older(self, heard_s: float) -> None:
        """Remove rows that were received before a time."""
        self._rows = {i: pair for i, pair in self._rows.items() if pair[1] >= heard_s}

    def __iter__(self) -> Iterator[OrderRow]:
        return iter([row for row, _ in self._rows.values()])
