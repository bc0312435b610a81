"""Adaptive suspicion of a peer from the arrival of its heartbeats.

The suspicion of a silent peer grows with the silence, measured against
the gaps between heartbeats that were seen, so that a link with jitter or
loss raises no alarm that a quiet link would.

References:
    Hayashibara et al., "The phi accrual failure detector", SRDS 2004.
"""

import collections
import math

__all__ = ['Suspicion']

WINDOW = 64
THRESHOLD_PHI = 8.0
# Standard deviation is not taken below this share of the mean gap, as a
# few regular arrivals do not promise that the next will be as regular.
MIN_DEVIATION_SHARE = 0.25
MIN_DEVIATION_MS = 20.0
MAX_PHI = 100.0


class Suspicion:
    """Suspicion of one peer.

    Args:
        first_gap_ms: Gap to expect before any was seen.

    Example:
        >>> suspicion = Suspicion(100.0)
        >>> for at_ms in range(0, 1000, 100):
        ...     suspicion.heard(at_ms)
        >>> suspicion.is_suspect(1000.0)
        False
        >>> suspicion.is_suspect(2000.0)
        True
    """

    def __init__(self, first_gap_ms: float) -> None:
        self.gaps: collections.deque = collections.deque([first_gap_ms])
        self.total = first_gap_ms
        self.total_squared = first_gap_ms**2
        self.last_ms: float | None = None

    def heard(self, now_ms: float) -> None:
        """Take in a heartbeat that arrived now."""
        if self.last_ms is not None:
            self._add(now_ms - self.last_ms)
        self.last_ms = now_ms

    def excuse(self, pause_ms: float) -> None:
        """Leave out a time in which this VM itself stood still."""
        if self.last_ms is not None:
            self.last_ms += pause_ms

    def phi(self, now_ms: float) -> float:
        """Return how suspicious the silence is.

        Returns:
            The negative decimal logarithm of the chance that a live
            peer would have been silent for so long.
        """
        if self.last_ms is None:
            return 0.0
        mean = self.total / len(self.gaps)
        variance = self.total_squared / len(self.gaps) - mean**2
        deviation = max(
            math.sqrt(max(0.0, variance)),
            mean * MIN_DEVIATION_SHARE,
            MIN_DEVIATION_MS,
        )
        excess = (now_ms - self.last_ms - mean) / deviation
        chance = 0.5 * math.erfc(excess / math.sqrt(2))
        if chance <= 10**-MAX_PHI:
            return MAX_PHI
        return -math.log10(chance)

    def is_suspect(self, now_ms: float) -> bool:
        """Return whether the silence is too long to be chance."""
        return self.phi(now_ms) > THRESHOLD_PHI

    def _add(self, gap_ms: float) -> None:
        self.gaps.append(gap_ms)
        self.total += gap_ms
        self.total_squared += gap_ms**2
        if len(self.gaps) > WINDOW:
            oldest = self.gaps.popleft()
            self.total -= oldest
            self.total_squared -= oldest**2
