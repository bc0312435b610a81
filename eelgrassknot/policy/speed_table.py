"""Speeds of all engines, from this VM's runs and those of its peers.

Each VM has few runs at each engine, and engines live for some ten seconds,
so the estimates of all VMs are merged: the weighted median of their factors,
where recent ones weigh more, drawn towards a prior in proportion to the
evidence. The prior is the median over all engines of the service, of which
those that nothing is known of have the factor 1, or halfway to it if it is
slow: an engine of which nothing is known is tried before one that is known
to be slow, and what disturbs the measurement at all engines alike makes
little difference.

While the factors of a service's engines differ by little, all of them are
taken to be 1, so that noise has no effect.
"""

import collections.abc
import enum
import math
import statistics

import msgspec

from eelgrassknot import ids
from eelgrassknot.policy import engine_speed

__all__ = ['Cause', 'EffectiveSpeed', 'Source', 'SpeedTable']

PRIOR_WINDOWS = 2.0
"""Weight of the prior of an engine, in windows of events."""
OPTIMISM = 0.5
"""How far the prior follows engines that are slower than speed 1."""
MAX_EVIDENCE = 16.0
"""Largest weight of all windows of an engine, so that many VMs together do
not keep an outdated factor for longer."""
SOURCE_HALF_LIFE_MS = 2_000.0
"""Time after which the estimate of a source weighs half against those of
other sources; ms. A change is first seen by the VMs whose runs go on."""
MAX_AGE_MS = 60_000.0
"""Age after which an estimate is dropped; ms."""
MATERIAL_RATIO = 1.25
"""Ratio between the factors of a service's engines from which they have an
effect. Noise of 20% in each interval stays below 1.15; the speeds of engines
differ by 1.3 or more."""
MAX_SOURCES = 128
"""Number of sources that are kept for each engine."""

Source = tuple[str, str]


class EffectiveSpeed(msgspec.Struct, frozen=True):
    """What placement assumes of an engine.

    Attributes:
        step_factor: Duration of a step relative to an engine of speed 1.
        prefill_factor: The same for reading a prompt token.
        run_limit: Limit on concurrent runs, or None.
    """

    step_factor: float = 1.0
    prefill_factor: float = 1.0
    run_limit: int | None = None


class Cause(enum.Enum):
    """What the latest change of an estimate is based on."""

    OWN_RUNS = 'own_runs'
    PEERS = 'peers'
    PRIOR = 'prior'


class _Engine:
    """Estimates of one incarnation of an engine.

    Attributes:
        own: What this VM's runs show.
        received: Estimates of other sources, with the time of receipt.
    """

    def __init__(self, started_at_ms: int) -> None:
        self.started_at_ms = started_at_ms
        self.own = engine_speed.EngineSpeed()
        self.received: dict[Source, tuple[float, engine_speed.Estimate]] = {}

    def has_any(self, sources: collections.abc.Collection[Source]) -> bool:
        """Return whether this VM or one of the sources has an estimate."""
        return self.own.is_known or any(
            source in self.received for source in sources
        )

    def estimates(
        self,
        now_ms: float,
        sources: collections.abc.Collection[Source] | None = None,
        has_own: bool = True,
    ) -> list[engine_speed.Estimate]:
        """Return the estimates as of now.

        Args:
            now_ms: The present time.
            sources: Sources to include besides this VM, or None for all.
            has_own: Whether to include this VM.
        """
        own = self.own.estimate(now_ms) if has_own else None
        found = [] if own is None else [own]
        for source, (received_ms, estimate) in list(self.received.items()):
            elapsed_ms = now_ms - received_ms
            age_ms = estimate.age_ms + elapsed_ms
            if age_ms > MAX_AGE_MS:
                del self.received[source]
            elif sources is None or source in sources:
                found.append(
                    engine_speed.Estimate(
                        estimate.factor,
                        engine_speed.evidence(estimate.weight, elapsed_ms),
                        age_ms,
                        estimate.run_limit,
                    )
                )
        return found


