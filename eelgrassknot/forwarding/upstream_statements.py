"""What upstreams say of themselves in the heads of their responses.

A statement counts only in a response that is the upstream's own: a signed
one, or one by which it declares that it has not executed the request. One
with status 421 comes from another process at its address.
"""

import collections.abc

import result

from eelgrassknot.forwarding import cold_upstreams
from eelgrassknot.forwarding import dialect as dialects
from eelgrassknot.forwarding import limit_monitor
from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import metrics
from eelgrassknot.forwarding import model
from eelgrassknot import ids
from eelgrassknot import logs
from eelgrassknot.policy import upstream_pauses

__all__ = ['StatementReader']


class StatementReader:
    """Reads limits, pauses and the leaving of upstreams from responses.

    Args:
        dialect: Adapter of the platform.
        loop: The event loop.
        limits: Receives the limits.
        pauses: Receives the pauses.
        announce_leaving: Called with the upstream and the start of its
            process when it says that it is leaving.
        cold: Receives the remaining warm-up times.

    Attributes:
        logged: Upstreams whose unreadable pause has been logged.
        warm_up_logged: Upstreams whose unreadable warm-up has been logged.
    """

    def __init__(
        self,
        dialect: dialects.Dialect,
        loop: loops.EventLoop,
        limits: limit_monitor.LimitMonitor,
        pauses: upstream_pauses.PauseTable,
        announce_leaving: collections.abc.Callable[
            [ids.UpstreamId, int], None
        ],
        cold: cold_upstreams.ColdUpstreams,
    ) -> None:
        self.dialect = dialect
        self.loop = loop
        self.limits = limits
        self.pauses = pauses
        self.announce_leaving = announce_leaving
        self.cold = cold
        self.logged: set[ids.UpstreamId] = set()
        self.warm_up_logged: set[ids.UpstreamId] = set()

    def response_started(
        self,
        upstream: model.Upstream,
        status: int,
        headers: list[tuple[bytes, bytes]],
    ) -> None:
        """Read the statements in the head of a response."""
        self.limits.response_started(upstream, status, headers)
        if not self._is_own(status, headers):
            return
        self._read_pause(upstream, status, headers)
        self._read_warm_up(upstream, headers)
        if self.dialect.states_leaving(headers):
            self.announce_leaving(upstream.upstream, upstream.started_at_ms)

    def request_sent(
        self,
        upstream: model.Upstream,
        request: ids.RequestId,
        purpose: limit_monitor.Purpose,
        attempt: int,
    ) -> None:
        """Record a request to an upstream."""
        self.limits.request_sent(upstream, request, purpose, attempt)
        self.cold.request_sent(upstream.upstream, request, purpose.value)
        self.pauses.request_sent(upstream.upstream, self.loop.now_ms())

    def misdirected(self, upstream: model.Upstream) -> None:
        """Record that another process answers at an upstream's address."""
        logs.event('upstream_misdirected', upstream=upstream.upstream)
        self.announce_leaving(upstream.upstream, upstream.started_at_ms)

    def wait_ms(self, upstream: ids.UpstreamId) -> float:
        """Return how long an upstream wants nothing from this VM; ms."""
        return self.pauses.wait_ms(upstream, self.loop.now_ms())

    def upstreams_changed(
        self, upstreams: collections.abc.Mapping[str, model.Upstream]
    ) -> None:
        """Forget the statements of upstreams that were restarted."""
        self.pauses.update_listed(
            {name: each.started_at_ms for name, each in upstreams.items()}
        )

    def _is_own(self, status: int, headers: list[tuple[bytes, bytes]]) -> bool:
        if status == model.MISDIRECTED_REQUEST:
            return False
        return self.dialect.is_signed(
            headers
        ) or self.dialect.declares_not_executed(status, headers)

    def _read_warm_up(
        self, upstream: model.Upstream, headers: list[tuple[bytes, bytes]]
    ) -> None:
        match self.dialect.stated_warm_up_ms(headers):
            case result.Ok(None):
                pass
            case result.Ok(left_ms):
                self.cold.stated(upstream, left_ms)
            case result.Err(error):
                if upstream.upstream not in self.warm_up_logged:
                    self.warm_up_logged.add(upstream.upstream)
                    logs.warning(
                        'warm_up_unreadable',
                        upstream=upstream.upstream,
                        why=str(error),
                    )

    def _read_pause(
        self,
        upstream: model.Upstream,
        status: int,
        headers: list[tuple[bytes, bytes]],
    ) -> None:
        now_ms = self.loop.now_ms()
        match self.dialect.stated_pause_ms(status, headers):
            case result.Ok(None):
                self.pauses.answered(upstream.upstream, now_ms)
            case result.Ok(pause_ms):
                pause = self.pauses.record(
                    upstream.upstream,
                    upstream.started_at_ms,
                    pause_ms,
                    now_ms,
                )
                metrics.PAUSES.inc()
                logs.event(
                    'upstream_pause',
                    upstream=upstream.upstream,
                    stated_ms=pause_ms,
                    wait_ms=round(pause.until_ms - now_ms, 1),
                )
            case result.Err(error):
                if upstream.upstream not in self.logged:
                    self.logged.add(upstream.upstream)
                    logs.warning(
                        'pause_unreadable',
                        upstream=upstream.upstream,
                        why=str(error),
                    )
