"""Queueing, placement and load tracking for the engines of one service."""

import random

from eelgrassknot import ids
from eelgrassknot.kernel import events as kernel_events
from eelgrassknot.policy import admission
from eelgrassknot.policy import candidate_engines
from eelgrassknot.policy import engine_view
from eelgrassknot.policy import fairness
from eelgrassknot.policy import health
from eelgrassknot.policy import length
from eelgrassknot.policy import memory
from eelgrassknot.policy import messages
from eelgrassknot.policy import objective
from eelgrassknot.policy import placement
from eelgrassknot.policy import prefix
from eelgrassknot.policy import region_budget
from eelgrassknot.settings import text as services_text
from eelgrassknot import states

__all__ = ['EnginePool']

INTERACTIVE_MAX_WAIT_MS = 30_000.0
BATCH_MAX_WAIT_MS = 300_000.0
DEFAULT_RETRY_AFTER_MS = 1_000.0
REFRESH_INTERVAL_MS = 250.0
FEEDBACK_INTERVAL_MS = 1_000.0


class EnginePool:
    """Request queue, engine views and placement of one service.

    Args:
        service: Name of the service.
        availability_zone: Zone of this VM.
        region: Region of this VM.
        generator: Random number generator.
        counters: Token counters of the client accounts.
        book: Health of the upstreams.
        link: Bandwidth budget of the link between regions.
        options: Enabled mechanisms.
    """

    def __init__(
        self,
        service: ids.ServiceName,
        availability_zone: ids.AvailabilityZoneId,
        region: ids.RegionId,
        generator: random.Random,
        counters: fairness.TokenCounters,
        health_tracker: health.HealthTracker,
        link: region_budget.RegionBudget,
        options: placement.PlacementOptions,
    ) -> None:
        self.service = service
        self.region = region
        self.counters = counters
        self.book = health_tracker
        self.region_budget = link
        self.options = options
        self.views: dict[ids.UpstreamId, engine_view.EngineView] = {}
        self.candidates = candidate_engines.CandidateEngines(
            self.views, region, health_tracker, options.ejection
        )
        self.held_at: dict[ids.RequestId, engine_view.EngineView] = {}
        self.queue = admission.EntryQueue(counters, options.fairness)
        self.predictor = length.LengthPredictor()
        self.affinity = prefix.PrefixAffinity()
        self.placement = placement.Placement(
            availability_zone, generator, options
        )
        self.tuning = objective.placement_tuning(services_text.Objective())
        self.max_tokens = services_text.DEFAULT_MAX_TOKENS
        self.last_refresh_ms = 0.0
        self.last_feedback_ms = 0.0

    def configure(
        self, service: services_text.Service, withheld: frozenset
    ) -> None:
        """Apply the service's settings from a new services text."""
        self.tuning = objective.placement_tuning(service.objective)
        self.max_tokens = service.max_tokens
        self.candidates.withheld = withheld
        self.candidates.invalidate()

    def set_engines(
        self, infos: list[kernel_events.UpstreamInfo], now_ms: float
    ) -> None:
        """Replace the set of the service's engines."""
        fresh = bool(self.views)
        self.candidates.invalidate()
        named = {info.upstream for info in infos}
        for info in infos:
            view = self.views.get(info.upstream)
            if view is None:
                self.views[info.upstream] = engine_view.EngineView(info)
            else:
                view.info = info
            self.book.get_or_create(info.upstream, now_ms, fresh)
        local = [i.upstream for i in infos if i.region == self.region]
        self.placement.long_prompt_engines.assign(local)
        for upstream in list(self.views):
            if upstream not in named:
                del self.views[upstream]
                self.affinity.forget(upstream)
                self.book.forget(upstream)

    def admit(
        self, profile: messages.RequestProfile, now_ms: float
    ) -> list[messages.Action]:
        """Dispatch or queue a request; refuse it if it would wait too long."""
        if not self.candidates.usable(
            True, now_ms
        ) and not self.candidates.usable(False, now_ms):
            return [
                messages.Refuse(
                    profile.request,
                    states.RefusalReason.NO_UPSTREAM,
                    DEFAULT_RETRY_AFTER_MS,
                )
            ]
        deadline_ms = profile.deadline_ms
        if deadline_ms is None:
            deadline_ms = now_ms + _max_wait_ms(profile.priority)
        wait_ms = self.queue.expected_wait_ms(profile)
        if now_ms + wait_ms > deadline_ms:
            return [
                messages.Refuse(
                    profile.request, states.RefusalReason.DEADLINE, wait_ms
                )
            ]
        queued = admission.QueuedRequest(profile, now_ms, deadline_ms)
        if not self.queue.size:
            action = self._start(queued, now_ms)
            if action is not None:
                self.queue.dispatched_count += 1
                return [action]
        return self._enqueue(queued)

    def retry(
        self,
        profile: messages.RequestProfile,
        failed: ids.UpstreamId,
        now_ms: float,
    ) -> list[messages.Action]:
        """Place a request on another engine, or queue it again."""
        self.end(profile.request, False, now_ms)
        for local in (True, False):
            views = self.candidates.usable(local, now_ms)
            other_views = [
                view for view in views if view.info.upstream != failed
            ]
            action = self._place(profile, other_views, now_ms)
            if action is not None:
                return [action]
        deadline_ms = profile.deadline_ms
        if deadline_ms is None:
            deadline_ms = now_ms + _max_wait_ms(profile.priority)
        return self._enqueue(
            admission.QueuedRequest(profile, now_ms, deadline_ms)
        )

    def cancel(self, request: ids.RequestId) -> bool:
        """Remove a request from the queue; return whether it was queued."""
        queued = self.queue.find(request)
        if queued is not None:
            self.queue.remove(queued)
        return queued is not None

    def record_tokens(
        self, request: ids.RequestId, count: int, now_ms: float
    ) -> None:
        """Record output tokens of a running request."""
        view = self.held_at.get(request)
        if view is None:
            return
        request_state = view.own_requests[request]
        before = request_state.produced
        request_state.produced = before + count
        request_state.length_class.record_progress(
            before, request_state.produced, now_ms
        )
        over = request_state.produced - max(
            before, request_state.charged_tokens
        )
        if over > 0:
            self.counters.charge(request_state.profile.client_account, over)
        if request_state.last_progress_ms is not None:
            known = self.book.upstreams.get(view.info.upstream)
            if known is not None:
                known.record_tokens(
                    count, now_ms - request_state.last_progress_ms
                )
        request_state.last_progress_ms = now_ms

    def end(
        self, request: ids.RequestId, complete: bool, now_ms: float
    ) -> None:
        """Record that a request no longer occupies its engine."""
        view = self.held_at.pop(request, None)
        if view is None:
            return
        request_state = view.remove_request(request)
        if request_state is None:
            return
        unused = request_state.charged_tokens - request_state.produced
        if unused > 0:
            self.counters.charge(request_state.profile.client_account, -unused)
        if complete:
            request_state.length_class.record_end(
                request_state.produced, now_ms
            )
            self.book.record_success(view.info.upstream)

    def update_load(self, load: messages.EngineLoad, now_ms: float) -> None:
        """Process an engine's load report."""
        view = self.views.get(load.upstream)
        if view is None:
            return
        preemptions = view.update_load(load, now_ms)
        if preemptions:
            view.limit.on_preemption(load.running, now_ms)

    def tick(self, now_ms: float) -> list[messages.Action]:
        """Do the periodic work: forecasts, feedback and expired requests."""
        if now_ms - self.last_refresh_ms >= REFRESH_INTERVAL_MS:
            self.last_refresh_ms = now_ms
            for view in self.views.values():
                view.refresh_forecasts()
            self.placement.update_typical(list(self.views.values()), now_ms)
        if now_ms - self.last_feedback_ms >= FEEDBACK_INTERVAL_MS:
            self.last_feedback_ms = now_ms
            self._update_concurrency_limits(now_ms)
        self.queue.update_rate(now_ms)
        if not self.queue.size:
            return []
        actions = self._refuse_expired(now_ms)
        return actions + self.dispatch_queued(now_ms)

    def dispatch_queued(self, now_ms: float) -> list[messages.Action]:
        """Dispatch queued requests while the engines have room."""
        actions: list[messages.Action] = []
        if not self.queue.size:
            return actions
        while True:
            queued = self.queue.head(now_ms)
            if queued is None:
                return actions
            action = self._start(queued, now_ms)
            if action is None:
                return actions
            self.queue.pop(queued)
            actions.append(action)

    def _start(
        self, queued: admission.QueuedRequest, now_ms: float
    ) -> messages.Dispatch | None:
        local = self.candidates.usable(True, now_ms)
        action = self._place(queued.profile, local, now_ms)
        if action is not None:
            return action
        return self._spill(queued, bool(local), now_ms)

    def _enqueue(
        self, queued: admission.QueuedRequest
    ) -> list[messages.Action]:
        evicted = self.queue.push(queued)
        if evicted is None:
            return []
        wait_ms = self.queue.expected_wait_ms(evicted.profile)
        return [
            messages.Refuse(
                evicted.profile.request,
                states.RefusalReason.QUEUE_FULL,
                max(wait_ms, DEFAULT_RETRY_AFTER_MS),
            )
        ]

    def _refuse_expired(self, now_ms: float) -> list[messages.Action]:
        actions: list[messages.Action] = []
        for queued in self.queue.expired(now_ms):
            self.queue.remove(queued)
            wait_ms = self.queue.expected_wait_ms(queued.profile)
            actions.append(
                messages.Refuse(
                    queued.profile.request,
                    states.RefusalReason.DEADLINE,
                    max(wait_ms, DEFAULT_RETRY_AFTER_MS),
                )
            )
        return actions

    def _place(
        self,
        profile: messages.RequestProfile,
        views: list[engine_view.EngineView],
        now_ms: float,
    ) -> messages.Dispatch | None:
        if not views:
            return None
        length_class = self.predictor.length_class(
            profile.service,
            profile.client_account,
            profile.prompt_tokens,
            now_ms,
        )
        max_tokens = min(profile.max_tokens or self.max_tokens, 1 << 17)
        footprint = memory.new_footprint(
            length_class, profile.prompt_tokens, max_tokens
        )
        view = self.placement.choose(
            profile,
            footprint,
            views,
            self.tuning,
            self.affinity,
            self.book,
            now_ms,
        )
        if view is None:
            return None
        upfront = min(length_class.expected, max_tokens)
        request_state = engine_view.ActiveRequest(
            profile, length_class, max_tokens, upfront, now_ms, footprint
        )
        self._record_dispatch(view, request_state, now_ms)
        crosses = view.info.region != self.region
        return messages.Dispatch(profile.request, view.info, crosses)

    def _record_dispatch(
        self,
        view: engine_view.EngineView,
        request_state: engine_view.ActiveRequest,
        now_ms: float,
    ) -> None:
        profile = request_state.profile
        view.add_request(request_state)
        self.held_at[profile.request] = view
        request_state.length_class.record_start(now_ms)
        self.affinity.stored(view.info.upstream, profile.prefixes)
        prompt_cost = profile.prompt_tokens * fairness.PROMPT_TOKEN_COST
        charge = request_state.charged_tokens + prompt_cost
        self.counters.charge(profile.client_account, charge)
        self.queue.record_charge(charge)

    def _spill(
        self,
        queued: admission.QueuedRequest,
        has_local: bool,
        now_ms: float,
    ) -> messages.Dispatch | None:
        remote = self.candidates.usable(False, now_ms)
        if not remote:
            return None
        profile = queued.profile
        length_class = self.predictor.length_class(
            profile.service,
            profile.client_account,
            profile.prompt_tokens,
            now_ms,
        )
        size = region_budget.link_bytes(
            profile.prompt_tokens, length_class.expected
        )
        waited_ms = now_ms - queued.arrived_ms
        if has_local and waited_ms < self.region_budget.min_wait_ms(size):
            return None
        if not self.region_budget.has_room(size, now_ms):
            return None
        action = self._place(profile, remote, now_ms)
        if action is not None:
            self.region_budget.spend(size, now_ms)
        return action

    def _update_concurrency_limits(self, now_ms: float) -> None:
        if self.options.ejection:
            self.book.eject_slow(list(self.views), now_ms)
            self.candidates.invalidate()
        for view in self.views.values():
            running = self.placement.running(view, now_ms)
            known = self.book.upstreams.get(view.info.upstream)
            slow = (
                known is not None
                and known.sample_count > 0
                and known.interval_ms > self.tuning.token_gap_ms
            )
            if slow:
                view.limit.on_long_token_gap(running, now_ms)
            else:
                view.limit.on_quiet_interval(running, now_ms)


def _max_wait_ms(priority: states.Priority) -> float:
    if priority is states.Priority.BATCH:
        return BATCH_MAX_WAIT_MS
    return INTERACTIVE_MAX_WAIT_MS
