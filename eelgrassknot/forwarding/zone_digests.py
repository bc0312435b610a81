"""Tells other zones what the VMs of this one have placed where.

Only gateways send: to the gateways of other zones the sums of their own,
and to the peers of their own zone what other gateways have told.
"""

import collections.abc

import msgspec

from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import peer_load
from eelgrassknot.forwarding import replicated_state
from eelgrassknot import ids

__all__ = ['ZoneDigests']

PUBLISH_INTERVAL_MS = 200.0
"""How often zones of the same region are told; ms. A prompt takes about as
long to be read."""
FAR_REGION_ROUNDS = 4
"""Zones of other regions are told every so many rounds: their link is
narrow, and few requests go there."""
DIRECT_CONTACT_MS = 3_000.0
"""A zone whose VMs told of themselves within this time is not counted by
its total as well; ms."""


class ZoneDigests:
    """Digests of zones, told by this VM if it is a gateway, and taken in.

    Args:
        knowledge: Tables and peers.
        tally: What this VM and its peers have at each upstream.
        loop: The event loop.

    Attributes:
        direct_ms: When a VM of a zone last told of itself.
        to_relay: Digests that this VM's zone has not been told yet.
    """

    def __init__(
        self,
        replicated_state: replicated_state.ReplicatedState,
        peer_load: peer_load.PeerLoad,
        loop: loops.EventLoop,
    ) -> None:
        self.replicated_state = replicated_state
        self.peer_load = peer_load
        self.loop = loop
        self.zone = ids.AvailabilityZoneId(
            replicated_state.settings.availability_zone
        )
        self.round = 0
        self.direct_contact_ms: dict[ids.AvailabilityZoneId, float] = {}
        self.to_relay: dict[ids.AvailabilityZoneId, messages.ZoneNews] = {}

    def start(self) -> None:
        """Begin to tell."""
        self.loop.call_later(PUBLISH_INTERVAL_MS, self._publish)

    def record_direct_contact(self, zone: ids.AvailabilityZoneId) -> None:
        """Take in that a VM of a zone has told of itself."""
        self.direct_contact_ms[zone] = self.loop.now_ms()

    def receive(self, vm: ids.VmId, message: messages.ZoneNews) -> None:
        """Take in a digest, from a far gateway or from one of this zone."""
        zone = message.availability_zone
        now_ms = self.loop.now_ms()
        contact_ms = self.direct_contact_ms.get(zone, float('-inf'))
        if zone == self.zone or now_ms - contact_ms <= DIRECT_CONTACT_MS:
            return
        self.peer_load.update(('zone', zone), message)
        if vm in self.replicated_state.peers.membership.links.far:
            self.to_relay[zone] = msgspec.structs.replace(message, marks=())

    def _publish(self) -> None:
        self.loop.call_later(PUBLISH_INTERVAL_MS, self._publish)
        self.round += 1
        peers = self.replicated_state.peers
        relayed, self.to_relay = self.to_relay, {}
        for message in relayed.values():
            peers.broadcast(message)
        far = self._due_gateways(peers.membership.links.far)
        if far:
            peers.send_far(far, self._digest())

    def _due_gateways(
        self, gateways: collections.abc.Iterable[ids.VmId]
    ) -> list[ids.VmId]:
        """Return the far gateways that are to be told in this round."""
        if self.round % FAR_REGION_ROUNDS == 0:
            return list(gateways)
        regions = self.replicated_state.settings.regions
        zone_of = self.replicated_state.peers.membership.zone_of
        region = regions.get(self.zone)
        return [vm for vm in gateways if regions.get(zone_of(vm)) == region]

    def _digest(self) -> messages.ZoneNews:
        members = [
            ('vm', vm) for vm in self.replicated_state.peers.zone_members()
        ]
        return messages.ZoneNews(
            self.zone,
            self.replicated_state.watermarks(),
            peer_load.engine_entries(self.peer_load.engine_sums(members)),
            tuple(self.peer_load.running_calls(members).items()),
        )
