"""Publication of this VM's load to its peers."""

from eelgrassknot import clock as clocks
from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot.forwarding import limit_monitor
from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import peer_load
from eelgrassknot.forwarding import replicated_state
from eelgrassknot import ids
from eelgrassknot.policy import upstream_limits

__all__ = ['LoadPublisher']

POLL_INTERVAL_MS = 40.0
"""Interval at which changes are detected; ms. Placements are some hundred
ms apart, so most are known to the peers before the next one."""
MESSAGES_PER_S = 150.0
"""Maximum rate of messages to all peers together; with more peers the
updates become less frequent."""
MAX_SILENCE_MS = 500.0
"""Maximum time between two messages with few peers; ms."""
TOKEN_GRANULARITY = 256
"""Granularity at which a change of a token sum triggers a message."""


class LoadPublisher:
    """Sends this VM's load to its peers when it changes.

    Args:
        replicated_state: Tables and peers.
        peer_load: Load of this VM and its peers at each upstream.
        limits: Request limits of upstreams.
        loop: The event loop.

    Attributes:
        leaving: Whether this VM is shutting down.
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
        self.leaving = False
        self.last_published_ms = float('-inf')
        self.last_published: tuple = ()
        self.last_limits: frozenset = frozenset()
        self.last_limits_ms = float('-inf')

    def start(self) -> None:
        """Start publishing."""
        self.loop.call_later(POLL_INTERVAL_MS, self._publish_if_changed)

    def _interval_ms(self) -> float:
        """Return the minimum time between two messages to all peers."""
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
            self.replicated_state.announced_leaving,
            tuple(
                (
                    engine,
                    each.runs,
                    (each.tokens + each.copy_tokens) // TOKEN_GRANULARITY,
                )
                for engine, each in sorted(sums.items())
            ),
        )
        limits = self._limits_to_publish(now_ms)
        if (
            not limits
            and current == self.last_published
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
                limits,
                self.replicated_state.newest_state,
                self.replicated_state.peers.introduction(),
                self.replicated_state.announced_leaving,
                self.peer_load.scheduler.speeds.own_news(),
            )
        )

    def _limits_to_publish(
        self, now_ms: float
    ) -> tuple[messages.LimitEntry, ...]:
        """Return this VM's readings if they changed, else now and then."""
        entries = self.limits.entries(upstream_limits.ReadingSource.OWN)
        stated = frozenset(
            (entry.upstream, entry.started_at_ms, entry.per_s)
            for entry in entries
        )
        is_due = now_ms - self.last_limits_ms >= MAX_SILENCE_MS
        if stated <= self.last_limits and not is_due:
            return ()
        self.last_limits = stated
        self.last_limits_ms = now_ms
        return entries
