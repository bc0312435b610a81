"""Derives the orders that bring an engine to what the text asks for.

Orders are absolute target states, so a repeated order does no harm.
"""

import enum
import graphlib

import msgspec

from eelgrassknot import ids
from eelgrassknot.settings import text as services_text
from eelgrassknot.upstreams import messages

__all__ = [
    'HeldState',
    'Loading',
    'Order',
    'OrderKind',
    'OrderRequest',
    'dependency_order',
    'is_loading',
    'missing_orders',
]


class OrderKind(enum.Enum):
    """Kinds of order that an engine accepts."""

    LOAD_MODEL = 'load_model'
    LOAD_ADAPTER = 'load_adapter'
    SET_VERSION = 'set_version'
    SET_ROLE = 'set_role'


class Order(msgspec.Struct, frozen=True):
    """One order to one engine."""

    order: OrderKind
    model: str
    version: str | None = None
    adapter: str | None = None
    role: str | None = None

    @property
    def loads_weights(self) -> bool:
        """Whether the engine reads the weight store to carry it out."""
        return self.order in (OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER)


class OrderRequest(msgspec.Struct, frozen=True):
    """An order on the wire.

    Attributes:
        fencing: Fencing number of the lease, or None without a lease.
    """

    fencing: ids.FencingNumber | None
    order: OrderKind
    model: str
    version: str | None = None
    adapter: str | None = None
    role: str | None = None


class Loading(msgspec.Struct, frozen=True):
    """What an engine is loading; fields of the order that asked for it."""

    model: str
    version: str | None = None
    adapter: str | None = None


class HeldState(msgspec.Struct, frozen=True):
    """What an engine says that it holds and is loading."""

    models: tuple[messages.HeldModel, ...] = ()
    loading: tuple[Loading, ...] = ()
    role: str | None = None

    def held(self, model: str) -> messages.HeldModel | None:
        """Return what the engine holds of a model, or None."""
        for held in self.models:
            if held.model == model:
                return held
        return None


def missing_orders(
    target: services_text.Model, state: HeldState
) -> tuple[Order, ...]:
    """Return the orders that an engine still needs, in their order.

    Args:
        target: What the engine has to hold.
        state: What it holds now.

    Example:
        >>> target = services_text.Model('m', '2')
        >>> [o.order.value for o in missing_orders(target, HeldState())]
        ['load_model']
    """
    held = state.held(target.model)
    if held is None:
        load = Order(OrderKind.LOAD_MODEL, target.model, target.version)
        return (load, *_adapter_orders(target, ()))
    adapters = _adapter_orders(target, held.adapters)
    if held.version == target.version:
        return adapters
    change = Order(OrderKind.SET_VERSION, target.model, target.version)
    return (change, *adapters)


def _adapter_orders(
    target: services_text.Model, held: tuple[str, ...]
) -> tuple[Order, ...]:
    return tuple(
        Order(OrderKind.LOAD_ADAPTER, target.model, adapter=adapter)
        for adapter in target.adapters
        if adapter not in held
    )


def is_loading(target: services_text.Model, state: HeldState) -> bool:
    """Return whether an engine is loading what the target names."""
    return any(loading.model == target.model for loading in state.loading)


def dependency_order(
    text: services_text.ServicesText,
) -> list[ids.ServiceName]:
    """Return the services so that each follows those it depends on.

    Args:
        text: A checked text, whose services depend on each other
            without a cycle.

    Raises:
        graphlib.CycleError: If the text was not checked and has one.
    """
    graph = {s.service: s.depends_on for s in text.services}
    return list(graphlib.TopologicalSorter(graph).static_order())
