"""Load of the other entry VMs at each upstream, as reported by them."""

import collections
import collections.abc

from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot.forwarding import engine_scheduler
from eelgrassknot.forwarding import loop as loops
from eelgrassknot import ids
from eelgrassknot.policy import commitments
from eelgrassknot.policy import plain

__all__ = ['PeerLoad', 'LoadSource', 'engine_entries']

CALLS_TTL_MS = 1_500.0
"""Time after which reported plain calls are taken to have ended; ms. Three
times the longest pause between two messages in a zone of ten VMs."""

LoadSource = tuple[str, str]
"""Source of a report: ``('vm', name)`` or ``('zone', name)``."""


class PeerLoad:
    """Load of other VMs, reported by each VM or by a gateway of its zone.

    Args:
        scheduler: This VM's streams.
        plain_pool: This VM's plain calls.
        loop: The event loop.

    Attributes:
        calls: Plain calls by source, with the time of the report; the source
            that reported last is at the end.
        total_calls: Sum over the sources that have reported lately.
    """

    def __init__(
        self,
        scheduler: engine_scheduler.EngineScheduler,
        plain_pool: plain.PlainPool,
        loop: loops.EventLoop,
    ) -> None:
        self.scheduler = scheduler
        self.plain_pool = plain_pool
        self.loop = loop
        self.total_calls: collections.Counter = collections.Counter()
        self.calls: dict[
            LoadSource, tuple[float, dict[ids.UpstreamId, int]]
        ] = {}
        self.plain_pool.peer_running = self.total_calls

    @property
    def commitment_totals(self) -> commitments.Commitments:
        """Totals of the runs on each engine, used for placement."""
        return self.scheduler.queue.commitments

    def update(
        self,
        source: LoadSource,
        message: messages.EntryNews | messages.ZoneNews,
    ) -> None:
        """Replace the load of a VM or a zone by a new report."""
        sums = {
            entry.engine: commitments.EngineSums(
                entry.runs,
                entry.tokens,
                entry.copy_tokens,
                entry.unread_tokens,
            )
            for entry in message.engines
        }
        now_ms = self.loop.now_ms()
        self.commitment_totals.update_peer(source, sums, now_ms)
        self._forget_calls(source)
        self._forget_expired_calls(now_ms)
        calls = dict(message.calls)
        self.calls[source] = (now_ms, calls)
        self.total_calls.update(calls)
        self.scheduler.speeds.receive(source, message.speeds)
        if self.scheduler.queue.waiting:
            self.scheduler.schedule_step()

    def engine_sums(
        self,
        sources: collections.abc.Collection[LoadSource] = (),
    ) -> dict[ids.UpstreamId, commitments.EngineSums]:
        """Return the totals of this VM and the given sources by engine."""
        return self.commitment_totals.all_sums(self.loop.now_ms(), sources)

    def running_calls(
        self, sources: collections.abc.Collection[LoadSource] = ()
    ) -> dict[ids.UpstreamId, int]:
        """Return the plain calls of this VM and the given sources."""
        calls = self._count_calls(sources)
        calls.update(self.plain_pool.running)
        return {upstream: count for upstream, count in calls.items() if count}

    def _count_calls(
        self, sources: collections.abc.Collection[LoadSource]
    ) -> collections.Counter:
        self._forget_expired_calls(self.loop.now_ms())
        total: collections.Counter = collections.Counter()
        for source in sources:
            if source in self.calls:
                total.update(self.calls[source][1])
        return total

    def _forget_expired_calls(self, now_ms: float) -> None:
        while self.calls:
            source, (received_ms, _) = next(iter(self.calls.items()))
            if now_ms - received_ms <= CALLS_TTL_MS:
                return
            self._forget_calls(source)

    def _forget_calls(self, source: LoadSource) -> None:
        if source in self.calls:
            _, calls = self.calls.pop(source)
            self.total_calls.subtract(calls)


def engine_entries(
    sums: collections.abc.Mapping[ids.UpstreamId, commitments.EngineSums],
) -> tuple[messages.EngineEntry, ...]:
    """Encode totals for a message to peers."""
    return tuple(
        messages.EngineEntry(
            engine,
            each.runs,
            each.tokens,
            each.copy_tokens,
            each.unread_tokens,
        )
        for engine, each in sums.items()
    )
