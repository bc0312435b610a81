"""Ejection, trial return and slow start of upstreams.

An upstream that fails several times in a row is ejected at once; one
that is slow against its peers (a gray failure) is ejected when the
evidence is clear. One that answers nobody gets no new work meanwhile.
After a back-off an ejected one returns on trial with a low allowance that
doubles while it does well. At least half of a service's upstreams stay in
use, so ejection can never empty a service.

References:
    Huang et al., "Gray Failure: The Achilles' Heel of Cloud-Scale
    Systems", HotOS 2017.
"""

from collections.abc import Sequence
import math
import statistics

from eelgrassknot import ids

__all__ = ['HealthTracker', 'UpstreamHealth']

FAILURES_TO_EJECT = 3
FIRST_EJECTION_MS = 5_000.0
MAX_EJECTION_MS = 120_000.0
MIN_IN_USE_SHARE = 0.5
SLOW_RATIO = 2.0
MIN_SAMPLES_TO_COMPARE = 40
WINDOW_TOKENS = 2_000.0
MIN_COMPARED_UPSTREAMS = 3
INITIAL_ALLOWANCE = 2.0
ALLOWANCE_DOUBLING_MS = 2_000.0
FULL_ALLOWANCE = 256.0
UNRESPONSIVE_MS = 500.0
"""An upstream that has sent nothing for so long, though asked, is mute; ms.
Ten times the work of a call, which leaves room for a queue."""


class UpstreamHealth:
    """What is known of one upstream's health.

    Attributes:
        samples: How many observations have come.
        returned_ms: When its slow start began.
        asked: Calls that it has not begun to answer.
        unheard_ms: Since when it has sent nothing while asked, or None.
    """

    def __init__(self, slow_start_ms: float) -> None:
        self.failures = 0
        self.ejections = 0
        self.ejected_until_ms: float | None = None
        self.token_time_ms = 0.0
        self.tokens = 0.0
        self.sample_count = 0
        self.slow_start_ms = slow_start_ms
        self.unanswered = 0
        self.silent_since_ms: float | None = None

    @property
    def interval_ms(self) -> float:
        """Smoothed time that it takes to produce one token."""
        return self.token_time_ms / self.tokens if self.tokens else 0.0

    def record_tokens(self, count: int, span_ms: float) -> None:
        """Take in that one stream produced tokens.

        Args:
            count: How many.
            span_ms: Time since that stream's tokens before.
        """
        self.sample_count += 1
        self.tokens += count
        self.token_time_ms += span_ms
        if self.tokens > WINDOW_TOKENS:
            self.tokens *= 0.5
            self.token_time_ms *= 0.5

    def is_unresponsive(self, now_ms: float) -> bool:
        """Return whether it answers nobody."""
        if self.silent_since_ms is None:
            return False
        return now_ms - self.silent_since_ms > UNRESPONSIVE_MS

    def allowance(self, now_ms: float) -> float:
        """Return how many requests it may run in its slow start."""
        age_ms = now_ms - self.slow_start_ms
        doublings = age_ms / ALLOWANCE_DOUBLING_MS
        if doublings > 8:
            return math.inf
        return INITIAL_ALLOWANCE * 2.0**doublings


