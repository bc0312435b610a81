"""A seeded round: a cluster under load, one or two faults, and checks."""

import collections
import dataclasses
import pathlib
import random
import shutil
import time

import msgspec

from standins import callers as load
from standins import checkers
from standins import cluster as clusters
from standins import degradation
from standins import faults
from standins import history as histories
from standins import recorder
from standins import shapes
from standins import topology as topologies
from standins import verdict as verdicts

__all__ = ['LoadProfile', 'Round', 'SHORT_PROFILE', 'run_round']

PATHS = {
    'nadroga': ('/availability', '/bookings'),
    'lagotermica': ('/stock', '/confirmations'),
}
BALANCER_POLL_S = 0.3
UNSTREAMED_SHARE = 0.2
ABANDONED_SHARE = 0.1
PLAIN_LATENCY_MS = 40.0


@dataclasses.dataclass(frozen=True)
class LoadProfile:
    """Load of a round and the duration of its stages."""

    stream_callers: int = 14
    plain_callers: int = 8
    warm_up_s: float = 1.5
    second_fault_s: float = 2.0
    min_hold_s: float = 3.0
    max_hold_s: float = 4.5
    recovery_s: float = 3.5
    mean_tokens: int = 60


SHORT_PROFILE = LoadProfile(
    stream_callers=8,
    plain_callers=5,
    warm_up_s=0.5,
    second_fault_s=0.5,
    min_hold_s=1.5,
    max_hold_s=1.5,
    recovery_s=1.0,
    mean_tokens=40,
)


