"""Number of concurrent runs up to which an engine's throughput grows.

Some engines slow down long before they are full: more runs make each step
so much longer that the engine produces less. The step time is recorded by
number of runs. The limit is where the throughput, runs divided by step time,
stops growing, or where the events of a run would come too far apart.

References:
    Netflix, concurrency-limits (Gradient2, Vegas): the limit follows the
    latency; here the steps are observed, so the throughput is used instead.
"""

import collections

import msgspec

__all__ = ['RunLimit']

RUNS_PER_BUCKET = 3
"""Numbers of runs that are taken together; VMs know the runs of others some
hundred ms late."""
KEPT_SAMPLES = 6
"""Number of windows of events that are kept in a bucket, and from which it
counts."""
SAMPLE_RANK = 1
"""The step time of a bucket is its second shortest: the prefill of others'
prompts lengthens many windows at an engine with many runs, and a disturbance
of this VM may shorten one."""
MAX_AGE_MS = 10_000.0
"""Age after which a bucket no longer limits the runs; ms. No run is added
beyond a limit while other engines have room, so it has to end by itself."""
MAX_BEST_AGE_MS = 60_000.0
"""Age after which a bucket is no longer the best; ms. An engine that stays
above its limit shows nothing of fewer runs."""
FALL_SHARE = 0.8
"""Throughput relative to the best below which more runs are a loss. The step
time of an even engine makes it grow by a third from 6 to 9 runs, and the
number of runs is known late."""
MAX_EVENT_INTERVAL_MS = 150.0
"""Interval between events beyond which no run is added; ms. The objective
for the longest pause is 180 ms."""


class _Bucket(msgspec.Struct):
    """Windows of events while the engine had certain numbers of runs.

    Attributes:
        samples: Number of runs and step time of each; ms.
        event_tokens: Number of steps between two events of a run.
        seen_ms: When the last one was recorded.
    """

    samples: collections.deque[tuple[int, float]]
    event_tokens: int
    seen_ms: float

    @property
    def step_ms(self) -> float:
        """Step time without what disturbs it."""
        return sorted(step_ms for _, step_ms in self.samples)[SAMPLE_RANK]

    @property
    def throughput(self) -> float:
        """Tokens per ms of all runs together."""
        runs = sum(count for count, _ in self.samples) / len(self.samples)
        return runs / self.step_ms


class RunLimit:
    """Step times of one engine by number of runs.

    Example:
        >>> limit = RunLimit()
        >>> for runs, step_ms in [(6, 8.0), (9, 24.0)] * 6:
        ...     limit.record(runs, step_ms, 4, 0.0)
        >>> limit.runs(0.0)
        8
    """

    def __init__(self) -> None:
        self.buckets: dict[int, _Bucket] = {}

    def record(
        self, runs: int, step_ms: float, event_tokens: int, now_ms: float
    ) -> None:
        """Record the step time of a window of events.

        Args:
            runs: Number of runs at the engine.
            step_ms: Duration of a decode step.
            event_tokens: Number of steps between two events of a run.
            now_ms: The present time.
        """
        key = runs // RUNS_PER_BUCKET
        known = self.buckets.get(key)
        if known is None or now_ms - known.seen_ms > MAX_AGE_MS:
            known = _Bucket(
                collections.deque(maxlen=KEPT_SAMPLES), event_tokens, now_ms
            )
            self.buckets[key] = known
        known.samples.append((runs, step_ms))
        known.event_tokens = event_tokens
        known.seen_ms = now_ms

    def runs(self, now_ms: float) -> int | None:
        """Return the limit on concurrent runs, or None."""
        best = 0.0
        limit = None
        for key, bucket in sorted(self.buckets.items()):
            age_ms = now_ms - bucket.seen_ms
            if len(bucket.samples) < KEPT_SAMPLES or age_ms > MAX_BEST_AGE_MS:
                continue
            if age_ms <= MAX_AGE_MS:
                if bucket.throughput < FALL_SHARE * best:
                    return limit
                event_ms = bucket.step_ms * bucket.event_tokens
                if event_ms > MAX_EVENT_INTERVAL_MS:
                    return max(1, key * RUNS_PER_BUCKET)
            if bucket.throughput >= best:
                best = bucket.throughput
                limit = key * RUNS_PER_BUCKET + RUNS_PER_BUCKET - 1
        return None
