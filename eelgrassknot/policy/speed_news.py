"""Selection of the estimates of engines' speeds that peers are told.

Peers assume that an engine of which they hear nothing has the factor 1, and
reduce what they have heard by its age themselves. So an estimate is sent
unless it and those of other VMs are near 1; a VM that contradicts others has
to be heard, or a few wrong estimates would be the only ones. It is sent again
when it changes, and now and then while there are new samples.
"""

import collections.abc
import math

import msgspec

from eelgrassknot import ids
from eelgrassknot.policy import engine_speed
from eelgrassknot.policy import speed_table

__all__ = ['SpeedNews', 'Statement']

CHANGE_RATIO = 1.1
"""Ratio between two factors from which the new one is sent. It is less than
half of the smallest difference between engines of one service."""
WEIGHT_RATIO = 3.0
"""Ratio between two weights from which the new one is sent: the first one of
an engine is sent after few windows of events."""
MIN_WEIGHT = 1.5
"""Weight from which an estimate is sent, in windows of events. One window of
an engine with noise of 20% is off by 10% in one of ten cases."""
CERTAIN_RATIO = 1.25
"""Ratio to the factor 1 from which a single window is sent."""
REFRESH_MS = 2_500.0
"""Interval at which an estimate with new samples is sent again; ms. Half of
the time after which its weight is halved."""
MAX_UNSENT_AGE_MS = 5_000.0
"""Age of its samples beyond which an estimate is not sent; ms."""


class Statement(msgspec.Struct, frozen=True):
    """Estimate of one incarnation of an engine, for peers."""

    upstream: ids.UpstreamId
    started_at_ms: int
    estimate: engine_speed.Estimate


class _Sent(msgspec.Struct):
    started_at_ms: int
    estimate: engine_speed.Estimate
    at_ms: float


class SpeedNews:
    """Estimates for one group of peers.

    Args:
        table: The estimates of all engines.

    Attributes:
        sent: What was sent last of each engine.

    Example:
        >>> table = speed_table.SpeedTable()
        >>> table.retain({'a': 1, 'b': 1})
        >>> _ = table.record_interval('a', 1, 40.0, 4, 0, 0.0)
        >>> _ = table.record_interval('b', 1, 28.0, 4, 0, 0.0)
        >>> news = SpeedNews(table)
        >>> [each.upstream for each in news.due((), 0.0)]
        ['a']
        >>> news.due((), 100.0)
        ()
    """

    def __init__(self, table: speed_table.SpeedTable) -> None:
        self.table = table
        self.sent: dict[ids.UpstreamId, _Sent] = {}

    def due(
        self,
        sources: collections.abc.Collection[speed_table.Source],
        now_ms: float,
    ) -> tuple[Statement, ...]:
        """Return the estimates to send now, and take them as sent.

        Args:
            sources: Sources to include besides this VM.
            now_ms: The present time.
        """
        due = []
        engines = self.table.engines
        self.sent = {n: s for n, s in self.sent.items() if n in engines}
        for name, known in engines.items():
            if not known.has_any(sources):
                continue
            estimate = self.table.merged(name, now_ms, sources)
            if estimate is None or estimate.age_ms > MAX_UNSENT_AGE_MS:
                continue
            before = self.sent.get(name)
            if before and before.started_at_ms != known.started_at_ms:
                before = None
            others = self.table.merged(name, now_ms, has_own=False)
            if _is_due(before, estimate, others, now_ms):
                self.sent[name] = _Sent(known.started_at_ms, estimate, now_ms)
                due.append(Statement(name, known.started_at_ms, estimate))
        return tuple(due)


def _is_due(
    before: _Sent | None,
    estimate: engine_speed.Estimate,
    others: engine_speed.Estimate | None,
    now_ms: float,
) -> bool:
    """Return whether peers have to be told of an estimate.

    Args:
        before: What they were told last, or None.
        estimate: The present estimate.
        others: The estimate of other VMs, or None.
        now_ms: The present time.
    """
    is_neutral = _is_neutral(estimate) and _is_neutral(others)
    if before is None:
        is_certain = estimate.weight >= MIN_WEIGHT or _differ(
            estimate.factor, 1.0, CERTAIN_RATIO
        )
        return is_certain and not is_neutral
    if _differ(estimate.factor, before.estimate.factor):
        return True
    if estimate.run_limit != before.estimate.run_limit:
        return True
    if estimate.weight > WEIGHT_RATIO * before.estimate.weight:
        return True
    elapsed_ms = now_ms - before.at_ms
    has_samples = estimate.age_ms < elapsed_ms
    return has_samples and not is_neutral and elapsed_ms >= REFRESH_MS


def _is_neutral(estimate: engine_speed.Estimate | None) -> bool:
    """Return whether an estimate is what is assumed without any."""
    if estimate is None:
        return True
    return estimate.run_limit is None and not _differ(estimate.factor, 1.0)


def _differ(factor: float, other: float, ratio: float = CHANGE_RATIO) -> bool:
    """Return whether two factors differ by more than a ratio."""
    return abs(math.log(factor / other)) > math.log(ratio)
