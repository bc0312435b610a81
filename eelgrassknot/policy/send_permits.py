"""Division of an upstream's request limit among the VMs that use it.

For each limited upstream one VM of a group issues the permits to send, at
the group's share of the limit. Permits are issued in order of request, and
a request that would wait too long is denied with the time of the next one.
The share is that of the VMs which the issuer can hear, so the two sides of
a partition together stay within the limit, and a VM that hears no other
issues its own small share.

References:
    Raghavan et al., "Cloud Control with Distributed Rate Limiting",
    SIGCOMM 2007.
"""

import collections.abc
import math

import msgspec

from eelgrassknot import clock
from eelgrassknot import ids
from eelgrassknot.policy import token_bucket

__all__ = ['Denial', 'Grant', 'PermitIssuer', 'PermitView', 'ReturnSchedule']

BURST_S = 1.0
"""Permits that accumulate while none is requested; seconds of the rate."""
MIN_PER_S = 0.1
"""Rate at which an upstream that takes next to nothing is tried; without a
response nobody would learn that its limit has ended."""
MAX_RETURN_MS = 10_000.0
"""Latest time at which a refused caller is asked to return; ms. Limits may
end before that."""


class Grant(msgspec.Struct, frozen=True):
    """One request may be sent after a delay in ms."""

    delay_ms: float


class Denial(msgspec.Struct, frozen=True):
    """No permit is available in time; the next one is after a delay."""

    retry_after_ms: float


class PermitView:
    """What placement needs to know of the permits; by default no limits."""

    def is_limited(self, upstream: ids.UpstreamId) -> bool:
        """Return whether sending to an upstream needs a permit."""
        return False

    def states_limit(self, upstream: ids.UpstreamId) -> bool:
        """Return whether an upstream has stated a request limit."""
        return self.is_limited(upstream)

    def wait_ms(self, upstream: ids.UpstreamId) -> float:
        """Return the expected time until a permit is available; ms."""
        return 0.0

    def free_in_ms(
        self, upstreams: collections.abc.Iterable[ids.UpstreamId]
    ) -> float:
        """Return when the first of some upstreams needs no permit; ms.

        Infinity if no end of their limits is known.
        """
        return math.inf

    def total_per_s(
        self, upstreams: collections.abc.Iterable[ids.UpstreamId]
    ) -> float | None:
        """Return this VM's even share of the limits of some upstreams.

        None if one of them has no limit.
        """
        return None


class PermitIssuer:
    """Issues the permits of one VM's group.

    Attributes:
        buckets: Permits left for each upstream; negative if some of the
            future ones have been issued.

    Example:
        >>> issuer = PermitIssuer()
        >>> issuer.reserve('a', 2.0, 1.0, 100.0, False, 0.0)
        Denial(retry_after_ms=500.0)
        >>> issuer.reserve('a', 2.0, 1.0, 600.0, False, 0.0)
        Grant(delay_ms=500.0)
    """

    def __init__(self) -> None:
        self.buckets: dict[ids.UpstreamId, token_bucket.TokenBucket] = {}

    def reserve(
        self,
        upstream: ids.UpstreamId,
        per_s: float,
        share: float,
        max_wait_ms: float,
        is_urgent: bool,
        now_ms: float,
    ) -> Grant | Denial:
        """Return a permit that can be used in time, or a denial.

        Args:
            upstream: Where the request goes.
            per_s: Limit of the upstream for all VMs together.
            share: Share of the limit that this group may use.
            max_wait_ms: Longest acceptable delay.
            is_urgent: Whether a run is lost without the permit; such
                requests may use future permits at once.
            now_ms: The present time.
        """
        rate_per_s = max(MIN_PER_S, per_s) * share
        bucket = self._bucket(upstream, rate_per_s, now_ms)
        needed = 1.0 - (min(1.0, rate_per_s * BURST_S) if is_urgent else 0.0)
        delay_ms = bucket.wait_ms(needed, now_ms)
        if delay_ms > max_wait_ms:
            return Denial(delay_ms)
        bucket.spend(1.0, now_ms)
        return Grant(delay_ms)

    def retain(
        self, upstreams: collections.abc.Container[ids.UpstreamId]
    ) -> None:
        """Forget the upstreams that no longer have a limit."""
        for upstream in list(self.buckets):
            if upstream not in upstreams:
                del self.buckets[upstream]

    def _bucket(
        self, upstream: ids.UpstreamId, rate_per_s: float, now_ms: float
    ) -> token_bucket.TokenBucket:
        burst = max(1.0, rate_per_s * BURST_S)
        bucket = self.buckets.get(upstream)
        if bucket is None:
            bucket = token_bucket.TokenBucket(rate_per_s, burst)
            # Another VM may have issued permits until now.
            bucket.spend(burst, now_ms)
            self.buckets[upstream] = bucket
        elif bucket.rate_per_s != rate_per_s:
            bucket.resize(rate_per_s, burst, now_ms)
        return bucket


class ReturnSchedule:
    """Spreads the return of refused callers over the permits to come.

    Example:
        >>> schedule = ReturnSchedule()
        >>> schedule.next_ms(300.0, 2.0, 0.0)
        300.0
        >>> schedule.next_ms(300.0, 2.0, 0.0)
        800.0
    """

    def __init__(self) -> None:
        self.last_return_ms = float('-inf')

    def next_ms(
        self, earliest_ms: float, per_s: float, now_ms: float
    ) -> float:
        """Return the delay after which a refused caller may return; ms.

        Args:
            earliest_ms: Delay until the next permit.
            per_s: Rate at which this VM gets permits.
            now_ms: The present time.
        """
        interval_ms = clock.MS_PER_SECOND / max(per_s, MIN_PER_S)
        return_ms = max(
            now_ms + earliest_ms, self.last_return_ms + interval_ms
        )
        return_ms = min(return_ms, now_ms + MAX_RETURN_MS)
        self.last_return_ms = return_ms
        return return_ms - now_ms
