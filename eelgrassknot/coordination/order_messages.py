"""Events that the order planner is told and actions it returns."""

import dataclasses

from eelgrassknot.coordination import orders
from eelgrassknot.coordination import rollout
from eelgrassknot import ids
from eelgrassknot.kernel import events as kernel_events
from eelgrassknot.settings import text as services_text

__all__ = [
    'Action',
    'EnginesKnown',
    'Event',
    'IntentLost',
    'IntentWritten',
    'LeaseGained',
    'LeaseLost',
    'OrderAnswered',
    'RequestSeen',
    'RolloutChanged',
    'SendOrder',
    'StateRead',
    'TextAdopted',
    'Tick',
    'WriteIntent',
]


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseGained:
    """This VM holds the region's lease from now on.

    Attributes:
        records: What earlier holders left of their rollouts.
    """

    fencing: ids.FencingNumber
    records: tuple[rollout.RolloutRecord, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseLost:
    """This VM may order nothing any more."""


@dataclasses.dataclass(frozen=True, slots=True)
class TextAdopted:
    """Another services text is in force."""

    text: services_text.ServicesText


@dataclasses.dataclass(frozen=True, slots=True)
class EnginesKnown:
    """All upstreams of the region, as the membership knows them."""

    upstreams: tuple[kernel_events.UpstreamInfo, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StateRead:
    """An engine said what it holds."""

    upstream: ids.UpstreamId
    state: orders.HeldState


@dataclasses.dataclass(frozen=True, slots=True)
class IntentWritten:
    """The row that announces an order is in the table."""

    upstream: ids.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True)
class IntentLost:
    """The row that announces an order could not be written."""

    upstream: ids.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAnswered:
    """An order was answered, or its answer was given up.

    Attributes:
        stale: Whether the engine knows of a later holder.
    """

    upstream: ids.UpstreamId
    stale: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSeen:
    """A request ended at an engine; bad if by an error or a stall."""

    service: ids.ServiceName
    upstream: ids.UpstreamId
    bad: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event = (
    LeaseGained
    | LeaseLost
    | TextAdopted
    | EnginesKnown
    | StateRead
    | IntentWritten
    | IntentLost
    | OrderAnswered
    | RequestSeen
    | Tick
)


@dataclasses.dataclass(frozen=True, slots=True)
class WriteIntent:
    """Announce an order in the table, on condition of the lease."""

    upstream: ids.UpstreamId
    service: ids.ServiceName
    order: orders.Order
    fencing: ids.FencingNumber


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an announced order, if the lease is still held."""

    upstream: ids.UpstreamId
    address: str
    request: orders.OrderRequest


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutChanged:
    """Keep how far a rollout has come, on condition of the lease."""

    record: rollout.RolloutRecord
    fencing: ids.FencingNumber


Action = WriteIntent | SendOrder | RolloutChanged
