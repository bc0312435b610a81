"""Admission of streams to engines whose memory is scarce.

Engines that leave hand their runs to the other engines. If first attempts
have filled these, the moved runs exceed their memory, and all their streams
pause. A part of each engine's memory, the reserve, is therefore kept for runs
that have to move, as large as the share of the engines that left at a time
lately. Without such departures there is no reserve.

A stream that would only fit into the reserve waits at the VM as long as it
can still meet its latency target. Each time that it is reconsidered, it
considers other engines, so that it finds one with room and the waiting
streams of many VMs do not all choose the same one.
"""

import collections
import collections.abc
import enum
import statistics

import msgspec

from eelgrassknot import ids
from eelgrassknot.policy import commitments
from eelgrassknot.policy import engine_pairs
from eelgrassknot.policy import engine_sampling
from eelgrassknot.policy import home_regions

__all__ = [
    'CONFIDENCE',
    'DepartureTracker',
    'MemoryUse',
    'PlacementRequest',
    'Rule',
    'admitted',
    'expected_wait_ms',
    'is_brief',
    'is_half_taken',
    'latest_start_ms',
    'memory_use',
    'rules',
    'spread',
]

MAX_RESERVE_SHARE = 0.3
"""Largest reserve, as a share of an engine's memory. In a deployment of three
engines one that leaves is a third."""
DEPARTURE_WINDOW_MS = 10_000.0
"""Time for which a departure counts; ms. In deployments whose engines leave
all the time, some do every 3.3 s."""
DEPARTURE_GROUP_MS = 2_000.0
"""Departures within this time count as one; ms. Engines give up to 2.1 s of
notice, so their runs move at the same time."""
PREFILL_TOKENS_PER_MS = 7.4
"""Prompt tokens per ms that an engine reads while it also decodes: chunks of
112 tokens, each of which takes 8 ms, in each step of 7 ms + 0.12 ms a
run."""
OUTPUT_TOKEN_MS = 8.0
"""Time per output token: a step of an engine with eight runs; ms."""
BRIEF_RUN_MS = 1_500.0
"""Runs that are expected to take less than this may use the reserve; ms. They
end within the notice of an engine that leaves, and need not move."""
FREE_WAIT_SHARE = 0.125
"""Share of the latency target for which a stream waits for an engine that is
not crowded. A wait of this length costs nothing."""
START_MARGIN_MS = 100.0
"""Time reserved for the way to the engine and its steps; ms."""
LAST_CHANCE_MS = 300.0
"""Time before the latest start of a stream that meets its target, within
which the stream may use all of the memory; ms. Several times the interval at
which waiting streams are reconsidered."""
AGED_SHARE = 0.5
"""Share of the time until its deadline after which a waiting stream may use
all of the memory."""
RESAMPLE_MS = 500.0
"""Time after which a waiting stream considers other engines; ms. About as
long as the messages of the peers take: with 200 ms, the waiting streams of 66
VMs met at the same engines."""

CONFIDENCE = 0.5
"""Share of the expected wait that must exceed the time left before a stream is
refused. Runs end before their forecast, and a wrong refusal costs more than a
wait."""


class PlacementRequest(msgspec.Struct, frozen=True):
    """A stream that needs an engine.

    Attributes:
        rank: Urgency; 0 is the most urgent.
        excluded: Engines that it must not be placed on.
        deadline_ms: Time after which it is refused.
        arrived_ms: When the request arrived. A stream that is placed anew
            keeps its turn.
        target_ms: Latency target of the first event, from its arrival; None
            or 0 for a stream that must not wait for more than an engine
            with room.
        account: Client account, or None.
        homes: Regions in which it may be served.
    """

    request: ids.RequestId
    service: ids.ServiceName
    rank: int
    need: engine_pairs.RunRequirements
    excluded: frozenset[str]
    deadline_ms: float
    arrived_ms: float = 0.0
    target_ms: float | None = None
    account: ids.ClientAccountId | None = None
    homes: home_regions.HomeRegions = home_regions.ANYWHERE

    def may_use(self, engine: engine_pairs.Engine) -> bool:
        """Return whether it may be placed on an engine."""
        return engine.upstream not in self.excluded and self.homes.allows(
            engine.region
        )


