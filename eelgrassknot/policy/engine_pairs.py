"""Choice of the engine for a run and of the engine for its backup copy.

A run goes to an engine with the least expected delay, which depends on the
engine's speed. The copy of its memory goes to an engine with the lowest
memory use in the same region, because the transfer over the link between
regions would take minutes. A run that should have a copy prefers a region in
which one can be kept.

Many VMs choose before they hear of each other's choices. Among engines
that are equally good but for small differences, each run has an order of
its own, so that runs that are placed together go to different engines. In a
deployment whose VMs hear of each other late, each run considers a few
engines only: an engine that seems to be the best would get all runs.

References:
    Mitzenmacher, "How Useful Is Old Information?", IEEE TPDS 2000.
"""

import collections
import collections.abc
import math

import msgspec

from eelgrassknot import ids
from eelgrassknot.policy import commitments
from eelgrassknot.policy import engine_sampling
from eelgrassknot.policy import engine_speed

__all__ = [
    'Engine',
    'RunRequirements',
    'Location',
    'Spread',
    'Sums',
    'choose_copy',
    'choose_engine',
    'has_room',
]

RUN_DELAY_MS = 15.0
"""Delay that each run adds to the other runs of its engine; ms. Each run
lengthens an engine step by 0.12 ms, and a long output takes some hundred
steps."""
DURATION_SHARE = 0.2
"""Share of the time by which an engine's speed lengthens the output of a run
that counts as delay. A long run at a slow engine meets more prompts, whose
prefill makes pauses there: at a step factor of 1.7, half of the long runs
paused for longer than the objective of 180 ms."""
CROWDED_DELAY_MS = 600.0
"""Delay equivalent of a crowded engine among engines of uneven speed; ms. A
long run does better at a fast engine that is crowded than at a slow one."""
SLOW_COPY_SHARE = 0.4
"""Penalty for a copy at an engine with a step factor of 2, as a share of the
engine's memory. The run may go on there."""
CROSS_REGION_DELAY_MS = 90.0
"""Round-trip time to another region; ms."""
WARM_UP_DELAY_SHARE = 0.3
"""Share of the remaining warm-up time that counts as delay."""
NO_COPY_DELAY_MS = 300.0
"""Delay equivalent of not being able to keep a copy for now; ms."""
SOLE_ENGINE_DELAY_PER_TOKEN_MS = 3.0
"""Delay equivalent of each output token on the only engine of a region,
whose runs are lost if it fails; ms."""
EQUIVALENT_DELAY_MS = 30.0
"""Difference of delays up to which engines count as equally good; ms. That
of two runs, or of a fifth of a mean prompt."""
EQUIVALENT_FILL_SHARE = 0.25
"""The same for copies: difference of the shares of memory in use, about
that of two runs."""
EQUIVALENT_UNREAD_SHARE = 0.03
"""The same for runs that move: difference of unread tokens that are read in
about 100 ms, as a share of the memory."""
CROWDED_FILL_SHARE = 0.8
"""Share of an engine's memory beyond which runs are added only if all engines
that are considered are so full. Other VMs may be placing runs there that
this one does not know of, and a run that does not fit waits at the engine."""
MAX_COPY_FILL_SHARE = 0.6
"""Share of an engine's memory up to which copies may be added. The rest is
reserved for runs, including runs moved from other engines."""
MAX_MOVE_FILL_SHARE = 1.2
"""Share of an engine's memory beyond which runs that have to move are added
only if all engines are so full. With 38,000 to 62,000 of 26,831 tokens,
runs were preempted and paused for up to 1,800 ms."""
OTHER_ZONE_PENALTY_SHARE = 0.3
"""Penalty for a copy in another zone, as a share of the engine's memory. A
transfer between zones takes twice as long."""


class Location(msgspec.Struct, frozen=True):
    """The engine on which a run is placed."""

    upstream: ids.UpstreamId
    region: ids.RegionId
    availability_zone: ids.AvailabilityZoneId


