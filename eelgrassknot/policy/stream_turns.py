"""Turns of the streams that wait for an engine.

Streams take turns by rank; within a rank, those that can still meet their
latency target go before those that are late, and the client accounts take
turns. A large stream that has waited for long holds some engines, so that
smaller ones do not take all room there before it is enough for the large one.
"""

import collections
import collections.abc
import itertools
import math

from eelgrassknot import ids
from eelgrassknot.policy import engine_pairs
from eelgrassknot.policy import engine_sampling
from eelgrassknot.policy import stream_admission

__all__ = ['HeldEngines', 'Turns']

HOLD_TARGET_SHARE = 0.5
"""Share of its latency target after which a waiting stream holds engines."""
HELD_ENGINES_SHARE = 0.25
"""Share of a service's engines that a stream holds. The smaller streams of
this VM still use the others."""

Entry = tuple[int, float, int, stream_admission.PlacementRequest]
"""Rank, time of arrival in ms, number and request of a waiting stream."""


class Turns:
    """Order of the waiting streams.

    Attributes:
        last_turns: Number of the last turn of each client account that has
            had one since it last had no waiting stream.
    """

    def __init__(self) -> None:
        self.numbers = itertools.count(1)
        self.last_turns: dict[ids.ClientAccountId | None, int] = {}

    def in_order(
        self, entries: collections.abc.Iterable[Entry], now_ms: float
    ) -> list[Entry]:
        """Return the streams in the order in which they are to be placed.

        Args:
            entries: The waiting streams.
            now_ms: The present time.
        """
        positions: collections.Counter = collections.Counter()
        keyed = []
        for entry in sorted(entries, key=lambda entry: entry[:3]):
            rank, arrived_ms, number, order = entry
            is_late = now_ms > stream_admission.latest_start_ms(order)
            group = (rank, is_late, order.account)
            last_turn = self.last_turns.get(order.account, 0)
            key = (rank, is_late, positions[group], last_turn)
            positions[group] += 1
            keyed.append(((*key, arrived_ms, number), entry))
        return [entry for _, entry in sorted(keyed, key=lambda pair: pair[0])]

    def record(self, order: stream_admission.PlacementRequest) -> None:
        """Record that a stream has been placed."""
        self.last_turns[order.account] = next(self.numbers)

    def retain(self, entries: collections.abc.Iterable[Entry]) -> None:
        """Forget the accounts that no longer have waiting streams."""
        accounts = {entry[3].account for entry in entries}
        self.last_turns = {
            account: turn
            for account, turn in self.last_turns.items()
            if account in accounts
        }


class HeldEngines:
    """Engines that are held for large streams that have waited for long.

    Args:
        entries: The waiting streams.
        engines: Engines of each service that accept work.
        sums: Commitments at each engine.
        now_ms: The present time.
    """

    def __init__(
        self,
        entries: collections.abc.Iterable[Entry],
        engines: collections.abc.Mapping[
            ids.ServiceName, collections.abc.Sequence[engine_pairs.Engine]
        ],
        sums: engine_pairs.Sums,
        now_ms: float,
    ) -> None:
        self.holders = []
        for _, _, _, order in entries:
            if _is_aged(order, now_ms):
                names = _held_names(order, engines.get(order.service, ()))
                # With room elsewhere it does not wait for memory.
                if not any(
                    engine_pairs.has_room(order.need.tokens, engine, sums)
                    for engine in engines.get(order.service, ())
                    if engine.upstream not in names
                ):
                    self.holders.append((order, names))

    def available(
        self,
        order: stream_admission.PlacementRequest,
        engines: collections.abc.Sequence[engine_pairs.Engine],
    ) -> list[engine_pairs.Engine]:
        """Return the engines that are not held for a larger stream.

        Streams of a more urgent rank are not held up.
        """
        held: set[ids.UpstreamId] = set()
        for holder, names in self.holders:
            if (
                holder.service == order.service
                and holder.rank <= order.rank
                and holder.need.tokens > order.need.tokens
            ):
                held |= names
        return [engine for engine in engines if engine.upstream not in held]


def _is_aged(order: stream_admission.PlacementRequest, now_ms: float) -> bool:
    if not order.target_ms:
        return False
    waited_ms = now_ms - order.arrived_ms
    return waited_ms >= HOLD_TARGET_SHARE * order.target_ms


def _held_names(
    order: stream_admission.PlacementRequest,
    engines: collections.abc.Sequence[engine_pairs.Engine],
) -> set[ids.UpstreamId]:
    usable = [e for e in engines if e.upstream not in order.excluded]
    count = math.ceil(len(usable) * HELD_ENGINES_SHARE)
    spread = engine_pairs.Spread(order.request, count)
    return {
        engine.upstream
        for engine in engine_sampling.sample(usable, spread, lambda engine: '')
    }
