"""Loaded models of an engine's stand-in and the orders it receives."""

import msgspec

__all__ = ['Held', 'Order', 'OrderRecord', 'Orders']


class Order(msgspec.Struct):
    """Target state that an engine is ordered to reach."""

    order: str
    model: str = ''
    fencing: int | None = None
    version: str | None = None
    adapter: str | None = None
    role: str | None = None


class Held(msgspec.Struct):
    """A loaded model."""

    model: str
    version: str
    adapters: list[str]


class OrderRecord(msgspec.Struct):
    """A received order and whether it was accepted."""

    at_ms: float
    order: Order
    accepted: bool


class Orders:
    """Accepts orders, each of which takes effect after a load time.

    Args:
        check_fencing: Whether stale fencing numbers are refused.
        load_time_ms: Delay until an order takes effect.
        role: Initial role.
    """

    def __init__(
        self, check_fencing: bool, load_time_ms: float, role: str
    ) -> None:
        self.check_fencing = check_fencing
        self.load_time_ms = load_time_ms
        self.role = role
        self.highest_fencing = 0
        self.held: dict[str, Held] = {}
        self.loading: list[tuple[float, Order]] = []
        self.taken: list[OrderRecord] = []

    def hold(self, model: str, version: str, adapters: list[str]) -> None:
        """Load a model immediately."""
        self.held[model] = Held(model, version, list(adapters))

    def take(self, order: Order, now_ms: float) -> int | None:
        """Accept or refuse an order.

        Returns:
            None if the order was accepted, otherwise the highest fencing
            number received so far.
        """
        fencing = order.fencing
        if self.check_fencing and fencing is not None:
            if fencing < self.highest_fencing:
                self.taken.append(OrderRecord(now_ms, order, False))
                return self.highest_fencing
            self.highest_fencing = fencing
        self.taken.append(OrderRecord(now_ms, order, True))
        self.loading.append((now_ms + self.load_time_ms, order))
        return None

    def state(self, now_ms: float) -> dict:
        """Return the loaded models and pending orders."""
        self._apply_due(now_ms)
        return {
            'models': list(self.held.values()),
            'role': self.role,
            'loading': [order for _, order in self.loading],
            'fencing': self.highest_fencing,
        }

    def _apply_due(self, now_ms: float) -> None:
        ready = [order for at_ms, order in self.loading if at_ms <= now_ms]
        self.loading = [
            (at_ms, order) for at_ms, order in self.loading if at_ms > now_ms
        ]
        for order in ready:
            self._apply(order)

    def _apply(self, order: Order) -> None:
        if order.order == 'set_role':
            self.role = order.role or self.role
            return
        held = self.held.get(order.model)
        if order.order == 'load_adapter':
            if held is not None and order.adapter not in held.adapters:
                held.adapters.append(order.adapter)
            return
        version = order.version or (held.version if held else '')
        adapters = held.adapters if held else []
        self.held[order.model] = Held(order.model, version, adapters)
