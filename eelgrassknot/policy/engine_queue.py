"""Order in which streams get engines, and who waits at the entry VM.

A stream that waits here can still be refused truthfully and goes to
whichever engine has room first; one that waits at an engine is lost with
it. The more urgent go first, then those that came first.
"""

import collections.abc
import dataclasses
import itertools

from eelgrassknot import ids
from eelgrassknot.policy import commitments
from eelgrassknot.policy import engine_pairs
from eelgrassknot.policy import health

__all__ = ['EngineQueue', 'PlacementRequest', 'Placement', 'Refusal']

RETRY_AFTER_MS = 1_000.0
"""Retry-After of a refusal while no engine is known; ms."""


@dataclasses.dataclass(frozen=True)
class PlacementRequest:
    """A stream that wants an engine.

    Attributes:
        rank: 0 is the most urgent.
        failed: Engines that it must not go to.
        give_up_ms: When waiting on has no more use.
    """

    request: ids.RequestId
    service: ids.ServiceName
    rank: int
    need: engine_pairs.RunRequirements
    excluded: frozenset[str]
    deadline_ms: float


@dataclasses.dataclass(frozen=True)
class Placement:
    """A stream got an engine."""

    request: ids.RequestId
    engine: engine_pairs.Engine


@dataclasses.dataclass(frozen=True)
class Refusal:
    """A stream waited in vain."""

    request: ids.RequestId
    retry_after_ms: float


class EngineQueue:
    """Places streams on engines, at once or when there is room.

    Args:
        book: Health of the engines.

    Attributes:
        engines: Engines of each service that may be given work.
        commitments: What runs where.
    """

    def __init__(self, health_tracker: health.HealthTracker) -> None:
        self.health_tracker = health_tracker
        self.engines: dict[
            ids.ServiceName, collections.abc.Sequence[engine_pairs.Engine]
        ] = {}
        self.commitments = commitments.Commitments()
        self.waiting: list[tuple[int, int, PlacementRequest]] = []
        self.arrivals = itertools.count()

    def submit(self, order: PlacementRequest) -> None:
        """Have a stream placed by a later step."""
        self.waiting.append((order.rank, next(self.arrivals), order))
        self.waiting.sort(key=lambda entry: entry[:2])

    def cancel(self, request: ids.RequestId) -> None:
        """Forget a stream that waits."""
        self.waiting = [
            entry for entry in self.waiting if entry[2].request != request
        ]

    def step(self, now_ms: float) -> list[Placement | Refusal]:
        """Place those that fit and refuse those that waited in vain.

        Args:
            now_ms: The present time.
        """
        if not self.waiting:
            return []
        results: list[Placement | Refusal] = []
        still_waiting = []
        sums = self.commitments.all_sums(now_ms)
        for entry in self.waiting:
            order = entry[2]
            engine = engine_pairs.choose_engine(
                order.need, self._candidates(order, now_ms), sums
            )
            if engine is not None:
                self._commit(order, engine)
                sums = self.commitments.all_sums(now_ms)
                results.append(Placement(order.request, engine))
            elif now_ms >= order.deadline_ms:
                results.append(Refusal(order.request, RETRY_AFTER_MS))
            else:
                still_waiting.append(entry)
        self.waiting = still_waiting
        return results

    def place_copy(
        self,
        service: ids.ServiceName,
        primary: engine_pairs.Location,
        tokens: int,
        excluded: frozenset[str],
        must_fit: bool,
        now_ms: float,
    ) -> engine_pairs.Engine | None:
        """Return where the copy of a run may be kept.

        Args:
            service: The service.
            primary: Where the run is.
            tokens: Memory that it needs at its end.
            refused: Engines that will not do.
            must_fit: Whether only an engine with room will do.
            now_ms: The present time.
        """
        engines = self.engines.get(service, ())
        usable = set(
            self.health_tracker.usable([e.upstream for e in engines], now_ms)
        )
        return engine_pairs.choose_copy(
            tokens,
            primary,
            [
                engine
                for engine in engines
                if engine.upstream in usable
                and engine.upstream not in excluded
            ],
            self.commitments.all_sums(now_ms),
            must_fit,
        )

    def _candidates(
        self, order: PlacementRequest, now_ms: float
    ) -> list[engine_pairs.Engine]:
        engines = [
            engine
            for engine in self.engines.get(order.service, ())
            if engine.upstream not in order.excluded
        ]
        names = [engine.upstream for engine in engines]
        usable = set(self.health_tracker.usable(names, now_ms))
        return [e for e in engines if e.upstream in usable]

    def _commit(
        self, order: PlacementRequest, engine: engine_pairs.Engine
    ) -> None:
        self.commitments.commit(
            order.request,
            commitments.Commitment(
                engine.upstream,
                None,
                order.need.prompt_tokens,
                order.need.output_tokens,
            ),
        )