class Round:
    """Derives a round from a seed and runs it.

    Args:
        seed: Seed of the deployment, the faults and the load.
        directory: Directory for the trace of a round with violations.
        names: Faults to inject instead of random ones.
        daemon_module: Module that is run as the daemon.
        deployment: Deployment to use instead of a random one.
        profile: Load and durations.
        is_small: Whether each zone has only one VM of each kind.

    Attributes:
        plain_probability: Share of the plain answers that a fault affects.
    """

    def __init__(
        self,
        seed: int,
        directory: pathlib.Path,
        names: tuple[str, ...] = (),
        daemon_module: str = shapes.DAEMON_MODULE,
        deployment: str = '',
        profile: LoadProfile = LoadProfile(),
        is_small: bool = False,
    ) -> None:
        self.profile = profile
        self.seed = seed
        self.directory = directory / f'round-{seed}'
        self.generator = random.Random(seed)
        random_deployment = self.generator.choice(sorted(PATHS))
        self.deployment = deployment or random_deployment
        count = self.generator.choice((1, 2))
        # The same fault may be chosen twice.
        random_names = self.generator.choices(sorted(faults.FAULTS), k=count)
        self.names = tuple(names or random_names)
        self.plain_probability = faults.PLAIN_PROBABILITY
        shape = shapes.shape_of(self.deployment, daemon_module)
        self.shape = shapes.minimal(shape) if is_small else shape

    def run(self) -> verdicts.RoundResult:
        """Run the round and check its history."""
        began_s = time.monotonic()
        shutil.rmtree(self.directory, ignore_errors=True)
        with clusters.Cluster(
            self.shape, self.directory, self.seed
        ) as cluster:
            cluster.wait_ready()
            history, log = self._run_with_faults(cluster)
        violations = tuple(checkers.check(history))
        if violations:
            self._write_trace(history, log, violations)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)
        served = tuple(degradation.summarize(history, log.window))
        return self.verdict(
            violations, history, time.monotonic() - began_s, served
        )

    def verdict(
        self,
        violations: tuple[checkers.Violation, ...],
        history: histories.History | None = None,
        seconds: float = 0.0,
        served: tuple[degradation.OutcomeSummary, ...] = (),
    ) -> verdicts.RoundResult:
        """Return the result of this round.

        Args:
            violations: Violations found by the checkers.
            history: Recorded history; None if the round was aborted.
            seconds: Duration of the round.
            served: Outcomes of requests before and during the faults.
        """
        streams = history.streams if history else ()
        calls = history.calls if history else ()
        return verdicts.RoundResult(
            self.seed,
            self.deployment,
            self.names,
            collections.Counter(s.outcome for s in streams),
            collections.Counter(c.outcome for c in calls),
            violations,
            seconds,
            self.directory,
            served,
        )

    def _run_with_faults(
        self, cluster: clusters.Cluster
    ) -> tuple[histories.History, recorder.Recorder]:
        log = recorder.Recorder(cluster)
        callers = load.Callers(
            self._workload(cluster), self._entry_points(cluster), self.seed
        )
        for upstream in cluster.plains():
            slow = {'latency_ms': PLAIN_LATENCY_MS}
            cluster.set_control(upstream.child, slow)
        log.start()
        callers.start(self.profile.stream_callers, self.profile.plain_callers)
        self._pause(cluster, callers, self.profile.warm_up_s)
        self._change_services_text(cluster, log)
        begin_ms = log.clock.now_ms()
        heals = self._inject_faults(cluster, callers, log)
        self._pause(
            cluster,
            callers,
            self.generator.uniform(
                self.profile.min_hold_s, self.profile.max_hold_s
            ),
        )
        log.window = degradation.FaultWindow(
            begin_ms, log.clock.now_ms(), frozenset(log.cut_off)
        )
        for name, heal in heals:
            log.record_event(f'heal {name}')
            heal()
        self._pause(cluster, callers, self.profile.recovery_s)
        callers.stop()
        cluster.wait_ready()
        self._wait_for_config(cluster, log)
        log.stop()
        history = log.history
        history.streams = callers.streams
        history.calls = callers.calls
        history.connections_kept = self._connections_kept()
        history.cut_by_drain = self._cut_by_drain(history, log)
        return history, log

    def _workload(self, cluster: clusters.Cluster) -> load.Workload:
        services = {
            s.kind.value: s.service for s in self.shape.deployment.services
        }
        lookup, booking = PATHS[self.deployment]
        return load.Workload(
            services['engine'],
            services['plain'],
            lookup,
            booking,
            tuple(cluster.account_keys.values()),
            mean_tokens=self.profile.mean_tokens,
            unstreamed_share=UNSTREAMED_SHARE,
            abandoned_share=ABANDONED_SHARE,
        )

    def _entry_points(
        self, cluster: clusters.Cluster
    ) -> list[load.EntryPoint]:
        return [
            load.EntryPoint(vm, cluster.link(topologies.CALLERS, vm))
            for vm, child in cluster.daemons.items()
            if child.is_running and cluster.is_ready(vm)
        ]

    def _pause(
        self,
        cluster: clusters.Cluster,
        callers: load.Callers,
        seconds: float,
    ) -> None:
        """Wait, updating the load balancer with the VMs that are ready."""
        until_s = time.monotonic() + seconds
        while time.monotonic() < until_s:
            ready = self._entry_points(cluster)
            if ready:
                callers.set_entry_points(ready)
            time.sleep(BALANCER_POLL_S)

    def _change_services_text(
        self, cluster: clusters.Cluster, log: recorder.Recorder
    ) -> None:
        cluster.services_text['client_accounts'][0]['weight'] += 1.0
        if cluster.accept_services_text():
            log.record_accepted(2)

    def _inject_faults(
        self,
        cluster: clusters.Cluster,
        callers: load.Callers,
        log: recorder.Recorder,
    ) -> list[tuple[str, faults.Heal]]:
        heals = []
        for number, name in enumerate(self.names):
            if number:
                pause_s = self.generator.uniform(
                    0.0, self.profile.second_fault_s
                )
                self._pause(cluster, callers, pause_s)
            generator = random.Random(f'{self.seed}/{number}/{name}')
            context = faults.FaultContext(
                cluster, log, generator, self.plain_probability
            )
            heals.append((name, faults.FAULTS[name](context)))
        return heals

    def _wait_for_config(
        self, cluster: clusters.Cluster, log: recorder.Recorder
    ) -> None:
        if not log.history.accepted:
            return
        accepted_ms = max(log.history.accepted.values())
        due_ms = accepted_ms + checkers.CONFIG_PROPAGATION_MS
        while log.clock.now_ms() <= due_ms:
            versions = [
                cluster.status(vm).get('config_version')
                for vm, child in cluster.daemons.items()
                if child.is_running
            ]
            if all(version == 2 for version in versions):
                return
            time.sleep(BALANCER_POLL_S)

    def _connections_kept(self) -> bool:
        return faults.CONNECTION_PRESERVING.issuperset(self.names)

    def _cut_by_drain(
        self, history: histories.History, log: recorder.Recorder
    ) -> list[str]:
        if not self._connections_kept():
            return []
        cut = [
            (stream.request_id, cut.vm, cut.at_ms, cut.reason)
            for stream in history.streams
            for cut in stream.cuts
        ]
        cut += [
            (call.request_id, call.vm, call.ended_ms, call.answer)
            for call in history.calls
            if call.outcome == 'cut'
        ]
        return [
            request_id
            for request_id, vm, at_ms, reason in cut
            if _within(log.drains.get(vm, []), at_ms)
            and 'TimeoutError' not in reason
        ]

    def _write_trace(
        self,
        history: histories.History,
        log: recorder.Recorder,
        violations: tuple[checkers.Violation, ...],
    ) -> None:
        trace = {
            'seed': self.seed,
            'deployment': self.deployment,
            'faults': self.names,
            'events': log.events,
            'violations': [str(violation) for violation in violations],
            'history': history,
        }
        path = self.directory / 'trace.json'
        path.write_bytes(msgspec.json.encode(trace))


def run_round(seed: int, directory: pathlib.Path) -> verdicts.RoundResult:
    """Run the round with a seed."""
    return Round(seed, directory).run()


def _within(interval: list[float], at_ms: float) -> bool:
    return len(interval) == 2 and interval[0] <= at_ms <= interval[1]