class Engine(Location, frozen=True):
    """An engine that may be given work.

    Attributes:
        memory_tokens: Capacity of its memory in tokens.
        slots: Maximum number of concurrent runs.
        warm_up_ms: Remaining time of reduced speed after its start.
        step_factor: Duration of a step relative to an engine of speed 1.
        prefill_factor: The same for reading a prompt token.
        run_limit: Number of concurrent runs beyond which it produces less
            or its events come too far apart; None if there is none.
    """

    memory_tokens: int
    slots: int
    warm_up_ms: float = 0.0
    step_factor: float = 1.0
    prefill_factor: float = 1.0
    run_limit: int | None = None

    @property
    def max_runs(self) -> int:
        """Largest number of concurrent runs.

        A run limit is an estimate and never refuses a run while fewer than
        half of the slots are taken. A limit below that is only avoided: an
        engine that slows down at a third of its slots produces least at half
        of them.
        """
        if self.run_limit is None or 2 * self.run_limit < self.slots:
            return self.slots
        return min(self.slots, self.run_limit)


class RunRequirements(msgspec.Struct, frozen=True):
    """Resources that a run needs.

    Attributes:
        region: Region of the requesting VM.
        wants_copy: Whether to keep a copy of its memory.
    """

    region: ids.RegionId
    prompt_tokens: int
    output_tokens: int
    wants_copy: bool

    @property
    def tokens(self) -> int:
        """Memory that the run needs when it completes."""
        return self.prompt_tokens + self.output_tokens


Spread = engine_sampling.Spread
Sums = collections.abc.Mapping[ids.UpstreamId, commitments.EngineSums]
_NO_SUMS = commitments.EngineSums()


def choose_engine(
    need: RunRequirements,
    engines: collections.abc.Sequence[Engine],
    sums: Sums,
    spread: Spread | None = None,
    admitted: collections.abc.Sequence[Engine] | None = None,
) -> Engine | None:
    """Return the engine for a run, or None if none has room.

    Args:
        need: Requirements of the run.
        engines: Engines that accept work.
        sums: Commitments at each engine.
        spread: How runs are spread, or None for the best engine.
        admitted: Engines that the run may be placed on, or None for all.
    """
    if admitted is None:
        admitted = engines
    candidates = [e for e in admitted if has_room(need.tokens, e, sums)]
    if not candidates:
        return None
    # Sampled first: all runs would meet at the few engines with much room.
    candidates = engine_sampling.sample(
        candidates, spread, lambda engine: engine.region
    )
    candidates = _prefer(candidates, lambda e: not _is_at_run_limit(e, sums))
    crowded_ms = 0.0
    if _has_uneven_speeds(candidates):
        crowded_ms = CROWDED_DELAY_MS
    else:
        candidates = _prefer(
            candidates, lambda e: not _is_crowded(need, e, sums)
        )
    risks = _LossRisk(need, engines, sums) if need.wants_copy else None
    delays_ms = [
        _delay_ms(need, engine, sums)
        + (risks.delay_ms(engine) if risks else 0.0)
        + (crowded_ms if _is_crowded(need, engine, sums) else 0.0)
        for engine in candidates
    ]
    return _choose(candidates, delays_ms, EQUIVALENT_DELAY_MS, spread)


