"""Validation of callers' requests and their dispatch to drivers."""

import collections.abc
import random

from eelgrassknot import field_values
from eelgrassknot.forwarding import access
from eelgrassknot.forwarding import call_driver
from eelgrassknot.forwarding import caller_connection
from eelgrassknot.forwarding import caller_memory
from eelgrassknot.forwarding import dialect as dialects
from eelgrassknot.forwarding import engine_priorities
from eelgrassknot.forwarding import error_responses
from eelgrassknot.forwarding import metrics
from eelgrassknot.forwarding import model
from eelgrassknot.forwarding import routing
from eelgrassknot.forwarding import state_check
from eelgrassknot.forwarding import stream_driver
from eelgrassknot.forwarding import work as works
from eelgrassknot import ids
from eelgrassknot import logs
from eelgrassknot import states

__all__ = ['Forwarder']

DRIVER_BYTES = 8_192
"""Memory of the objects of a request in progress, without head and body."""
MAX_LOGGED_CHARACTERS = 200
"""Length at which the name of an account is cut off in the log."""
MAX_LOGGED_FAULTS = 5
"""Maximum number of faults logged per state; the command line lists all."""


class Forwarder:
    """Server that forwards the requests of callers.

    Args:
        context: Shared dependencies of all drivers.
        authenticator: Authenticates API keys.
        generator: Random number generator.
        memory: Accounts for what is held for callers.
        regions: Regions of the deployment, or None if they are unknown.

    Attributes:
        limits: Limits on callers' requests.
        drain_until_ms: Time by which every request must have ended because
            this VM is shutting down, or None if it is not.
        connections: All open connections of callers.
        state: The deployment's state in force, or None before the first.
    """

    def __init__(
        self,
        context: works.Context,
        authenticator: access.KeyAuthenticator,
        generator: random.Random,
        memory: caller_memory.CallerMemory,
        regions: collections.abc.Collection[str] | None = None,
    ) -> None:
        self.memory = memory
        self.loop = context.loop
        self.context = context
        self.authenticator = authenticator
        self.generator = generator
        self.regions = regions
        self.limits = caller_connection.DEFAULT_LIMITS
        self.drain_until_ms: float | None = None
        self.connections: set[caller_connection.CallerConnection] = set()
        self.state: model.DeploymentState | None = None
        self.routes = routing.RouteTable(())

    @property
    def draining(self) -> bool:
        """Whether this VM is shutting down."""
        return self.drain_until_ms is not None

    def apply_state(self, state: model.DeploymentState) -> None:
        """Apply a state unless it is older than the one in force.

        A version may be given out again after the store has been restored.
        """
        if self.state is not None and (
            state.version < self.state.version or state == self.state
        ):
            return
        self.state = state
        self.limits = state.limits
        self.routes = routing.RouteTable(state.routes)
        self.authenticator.replace_accounts(state.accounts)
        self.context.homes.update(state)
        self.context.engine_priorities = engine_priorities.engine_priorities(
            state.routes
        )
        metrics.STATE_VERSION.set(state.version)
        logs.event(
            'state_adopted',
            version=state.version,
            routes=len(state.routes),
            services=len(state.services),
            accounts=len(state.accounts),
        )
        found = state_check.check_state(state, self.regions)
        for fault in found[:MAX_LOGGED_FAULTS]:
            logs.warning('state_fault', version=state.version, fault=fault)

    def connection_closed(
        self, connection: caller_connection.CallerConnection
    ) -> None:
        """Remove a caller's connection that has been closed."""
        self.connections.discard(connection)

    @property
    def active_requests(self) -> int:
        """Number of requests in progress or not yet answered in full."""
        return sum(
            not each.is_idle or each.has_unsent_bytes
            for each in self.connections
        )

    @property
    def expected_requests(self) -> int:
        """Number of new connections whose first request may be coming."""
        return sum(each.is_awaiting_first_request for each in self.connections)

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for connection in list(self.connections):
            connection.close_idle()

    def start_drain(self, drain_until_ms: float) -> None:
        """Accept only requests that end in time, and limit the active ones.

        Args:
            drain_until_ms: Time by which every request must have ended.
        """
        self.drain_until_ms = drain_until_ms
        for connection in list(self.connections):
            exchange = connection.exchange
            if exchange is not None and exchange.on_limit is not None:
                exchange.on_limit(drain_until_ms)

    def abort_active(self, reason: str) -> None:
        """Abort the requests in progress with a connection reset."""
        for connection in list(self.connections):
            exchange = connection.exchange
            if exchange is not None:
                connection.abort()
                exchange.notify_aborted(reason)

    def handle(self, exchange: caller_connection.Exchange) -> None:
        """Validate a request and forward it."""
        headers = self.context.dialect.caller_headers(exchange.request.headers)
        if self.state is None:
            self._refuse(exchange, headers, 503, 'no_state')
            return
        route = self._find_route(exchange)
        if route is None:
            status = (
                404
                if self.authenticator.is_current(self.loop.now_ms())
                else 503
            )
            self._refuse(exchange, headers, status, 'no_route')
            return
        account = None
        if self.state.has_accounts and not route.public:
            status, account = self.authenticator.authenticate(
                headers.key, self.loop.now_ms()
            )
            if status is access.KeyStatus.OUT_OF_DATE:
                self._refuse(exchange, headers, 503, 'keys_out_of_date')
                return
            if status is access.KeyStatus.UNKNOWN_KEY:
                self._refuse(exchange, headers, 401, 'unknown_key')
                return
            if not field_values.is_valid(account.account):
                # Upstreams learn the account from a header.
                self._refuse(
                    exchange,
                    headers,
                    503,
                    'account_not_sendable',
                    retry_after_ms=error_responses.RETRY_LATER_MS,
                    account=account.account[:MAX_LOGGED_CHARACTERS],
                )
                return
        service = self._choose_service(route)
        if service is None:
            self._refuse(exchange, headers, 503, 'no_service')
            return
        self._forward(exchange, headers, route, service, account)

    def _forward(
        self,
        exchange: caller_connection.Exchange,
        headers: dialects.CallerHeaders,
        route: model.Route,
        service: model.Service,
        account: model.Account | None,
    ) -> None:
        exchange.account_for(DRIVER_BYTES + headers.memory_bytes)
        started_ms = exchange.request.received_ms
        limit_ms = route.timeout_ms
        if headers.deadline_ms is not None:
            limit_ms = min(limit_ms, headers.deadline_ms)
        priority = route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        work = works.Work(
            exchange=exchange,
            request=headers.request or ids.RequestId(ids.random_id()),
            route=route,
            service=service,
            account=access.account_name(account),
            priority=priority,
            headers=headers,
            started_ms=started_ms,
            deadline_ms=started_ms + limit_ms,
            homes=self.context.homes.find(route, access.account_name(account)),
        )
        if self.draining:
            if work.deadline_ms > self.drain_until_ms:
                self._refuse(exchange, headers, 503, 'draining')
                return
            self._log_accepted_while_draining(work)
        if route.kind is model.RouteKind.STREAMING:
            stream_driver.StreamDriver(self.context, work).start()
        else:
            call_driver.CallDriver(self.context, work).start()

    def _log_accepted_while_draining(self, work: works.Work) -> None:
        """Log a request that is accepted while this VM is draining."""
        connection = work.exchange.connection
        now_ms = self.loop.now_ms()
        logs.event(
            'accepted_while_draining',
            request=work.request,
            route=work.route.name,
            limit_ms=round(work.deadline_ms - now_ms, 1),
            connection_age_ms=round(now_ms - connection.opened_ms, 1),
            connection_requests=connection.request_count,
        )

    def _find_route(
        self, exchange: caller_connection.Exchange
    ) -> model.Route | None:
        found = dict(exchange.request.headers)
        host = field_values.decode(found.get(b'host', b''))
        if host is None:
            return None
        target = exchange.request.target.decode('latin-1')
        return self.routes.find(host, target)

    def _choose_service(self, route: model.Route) -> model.Service | None:
        name = routing.choose_service(route, self.generator)
        return self.state.services.get(name)

    def _refuse(
        self,
        exchange: caller_connection.Exchange,
        headers: dialects.CallerHeaders,
        status: int,
        reason: str,
        retry_after_ms: float = error_responses.RETRY_ELSEWHERE_MS,
        **pairs: object,
    ) -> None:
        """Refuse a request that is not forwarded.

        Args:
            exchange: The request.
            headers: Its decoded headers.
            status: HTTP status code.
            reason: Error code.
            retry_after_ms: Delay before the caller may retry, if the status
                allows it.
            **pairs: Further keys and values for the log.
        """
        logs.event(
            'refused',
            request=headers.request,
            status=status,
            reason=reason,
            **pairs,
            state_version=self.state.version if self.state else None,
            known_age_ms=self.authenticator.age_ms(self.loop.now_ms()),
        )
        metrics.REFUSALS.inc(reason)
        if status == 503:
            error_responses.send_error(
                exchange,
                status,
                states.Outcome.NOT_RUN,
                reason,
                retry_after_ms,
            )
        else:
            error_responses.send_error(
                exchange, status, states.Outcome.INVALID, reason
            )