class DepartureTracker:
    """Engines that left lately, by service.

    Attributes:
        engines: Engines of each service that accepted work at the last
            observation.
        departures: Time and share of each group of departures.
    """

    def __init__(self) -> None:
        self.engines: dict[ids.ServiceName, frozenset[ids.UpstreamId]] = {}
        self.departures: dict[
            ids.ServiceName, list[tuple[float, int, int]]
        ] = {}

    def observe(
        self,
        engines: collections.abc.Mapping[
            ids.ServiceName, collections.abc.Sequence[engine_pairs.Engine]
        ],
        now_ms: float,
    ) -> None:
        """Record which engines no longer accept work.

        Args:
            engines: Engines of each service that accept work.
            now_ms: The present time.
        """
        for service, present in engines.items():
            names = frozenset(engine.upstream for engine in present)
            before = self.engines.get(service, names)
            self.engines[service] = names
            left = len(before - names)
            if left:
                self.departures.setdefault(service, []).append(
                    (now_ms, left, len(before))
                )

    def reserve_share(self, service: ids.ServiceName, now_ms: float) -> float:
        """Return the share of an engine's memory that is kept for moves.

        Args:
            service: The service.
            now_ms: The present time.
        """
        recent = [
            each
            for each in self.departures.get(service, ())
            if now_ms - each[0] <= DEPARTURE_WINDOW_MS
        ]
        if not recent:
            self.departures.pop(service, None)
            return 0.0
        self.departures[service] = recent
        return min(
            MAX_RESERVE_SHARE,
            max(_group_share(recent, first) for first in recent),
        )


def _group_share(
    departures: collections.abc.Iterable[tuple[float, int, int]],
    first: tuple[float, int, int],
) -> float:
    """Return the share of the engines that left in one group."""
    start_ms, _, present = first
    left = sum(
        count
        for left_ms, count, _ in departures
        if 0 <= left_ms - start_ms <= DEPARTURE_GROUP_MS
    )
    return left / present


class MemoryUse(enum.Enum):
    """How much of an engine's memory a stream may use for now."""

    UNCROWDED = 'uncrowded'
    BELOW_RESERVE = 'below_reserve'
    BRIEF = 'brief'
    LATE = 'late'
    ALL = 'all'
    UNLIMITED = 'unlimited'


class Rule(msgspec.Struct, frozen=True):
    """Which engines a stream considers, by their memory.

    Attributes:
        reserve_share: Share of the memory that is kept for moved runs.
        max_fill_share: Share of the memory that may be committed.
        is_sampled: Whether it considers a sample of the engines instead of
            all that have room.
    """

    reserve_share: float
    max_fill_share: float = 1.0
    is_sampled: bool = False


def is_brief(need: engine_pairs.RunRequirements) -> bool:
    """Return whether a run ends before it would have to move."""
    duration_ms = _duration_ms(need.prompt_tokens, need.output_tokens)
    return duration_ms <= BRIEF_RUN_MS


def _duration_ms(prompt_tokens: int, output_tokens: int) -> float:
    """Return how long a run is expected to occupy an engine; ms."""
    reading_ms = prompt_tokens / PREFILL_TOKENS_PER_MS
    return reading_ms + output_tokens * OUTPUT_TOKEN_MS


def _first_event_ms(need: engine_pairs.RunRequirements) -> float:
    return _duration_ms(need.prompt_tokens, 0)


def latest_start_ms(order: PlacementRequest) -> float:
    """Return when a stream must start to meet its latency target.

    Another prompt of its size may be read before its own.
    """
    if not order.target_ms:
        return float('inf')
    return (
        order.arrived_ms
        + order.target_ms
        - 2 * _first_event_ms(order.need)
        - START_MARGIN_MS
    )


def memory_use(
    order: PlacementRequest, reserve_share: float, now_ms: float
) -> MemoryUse:
    """Return how much of an engine's memory a stream may use for now.

    Args:
        order: The stream.
        reserve_share: Share of the memory that is kept for moved runs.
        now_ms: The present time.
    """
    if not reserve_share or not order.target_ms:
        return MemoryUse.UNLIMITED
    waited_ms = now_ms - order.arrived_ms
    if waited_ms >= AGED_SHARE * (order.deadline_ms - order.arrived_ms):
        return MemoryUse.ALL
    left_ms = latest_start_ms(order) - now_ms
    if left_ms < 0:
        return MemoryUse.ALL if is_brief(order.need) else MemoryUse.LATE
    if left_ms <= LAST_CHANCE_MS:
        return MemoryUse.ALL
    if is_brief(order.need):
        return MemoryUse.BRIEF
    if waited_ms < FREE_WAIT_SHARE * order.target_ms:
        return MemoryUse.UNCROWDED
    return MemoryUse.BELOW_RESERVE


