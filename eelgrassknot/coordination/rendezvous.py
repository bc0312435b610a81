"""Rendezvous hashing: who of some members is responsible for a key.

All who know the same members agree without a word, and a member that
comes or goes moves only the keys that it gains or loses.

References:
    Thaler and Ravishankar, "Using name-based mappings to increase hit
    rates", IEEE/ACM Transactions on Networking 1998.
"""

import collections.abc

import xxhash

__all__ = ['name_hash', 'ranked']


def ranked(
    key: str, members: collections.abc.Iterable[str], count: int | None = None
) -> list[str]:
    """Return members in the order of their responsibility for a key.

    Args:
        key: What somebody has to be responsible for.
        members: Names of the members.
        count: How many to return, or None for all.

    Example:
        >>> len(ranked('engine-1', ['a', 'b', 'c'], 2))
        2
    """

    def weight(member: str) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(f'{member}\0{key}'), member

    return sorted(members, key=weight, reverse=True)[:count]


def name_hash(name: str) -> int:
    """Return the 32-bit hash by which a name is told to peers."""
    return xxhash.xxh32_intdigest(name)