class SpeedTable:
    """Estimates of all engines by name.

    Example:
        >>> table = SpeedTable()
        >>> table.retain({'a': 1, 'b': 1})
        >>> for _ in range(12):
        ...     _ = table.record_interval('a', 1, 40.0, 4, 0, 0.0)
        >>> table.speeds(['a', 'b'], 0.0)['a'].step_factor > 1.2
        True
    """

    def __init__(self) -> None:
        self.engines: dict[ids.UpstreamId, _Engine] = {}

    def retain(
        self, incarnations: collections.abc.Mapping[ids.UpstreamId, int]
    ) -> None:
        """Drop all engines but the given ones.

        Args:
            incarnations: Start of the process of each listed engine.
        """
        self.engines = {
            name: self.engines[name]
            if name in self.engines
            and self.engines[name].started_at_ms == started_at_ms
            else _Engine(started_at_ms)
            for name, started_at_ms in incarnations.items()
        }

    def record_interval(
        self,
        upstream: ids.UpstreamId,
        started_at_ms: int,
        interval_ms: float,
        event_tokens: int,
        runs: int,
        now_ms: float,
    ) -> bool:
        """Record a window of events of a run of this VM.

        Returns:
            Whether the engine has become faster or slower.
        """
        known = self._engine(upstream, started_at_ms)
        return known is not None and known.own.record_interval(
            interval_ms, event_tokens, runs, now_ms
        )

    def record_first_event(
        self,
        upstream: ids.UpstreamId,
        started_at_ms: int,
        wait_ms: float,
        unread_tokens: int,
        event_tokens: int,
        now_ms: float,
    ) -> None:
        """Record the first event of a run of this VM."""
        known = self._engine(upstream, started_at_ms)
        if known is not None:
            known.own.record_first_event(
                wait_ms, unread_tokens, event_tokens, now_ms
            )

    def receive(
        self,
        source: Source,
        upstream: ids.UpstreamId,
        started_at_ms: int,
        estimate: engine_speed.Estimate,
        now_ms: float,
    ) -> None:
        """Store the estimate of a peer or of another zone."""
        known = self._engine(upstream, started_at_ms)
        if known is None or not _is_valid(estimate):
            return
        known.received.pop(source, None)
        known.received[source] = (now_ms, estimate)
        if len(known.received) > MAX_SOURCES:
            del known.received[next(iter(known.received))]

    def merged(
        self,
        upstream: ids.UpstreamId,
        now_ms: float,
        sources: collections.abc.Collection[Source] | None = None,
        has_own: bool = True,
    ) -> engine_speed.Estimate | None:
        """Return the estimate of an engine over all or some sources.

        Args:
            upstream: The engine.
            now_ms: The present time.
            sources: Sources to include besides this VM, or None for all.
            has_own: Whether to include this VM.
        """
        known = self.engines.get(upstream)
        if known is None:
            return None
        estimates = known.estimates(now_ms, sources, has_own)
        if not estimates:
            return None
        limits = [e.run_limit for e in estimates if e.run_limit is not None]
        return engine_speed.Estimate(
            _weighted_median(estimates),
            min(MAX_EVIDENCE, sum(each.weight for each in estimates)),
            min(each.age_ms for each in estimates),
            statistics.median_low(limits) if limits else None,
        )

    def speeds(
        self,
        upstreams: collections.abc.Iterable[ids.UpstreamId],
        now_ms: float,
    ) -> dict[ids.UpstreamId, EffectiveSpeed]:
        """Return what placement assumes of the engines of a service.

        Args:
            upstreams: The engines of the service.
            now_ms: The present time.
        """
        merged = {name: self.merged(name, now_ms) for name in upstreams}
        prior = _prior_log(merged.values())
        logs = {
            name: _drawn_log(estimate, prior)
            for name, estimate in merged.items()
        }
        ratios = {
            name: self.engines[name].own.prefill_ratio(math.exp(log), now_ms)
            if name in self.engines
            else 1.0
            for name, log in logs.items()
        }
        prefill = [log + math.log(ratios[name]) for name, log in logs.items()]
        is_material = _differ(logs.values()) or _differ(prefill)
        speeds = {}
        for name, log in logs.items():
            estimate = merged[name]
            limit = estimate.run_limit if estimate else None
            factor = round(math.exp(log), 2) if is_material else 1.0
            ratio = ratios[name] if is_material else 1.0
            speeds[name] = EffectiveSpeed(
                factor, round(factor * ratio, 2), limit
            )
        return speeds

    def cause(self, upstream: ids.UpstreamId, now_ms: float) -> Cause:
        """Return the origin of the most recent estimate of an engine."""
        known = self.engines.get(upstream)
        estimates = known.estimates(now_ms) if known else []
        if not estimates:
            return Cause.PRIOR
        own = known.own.estimate(now_ms)
        latest_ms = min(each.age_ms for each in estimates)
        if own is not None and own.age_ms <= latest_ms:
            return Cause.OWN_RUNS
        return Cause.PEERS

    def _engine(
        self, upstream: ids.UpstreamId, started_at_ms: int
    ) -> _Engine | None:
        """Return what is known of an incarnation, if it is listed."""
        known = self.engines.get(upstream)
        if known is None or known.started_at_ms != started_at_ms:
            return None
        return known


def _differ(logs: collections.abc.Collection[float]) -> bool:
    """Return whether log factors differ materially."""
    if not logs:
        return False
    return max(logs) - min(logs) > math.log(MATERIAL_RATIO)


def _prior_log(
    estimates: collections.abc.Iterable[engine_speed.Estimate | None],
) -> float:
    """Return the log factor of an engine of which nothing is known."""
    logs = [math.log(each.factor) if each else 0.0 for each in estimates]
    median = statistics.median(logs) if logs else 0.0
    return median * OPTIMISM if median > 0.0 else median


def _drawn_log(estimate: engine_speed.Estimate | None, prior: float) -> float:
    """Return a log factor, drawn towards the prior for lack of evidence."""
    if estimate is None:
        return prior
    share = estimate.weight / (estimate.weight + PRIOR_WINDOWS)
    return prior + share * (math.log(estimate.factor) - prior)


def _weighted_median(
    estimates: collections.abc.Sequence[engine_speed.Estimate],
) -> float:
    """Return the median factor, weighted by evidence and recency."""
    weighted = sorted(
        (e.factor, e.weight * 0.5 ** (e.age_ms / SOURCE_HALF_LIFE_MS))
        for e in estimates
    )
    half = sum(weight for _, weight in weighted) / 2
    passed = 0.0
    for factor, weight in weighted:
        passed += weight
        if passed >= half:
            return factor
    return weighted[-1][0]


def _is_valid(estimate: engine_speed.Estimate) -> bool:
    """Return whether the estimate of a peer makes sense."""
    low, high = engine_speed.FACTOR_RANGE
    return (
        low <= estimate.factor <= high
        and estimate.weight > 0.0
        and estimate.age_ms >= 0.0
    )
