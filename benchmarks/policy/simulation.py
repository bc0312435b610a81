"""One run: entry VMs' decision objects before engine models.

Time moves in quanta under a ManualClock. Reports, digests and cache
events reach the decision objects late, as they would in service.
"""

import collections
import dataclasses
import heapq
import random

from benchmarks.policy import baselines
from benchmarks.policy import engine_model
from benchmarks.policy import measures
from benchmarks.policy import workload
from eelgrassknot import clock as clocks
from eelgrassknot.kernel import events as kernel_events
from eelgrassknot.policy import dispatcher
from eelgrassknot.policy import messages
from eelgrassknot.policy import placement
from eelgrassknot.policy import region_budget
from eelgrassknot.settings import text as services_text
from eelgrassknot import states

__all__ = ['Disturbance', 'Scenario', 'Simulation']

STEP_MS = 10.0
TICK_MS = 50.0
REPORT_INTERVAL_MS = 500.0
REPORT_LAG_MS = 250.0
DIGEST_INTERVAL_MS = 250.0
DIGEST_LAG_MS = 20.0
CACHE_LAG_MS = 1_000.0
PROGRESS_INTERVAL_MS = 200.0
MEMBERSHIP_LAG_MS = 3_000.0
REGION_LATENCY_MS = 30.0
BYTES_PER_TOKEN = region_budget.BYTES_PER_OUTPUT_TOKEN
SLOW_FACTOR = 3.0


