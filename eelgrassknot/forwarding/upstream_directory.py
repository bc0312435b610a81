"""Directory of the upstreams listed in the platform's store.

Entries expire during a store outage, because servers cannot refresh them.
Live servers write theirs again soon after the store has recovered; until
then a missing entry does not mean that the server has gone.
"""

import collections.abc

import msgspec

from eelgrassknot.forwarding import model
from eelgrassknot import logs
from eelgrassknot import states

__all__ = ['UpstreamDirectory']

DEFAULT_LAPSE_MS = 3_600.0
MAX_DEPARTED = 1_024
"""Number of departed upstreams that are remembered."""
RECOVERY_GRACE_MS = 2_200.0
"""How long expired entries are kept after the store has recovered; ms.
Live servers write them again within 2 s."""

LeavingCallback = collections.abc.Callable[[str], None]


class UpstreamDirectory:
    """Known upstreams and their state.

    Args:
        on_leaving: Called with the name of each upstream that is leaving
            or has left.
        lapse_ms: Time after which the store removes the entry of a server
            that is silent.

    Attributes:
        upstreams: All listed upstreams, including those that are leaving.
        expiring: Upstreams that are no longer listed, with the time at
            which they are removed.
        warm_until_ms: When each upstream reaches its full speed.
        departed: Upstreams that have left, with the start of their process,
            oldest first.
        announced: Upstreams of which a response has shown that they are
            leaving or gone, with the start of their process, oldest first.
        listed_states: State of each upstream in its entry.
        outdated: Entries of a restored store that contradict what is known,
            with the time from which they count. The store removes that of a
            server that has left before.
    """

    def __init__(
        self,
        on_leaving: LeavingCallback,
        lapse_ms: float = DEFAULT_LAPSE_MS,
    ) -> None:
        self.on_leaving = on_leaving
        self.lapse_ms = lapse_ms
        self.upstreams: dict[str, model.Upstream] = {}
        self.expiring: dict[str, float] = {}
        self.warm_until_ms: dict[str, float] = {}
        self.departed: dict[tuple[str, int], None] = {}
        self.announced: dict[str, int] = {}
        self.listed_states: dict[str, states.UpstreamState] = {}
        self.outdated: dict[str, tuple[model.Upstream, float]] = {}
        self.store_recovered_ms = float('-inf')

    def record_store_recovery(self, now_ms: float) -> None:
        """Record that the store responds again after an outage."""
        self.store_recovered_ms = now_ms

    def announce_leaving(self, name: str, started_at_ms: int) -> bool:
        """Handle a response by which an upstream is leaving or gone.

        It counts until the upstream is restarted, moves to another address,
        or its entry turns from leaving to live: an entry that says live may
        be older.

        Args:
            name: The upstream.
            started_at_ms: Start of its process.

        Returns:
            Whether this changes the state of the upstream.
        """
        known = self.upstreams.get(name)
        if known is None or known.started_at_ms != started_at_ms:
            return False
        if self.announced.get(name) == started_at_ms:
            return False
        self.announced[name] = started_at_ms
        if len(self.announced) > MAX_DEPARTED:
            del self.announced[next(iter(self.announced))]
        if known.state is states.UpstreamState.LEAVING:
            return False
        logs.event('upstream_announced_leaving', upstream=name)
        self.upstreams[name] = _as_leaving(known)
        self.on_leaving(name)
        return True

    def _apply_announcement(self, upstream: model.Upstream) -> model.Upstream:
        """Return an entry with the state that its upstream has announced."""
        name = upstream.upstream
        before = self.listed_states.get(name)
        self.listed_states[name] = upstream.state
        known = self.upstreams.get(name)
        if known is not None and known.address != upstream.address:
            self.announced.pop(name, None)
        if self.announced.get(name) != upstream.started_at_ms:
            self.announced.pop(name, None)
            return upstream
        if upstream.state is not states.UpstreamState.LIVE:
            return upstream
        if before is states.UpstreamState.LEAVING:
            del self.announced[name]
            return upstream
        return _as_leaving(upstream)

    def put(
        self, upstream: model.Upstream, now_ms: float, restored: bool = False
    ) -> None:
        """Add or update an entry.

        Args:
            upstream: The entry.
            now_ms: Current time.
            restored: Whether the entry comes from a copy of the store, and
                may be older than what is known of the upstream.
        """
        name = upstream.upstream
        before = self.upstreams.get(name)
        if restored and self._is_outdated(upstream):
            logs.event('entry_outdated', upstream=name)
            due_ms = now_ms + RECOVERY_GRACE_MS + self.lapse_ms
            self.outdated[name] = (upstream, due_ms)
            return
        self.outdated.pop(name, None)
        upstream = self._apply_announcement(upstream)
        self.departed.pop((name, upstream.started_at_ms), None)
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

    def _is_outdated(self, upstream: model.Upstream) -> bool:
        """Return whether an upstream is known to be further than its entry."""
        key = (upstream.upstream, upstream.started_at_ms)
        known = self.upstreams.get(upstream.upstream)
        if known is None or known.started_at_ms < upstream.started_at_ms:
            return key in self.departed
        if known.started_at_ms > upstream.started_at_ms:
            return True
        return (
            known.state is states.UpstreamState.LEAVING
            and upstream.state is states.UpstreamState.LIVE
        )

    def remove(self, name: str, now_ms: float) -> None:
        """Handle the removal of an entry from the store."""
        self.outdated.pop(name, None)
        if name not in self.upstreams or name in self.expiring:
            return
        back_by_ms = self.store_recovered_ms + RECOVERY_GRACE_MS
        live = self.upstreams[name].state is states.UpstreamState.LIVE
        if live and now_ms < back_by_ms:
            self.expiring[name] = back_by_ms
            return
        self._remove(name)

    def expire(self, now_ms: float) -> None:
        """Remove the upstreams whose entries were not restored in time.

        Entries of a restored store that are still listed after that are used.
        """
        for name, due_ms in list(self.expiring.items()):
            if now_ms >= due_ms:
                del self.expiring[name]
                self._remove(name)
        for upstream, due_ms in list(self.outdated.values()):
            if now_ms >= due_ms:
                self.put(upstream, now_ms)

    def _remove(self, name: str) -> None:
        upstream = self.upstreams.pop(name)
        self.listed_states.pop(name, None)
        self.warm_until_ms.pop(name, None)
        self.departed[name, upstream.started_at_ms] = None
        if len(self.departed) > MAX_DEPARTED:
            del self.departed[next(iter(self.departed))]
        logs.event('upstream_gone', upstream=name, address=upstream.address)
        self.on_leaving(name)


def _as_leaving(upstream: model.Upstream) -> model.Upstream:
    return msgspec.structs.replace(
        upstream, state=states.UpstreamState.LEAVING
    )
