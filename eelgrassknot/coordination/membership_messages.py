"""Events that the membership of entry VMs is told."""

import dataclasses

from eelgrassknot import ids
from eelgrassknot.storage import base

__all__ = ['Event', 'HeartbeatReceived', 'ListRead', 'PeerLocation', 'Tick']


@dataclasses.dataclass(frozen=True)
class PeerLocation:
    """Where a peer is and where it listens to its peers."""

    vm: ids.VmId
    address: str
    availability_zone: ids.AvailabilityZoneId
    region: ids.RegionId


@dataclasses.dataclass(frozen=True)
class HeartbeatReceived:
    """A heartbeat came; the link has checked who sent it.

    Attributes:
        started_ms: Wall-clock time at which the sender's run began;
            tells two incarnations of one VM apart where both are heard.
        unheard: Zone peers that the sender does not hear.
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
