"""Decides when each request of an entry VM runs, and on which upstream."""

import random

from eelgrassknot import ids
from eelgrassknot.kernel import events as kernel_events
from eelgrassknot.policy import dependencies
from eelgrassknot.policy import engine_pool
from eelgrassknot.policy import fairness
from eelgrassknot.policy import health
from eelgrassknot.policy import limits
from eelgrassknot.policy import messages
from eelgrassknot.policy import placement
from eelgrassknot.policy import plain
from eelgrassknot.policy import region_budget
from eelgrassknot.policy import retry_budget
from eelgrassknot.policy import status
from eelgrassknot.settings import text as services_text
from eelgrassknot import states

__all__ = ['Dispatcher']

RETRY_AFTER_MS = 1_000.0


class Dispatcher:
    """Handles events and returns dispatches and refusals; does no I/O.

    Args:
        availability_zone: Zone of this VM.
        region: Region of this VM.
        generator: Random number generator.
        options: Enabled mechanisms; all by default.
    """

    def __init__(
        self,
        availability_zone: ids.AvailabilityZoneId,
        region: ids.RegionId,
        generator: random.Random,
        options: placement.PlacementOptions | None = None,
    ) -> None:
        self.availability_zone = availability_zone
        self.region = region
        self.generator = generator
        self.options = options or placement.PlacementOptions()
        self.profiles: dict[ids.RequestId, messages.RequestProfile] = {}
        self.pools: dict[ids.ServiceName, engine_pool.EnginePool] = {}
        self.counters = fairness.TokenCounters()
        self.health_tracker = health.HealthTracker()
        self.plain = plain.PlainPool(region, generator, self.health_tracker)
        self.link = region_budget.RegionBudget()
        self.account_limits = limits.AccountLimits()
        self.retry_budgets: dict[
            ids.ServiceName, retry_budget.RetryBudget
        ] = {}
        self.text: services_text.ServicesText | None = None
        self.withheld: frozenset = frozenset()
        self.upstreams: tuple[kernel_events.UpstreamInfo, ...] = ()
        self.unavailable: dict[ids.ServiceName, ids.ServiceName] = {}
        self.vm_count = 1

    def handle(
        self, event: messages.Event, now_ms: float
    ) -> list[messages.Action]:
        """Handle one event and return the resulting actions.

        Args:
            event: The event.
            now_ms: The present time of this VM's clock.
        """
        match event:
            case messages.TokensProduced(request, count):
                self._handle_tokens(request, count, now_ms)
            case messages.Tick():
                return self._handle_tick(now_ms)
            case messages.RequestArrived(profile):
                return self._handle_arrival(profile, now_ms)
            case messages.RequestEnded(request, complete):
                return self._handle_end(request, complete, now_ms)
            case messages.RetryRequested(request, failed):
                return self._handle_retry(request, failed, now_ms)
            case messages.RequestCancelled(request):
                self._handle_cancellation(request)
            case messages.LoadReported(load):
                return self._handle_load_report(load, now_ms)
            case messages.UpstreamFailed(upstream):
                self._handle_upstream_failure(upstream, now_ms)
            case _:
                return self._handle_update(event, now_ms)
        return []

    def announcement(self, now_ms: float) -> messages.Announcement:
        """Return the state to announce to the peers.

        Args:
            now_ms: The present time.
        """
        shares = [
            view.share()
            for pool in self.pools.values()
            for view in pool.views.values()
        ]
        demands = [
            messages.AccountDemand(account, rate)
            for account, rate in self.account_limits.demands(now_ms).items()
        ]
        return messages.Announcement(tuple(shares), tuple(demands))

    def status(self, now_ms: float) -> status.DispatcherStatus:
        """Return the dispatcher's state for the operators' status page.

        Args:
            now_ms: The present time.
        """
        upstreams = [
            status.engine_status(view, self.health_tracker, now_ms)
            for pool in self.pools.values()
            for view in pool.views.values()
        ]
        upstreams += [
            status.plain_status(
                info, self.plain.running[name], self.health_tracker, now_ms
            )
            for name, info in self.plain.upstreams.items()
        ]
        queued = {name: p.queue.size for name, p in self.pools.items()}
        return status.DispatcherStatus(
            queued, tuple(upstreams), self.link.spilled_bytes
        )

    def _handle_update(
        self, event: messages.Event, now_ms: float
    ) -> list[messages.Action]:
        match event:
            case messages.UpstreamsChanged(upstreams):
                return self._handle_upstreams(upstreams, now_ms)
            case messages.ConfigChanged(text):
                self._configure(text, now_ms)
            case messages.DigestReceived():
                self._handle_digest(event, now_ms)
            case messages.CacheEventsReceived():
                self._handle_cache_events(event)
            case messages.PeerDemandReceived(vm, account, rate):
                self.account_limits.record_peer_demand(
                    vm, account, rate, now_ms
                )
            case messages.VmCountsChanged(count, zone_count):
                self.vm_count = count
                self.account_limits.set_vm_counts(
                    count, zone_count or count, now_ms
                )
                self.link.configure(self.link.link, count, now_ms)
        return []

    def _handle_arrival(
        self, profile: messages.RequestProfile, now_ms: float
    ) -> list[messages.Action]:
        if profile.service in self.unavailable:
            return [
                messages.Refuse(
                    profile.request,
                    states.RefusalReason.DEPENDENCY,
                    RETRY_AFTER_MS,
                )
            ]
        wait_ms = self.account_limits.admit(profile.client_account, now_ms)
        if wait_ms > 0:
            return [
                messages.Refuse(
                    profile.request,
                    states.RefusalReason.ACCOUNT_LIMIT,
                    wait_ms,
                )
            ]
        self._retry_budget(profile.service).earn()
        self.profiles[profile.request] = profile
        if profile.kind is states.ServiceKind.PLAIN:
            return self._forget_refused(
                [self.plain.place(profile, None, now_ms)]
            )
        pool = self._pool(profile.service)
        return self._forget_refused(pool.admit(profile, now_ms))

    def _handle_retry(
        self, request: ids.RequestId, failed: ids.UpstreamId, now_ms: float
    ) -> list[messages.Action]:
        profile = self.profiles.get(request)
        if profile is None:
            return []
        if not self._retry_budget(profile.service).spend():
            actions = self._handle_end(request, False, now_ms)
            refusal = messages.Refuse(
                request, states.RefusalReason.RETRY_BUDGET, RETRY_AFTER_MS
            )
            return [refusal, *actions]
        if profile.kind is states.ServiceKind.PLAIN:
            self.plain.release(request)
            return self._forget_refused(
                [self.plain.place(profile, failed, now_ms)]
            )
        pool = self._pool(profile.service)
        return self._forget_refused(pool.retry(profile, failed, now_ms))

    def _handle_end(
        self, request: ids.RequestId, complete: bool, now_ms: float
    ) -> list[messages.Action]:
        profile = self.profiles.pop(request, None)
        if profile is None:
            return []
        if profile.kind is states.ServiceKind.PLAIN:
            upstream = self.plain.release(request)
            if complete and upstream is not None:
                self.health_tracker.record_success(upstream)
            return []
        pool = self._pool(profile.service)
        pool.end(request, complete, now_ms)
        return self._forget_refused(pool.dispatch_queued(now_ms))

    def _handle_upstream_failure(
        self, upstream: ids.UpstreamId, now_ms: float
    ) -> None:
        self.health_tracker.record_failure(upstream, now_ms)
        for pool in self.pools.values():
            if upstream in pool.views:
                pool.candidates.invalidate()

    def _handle_cancellation(self, request: ids.RequestId) -> None:
        profile = self.profiles.get(request)
        if profile is None or profile.service not in self.pools:
            return
        pool = self.pools[profile.service]
        if pool.cancel(request):
            del self.profiles[request]

    def _handle_tokens(
        self, request: ids.RequestId, count: int, now_ms: float
    ) -> None:
        profile = self.profiles.get(request)
        if profile is None or count <= 0:
            return
        self.account_limits.charge(profile.client_account, count, now_ms)
        self._pool(profile.service).record_tokens(request, count, now_ms)

    def _handle_tick(self, now_ms: float) -> list[messages.Action]:
        self.account_limits.rebalance(now_ms)
        actions: list[messages.Action] = []
        for pool in self.pools.values():
            actions += pool.tick(now_ms)
        return self._forget_refused(actions)

    def _handle_load_report(
        self, load: messages.EngineLoad, now_ms: float
    ) -> list[messages.Action]:
        if load.upstream in self.plain.upstreams:
            self.plain.update_load(load.upstream, load.running)
            return []
        for pool in self.pools.values():
            if load.upstream in pool.views:
                pool.update_load(load, now_ms)
                return self._forget_refused(pool.dispatch_queued(now_ms))
        return []

    def _handle_digest(
        self, event: messages.DigestReceived, now_ms: float
    ) -> None:
        self.account_limits.record_peer_contact(event.vm, now_ms)
        if not self.options.digests:
            return
        for pool in self.pools.values():
            view = pool.views.get(event.upstream)
            if view is not None:
                view.add_digest(event, now_ms)

    def _handle_cache_events(
        self, event: messages.CacheEventsReceived
    ) -> None:
        for pool in self.pools.values():
            if event.upstream in pool.views:
                pool.affinity.stored(event.upstream, event.stored)
                pool.affinity.evicted(event.upstream, event.evicted)

    def _handle_upstreams(
        self,
        upstreams: tuple[kernel_events.UpstreamInfo, ...],
        now_ms: float,
    ) -> list[messages.Action]:
        self.upstreams = upstreams
        self._update_unavailable()
        by_service: dict[ids.ServiceName, list] = {
            name: [] for name in self.pools
        }
        self.plain.upstreams = {}
        for info in upstreams:
            if info.kind is states.ServiceKind.PLAIN:
                self.plain.upstreams[info.upstream] = info
            else:
                by_service.setdefault(info.service, []).append(info)
        actions: list[messages.Action] = []
        for name, infos in by_service.items():
            pool = self._pool(name)
            pool.set_engines(infos, now_ms)
            actions += pool.dispatch_queued(now_ms)
        return self._forget_refused(actions)

    def _configure(
        self, text: services_text.ServicesText, now_ms: float
    ) -> None:
        self.text = text
        self.withheld = frozenset(text.withheld_upstreams)
        self._update_unavailable()
        self.plain.withheld = self.withheld
        self.counters.weights = {
            account.client_account: account.weight
            for account in text.client_accounts
        }
        self.account_limits.configure(text.client_accounts, now_ms)
        self.link.configure(text.region_link, self.vm_count, now_ms)
        for pool in self.pools.values():
            service = text.service(pool.service)
            if service is not None:
                pool.configure(service, self.withheld)

    def _update_unavailable(self) -> None:
        if self.text is not None:
            self.unavailable = dependencies.unavailable_dependencies(
                self.text, self.upstreams
            )

    def _pool(self, name: ids.ServiceName) -> engine_pool.EnginePool:
        pool = self.pools.get(name)
        if pool is not None:
            return pool
        pool = engine_pool.EnginePool(
            name,
            self.availability_zone,
            self.region,
            self.generator,
            self.counters,
            self.health_tracker,
            self.link,
            self.options,
        )
        self.pools[name] = pool
        service = self.text.service(name) if self.text else None
        if service is not None:
            pool.configure(service, self.withheld)
        return pool

    def _retry_budget(self, name: ids.ServiceName) -> retry_budget.RetryBudget:
        return self.retry_budgets.setdefault(name, retry_budget.RetryBudget())

    def _forget_refused(
        self, actions: list[messages.Action]
    ) -> list[messages.Action]:
        for action in actions:
            if isinstance(action, messages.Refuse):
                self.profiles.pop(action.request, None)
        return actions
