"""Until when each upstream is cold, and the rate that it tolerates then.

An upstream is cold for some time after a start, and may become cold again
at any moment. Its entry states how long it stays cold, and so do its
responses.
"""

import collections.abc

import msgspec

from eelgrassknot import ids

__all__ = ['ColdPhase', 'ListedUpstream', 'WarmUpTable']

MAX_STARTS = 1_024
"""Number of upstreams whose start is remembered after they are unlisted; a
crashed upstream is unlisted before it returns."""


class ListedUpstream(msgspec.Struct, frozen=True):
    """What the deployment's state and the entry say of one upstream.

    Attributes:
        started_at_ms: Start of the upstream's process, on its own clock.
        warm_until_ms: When it is warm, according to its entry.
        duration_ms: How long upstreams of its service are cold.
        per_s: Requests per second that it tolerates while it is cold; 0 if
            it has no such limit.
    """

    upstream: ids.UpstreamId
    started_at_ms: int
    warm_until_ms: float
    duration_ms: float
    per_s: float


class ColdPhase(msgspec.Struct, frozen=True):
    """One phase in which an upstream is cold.

    Attributes:
        since_ms: When this VM learned that it is cold.
    """

    since_ms: float
    until_ms: float


class WarmUpTable:
    """Cold upstreams that tolerate a limited rate.

    An entry may be older than a response, so it only extends a phase; a
    response replaces what is known.

    Attributes:
        listed: The listed upstreams.
        phases: Phase of each upstream that is cold or was so until now.
        starts: Start of the process of each upstream, oldest first.

    Example:
        >>> table = WarmUpTable()
        >>> listed = ListedUpstream('a', 1, 500.0, 1_000.0, 22.0)
        >>> table.update_listed([listed], 0.0)
        ['a']
        >>> table.per_s('a', 499.0), table.per_s('a', 500.0)
        (22.0, None)
        >>> table.read('a', 1, 300.0, 600.0)
        True
        >>> table.per_s('a', 899.0)
        22.0
    """

    def __init__(self) -> None:
        self.listed: dict[ids.UpstreamId, ListedUpstream] = {}
        self.phases: dict[ids.UpstreamId, ColdPhase] = {}
        self.starts: dict[ids.UpstreamId, int] = {}

    @property
    def has_rates(self) -> bool:
        """Whether some listed upstream tolerates a limited rate."""
        return any(each.per_s for each in self.listed.values())

    def per_s(self, upstream: ids.UpstreamId, now_ms: float) -> float | None:
        """Return the rate that an upstream tolerates, or None if it is warm.

        None too if its service states no rate.
        """
        phase = self.phases.get(upstream)
        if phase is None or now_ms >= phase.until_ms:
            return None
        return self.listed[upstream].per_s

    def update_listed(
        self, listed: collections.abc.Iterable[ListedUpstream], now_ms: float
    ) -> list[ids.UpstreamId]:
        """Apply the entries; return the upstreams that have become cold."""
        before = self.listed
        self.listed = {each.upstream: each for each in listed}
        turned_cold = []
        for upstream, each in self.listed.items():
            until_ms = each.warm_until_ms
            known = before.get(upstream)
            if known is not None and known.warm_until_ms == until_ms:
                # The same entry again; a response may have replaced it.
                until_ms = now_ms
            if self.starts.get(upstream, each.started_at_ms) != (
                each.started_at_ms
            ):
                self.phases.pop(upstream, None)
                until_ms = max(each.warm_until_ms, now_ms + each.duration_ms)
            self._record_start(each)
            phase = self.phases.get(upstream)
            if not each.per_s:
                continue
            if phase is not None:
                until_ms = max(until_ms, phase.until_ms)
            if self._set(upstream, until_ms, now_ms):
                turned_cold.append(upstream)
        for upstream in list(self.phases):
            if upstream not in self.listed or not self.listed[upstream].per_s:
                del self.phases[upstream]
        return turned_cold

    def read(
        self,
        upstream: ids.UpstreamId,
        started_at_ms: int,
        left_ms: float,
        now_ms: float,
    ) -> bool:
        """Apply the statement of a response.

        Args:
            upstream: The upstream.
            started_at_ms: Start of the process that the request was sent to.
            left_ms: How long it stays cold.
            now_ms: The present time.

        Returns:
            Whether the upstream has become cold.
        """
        listed = self.listed.get(upstream)
        if listed is None or listed.started_at_ms != started_at_ms:
            return False
        return bool(listed.per_s) and self._set(
            upstream, now_ms + left_ms, now_ms
        )

    def assume_cold(self, upstream: ids.UpstreamId, now_ms: float) -> bool:
        """Treat an upstream as started now; return whether a phase begins."""
        listed = self.listed.get(upstream)
        if listed is None or not listed.per_s:
            return False
        phase = self.phases.get(upstream)
        until_ms = now_ms + listed.duration_ms
        if phase is not None:
            until_ms = max(until_ms, phase.until_ms)
        return self._set(upstream, until_ms, now_ms)

    def end_past(self, now_ms: float) -> list[ids.UpstreamId]:
        """Return the upstreams that have become warm, each once."""
        ended = [
            upstream
            for upstream, phase in self.phases.items()
            if now_ms >= phase.until_ms
        ]
        for upstream in ended:
            del self.phases[upstream]
        return ended

    def _set(
        self, upstream: ids.UpstreamId, until_ms: float, now_ms: float
    ) -> bool:
        """Set the end of the phase; return whether a phase begins."""
        phase = self.phases.get(upstream)
        is_new = phase is None or now_ms >= phase.until_ms
        if until_ms <= now_ms and phase is None:
            return False
        since_ms = now_ms if is_new else phase.since_ms
        self.phases[upstream] = ColdPhase(since_ms, until_ms)
        return is_new and until_ms > now_ms

    def _record_start(self, listed: ListedUpstream) -> None:
        self.starts.pop(listed.upstream, None)
        self.starts[listed.upstream] = listed.started_at_ms
        while len(self.starts) > max(MAX_STARTS, len(self.listed)):
            del self.starts[next(iter(self.starts))]
