"""Which entry VMs are listed, which were heard of, and whom to link to.

Few VMs are all linked to each other. With more, a VM is linked to its
zone, and two gateways of each zone to those of the others, so that the
messages of a VM grow with its zone alone.
"""

import collections.abc

import msgspec

from eelgrassknot.coordination import links as zone_links
from eelgrassknot.coordination import rendezvous
from eelgrassknot import ids

__all__ = ['PeerRoster', 'VmRow']

ALL_LINKED_VMS = 16
"""Up to so many VMs each is linked to all others: at 25 messages a second
to each that is below 400 messages, 2% of a core."""
PEER_LIVE_MS = 1_500.0
"""A peer counts as live for so long after its last message; ms. Three
times the longest pause between two messages of a zone of ten."""
FAR_SILENT_MS = 3_000.0
"""A gateway that was not heard of for so long is passed over; ms."""
FAR_RETRY_MS = 20_000.0
"""How long a silent gateway is passed over; ms."""
FORGET_MS = 60_000.0
"""The row of a VM of this zone that was silent for so long is deleted;
ms. A VM that lives writes it again."""
_PRUNER_KEY = 'pruner'


class VmRow(msgspec.Struct, frozen=True):
    """Where one VM listens to its peers."""

    address: str
    availability_zone: ids.AvailabilityZoneId


class PeerRoster:
    """The peers of one VM.

    Args:
        vm: This VM.
        availability_zone: Its zone.

    Attributes:
        listed: Rows of the other VMs.
        heard_ms: When each peer was last heard of; one that was never
            heard of counts as heard when it was first listed.
        linked_ms: Since when each linked peer is linked.
        links: Whom this VM is linked to.

    Example:
        >>> roster = PeerRoster('a', 'z')
        >>> roster.take_rows({'b': VmRow('10.0.0.2:1', 'y')}, 0.0)
        >>> roster.plan(0.0).zone_peers
        {'b': '10.0.0.2:1'}
    """

    def __init__(
        self, vm: ids.VmId, availability_zone: ids.AvailabilityZoneId
    ) -> None:
        self.vm = vm
        self.availability_zone = availability_zone
        self.listed: dict[ids.VmId, VmRow] = {}
        self.heard_ms: dict[ids.VmId, float] = {}
        self.linked_ms: dict[ids.VmId, float] = {}
        self.passed_over_ms: dict[ids.VmId, float] = {}
        self.links = zone_links.Links({}, {})

    def take_rows(
        self,
        rows: collections.abc.Mapping[ids.VmId, VmRow],
        now_ms: float,
    ) -> None:
        """Take in the rows of all VMs."""
        self.listed = {vm: row for vm, row in rows.items() if vm != self.vm}
        for vm in self.listed:
            self.heard_ms.setdefault(vm, now_ms)

    def heard(self, vm: ids.VmId, now_ms: float) -> None:
        """Take in that a peer was heard of."""
        self.heard_ms[vm] = now_ms
        self.passed_over_ms.pop(vm, None)

    def live(self, now_ms: float) -> list[ids.VmId]:
        """Return the peers that were heard of just now."""
        return [
            vm
            for vm, heard_ms in list(self.heard_ms.items())
            if now_ms - heard_ms <= PEER_LIVE_MS
        ]

    def zone_of(self, vm: ids.VmId) -> ids.AvailabilityZoneId | None:
        """Return the zone of a listed peer."""
        row = self.listed.get(vm)
        return None if row is None else row.availability_zone

    def zone_members(self, now_ms: float) -> list[ids.VmId]:
        """Return this VM and the live peers of its zone."""
        zone = self.availability_zone
        peers = [vm for vm in self.live(now_ms) if self.zone_of(vm) == zone]
        return [self.vm, *peers]

    def plan(self, now_ms: float) -> zone_links.Links:
        """Return the links to have from now on."""
        listed = dict(self.listed)
        if len(listed) < ALL_LINKED_VMS:
            addresses = {vm: row.address for vm, row in listed.items()}
            links = zone_links.Links(addresses, {})
        else:
            links = zone_links.choose_links(
                self.vm,
                self.availability_zone,
                {
                    vm: zone_links.LinkCandidate(
                        row.availability_zone,
                        row.address,
                        self._may_be_gateway(vm, row, now_ms),
                    )
                    for vm, row in listed.items()
                },
            )
        addresses = links.addresses
        self.linked_ms = {
            vm: self.linked_ms.get(vm, now_ms) for vm in addresses
        }
        self.links = links
        return links

    def forgotten(self, now_ms: float) -> list[ids.VmId]:
        """Return the VMs whose rows this VM is to delete now."""
        members = self.zone_members(now_ms)
        if rendezvous.ranked(_PRUNER_KEY, members, 1)[0] != self.vm:
            return []
        return [
            vm
            for vm, since_ms in self.linked_ms.items()
            if self.zone_of(vm) == self.availability_zone
            and now_ms - max(since_ms, self.heard_ms[vm]) > FORGET_MS
        ]

    def _may_be_gateway(self, vm: ids.VmId, row: VmRow, now_ms: float) -> bool:
        if row.availability_zone == self.availability_zone:
            return now_ms - self.heard_ms[vm] <= PEER_LIVE_MS
        since_ms = self.linked_ms.get(vm)
        if since_ms is not None:
            silent_ms = now_ms - max(since_ms, self.heard_ms[vm])
            if silent_ms > FAR_SILENT_MS:
                self.passed_over_ms[vm] = now_ms + FAR_RETRY_MS
        return now_ms >= self.passed_over_ms.get(vm, now_ms)
