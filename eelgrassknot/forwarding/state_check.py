"""Semantic validation of a deployment's state."""

import collections
import collections.abc

from eelgrassknot import field_values
from eelgrassknot.forwarding import access
from eelgrassknot.forwarding import model
from eelgrassknot.settings import faults

__all__ = ['check_state']


MAX_NAMED_PATHS = 3
"""Number of paths that the fault of several lists names."""


def check_state(
    state: model.DeploymentState,
    regions: collections.abc.Collection[str] | None = None,
) -> list[faults.Fault]:
    """Return the faults of a state, those that stop requests first.

    Args:
        state: The decoded state.
        regions: Regions of the deployment, or None if they are unknown.

    Example:
        >>> limits = model.CallerLimits(8_192, 65_536, 1_000.0, 15_000.0)
        >>> check_state(model.DeploymentState(1, (), {}, (), limits, False))
        []
    """
    return [
        *_name_faults(state),
        *_key_faults(state),
        *_home_faults(state),
        *_region_faults(state, regions),
        *_route_faults(state),
        *_duplicate_routes(state),
        *_account_faults(state),
    ]


def _name_faults(state: model.DeploymentState) -> list[faults.Fault]:
    """Return a fault for each account whose name no header can carry."""
    return [
        faults.Fault(
            f'$.accounts[{faults.quote(account.account)}]',
            'no HTTP header can carry the name, so that requests with a key '
            'of the account are refused',
            'write a name without control characters, and without white '
            'space at its ends',
        )
        for account in state.accounts
        if not field_values.is_valid(account.account)
    ]


def _key_faults(state: model.DeploymentState) -> list[faults.Fault]:
    """Return a fault for each key that no request can present.

    The messages contain no keys.
    """
    return [
        faults.Fault(
            faults.item_path(
                f'$.accounts[{faults.quote(account.account)}].keys', index
            ),
            'no request can present the key: it is empty, or no HTTP header '
            'can carry it',
            'give out a key without control characters, and without white '
            'space at its ends',
        )
        for account in state.accounts
        for index, key in enumerate(account.keys)
        if not access.is_usable_key(key)
    ]


def _home_faults(state: model.DeploymentState) -> list[faults.Fault]:
    """Return one fault for all lists of home regions that are unreadable."""
    paths = state.unreadable_homes
    if not paths:
        return []
    named = ', '.join(paths[1:MAX_NAMED_PATHS])
    also = f'; also {named}' if named else ''
    return [
        faults.Fault(
            paths[0],
            f'{len(paths)} lists of home regions contain something other '
            f'than names, which is left out{also}',
            'write a list of names of regions',
        )
    ]


def _region_faults(
    state: model.DeploymentState,
    regions: collections.abc.Collection[str] | None,
) -> list[faults.Fault]:
    """Return a fault for each unknown home region, at its first use."""
    if regions is None:
        return []
    places: dict[str, str] = {}
    for path, homes in (
        *(
            (f'$.routes[{faults.quote(each.name)}]', each.home_regions)
            for each in state.routes
        ),
        *(
            (f'$.accounts[{faults.quote(each.account)}]', each.home_regions)
            for each in state.accounts
        ),
    ):
        for region in homes:
            places.setdefault(region, path)
    return [
        faults.Fault(
            faults.field_path(path, 'home_regions'),
            f'the region {faults.quote(region)} is unknown; it restricts '
            'requests as any other',
            'correct its name, or add it to the settings of the VMs',
        )
        for region, path in places.items()
        if region not in regions
    ]


def _route_faults(state: model.DeploymentState) -> list[faults.Fault]:
    found = []
    for route in state.routes:
        path = f'$.routes[{faults.quote(route.name)}]'
        found += _share_faults(path, route, state)
        if not (route.prefix.startswith('/') and route.prefix.endswith('/')):
            found.append(
                faults.Fault(
                    faults.field_path(path, 'prefix'),
                    f'{faults.quote(route.prefix)} does not begin and end '
                    'with a slash',
                    'write the prefix between slashes',
                )
            )
        if route.timeout_ms <= 0:
            found.append(
                faults.Fault(
                    faults.field_path(path, 'timeout'),
                    'the timeout is not positive',
                    'set a number of milliseconds above 0',
                )
            )
        elif route.objective_ms > route.timeout_ms:
            found.append(
                faults.Fault(
                    faults.field_path(path, 'objective'),
                    'the objective exceeds the timeout',
                    'raise the timeout or lower the objective',
                )
            )
    return found


def _share_faults(
    path: str, route: model.Route, state: model.DeploymentState
) -> list[faults.Fault]:
    found = []
    if not route.shares:
        found.append(
            faults.Fault(
                path, 'the route has no service', 'add a service to the route'
            )
        )
    elif sum(share.weight for share in route.shares) <= 0:
        found.append(
            faults.Fault(
                path, 'all weights are 0', 'give a service a weight above 0'
            )
        )
    for share in route.shares:
        service = state.services.get(share.service)
        if service is None:
            found.append(
                faults.Fault(
                    path,
                    f'the service {faults.quote(share.service)} is undefined',
                    'add that service, or name another',
                )
            )
        elif route.kind is model.RouteKind.STREAMING and not service.engine:
            found.append(
                faults.Fault(
                    path,
                    f'{faults.quote(share.service)} has no engines, but the '
                    'route is for streams',
                    'define its engines or change the kind of the route',
                )
            )
    return found


def _duplicate_routes(state: model.DeploymentState) -> list[faults.Fault]:
    """Return a fault for each route shadowed by one of the same host."""
    found = []
    seen: dict[tuple[str, str], str] = {}
    for route in state.routes:
        place = (route.host, route.prefix)
        first = seen.setdefault(place, route.name)
        if first != route.name:
            found.append(
                faults.Fault(
                    f'$.routes[{faults.quote(route.name)}]',
                    f'{faults.quote(first)} has the same host and prefix',
                    'remove one of the two, or change its prefix',
                )
            )
    return found


def _account_faults(state: model.DeploymentState) -> list[faults.Fault]:
    """Return a fault for each set of accounts that share a key.

    The messages contain no keys.
    """
    holders: dict[str, set[str]] = collections.defaultdict(set)
    for account in state.accounts:
        for key in account.keys:
            holders[key].add(account.account)
    shared = {tuple(sorted(names)) for names in holders.values()}
    return [
        faults.Fault(
            f'$.accounts[{faults.quote(names[0])}]',
            f'a key is also used by {", ".join(names[1:])}',
            'give each account keys of its own',
        )
        for names in sorted(shared)
        if len(names) > 1
    ]
