"""Which peers a VM is connected to, and to which zones it is a gateway.

A VM is connected to the peers of its zone. Two gateways of each zone,
chosen by rendezvous hashing, are connected to the two of each other zone,
so that the paid link between regions carries a few messages a second.
"""

import collections
import dataclasses

from eelgrassknot.coordination import membership as memberships
from eelgrassknot.coordination import rendezvous
from eelgrassknot import ids

__all__ = ['Links', 'plan_links']

GATEWAYS = 2
_GATEWAY_KEY = 'gateway'


@dataclasses.dataclass(frozen=True)
class Links:
    """To whom this VM sends.

    Attributes:
        zone: Peers of its zone, by address.
        far: Gateways of other zones, if this VM is one of its own.
    """

    zone: dict[ids.VmId, str]
    far: dict[ids.VmId, str]


def plan_links(membership: memberships.Membership) -> Links:
    """Return the links that a VM should have.

    Args:
        membership: What it knows of the entry VMs.
    """
    zone: dict[ids.VmId, str] = {}
    others: dict[str, list[memberships.Peer]] = collections.defaultdict(list)
    for peer in membership.peers.values():
        if peer.place is None:
            continue
        if peer.place.availability_zone == membership.availability_zone:
            zone[peer.vm] = peer.place.address
        elif peer.listed or peer.state is memberships.PeerState.LIVE:
            others[peer.place.availability_zone].append(peer)
    members = membership.zone_members()
    if membership.vm not in rendezvous.ranked(_GATEWAY_KEY, members, GATEWAYS):
        return Links(zone, {})
    far = {}
    for peers in others.values():
        by_name = {peer.vm: peer.place.address for peer in peers}
        for vm in rendezvous.ranked(_GATEWAY_KEY, by_name, GATEWAYS):
            far[vm] = by_name[vm]
    return Links(zone, far)
