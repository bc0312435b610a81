"""Queue of streams that are waiting for an engine.

A stream queued at the entry VM can still be refused as not run and goes to
the first engine with room, whereas a stream queued at an engine is lost if
the engine fails. ``stream_turns`` orders the streams, ``stream_admission``
says how much of the engines' memory each may use.
"""

import collections
import collections.abc
import itertools
import random

import msgspec

from eelgrassknot import clock
from eelgrassknot import ids
from eelgrassknot.policy import commitments
from eelgrassknot.policy import engine_pairs
from eelgrassknot.policy import health
from eelgrassknot.policy import home_regions
from eelgrassknot.policy import send_permits
from eelgrassknot.policy import stream_admission
from eelgrassknot.policy import stream_turns
from eelgrassknot.policy import upstream_pauses
from eelgrassknot import states

__all__ = ['EngineQueue', 'PlacementRequest', 'Placement', 'Refusal']

RETRY_AFTER_MS = 1_000.0
"""Retry-After of a refused stream; ms."""
MAX_RETRY_AFTER_MS = 10_000.0
"""Longest Retry-After of a stream for which there is no room; ms. Runs may end
before their forecast."""

PlacementRequest = stream_admission.PlacementRequest


class Placement(msgspec.Struct, frozen=True):
    """The engine assigned to a stream."""

    request: ids.RequestId
    engine: engine_pairs.Engine


class Refusal(msgspec.Struct, frozen=True):
    """A stream that was not, or cannot be, placed before its deadline."""

    request: ids.RequestId
    retry_after_ms: float
    reason: states.RefusalReason = states.RefusalReason.NO_UPSTREAM


class _FailedSearches:
    """Searches of one step that have found no engine.

    Engines only fill up within a step. A stream that may use the same engines
    and needs as much memory finds none either, so it is not worth a search.
    """

    def __init__(self) -> None:
        self.tokens: dict[collections.abc.Hashable, int] = {}

    def covers(self, key: collections.abc.Hashable, tokens: int) -> bool:
        """Return whether a search with this key is known to fail."""
        known = self.tokens.get(key)
        return known is not None and tokens >= known

    def add(self, key: collections.abc.Hashable, tokens: int) -> None:
        """Record a search that has failed."""
        self.tokens[key] = min(tokens, self.tokens.get(key, tokens))


