"""Canary rollout of a new model to the engines of a service.

One engine, the canary, is updated and observed first. The others follow a
few at a time, so that a minimum share of the engines keeps serving. The
rollout halts if the canary has more errors or stalls than the unchanged
engines.
"""

import dataclasses
import enum
import math

import msgspec

from eelgrassknot import ids
from eelgrassknot.settings import text as services_text

__all__ = [
    'compare_health',
    'EngineProgress',
    'Health',
    'Rollout',
    'RolloutRecord',
    'RolloutState',
    'Verdict',
]

MIN_SERVING_SHARE = 0.75
CANARY_MIN_REQUESTS = 20
CANARY_MAX_WATCH_MS = 120_000.0
MAX_BAD_SHARE_EXCESS = 0.05


class EngineProgress(enum.Enum):
    """Progress of an engine towards the target.

    The state of ``UNKNOWN`` engines could not be read, ``EMPTY`` engines
    have no version of the model loaded, and ``OUTDATED`` ones serve a
    version other than the target.
    """

    UNKNOWN = 'unknown'
    EMPTY = 'empty'
    OUTDATED = 'outdated'
    CHANGING = 'changing'
    UPDATED = 'updated'


class RolloutState(enum.Enum):
    """Stages of a rollout."""

    IDLE = 'idle'
    CANARY = 'canary'
    SPREADING = 'spreading'
    HALTED = 'halted'


class Verdict(enum.Enum):
    """Result of the canary's comparison with the unchanged engines."""

    WATCHING = 'watching'
    GOOD = 'good'
    BAD = 'bad'


@dataclasses.dataclass
class Health:
    """Counts of requests that ended at a group of engines.

    Attributes:
        bad: Number of requests that failed or stalled.
    """

    requests: int = 0
    bad: int = 0

    def bad_share(self) -> float:
        """Return the share of bad requests, or 0 if there were none."""
        return self.bad / self.requests if self.requests else 0.0


def compare_health(
    updated: Health, unchanged: Health, watched_ms: float
) -> Verdict:
    """Compare the updated engine with the unchanged ones.

    Args:
        updated: Requests at the updated engine.
        unchanged: Requests at the others in the same period.
        watched_ms: How long the updated engine has been observed.

    Example:
        >>> compare_health(Health(40, 20), Health(200, 2), 1_000.0).value
        'bad'
    """
    if updated.requests >= CANARY_MIN_REQUESTS:
        allowed = unchanged.bad_share() + MAX_BAD_SHARE_EXCESS
        worse = updated.bad_share() > allowed
        return Verdict.BAD if worse else Verdict.GOOD
    if watched_ms < CANARY_MAX_WATCH_MS:
        return Verdict.WATCHING
    # With too little traffic to compare, a single bad request fails.
    return Verdict.BAD if updated.bad else Verdict.GOOD


class RolloutRecord(msgspec.Struct, frozen=True):
    """State of a rollout that is handed to the next holder of the lease.

    Attributes:
        target: Model to which the engines are updated.
        canary: Engine that is updated first.
    """

    service: ids.ServiceName
    target: services_text.Model
    state: RolloutState
    canary: ids.UpstreamId | None = None


