"""Choice of an upstream for a call of a plain service.

References:
    Mitzenmacher, "The Power of Two Choices in Randomized Load
    Balancing", IEEE TPDS 2001.
"""

import collections
from collections.abc import Sequence
import random

from eelgrassknot import ids
from eelgrassknot.kernel import events as kernel_events

__all__ = ['PlainPlacement']

SAMPLED = 2


class PlainPlacement:
    """Takes the less loaded of two sampled upstreams.

    Args:
        generator: Source of random choices.

    Attributes:
        running: Calls of this VM at each upstream.
        reported: Calls of other VMs there, as far as known.
    """

    def __init__(self, generator: random.Random) -> None:
        self.generator = generator
        self.running: collections.Counter = collections.Counter()
        self.reported: dict[ids.UpstreamId, int] = {}

    def choose(
        self, candidates: Sequence[kernel_events.UpstreamInfo]
    ) -> kernel_events.UpstreamInfo:
        """Return an upstream and count the call.

        Args:
            candidates: Upstreams that may be used, at least one.
        """
        count = min(SAMPLED, len(candidates))
        sampled = self.generator.sample(list(candidates), count)
        chosen = min(sampled, key=self._load)
        self.running[chosen.upstream] += 1
        return chosen

    def report(self, upstream: ids.UpstreamId, running: int) -> None:
        """Take in how many calls an upstream says it runs."""
        others = running - self.running[upstream]
        self.reported[upstream] = max(0, others)

    def release(self, upstream: ids.UpstreamId) -> None:
        """Count a call as ended."""
        self.running[upstream] -= 1

    def _load(self, info: kernel_events.UpstreamInfo) -> int:
        others = self.reported.get(info.upstream, 0)
        return self.running[info.upstream] + others
