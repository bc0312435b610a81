"""Priority of a route's streams at the engines that they share.

An engine reads prompts in order of arrival unless requests state a
priority. A stream that may start late then delays one that has to start
soon. A route whose latency target is much longer than that of a route which
is no less urgent therefore yields at the engine.
"""

import collections.abc
import math

import msgspec

from eelgrassknot.forwarding import model
from eelgrassknot import ids

__all__ = ['EnginePriorities', 'engine_priorities']

DEFAULT_PRIORITY = 5
LEAST_URGENT_PRIORITY = 9
MIN_TARGET_RATIO = 2.0
"""Ratio of the latency targets from which a route yields. With less, the
longer target leaves no time to wait for other prompts."""


class EnginePriorities(msgspec.Struct, frozen=True):
    """Routes that yield at the engines.

    Attributes:
        by_route: Priority of each route that yields, by its name; a higher
            number is less urgent.
        services: Services with such routes.
    """

    by_route: dict[str, int] = {}
    services: frozenset[ids.ServiceName] = frozenset()


def engine_priorities(
    routes: collections.abc.Sequence[model.Route],
) -> EnginePriorities:
    """Return the engine priority of each streaming route that yields.

    Each doubling of the latency target, compared with the shortest one of
    the routes to the same service that are at least as urgent, lowers the
    priority by one step. A route that is not listed has the default.

    Args:
        routes: All routes of a deployment.
    """
    streaming = [
        route
        for route in routes
        if route.kind is model.RouteKind.STREAMING and route.objective_ms > 0
    ]
    priorities = {}
    for route in streaming:
        shortest_ms = min(
            other.objective_ms
            for other in streaming
            if other.priority <= route.priority
            and _share_service(route, other)
        )
        ratio = route.objective_ms / shortest_ms
        if ratio >= MIN_TARGET_RATIO:
            priorities[route.name] = min(
                LEAST_URGENT_PRIORITY,
                DEFAULT_PRIORITY + int(math.log2(ratio)),
            )
    return EnginePriorities(
        priorities,
        frozenset(
            share.service
            for route in streaming
            if route.name in priorities
            for share in route.shares
        ),
    )


def _share_service(first: model.Route, second: model.Route) -> bool:
    services = {share.service for share in first.shares}
    return any(share.service in services for share in second.shares)
