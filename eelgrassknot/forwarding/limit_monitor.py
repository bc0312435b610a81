"""Request limits of upstreams, shared with peers, and what they are sent."""

import collections
import collections.abc
import enum

import result

from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot.forwarding import access
from eelgrassknot.forwarding import dialect as dialects
from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import metrics
from eelgrassknot.forwarding import model
from eelgrassknot import ids
from eelgrassknot import logs
from eelgrassknot.policy import upstream_limits

__all__ = ['LimitMonitor', 'Purpose']

COUNT_WINDOW_MS = 4_000.0
"""Span over which the requests to a limited upstream are counted; ms."""
WITHDRAWAL_NEWS_MS = 5_000.0
"""How long peers are told that a limit was withdrawn; ms."""


class Purpose(enum.Enum):
    """Why a request is sent to an upstream."""

    CALL = 'call'
    STREAM = 'stream'
    CONTINUATION = 'continuation'
    TRANSFER = 'transfer'


class LimitMonitor:
    """Reads limits from responses and logs the requests to limited upstreams.

    Args:
        dialect: Adapter of the platform.
        loop: The event loop.
        store_clock: Clock that all VMs share.

    Attributes:
        table: Limits known to this VM.
        sent_ms: Times of this VM's latest requests to each limited upstream.
    """

    def __init__(
        self,
        dialect: dialects.Dialect,
        loop: loops.EventLoop,
        store_clock: access.StoreClock,
    ) -> None:
        self.dialect = dialect
        self.loop = loop
        self.store_clock = store_clock
        self.table = upstream_limits.LimitTable()
        self.sent_ms: dict[ids.UpstreamId, collections.deque[float]] = {}

    def response_started(
        self,
        upstream: model.Upstream,
        status: int,
        headers: list[tuple[bytes, bytes]],
    ) -> None:
        """Read the limit from the head of a response.

        Only a signed response withdraws a limit: one that refuses the
        request may have been written before the upstream looked at its load.
        """
        signed = self.dialect.is_signed(headers)
        refuses = (
            self.dialect.declares_not_executed(status, headers)
            and status != model.MISDIRECTED_REQUEST
        )
        if not signed and not refuses:
            return
        match self.dialect.stated_limit(headers):
            case result.Ok(None) if not signed:
                return
            case result.Ok(per_s):
                self._record(
                    upstream_limits.LimitReading(
                        upstream.upstream,
                        upstream.started_at_ms,
                        per_s,
                        self.loop.now_ms(),
                    )
                )
            case result.Err(error):
                logs.warning(
                    'limit_unreadable',
                    upstream=upstream.upstream,
                    why=str(error),
                )

    def request_sent(
        self,
        upstream: model.Upstream,
        request: ids.RequestId,
        purpose: Purpose,
        attempt: int,
    ) -> None:
        """Log a request to an upstream if that has stated a limit."""
        per_s = self.table.per_s(upstream.upstream)
        if per_s is None:
            return
        now_ms = self.loop.now_ms()
        sent_ms = self.sent_ms.setdefault(
            upstream.upstream, collections.deque()
        )
        sent_ms.append(now_ms)
        while now_ms - sent_ms[0] > COUNT_WINDOW_MS:
            sent_ms.popleft()
        metrics.LIMITED_REQUESTS.inc(purpose.value)
        logs.event(
            'sent_to_limited',
            request=request,
            upstream=upstream.upstream,
            per_s=per_s,
            purpose=purpose.value,
            attempt=attempt,
            own_recent=len(sent_ms),
        )

    def upstreams_changed(
        self, upstreams: dict[ids.UpstreamId, model.Upstream]
    ) -> None:
        """Forget the limits of upstreams that were restarted or are gone."""
        self.table.update_listed(
            {name: each.started_at_ms for name, each in upstreams.items()},
            self.loop.now_ms(),
        )
        for upstream in set(self.sent_ms) - set(self.table.readings):
            del self.sent_ms[upstream]

    def entries(
        self, *sources: upstream_limits.ReadingSource
    ) -> tuple[messages.LimitEntry, ...]:
        """Encode the limits from some sources for a message to peers."""
        now_ms = self.loop.now_ms()
        entries = []
        for reading in self.table.readings.values():
            store_ms = self.store_clock.store_ms(reading.read_ms)
            is_old = now_ms - reading.read_ms > WITHDRAWAL_NEWS_MS
            if store_ms is None or reading.source not in sources:
                continue
            if reading.per_s is None and is_old:
                continue
            entries.append(
                messages.LimitEntry(
                    reading.upstream,
                    reading.started_at_ms,
                    reading.per_s,
                    store_ms,
                )
            )
        return tuple(entries)

    def receive(
        self,
        entries: collections.abc.Iterable[messages.LimitEntry],
        source: upstream_limits.ReadingSource,
    ) -> None:
        """Apply the limits that a peer has read."""
        now_ms = self.loop.now_ms()
        for entry in entries:
            read_ms = self.store_clock.local_ms(entry.store_ms)
            self._record(
                upstream_limits.LimitReading(
                    entry.upstream,
                    entry.started_at_ms,
                    entry.per_s,
                    min(read_ms, now_ms),
                    source,
                )
            )

    def _record(self, reading: upstream_limits.LimitReading) -> None:
        """Apply a reading and log what it changes."""
        change = self.table.update(reading)
        if change is upstream_limits.LimitChange.NONE:
            return
        metrics.LIMITED_UPSTREAMS.set(self.table.limited_count)
        logs.event(
            'upstream_limit',
            upstream=reading.upstream,
            change=change.value,
            per_s=reading.per_s,
            source=reading.source.value,
        )
