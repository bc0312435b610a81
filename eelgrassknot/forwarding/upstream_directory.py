"""Upstreams as the platform's store lists them.

Entries lapse while the store is away, because servers cannot refresh
them. Those whose servers live are back soon after its return; until then
a missing entry says nothing.
"""

import collections.abc

from eelgrassknot.forwarding import model
from eelgrassknot import logs
from eelgrassknot import states

__all__ = ['UpstreamDirectory']

RETURN_GRACE_MS = 2_200.0
"""Lapsed entries are back within 2 s of the store's return; ms."""

Listener = collections.abc.Callable[[str], None]


class UpstreamDirectory:
    """What is known of all upstreams.

    Args:
        leaving: Is called with the name of each that leaves or has left.

    Attributes:
        upstreams: All that are listed, those that are leaving included.
        missing: Those not listed any more, with the time at which they
            are taken for gone.
        warm_until_ms: When each is at its full speed.
    """

    def __init__(self, leaving: Listener) -> None:
        self.leaving = leaving
        self.upstreams: dict[str, model.Upstream] = {}
        self.missing: dict[str, float] = {}
        self.warm_until_ms: dict[str, float] = {}
        self.returned_ms = float('-inf')

    def store_returned(self, now_ms: float) -> None:
        """Take in that the store answers after it was away."""
        self.returned_ms = now_ms

    def put(self, upstream: model.Upstream, now_ms: float) -> None:
        """Take in a new or changed entry."""
        name = upstream.upstream
        before = self.upstreams.get(name)
        self.missing.pop(name, None)
        if before is not None and before.started_at_ms != (
            upstream.started_at_ms
        ):
            # Started again under its name: what ran there is lost.
            self.leaving(name)
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
            self.leaving(name)

    def remove(self, name: str, now_ms: float) -> None:
        """Take in that an entry is gone."""
        if name not in self.upstreams or name in self.missing:
            return
        back_by_ms = self.returned_ms + RETURN_GRACE_MS
        live = self.upstreams[name].state is states.UpstreamState.LIVE
        if live and now_ms < back_by_ms:
            self.missing[name] = back_by_ms
            return
        self._drop(name)

    def step(self, now_ms: float) -> None:
        """Drop those that did not come back in time."""
        for name, due_ms in list(self.missing.items()):
            if now_ms >= due_ms:
                del self.missing[name]
                self._drop(name)

    def _drop(self, name: str) -> None:
        upstream = self.upstreams.pop(name)
        self.warm_until_ms.pop(name, None)
        logs.event('upstream_gone', upstream=name, address=upstream.address)
        self.leaving(name)
