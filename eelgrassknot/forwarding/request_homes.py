"""Home regions of requests according to the state in force."""

from eelgrassknot.forwarding import model
from eelgrassknot import ids
from eelgrassknot.policy import home_regions

__all__ = ['RequestHomes']


class RequestHomes:
    """Home regions of the routes and the client accounts.

    A request may be sent later than it arrived, and a newer state may have
    restricted it meanwhile.
    """

    def __init__(self) -> None:
        self.routes: dict[tuple[str, str], home_regions.HomeRegions] = {}
        self.accounts: dict[ids.ClientAccountId, home_regions.HomeRegions] = {}

    def update(self, state: model.DeploymentState) -> None:
        """Use the home regions of a newer state."""
        self.routes = {}
        for route in state.routes:
            # The first of two routes with the same place is used.
            self.routes.setdefault(
                (route.host, route.prefix),
                home_regions.home_regions(route.home_regions),
            )
        self.accounts = {
            account.account: home_regions.home_regions(account.home_regions)
            for account in state.accounts
        }

    def find(
        self, route: model.Route, account: ids.ClientAccountId | None
    ) -> home_regions.HomeRegions:
        """Return the home regions of a request.

        Args:
            route: Its route, which the state in force may no longer have.
            account: Its client account, or None.
        """
        of_route = self.routes.get(
            (route.host, route.prefix), home_regions.ANYWHERE
        )
        if account is None:
            return of_route
        return of_route.intersect(
            self.accounts.get(account, home_regions.ANYWHERE)
        )