def choose_copy(
    tokens: int,
    primary: Location,
    engines: collections.abc.Sequence[Engine],
    sums: Sums,
    must_fit: bool = True,
    spread: Spread | None = None,
) -> Engine | None:
    """Return the engine for the copy of a run, or None if there is none.

    Args:
        tokens: Memory that the run needs when it completes.
        primary: Location of the run; its engine may be leaving.
        engines: Engines that accept work.
        sums: Commitments at each engine.
        must_fit: Whether only engines with room qualify. If not, a run
            that would otherwise be lost may also go to an engine whose
            memory its run would fill, or overfill if all others are full,
            since most runs end before their forecast.
        spread: How copies are spread, or None for the best engine.
    """
    same_region = [
        engine
        for engine in engines
        if engine.upstream != primary.upstream
        and engine.region == primary.region
    ]
    if not must_fit:
        return _choose_for_move(tokens, primary, same_region, sums, spread)
    candidates = engine_sampling.sample(
        [e for e in same_region if has_room_for_copy(tokens, e, sums)],
        spread,
        lambda engine: engine.availability_zone,
    )
    if not candidates:
        return None

    def fill_share(engine: Engine) -> float:
        used = _committed_tokens(engine, sums)
        return _share_with_unread(engine, primary, sums, used)

    return _choose(
        candidates,
        [fill_share(engine) for engine in candidates],
        EQUIVALENT_FILL_SHARE,
        spread,
    )


def _choose_for_move(
    tokens: int,
    primary: Location,
    engines: collections.abc.Sequence[Engine],
    sums: Sums,
    spread: Spread | None,
) -> Engine | None:
    """Return the engine for a run that has to move, or None.

    Prefers engines whose memory holds the run. Among these, the copy waits
    for the prompts that are unread. The sample is drawn from all engines: the
    runs of many VMs would meet at the few that are known to have room.
    """
    considered = engine_sampling.sample(
        engines, spread, lambda engine: engine.availability_zone
    )
    for group, max_fill_share in (
        (considered, MAX_COPY_FILL_SHARE),
        (considered, 1.0),
        (engines, 1.0),
        (considered, MAX_MOVE_FILL_SHARE),
        (engines, MAX_MOVE_FILL_SHARE),
        (considered, math.inf),
    ):
        fitting = [
            engine
            for engine in group
            if _committed_tokens(engine, sums) + tokens
            <= max_fill_share * engine.memory_tokens
        ]
        if fitting:
            return _choose(
                fitting,
                [
                    _share_with_unread(engine, primary, sums, 0)
                    for engine in fitting
                ],
                EQUIVALENT_UNREAD_SHARE,
                spread,
            )
    return None


def _share_with_unread(
    engine: Engine, primary: Location, sums: Sums, used_tokens: int
) -> float:
    """Return used and unread tokens as a share of the memory, for a copy."""
    unread = sums.get(engine.upstream, _NO_SUMS).unread_tokens
    share = (used_tokens + unread) / engine.memory_tokens
    if engine.availability_zone != primary.availability_zone:
        share += OTHER_ZONE_PENALTY_SHARE
    return share + SLOW_COPY_SHARE * (engine.step_factor - 1.0)


def has_room(
    tokens: int,
    engine: Engine,
    sums: Sums,
    reserve_share: float = 0.0,
    max_fill_share: float = 1.0,
) -> bool:
    """Return whether an engine has room for another run.

    Args:
        tokens: Memory that the run needs when it completes.
        engine: The engine.
        sums: Commitments at each engine.
        reserve_share: Share of the memory that is kept for runs that move.
            Copies of runs use it.
        max_fill_share: Share of the memory that may be committed.
    """
    present = sums.get(engine.upstream, _NO_SUMS)
    if present.runs >= engine.max_runs:
        return False
    unreserved = engine.memory_tokens * (1.0 - reserve_share)
    limit = engine.memory_tokens * max_fill_share
    # A run larger than the whole memory is placed; the engine rejects it.
    needed = min(tokens, unreserved, limit)
    return (
        present.tokens + needed <= unreserved
        and present.tokens + present.copy_tokens + needed <= limit
    )


def has_room_for_copy(tokens: int, engine: Engine, sums: Sums) -> bool:
    """Return whether an engine has room for a copy."""
    limit = engine.memory_tokens * MAX_COPY_FILL_SHARE
    return _committed_tokens(engine, sums) + tokens <= limit


