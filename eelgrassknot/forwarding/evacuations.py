"""Availability zones whose upstreams get no new work.

Operators evacuate a zone by a row of the store and restore it by deleting
the row. The rows are replicated with the deployment's state, so this VM
learns them from the store or from its peers.
"""

import collections.abc

import msgspec

from eelgrassknot import clock as clocks
from eelgrassknot.forwarding import metrics
from eelgrassknot.forwarding import table_replica
from eelgrassknot import ids
from eelgrassknot.kernel import events as kernel_events
from eelgrassknot import logs

__all__ = ['Evacuation', 'Evacuations']

ZoneDecoder = collections.abc.Callable[[str], ids.AvailabilityZoneId | None]


class Evacuation(msgspec.Struct, frozen=True):
    """One evacuated zone.

    Attributes:
        version: Version of its row in the store.
        known_ms: When this VM learnt of it.
    """

    version: int
    known_ms: float


class Evacuations:
    """Zones that are evacuated at present.

    Args:
        decode_zone: Returns the zone that a row evacuates, given its key,
            or None.
        known_zones: Zones of the deployment.
        clock: Clock of this VM.

    Attributes:
        zones: Evacuated zones, including unknown ones: an upstream of such
            a zone may be listed later.
    """

    def __init__(
        self,
        decode_zone: ZoneDecoder,
        known_zones: collections.abc.Collection[str],
        clock: clocks.Clock,
    ) -> None:
        self.decode_zone = decode_zone
        self.known_zones = frozenset(known_zones)
        self.clock = clock
        self.zones: dict[ids.AvailabilityZoneId, Evacuation] = {}

    def apply(self, changes: table_replica.ChangeSet) -> bool:
        """Apply changed rows; return whether the evacuated zones changed."""
        before = self.zones.keys() | ()
        for key in changes.removed:
            zone = self.decode_zone(key)
            if zone is not None:
                self._restore(zone)
        for row in changes.updated:
            zone = self.decode_zone(row.key)
            if zone is not None:
                self._evacuate(zone, row.version)
        if self.zones.keys() == before:
            return False
        metrics.EVACUATED_ZONES.set(
            len(self.known_zones.intersection(self.zones))
        )
        return True

    def covers(self, upstream: kernel_events.UpstreamInfo) -> bool:
        """Return whether an upstream is in an evacuated zone."""
        return upstream.availability_zone in self.zones

    def covered(
        self,
        upstreams: collections.abc.Iterable[kernel_events.UpstreamInfo],
    ) -> frozenset[ids.UpstreamId]:
        """Return the names of the upstreams in evacuated zones."""
        return frozenset(
            each.upstream for each in upstreams if self.covers(each)
        )

    def prevents(
        self, request: ids.RequestId, upstream: kernel_events.UpstreamInfo
    ) -> bool:
        """Return whether a request must not be sent, and log it if so.

        Called immediately before sending: the zone may have been evacuated
        since the upstream was chosen.
        """
        if not self.covers(upstream):
            return False
        metrics.SENDS_PREVENTED.inc('evacuated')
        logs.event(
            'send_prevented',
            request=request,
            upstream=upstream.upstream,
            evacuated=upstream.availability_zone,
        )
        return True

    def _evacuate(self, zone: ids.AvailabilityZoneId, version: int) -> None:
        known = self.zones.get(zone)
        now_ms = self.clock.now_ms()
        if known is not None:
            self.zones[zone] = msgspec.structs.replace(known, version=version)
            return
        self.zones[zone] = Evacuation(version, now_ms)
        if zone in self.known_zones:
            logs.event('zone_evacuated', zone=zone, row=version)
        else:
            logs.warning('evacuation_of_unknown_zone', zone=zone, row=version)

    def _restore(self, zone: ids.AvailabilityZoneId) -> None:
        known = self.zones.pop(zone, None)
        if known is not None and zone in self.known_zones:
            logs.event(
                'zone_restored',
                zone=zone,
                row=known.version,
                after_ms=round(self.clock.now_ms() - known.known_ms, 1),
            )
