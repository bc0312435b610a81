"""Outlier ejection, probation and slow start of upstreams.

An upstream is ejected after several consecutive failures, or when it is
significantly slower than its peers (a gray failure). An upstream that
answers no request gets no new work in the meantime. After a back-off, an
ejected upstream returns on probation with a low allowance that doubles as
time passes. At least half of a service's upstreams stay in use, so that
ejection cannot remove all of them. If all that remain have a request
limit, those that were ejected for the content of their responses stay in
use too: most of their responses may be good, and a limit leaves no others.

References:
    Huang et al., "Gray Failure: The Achilles' Heel of Cloud-Scale
    Systems", HotOS 2017.
"""

from collections.abc import Callable
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
"""Time without any response to pending requests after which an upstream
counts as unresponsive; ms. Ten times the duration of a call, to allow for
queueing."""


class UpstreamHealth:
    """Health of one upstream.

    Attributes:
        failures: Number of consecutive failures.
        ejections: Number of ejections, which sets the next back-off.
        sample_count: Number of token observations.
        slow_start_ms: Start of its slow start.
        unanswered: Requests without a first response byte yet.
        fails_by_response: Whether its last failure was a response.
        silent_since_ms: Time from which it has sent nothing although
            requests are pending, or None.
    """

    def __init__(self, slow_start_ms: float) -> None:
        self.failures = 0
        self.fails_by_response = False
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
        """Smoothed time per output token."""
        return self.token_time_ms / self.tokens if self.tokens else 0.0

    def record_tokens(self, count: int, span_ms: float) -> None:
        """Record output tokens of one stream.

        Args:
            count: Number of tokens.
            span_ms: Time since the previous tokens of that stream.
        """
        self.sample_count += 1
        self.tokens += count
        self.token_time_ms += span_ms
        if self.tokens > WINDOW_TOKENS:
            self.tokens *= 0.5
            self.token_time_ms *= 0.5

    def is_unresponsive(self, now_ms: float) -> bool:
        """Return whether it has left all requests unanswered too long."""
        if self.silent_since_ms is None:
            return False
        return now_ms - self.silent_since_ms > UNRESPONSIVE_MS

    def allowance(self, now_ms: float) -> float:
        """Return how many requests it may run during slow start."""
        age_ms = now_ms - self.slow_start_ms
        doublings = age_ms / ALLOWANCE_DOUBLING_MS
        if doublings > 8:
            return math.inf
        return INITIAL_ALLOWANCE * 2.0**doublings


