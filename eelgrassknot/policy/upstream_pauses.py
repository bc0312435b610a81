"""Times for which upstreams want no request from this VM.

An upstream that turns a request away may state when it will take requests of
this VM again. A pause applies to one VM and to one process of the upstream.
"""

import collections.abc
import math
import random

import msgspec

from eelgrassknot import ids

__all__ = ['MAX_RETURN_MS', 'Pause', 'PauseTable']

MAX_SPREAD_SHARE = 0.1
"""Random extension of a pause, as a share of it, so that the VMs that were
turned away together do not return together."""
MAX_SPREAD_MS = 1_000.0
MAX_RETURN_MS = 10_000.0
"""Longest time after which a caller that is refused for pauses is asked to
return; ms. An upstream may be restarted sooner than its pause ends."""
TRIAL_MS = 1_000.0
"""How long the first request after a pause is awaited before another one is
sent; ms."""


class Pause(msgspec.Struct):
    """One pause.

    Attributes:
        started_at_ms: Start of the upstream's process, on its own clock.
        until_ms: End of the pause, on this VM's clock.
        trial_ms: When the first request after the pause was sent, or None.
    """

    started_at_ms: int
    until_ms: float
    trial_ms: float | None = None


class PauseTable:
    """The pauses that upstreams have stated to this VM.

    Args:
        generator: Random number generator for the ends of the pauses.

    Attributes:
        pauses: Pause of each upstream that has not answered since.

    Example:
        >>> table = PauseTable(random.Random(1))
        >>> _ = table.record('a', 1, 2_000.0, 0.0)
        >>> table.wait_ms('a', 500.0) >= 1_500.0
        True
        >>> table.wait_ms('a', 2_300.0)
        0.0
    """

    def __init__(self, generator: random.Random) -> None:
        self.generator = generator
        self.pauses: dict[ids.UpstreamId, Pause] = {}

    def record(
        self,
        upstream: ids.UpstreamId,
        started_at_ms: int,
        pause_ms: float,
        now_ms: float,
    ) -> Pause:
        """Record a pause; the latest statement counts.

        Args:
            upstream: The upstream.
            started_at_ms: Start of its process.
            pause_ms: Stated duration; may be infinite.
            now_ms: When the statement was received.
        """
        spread_ms = 0.0
        if math.isfinite(pause_ms):
            spread_ms = self.generator.uniform(
                0.0, min(MAX_SPREAD_SHARE * pause_ms, MAX_SPREAD_MS)
            )
        pause = Pause(started_at_ms, now_ms + pause_ms + spread_ms)
        self.pauses[upstream] = pause
        return pause

    def wait_ms(self, upstream: ids.UpstreamId, now_ms: float) -> float:
        """Return how long nothing may be sent to an upstream; ms."""
        pause = self.pauses.get(upstream)
        if pause is None:
            return 0.0
        until_ms = pause.until_ms
        if pause.trial_ms is not None:
            until_ms = max(until_ms, pause.trial_ms + TRIAL_MS)
        return max(0.0, until_ms - now_ms)

    def earliest_ms(
        self,
        upstreams: collections.abc.Collection[ids.UpstreamId],
        now_ms: float,
    ) -> float:
        """Return when the first of some upstreams takes requests; ms.

        Args:
            upstreams: The upstreams.
            now_ms: The present time.

        Returns:
            The time from now; 0 if there are none or one does now.
        """
        return min(
            (self.wait_ms(each, now_ms) for each in upstreams), default=0.0
        )

    def request_sent(self, upstream: ids.UpstreamId, now_ms: float) -> None:
        """Record a request; the next one waits until it is answered."""
        pause = self.pauses.get(upstream)
        if pause is not None and now_ms >= pause.until_ms:
            pause.trial_ms = now_ms

    def answered(self, upstream: ids.UpstreamId, now_ms: float) -> None:
        """Record an answer that states no pause.

        An answer during a pause belongs to a request that was sent before.
        """
        pause = self.pauses.get(upstream)
        if pause is not None and now_ms >= pause.until_ms:
            del self.pauses[upstream]

    def update_listed(
        self,
        started_at_ms: collections.abc.Mapping[ids.UpstreamId, int],
    ) -> None:
        """Forget the pauses of upstreams that were restarted.

        Args:
            started_at_ms: Start of the process of each listed upstream.
        """
        for upstream, pause in list(self.pauses.items()):
            started = started_at_ms.get(upstream, pause.started_at_ms)
            if started != pause.started_at_ms:
                del self.pauses[upstream]
