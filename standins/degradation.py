"""Comparison of the requests served before and during faults."""

import collections
import collections.abc
import dataclasses
import math

from standins import history as histories

__all__ = ['FaultWindow', 'OutcomeSummary', 'summarize']

P95 = 0.95


@dataclasses.dataclass(frozen=True)
class FaultWindow:
    """Time range of a round's faults, in milliseconds.

    Attributes:
        cut_off: Entry VMs in a partitioned zone.
    """

    begin_ms: float
    end_ms: float
    cut_off: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class OutcomeSummary:
    """Outcomes of the requests that started in a time range."""

    name: str
    outcomes: collections.Counter
    p95_ms: float

    def __str__(self) -> str:
        counts = ','.join(
            f'{name}:{n}' for name, n in sorted(self.outcomes.items())
        )
        return f'{self.name} {counts or "none"} done_p95_ms={self.p95_ms:.0f}'


def summarize(
    history: histories.History, window: FaultWindow
) -> list[OutcomeSummary]:
    """Summarize the requests that started before and during the faults.

    Args:
        history: Records of a round.
        window: Time range of the faults.
    """
    kinds = (
        ('streams', [(s, s.vms[0]) for s in history.streams if s.vms]),
        ('calls', [(c, c.vm) for c in history.calls if c.vm]),
    )
    rows = []
    for kind, records in kinds:
        before = [r for r, _ in records if r.started_ms < window.begin_ms]
        rows.append(_row(f'{kind}_before', before))
        during = [
            (r, vm)
            for r, vm in records
            if window.begin_ms <= r.started_ms < window.end_ms
        ]
        outside = [r for r, vm in during if vm not in window.cut_off]
        rows.append(_row(f'{kind}_during', outside))
        if window.cut_off:
            inside = [r for r, vm in during if vm in window.cut_off]
            rows.append(_row(f'{kind}_during_in_cut_off_zone', inside))
    return rows


def _row(name: str, records: collections.abc.Sequence) -> OutcomeSummary:
    outcomes = collections.Counter(r.outcome for r in records)
    times_ms = sorted(
        r.ended_ms - r.started_ms for r in records if r.outcome == 'done'
    )
    if not times_ms:
        return OutcomeSummary(name, outcomes, 0.0)
    place = max(0, math.ceil(P95 * len(times_ms)) - 1)
    return OutcomeSummary(name, outcomes, times_ms[place])
