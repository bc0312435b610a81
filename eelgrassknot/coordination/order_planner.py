"""Plans the engine orders of a region for the holder of its lease."""

from eelgrassknot.coordination import order_messages as messages
from eelgrassknot.coordination import orders
from eelgrassknot.coordination import pacing
from eelgrassknot.coordination import rollout
from eelgrassknot import ids
from eelgrassknot.kernel import events as kernel_events
from eelgrassknot.settings import text as services_text
from eelgrassknot import states

__all__ = ['OrderPlanner']

# An order that an earlier holder sent may still arrive this late.
MAX_ORDER_FLIGHT_MS = 5_000.0
WEIGHT_LOAD_BURST = 1.0
MS_PER_MINUTE = 60_000.0


class OrderPlanner:
    """Decides on all engine orders of one region.

    Only the holder of the region's lease gives orders. A new holder
    waits until no order of an earlier one can still arrive, reads what
    each engine holds, and orders what is missing until it holds it.
    """

    def __init__(self) -> None:
        self.text: services_text.ServicesText | None = None
        self.upstreams: dict[ids.UpstreamId, kernel_events.UpstreamInfo] = {}
        self.held: dict[ids.UpstreamId, orders.HeldState] = {}
        self.pending: dict[ids.UpstreamId, messages.WriteIntent] = {}
        self.rollouts: dict[ids.ServiceName, rollout.Rollout] = {}
        self.saved: dict[ids.ServiceName, rollout.RolloutRecord] = {}
        self.fencing: ids.FencingNumber | None = None
        self.quiet_until_ms = 0.0
        self.weights: pacing.TokenBucket | None = None

    def handle(
        self, event: messages.Event, now_ms: float
    ) -> list[messages.Action]:
        """Take in one event and return what is to be done.

        Args:
            event: What happened.
            now_ms: The present time of this VM's clock.
        """
        match event:
            case messages.LeaseGained():
                self._gain(event, now_ms)
            case messages.LeaseLost():
                self._lose()
            case messages.TextAdopted(text):
                self._adopt(text, now_ms)
            case messages.EnginesKnown(upstreams):
                self._know(upstreams)
            case messages.StateRead(upstream, state):
                self.held[upstream] = state
            case messages.StateUnknown(upstream):
                self.held.pop(upstream, None)
            case messages.RolloutUnkept(service):
                # The next round keeps it again.
                self.saved.pop(service, None)
            case messages.IntentWritten(upstream):
                return self._send(upstream)
            case messages.IntentLost(upstream):
                self.pending.pop(upstream, None)
            case messages.OrderAnswered(upstream, stale):
                self._answered(upstream, stale)
            case messages.RequestSeen(service, upstream, bad):
                if service in self.rollouts:
                    self.rollouts[service].request_ended(upstream, bad)
            case messages.Tick():
                return self._plan(now_ms)
        return []

    def _gain(self, event: messages.LeaseGained, now_ms: float) -> None:
        self._lose()
        self.fencing = event.fencing
        self.quiet_until_ms = now_ms + MAX_ORDER_FLIGHT_MS
        self.saved = {r.service: r for r in event.records}
        self._fresh_bucket(now_ms)

    def _lose(self) -> None:
        self.fencing = None
        self.held.clear()
        self.pending.clear()
        self.rollouts.clear()
        self.saved.clear()
        self.weights = None

    def _adopt(self, text: services_text.ServicesText, now_ms: float) -> None:
        before = self.text
        self.text = text
        if before is None or before.weight_store != text.weight_store:
            self._fresh_bucket(now_ms)

    def _fresh_bucket(self, now_ms: float) -> None:
        if self.text is None or self.fencing is None:
            return
        per_ms = self.text.weight_store.loads_per_minute / MS_PER_MINUTE
        self.weights = pacing.TokenBucket(per_ms, WEIGHT_LOAD_BURST, now_ms)

    def _know(self, upstreams: tuple[kernel_events.UpstreamInfo, ...]) -> None:
        self.upstreams = {
            upstream.upstream: upstream
            for upstream in upstreams
            if upstream.state is states.UpstreamState.LIVE
        }
        for gone in self.held.keys() - self.upstreams.keys():
            del self.held[gone]
            self.pending.pop(gone, None)

    def _answered(self, upstream: ids.UpstreamId, stale: bool) -> None:
        self.pending.pop(upstream, None)
        # What the engine holds now is unknown until it is read again.
        self.held.pop(upstream, None)
        if stale:
            self._lose()

    def _send(self, upstream: ids.UpstreamId) -> list[messages.Action]:
        intent = self.pending.get(upstream)
        info = self.upstreams.get(upstream)
        if intent is None or info is None:
            return []
        if intent.fencing != self.fencing:
            return []
        order = intent.order
        request = orders.OrderRequest(
            intent.fencing,
            order.order,
            order.model,
            order.version,
            order.adapter,
            order.role,
        )
        return [messages.SendOrder(upstream, info.address, request)]

    def _plan(self, now_ms: float) -> list[messages.Action]:
        if self.text is None or self.fencing is None:
            return []
        if now_ms < self.quiet_until_ms:
            return []
        actions: list[messages.Action] = []
        for name in orders.dependency_order(self.text):
            service = self.text.service(name)
            if service.model is None:
                continue
            if not all(self._available(n) for n in service.depends_on):
                continue
            actions += self._plan_service(service, now_ms)
        return actions

    def _plan_service(
        self, service: services_text.Service, now_ms: float
    ) -> list[messages.Action]:
        progress = self._progress(service)
        plan = self._rollout(service)
        plan.observe(progress, now_ms)
        actions: list[messages.Action] = []
        record = plan.record()
        if self.saved.get(service.service) != record:
            self.saved[service.service] = record
            actions.append(messages.RolloutChanged(record, self.fencing))
        continued = [
            upstream
            for upstream, reached in progress.items()
            if reached is rollout.EngineProgress.CHANGING
        ]
        for upstream in continued + plan.startable():
            actions += self._next_order(service, upstream, now_ms)
        return actions

    def _next_order(
        self,
        service: services_text.Service,
        upstream: ids.UpstreamId,
        now_ms: float,
    ) -> list[messages.Action]:
        state = self.held.get(upstream)
        if state is None or upstream in self.pending:
            return []
        if orders.is_loading(service.model, state):
            return []
        missing = orders.missing_orders(service.model, state)
        if not missing:
            return []
        order = missing[0]
        if order.loads_weights and not self.weights.take(now_ms):
            return []
        intent = messages.WriteIntent(
            upstream, service.service, order, self.fencing
        )
        self.pending[upstream] = intent
        return [intent]

    def _rollout(self, service: services_text.Service) -> rollout.Rollout:
        plan = self.rollouts.get(service.service)
        if plan is None or plan.target != service.model:
            record = self.saved.get(service.service)
            plan = rollout.Rollout(service.service, service.model, record)
            self.rollouts[service.service] = plan
        return plan

    def _progress(
        self, service: services_text.Service
    ) -> dict[ids.UpstreamId, rollout.EngineProgress]:
        progress = {}
        for upstream in self._members(service.service):
            state = self.held.get(upstream)
            progress[upstream] = self._reached(service, upstream, state)
        return progress

    def _reached(
        self,
        service: services_text.Service,
        upstream: ids.UpstreamId,
        state: orders.HeldState | None,
    ) -> rollout.EngineProgress:
        if upstream in self.pending:
            return rollout.EngineProgress.CHANGING
        if state is None:
            return rollout.EngineProgress.UNKNOWN
        if orders.is_loading(service.model, state):
            return rollout.EngineProgress.CHANGING
        if not orders.missing_orders(service.model, state):
            return rollout.EngineProgress.UPDATED
        held = state.held(service.model.model)
        if held is None:
            return rollout.EngineProgress.EMPTY
        if held.version == service.model.version:
            return rollout.EngineProgress.CHANGING
        return rollout.EngineProgress.OUTDATED

    def _members(self, service: ids.ServiceName) -> list[ids.UpstreamId]:
        return sorted(
            upstream.upstream
            for upstream in self.upstreams.values()
            if upstream.service == service
        )

    def _available(self, name: ids.ServiceName) -> bool:
        service = self.text.service(name)
        members = self._members(name)
        if service.model is None:
            return bool(members)
        return any(
            self._reached(service, upstream, self.held.get(upstream))
            is rollout.EngineProgress.UPDATED
            for upstream in members
        )