class HealthTracker:
    """Tracks the health of all upstreams that a VM uses."""

    def __init__(self) -> None:
        self.upstreams: dict[ids.UpstreamId, UpstreamHealth] = {}
        self.known_since_ms: float | None = None

    def get_or_create(
        self, upstream: ids.UpstreamId, now_ms: float, slow_start: bool
    ) -> UpstreamHealth:
        """Return an upstream's health, created on first use.

        Args:
            upstream: The upstream.
            now_ms: The present time.
            slow_start: Whether it has just joined a running service and
                is subject to slow start.
        """
        found = self.upstreams.get(upstream)
        if found is None:
            found = UpstreamHealth(now_ms if slow_start else -math.inf)
            self.upstreams[upstream] = found
        return found

    def forget(self, upstream: ids.UpstreamId) -> None:
        """Remove an upstream that is gone."""
        self.upstreams.pop(upstream, None)

    def usable(
        self,
        upstreams: Sequence[ids.UpstreamId],
        now_ms: float,
        is_limited: Callable[[ids.UpstreamId], bool] | None = None,
    ) -> list[ids.UpstreamId]:
        """Return the usable upstreams, at least ``MIN_IN_USE_SHARE`` of all.

        Args:
            upstreams: Reachable upstreams of one service.
            now_ms: The present time.
            is_limited: Whether an upstream has a request limit; None if
                none has.
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
        minimum = math.ceil(len(upstreams) * MIN_IN_USE_SHARE)
        if len(healthy) < minimum:
            ejected.sort()
            missing = minimum - len(healthy)
            healthy.extend(upstream for _, upstream in ejected[:missing])
        if is_limited is not None and all(map(is_limited, healthy)):
            healthy.extend(
                upstream
                for _, upstream in ejected
                if not is_limited(upstream)
                and self._responds(upstream, now_ms)
            )
        return healthy

    def record_failure(
        self,
        upstream: ids.UpstreamId,
        now_ms: float,
        by_response: bool = False,
    ) -> None:
        """Record a failed attempt; eject after consecutive failures.

        Args:
            upstream: The upstream.
            now_ms: The present time.
            by_response: Whether it responded, but with a failure.
        """
        health = self.get_or_create(upstream, now_ms, False)
        health.fails_by_response = by_response
        health.failures += 1
        if health.failures >= FAILURES_TO_EJECT:
            self._eject(health, now_ms)

    def record_success(self, upstream: ids.UpstreamId) -> None:
        """Record a response, which resets the count of failures."""
        health = self.upstreams.get(upstream)
        if health is not None:
            health.failures = 0

    def request_sent(self, upstream: ids.UpstreamId, now_ms: float) -> None:
        """Record a request that an upstream has yet to answer."""
        health = self.get_or_create(upstream, now_ms, False)
        health.unanswered += 1
        if health.silent_since_ms is None:
            health.silent_since_ms = now_ms

    def response_started(
        self, upstream: ids.UpstreamId, now_ms: float
    ) -> None:
        """Record the first bytes of a response."""
        health = self.upstreams.get(upstream)
        if health is not None:
            health.unanswered = max(0, health.unanswered - 1)
            health.silent_since_ms = now_ms if health.unanswered else None

    def request_abandoned(self, upstream: ids.UpstreamId) -> None:
        """Record that a request no longer awaits its response."""
        health = self.upstreams.get(upstream)
        if health is not None:
            health.unanswered = max(0, health.unanswered - 1)
            if not health.unanswered:
                health.silent_since_ms = None

    def is_unresponsive(self, upstream: ids.UpstreamId, now_ms: float) -> bool:
        """Return whether an upstream is currently unresponsive."""
        health = self.upstreams.get(upstream)
        return health is not None and health.is_unresponsive(now_ms)

    def eject(self, upstream: ids.UpstreamId, now_ms: float) -> None:
        """Eject an upstream at once, whatever its number of failures."""
        health = self.get_or_create(upstream, now_ms, False)
        health.fails_by_response = False
        self._eject(health, now_ms)

    def eject_slow(
        self, upstreams: Sequence[ids.UpstreamId], now_ms: float
    ) -> list[ids.UpstreamId]:
        """Eject upstreams that are much slower than their peers.

        Args:
            upstreams: Upstreams of one service.
            now_ms: The present time.

        Returns:
            The upstreams that were ejected.
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
        median_ms = statistics.median(
            self.upstreams[upstream].interval_ms for upstream in known
        )
        slow = [
            upstream
            for upstream in known
            if self.upstreams[upstream].interval_ms > SLOW_RATIO * median_ms
        ]
        for upstream in slow:
            self._eject(self.upstreams[upstream], now_ms)
        return slow

    def allowance(self, upstream: ids.UpstreamId, now_ms: float) -> float:
        """Return how many requests an upstream may currently run."""
        health = self.upstreams.get(upstream)
        return math.inf if health is None else health.allowance(now_ms)

    def is_ejected(self, upstream: ids.UpstreamId, now_ms: float) -> bool:
        """Return whether an upstream is currently ejected."""
        health = self.upstreams.get(upstream)
        if health is None or health.ejected_until_ms is None:
            return False
        return now_ms < health.ejected_until_ms

    def _responds(self, upstream: ids.UpstreamId, now_ms: float) -> bool:
        health = self.upstreams[upstream]
        return health.fails_by_response and not health.is_unresponsive(now_ms)

    def _eject(self, health: UpstreamHealth, now_ms: float) -> None:
        backoff_ms = FIRST_EJECTION_MS * 2.0**health.ejections
        health.ejections += 1
        health.ejected_until_ms = now_ms + min(backoff_ms, MAX_EJECTION_MS)

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
