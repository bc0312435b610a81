"""Which upstreams a VM polls for their load, and when.

Each upstream has two observers in its zone by rendezvous hashing. The
first polls; the second does once it has heard nothing of the upstream
for a while, so that the death of an observer costs a few seconds of
fresh load and no polls.
"""

import collections.abc
import dataclasses

from eelgrassknot.coordination import rendezvous
from eelgrassknot import ids

__all__ = ['Observation']

OBSERVERS = 2
MAX_POLLS_PER_S = 5.0
MIN_INTERVAL_MS = 250.0
MAX_INTERVAL_MS = 4_000.0
STALE_MS = 6_000.0
# The second observer only stands in; it need not be as fresh.
STAND_IN_INTERVAL_MS = 8_000.0
MS_PER_SECOND = 1_000.0


@dataclasses.dataclass(slots=True)
class _Duty:
    rank: int
    next_ms: float
    heard_ms: float
    in_flight: bool = False


class Observation:
    """Schedule of one VM's polls.

    Args:
        vm: This VM.

    Example:
        >>> observation = Observation('a')
        >>> observation.assign(['e1'], ['a'], 0.0)
        >>> observation.due(0.0)
        ['e1']
        >>> observation.due(0.0)
        []
    """

    def __init__(self, vm: ids.VmId) -> None:
        self.vm = vm
        self.duties: dict[ids.UpstreamId, _Duty] = {}
        self.interval_ms = MIN_INTERVAL_MS

    def assign(
        self,
        upstreams: collections.abc.Iterable[ids.UpstreamId],
        members: collections.abc.Sequence[ids.VmId],
        now_ms: float,
    ) -> None:
        """Take in the upstreams and the live members of the zone.

        Args:
            upstreams: Upstreams of the zone.
            members: Live VMs of the zone, this one among them.
            now_ms: The present time.
        """
        duties = {}
        for upstream in upstreams:
            observers = rendezvous.ranked(upstream, members, OBSERVERS)
            if self.vm not in observers:
                continue
            rank = observers.index(self.vm)
            duty = self.duties.get(upstream) or _Duty(rank, now_ms, now_ms)
            duty.rank = rank
            duties[upstream] = duty
        self.duties = duties
        first = sum(duty.rank == 0 for duty in duties.values())
        interval_ms = first * MS_PER_SECOND / MAX_POLLS_PER_S
        self.interval_ms = min(
            MAX_INTERVAL_MS, max(MIN_INTERVAL_MS, interval_ms)
        )

    def due(self, now_ms: float) -> list[ids.UpstreamId]:
        """Return the upstreams to poll now; each counts as in flight."""
        due = []
        for upstream, duty in self.duties.items():
            if duty.in_flight or now_ms < duty.next_ms:
                continue
            if duty.rank and now_ms - duty.heard_ms < STALE_MS:
                continue
            duty.in_flight = True
            duty.next_ms = now_ms + self._interval_ms(duty)
            due.append(upstream)
        return due

    def _interval_ms(self, duty: _Duty) -> float:
        return STAND_IN_INTERVAL_MS if duty.rank else self.interval_ms

    def answered(self, upstream: ids.UpstreamId) -> None:
        """Take in that a poll has ended, well or badly."""
        duty = self.duties.get(upstream)
        if duty is not None:
            duty.in_flight = False

    def heard(self, upstream: ids.UpstreamId, now_ms: float) -> None:
        """Take in that a peer told the load of an upstream."""
        duty = self.duties.get(upstream)
        if duty is not None:
            duty.heard_ms = now_ms
