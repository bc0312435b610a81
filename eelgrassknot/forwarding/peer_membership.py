"""Membership of the entry VMs and the links between them.

A small deployment forms a full mesh. In a larger one, a VM is linked to
the VMs of its zone, and two gateways of each zone to those of the other
zones, so that the message rate of a VM depends only on its zone.
"""

import collections.abc

import msgspec
import result

from eelgrassknot.coordination import links as zone_links
from eelgrassknot.coordination import rendezvous
from eelgrassknot import decoding
from eelgrassknot import exceptions
from eelgrassknot import ids

__all__ = ['PeerMembership', 'VmRow', 'decode_row']

MAX_FULL_MESH_VMS = 16
"""Maximum number of VMs in a full mesh: at 25 messages a second to each
peer that is below 400 messages a second, or 2% of a core."""
PEER_LIVE_MS = 1_500.0
"""How long a peer counts as live after its last message; ms. Three times
the longest pause between two messages in a zone of ten VMs."""
GATEWAY_SILENCE_MS = 3_000.0
"""Silence after which a gateway is excluded; ms."""
GATEWAY_EXCLUSION_MS = 20_000.0
"""How long a silent gateway is excluded; ms."""
ROW_EXPIRY_MS = 60_000.0
"""Silence after which the row of a VM of this zone is deleted; ms. A live
VM writes its row again."""
_PRUNER_KEY = 'pruner'


class VmRow(msgspec.Struct, frozen=True):
    """Address and zone of one VM."""

    address: str
    availability_zone: ids.AvailabilityZoneId


def decode_row(
    vm: str, value: bytes
) -> result.Result[VmRow, exceptions.MalformedAnswerError]:
    """Decode the row of a VM.

    Args:
        vm: Key of the row.
        value: JSON document of the row.
    """
    name = f'the row of the VM {vm}'
    return decoding.decode_json(value, VmRow, name).and_then(
        lambda row: decoding.check_address(row.address, name).map(
            lambda _: row
        )
    )


class PeerMembership:
    """The peers of one VM.

    Args:
        vm: This VM.
        availability_zone: Zone of this VM.

    Attributes:
        listed: Rows of the other VMs.
        last_contact_ms: Time of each peer's last message, or the time at
            which it was first listed if it has sent none.
        linked_ms: Time since which each linked peer has been linked.
        excluded_until_ms: Until when silent gateways are excluded.
        links: Current links of this VM.

    Example:
        >>> membership = PeerMembership('a', 'z')
        >>> membership.update_rows({'b': VmRow('10.0.0.2:1', 'y')}, 0.0)
        >>> membership.plan_links(0.0).zone_peers
        {'b': '10.0.0.2:1'}
    """

    def __init__(
        self, vm: ids.VmId, availability_zone: ids.AvailabilityZoneId
    ) -> None:
        self.vm = vm
        self.availability_zone = availability_zone
        self.listed: dict[ids.VmId, VmRow] = {}
        self.last_contact_ms: dict[ids.VmId, float] = {}
        self.linked_ms: dict[ids.VmId, float] = {}
        self.excluded_until_ms: dict[ids.VmId, float] = {}
        self.links = zone_links.Links({}, {})

    def update_rows(
        self,
        rows: collections.abc.Mapping[ids.VmId, VmRow],
        now_ms: float,
        keep_live: bool = False,
    ) -> None:
        """Update the membership from the rows of all VMs.

        Args:
            rows: The rows by VM.
            now_ms: Current time.
            keep_live: Whether live peers keep the row that is known, because
                the rows come from a copy of the store.
        """
        kept = {}
        if keep_live:
            live = set(self.live(now_ms))
            kept = {vm: row for vm, row in self.listed.items() if vm in live}
        listed = {**rows, **kept}
        self.listed = {vm: row for vm, row in listed.items() if vm != self.vm}
        for vm in self.listed:
            self.last_contact_ms.setdefault(vm, now_ms)

    def add_row(self, vm: ids.VmId, row: VmRow, now_ms: float) -> None:
        """Add or replace the row of a peer."""
        if vm == self.vm or self.listed.get(vm) == row:
            return
        self.listed = {**self.listed, vm: row}
        self.last_contact_ms.setdefault(vm, now_ms)

    def record_contact(self, vm: ids.VmId, now_ms: float) -> None:
        """Record a message from a peer."""
        self.last_contact_ms[vm] = now_ms
        self.excluded_until_ms.pop(vm, None)

    def live(self, now_ms: float) -> list[ids.VmId]:
        """Return the peers with a recent message."""
        return [
            vm
            for vm, contact_ms in list(self.last_contact_ms.items())
            if now_ms - contact_ms <= PEER_LIVE_MS
        ]

    def zone_of(self, vm: ids.VmId) -> ids.AvailabilityZoneId | None:
        """Return the zone of a peer, or None if it is not listed."""
        row = self.listed.get(vm)
        return None if row is None else row.availability_zone

    def zone_members(self, now_ms: float) -> list[ids.VmId]:
        """Return this VM and the live peers of its zone."""
        zone = self.availability_zone
        peers = [vm for vm in self.live(now_ms) if self.zone_of(vm) == zone]
        return [self.vm, *peers]

    @property
    def is_full_mesh(self) -> bool:
        """Whether all VMs are linked with each other."""
        return len(self.listed) < MAX_FULL_MESH_VMS

    @property
    def known_count(self) -> int:
        """Number of VMs of the deployment, including this one."""
        return len(self.listed) + 1

    @property
    def known_zones(self) -> dict[ids.VmId, ids.AvailabilityZoneId]:
        """Zone of each VM of the deployment, including this one."""
        listed = self.listed
        zones = {vm: row.availability_zone for vm, row in listed.items()}
        zones[self.vm] = self.availability_zone
        return zones

    def linked_group(self, now_ms: float) -> list[ids.VmId]:
        """Return this VM and the live peers to which all of them link."""
        if not self.is_full_mesh:
            return self.zone_members(now_ms)
        listed = self.listed
        return [self.vm, *(vm for vm in self.live(now_ms) if vm in listed)]

    def plan_links(self, now_ms: float) -> zone_links.Links:
        """Compute and return the links of this VM."""
        listed = dict(self.listed)
        if self.is_full_mesh:
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

    def expired(self, now_ms: float) -> list[ids.VmId]:
        """Return the silent VMs whose rows this VM must delete."""
        members = self.zone_members(now_ms)
        if rendezvous.ranked(_PRUNER_KEY, members, 1)[0] != self.vm:
            return []
        return [
            vm
            for vm, since_ms in self.linked_ms.items()
            if self.zone_of(vm) == self.availability_zone
            and now_ms - max(since_ms, self.last_contact_ms[vm])
            > ROW_EXPIRY_MS
        ]

    def _may_be_gateway(self, vm: ids.VmId, row: VmRow, now_ms: float) -> bool:
        if row.availability_zone == self.availability_zone:
            return now_ms - self.last_contact_ms[vm] <= PEER_LIVE_MS
        since_ms = self.linked_ms.get(vm)
        if since_ms is not None:
            silent_ms = now_ms - max(since_ms, self.last_contact_ms[vm])
            if silent_ms > GATEWAY_SILENCE_MS:
                self.excluded_until_ms[vm] = now_ms + GATEWAY_EXCLUSION_MS
        return now_ms >= self.excluded_until_ms.get(vm, now_ms)
