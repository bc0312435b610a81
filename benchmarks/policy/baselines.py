"""Rules to beat, and the oracle, each in a few lines.

A rule sees the same lagged reports as the policy and decides for one
entry VM. The oracle is one object for all VMs; it knows true lengths and
the true state of the engines.

References:
    Wydrowski et al., "Load is not what you should balance: Introducing
    Prequal", NSDI 2024.
"""

import collections
import random

from benchmarks.policy import engine_model
from eelgrassknot.policy import messages
from eelgrassknot import states

__all__ = ['BASELINES', 'Baseline', 'Oracle']

RETRY_AFTER_MS = 1_000.0
HOT_LOAD_QUANTILE = 0.84
PROBES = 3


class Baseline:
    """A rule without a queue: each request is sent at once."""

    def __init__(self, zone: str, region: str, generator: random.Random):
        self.region = region
        self.generator = generator
        self.upstreams: dict = {}
        self.profiles: dict = {}
        self.upstream_by_request: dict = {}
        self.failed: collections.defaultdict = collections.defaultdict(set)
        self.own_requests: collections.Counter = collections.Counter()
        self.loads: dict = {}
        self.sent_ms: dict = {}
        self.latency_ms: dict = {}

    def handle(self, event, now_ms: float) -> list:
        """Take in one event and return what is to be done."""
        match event:
            case messages.RequestArrived(profile):
                self.profiles[profile.request] = profile
                return [self._place(profile, now_ms)]
            case messages.RetryRequested(request, failed):
                self._release(request)
                self.failed[request].add(failed)
                return [self._place(self.profiles[request], now_ms)]
            case messages.RequestEnded(request):
                self._release(request)
                self.profiles.pop(request, None)
                self.failed.pop(request, None)
            case messages.FirstTokenReceived(request):
                self._first_token(request, now_ms)
            case messages.LoadReported(load):
                self.loads[load.upstream] = load
            case messages.UpstreamsChanged(upstreams):
                self.upstreams = {u.upstream: u for u in upstreams}
        return []

    def choose(self, names: list[str]) -> str:
        """Return the chosen one of the upstreams."""
        raise NotImplementedError

    def reported_requests(self, name: str) -> int:
        """Return an upstream's reported requests."""
        load = self.loads.get(name)
        return 0 if load is None else load.running + load.waiting

    def _place(self, profile, now_ms: float):
        failed = self.failed[profile.request]
        usable = [u for n, u in self.upstreams.items() if n not in failed]
        local = [u.upstream for u in usable if u.region == self.region]
        names = local or [u.upstream for u in usable]
        if not names:
            return messages.Refuse(
                profile.request,
                states.RefusalReason.NO_UPSTREAM,
                RETRY_AFTER_MS,
            )
        chosen = self.choose(names)
        self.own_requests[chosen] += 1
        self.upstream_by_request[profile.request] = chosen
        self.sent_ms[profile.request] = now_ms
        info = self.upstreams[chosen]
        return messages.Dispatch(
            profile.request, info, info.region != self.region
        )

    def _release(self, request) -> None:
        name = self.upstream_by_request.pop(request, None)
        self.sent_ms.pop(request, None)
        if name is not None:
            self.own_requests[name] -= 1

    def _first_token(self, request, now_ms: float) -> None:
        name = self.upstream_by_request.get(request)
        if name is None:
            return
        waited_ms = now_ms - self.sent_ms[request]
        before_ms = self.latency_ms.get(name, waited_ms)
        self.latency_ms[name] = 0.8 * before_ms + 0.2 * waited_ms


class RoundRobin(Baseline):
    """Each in turn."""

    turn = 0

    def choose(self, names):
        """Return the next in turn."""
        self.turn += 1
        return names[self.turn % len(names)]


class LeastConnections(Baseline):
    """The one with the fewest requests of this VM."""

    def choose(self, names):
        """Return the one with the fewest own requests."""
        self.generator.shuffle(names)
        return min(names, key=lambda name: self.own_requests[name])


