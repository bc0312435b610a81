"""Part of the daemon that exchanges digests with the zone's peers."""

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
    """Tells the dispatcher what peers know, and peers what it does."""

    def __init__(self, node: kernel_node.Node) -> None:
        self.node = node
        self.zone = node.settings.availability_zone
        self.digest = digests.Digest(self.zone)
        self.reachability = reachability.Reachability()
        self.accounts: dict[int, ids.ClientAccountId] = {}
        self.members: tuple[ids.VmId, ...] = ()
        self.held: dict[ids.VmId, set[int]] = {}
        self.lock = threading.Lock()
        node.hub.subscribe(events.UpstreamsChanged, self._upstreams)
        node.hub.subscribe(events.ConfigAdopted, self._adopted)
        node.hub.subscribe(membership_part.EntryVmsChanged, self._members)

    def bind(self) -> None:
        """Learn of the parts that this one works with."""
        members = self.node.part_set.parts
        self.dispatch = members['dispatch']
        self.upstreams = members['upstreams']
        members['peers'].link.on_message(messages.Heartbeat, self._heard)
        members['membership'].payload = self.payload
        members['membership'].far_loads = self.far_loads

    def status(self) -> dict[str, object]:
        """Return how old the loads are that this VM decides by."""
        now_ms = self.node.clock.now_ms()
        with self.lock:
            ages = [now_ms - heard for _, heard in self.digest.loads.values()]
        return {
            'digests': {
                'loads': len(ages),
                'oldest_load_ms': round(max(ages, default=0.0)),
            }
        }

    def payload(self, budget_bytes: float) -> digests.Payload:
        """Return what goes out with the next heartbeat."""
        now_ms = self.node.clock.now_ms()
        self._announce(now_ms)
        with self.lock:
            return self.digest.take(budget_bytes, now_ms)

    def _announce(self, now_ms: float) -> None:
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
            self.digest.announce(held, demands)

    def far_loads(self) -> tuple[messages.ZoneLoad, ...]:
        """Return the sums of this zone for other zones."""
        with self.lock:
            return self.digest.zone_loads(self.node.clock.now_ms())

    def observed(
        self, info: events.UpstreamInfo, entry: messages.LoadEntry
    ) -> None:
        """Take in a load that this VM observed itself."""
        with self.lock:
            self.digest.observed(entry, self.node.clock.now_ms())
        self._pass_on(self.node.settings.vm, info, entry)

    def cache_seen(
        self, info: events.UpstreamInfo, entry: messages.CacheEntry
    ) -> None:
        """Take in cache events that this VM read itself."""
        with self.lock:
            self.digest.cache_seen(entry)
        self._pass_on_cache(info, entry)

    def _pass_on(
        self,
        vm: ids.VmId,
        info: events.UpstreamInfo,
        entry: messages.LoadEntry,
    ) -> None:
        now_ms = self.node.clock.now_ms()
        with self.lock:
            reachable = self.reachability.heard(
                info.upstream, vm, entry.reachable, now_ms
            )
        self.upstreams.tell(
            upstream_membership.Reachable(info.upstream, reachable)
        )
        if entry.leaving:
            self.upstreams.tell(
                upstream_membership.LeavingHeard(info.upstream, info.address)
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

    def _pass_on_cache(
        self, info: events.UpstreamInfo, entry: messages.CacheEntry
    ) -> None:
        self.dispatch.notify(
            policy_messages.CacheEventsSeen(
                info.upstream,
                _prefixes(entry.stored),
                _prefixes(entry.evicted),
            )
        )

    def _heard(self, envelope: messages.Envelope) -> None:
        heartbeat = envelope.message
        for load in heartbeat.loads:
            self._heard_load(envelope.vm, load)
        for held in heartbeat.held:
            self._heard_held(envelope.vm, held)
        for demand in heartbeat.demands:
            self._heard_demand(envelope.vm, demand)
        for cache in heartbeat.cache:
            info = self._info(cache.upstream)
            if info is not None:
                self._pass_on_cache(info, cache)
        if heartbeat.zones:
            self._heard_zones(envelope.vm, heartbeat.zones)

    def _info(self, key: int) -> events.UpstreamInfo | None:
        with self.lock:
            return self.digest.upstreams.get(key)

    def _heard_load(self, vm: ids.VmId, load: messages.LoadEntry) -> None:
        now_ms = self.node.clock.now_ms()
        info = self._info(load.upstream)
        if info is None:
            return
        if load.reachable:
            with self.lock:
                if not self.digest.told(load, now_ms):
                    return
            self.observers.heard(info.upstream)
        self._pass_on(vm, info, load)

    @property
    def observers(self) -> typing.Any:
        """Part that polls; it starts after this one."""
        return self.node.part_set.parts['observer']

    def _heard_held(self, vm: ids.VmId, held: messages.HeldEntry) -> None:
        info = self._info(held.upstream)
        if info is None:
            return
        self.held.setdefault(vm, set()).add(held.upstream)
        self.dispatch.notify(
            policy_messages.DigestReceived(
                vm, info.upstream, held.running, held.expected_tokens
            )
        )

    def _heard_demand(
        self, vm: ids.VmId, demand: messages.DemandEntry
    ) -> None:
        account = self.accounts.get(demand.client_account)
        if account is not None:
            rate = demand.milli_requests_per_second / 1_000
            self.dispatch.notify(
                policy_messages.AccountDemandHeard(vm, account, rate)
            )

    def _heard_zones(
        self, vm: ids.VmId, loads: tuple[messages.ZoneLoad, ...]
    ) -> None:
        foreign = [
            load for load in loads if load.availability_zone != self.zone
        ]
        if vm not in self.members:
            # From another zone's gateway: this VM tells its own zone.
            with self.lock:
                self.digest.forward(foreign)
        for load in foreign:
            self._tell_zone(load)

    def _tell_zone(self, load: messages.ZoneLoad) -> None:
        with self.lock:
            known = [
                info
                for info in self.digest.upstreams.values()
                if info.service == load.service
                and info.availability_zone == load.availability_zone
            ]
        now_ms = self.node.clock.now_ms()
        for key in load.leaving:
            info = self._info(key)
            if info is not None:
                self.upstreams.tell(
                    upstream_membership.LeavingHeard(
                        info.upstream, info.address
                    )
                )
        for info in known if load.upstreams else ():
            share = _average(info, load, now_ms)
            self.dispatch.notify(policy_messages.LoadReported(share))

    def _upstreams(self, event: events.UpstreamsChanged) -> None:
        with self.lock:
            self.digest.know(event.upstreams)

    def _adopted(self, event: events.ConfigAdopted) -> None:
        self.accounts = {
            rendezvous.name_hash(account.client_account): (
                account.client_account
            )
            for account in event.text.client_accounts
        }

    def _members(self, event: membership_part.EntryVmsChanged) -> None:
        gone = set(self.members) - set(event.members)
        self.members = event.members
        for vm in gone:
            for key in self.held.pop(vm, ()):
                info = self._info(key)
                if info is not None:
                    self.dispatch.notify(
                        policy_messages.DigestReceived(vm, info.upstream, 0, 0)
                    )
        self.dispatch.notify(
            policy_messages.EntryVmsKnown(event.count, len(event.members))
        )


def _average(
    info: events.UpstreamInfo, load: messages.ZoneLoad, now_ms: float
) -> policy_messages.EngineLoad:
    count = load.upstreams
    return policy_messages.EngineLoad(
        info.upstream,
        # Sums have no one clock; the time of receipt stands for it.
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
