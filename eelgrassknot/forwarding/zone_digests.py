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

TELL_MS = 200.0
"""How often zones of the same region are told; ms. A prompt takes about as
long to be read."""
FAR_REGION_ROUNDS = 4
"""Zones of other regions are told every so many rounds: their link is
narrow, and few requests go there."""
DIRECT_MS = 3_000.0
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
        knowledge: replicated_state.Knowledge,
        tally: peer_load.PeerTally,
        loop: loops.EventLoop,
    ) -> None:
        self.knowledge = knowledge
        self.tally = tally
        self.loop = loop
        self.zone = ids.AvailabilityZoneId(
            knowledge.settings.availability_zone
        )
        self.round = 0
        self.direct_ms: dict[ids.AvailabilityZoneId, float] = {}
        self.to_relay: dict[ids.AvailabilityZoneId, messages.ZoneNews] = {}

    def start(self) -> None:
        """Begin to tell."""
        self.loop.call_later(TELL_MS, self._tell)

    def heard_directly(self, zone: ids.AvailabilityZoneId) -> None:
        """Take in that a VM of a zone has told of itself."""
        self.direct_ms[zone] = self.loop.now_ms()

    def take(self, vm: ids.VmId, news: messages.ZoneNews) -> None:
        """Take in a digest, from a far gateway or from one of this zone."""
        zone = news.availability_zone
        now_ms = self.loop.now_ms()
        heard_ms = self.direct_ms.get(zone, float('-inf'))
        if zone == self.zone or now_ms - heard_ms <= DIRECT_MS:
            return
        self.tally.take(('zone', zone), news)
        if vm in self.knowledge.board.roster.links.remote_gateways:
            self.to_relay[zone] = msgspec.structs.replace(news, marks=())

    def _tell(self) -> None:
        self.loop.call_later(TELL_MS, self._tell)
        self.round += 1
        board = self.knowledge.board
        relayed, self.to_relay = self.to_relay, {}
        for news in relayed.values():
            board.broadcast(news)
        far = self._due(board.roster.links.remote_gateways)
        if far:
            board.send_far(far, self._digest())

    def _due(
        self, gateways: collections.abc.Iterable[ids.VmId]
    ) -> list[ids.VmId]:
        """Return the far gateways that are to be told in this round."""
        if self.round % FAR_REGION_ROUNDS == 0:
            return list(gateways)
        regions = self.knowledge.settings.regions
        zone_of = self.knowledge.board.roster.zone_of
        region = regions.get(self.zone)
        return [vm for vm in gateways if regions.get(zone_of(vm)) == region]

    def _digest(self) -> messages.ZoneNews:
        members = [('vm', vm) for vm in self.knowledge.board.zone_members()]
        return messages.ZoneNews(
            self.zone,
            self.knowledge.marks(),
            peer_load.engine_entries(self.tally.engines(members)),
            tuple(self.tally.running_calls(members).items()),
        )
