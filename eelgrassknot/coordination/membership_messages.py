"""Events of the membership of entry VMs."""

import msgspec

from eelgrassknot import ids
from eelgrassknot.storage import base

__all__ = ['Event', 'HeartbeatReceived', 'ListRead', 'PeerLocation', 'Tick']


class PeerLocation(msgspec.Struct, frozen=True):
    """Zone of a peer and the address on which it listens to peers."""

    vm: ids.VmId
    address: str
    availability_zone: ids.AvailabilityZoneId
    region: ids.RegionId


class HeartbeatReceived(msgspec.Struct, frozen=True):
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


class ListRead(msgspec.Struct, frozen=True):
    """The platform's list was read."""

    entries: tuple[base.VmEntry, ...]


class Tick(msgspec.Struct, frozen=True):
    """Time has passed."""


Event = HeartbeatReceived | ListRead | PeerLocation | Tick