def _committed_tokens(engine: Engine, sums: Sums) -> int:
    present = sums.get(engine.upstream, _NO_SUMS)
    return present.tokens + present.copy_tokens


def _choose(
    engines: collections.abc.Sequence[Engine],
    costs: collections.abc.Sequence[float],
    equivalent: float,
    spread: Spread | None,
) -> Engine:
    """Return the cheapest engine, or one that is hardly more expensive."""
    limit = min(costs)
    if spread is None:
        return engines[costs.index(limit)]
    return max(
        (
            engine
            for engine, cost in zip(engines, costs, strict=True)
            if cost <= limit + equivalent
        ),
        key=lambda engine: engine_sampling.weight(engine, spread),
    )


def _prefer(
    engines: collections.abc.Sequence[Engine],
    condition: collections.abc.Callable[[Engine], bool],
) -> collections.abc.Sequence[Engine]:
    """Return the engines that meet a condition, or all if none does."""
    return [engine for engine in engines if condition(engine)] or engines


def _is_at_run_limit(engine: Engine, sums: Sums) -> bool:
    if engine.run_limit is None:
        return False
    return sums.get(engine.upstream, _NO_SUMS).runs >= engine.run_limit


def _has_uneven_speeds(engines: collections.abc.Sequence[Engine]) -> bool:
    return len({engine.step_factor for engine in engines}) > 1


def _is_crowded(need: RunRequirements, engine: Engine, sums: Sums) -> bool:
    filled = _committed_tokens(engine, sums) + need.tokens
    return filled > CROWDED_FILL_SHARE * engine.memory_tokens


def _delay_ms(need: RunRequirements, engine: Engine, sums: Sums) -> float:
    present = sums.get(engine.upstream, _NO_SUMS)
    delay_ms = (
        present.unread_tokens
        / engine_speed.PREFILL_TOKENS_PER_MS
        * engine.prefill_factor
    )
    delay_ms += present.runs * RUN_DELAY_MS * engine.step_factor
    delay_ms += _excess_ms(need, engine, present.runs)
    delay_ms += engine.warm_up_ms * WARM_UP_DELAY_SHARE
    if engine.region != need.region:
        delay_ms += CROSS_REGION_DELAY_MS
    return delay_ms


def _excess_ms(need: RunRequirements, engine: Engine, runs: int) -> float:
    """Return the delay of a run itself beyond that at an engine of speed 1.

    It is 0 for all engines if none has been found to differ.
    """
    prefill_ms = need.prompt_tokens / engine_speed.PREFILL_TOKENS_PER_MS
    output_ms = need.output_tokens * engine_speed.expected_step_ms(runs)
    return (
        prefill_ms * (engine.prefill_factor - 1.0)
        + output_ms * (engine.step_factor - 1.0) * DURATION_SHARE
    )


class _LossRisk:
    """Delay equivalent of the risk of losing a run, by engine.

    Args:
        need: Requirements of the run.
        engines: Engines that accept work.
        sums: Commitments at each engine.
    """

    def __init__(
        self,
        need: RunRequirements,
        engines: collections.abc.Sequence[Engine],
        sums: Sums,
    ) -> None:
        self.sole_delay_ms = (
            SOLE_ENGINE_DELAY_PER_TOKEN_MS * need.output_tokens
        )
        self.sizes = collections.Counter(each.region for each in engines)
        self.hosts = {
            engine.upstream
            for engine in engines
            if has_room_for_copy(need.tokens, engine, sums)
        }
        self.hosts_by_region = collections.Counter(
            engine.region
            for engine in engines
            if engine.upstream in self.hosts
        )

    def delay_ms(self, engine: Engine) -> float:
        """Return the delay equivalent for a run on an engine; ms."""
        if self.sizes[engine.region] < 2:
            return self.sole_delay_ms
        others = self.hosts_by_region[engine.region]
        others -= engine.upstream in self.hosts
        return 0.0 if others else NO_COPY_DELAY_MS
