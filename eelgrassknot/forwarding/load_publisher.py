"""Tells peers what this VM has placed where."""

from eelgrassknot import clock as clocks
from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import peer_load
from eelgrassknot.forwarding import replicated_state
from eelgrassknot import ids

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
        knowledge: replicated_state.Knowledge,
        tally: peer_load.PeerTally,
        loop: loops.EventLoop,
    ) -> None:
        self.knowledge = knowledge
        self.tally = tally
        self.loop = loop
        self.leaving = False
        self.told_ms = float('-inf')
        self.told: tuple = ()

    def start(self) -> None:
        """Begin to tell."""
        self.loop.call_later(LOOK_MS, self._look)

    def _interval_ms(self) -> float:
        """Return the least time between two messages to all peers."""
        peers = len(self.knowledge.board.live())
        return max(LOOK_MS, peers / MESSAGES_PER_S * clocks.MS_PER_SECOND)

    def _look(self) -> None:
        interval_ms = self._interval_ms()
        self.loop.call_later(interval_ms, self._look)
        quiet_ms = max(QUIET_MS, 2 * interval_ms)
        now_ms = self.loop.now_ms()
        sums = self.tally.engines()
        told = (
            self.knowledge.newest(),
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
        self.knowledge.board.broadcast(
            messages.EntryNews(
                ids.AvailabilityZoneId(
                    self.knowledge.settings.availability_zone
                ),
                self.leaving,
                self.knowledge.marks(),
                peer_load.engine_entries(sums),
                tuple(self.tally.running_calls().items()),
            )
        )
