"""Exchange of load digests between zones.

Only gateways send: the totals of their own zone to the gateways of other
zones, and the digests of other zones to the peers of their own.
"""

import collections.abc

import msgspec

from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot.forwarding import limit_monitor
from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import peer_load
from eelgrassknot.forwarding import replicated_state
from eelgrassknot import ids
from eelgrassknot.policy import upstream_limits

__all__ = ['ZoneDigests']

PUBLISH_INTERVAL_MS = 200.0
"""Interval at which digests are sent to zones of the same region; ms. About
the duration of a prefill."""
FAR_REGION_ROUNDS = 4
"""Number of rounds between two digests to zones of other regions: the link
between regions is narrow, and few requests use it."""
RELAY_SILENCE_MS = 2_000.0
"""Time without a relay by another gateway of the zone after which this one
relays the digests of a zone; ms. They expire later."""
DIRECT_CONTACT_MS = 3_000.0
"""Time for which a zone's digests are ignored after a direct message from
one of its VMs, so that its load is not counted twice; ms."""


class ZoneDigests:
    """Receives the digests of other zones, and sends them on a gateway.

    Args:
        replicated_state: Tables and peers.
        peer_load: Load of this VM and its peers at each upstream.
        limits: Request limits of upstreams.
        loop: The event loop.

    Attributes:
        direct_contact_ms: Time of the last direct message from a VM of
            each zone.
        to_relay: Digests not yet relayed to this VM's zone.
        relayed_ms: Time of the last relay of each zone's digest by a gateway
            of this zone that goes before this one.
    """

    def __init__(
        self,
        replicated_state: replicated_state.ReplicatedState,
        peer_load: peer_load.PeerLoad,
        limits: limit_monitor.LimitMonitor,
        loop: loops.EventLoop,
    ) -> None:
        self.replicated_state = replicated_state
        self.peer_load = peer_load
        self.limits = limits
        self.loop = loop
        self.zone = ids.AvailabilityZoneId(
            replicated_state.settings.availability_zone
        )
        self.round = 0
        self.direct_contact_ms: dict[ids.AvailabilityZoneId, float] = {}
        self.to_relay: dict[ids.AvailabilityZoneId, messages.ZoneNews] = {}
        self.relayed_ms: dict[ids.AvailabilityZoneId, float] = {}

    def start(self) -> None:
        """Start publishing."""
        self.loop.call_later(PUBLISH_INTERVAL_MS, self._publish)

    def record_direct_contact(self, zone: ids.AvailabilityZoneId) -> None:
        """Record a direct message from a VM of a zone."""
        self.direct_contact_ms[zone] = self.loop.now_ms()

    def receive(self, vm: ids.VmId, message: messages.ZoneNews) -> None:
        """Process a digest from a gateway of another zone or of this one."""
        zone = message.availability_zone
        now_ms = self.loop.now_ms()
        if zone != self.zone:
            self.limits.receive(
                message.limits, upstream_limits.ReadingSource.OTHER_ZONE
            )
        contact_ms = self.direct_contact_ms.get(zone, float('-inf'))
        if zone == self.zone or now_ms - contact_ms <= DIRECT_CONTACT_MS:
            return
        self.peer_load.update(('zone', zone), message)
        membership = self.replicated_state.peers.membership
        if vm in membership.links.remote_gateways:
            self.to_relay[zone] = self._without_marks(message)
        elif vm < membership.vm:
            self.relayed_ms[zone] = now_ms

    def _without_marks(self, message: messages.ZoneNews) -> messages.ZoneNews:
        """Return a digest to relay.

        Only some digests contain speeds. Those of one that has not been
        relayed yet are relayed with the next.
        """
        before = self.to_relay.get(message.availability_zone)
        speeds = message.speeds or (before.speeds if before else ())
        return msgspec.structs.replace(message, marks=(), speeds=speeds)

    def _publish(self) -> None:
        self.loop.call_later(PUBLISH_INTERVAL_MS, self._publish)
        self.round += 1
        peers = self.replicated_state.peers
        relayed, self.to_relay = self.to_relay, {}
        now_ms = self.loop.now_ms()
        for zone, message in relayed.items():
            silent_ms = now_ms - self.relayed_ms.get(zone, float('-inf'))
            if silent_ms > RELAY_SILENCE_MS:
                peers.broadcast(message)
        far = self._due_gateways(peers.membership.links.remote_gateways)
        if far:
            peers.send_far(far, self._digest())

    def _due_gateways(
        self, gateways: collections.abc.Iterable[ids.VmId]
    ) -> list[ids.VmId]:
        """Return the gateways that receive a digest in this round."""
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
            self.limits.entries(
                upstream_limits.ReadingSource.OWN,
                upstream_limits.ReadingSource.PEER,
            ),
            self.replicated_state.newest_state,
            self._speeds(members),
        )

    def _speeds(
        self, members: list[peer_load.LoadSource]
    ) -> tuple[messages.SpeedEntry, ...]:
        """Return the estimates due, in the rounds that reach all gateways."""
        if self.round % FAR_REGION_ROUNDS:
            return ()
        return self.peer_load.scheduler.speeds.zone_news(members)
