"""Random but reproducible choice of engines for a run.

Each run has an order of the engines of its own, by a hash of both names.
"""

import collections
import collections.abc
import typing

import msgspec
import xxhash

from eelgrassknot import ids

__all__ = ['Spread', 'sample', 'weight']


class Spread(msgspec.Struct, frozen=True):
    """How runs that are placed at the same time are spread over engines.

    Attributes:
        key: Selects one of several equally good engines; differs by run.
        sample_size: Number of engines considered in each region, or of
            copies in each zone; None for all.
    """

    key: str
    sample_size: int | None = None


class _Named(typing.Protocol):
    @property
    def upstream(self) -> ids.UpstreamId:
        """Name of the engine."""


_Engine = typing.TypeVar('_Engine', bound=_Named)


def sample(
    engines: collections.abc.Sequence[_Engine],
    spread: Spread | None,
    group: collections.abc.Callable[[_Engine], str],
) -> collections.abc.Sequence[_Engine]:
    """Return the engines that a run considers: some of each group.

    Args:
        engines: Engines to choose from.
        spread: How runs are spread, or None for all engines.
        group: Returns the group of an engine.
    """
    if spread is None or spread.sample_size is None:
        return engines
    ordered = sorted(
        engines, key=lambda engine: weight(engine, spread), reverse=True
    )
    counts: collections.Counter = collections.Counter()
    sampled = []
    for engine in ordered:
        counts[group(engine)] += 1
        if counts[group(engine)] <= spread.sample_size:
            sampled.append(engine)
    return sampled


def weight(engine: _Named, spread: Spread) -> int:
    """Return the position of an engine in a run's own order."""
    return xxhash.xxh64_intdigest(f'{engine.upstream}\0{spread.key}'.encode())
