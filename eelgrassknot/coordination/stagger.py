"""How long each watcher of a lapsed lease waits before it takes over.

Conditional writes let only one of several watchers succeed, but each of
the others has spent a write of the platform's budget. A delay that
differs between watchers saves those writes and costs time.

References:
    Zhang and Jacobsen, "ESCAPE to Precaution against Leader Failures",
    equation 1, for the delay by rank.
"""

import collections.abc
import random

from eelgrassknot.kernel import registry

__all__ = ['STAGGERS', 'Stagger']

# Twice the time between a watcher's read and the commit of its write.
RANK_STEP_MS = 250.0
MAX_STAGGERED_RANK = 20
JITTER_MS = 2_000.0

Stagger = collections.abc.Callable[[int, int, random.Random], float]

STAGGERS: registry.Registry[Stagger] = registry.Registry('stagger')


@STAGGERS.register('none')
def no_delay(rank: int, contenders: int, generator: random.Random) -> float:
    """Return no delay."""
    return 0.0


@STAGGERS.register('random')
def random_delay(
    rank: int, contenders: int, generator: random.Random
) -> float:
    """Return a random delay in milliseconds."""
    return generator.uniform(0.0, JITTER_MS)


@STAGGERS.register('rank')
def rank_delay(rank: int, contenders: int, generator: random.Random) -> float:
    """Return a delay in milliseconds that grows with the rank.

    Args:
        rank: Position of this VM among those that may take over, from 0.
        contenders: How many may take over.
        generator: Source of random choices.

    Example:
        >>> rank_delay(2, 8, random.Random(1))
        500.0
    """
    if rank <= MAX_STAGGERED_RANK:
        return rank * RANK_STEP_MS
    # Far ranks act only where all nearer ones have failed; they share
    # one range of time, so that the last does not wait for minutes.
    span_ms = MAX_STAGGERED_RANK * RANK_STEP_MS
    return span_ms + generator.uniform(0.0, span_ms)
