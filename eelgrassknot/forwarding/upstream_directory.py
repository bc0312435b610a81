"""Directory of the upstreams listed in the platform's store.

Entries expire during a store outage, because servers cannot refresh them.
Live servers write theirs again soon after the store has recovered; until
then a missing entry does not mean that the server has gone.
"""

import collections.abc

from eelgrassknot.forwarding import model
from eelgrassknot import logs
from eelgrassknot import states

__all__ = ['UpstreamDirectory']

RECOVERY_GRACE_MS = 2_200.0
"""How long expired entries are kept after the store has recovered; ms.
Live servers write them again within 2 s."""

LeavingCallback = collections.abc.Callable[[str], None]


class UpstreamDirectory:
    """Known upstreams and their state.

    Args:
        on_leaving: Called with the name of each upstream that is leaving
            or has left.

    Attributes:
        upstreams: All listed upstreams, including those that are leaving.
        expiring: Upstreams that are no longer listed, with the time at
            which they are removed.
        warm_until_ms: When each upstream reaches its full speed.
    """

    def __init__(self, on_leaving: LeavingCallback) -> None:
        self.on_leaving = on_leaving
        self.upstreams: dict[str, model.Upstream] = {}
        self.expiring: dict[str, float] = {}
        self.warm_until_ms: dict[str, float] = {}
        self.store_recovered_ms = float('-inf')

    def record_store_recovery(self, now_ms: float) -> None:
        """Record that the store responds again after an outage."""
        self.store_recovered_ms = now_ms

    def put(self, upstream: model.Upstream, now_ms: float) -> None:
        """Add or update an entry."""
        name = upstream.upstream
        before = self.upstreams.get(name)
        self.expiring.pop(name, None)
        if before is not None and before.started_at_ms != (
            upstream.started_at_ms
        ):
            # Restarted under the same name: its running requests are lost.
            self.on_leaving(name)
            before = None
        self.upstreams[name] = upstream
        self.warm_until_ms[name] = now_ms + upstream.warm_up_ms
        was_live = before is None or (
            before.state is states.UpstreamState.LIVE
        )
        if before is None or before.state is not upstream.state:
            logs.event(
                'upstream_listed',
                upstream=name,
                service=upstream.service,
                address=upstream.address,
                state=upstream.state.value,
            )
        if was_live and upstream.state is states.UpstreamState.LEAVING:
            self.on_leaving(name)

    def remove(self, name: str, now_ms: float) -> None:
        """Handle the removal of an entry from the store."""
        if name not in self.upstreams or name in self.expiring:
            return
        back_by_ms = self.store_recovered_ms + RECOVERY_GRACE_MS
        live = self.upstreams[name].state is states.UpstreamState.LIVE
        if live and now_ms < back_by_ms:
            self.expiring[name] = back_by_ms
            return
        self._remove(name)

    def expire(self, now_ms: float) -> None:
        """Remove the upstreams whose entries were not restored in time."""
        for name, due_ms in list(self.expiring.items()):
            if now_ms >= due_ms:
                del self.expiring[name]
                self._remove(name)

    def _remove(self, name: str) -> None:
        upstream = self.upstreams.pop(name)
        self.warm_until_ms.pop(name, None)
        logs.event('upstream_gone', upstream=name, address=upstream.address)
        self.on_leaving(name)
