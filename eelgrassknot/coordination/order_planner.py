"""Plans the engine orders of a region for the holder of its lease."""

from eelgrassknot.coordination import order_messages as messages
from eelgrassknot.coordination import orders
from eelgrassknot.coordination import rollout
from eelgrassknot.coordination import token_bucket
from eelgrassknot import ids
from eelgrassknot.kernel import events as kernel_events
from eelgrassknot.settings import text as services_text
from eelgrassknot import states

__all__ = ['OrderPlanner']

# Maximum delay with which an order of an earlier holder may still arrive.
MAX_ORDER_FLIGHT_MS = 5_000.0
WEIGHT_LOAD_BURST = 1.0
MS_PER_MINUTE = 60_000.0


class OrderPlanner:
    """Plans all engine orders of one region.

    Only the holder of the region's lease gives orders. A new holder
    waits until no order of an earlier holder can still arrive. It then
    reads the state of each engine and issues orders until each engine
    has reached its target state.
    """

    def __init__(self) -> None:
        self.text: services_text.ServicesText | None = None
        self.upstreams: dict[ids.UpstreamId, kernel_events.UpstreamInfo] = {}
        self.engine_states: dict[ids.UpstreamId, orders.EngineState] = {}
        self.pending: dict[ids.UpstreamId, messages.WriteIntent] = {}
        self.rollouts: dict[ids.ServiceName, rollout.Rollout] = {}
        self.saved_records: dict[ids.ServiceName, rollout.RolloutRecord] = {}
        self.fencing: ids.FencingNumber | None = None
        self.wait_until_ms = 0.0
        self.load_bucket: token_bucket.TokenBucket | None = None

    def handle(
        self, event: messages.Event, now_ms: float
    ) -> list[messages.Action]:
        """Process an event and return the actions to perform.

        Args:
            event: The event.
            now_ms: Current time of this VM's clock.
        """
        match event:
            case messages.LeaseGained():
                self._on_lease_gained(event, now_ms)
            case messages.LeaseLost():
                self._reset()
            case messages.ConfigUpdated(text):
                self._on_config_updated(text, now_ms)
            case messages.UpstreamsUpdated(upstreams):
                self._set_upstreams(upstreams)
            case messages.EngineStateRead(upstream, state):
                self.engine_states[upstream] = state
            case messages.EngineStateUnknown(upstream):
                self.engine_states.pop(upstream, None)
            case messages.RolloutWriteFailed(service):
                # The next round saves the record again.
                self.saved_records.pop(service, None)
            case messages.IntentWritten(upstream):
                return self._send(upstream)
            case messages.IntentDropped(upstream):
                self.pending.pop(upstream, None)
            case messages.OrderAnswered(upstream, stale):
                self._on_order_answered(upstream, stale)
            case messages.RequestEnded(service, upstream, bad):
                if service in self.rollouts:
                    self.rollouts[service].request_ended(upstream, bad)
            case messages.Tick():
                return self._plan(now_ms)
        return []

    def _on_lease_gained(
        self, event: messages.LeaseGained, now_ms: float
    ) -> None:
        self._reset()
        self.fencing = event.fencing
        self.wait_until_ms = now_ms + MAX_ORDER_FLIGHT_MS
        self.saved_records = {r.service: r for r in event.records}
        self._reset_load_bucket(now_ms)

    def _reset(self) -> None:
        self.fencing = None
        self.engine_states.clear()
        self.pending.clear()
        self.rollouts.clear()
        self.saved_records.clear()
        self.load_bucket = None

    def _on_config_updated(
        self, text: services_text.ServicesText, now_ms: float
    ) -> None:
        before = self.text
        self.text = text
        if before is None or before.weight_store != text.weight_store:
            self._reset_load_bucket(now_ms)

    def _reset_load_bucket(self, now_ms: float) -> None:
        if self.text is None or self.fencing is None:
            return
        per_ms = self.text.weight_store.loads_per_minute / MS_PER_MINUTE
        self.load_bucket = token_bucket.TokenBucket(
            per_ms, WEIGHT_LOAD_BURST, now_ms
        )

    def _set_upstreams(
        self, upstreams: tuple[kernel_events.UpstreamInfo, ...]
    ) -> None:
        self.upstreams = {
            upstream.upstream: upstream
            for upstream in upstreams
            if upstream.state is states.UpstreamState.LIVE
        }
        for gone in self.engine_states.keys() - self.upstreams.keys():
            del self.engine_states[gone]
            self.pending.pop(gone, None)

    def _on_order_answered(
        self, upstream: ids.UpstreamId, stale: bool
    ) -> None:
        self.pending.pop(upstream, None)
        # The engine's state is unknown until it is read again.
        self.engine_states.pop(upstream, None)
        if stale:
            self._reset()

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
        if now_ms < self.wait_until_ms:
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
        progress = self._service_progress(service)
        plan = self._rollout(service)
        plan.observe(progress, now_ms)
        actions: list[messages.Action] = []
        record = plan.record()
        if self.saved_records.get(service.service) != record:
            self.saved_records[service.service] = record
            actions.append(messages.SaveRollout(record, self.fencing))
        continued = [
            upstream
            for upstream, reached in progress.items()
            if reached is rollout.EngineProgress.CHANGING
        ]
        for upstream in continued + plan.engines_to_change():
            actions += self._next_order(service, upstream, now_ms)
        return actions

    def _next_order(
        self,
        service: services_text.Service,
        upstream: ids.UpstreamId,
        now_ms: float,
    ) -> list[messages.Action]:
        state = self.engine_states.get(upstream)
        if state is None or upstream in self.pending:
            return []
        if orders.is_loading(service.model, state):
            return []
        missing = orders.missing_orders(service.model, state)
        if not missing:
            return []
        order = missing[0]
        if order.loads_weights and not self.load_bucket.take(now_ms):
            return []
        intent = messages.WriteIntent(
            upstream, service.service, order, self.fencing
        )
        self.pending[upstream] = intent
        return [intent]

    def _rollout(self, service: services_text.Service) -> rollout.Rollout:
        plan = self.rollouts.get(service.service)
        if plan is None or plan.target != service.model:
            record = self.saved_records.get(service.service)
            plan = rollout.Rollout(service.service, service.model, record)
            self.rollouts[service.service] = plan
        return plan

    def _service_progress(
        self, service: services_text.Service
    ) -> dict[ids.UpstreamId, rollout.EngineProgress]:
        progress = {}
        for upstream in self._members(service.service):
            state = self.engine_states.get(upstream)
            progress[upstream] = self._engine_progress(
                service, upstream, state
            )
        return progress

    def _engine_progress(
        self,
        service: services_text.Service,
        upstream: ids.UpstreamId,
        state: orders.EngineState | None,
    ) -> rollout.EngineProgress:
        if upstream in self.pending:
            return rollout.EngineProgress.CHANGING
        if state is None:
            return rollout.EngineProgress.UNKNOWN
        if orders.is_loading(service.model, state):
            return rollout.EngineProgress.CHANGING
        if not orders.missing_orders(service.model, state):
            return rollout.EngineProgress.UPDATED
        held = state.find_model(service.model.model)
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
            self._engine_progress(
                service, upstream, self.engine_states.get(upstream)
            )
            is rollout.EngineProgress.UPDATED
            for upstream in members
        )