class Rollout:
    """State machine that updates the engines of one service to a target.

    Args:
        service: Name of the service.
        target: Model that the engines have to serve.
        record: Record saved by an earlier holder of the lease, or None.
            A record of another target is ignored.
    """

    def __init__(
        self,
        service: ids.ServiceName,
        target: services_text.Model,
        record: RolloutRecord | None = None,
    ) -> None:
        self.service = service
        self.target = target
        self.state = RolloutState.IDLE
        self.canary: ids.UpstreamId | None = None
        self.canary_since_ms: float | None = None
        self.progress: dict[ids.UpstreamId, EngineProgress] = {}
        self.health: dict[ids.UpstreamId, Health] = {}
        if record is not None and record.target == target:
            self.state = record.state
            self.canary = record.canary

    def record(self) -> RolloutRecord:
        """Return the state to save for the next holder of the lease."""
        return RolloutRecord(
            self.service, self.target, self.state, self.canary
        )

    def observe(
        self, progress: dict[ids.UpstreamId, EngineProgress], now_ms: float
    ) -> None:
        """Update the rollout with the progress of each engine.

        Args:
            progress: Progress of all live engines of the service.
            now_ms: Current time of this VM's clock.
        """
        self.progress = dict(progress)
        if self.canary not in progress:
            self._clear_canary()
        match self.state:
            case RolloutState.IDLE:
                self._choose_canary()
            case RolloutState.CANARY:
                self._evaluate_canary(now_ms)
            case RolloutState.SPREADING:
                self._finish_if_updated()

    def request_ended(self, upstream: ids.UpstreamId, bad: bool) -> None:
        """Count a request that ended at an engine."""
        if self.canary_since_ms is None:
            return
        health = self.health.setdefault(upstream, Health())
        health.requests += 1
        health.bad += bad

    def engines_to_change(self) -> list[ids.UpstreamId]:
        """Return the engines that may be updated now, in order."""
        match self.state:
            case RolloutState.HALTED:
                return []
            case RolloutState.CANARY:
                return self._canary_only()
        return self._engines_in(EngineProgress.EMPTY) + self._replaceable()

    def _choose_canary(self) -> None:
        outdated = self._engines_in(EngineProgress.OUTDATED)
        unknown = self._engines_in(EngineProgress.UNKNOWN)
        if not outdated or len(unknown) > self._max_unavailable():
            return
        changed = self._engines_in(
            EngineProgress.UPDATED, EngineProgress.CHANGING
        )
        self.canary = (changed or outdated)[0]
        self.state = RolloutState.CANARY

    def _evaluate_canary(self, now_ms: float) -> None:
        if self.progress[self.canary] is not EngineProgress.UPDATED:
            return
        if self.canary_since_ms is None:
            self.canary_since_ms = now_ms
            self.health.clear()
        watched_ms = now_ms - self.canary_since_ms
        match compare_health(*self._health_by_group(), watched_ms):
            case Verdict.GOOD:
                self.state = RolloutState.SPREADING
                self.canary_since_ms = None
            case Verdict.BAD:
                self.state = RolloutState.HALTED
                self.canary_since_ms = None

    def _finish_if_updated(self) -> None:
        updated = self._engines_in(EngineProgress.UPDATED)
        if len(updated) == len(self.progress):
            self.state = RolloutState.IDLE
            self.canary = None

    def _health_by_group(self) -> tuple[Health, Health]:
        updated = self.health.get(self.canary, Health())
        unchanged = Health()
        for upstream, health in self.health.items():
            if upstream != self.canary:
                unchanged.requests += health.requests
                unchanged.bad += health.bad
        return updated, unchanged

    def _canary_only(self) -> list[ids.UpstreamId]:
        changeable = (EngineProgress.OUTDATED, EngineProgress.EMPTY)
        if self.progress.get(self.canary) in changeable:
            return [self.canary]
        return []

    def _replaceable(self) -> list[ids.UpstreamId]:
        if self.state is not RolloutState.SPREADING:
            return []
        busy = self._engines_in(
            EngineProgress.CHANGING,
            EngineProgress.EMPTY,
            EngineProgress.UNKNOWN,
        )
        free = max(0, self._max_unavailable() - len(busy))
        return self._engines_in(EngineProgress.OUTDATED)[:free]

    def _max_unavailable(self) -> int:
        count = len(self.progress)
        floor = math.ceil(count * MIN_SERVING_SHARE)
        # A service with few engines must give up one at a time, or it
        # could never be updated.
        return max(1, count - floor)

    def _engines_in(self, *wanted: EngineProgress) -> list[ids.UpstreamId]:
        return sorted(
            upstream
            for upstream, reached in self.progress.items()
            if reached in wanted
        )

    def _clear_canary(self) -> None:
        self.canary = None
        self.canary_since_ms = None
        if self.state is RolloutState.CANARY:
            self.state = RolloutState.IDLE
