"""State of a forwarded request, shared by the call and stream drivers."""

import collections.abc
import random
import typing

import h11
import msgspec

from eelgrassknot.forwarding import caller_connection
from eelgrassknot.forwarding import crash_check
from eelgrassknot.forwarding import crash_reports
from eelgrassknot.forwarding import dialect
from eelgrassknot.forwarding import engine_priorities as priorities
from eelgrassknot.forwarding import evacuations
from eelgrassknot.forwarding import limit_monitor
from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import metrics
from eelgrassknot.forwarding import model
from eelgrassknot.forwarding import request_homes
from eelgrassknot.forwarding import send_permits
from eelgrassknot.forwarding import upstream_connection
from eelgrassknot.forwarding import upstream_statements
from eelgrassknot import ids
from eelgrassknot import logs
from eelgrassknot.policy import health
from eelgrassknot.policy import home_regions
from eelgrassknot.policy import plain
from eelgrassknot.policy import retry_budget

if typing.TYPE_CHECKING:
    from eelgrassknot.forwarding import engine_scheduler

__all__ = ['Context', 'Work', 'homes_of', 'may_send', 'send']

SEND_MARGIN_MS = 5.0
"""Time reserved for the way back of the response; ms."""


class Context(msgspec.Struct):
    """Shared dependencies of all drivers.

    Attributes:
        health: Health of the upstreams.
        plain_pool: Selects upstreams of plain services.
        scheduler: Selects engines.
        crash_reports: Crashes of engines and the requests that they block.
        crash_checks: Checks whether engines have crashed.
        evacuations: Evacuated availability zones.
        homes: Home regions according to the state in force.
        limits: Request limits stated by upstreams.
        permits: Permits to send to limited upstreams.
        budgets: Retry budget of each service.
        engine_priorities: Routes that yield at the engines.
        retry_ratio: Number of retries that each request adds to the
            budget.
        retry_burst: Returns the maximum budget of this VM, its share of the
            retries allowed to all VMs together.
    """

    loop: loops.EventLoop
    connections: upstream_connection.ConnectionPool
    dialect: dialect.Dialect
    generator: random.Random
    health: health.HealthTracker
    plain_pool: plain.PlainPool
    scheduler: 'engine_scheduler.EngineScheduler'
    crash_reports: crash_reports.CrashReports
    crash_checks: crash_check.CrashChecks
    evacuations: evacuations.Evacuations
    homes: request_homes.RequestHomes
    limits: limit_monitor.LimitMonitor
    statements: upstream_statements.StatementReader
    permits: send_permits.SendPermits
    retry_ratio: float
    retry_burst: collections.abc.Callable[[], float]
    budgets: dict[ids.ServiceName, retry_budget.RetryBudget] = msgspec.field(
        default_factory=dict
    )
    engine_priorities: priorities.EnginePriorities = (
        priorities.EnginePriorities()
    )

    def budget(self, service: ids.ServiceName) -> retry_budget.RetryBudget:
        """Return the retry budget of a service."""
        share = self.retry_burst()
        if service not in self.budgets:
            self.budgets[service] = retry_budget.RetryBudget.for_vm(
                self.retry_ratio, share
            )
        self.budgets[service].set_share(share)
        return self.budgets[service]


class Work(msgspec.Struct):
    """One request to be forwarded.

    Attributes:
        started_ms: When the head of the request was complete.
        deadline_ms: Time by which the request must be completed.
        priority: Priority of the request; 0 is the most urgent.
        connections: Connections to upstreams that have carried the request.
        homes: Home regions of the request at its arrival.
    """

    exchange: caller_connection.Exchange
    request: ids.RequestId
    route: model.Route
    service: model.Service
    account: ids.ClientAccountId | None
    priority: int
    headers: dialect.CallerHeaders
    started_ms: float
    deadline_ms: float
    connections: list[object] = msgspec.field(default_factory=list)
    homes: home_regions.HomeRegions = home_regions.ANYWHERE


def may_send(context: Context, work: Work, upstream: model.Upstream) -> bool:
    """Return whether a request may be sent to an upstream now.

    Called immediately before sending: the upstream may have been chosen
    before its zone was evacuated or a newer state was adopted.
    """
    if context.evacuations.prevents(work.request, upstream):
        return False
    if homes_of(context, work).allows(upstream.region):
        return True
    metrics.SENDS_PREVENTED.inc('home')
    logs.event(
        'send_prevented',
        request=work.request,
        upstream=upstream.upstream,
        region=upstream.region,
    )
    return False


def homes_of(context: Context, work: Work) -> home_regions.HomeRegions:
    """Return the home regions of a request.

    A newer state may have changed them since its arrival. A region that
    either of the two excludes is excluded.
    """
    return work.homes.intersect(context.homes.find(work.route, work.account))


def send(
    context: Context,
    work: Work,
    upstream: model.Upstream,
    listener: upstream_connection.AttemptListener,
    metadata: collections.abc.Callable[[float], dialect.ForwardingMetadata],
    require_fresh: bool,
) -> upstream_connection.Attempt:
    """Send a request to an upstream.

    Args:
        context: Shared dependencies of all drivers.
        work: The request.
        upstream: The upstream.
        listener: Receives the callbacks of the attempt.
        metadata: Returns the metadata for the upstream, given the remaining
            time.
        require_fresh: Whether the connection must be new or recently used.
    """
    request = work.exchange.request

    def build() -> h11.Request:
        left_ms = work.deadline_ms - context.loop.now_ms() - SEND_MARGIN_MS
        headers = context.dialect.forwarded_headers(
            request.raw_headers, metadata(left_ms)
        )
        if request.has_body:
            length = str(len(request.body)).encode('ascii')
            headers.append((b'Content-Length', length))
        return h11.Request(
            method=request.method, target=request.target, headers=headers
        )

    attempt = upstream_connection.Attempt(
        context.connections,
        work.request,
        upstream.address,
        listener,
        build,
        request.body or None,
        context.dialect.echoed_request_id,
        require_fresh,
        work.connections,
        echoes_id=work.headers.request is not None,
        may_send=lambda: may_send(context, work, upstream),
    )
    work.connections.append(attempt.pooled)
    return attempt
