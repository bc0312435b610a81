"""Cold upstreams: what is known of them, and the slots to send to them."""

import collections.abc

from eelgrassknot.forwarding import access
from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import metrics
from eelgrassknot.forwarding import model
from eelgrassknot import ids
from eelgrassknot import logs
from eelgrassknot.policy import cold_permits
from eelgrassknot.policy import warm_up

__all__ = ['ColdUpstreams']

DEFAULT_EXCESS = 1.0
DEFAULT_SLACK = 0.0
"""Without a statement of the platform, a cold upstream gets its rate."""
MIN_TIMER_MS = 1.0
OBSERVATION_INTERVAL_MS = 100.0
"""Interval at which the group is observed between requests; ms."""

Group = tuple[frozenset[ids.VmId], frozenset[ids.VmId]]
Upstreams = collections.abc.Mapping[ids.UpstreamId, model.Upstream]
KnownVms = collections.abc.Mapping[ids.VmId, ids.AvailabilityZoneId]


class ColdUpstreams:
    """Reads what upstreams state of their warm-up, and issues the slots.

    Args:
        loop: The event loop.
        store_clock: Clock that all VMs share.
        known_vms: Returns the zone of each VM of the deployment.
        excess: Factor by which a cold upstream's rate may be exceeded in
            one second, or None for none.
        slack: Further requests that are tolerated, or None for none.

    Attributes:
        table: Cold upstreams known to this VM.
        upstreams: The listed upstreams.
        issuer: Issues the slots that this VM is responsible for.
        group: VMs that shared their slots, and those of them that could
            issue them, when last observed.
        group_changed_ms: When these VMs last changed. Another VM may have
            issued earlier slots.
        observed_ms: When the group was last observed.
        timer_ms: When the next end of a warm-up is handled, or None.
        known_zones: Zone of each VM for which the positions were computed.
        positions: Position of each VM in the order of the slots.
    """

    def __init__(
        self,
        loop: loops.EventLoop,
        store_clock: access.StoreClock,
        known_vms: collections.abc.Callable[[], KnownVms],
        excess: float | None = None,
        slack: float | None = None,
    ) -> None:
        self.loop = loop
        self.store_clock = store_clock
        self.known_vms = known_vms
        self.set_bound(excess, slack)
        self.table = warm_up.WarmUpTable()
        self.issuer = cold_permits.SlotIssuer()
        self.upstreams: Upstreams = {}
        self.group: Group | None = None
        self.group_changed_ms = float('-inf')
        self.observed_ms = float('-inf')
        self.timer_ms: float | None = None
        self.known_zones: KnownVms = {}
        self.positions: dict[ids.VmId, int] = {}

    def set_bound(self, excess: float | None, slack: float | None) -> None:
        """Set how far a cold upstream's rate may be exceeded."""
        self.excess = DEFAULT_EXCESS if excess is None else excess
        self.slack = DEFAULT_SLACK if slack is None else slack

    def per_s(self, upstream: ids.UpstreamId) -> float | None:
        """Return the slots per second of an upstream; None if it is warm."""
        per_s = self.table.per_s(upstream, self.loop.now_ms())
        if per_s is None:
            return None
        return cold_permits.slots_per_s(per_s, self.excess, self.slack)

    def left_ms(self, upstream: ids.UpstreamId) -> float:
        """Return how long an upstream stays cold; ms."""
        phase = self.table.phases.get(upstream)
        if phase is None:
            return 0.0
        return max(0.0, phase.until_ms - self.loop.now_ms())

    def cold(self) -> set[ids.UpstreamId]:
        """Return the cold upstreams."""
        now_ms = self.loop.now_ms()
        return {
            upstream
            for upstream, phase in self.table.phases.items()
            if now_ms < phase.until_ms
        }

    # What is known

    def upstreams_changed(
        self,
        upstreams: Upstreams,
        services: collections.abc.Mapping[ids.ServiceName, model.Service],
        warm_until_ms: collections.abc.Mapping[ids.UpstreamId, float],
    ) -> None:
        """Apply the entries of the listed upstreams."""
        now_ms = self.loop.now_ms()
        self.upstreams = upstreams
        listed = [
            warm_up.ListedUpstream(
                name,
                each.started_at_ms,
                warm_until_ms.get(name, now_ms),
                services[each.service].warm_up_ms,
                services[each.service].warm_up_per_s,
            )
            for name, each in upstreams.items()
            if each.service in services
        ]
        for upstream in self.table.update_listed(listed, now_ms):
            self._turned_cold(upstream, 'entry')
        store_ms = self.store_clock.store_ms(now_ms)
        if store_ms is not None:
            self.issuer.expire(store_ms)
        metrics.COLD_UPSTREAMS.set(len(self.table.phases))

    def stated(self, upstream: model.Upstream, left_ms: float) -> None:
        """Apply the remaining warm-up time that a response states; ms."""
        name = upstream.upstream
        now_ms = self.loop.now_ms()
        if self.table.read(name, upstream.started_at_ms, left_ms, now_ms):
            self._turned_cold(name, 'response')
        elif not left_ms:
            self._end_past()
        else:
            self._schedule_end()

    def zone_restored(self, zone: ids.AvailabilityZoneId) -> None:
        """Treat the upstreams of a zone that is taken back as cold.

        Their entries, which state it, may be read later than the restoration
        of the zone, and all VMs send to them at once.
        """
        now_ms = self.loop.now_ms()
        for name, each in self.upstreams.items():
            if each.availability_zone == zone and self.table.assume_cold(
                name, now_ms
            ):
                self._turned_cold(name, 'zone')

    def _turned_cold(self, upstream: ids.UpstreamId, source: str) -> None:
        phase = self.table.phases[upstream]
        left_ms = phase.until_ms - self.loop.now_ms()
        logs.event(
            'upstream_cold',
            upstream=upstream,
            per_s=self.table.listed[upstream].per_s,
            left_ms=round(left_ms, 1),
            source=source,
        )
        metrics.COLD_UPSTREAMS.set(len(self.table.phases))
        self._schedule_end()

    def _end_past(self) -> None:
        for upstream in self.table.end_past(self.loop.now_ms()):
            logs.event('upstream_warm', upstream=upstream)
        metrics.COLD_UPSTREAMS.set(len(self.table.phases))
        self._schedule_end()

    def _schedule_end(self) -> None:
        """Set a timer for the next end of a phase unless one is set."""
        if not self.table.phases:
            return
        now_ms = self.loop.now_ms()
        until_ms = min(each.until_ms for each in self.table.phases.values())
        due_ms = max(now_ms + MIN_TIMER_MS, until_ms)
        if self.timer_ms is None or due_ms < self.timer_ms:
            self.timer_ms = due_ms
            self.loop.call_later(due_ms - now_ms, self._run_timer)

    def _run_timer(self) -> None:
        self.timer_ms = None
        self._end_past()

    def request_sent(
        self, upstream: ids.UpstreamId, request: ids.RequestId, purpose: str
    ) -> None:
        """Log a request to an upstream if that is cold."""
        if self.table.per_s(upstream, self.loop.now_ms()) is not None:
            metrics.COLD_REQUESTS.inc(purpose)
            logs.event(
                'sent_to_cold',
                request=request,
                upstream=upstream,
                purpose=purpose,
            )

    # Slots

    def observe_group(
        self,
        members: collections.abc.Iterable[ids.VmId],
        issuers: collections.abc.Iterable[ids.VmId],
    ) -> None:
        """Note which VMs share their slots, and which can issue them.

        Args:
            members: This VM and those that share slots with it.
            issuers: Those of them that can issue slots.
        """
        group = frozenset(members), frozenset(issuers)
        self.observed_ms = self.loop.now_ms()
        if group != self.group:
            self.group_changed_ms = self.observed_ms
            self.group = group

    @property
    def is_observation_due(self) -> bool:
        """Whether the group has to be observed again."""
        age_ms = self.loop.now_ms() - self.observed_ms
        return age_ms >= OBSERVATION_INTERVAL_MS and self.table.has_rates

    def next_slot(
        self,
        upstream: ids.UpstreamId,
        per_s: float,
        group: collections.abc.Collection[ids.VmId],
        earliest_ms: float,
    ) -> cold_permits.Slot | None:
        """Return the first slot of a group that has not been issued.

        None if the time of the store is not known.

        Args:
            upstream: The upstream.
            per_s: Slots per second for all VMs together.
            group: This VM and those that share slots with it.
            earliest_ms: Time before which the request is not sent.
        """
        now_ms = self.loop.now_ms()
        store_ms = self.store_clock.store_ms(now_ms)
        if store_ms is None:
            return None
        from_ms = store_ms + self.group_changed_ms - now_ms
        self.issuer.start(upstream, from_ms, store_ms)
        return self.issuer.next_slot(
            upstream,
            per_s,
            self._slot_positions(),
            group,
            store_ms + earliest_ms - now_ms,
            store_ms,
        )

    def _slot_positions(self) -> dict[ids.VmId, int]:
        zones = self.known_vms()
        if zones != self.known_zones:
            self.known_zones = zones
            self.positions = cold_permits.slot_positions(zones)
        return self.positions
