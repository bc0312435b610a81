"""Counts the system's own bytes between regions for the report."""

import collections
import threading

from eelgrassknot.coordination import membership_part
from eelgrassknot import ids
from eelgrassknot.kernel import events
from eelgrassknot.kernel import node as kernel_node
from eelgrassknot.kernel import parts
from eelgrassknot.reporting import names

__all__ = ['ControlTraffic', 'ControlTrafficPart']


class ControlTraffic:
    """Turns growing byte counts by peer into what crossed regions.

    Each VM counts what it sends, so no byte counts twice.

    Args:
        region: Region of this VM.

    Example:
        >>> traffic = ControlTraffic('central')
        >>> traffic.learn('liberia-1', 'guanacaste')
        >>> traffic.crossed({'liberia-1': 70, 'cartago-1': 30})
        70
        >>> traffic.crossed({'liberia-1': 75, 'cartago-1': 90})
        5
    """

    def __init__(self, region: ids.RegionId) -> None:
        self.region = region
        self.regions: dict[str, ids.RegionId] = {}
        self.told: collections.Counter = collections.Counter()

    def learn(self, vm: str, region: ids.RegionId) -> None:
        """Note the region of a VM."""
        self.regions[vm] = region

    def crossed(self, sent: dict[str, int]) -> int:
        """Return the bytes to other regions since the last call.

        Args:
            sent: Bytes to each peer since the start. Those to peers
                whose region is unknown are told once it is known.
        """
        count = 0
        for vm, total in sent.items():
            region = self.regions.get(vm)
            if region is not None:
                if region != self.region:
                    count += total - self.told[vm]
                self.told[vm] = total
        return count


@parts.part('control_traffic', after=('peers', 'report'))
class ControlTrafficPart(parts.Part):
    """Tells the report what the peer link sent to other regions."""

    def __init__(self, node: kernel_node.Node) -> None:
        self.node = node
        self.traffic = ControlTraffic(node.settings.region)
        self.lock = threading.Lock()
        node.hub.subscribe(membership_part.VmListRead, self._learn)
        node.hub.subscribe(events.IntervalEnding, self._tell)

    def _learn(self, event: membership_part.VmListRead) -> None:
        with self.lock:
            for entry in event.entries:
                self.traffic.learn(entry.vm, entry.region)

    def _tell(self, event: events.IntervalEnding) -> None:
        link = self.node.part_set.parts['peers'].link
        with link.lock:
            sent = dict(link.counters.peer_bytes)
        with self.lock:
            count = self.traffic.crossed(sent)
        if count:
            cause = names.TrafficCause.CONTROL.value
            self.node.hub.publish(events.RegionTraffic(cause, count))
