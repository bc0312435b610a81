"""Decisions on the engines of one service."""

import random

from eelgrassknot import ids
from eelgrassknot.kernel import events as kernel_events
from eelgrassknot.policy import admission
from eelgrassknot.policy import engine_view
from eelgrassknot.policy import fairness
from eelgrassknot.policy import health
from eelgrassknot.policy import length
from eelgrassknot.policy import memory
from eelgrassknot.policy import messages
from eelgrassknot.policy import objective
from eelgrassknot.policy import placement
from eelgrassknot.policy import prefix
from eelgrassknot.policy import reach
from eelgrassknot.policy import region_budget
from eelgrassknot.settings import text as services_text
from eelgrassknot import states

__all__ = ['EnginePool']

INTERACTIVE_PATIENCE_MS = 30_000.0
BATCH_PATIENCE_MS = 300_000.0
DEFAULT_RETRY_AFTER_MS = 1_000.0
REFRESH_INTERVAL_MS = 250.0
FEEDBACK_INTERVAL_MS = 1_000.0


class EnginePool:
    """Queue, views and placement of one service of engines.

    Args:
        service: Name of the service.
        availability_zone: Zone of this VM.
        region: Region of this VM.
        generator: Source of random choices.
        counters: Token counters of the accounts.
        book: Health of the upstreams.
        link: Budget of the link between regions.
        options: Mechanisms in use.
    """

    def __init__(
        self,
        service: ids.ServiceName,
        availability_zone: ids.AvailabilityZoneId,
        region: ids.RegionId,
        generator: random.Random,
        counters: fairness.TokenCounters,
        book: health.HealthTracker,
        link: region_budget.RegionBudget,
        options: placement.PlacementOptions,
    ) -> None:
        self.service = service
        self.region = region
        self.counters = counters
        self.book = book
        self.link = link
        self.options = options
        self.views: dict[ids.UpstreamId, engine_view.EngineView] = {}
        self.reach = reach.Reach(self.views, region, book, options.ejection)
        self.held_at: dict[ids.RequestId, engine_view.EngineView] = {}
        self.queue = admission.EntryQueue(counters, options.fairness)
        self.predictor = length.LengthPredictor()
        self.affinity = prefix.PrefixAffinity()
        self.placement = placement.Placement(
            availability_zone, generator, options
        )
        self.knobs = objective.knobs(services_text.Objective())
        self.max_tokens = services_text.DEFAULT_MAX_TOKENS
        self.refreshed_ms = 0.0
        self.fed_back_ms = 0.0

    def configure(
        self, service: services_text.Service, withheld: frozenset
    ) -> None:
        """Take in the service as another services text has it."""
        self.knobs = objective.knobs(service.objective)
        self.max_tokens = service.max_tokens
        self.reach.withheld = withheld
        self.reach.forget()

    def know(
        self, infos: list[kernel_events.UpstreamInfo], now_ms: float
    ) -> None:
        """Take in the whole set of the service's engines."""
        fresh = bool(self.views)
        self.reach.forget()
        named = {info.upstream for info in infos}
        for info in infos:
            view = self.views.get(info.upstream)
            if view is None:
                self.views[info.upstream] = engine_view.EngineView(info)
            else:
                view.info = info
            self.book.ensure(info.upstream, now_ms, fresh)
        near = [i.upstream for i in infos if i.region == self.region]
        self.placement.lane.assign(near)
        for upstream in list(self.views):
            if upstream not in named:
                del self.views[upstream]
                self.affinity.forget(upstream)
                self.book.forget(upstream)

    def arrive(
        self, profile: messages.RequestProfile, now_ms: float
    ) -> list[messages.Action]:
        """Queue a request, or refuse it if it would wait too long."""
        if not self.reach.usable(True, now_ms) and not self.reach.usable(
            False, now_ms
        ):
            return [
                messages.Refuse(
                    profile.request,
                    states.RefusalReason.NO_UPSTREAM,
                    DEFAULT_RETRY_AFTER_MS,
                )
            ]
        deadline_ms = profile.deadline_ms
        if deadline_ms is None:
            deadline_ms = now_ms + _patience_ms(profile.priority)
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
                self.queue.left += 1
                return [action]
        return self._enqueue(queued)

    def retry(
        self,
        profile: messages.RequestProfile,
        failed: ids.UpstreamId,
        now_ms: float,
    ) -> list[messages.Action]:
        """Place a request elsewhere, or queue it again."""
        self.end(profile.request, False, now_ms)
        for near in (True, False):
            views = self.reach.usable(near, now_ms)
            others = [view for view in views if view.info.upstream != failed]
            action = self._place(profile, others, now_ms)
            if action is not None:
                return [action]
        deadline_ms = profile.deadline_ms
        if deadline_ms is None:
            deadline_ms = now_ms + _patience_ms(profile.priority)
        return self._enqueue(
            admission.QueuedRequest(profile, now_ms, deadline_ms)
        )

    def cancel(self, request: ids.RequestId) -> bool:
        """Take a request out of the queue; return whether it was there."""
        queued = self.queue.find(request)
        if queued is not None:
            self.queue.remove(queued)
        return queued is not None

    def produced(
        self, request: ids.RequestId, count: int, now_ms: float
    ) -> None:
        """Count tokens of a running request."""
        view = self.held_at.get(request)
        if view is None:
            return
        held = view.own[request]
        before = held.produced
        held.produced = before + count
        held.length_class.progressed(before, held.produced, now_ms)
        over = held.produced - max(before, held.upfront)
        if over > 0:
            self.counters.charge(held.profile.client_account, over)
        if held.progress_ms is not None:
            known = self.book.upstreams.get(view.info.upstream)
            if known is not None:
                known.produced(count, now_ms - held.progress_ms)
        held.progress_ms = now_ms

    def end(
        self, request: ids.RequestId, complete: bool, now_ms: float
    ) -> None:
        """Count a request as no longer held by its engine."""
        view = self.held_at.pop(request, None)
        if view is None:
            return
        held = view.remove(request)
        if held is None:
            return
        unused = held.upfront - held.produced
        if unused > 0:
            self.counters.charge(held.profile.client_account, -unused)
        if complete:
            held.length_class.ended(held.produced, now_ms)
            self.book.record_success(view.info.upstream)

    def report(self, load: messages.EngineLoad, now_ms: float) -> None:
        """Take in an engine's load report."""
        view = self.views.get(load.upstream)
        if view is None:
            return
        preemptions = view.report(load, now_ms)
        if preemptions:
            view.limit.preempted(load.running, now_ms)

    def tick(self, now_ms: float) -> list[messages.Action]:
        """Do what time alone calls for."""
        if now_ms - self.refreshed_ms >= REFRESH_INTERVAL_MS:
            self.refreshed_ms = now_ms
            for view in self.views.values():
                view.refresh()
            self.placement.learn(list(self.views.values()), now_ms)
        if now_ms - self.fed_back_ms >= FEEDBACK_INTERVAL_MS:
            self.fed_back_ms = now_ms
            self._feed_back(now_ms)
        self.queue.measure(now_ms)
        if not self.queue.size:
            return []
        actions = self._refuse_expired(now_ms)
        return actions + self.pump(now_ms)

    def pump(self, now_ms: float) -> list[messages.Action]:
        """Dispatch queued requests as far as the engines hold them."""
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
        near = self.reach.usable(True, now_ms)
        action = self._place(queued.profile, near, now_ms)
        if action is not None:
            return action
        return self._spill(queued, bool(near), now_ms)

    def _enqueue(
        self, queued: admission.QueuedRequest
    ) -> list[messages.Action]:
        loser = self.queue.push(queued)
        if loser is None:
            return []
        wait_ms = self.queue.expected_wait_ms(loser.profile)
        return [
            messages.Refuse(
                loser.profile.request,
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
            self.knobs,
            self.affinity,
            self.book,
            now_ms,
        )
        if view is None:
            return None
        upfront = min(length_class.expected, max_tokens)
        held = engine_view.HeldRequest(
            profile, length_class, max_tokens, upfront, now_ms, footprint
        )
        self._take(view, held, now_ms)
        crosses = view.info.region != self.region
        return messages.Dispatch(profile.request, view.info, crosses)

    def _take(
        self,
        view: engine_view.EngineView,
        held: engine_view.HeldRequest,
        now_ms: float,
    ) -> None:
        profile = held.profile
        view.add(held)
        self.held_at[profile.request] = view
        held.length_class.started(now_ms)
        self.affinity.stored(view.info.upstream, profile.prefixes)
        prompt_cost = profile.prompt_tokens * fairness.PROMPT_TOKEN_COST
        charge = held.upfront + prompt_cost
        self.counters.charge(profile.client_account, charge)
        self.queue.charged(charge)

    def _spill(
        self,
        queued: admission.QueuedRequest,
        has_near: bool,
        now_ms: float,
    ) -> messages.Dispatch | None:
        far = self.reach.usable(False, now_ms)
        if not far:
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
        if has_near and waited_ms < self.link.worth_ms(size):
            return None
        if not self.link.has_room(size, now_ms):
            return None
        action = self._place(profile, far, now_ms)
        if action is not None:
            self.link.spend(size, now_ms)
        return action

    def _feed_back(self, now_ms: float) -> None:
        if self.options.ejection:
            self.book.eject_slow(list(self.views), now_ms)
            self.reach.forget()
        for view in self.views.values():
            running = self.placement.running(view, now_ms)
            known = self.book.upstreams.get(view.info.upstream)
            slow = (
                known is not None
                and known.samples > 0
                and known.interval_ms > self.knobs.token_gap_ms
            )
            if slow:
                view.limit.gap_too_long(running, now_ms)
            else:
                view.limit.quiet(running, now_ms)


def _patience_ms(priority: states.Priority) -> float:
    if priority is states.Priority.BATCH:
        return BATCH_PATIENCE_MS
    return INTERACTIVE_PATIENCE_MS
