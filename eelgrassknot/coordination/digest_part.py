"""Daemon part that exchanges digests with the peers of the zone."""

import threading
import typing

from eelgrassknot.coordination import digest as digests
from eelgrassknot.coordination import membership_part
from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot.coordination import reachability
from eelgrassknot.coordination import rendezvous
from eelgrassknot.coordination import upstream_membership
from eelgrassknot import ids
from eelgrassknot.kernel import events
from eelgrassknot.kernel import node as kernel_node
from eelgrassknot.kernel import parts
from eelgrassknot.policy import messages as policy_messages
from eelgrassknot import states

__all__ = ['DigestPart']

PREFIX_BYTES = 8


@parts.part('digests', after=('membership', 'upstreams', 'dispatch'))
class DigestPart(parts.Part):
    """Passes digests between the dispatcher and the peers."""

    def __init__(self, node: kernel_node.Node) -> None:
        self.node = node
        self.zone = node.settings.availability_zone
        self.digest = digests.Digest(self.zone)
        self.reachability = reachability.Reachability()
        self.accounts: dict[int, ids.ClientAccountId] = {}
        self.members: tuple[ids.VmId, ...] = ()
        self.in_flight_keys: dict[ids.VmId, set[int]] = {}
        self.lock = threading.Lock()
        node.hub.subscribe(events.UpstreamsChanged, self._on_upstreams_changed)
        node.hub.subscribe(events.ConfigAdopted, self._on_config_adopted)
        node.hub.subscribe(
            membership_part.EntryVmsChanged, self._on_entry_vms_changed
        )

    def bind(self) -> None:
        """Look up the parts that this one uses, and register with them."""
        others = self.node.part_set.parts
        self.dispatch = others['dispatch']
        self.upstreams = others['upstreams']
        others['peers'].link.on_message(messages.Heartbeat, self._on_heartbeat)
        others['membership'].payload_source = self.next_payload
        others['membership'].zone_load_source = self.zone_loads

    def status(self) -> dict[str, object]:
        """Return the number and maximum age of the known loads."""
        now_ms = self.node.clock.now_ms()
        with self.lock:
            ages = [
                now_ms - received_ms
                for _, received_ms in self.digest.loads.values()
            ]
        return {
            'digests': {
                'loads': len(ages),
                'oldest_load_ms': round(max(ages, default=0.0)),
            }
        }

    def next_payload(self, budget_bytes: float) -> digests.Payload:
        """Return the digest for the next heartbeat."""
        now_ms = self.node.clock.now_ms()
        self._update_dispatch_state(now_ms)
        with self.lock:
            return self.digest.take(budget_bytes, now_ms)

    def _update_dispatch_state(self, now_ms: float) -> None:
        with self.dispatch.lock:
            announcement = self.dispatch.dispatcher.announcement(now_ms)
        held = {
            share.upstream: (share.running, share.expected_tokens)
            for share in announcement.upstreams
        }
        demands = {
            demand.client_account: demand.requests_per_second
            for demand in announcement.demands
        }
        with self.lock:
            self.digest.update_dispatch_state(held, demands)

    def zone_loads(self) -> tuple[messages.ZoneLoad, ...]:
        """Return the load sums of this zone, for other zones."""
        with self.lock:
            return self.digest.zone_loads(self.node.clock.now_ms())

    def record_own_load(
        self, info: events.UpstreamInfo, entry: messages.LoadEntry
    ) -> None:
        """Record a load that this VM polled."""
        with self.lock:
            self.digest.record_own_load(entry, self.node.clock.now_ms())
        self._report_load(self.node.settings.vm, info, entry)

    def record_own_cache(
        self, info: events.UpstreamInfo, entry: messages.CacheEntry
    ) -> None:
        """Record cache events that this VM polled."""
        with self.lock:
            self.digest.add_cache_entry(entry)
        self._report_cache(info, entry)

    def _report_load(
        self,
        vm: ids.VmId,
        info: events.UpstreamInfo,
        entry: messages.LoadEntry,
    ) -> None:
        now_ms = self.node.clock.now_ms()
        with self.lock:
            reachable = self.reachability.record_report(
                info.upstream, vm, entry.reachable, now_ms
            )
        self.upstreams.handle(
            upstream_membership.ReachabilityChanged(info.upstream, reachable)
        )
        if entry.leaving:
            self.upstreams.handle(
                upstream_membership.LeavingReported(
                    info.upstream, info.address
                )
            )
        if not entry.reachable:
            return
        state = states.UpstreamState.LIVE
        if entry.leaving:
            state = states.UpstreamState.LEAVING
        self.dispatch.notify(
            policy_messages.LoadReported(
                policy_messages.EngineLoad(
                    info.upstream,
                    entry.at_ms,
                    entry.kv_tokens_used,
                    entry.kv_tokens_total,
                    entry.running,
                    entry.waiting,
                    entry.preemptions,
                    state,
                )
            )
        )

    def _report_cache(
        self, info: events.UpstreamInfo, entry: messages.CacheEntry
    ) -> None:
        self.dispatch.notify(
            policy_messages.CacheEventsReceived(
                info.upstream,
                _prefixes(entry.stored),
                _prefixes(entry.evicted),
            )
        )

    def _on_heartbeat(self, envelope: messages.Envelope) -> None:
        heartbeat = envelope.message
        for load in heartbeat.loads:
            self._receive_load(envelope.vm, load)
        for held in heartbeat.held:
            self._receive_in_flight(envelope.vm, held)
        for demand in heartbeat.demands:
            self._receive_demand(envelope.vm, demand)
        for cache in heartbeat.cache:
            info = self._find_upstream(cache.upstream)
            if info is not None:
                self._report_cache(info, cache)
        if heartbeat.zones:
            self._receive_zone_loads(envelope.vm, heartbeat.zones)

    def _find_upstream(self, key: int) -> events.UpstreamInfo | None:
        with self.lock:
            return self.digest.upstreams.get(key)

    def _receive_load(self, vm: ids.VmId, load: messages.LoadEntry) -> None:
        now_ms = self.node.clock.now_ms()
        info = self._find_upstream(load.upstream)
        if info is None:
            return
        if load.reachable:
            with self.lock:
                if not self.digest.record_peer_load(load, now_ms):
                    return
            self.observer.record_peer_report(info.upstream)
        self._report_load(vm, info, load)

    @property
    def observer(self) -> typing.Any:
        """Observer part; it is created after this one."""
        return self.node.part_set.parts['observer']

    def _receive_in_flight(
        self, vm: ids.VmId, held: messages.InFlightEntry
    ) -> None:
        info = self._find_upstream(held.upstream)
        if info is None:
            return
        self.in_flight_keys.setdefault(vm, set()).add(held.upstream)
        self.dispatch.notify(
            policy_messages.DigestReceived(
                vm, info.upstream, held.running, held.expected_tokens
            )
        )

    def _receive_demand(
        self, vm: ids.VmId, demand: messages.DemandEntry
    ) -> None:
        account = self.accounts.get(demand.client_account)
        if account is not None:
            rate = demand.milli_requests_per_second / 1_000
            self.dispatch.notify(
                policy_messages.PeerDemandReceived(vm, account, rate)
            )

    def _receive_zone_loads(
        self, vm: ids.VmId, loads: tuple[messages.ZoneLoad, ...]
    ) -> None:
        remote_loads = [
            load for load in loads if load.availability_zone != self.zone
        ]
        if vm not in self.members:
            # Sent by another zone's gateway; forward it to this zone.
            with self.lock:
                self.digest.forward_zone_loads(remote_loads)
        for load in remote_loads:
            self._report_zone_load(load)

    def _report_zone_load(self, load: messages.ZoneLoad) -> None:
        with self.lock:
            known = [
                info
                for info in self.digest.upstreams.values()
                if info.service == load.service
                and info.availability_zone == load.availability_zone
            ]
        now_ms = self.node.clock.now_ms()
        for key in load.leaving:
            info = self._find_upstream(key)
            if info is not None:
                self.upstreams.handle(
                    upstream_membership.LeavingReported(
                        info.upstream, info.address
                    )
                )
        for info in known if load.upstreams else ():
            share = _average(info, load, now_ms)
            self.dispatch.notify(policy_messages.LoadReported(share))

    def _on_upstreams_changed(self, event: events.UpstreamsChanged) -> None:
        with self.lock:
            self.digest.set_upstreams(event.upstreams)

    def _on_config_adopted(self, event: events.ConfigAdopted) -> None:
        self.accounts = {
            rendezvous.name_hash(account.client_account): (
                account.client_account
            )
            for account in event.text.client_accounts
        }

    def _on_entry_vms_changed(
        self, event: membership_part.EntryVmsChanged
    ) -> None:
        removed = set(self.members) - set(event.members)
        self.members = event.members
        for vm in removed:
            for key in self.in_flight_keys.pop(vm, ()):
                info = self._find_upstream(key)
                if info is not None:
                    self.dispatch.notify(
                        policy_messages.DigestReceived(vm, info.upstream, 0, 0)
                    )
        self.dispatch.notify(
            policy_messages.VmCountsChanged(event.count, len(event.members))
        )


def _average(
    info: events.UpstreamInfo, load: messages.ZoneLoad, now_ms: float
) -> policy_messages.EngineLoad:
    count = load.upstreams
    return policy_messages.EngineLoad(
        info.upstream,
        # A sum over upstreams has no single clock; use the receipt time.
        now_ms,
        load.kv_tokens_used // count,
        load.kv_tokens_total // count,
        round(load.running / count),
        round(load.waiting / count),
        load.preemptions // count,
        info.state,
    )


def _prefixes(packed: bytes) -> tuple[str, ...]:
    return tuple(
        packed[start : start + PREFIX_BYTES].hex()
        for start in range(0, len(packed), PREFIX_BYTES)
    )
