"""Regions in which a request may be served, cached and stored.

A route and a client account may each have home regions; a request stays in
those of both. There is no fallback to another region.
"""

import collections.abc

import msgspec

from eelgrassknot import ids
from eelgrassknot import states

__all__ = ['ANYWHERE', 'HomeRegions', 'home_regions', 'refusal_reason']


class HomeRegions(msgspec.Struct, frozen=True):
    """Home regions of a request.

    Attributes:
        regions: The regions, or None for all. An empty set allows none.
    """

    regions: frozenset[ids.RegionId] | None = None

    @property
    def is_restricted(self) -> bool:
        """Whether any region is excluded."""
        return self.regions is not None

    def allows(self, region: ids.RegionId) -> bool:
        """Return whether a request may be sent to a region."""
        return self.regions is None or region in self.regions

    def intersect(self, other: 'HomeRegions') -> 'HomeRegions':
        """Return the regions that both allow."""
        if self.regions is None:
            return other
        if other.regions is None:
            return self
        return HomeRegions(self.regions & other.regions)


ANYWHERE = HomeRegions()


def home_regions(
    listed: collections.abc.Collection[ids.RegionId],
) -> HomeRegions:
    """Return the home regions of a route or an account.

    Args:
        listed: Its list; empty if it allows all regions.

    Example:
        >>> home_regions(()).allows('r')
        True
        >>> home_regions(['r']).intersect(home_regions(['q'])).allows('r')
        False
    """
    return HomeRegions(frozenset(listed)) if listed else ANYWHERE


def refusal_reason(
    homes: HomeRegions,
    reason: states.RefusalReason,
    regions: collections.abc.Iterable[ids.RegionId],
) -> states.RefusalReason:
    """Return the reason of a refusal in view of the home regions.

    A limit or a pause at home is not the reason if upstreams elsewhere
    could have been tried.

    Args:
        homes: Home regions of the request.
        reason: Why the upstreams at home were not used.
        regions: Regions of all upstreams of the service that accept work.
    """
    if reason in _CONSTRAINTS and not all(map(homes.allows, regions)):
        return states.RefusalReason.NO_HOME_UPSTREAM
    return reason


_CONSTRAINTS = (
    states.RefusalReason.UPSTREAM_LIMIT,
    states.RefusalReason.UPSTREAM_PAUSE,
)
