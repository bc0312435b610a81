"""Places a run on one engine and the copy of its memory on another.

The engine is the one with the least expected delay; the copy goes where
the least memory is taken, in the same region, since the link between
regions would need minutes for it. A run that is worth a copy prefers a
region in which one can be kept.
"""

import collections.abc
import dataclasses

from eelgrassknot import ids
from eelgrassknot.policy import commitments

__all__ = [
    'Engine',
    'RunRequirements',
    'Location',
    'choose_copy',
    'choose_engine',
]

PREFILL_TOKENS_PER_MS = 14.0
"""Prompt tokens that an engine reads in a ms; from the users' sheets."""
RUN_DELAY_MS = 15.0
"""Delay that each run adds to the others at its engine; ms. A step grows
by 0.12 ms a run, and a long answer takes some hundred steps."""
CROSS_REGION_DELAY_MS = 90.0
"""Delay of the round trip to another region; ms."""
WARM_UP_DELAY_SHARE = 0.3
"""Part of the remaining warm-up that is counted as delay."""
NO_COPY_DELAY_MS = 300.0
"""Delay that weighs as much as doing without a copy for now; ms."""
SOLE_ENGINE_DELAY_PER_TOKEN_MS = 3.0
"""Delay that weighs as much as a token of output at an engine that has no
other in its region: what runs there ends with it; ms."""
MAX_COPY_FILL_SHARE = 0.75
"""Part of a memory that copies may fill; the rest is for runs, and for
those that have to leave another engine."""
OTHER_ZONE_PENALTY_SHARE = 0.15
"""Part of the memory that weighs as much as a copy in another zone, which
takes twice as long."""


@dataclasses.dataclass(frozen=True)
class Location:
    """Where a run is."""

    upstream: ids.UpstreamId
    region: ids.RegionId
    availability_zone: ids.AvailabilityZoneId


@dataclasses.dataclass(frozen=True)
class Engine(Location):
    """An engine that may be given work.

    Attributes:
        memory_tokens: Tokens that its memory holds.
        slots: Runs that it takes at once.
        warm_up_ms: How much longer it is slow after its start.
    """

    memory_tokens: int
    slots: int
    warm_up_ms: float = 0.0


@dataclasses.dataclass(frozen=True)
class RunRequirements:
    """What a run needs.

    Attributes:
        region: Region of the VM that asks.
        wants_copy: Whether a copy of its memory is to be kept.
    """

    region: ids.RegionId
    prompt_tokens: int
    output_tokens: int
    wants_copy: bool

    @property
    def tokens(self) -> int:
        """Memory that the run needs at its end."""
        return self.prompt_tokens + self.output_tokens


Sums = collections.abc.Mapping[ids.UpstreamId, commitments.EngineSums]
_NO_SUMS = commitments.EngineSums()


def choose_engine(
    need: RunRequirements,
    engines: collections.abc.Sequence[Engine],
    sums: Sums,
) -> Engine | None:
    """Return the engine for a run, or None while all are full.

    Args:
        need: What the run needs.
        engines: Engines that may be given work.
        sums: What is known to run at each.
    """
    candidates = [e for e in engines if has_room(need.tokens, e, sums)]
    if not candidates:
        return None
    return min(
        candidates, key=lambda engine: _delay_ms(need, engine, engines, sums)
    )


def choose_copy(
    tokens: int,
    primary: Location,
    engines: collections.abc.Sequence[Engine],
    sums: Sums,
    must_fit: bool = True,
) -> Engine | None:
    """Return where the copy of a run is kept, or None if nowhere.

    Args:
        tokens: Memory that the run needs at its end.
        primary: Where it runs, which may be about to leave.
        engines: Engines that may be given work.
        sums: What is known to run at each.
        must_fit: Whether only engines with room will do. A run that is
            lost otherwise takes the emptiest one: runs end before their
            forecast more often than not.
    """
    same_region = [
        engine
        for engine in engines
        if engine.upstream != primary.upstream
        and engine.region == primary.region
    ]
    candidates = [e for e in same_region if has_room_for_copy(tokens, e, sums)]
    if not candidates and not must_fit:
        candidates = same_region
    if not candidates:
        return None

    def fill_share(engine: Engine) -> float:
        unread = sums.get(engine.upstream, _NO_SUMS).unread_tokens
        share = (
            _committed_tokens(engine, sums) + unread
        ) / engine.memory_tokens
        if engine.availability_zone != primary.availability_zone:
            share += OTHER_ZONE_PENALTY_SHARE
        return share

    return min(candidates, key=fill_share)


def has_room(tokens: int, engine: Engine, sums: Sums) -> bool:
    """Return whether an engine has room for a run beside all it has."""
    if sums.get(engine.upstream, _NO_SUMS).runs >= engine.slots:
        return False
    # A run larger than the whole memory is the engine's to reject.
    wanted = min(tokens, engine.memory_tokens)
    return _committed_tokens(engine, sums) + wanted <= engine.memory_tokens


def has_room_for_copy(tokens: int, engine: Engine, sums: Sums) -> bool:
    """Return whether an engine has room to spare for a copy."""
    limit = engine.memory_tokens * MAX_COPY_FILL_SHARE
    return _committed_tokens(engine, sums) + tokens <= limit


def _committed_tokens(engine: Engine, sums: Sums) -> int:
    present = sums.get(engine.upstream, _NO_SUMS)
    return present.tokens + present.copy_tokens


def _delay_ms(
    need: RunRequirements,
    engine: Engine,
    engines: collections.abc.Sequence[Engine],
    sums: Sums,
) -> float:
    present = sums.get(engine.upstream, _NO_SUMS)
    delay_ms = present.unread_tokens / PREFILL_TOKENS_PER_MS
    delay_ms += present.runs * RUN_DELAY_MS
    delay_ms += engine.warm_up_ms * WARM_UP_DELAY_SHARE
    if engine.region != need.region:
        delay_ms += CROSS_REGION_DELAY_MS
    if need.wants_copy:
        delay_ms += _loss_risk_delay_ms(need, engine, engines, sums)
    return delay_ms


def _loss_risk_delay_ms(
    need: RunRequirements,
    engine: Engine,
    engines: collections.abc.Sequence[Engine],
    sums: Sums,
) -> float:
    """Return the delay that the risk of losing the run weighs as much as."""
    regions = [other.region for other in engines]
    if regions.count(engine.region) < 2:
        return SOLE_ENGINE_DELAY_PER_TOKEN_MS * need.output_tokens
    if choose_copy(need.tokens, engine, engines, sums) is None:
        return NO_COPY_DELAY_MS
    return 0.0
