"""Tells peers what this VM has placed where, and counts what they have."""

import collections

from eelgrassknot import clock as clocks
from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot.forwarding import engine_desk
from eelgrassknot.forwarding import knowledge as knowledges
from eelgrassknot.forwarding import loop as loops
from eelgrassknot import ids
from eelgrassknot.policy import commitments
from eelgrassknot.policy import plain

__all__ = ['PeerNews']

LOOK_MS = 40.0
"""How often a change is looked for; ms. Placements follow each other by
some hundred ms, so that most are known elsewhere before the next."""
MESSAGES_PER_S = 150.0
"""Messages that a VM sends to all of its peers together in a second; with
more peers each is told less often."""
QUIET_MS = 500.0
"""Longest time between two messages to few peers; ms."""
TOKEN_STEP = 256
"""Changes of a sum by fewer tokens are not told by themselves."""


class PeerNews:
    """Sends this VM's sums when they change, and takes in those of peers.

    Args:
        knowledge: Tables and peers.
        desk: This VM's streams.
        plain_pool: This VM's plain calls.
        loop: The event loop.

    Attributes:
        leaving: Whether this VM is about to end.
    """

    def __init__(
        self,
        knowledge: knowledges.Knowledge,
        desk: engine_desk.EngineDesk,
        plain_pool: plain.PlainPool,
        loop: loops.EventLoop,
    ) -> None:
        self.knowledge = knowledge
        self.desk = desk
        self.plain_pool = plain_pool
        self.loop = loop
        self.leaving = False
        self.told_ms = float('-inf')
        self.told: tuple = ()
        self.peer_calls: dict[ids.VmId, dict[ids.UpstreamId, int]] = {}

    def start(self) -> None:
        """Begin to tell."""
        self.loop.call_later(LOOK_MS, self._look)

    def take(self, vm: ids.VmId, news: messages.EntryNews) -> None:
        """Count what a peer has at each upstream."""
        sums = {
            entry.engine: commitments.EngineSums(
                entry.runs,
                entry.tokens,
                entry.copy_tokens,
                entry.unread_tokens,
            )
            for entry in news.engines
        }
        book = self.desk.queue.commitments
        book.take_peer(vm, sums, self.loop.now_ms())
        self.peer_calls[vm] = dict(news.calls)
        self._count_calls()
        if self.desk.queue.waiting:
            self.desk.step_soon()

    def _count_calls(self) -> None:
        others: dict[ids.UpstreamId, int] = collections.Counter()
        live = self.knowledge.board.live(knowledges.PEER_LIVE_MS)
        for vm in live:
            others.update(self.peer_calls.get(vm, {}))
        self.plain_pool.others = others

    def _interval_ms(self) -> float:
        """Return the least time between two messages to all peers."""
        peers = len(self.knowledge.board.live(knowledges.PEER_LIVE_MS))
        return max(LOOK_MS, peers / MESSAGES_PER_S * clocks.MS_PER_SECOND)

    def _look(self) -> None:
        interval_ms = self._interval_ms()
        self.loop.call_later(interval_ms, self._look)
        quiet_ms = max(QUIET_MS, 2 * interval_ms)
        now_ms = self.loop.now_ms()
        sums = self.desk.queue.commitments.own_sums()
        told = (
            tuple(
                (mark.table, mark.changed) for mark in self.knowledge.marks()
            ),
            tuple(
                (
                    engine,
                    each.runs,
                    (each.tokens + each.copy_tokens) // TOKEN_STEP,
                )
                for engine, each in sorted(sums.items())
            ),
        )
        if told == self.told and now_ms - self.told_ms < quiet_ms:
            return
        self.told = told
        self.told_ms = now_ms
        self.knowledge.board.broadcast(self._news(sums))

    def _news(
        self, sums: dict[ids.UpstreamId, commitments.EngineSums]
    ) -> messages.EntryNews:
        return messages.EntryNews(
            ids.AvailabilityZoneId(self.knowledge.settings.availability_zone),
            self.leaving,
            self.knowledge.marks(),
            tuple(
                messages.EngineEntry(
                    engine,
                    each.runs,
                    each.tokens,
                    each.copy_tokens,
                    each.unread_tokens,
                )
                for engine, each in sums.items()
            ),
            tuple(
                (upstream, count)
                for upstream, count in self.plain_pool.running.items()
                if count
            ),
        )