@dataclasses.dataclass(frozen=True)
class Disturbance:
    """What goes wrong in a run.

    Attributes:
        lost_at_ms: When the first engine is lost, or None.
        slow_at_ms: When the first engine falls to a third of its speed.
        report_lag_ms: How old load reports are when they come.
        cache_events_lost: Share of cache events that are lost.
        shift_at_ms: When output lengths grow, or None.
        shift_factor: By what factor.
        prompt_factor: Factor on the size of all prompts.
        flood_account: Account that floods, or None.
        flood_factor: How many times its usual rate it then sends.
    """

    lost_at_ms: float | None = None
    slow_at_ms: float | None = None
    report_lag_ms: float = REPORT_LAG_MS
    cache_events_lost: float = 0.0
    shift_at_ms: float | None = None
    shift_factor: float = 2.0
    prompt_factor: float = 1.0
    flood_account: str | None = None
    flood_factor: float = 1.0


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Everything that a run follows from.

    Attributes:
        policy: Name of a baseline, 'oracle' or 'eelgrassknot'.
        rate_per_s: Mean requests a second over all VMs.
        span_ms: Length of the run.
        from_ms: Requests that arrive before are not measured.
        objective: Weights in the text; the deployment's own if None.
        saturate: Whether deadlines are ignored, to measure capacity.
    """

    deployment: str
    policy: str
    rate_per_s: float
    span_ms: float
    measure_from_ms: float
    seed: int
    disturbance: Disturbance = Disturbance()
    options: placement.PlacementOptions = placement.PlacementOptions()
    objective: services_text.Objective | None = None
    saturate: bool = False


class Simulation:
    """State of one run.

    Args:
        scenario: What to run.
    """

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.deployment = workload.DEPLOYMENTS[scenario.deployment]
        self.clock = clocks.ManualClock()
        self.generator = random.Random(f'world/{scenario.seed}')
        self.infos: list[kernel_events.UpstreamInfo] = []
        self.engines: dict[str, engine_model.Engine] = {}
        self.dispatchers: list = []
        self.vms_by_region: dict[str, list[int]] = collections.defaultdict(
            list
        )
        self.scheduled: list[tuple] = []
        self.scheduled_count = 0
        self.requests: dict[str, workload.Request] = {}
        self.vm_by_request: dict[str, int] = {}
        self.active: dict[str, tuple] = {}
        self.reported_tokens: dict[str, int] = {}
        self.in_transit = 0
        self.recorder = measures.FigureRecorder(
            scenario.measure_from_ms, scenario.span_ms
        )
        self.oracle: baselines.Oracle | None = None
        self._make_engines()
        self._make_dispatchers()

    def run(self) -> measures.Figures:
        """Run to the end and return what was measured."""
        scenario = self.scenario
        shape = workload.WorkloadVariation(
            shift_at_ms=scenario.disturbance.shift_at_ms,
            shift_factor=scenario.disturbance.shift_factor,
            prompt_factor=scenario.disturbance.prompt_factor,
            flood_account=scenario.disturbance.flood_account,
            flood_factor=scenario.disturbance.flood_factor,
        )
        arrivals = workload.requests(
            self.deployment,
            scenario.rate_per_s,
            scenario.span_ms,
            scenario.seed,
            shape,
        )
        self._schedule_periodic()
        upcoming = iter(arrivals)
        request = next(upcoming, None)
        measuring = False
        while self.clock.now_ms() < scenario.span_ms:
            self.clock.advance_ms(STEP_MS)
            now_ms = self.clock.now_ms()
            if not measuring and now_ms >= scenario.measure_from_ms:
                measuring = True
                self.recorder.start_measuring(self.engines.values())
            for engine in self.engines.values():
                for progress in engine.advance(now_ms):
                    self._handle_progress(engine, progress, now_ms)
            while self.scheduled and self.scheduled[0][0] <= now_ms:
                _, _, function, arguments = heapq.heappop(self.scheduled)
                function(*arguments)
            while request is not None and request.at_ms <= now_ms:
                self._handle_arrival(request, now_ms)
                request = next(upcoming, None)
        return self.recorder.figures(self)

    def _make_engines(self) -> None:
        spec = engine_model.EngineSpec()
        for zone, region, engines, _ in self.deployment.zones:
            for index in range(engines):
                name = f'{zone}-engine-{index}'
                self.engines[name] = engine_model.Engine(name, spec)
                self.infos.append(
                    kernel_events.UpstreamInfo(
                        upstream=name,
                        service=self.deployment.service,
                        kind=states.ServiceKind.ENGINE,
                        address='127.0.0.1:1',
                        availability_zone=zone,
                        region=region,
                        state=states.UpstreamState.LIVE,
                    )
                )

    def _make_dispatchers(self) -> None:
        policy = self.scenario.policy
        if policy == 'oracle':
            self.oracle = baselines.Oracle(self.engines)
        for zone, region, _, count in self.deployment.zones:
            for _ in range(count):
                index = len(self.dispatchers)
                self.vms_by_region[region].append(index)
                generator = random.Random(f'{self.scenario.seed}/{index}')
                self.dispatchers.append(
                    self._make_dispatcher(policy, zone, region, generator)
                )
        text = self._text()
        for target in self.dispatchers:
            count = len(self.dispatchers)
            target.handle(messages.VmCountsChanged(count), 0.0)
            target.handle(messages.ConfigChanged(text), 0.0)
            target.handle(messages.UpstreamsChanged(tuple(self.infos)), 0.0)

    def _make_dispatcher(self, policy, zone, region, generator):
        if self.oracle is not None:
            return self.oracle
        if policy in baselines.BASELINES:
            return baselines.BASELINES[policy](zone, region, generator)
        return dispatcher.Dispatcher(
            zone, region, generator, self.scenario.options
        )

    def _text(self) -> services_text.ServicesText:
        objective = self.scenario.objective or self.deployment.objective
        service = services_text.Service(
            self.deployment.service,
            states.ServiceKind.ENGINE,
            objective=objective,
            max_tokens=workload.MAX_OUTPUT_TOKENS,
        )
        accounts = tuple(
            services_text.ClientAccount(
                f'account-{index}', '', weight=self.account_weight(index)
            )
            for index in range(len(workload.ACCOUNT_SHARES))
        )
        return services_text.ServicesText(
            self.deployment.name, (), (service,), accounts
        )

    def account_weight(self, index: int) -> float:
        """Return the weight of an account in the text."""
        return workload.ACCOUNT_SHARES[index] * 20

    def _schedule_periodic(self) -> None:
        count = len(self.dispatchers)
        if self.oracle is None:
            for index in range(count):
                offset = TICK_MS * index / count
                self._schedule(offset, self._tick, index)
                offset = DIGEST_INTERVAL_MS * index / count
                if isinstance(self.dispatchers[index], dispatcher.Dispatcher):
                    self._schedule(offset, self._send_digest, index)
        else:
            self._schedule(TICK_MS, self._tick, 0)
        for order, name in enumerate(self.engines):
            offset = REPORT_INTERVAL_MS * order / len(self.engines)
            self._schedule(offset, self._report_load, name)
        self._schedule(PROGRESS_INTERVAL_MS, self._report_all_tokens)
        disturbance = self.scenario.disturbance
        first = next(iter(self.engines))
        if disturbance.lost_at_ms is not None:
            self._schedule(disturbance.lost_at_ms, self._fail_engine, first)
        if disturbance.slow_at_ms is not None:
            self._schedule(disturbance.slow_at_ms, self._slow_engine, first)

    def _schedule(self, at_ms: float, function, *arguments) -> None:
        self.scheduled_count += 1
        entry = (at_ms, self.scheduled_count, function, arguments)
        heapq.heappush(self.scheduled, entry)

    def _handle_arrival(
        self, request: workload.Request, now_ms: float
    ) -> None:
        vms = self.vms_by_region[request.region]
        vm = vms[int(request.vm_draw * len(vms))]
        self.requests[request.name] = request
        self.vm_by_request[request.name] = vm
        self.recorder.record_arrival(request)
        if self.oracle is not None:
            self.oracle.outputs[request.name] = request.output_tokens
        deadline_ms = request.deadline_ms
        if self.scenario.saturate:
            deadline_ms = float('inf')
        profile = messages.RequestProfile(
            request=request.name,
            service=self.deployment.service,
            kind=states.ServiceKind.ENGINE,
            client_account=request.account,
            priority=request.priority,
            prompt_tokens=request.prompt_tokens,
            prefixes=request.prefixes,
            max_tokens=None,
            deadline_ms=deadline_ms,
        )
        self._handle_event(vm, messages.RequestArrived(profile), now_ms)

    def _handle_event(self, vm: int, event, now_ms: float) -> None:
        target = self.dispatchers[vm]
        pending = collections.deque(target.handle(event, now_ms))
        while pending:
            self._apply(pending.popleft(), now_ms)
            if self.oracle is not None:
                pending.extend(self.oracle.handle(messages.Tick(), now_ms))

    def _apply(self, action, now_ms: float) -> None:
        match action:
            case messages.Dispatch(request, info, crosses_region):
                delay_ms = REGION_LATENCY_MS if crosses_region else 0.0
                if crosses_region:
                    self.in_transit += 1
                    self._schedule(
                        now_ms + delay_ms, self._submit, request, info, True
                    )
                else:
                    self._submit(request, info, False)
            case messages.Refuse(request, reason):
                self.recorder.record_refusal(
                    self.requests[request], reason, now_ms
                )

    def _submit(self, name: str, info, crosses_region: bool) -> None:
        request = self.requests[name]
        now_ms = self.clock.now_ms()
        self.in_transit -= crosses_region
        engine = self.engines[info.upstream]
        sequence = engine_model.Sequence(
            name,
            request.priority is states.Priority.INTERACTIVE,
            request.prompt_tokens,
            request.output_tokens,
            request.prefixes,
        )
        if not engine.submit(sequence, now_ms):
            vm = self.vm_by_request[name]
            if engine.failed:
                self._handle_event(
                    vm, messages.UpstreamFailed(engine.name), now_ms
                )
            retry = messages.RetryRequested(name, engine.name)
            self._handle_event(vm, retry, now_ms)
            return
        self.active[name] = (engine, sequence, crosses_region)
        self.reported_tokens[name] = 0
        if crosses_region:
            self.recorder.record_link_bytes(request, request.prompt_tokens * 4)

    def _handle_progress(self, engine, progress, now_ms: float) -> None:
        name = progress.request
        request = self.requests[name]
        vm = self.vm_by_request[name]
        crosses_region = self.active[name][2]
        latency_ms = REGION_LATENCY_MS if crosses_region else 0.0
        if not progress.ended:
            self.recorder.record_first_token(
                request, progress.at_ms + latency_ms
            )
            self._handle_event(vm, messages.FirstTokenReceived(name), now_ms)
            return
        self._report_tokens(name, vm, progress.sequence.base_tokens, now_ms)
        self.recorder.record_end(
            request, progress.sequence, progress.at_ms, True
        )
        if crosses_region:
            self.recorder.record_link_bytes(
                request, request.output_tokens * BYTES_PER_TOKEN
            )
        del self.active[name]
        self._handle_event(vm, messages.RequestEnded(name, True), now_ms)

    def _report_tokens(
        self, name: str, vm: int, produced: int, now_ms: float
    ) -> None:
        count = produced - self.reported_tokens[name]
        if count > 0:
            self.reported_tokens[name] = produced
            target = self.dispatchers[vm]
            target.handle(messages.TokensProduced(name, count), now_ms)

    def _report_all_tokens(self) -> None:
        now_ms = self.clock.now_ms()
        if isinstance(self.dispatchers[0], dispatcher.Dispatcher):
            for name, (engine, sequence, _) in self.active.items():
                if sequence.decoding:
                    produced = engine.produced(sequence)
                    self._report_tokens(
                        name, self.vm_by_request[name], produced, now_ms
                    )
        self._schedule(now_ms + PROGRESS_INTERVAL_MS, self._report_all_tokens)

    def _tick(self, vm: int) -> None:
        now_ms = self.clock.now_ms()
        self._handle_event(vm, messages.Tick(), now_ms)
        self._schedule(now_ms + TICK_MS, self._tick, vm)

    def _send_digest(self, vm: int) -> None:
        now_ms = self.clock.now_ms()
        announcement = self.dispatchers[vm].announcement(now_ms)
        self._schedule(
            now_ms + DIGEST_LAG_MS, self._deliver_digest, vm, announcement
        )
        self._schedule(now_ms + DIGEST_INTERVAL_MS, self._send_digest, vm)

    def _deliver_digest(
        self, vm: int, announcement: messages.Announcement
    ) -> None:
        now_ms = self.clock.now_ms()
        for other, target in enumerate(self.dispatchers):
            if other == vm:
                continue
            for share in announcement.upstreams:
                target.handle(
                    messages.DigestReceived(
                        f'vm-{vm}',
                        share.upstream,
                        share.running,
                        share.expected_tokens,
                    ),
                    now_ms,
                )

    def _report_load(self, name: str) -> None:
        now_ms = self.clock.now_ms()
        engine = self.engines[name]
        self._schedule(now_ms + REPORT_INTERVAL_MS, self._report_load, name)
        self._send_cache_events(engine, now_ms)
        if engine.failed:
            return
        load = messages.EngineLoad(
            upstream=name,
            at_ms=now_ms,
            kv_tokens_used=engine.used,
            kv_tokens_total=engine.spec.kv_tokens,
            running=len(engine.decoding) + len(engine.prefilling),
            waiting=engine.waiting_count(),
            preemptions=engine.preemptions,
            state=states.UpstreamState.LIVE,
        )
        lag_ms = self.scenario.disturbance.report_lag_ms
        event = messages.LoadReported(load)
        self._schedule(now_ms + lag_ms, self._broadcast, event)

    def _send_cache_events(self, engine, now_ms: float) -> None:
        share = self.scenario.disturbance.cache_events_lost
        seen = [
            event
            for event in engine.cache_events
            if share == 0.0 or self.generator.random() >= share
        ]
        engine.cache_events = []
        if not seen or self.oracle is not None:
            return
        event = messages.CacheEventsReceived(
            engine.name,
            tuple(prefix for stored, prefix in seen if stored),
            tuple(prefix for stored, prefix in seen if not stored),
        )
        self._schedule(now_ms + CACHE_LAG_MS, self._broadcast, event)

    def _broadcast(self, event) -> None:
        now_ms = self.clock.now_ms()
        if self.oracle is not None:
            self._handle_event(0, event, now_ms)
            return
        for vm in range(len(self.dispatchers)):
            self._handle_event(vm, event, now_ms)

    def _slow_engine(self, name: str) -> None:
        self.engines[name].slowdown = SLOW_FACTOR

    def _fail_engine(self, name: str) -> None:
        now_ms = self.clock.now_ms()
        engine = self.engines[name]
        for sequence in engine.fail():
            request = self.requests[sequence.request]
            vm = self.vm_by_request[sequence.request]
            del self.active[sequence.request]
            self._handle_event(vm, messages.UpstreamFailed(name), now_ms)
            if sequence.base_tokens == 0:
                event = messages.RetryRequested(sequence.request, name)
            else:
                self.recorder.record_end(request, sequence, now_ms, False)
                event = messages.RequestEnded(sequence.request, False)
            self._handle_event(vm, event, now_ms)
        left = tuple(info for info in self.infos if info.upstream != name)
        event = messages.UpstreamsChanged(left)
        if self.oracle is not None:
            self._broadcast(event)
        else:
            self._schedule(now_ms + MEMBERSHIP_LAG_MS, self._broadcast, event)
