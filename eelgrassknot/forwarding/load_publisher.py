"""Tells peers what this VM has placed where."""

from eelgrassknot import clock as clocks
from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import peer_load
from eelgrassknot.forwarding import replicated_state
from eelgrassknot import ids

__all__ = ['LoadPublisher']

POLL_INTERVAL_MS = 40.0
"""How often a change is looked for; ms. Placements follow each other by
some hundred ms, so that most are known elsewhere before the next."""
MESSAGES_PER_S = 150.0
"""Messages that a VM sends to all of its peers together in a second; with
more peers each is told less often."""
MAX_SILENCE_MS = 500.0
"""Longest time between two messages to few peers; ms."""
TOKEN_GRANULARITY = 256
"""Changes of a sum by fewer tokens are not told by themselves."""


class LoadPublisher:
    """Sends this VM's sums to its peers when they change.

    Args:
        knowledge: Tables and peers.
        tally: What this VM and its peers have at each upstream.
        loop: The event loop.

    Attributes:
        leaving: Whether this VM is about to end.
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
        self.leaving = False
        self.last_published_ms = float('-inf')
        self.last_published: tuple = ()

    def start(self) -> None:
        """Begin to tell."""
        self.loop.call_later(POLL_INTERVAL_MS, self._publish_if_changed)

    def _interval_ms(self) -> float:
        """Return the least time between two messages to all peers."""
        peers = len(self.replicated_state.peers.live())
        return max(
            POLL_INTERVAL_MS, peers / MESSAGES_PER_S * clocks.MS_PER_SECOND
        )

    def _publish_if_changed(self) -> None:
        interval_ms = self._interval_ms()
        self.loop.call_later(interval_ms, self._publish_if_changed)
        quiet_ms = max(MAX_SILENCE_MS, 2 * interval_ms)
        now_ms = self.loop.now_ms()
        sums = self.peer_load.engine_sums()
        current = (
            self.replicated_state.urgent_versions(),
            tuple(
                (
                    engine,
                    each.runs,
                    (each.tokens + each.copy_tokens) // TOKEN_GRANULARITY,
                )
                for engine, each in sorted(sums.items())
            ),
        )
        if (
            current == self.last_published
            and now_ms - self.last_published_ms < quiet_ms
        ):
            return
        self.last_published = current
        self.last_published_ms = now_ms
        self.replicated_state.peers.broadcast(
            messages.EntryNews(
                ids.AvailabilityZoneId(
                    self.replicated_state.settings.availability_zone
                ),
                self.leaving,
                self.replicated_state.watermarks(),
                peer_load.engine_entries(sums),
                tuple(self.peer_load.running_calls().items()),
            )
        )
