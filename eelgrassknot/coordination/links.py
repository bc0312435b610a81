"""Selection of the peers to which a VM connects.

A VM connects to all peers of its zone. Two gateways of each zone, chosen
by rendezvous hashing, connect to the two gateways of every other zone, so
that the paid link between regions carries only a few messages a second.
"""

import collections
import collections.abc

import msgspec

from eelgrassknot.coordination import membership as memberships
from eelgrassknot.coordination import rendezvous
from eelgrassknot import ids

__all__ = ['choose_links', 'LinkCandidate', 'Links', 'plan_links']

GATEWAYS = 2
_GATEWAY_KEY = 'gateway'


class Links(msgspec.Struct, frozen=True):
    """Peers to which this VM sends.

    Attributes:
        zone_peers: Address of each peer of its zone.
        remote_gateways: Address of each gateway of other zones, if this
            VM is a gateway itself.
    """

    zone_peers: dict[ids.VmId, str]
    remote_gateways: dict[ids.VmId, str]

    @property
    def addresses(self) -> dict[ids.VmId, str]:
        """Address of each peer to connect to."""
        return {**self.zone_peers, **self.remote_gateways}


class LinkCandidate(msgspec.Struct, frozen=True):
    """Zone and peer address of a VM.

    Attributes:
        is_live: Whether the VM may be chosen as a gateway.
    """

    availability_zone: ids.AvailabilityZoneId
    address: str
    is_live: bool


def choose_links(
    vm: ids.VmId,
    availability_zone: ids.AvailabilityZoneId,
    candidates: collections.abc.Mapping[ids.VmId, LinkCandidate],
) -> Links:
    """Return the links that a VM should have.

    Args:
        vm: The VM.
        availability_zone: Its zone.
        candidates: All other known VMs.

    Example:
        >>> candidates = {'b': LinkCandidate('y', '10.0.0.2:1', True)}
        >>> choose_links('a', 'z', candidates).remote_gateways
        {'b': '10.0.0.2:1'}
    """
    zone: dict[ids.VmId, str] = {}
    members = [vm]
    others: dict[str, dict[ids.VmId, str]] = collections.defaultdict(dict)
    for peer, candidate in candidates.items():
        if candidate.availability_zone == availability_zone:
            zone[peer] = candidate.address
            if candidate.is_live:
                members.append(peer)
        elif candidate.is_live:
            others[candidate.availability_zone][peer] = candidate.address
    if vm not in rendezvous.ranked(_GATEWAY_KEY, members, GATEWAYS):
        return Links(zone, {})
    remote = {
        peer: addresses[peer]
        for addresses in others.values()
        for peer in rendezvous.ranked(_GATEWAY_KEY, addresses, GATEWAYS)
    }
    return Links(zone, remote)


def plan_links(membership: memberships.Membership) -> Links:
    """Return the links that follow from a VM's membership view.

    Args:
        membership: The VM's view of the entry VMs.
    """
    members = set(membership.zone_members())
    candidates = {}
    for peer in membership.peers.values():
        if peer.location is None:
            continue
        zone = peer.location.availability_zone
        if zone == membership.availability_zone:
            is_live = peer.vm in members
        else:
            is_live = peer.listed or peer.state is memberships.PeerState.LIVE
        candidates[peer.vm] = LinkCandidate(
            zone, peer.location.address, is_live
        )
    return choose_links(
        membership.vm, membership.availability_zone, candidates
    )
