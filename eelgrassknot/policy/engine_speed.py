"""Speed of one engine, estimated from the events of this VM's runs.

The step factor is the duration of a decode step relative to that of an
engine of speed 1 with as many runs; the factor of an engine of speed 0.7
is 1.43. It is the median of the latest windows of events (see
`event_pace`). If the last few windows agree that the engine has become
faster or slower, the older ones are dropped, so that a change is followed
faster than the median alone would.

The prefill factor is the time to the first event relative to the prompt
tokens that had to be read. It depends on placements of other VMs that this
one does not know of, and is taken to be the step factor unless it differs
from it by much.

References:
    Kwon et al., "Efficient Memory Management for Large Language Model
    Serving with PagedAttention", SOSP 2023, on iteration-level batching.
"""

import collections
import collections.abc
import math
import statistics

import msgspec

from eelgrassknot.policy import run_limit

__all__ = [
    'EVIDENCE_HALF_LIFE_MS',
    'EngineSpeed',
    'Estimate',
    'evidence',
    'expected_step_ms',
]

STEP_BASE_MS = 7.0
"""Duration of a decode step of an engine of speed 1 without runs; ms, from
the users' engine specifications."""
STEP_RUN_MS = 0.12
"""What each run adds to it; ms, from the same source."""
PREFILL_TOKENS_PER_MS = 14.0
"""Prefill speed of an engine of speed 1, from the same source."""
KEPT_WINDOWS = 12
"""Number of windows of events in an estimate; two seconds of one run."""
CHANGE_WINDOWS = 3
"""Number of windows that show that the speed has changed."""
CHANGE_RATIO = 1.5
"""Ratio to the estimate from which they show it. The speeds of engines of
one service differ by 1.3 or more, noise by 1.2."""
EVIDENCE_HALF_LIFE_MS = 5_000.0
"""Time after which a window counts half against the prior; ms. A slow engine
without runs is tried again after about 30 s; engines live for 20 s."""
KEPT_FIRST_EVENTS = 8
MIN_FIRST_EVENTS = 4
"""Number of first events from which the prefill factor counts."""
FIRST_EVENT_WEIGHT = 0.5
"""Weight of a first event in the step factor, in windows, if no window is
known. Short streams have none."""
MIN_PREFILL_TOKENS = 1_000
"""Unread prompt tokens from which a first event is measured. With fewer, the
round trip and the first steps prevail."""
PREFILL_TOLERANCE = 1.5
"""Ratio of the prefill factor to the step factor up to which they count as
equal: placements that are not yet known, or prompts that are partly in the
engine's cache, change the time to the first event by as much."""
FACTOR_RANGE = (0.1, 10.0)
"""Factors beyond these are faults of the measurement, and are clipped."""


class Estimate(msgspec.Struct, frozen=True):
    """Step factor of one engine according to one VM or zone.

    Attributes:
        factor: Duration of a step relative to an engine of speed 1.
        weight: Number of windows of events behind it, reduced by age.
        age_ms: Time since the last of them.
        run_limit: Limit on concurrent runs, or None.
    """

    factor: float
    weight: float
    age_ms: float
    run_limit: int | None = None


