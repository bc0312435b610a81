"""Event counters with totals, peaks and recent rates."""

import collections
import threading

from eelgrassknot import clock as clocks

__all__ = ['Counters']

WINDOW_SECONDS = 10


class Counters:
    """Counts events of several kinds.

    Example:
        >>> counts = Counters()
        >>> counts.count('reads', 5.0)
        >>> counts.summary(2_000.0)['reads']['total']
        1
    """

    def __init__(self) -> None:
        self.totals: collections.Counter = collections.Counter()
        self.seconds: dict[str, collections.Counter] = {}
        self.peaks: dict[str, int] = {}
        self.lock = threading.Lock()

    def count(self, kind: str, now_ms: float) -> None:
        """Count one event of a kind."""
        second = int(now_ms // clocks.MS_PER_SECOND)
        with self.lock:
            self.totals[kind] += 1
            seconds = self.seconds.setdefault(kind, collections.Counter())
            seconds[second] += 1
            self.peaks[kind] = max(self.peaks.get(kind, 0), seconds[second])
            for old in [s for s in seconds if s < second - WINDOW_SECONDS]:
                del seconds[old]

    def summary(self, now_ms: float) -> dict[str, dict[str, float]]:
        """Return totals, peaks and rates over the last complete seconds."""
        current = int(now_ms // clocks.MS_PER_SECOND)
        with self.lock:
            return {
                kind: {
                    'total': self.totals[kind],
                    'peak_per_second': self.peaks[kind],
                    'per_second': self._recent(kind, current),
                }
                for kind in self.totals
            }

    def _recent(self, kind: str, current: int) -> float:
        first = current - WINDOW_SECONDS
        recent = [
            number
            for second, number in self.seconds[kind].items()
            if first <= second < current
        ]
        return sum(recent) / WINDOW_SECONDS