class ShortestReported(Baseline):
    """The one that reported the fewest requests."""

    def choose(self, names):
        """Return the one with the fewest reported requests."""
        self.generator.shuffle(names)
        return min(names, key=self.reported_requests)


class HotCold(Baseline):
    """Of few probed: the fastest that is not hot, else the least full."""

    def choose(self, names):
        """Return the cold one of lowest latency."""
        probed = self.generator.sample(names, min(PROBES, len(names)))
        known = sorted(self.reported_requests(name) for name in self.upstreams)
        hot = known[int(HOT_LOAD_QUANTILE * (len(known) - 1))]
        cold = [name for name in probed if self.reported_requests(name) <= hot]
        if not cold:
            return min(probed, key=self.reported_requests)
        return min(cold, key=lambda name: self.latency_ms.get(name, 0.0))


class TwoChoices(Baseline):
    """The first version of this project's dispatcher."""

    def choose(self, names):
        """Return the less loaded of two by this VM's own requests."""
        sampled = self.generator.sample(names, min(2, len(names)))
        return min(sampled, key=lambda name: self.own_requests[name])


BASELINES = {
    'round-robin': RoundRobin,
    'least-connections': LeastConnections,
    'shortest-reported': ShortestReported,
    'hot-cold': HotCold,
    'two-choices': TwoChoices,
}


class Oracle:
    """Knows all; lets a request in where no preemption can follow."""

    def __init__(self, engines: dict[str, engine_model.Engine]) -> None:
        self.engines = engines
        self.upstreams: dict = {}
        self.queues = {
            states.Priority.INTERACTIVE: collections.deque(),
            states.Priority.BATCH: collections.deque(),
        }
        self.outputs: dict[str, int] = {}
        self.submitted: dict[str, dict] = collections.defaultdict(dict)

    def handle(self, event, now_ms: float) -> list:
        """Take in one event and return what is to be done."""
        match event:
            case messages.RequestArrived(profile):
                self.queues[profile.priority].append(profile)
            case messages.UpstreamsChanged(upstreams):
                self.upstreams = {u.upstream: u for u in upstreams}
            case messages.RequestEnded(_) | messages.Tick():
                pass
            case _:
                return []
        return self._dispatch_queued(now_ms)

    def _dispatch_queued(self, now_ms: float) -> list:
        actions = []
        for queue in self.queues.values():
            while queue:
                profile = queue[0]
                if profile.deadline_ms <= now_ms:
                    queue.popleft()
                    actions.append(
                        messages.Refuse(
                            profile.request,
                            states.RefusalReason.DEADLINE,
                            RETRY_AFTER_MS,
                        )
                    )
                    continue
                chosen = self._choose(profile)
                if chosen is None:
                    return actions
                queue.popleft()
                info = self.upstreams[chosen]
                # The shell submits before it asks again, so the engine
                # model holds the request by the next choice.
                actions.append(messages.Dispatch(profile.request, info, False))
                return actions
        return actions

    def _choose(self, profile) -> str | None:
        best = None
        best_cost = 0.0
        for name, engine in self.engines.items():
            if engine.failed or name not in self.upstreams:
                continue
            if engine.slowdown > 1.0:
                continue
            cost = self._cost(profile, engine)
            if cost is not None and (best is None or cost < best_cost):
                best = name
                best_cost = cost
        return best

    def _cost(self, profile, engine: engine_model.Engine) -> float | None:
        total = engine.spec.kv_tokens - engine.spec.watermark_tokens
        sequences = [(self.outputs[profile.request], profile.prompt_tokens)]
        for sequence in engine.sequences.values():
            produced = engine.produced(sequence)
            left = sequence.output_tokens - produced
            sequences.append((left, sequence.prompt_tokens + produced))
        sequences.sort(reverse=True)
        context = 0
        peak = 0
        for count, (left, context_tokens) in enumerate(sequences, 1):
            context += context_tokens
            peak = max(peak, context + count * left)
        if peak > total and len(sequences) > 1:
            return None
        uncovered = profile.prompt_tokens - engine.cached_tokens(
            profile.prefixes
        )
        return peak / total + uncovered / engine.spec.step_token_budget
