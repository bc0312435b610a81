"""Selection of the route and the service of a request."""

import collections
import random

from eelgrassknot.forwarding import model
from eelgrassknot import ids

__all__ = ['RouteTable', 'choose_service']


class RouteTable:
    """Routes by host, ordered by descending prefix length.

    Args:
        routes: All routes of a state.
    """

    def __init__(self, routes: tuple[model.Route, ...]) -> None:
        self.hosts: dict[str, list[model.Route]] = collections.defaultdict(
            list
        )
        for route in routes:
            self.hosts[route.host].append(route)
        for found in self.hosts.values():
            found.sort(key=lambda route: -len(route.prefix))

    def find(self, host: str, target: str) -> model.Route | None:
        """Return the matching route with the longest prefix, or None.

        Args:
            host: The Host header; its port is ignored.
            target: Path and query.
        """
        name = host.rsplit(':', 1)[0] if ':' in host else host
        path = target.split('?', 1)[0]
        for route in self.hosts.get(name.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


def choose_service(
    route: model.Route, generator: random.Random
) -> ids.ServiceName | None:
    """Choose the service for a request at random, by the route's weights."""
    if not route.shares:
        return None
    weights = [share.weight for share in route.shares]
    if sum(weights) <= 0:
        return route.shares[0].service
    return generator.choices(route.shares, weights)[0].service
