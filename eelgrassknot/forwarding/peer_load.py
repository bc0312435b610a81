"""Counts what other entry VMs have at each upstream, as they tell it."""

import collections
import collections.abc

from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot.forwarding import engine_scheduler
from eelgrassknot.forwarding import loop as loops
from eelgrassknot import ids
from eelgrassknot.policy import commitments
from eelgrassknot.policy import plain

__all__ = ['PeerTally', 'Teller', 'engine_entries']

CALLS_LIVE_MS = 1_500.0
"""Plain calls that were told longer ago are over; ms. Three times the
longest pause between two messages of a zone of ten."""

Teller = tuple[str, str]
"""Whose sums they are: ``('vm', name)`` or ``('zone', name)``."""


class PeerTally:
    """Sums of other VMs, each told by the VM or by a gateway of its zone.

    Args:
        desk: This VM's streams.
        plain_pool: This VM's plain calls.
        loop: The event loop.
    """

    def __init__(
        self,
        desk: engine_scheduler.EngineDesk,
        plain_pool: plain.PlainPool,
        loop: loops.EventLoop,
    ) -> None:
        self.desk = desk
        self.plain_pool = plain_pool
        self.loop = loop
        self.calls: dict[Teller, tuple[float, dict[ids.UpstreamId, int]]] = {}

    @property
    def book(self) -> commitments.Commitments:
        """Sums of runs, which placement reads."""
        return self.desk.queue.commitments

    def take(
        self, teller: Teller, news: messages.EntryNews | messages.ZoneNews
    ) -> None:
        """Replace what was known of a VM or zone."""
        sums = {
            entry.engine: commitments.EngineSums(
                entry.runs,
                entry.tokens,
                entry.copy_tokens,
                entry.unread_tokens,
            )
            for entry in news.engines
        }
        now_ms = self.loop.now_ms()
        self.book.update_peer(teller, sums, now_ms)
        self.calls[teller] = (now_ms, dict(news.calls))
        self.plain_pool.peer_running = self._calls(None)
        if self.desk.queue.waiting:
            self.desk.step_soon()

    def engines(
        self,
        tellers: collections.abc.Collection[Teller] = (),
    ) -> dict[ids.UpstreamId, commitments.EngineSums]:
        """Return the sums of this VM and some others by engine."""
        return self.book.all_sums(self.loop.now_ms(), tellers)

    def running_calls(
        self, tellers: collections.abc.Collection[Teller] = ()
    ) -> dict[ids.UpstreamId, int]:
        """Return the plain calls of this VM and some others."""
        calls = self._calls(tellers)
        calls.update(self.plain_pool.running)
        return {upstream: count for upstream, count in calls.items() if count}

    def _calls(
        self, tellers: collections.abc.Collection[Teller] | None
    ) -> collections.Counter:
        now_ms = self.loop.now_ms()
        total: collections.Counter = collections.Counter()
        for teller, (told_ms, calls) in self.calls.items():
            is_asked = tellers is None or teller in tellers
            if is_asked and now_ms - told_ms <= CALLS_LIVE_MS:
                total.update(calls)
        return total


def engine_entries(
    sums: collections.abc.Mapping[ids.UpstreamId, commitments.EngineSums],
) -> tuple[messages.EngineEntry, ...]:
    """Return sums as they are told to peers."""
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
