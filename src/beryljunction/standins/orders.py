"""Orders at a stand-in engine: models, adapters and role, with a fencing number."""

import attrs

__all__ = ["EngineOrders", "OrderState"]


@attrs.define
class OrderState:
    """What an engine has: names with versions; ``fencing`` is that of the last order taken."""

    fencing: int = 0
    role: str = "both"
    models: dict[str, str] = attrs.field(factory=dict)
    adapters: dict[str, str] = attrs.field(factory=dict)
    loading: list[str] = attrs.field(factory=list)


class EngineOrders:
    """Takes orders; an engine that does not check fencing lets an old order undo a newer one."""

    def __init__(self, checks_fencing: bool) -> None:
        self._checks_fencing = checks_fencing
        self.state = OrderState()
        self.taken: list[int] = []

    def take(self, order: OrderState) -> bool:
        """Put an order in force; False when its fencing number is older than the last one's."""
        if self._checks_fencing and order.fencing < self.state.fencing:
            return False
        self.state = order
        self.taken.append(order.fencing)
        return True