class EngineQueue:
    """Places streams on engines as soon as there is room.

    Args:
        health_tracker: Health of the engines.
        permits: Permits to send to limited engines.
        pauses: Pauses that engines have stated.

    Attributes:
        engines: Engines of each service that accept work.
        sample_size: Number of engines that a stream considers in each
            region, or None for all.
        commitments: Capacity committed at each engine.
        evacuated: Services that have engines in evacuated zones.
        departures: Engines that left lately.
        turns: Order of the waiting streams.
    """

    def __init__(
        self,
        health_tracker: health.HealthTracker,
        permits: send_permits.PermitView | None = None,
        pauses: upstream_pauses.PauseTable | None = None,
    ) -> None:
        self.pauses = pauses or upstream_pauses.PauseTable(random.Random(0))
        self.health_tracker = health_tracker
        self.permits = permits or send_permits.PermitView()
        self.engines: dict[
            ids.ServiceName, collections.abc.Sequence[engine_pairs.Engine]
        ] = {}
        self.evacuated: frozenset[ids.ServiceName] = frozenset()
        self.sample_size: int | None = None
        self.commitments = commitments.Commitments()
        self.departures = stream_admission.DepartureTracker()
        self.waiting: list[stream_turns.Entry] = []
        self.turns = stream_turns.Turns()
        self.arrivals = itertools.count()

    def submit(self, order: PlacementRequest) -> None:
        """Queue a stream; the next step tries to place it."""
        self.waiting.append(
            (order.rank, order.arrived_ms, next(self.arrivals), order)
        )

    def cancel(self, request: ids.RequestId) -> None:
        """Remove a queued stream."""
        self.waiting = [
            entry for entry in self.waiting if entry[3].request != request
        ]

    def step(self, now_ms: float) -> list[Placement | Refusal]:
        """Place the streams that fit; refuse those past their deadline.

        Args:
            now_ms: The present time.
        """
        self.departures.observe(self.engines, now_ms)
        if not self.waiting:
            return []
        results: list[Placement | Refusal] = []
        still_waiting = []
        ahead: collections.Counter = collections.Counter()
        ahead_tokens: collections.Counter = collections.Counter()
        sums = self.commitments.all_sums(now_ms)
        held = stream_turns.HeldEngines(
            self.waiting, self.engines, sums, now_ms
        )
        failed = _FailedSearches()
        usable: dict[collections.abc.Hashable, list[engine_pairs.Engine]] = {}
        for entry in self.turns.in_order(self.waiting, now_ms):
            order = entry[3]
            refusal = self._unservable(order)
            if refusal is not None:
                results.append(refusal)
                continue
            group = (order.service, order.excluded, order.homes)
            candidates = usable.get(group)
            if candidates is None:
                candidates = self._candidates(order, now_ms)
                usable[group] = candidates
            key = self._search_key(order, held, now_ms)
            engine = None
            if not failed.covers(key, order.need.tokens):
                engine = self._choose_engine(
                    order, held.available(order, candidates), sums, now_ms
                )
                if engine is None:
                    failed.add(key, order.need.tokens)
            wait_ms = self._limited_wait_ms(candidates, ahead[order.service])
            if engine is not None:
                self._commit(order, engine)
                self.turns.record(order)
                sums = self.commitments.all_sums(now_ms)
                results.append(Placement(order.request, engine))
            elif now_ms >= order.deadline_ms:
                results.append(Refusal(order.request, RETRY_AFTER_MS))
            elif now_ms + self._pause_ms(order, now_ms) > order.deadline_ms:
                results.append(
                    Refusal(
                        order.request,
                        min(
                            upstream_pauses.MAX_RETURN_MS,
                            self._pause_ms(order, now_ms),
                        ),
                        states.RefusalReason.UPSTREAM_PAUSE,
                    )
                )
            elif now_ms + wait_ms > order.deadline_ms:
                results.append(
                    Refusal(
                        order.request,
                        wait_ms,
                        states.RefusalReason.UPSTREAM_LIMIT,
                    )
                )
            elif room_ms := self._hopeless_wait_ms(
                order, candidates, sums, ahead_tokens[order.service], now_ms
            ):
                results.append(
                    Refusal(
                        order.request,
                        min(MAX_RETRY_AFTER_MS, room_ms),
                        states.RefusalReason.ENGINE_MEMORY,
                    )
                )
            else:
                still_waiting.append(entry)
                ahead[order.service] += 1
                ahead_tokens[order.service] += order.need.tokens
        self.waiting = still_waiting
        self.turns.retain(still_waiting)
        return results

    def _search_key(
        self,
        order: PlacementRequest,
        held: stream_turns.HeldEngines,
        now_ms: float,
    ) -> collections.abc.Hashable:
        """Return what, beside its size, decides whether a stream finds room.

        Streams with the same key consider the same engines.
        """
        reserve_share = self.departures.reserve_share(order.service, now_ms)
        use = stream_admission.memory_use(order, reserve_share, now_ms)
        rules = stream_admission.rules(use, reserve_share)
        own = None
        if self.sample_size is not None and any(r.is_sampled for r in rules):
            own = order.request
        elif held.holders:
            own = (order.rank, order.need.tokens)
        return order.service, order.excluded, order.homes, use, own

    def describe(
        self, order: PlacementRequest, sums: engine_pairs.Sums, now_ms: float
    ) -> dict[str, object]:
        """Return on what the decision on a stream depends, for the log.

        Args:
            order: The stream.
            sums: Commitments at each engine.
            now_ms: The present time.
        """
        engines = self.engines.get(order.service, ())
        reserve_share = self.departures.reserve_share(order.service, now_ms)
        use = stream_admission.memory_use(order, reserve_share, now_ms)
        return {
            'rank': order.rank,
            'tokens': order.need.tokens,
            'memory_use': use.value,
            'reserve': round(reserve_share, 2),
            'engines': len(engines),
            'engines_with_room': sum(
                engine_pairs.has_room(
                    order.need.tokens, engine, sums, reserve_share
                )
                for engine in engines
            ),
            'waiting': len(self.waiting),
        }

    def place_copy(
        self,
        request: ids.RequestId,
        service: ids.ServiceName,
        primary: engine_pairs.Location,
        tokens: int,
        excluded: frozenset[str],
        must_fit: bool,
        now_ms: float,
        homes: home_regions.HomeRegions = home_regions.ANYWHERE,
    ) -> engine_pairs.Engine | None:
        """Return the engine for the copy of a run, or None.

        Args:
            request: The running request.
            service: The service.
            primary: Location of the run.
            tokens: Memory that the run needs when it completes.
            excluded: Engines that it must not be placed on.
            must_fit: Whether only engines with room qualify.
            now_ms: The present time.
            homes: Regions in which the copy may be kept.
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
                and homes.allows(engine.region)
            ],
            self.commitments.all_sums(now_ms),
            must_fit,
            engine_pairs.Spread(request, self.sample_size),
        )

    def _unservable(self, order: PlacementRequest) -> Refusal | None:
        """Return the refusal of a stream that no engine may serve.

        Operators end an evacuation, not time, so it is not worth waiting.
        A stream with home regions is not held for an engine that may come.
        """
        reason = states.RefusalReason.ZONE_EVACUATED
        if order.homes.is_restricted:
            reason = states.RefusalReason.NO_HOME_UPSTREAM
        elif order.service not in self.evacuated:
            return None
        if any(map(order.may_use, self.engines.get(order.service, ()))):
            return None
        return Refusal(order.request, RETRY_AFTER_MS, reason)

    def _choose_engine(
        self,
        order: PlacementRequest,
        candidates: collections.abc.Sequence[engine_pairs.Engine],
        sums: engine_pairs.Sums,
        now_ms: float,
    ) -> engine_pairs.Engine | None:
        """Return the engine for a stream, or None if it has to wait."""
        engines = [e for e in candidates if not self._permit_wait_ms(e)]
        reserve_share = self.departures.reserve_share(order.service, now_ms)
        use = stream_admission.memory_use(order, reserve_share, now_ms)
        spread = engine_pairs.Spread(order.request, self.sample_size)
        if use is not stream_admission.MemoryUse.UNLIMITED:
            spread = stream_admission.spread(order, self.sample_size, now_ms)
        for rule in stream_admission.rules(use, reserve_share):
            engine = engine_pairs.choose_engine(
                order.need,
                engines,
                sums,
                spread,
                stream_admission.admitted(
                    order.need, engines, sums, rule, spread
                ),
            )
            if engine is not None:
                return engine
        return None

    def _candidates(
        self, order: PlacementRequest, now_ms: float
    ) -> list[engine_pairs.Engine]:
        engines = [
            engine
            for engine in self.engines.get(order.service, ())
            if order.may_use(engine)
            and not self.pauses.wait_ms(engine.upstream, now_ms)
        ]
        names = [engine.upstream for engine in engines]
        usable = set(
            self.health_tracker.usable(
                names, now_ms, self.permits.states_limit
            )
        )
        return [e for e in engines if e.upstream in usable]

    def _hopeless_wait_ms(
        self,
        order: PlacementRequest,
        candidates: collections.abc.Sequence[engine_pairs.Engine],
        sums: engine_pairs.Sums,
        ahead_tokens: int,
        now_ms: float,
    ) -> float:
        """Return how long a stream would wait if that is known to be too long.

        Args:
            order: The stream.
            candidates: Engines that may run it.
            sums: Commitments at each engine.
            ahead_tokens: Tokens of this VM's streams that go first.
            now_ms: The present time.
        """
        if order.target_ms is None:
            return 0.0
        is_busy = stream_admission.is_half_taken(candidates, sums)
        if not candidates or not (is_busy or ahead_tokens):
            return 0.0
        wait_ms = stream_admission.expected_wait_ms(
            order.need,
            candidates,
            sums,
            self.commitments.runs.values(),
            ahead_tokens,
        )
        left_ms = order.deadline_ms - now_ms
        is_hopeless = wait_ms * stream_admission.CONFIDENCE > left_ms
        return wait_ms if is_hopeless else 0.0

    def _pause_ms(self, order: PlacementRequest, now_ms: float) -> float:
        """Return how long all engines for a stream are paused; ms."""
        names = [
            engine.upstream
            for engine in self.engines.get(order.service, ())
            if order.may_use(engine)
        ]
        return self.pauses.earliest_ms(names, now_ms)

    def _permit_wait_ms(self, engine: engine_pairs.Engine) -> float:
        return self.permits.wait_ms(engine.upstream)

    def _limited_wait_ms(
        self,
        candidates: collections.abc.Sequence[engine_pairs.Engine],
        ahead: int,
    ) -> float:
        """Return how long a stream waits for permits; 0 if one needs none.

        Args:
            candidates: Engines that may run it.
            ahead: Number of streams of this VM that go first.
        """
        per_s = self.permits.total_per_s(e.upstream for e in candidates)
        if not per_s:
            return 0.0
        first_ms = min(self._permit_wait_ms(engine) for engine in candidates)
        wait_ms = first_ms + ahead / per_s * clock.MS_PER_SECOND
        # Cold engines need permits for a short time only.
        return min(
            wait_ms, self.permits.free_in_ms(e.upstream for e in candidates)
        )

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
