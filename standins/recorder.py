"""Recorder of upstreams, daemons and faults during a round."""

import collections
import threading

from eelgrassknot import clock as clocks
from eelgrassknot import states
from standins import cluster as clusters
from standins import degradation
from standins import history as histories
from standins import processes
from standins import topology as topologies

__all__ = ['Recorder']

STATUS_POLL_S = 0.5
FOREVER_MS = float('inf')


class Recorder:
    """Records the parts of a history that callers cannot observe.

    Args:
        cluster: Cluster to observe.

    Attributes:
        draining: VMs that were told to drain and were not restarted.
        events: Actions of the round with their times in milliseconds.
        drains: Start and end time of each drain, by VM.
        cut_off: Entry VMs in a partitioned zone.
        window: Time range of the faults.
    """

    def __init__(self, cluster: clusters.Cluster) -> None:
        self.cluster = cluster
        self.clock = clocks.MonotonicClock()
        self.history = histories.History()
        self.events: list[tuple[float, str]] = []
        self.draining: set[str] = set()
        self.drains: dict[str, list[float]] = collections.defaultdict(list)
        self.collected: set[str] = set()
        self.cut_off: set[str] = set()
        self.window = degradation.FaultWindow(0.0, 0.0)
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._poll, daemon=True)

    def start(self) -> None:
        """Start polling the status of the daemons."""
        self.thread.start()

    def stop(self) -> None:
        """Stop polling and collect the remaining histories."""
        self.stopped.set()
        self.thread.join()
        self.poll_configs()
        for upstream in self.cluster.upstreams.values():
            if upstream.vm not in self.collected and upstream.child.is_running:
                self.collect_history(upstream)

    def record_event(self, what: str) -> None:
        """Record an action of the round."""
        self.events.append((self.clock.now_ms(), what))

    def record_leaving(self, vm: str) -> None:
        """Record that an upstream must receive no new work from now on."""
        self.history.leaving.append(
            histories.UpstreamDeparture(vm, self.clock.now_ms(), 1e15)
        )

    def record_drain_start(self, vm: str) -> None:
        """Record that a daemon was told to drain."""
        self.draining.add(vm)
        self.drains[vm] = [self.clock.now_ms()]

    def record_drain_end(self, vm: str, code: int) -> None:
        """Record the exit code of a drained daemon."""
        self.drains[vm].append(self.clock.now_ms())
        self.history.drained[vm] = code

    def clear_drain(self, vm: str) -> None:
        """Record that a daemon was restarted."""
        self.draining.discard(vm)

    def record_accepted(self, version: int) -> None:
        """Record that a version of the services text was accepted."""
        self.history.accepted[str(version)] = self.clock.now_ms()

    def collect_history(self, upstream: topologies.Upstream) -> None:
        """Fetch the history of an upstream."""
        self.collected.add(upstream.vm)
        told = processes.ask_json(
            upstream.child.address, 'GET', '/control/history'
        )
        if upstream.kind is states.VmKind.ENGINE:
            self._add_generations(upstream.vm, told)
        else:
            self._add_executions(upstream.vm, told)

    def _add_generations(self, vm: str, told: dict) -> None:
        for each in told.get('generations', []):
            self.history.generations.append(
                histories.EngineGeneration(
                    vm,
                    each['generation'],
                    each['request_id'],
                    each['at_ms'],
                    each['produced'],
                    each['state'],
                )
            )

    def _add_executions(self, vm: str, told: dict) -> None:
        for each in told.get('executions', []):
            self.history.executions.append(
                histories.Execution(
                    vm,
                    each['request_id'],
                    each['key'],
                    each['method'],
                    each['at_ms'],
                )
            )

    def poll_configs(self) -> None:
        """Record the version that each daemon uses."""
        for vm, child in list(self.cluster.daemons.items()):
            if not child.is_running or vm in self.draining:
                continue
            asked_ms = self.clock.now_ms()
            status = self.cluster.status(vm)
            if status.get('state') == 'ready':
                self.history.configs.append(
                    histories.ConfigObservation(
                        vm,
                        status['incarnation'],
                        status['config_version'],
                        asked_ms,
                    )
                )

    def _poll(self) -> None:
        while not self.stopped.wait(STATUS_POLL_S):
            self.poll_configs()