class HealthTracker:
    """Health of all upstreams that a VM uses."""

    def __init__(self) -> None:
        self.upstreams: dict[ids.UpstreamId, UpstreamHealth] = {}
        self.known_since_ms: float | None = None

    def get_or_create(
        self, upstream: ids.UpstreamId, now_ms: float, slow_start: bool
    ) -> UpstreamHealth:
        """Return an upstream's health, made if need be.

        Args:
            upstream: The upstream.
            now_ms: The present time.
            fresh: Whether it has just joined a running service, so that
                it starts slowly.
        """
        found = self.upstreams.get(upstream)
        if found is None:
            found = UpstreamHealth(now_ms if slow_start else -math.inf)
            self.upstreams[upstream] = found
        return found

    def forget(self, upstream: ids.UpstreamId) -> None:
        """Forget an upstream that has gone."""
        self.upstreams.pop(upstream, None)

    def usable(
        self, upstreams: Sequence[ids.UpstreamId], now_ms: float
    ) -> list[ids.UpstreamId]:
        """Return those that may be used, never fewer than the floor.

        Args:
            upstreams: Upstreams of one service in reach.
            now_ms: The present time.
        """
        healthy = []
        ejected = []
        for upstream in upstreams:
            until_ms = self._ejected_until(upstream, now_ms)
            if until_ms is None and self.is_unresponsive(upstream, now_ms):
                until_ms = now_ms + UNRESPONSIVE_MS
            if until_ms is None:
                healthy.append(upstream)
            else:
                ejected.append((until_ms, upstream))
        floor = math.ceil(len(upstreams) * MIN_IN_USE_SHARE)
        if len(healthy) < floor:
            ejected.sort()
            missing = floor - len(healthy)
            healthy.extend(upstream for _, upstream in ejected[:missing])
        return healthy

    def record_failure(self, upstream: ids.UpstreamId, now_ms: float) -> None:
        """Count a failed attempt to use an upstream."""
        health = self.get_or_create(upstream, now_ms, False)
        health.failures += 1
        if health.failures >= FAILURES_TO_EJECT:
            self._eject(health, now_ms)

    def record_success(self, upstream: ids.UpstreamId) -> None:
        """Count an answer, which ends a row of failures."""
        health = self.upstreams.get(upstream)
        if health is not None:
            health.failures = 0

    def request_sent(self, upstream: ids.UpstreamId, now_ms: float) -> None:
        """Count a call that an upstream is to answer."""
        health = self.get_or_create(upstream, now_ms, False)
        health.unanswered += 1
        if health.silent_since_ms is None:
            health.silent_since_ms = now_ms

    def response_started(
        self, upstream: ids.UpstreamId, now_ms: float
    ) -> None:
        """Count the first bytes of an answer."""
        health = self.upstreams.get(upstream)
        if health is not None:
            health.unanswered = max(0, health.unanswered - 1)
            health.silent_since_ms = now_ms if health.unanswered else None

    def request_abandoned(self, upstream: ids.UpstreamId) -> None:
        """Count a call that waits no longer for its answer."""
        health = self.upstreams.get(upstream)
        if health is not None:
            health.unanswered = max(0, health.unanswered - 1)
            if not health.unanswered:
                health.silent_since_ms = None

    def is_unresponsive(self, upstream: ids.UpstreamId, now_ms: float) -> bool:
        """Return whether an upstream answers nobody at this time."""
        health = self.upstreams.get(upstream)
        return health is not None and health.is_unresponsive(now_ms)

    def eject(self, upstream: ids.UpstreamId, now_ms: float) -> None:
        """Eject an upstream on evidence that needs no repetition."""
        self._eject(self.get_or_create(upstream, now_ms, False), now_ms)

    def eject_slow(
        self, upstreams: Sequence[ids.UpstreamId], now_ms: float
    ) -> list[ids.UpstreamId]:
        """Eject those that are far slower than their peers.

        Args:
            upstreams: Upstreams of one service.
            now_ms: The present time.

        Returns:
            Those that were ejected now.
        """
        known = [
            upstream
            for upstream in upstreams
            if self._ejected_until(upstream, now_ms) is None
            and upstream in self.upstreams
            and self.upstreams[upstream].sample_count >= MIN_SAMPLES_TO_COMPARE
        ]
        if len(known) < MIN_COMPARED_UPSTREAMS:
            return []
        usual_ms = statistics.median(
            self.upstreams[upstream].interval_ms for upstream in known
        )
        slow = [
            upstream
            for upstream in known
            if self.upstreams[upstream].interval_ms > SLOW_RATIO * usual_ms
        ]
        for upstream in slow:
            self._eject(self.upstreams[upstream], now_ms)
        return slow

    def allowance(self, upstream: ids.UpstreamId, now_ms: float) -> float:
        """Return how many requests an upstream may run now."""
        health = self.upstreams.get(upstream)
        return math.inf if health is None else health.allowance(now_ms)

    def is_ejected(self, upstream: ids.UpstreamId, now_ms: float) -> bool:
        """Return whether an upstream is ejected at this time."""
        health = self.upstreams.get(upstream)
        if health is None or health.ejected_until_ms is None:
            return False
        return now_ms < health.ejected_until_ms

    def _eject(self, health: UpstreamHealth, now_ms: float) -> None:
        span_ms = FIRST_EJECTION_MS * 2.0**health.ejections
        health.ejections += 1
        health.ejected_until_ms = now_ms + min(span_ms, MAX_EJECTION_MS)

    def _ejected_until(
        self, upstream: ids.UpstreamId, now_ms: float
    ) -> float | None:
        health = self.upstreams.get(upstream)
        if health is None or health.ejected_until_ms is None:
            return None
        if now_ms < health.ejected_until_ms:
            return health.ejected_until_ms
        self._start_probation(health, now_ms)
        return None

    def _start_probation(self, health: UpstreamHealth, now_ms: float) -> None:
        health.ejected_until_ms = None
        health.failures = FAILURES_TO_EJECT - 1
        health.sample_count = 0
        health.tokens = 0.0
        health.token_time_ms = 0.0
        health.slow_start_ms = now_ms
