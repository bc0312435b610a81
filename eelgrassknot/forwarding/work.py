"""One request in hand: what the drivers of calls and streams share."""

import collections.abc
import dataclasses
import random
import typing

import h11

from eelgrassknot.forwarding import caller_connection
from eelgrassknot.forwarding import dialect
from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import model
from eelgrassknot.forwarding import upstream_connection
from eelgrassknot import ids
from eelgrassknot.policy import health
from eelgrassknot.policy import plain
from eelgrassknot.policy import retry_budget

if typing.TYPE_CHECKING:
    from eelgrassknot.forwarding import engine_scheduler

__all__ = ['Context', 'Work', 'send']

SEND_MARGIN_MS = 5.0
"""Time kept for the way back of an answer; ms."""


@dataclasses.dataclass
class Context:
    """What all drivers use.

    Attributes:
        book: Health of the upstreams.
        plain_pool: Chooses upstreams of plain services.
        desk: Chooses engines.
        budgets: Retry budget of each service.
        retry_ratio: Repeats that a request of a service earns.
        retry_burst: Returns how many repeats this VM may save: its share
            of what all VMs may make together.
    """

    loop: loops.EventLoop
    links: upstream_connection.UpstreamLinks
    dialect: dialect.Dialect
    generator: random.Random
    book: health.HealthTracker
    plain_pool: plain.PlainPool
    desk: 'engine_scheduler.EngineDesk'
    retry_ratio: float
    retry_burst: collections.abc.Callable[[], float]
    budgets: dict[ids.ServiceName, retry_budget.RetryBudget] = (
        dataclasses.field(default_factory=dict)
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


@dataclasses.dataclass
class Work:
    """One request that is to be forwarded.

    Attributes:
        started_ms: When its head had come.
        deadline_ms: Time by which it has to end.
        rank: Its urgency; 0 is the most urgent.
    """

    exchange: caller_connection.Exchange
    request: ids.RequestId
    route: model.Route
    service: model.Service
    account: ids.ClientAccountId | None
    rank: int
    headers: dialect.CallerHeaders
    started_ms: float
    deadline_ms: float


def send(
    context: Context,
    work: Work,
    upstream: model.Upstream,
    listener: upstream_connection.AttemptListener,
    facts: collections.abc.Callable[[float], dialect.ForwardingFacts],
    proven: bool,
) -> upstream_connection.Attempt:
    """Send a request to an upstream.

    Args:
        context: What drivers use.
        work: The request.
        upstream: Where it goes.
        listener: Is told how it goes.
        facts: Returns what the upstream is told, given the time left.
        proven: Whether only a new or recently used connection will do.
    """
    request = work.exchange.request

    def build() -> h11.Request:
        left_ms = work.deadline_ms - context.loop.now_ms() - SEND_MARGIN_MS
        headers = context.dialect.forwarded_headers(
            request.raw_headers, facts(left_ms)
        )
        if request.has_body:
            length = str(len(request.body)).encode('ascii')
            headers.append((b'Content-Length', length))
        return h11.Request(
            method=request.method, target=request.target, headers=headers
        )

    return upstream_connection.Attempt(
        context.links,
        work.request,
        upstream.address,
        listener,
        build,
        request.body or None,
        context.dialect.answered_request,
        proven,
    )