class EngineSpeed:
    """What the runs of this VM show of one incarnation of an engine.

    Attributes:
        windows: Time and log factor of the latest windows of events.
        first_events: Time and log factor of the latest first events.
        limit: Step times by number of runs.

    Example:
        >>> speed = EngineSpeed()
        >>> for index in range(3):
        ...     _ = speed.record_interval(40.0, 4, 0, 100.0 * index)
        >>> round(speed.estimate(200.0).factor, 2)
        1.43
    """

    def __init__(self) -> None:
        self.windows: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=KEPT_WINDOWS)
        )
        self.first_events: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=KEPT_FIRST_EVENTS)
        )
        self.limit = run_limit.RunLimit()

    @property
    def is_known(self) -> bool:
        """Whether there are any samples."""
        return bool(self.windows or self.first_events)

    def record_interval(
        self, interval_ms: float, event_tokens: int, runs: int, now_ms: float
    ) -> bool:
        """Record the mean interval of a window of events.

        Args:
            interval_ms: Mean time between two events of a run.
            event_tokens: Number of tokens in an event.
            runs: Number of runs at the engine.
            now_ms: The present time.

        Returns:
            Whether the engine has become faster or slower.
        """
        step_ms = interval_ms / event_tokens
        self.limit.record(runs, step_ms, event_tokens, now_ms)
        factor = step_ms / expected_step_ms(runs)
        self.windows.append((now_ms, _clipped_log(factor)))
        return self._drop_outdated()

    def record_first_event(
        self,
        wait_ms: float,
        unread_tokens: int,
        event_tokens: int,
        now_ms: float,
    ) -> None:
        """Record the first event of a run.

        Args:
            wait_ms: Time since the request was sent.
            unread_tokens: Prompt tokens that the engine had to read,
                including those of the run.
            event_tokens: Number of tokens in an event.
            now_ms: The present time.
        """
        if unread_tokens < MIN_PREFILL_TOKENS:
            return
        expected_ms = unread_tokens / PREFILL_TOKENS_PER_MS
        expected_ms += event_tokens * STEP_BASE_MS
        factor = wait_ms / expected_ms
        self.first_events.append((now_ms, _clipped_log(factor)))

    def estimate(self, now_ms: float) -> Estimate | None:
        """Return the step factor, or None if nothing is known."""
        if not self.windows:
            return self._first_event_estimate(now_ms)
        return Estimate(
            math.exp(_median(self.windows)),
            _weight(self.windows, now_ms),
            now_ms - self.windows[-1][0],
            self.limit.runs(now_ms),
        )

    def _first_event_estimate(self, now_ms: float) -> Estimate | None:
        """Return the step factor if only first events are known.

        They only show that an engine is slow: a prompt that is partly in the
        engine's cache is read faster.
        """
        if not self.first_events:
            return None
        excess = _median(self.first_events) - math.log(PREFILL_TOLERANCE)
        return Estimate(
            math.exp(max(0.0, excess)),
            _weight(self.first_events, now_ms) * FIRST_EVENT_WEIGHT,
            now_ms - self.first_events[-1][0],
        )

    def prefill_ratio(self, step_factor: float, now_ms: float) -> float:
        """Return the prefill factor relative to the step factor.

        Args:
            step_factor: Step factor according to all VMs.
            now_ms: The present time.
        """
        if len(self.first_events) < MIN_FIRST_EVENTS:
            return 1.0
        excess = _median(self.first_events) - math.log(step_factor)
        beyond = max(0.0, abs(excess) - math.log(PREFILL_TOLERANCE))
        weight = _weight(self.first_events, now_ms)
        share = weight / (weight + MIN_FIRST_EVENTS)
        return math.exp(math.copysign(beyond * share, excess))

    def _drop_outdated(self) -> bool:
        """Drop the windows before a change; return whether there was one."""
        if len(self.windows) <= CHANGE_WINDOWS:
            return False
        logs = [log for _, log in self.windows]
        before = statistics.median(logs[:-CHANGE_WINDOWS])
        threshold = math.log(CHANGE_RATIO)
        latest = logs[-CHANGE_WINDOWS:]
        slower = all(log - before > threshold for log in latest)
        faster = all(before - log > threshold for log in latest)
        if not slower and not faster:
            return False
        kept = list(self.windows)[-CHANGE_WINDOWS:]
        self.windows.clear()
        self.windows.extend(kept)
        self.first_events.clear()
        return True


def expected_step_ms(runs: int) -> float:
    """Return the duration of a step of an engine of speed 1; ms."""
    return STEP_BASE_MS + STEP_RUN_MS * runs


def evidence(weight: float, age_ms: float) -> float:
    """Return what a weight still counts against the prior.

    Example:
        >>> evidence(4.0, EVIDENCE_HALF_LIFE_MS)
        2.0
    """
    return weight * 0.5 ** (max(0.0, age_ms) / EVIDENCE_HALF_LIFE_MS)


def _median(samples: collections.abc.Iterable[tuple[float, float]]) -> float:
    return statistics.median(log for _, log in samples)


def _weight(
    samples: collections.abc.Iterable[tuple[float, float]], now_ms: float
) -> float:
    return sum(evidence(1.0, now_ms - at_ms) for at_ms, _ in samples)


def _clipped_log(factor: float) -> float:
    low, high = FACTOR_RANGE
    return math.log(min(high, max(low, factor)))
