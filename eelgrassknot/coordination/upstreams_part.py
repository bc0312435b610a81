"""Part of the daemon that publishes which upstreams may get new work."""

import threading

from eelgrassknot.coordination import membership_part
from eelgrassknot.coordination import upstream_membership
from eelgrassknot.kernel import events
from eelgrassknot.kernel import node as kernel_node
from eelgrassknot.kernel import parts
from eelgrassknot import logs

__all__ = ['UpstreamsPart']


@parts.part('upstreams', after=('membership',))
class UpstreamsPart(parts.Part):
    """Puts together what list, text, upstreams and peers say."""

    def __init__(self, node: kernel_node.Node) -> None:
        self.node = node
        self.membership = upstream_membership.UpstreamMembership()
        self.lock = threading.Lock()
        self.upstreams: tuple[events.UpstreamInfo, ...] = ()
        node.hub.subscribe(membership_part.VmListRead, self._read)
        node.hub.subscribe(events.ConfigAdopted, self._adopted)

    def tell(self, event: upstream_membership.Event) -> None:
        """Take in an event; publish the upstreams if any has changed."""
        with self.lock:
            if not self.membership.handle(event):
                return
            upstreams = self.membership.upstreams()
            if upstreams == self.upstreams:
                return
            before = {info.upstream: info.state for info in self.upstreams}
            self.upstreams = upstreams
            # Within the lock, so that subscribers see the changes in order.
            self.node.hub.publish(events.UpstreamsChanged(upstreams))
        for info in upstreams:
            if before.get(info.upstream) is not info.state:
                logs.event(
                    'upstream_state',
                    upstream=info.upstream,
                    state=info.state.value,
                )

    def status(self) -> dict[str, object]:
        """Return the upstreams that are known."""
        names = [
            {
                'upstream': info.upstream,
                'service': info.service,
                'availability_zone': info.availability_zone,
                'state': info.state.value,
            }
            for info in self.upstreams
        ]
        return {'upstreams': names}

    def _read(self, event: membership_part.VmListRead) -> None:
        self.tell(upstream_membership.ListRead(event.entries))

    def _adopted(self, event: events.ConfigAdopted) -> None:
        withheld = frozenset(event.text.withheld_upstreams)
        self.tell(upstream_membership.Withheld(withheld))