def rules(use: MemoryUse, reserve_share: float) -> tuple[Rule, ...]:
    """Return the rules by which engines are considered, in order.

    Args:
        use: How much of the memory the stream may use.
        reserve_share: Share of the memory that is kept for moved runs.
    """
    below_reserve = Rule(reserve_share)
    match use:
        case MemoryUse.UNCROWDED:
            fill_share = engine_pairs.CROWDED_FILL_SHARE
            return (Rule(reserve_share, fill_share, is_sampled=True),)
        case MemoryUse.BELOW_RESERVE:
            return (Rule(reserve_share, is_sampled=True),)
        case MemoryUse.BRIEF:
            return (Rule(0.0, is_sampled=True),)
        case MemoryUse.LATE:
            return (below_reserve,)
        case MemoryUse.ALL:
            return (below_reserve, Rule(0.0))
        case MemoryUse.UNLIMITED:
            return (Rule(0.0),)


def spread(
    order: PlacementRequest, sample_size: int | None, now_ms: float
) -> engine_pairs.Spread:
    """Return the engines that a stream considers for now.

    A waiting stream considers others each time, and more of them, so that it
    finds one with room.

    Args:
        order: The stream.
        sample_size: Number of engines considered in each region, or None.
        now_ms: The present time.
    """
    redraws = max(0, int((now_ms - order.arrived_ms) // RESAMPLE_MS))
    if sample_size is not None:
        sample_size += redraws
    key = f'{order.request}\0{redraws}' if redraws else order.request
    return engine_pairs.Spread(key, sample_size)


def admitted(
    need: engine_pairs.RunRequirements,
    engines: collections.abc.Sequence[engine_pairs.Engine],
    sums: engine_pairs.Sums,
    rule: Rule,
    spread: engine_pairs.Spread,
) -> list[engine_pairs.Engine]:
    """Return the engines that a stream may be placed on under a rule.

    Args:
        need: Requirements of the run.
        engines: Engines that accept work.
        sums: Commitments at each engine.
        rule: How much of the memory may be used.
        spread: The engines that the stream considers.
    """
    considered = engines
    if rule.is_sampled:
        considered = engine_sampling.sample(
            engines, spread, lambda engine: engine.region
        )
    return [
        engine
        for engine in considered
        if engine_pairs.has_room(
            need.tokens,
            engine,
            sums,
            rule.reserve_share,
            rule.max_fill_share,
        )
    ]


def is_half_taken(
    engines: collections.abc.Iterable[engine_pairs.Engine],
    sums: engine_pairs.Sums,
) -> bool:
    """Return whether at least half of the engines' slots are taken."""
    slots = runs = 0
    for engine in engines:
        slots += engine.slots
        present = sums.get(engine.upstream)
        runs += present.runs if present else 0
    return 2 * runs >= slots


def expected_wait_ms(
    need: engine_pairs.RunRequirements,
    engines: collections.abc.Sequence[engine_pairs.Engine],
    sums: engine_pairs.Sums,
    runs: collections.abc.Iterable[commitments.Commitment],
    ahead_tokens: int,
) -> float:
    """Return a lower bound of the time until there is room for a stream; ms.

    All memory counts as one, nothing else is placed meanwhile, and the ages
    of the runs are taken to be spread evenly over their duration.

    Args:
        need: Requirements of the run.
        engines: Engines that may run it.
        sums: Commitments at each engine.
        runs: Runs of this VM, whose durations stand for all.
        ahead_tokens: Tokens of this VM's streams that go first.
    """
    room = committed = 0
    for engine in engines:
        present = sums.get(engine.upstream, commitments.EngineSums())
        used = present.tokens + present.copy_tokens
        room += max(0, engine.memory_tokens - used)
        committed += used
    missing = need.tokens + ahead_tokens - room
    if missing <= 0 or not committed:
        return 0.0
    names = {engine.upstream for engine in engines}
    durations_ms = [
        _duration_ms(run.prompt_tokens, run.output_tokens)
        for run in runs
        if run.upstream in names
    ] or [_duration_ms(need.prompt_tokens, need.output_tokens)]
    return missing / committed * statistics.fmean(durations_ms)
