"""What engines should hold, what they hold, and how far each endpoint of a service is."""

import enum
from collections.abc import Iterator
from typing import Any

import attrs

__all__ = ["EngineState", "OrderRow", "OrderRowTable", "Phase", "Wanted"]


class Phase(enum.StrEnum):
    """What an endpoint does about its orders.

    ``DRAINING`` takes no new work and waits for what runs; ``LOADING`` can't serve.
    """

    SERVING = "serving"
    INTENDS = "intends"
    DRAINING = "draining"
    LOADING = "loading"
    LEAVING = "leaving"


@attrs.frozen
class Wanted:
    """What the settings want an engine to hold.

    Attributes:
        models: Version by model name.
        fence: Version of the settings, which is an offset of the log: the fencing number.
    """

    models: dict[str, str]
    adapters: tuple[str, ...]
    role: str
    fence: int


@attrs.frozen
class EngineState:
    """What an engine says that it holds.

    Attributes:
        models: Version by name of the models that are ready.
        loading: Version by name of the models that are being loaded.
        fence: Highest fencing number it took an order with; None when it does not keep any.
        failed: Why the last load failed; empty when it did not.
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
        """Whether any load is under way."""
        return bool(self.loading or self.loading_adapters)

    def serves(self, wanted: Wanted) -> bool:
        """Whether callers of every wanted model are served, if by an older version."""
        return not self.is_loading and wanted.models.keys() <= self.models.keys()

    def fulfils(self, wanted: Wanted) -> bool:
        """Whether the engine holds just what is wanted."""
        has = (self.models, set(self.adapters), self.role)
        wants = (wanted.models, set(wanted.adapters), wanted.role)
        return not self.is_loading and has == wants

    @staticmethod
    def from_data(data: Any) -> "EngineState":
        """Return the state in an engine's answer.

        Raises:
            ValueError: When the data does not fit.
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
    """How far one endpoint is, as its sidecar tells the others of its service.

    Attributes:
        done: Whether the engine holds what its sidecar's settings want.
        serves: Whether callers are served.
    """

    endpoint_id: str
    phase: Phase
    done: bool
    serves: bool
    fence: int


class OrderRowTable:
    """Rows heard of other endpoints and when, also of endpoints that the host list lacks."""

    def __init__(self) -> None:
        self._rows: dict[str, tuple[OrderRow, float]] = {}

    def put(self, row: OrderRow, now_s: float) -> None:
        """Keep what an endpoint said."""
        self._rows[row.endpoint_id] = (row, now_s)

    def get(self, endpoint_id: str) -> OrderRow | None:
        """Return the newest row of an endpoint."""
        found = self._rows.get(endpoint_id)
        return found[0] if found is not None else None

    def drop_older(self, heard_s: float) -> None:
        """Forget rows that were last heard before a time."""
        self._rows = {i: pair for i, pair in self._rows.items() if pair[1] >= heard_s}

    def __iter__(self) -> Iterator[OrderRow]:
        return iter([row for row, _ in self._rows.values()])
