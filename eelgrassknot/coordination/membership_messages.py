"""Events of the membership of entry VMs."""

import dataclasses

from eelgrassknot import ids
from eelgrassknot.storage import base

__all__ = ['Event', 'HeartbeatReceived', 'ListRead', 'PeerLocation', 'Tick']


@dataclasses.dataclass(frozen=True)
class PeerLocation:
    """Zone of a peer and the address on which it listens to peers."""

    vm: ids.VmId
    address: str
    availability_zone: ids.AvailabilityZoneId
    region: ids.RegionId


@dataclasses.dataclass(frozen=True)
class HeartbeatReceived:
    """A heartbeat was received; the link has authenticated its sender.

    Attributes:
        started_ms: Wall-clock time at which the sender's process started;
            orders two incarnations of a VM if both are received.
        unheard: Zone peers from which the sender receives no heartbeats.
    """

    vm: ids.VmId
    incarnation: ids.IncarnationId
    started_ms: int
    sequence: int
    leaving: bool
    unheard: frozenset[ids.VmId] = frozenset()


@dataclasses.dataclass(frozen=True)
class ListRead:
    """The platform's list was read."""

    entries: tuple[base.VmEntry, ...]


@dataclasses.dataclass(frozen=True)
class Tick:
    """Time has passed."""


Event = HeartbeatReceived | ListRead | PeerLocation | Tick
