"""Faults that a round can inject; each returns a function that heals it."""

import collections.abc
import random
import signal
import time

from eelgrassknot import states
from standins import cluster as clusters
from standins import processes
from standins import recorder
from standins import topology as topologies

__all__ = ['CONNECTION_PRESERVING', 'FAULTS', 'FaultContext']

BALANCER_LAG_S = 0.5
LIST_LAG_S = 1.5
RECLAIM_NOTICE_S = 2.5
DRAIN_TIMEOUT_S = 60.0
SLOWDOWN = 6.0
PLAIN_PROBABILITY = 0.3
STALLED_LINK_BITS_PER_SECOND = 100_000.0

Heal = collections.abc.Callable[[], None]


class FaultContext:
    """Context in which a fault is injected.

    Args:
        cluster: Processes to affect.
        log: Recorder of events.
        generator: Source of random choices.
        plain_probability: Share of the plain answers that are affected.
    """

    def __init__(
        self,
        cluster: clusters.Cluster,
        log: recorder.Recorder,
        generator: random.Random,
        plain_probability: float = PLAIN_PROBABILITY,
    ) -> None:
        self.cluster = cluster
        self.log = log
        self.generator = generator
        self.plain_probability = plain_probability

    def daemon(self) -> str:
        """Return a random daemon that is running and not draining."""
        alive = [
            vm
            for vm, child in self.cluster.daemons.items()
            if child.is_running and vm not in self.log.draining
        ]
        return self.generator.choice(alive)

    def upstream(self, kind: states.VmKind) -> topologies.Upstream:
        """Return a random live upstream of a kind."""
        live = [
            upstream
            for upstream in self.cluster.upstreams.values()
            if upstream.kind is kind and upstream.state == 'live'
        ]
        return self.generator.choice(live)


Fault = collections.abc.Callable[[FaultContext], Heal]
FAULTS: dict[str, Fault] = {}
CONNECTION_PRESERVING: set[str] = set()


def _fault(
    name: str, preserves_connections: bool = False
) -> collections.abc.Callable[[Fault], Fault]:
    """Register a fault.

    Args:
        name: Name of the fault in traces.
        preserves_connections: Whether callers' connections stay open.
    """

    def register(fault: Fault) -> Fault:
        FAULTS[name] = fault
        if preserves_connections:
            CONNECTION_PRESERVING.add(name)
        return fault

    return register


@_fault('daemon_killed')
def _daemon_killed(context: FaultContext) -> Heal:
    vm = context.daemon()
    context.log.record_event(f'kill {vm}')
    context.cluster.kill(vm)
    return lambda: _restart(context, vm)


@_fault('daemon_drained', preserves_connections=True)
def _daemon_drained(context: FaultContext) -> Heal:
    vm = context.daemon()
    context.log.record_event(f'drain {vm}')
    context.log.record_drain_start(vm)
    context.cluster.terminate(vm)

    def heal() -> None:
        child = context.cluster.daemons[vm]
        try:
            code = child.process.wait(DRAIN_TIMEOUT_S)
        except Exception:
            code = -1
            child.kill()
        context.log.record_drain_end(vm, code)
        _restart(context, vm)

    return heal


@_fault('daemon_paused')
def _daemon_paused(context: FaultContext) -> Heal:
    vm = context.daemon()
    context.log.record_event(f'pause {vm}')
    child = context.cluster.daemons[vm]
    child.signal(signal.SIGSTOP)
    return lambda: child.signal(signal.SIGCONT)


@_fault('engine_killed', preserves_connections=True)
def _engine_killed(context: FaultContext) -> Heal:
    upstream = context.upstream(states.VmKind.ENGINE)
    context.log.record_event(f'kill {upstream.vm}')
    upstream.state = 'gone'
    context.log.collect_history(upstream)
    upstream.child.kill()
    return context.cluster.publish_vms


@_fault('engine_reclaimed', preserves_connections=True)
def _engine_reclaimed(context: FaultContext) -> Heal:
    upstream = context.upstream(states.VmKind.ENGINE)
    context.log.record_event(f'reclaim {upstream.vm}')
    upstream.state = 'leaving'
    notice = {'notice_ms': RECLAIM_NOTICE_S * 1000}
    began_s = time.monotonic()
    processes.ask(upstream.child.address, 'POST', '/control/reclaim', notice)
    context.log.record_leaving(upstream.vm)

    def heal() -> None:
        _sleep_until(began_s + LIST_LAG_S)
        context.cluster.publish_vms()
        _sleep_until(began_s + RECLAIM_NOTICE_S - 0.3)
        context.log.collect_history(upstream)
        upstream.child.process.wait(DRAIN_TIMEOUT_S)
        upstream.state = 'gone'
        context.cluster.publish_vms()

    return heal


@_fault('engine_leaving', preserves_connections=True)
def _engine_leaving(context: FaultContext) -> Heal:
    upstream = context.upstream(states.VmKind.ENGINE)
    context.log.record_event(f'list {upstream.vm} as leaving')
    upstream.state = 'leaving'
    context.cluster.publish_vms()
    context.log.record_leaving(upstream.vm)
    return lambda: None


@_fault('upstream_black_hole', preserves_connections=True)
def _upstream_black_hole(context: FaultContext) -> Heal:
    kind = context.generator.choice(
        (states.VmKind.ENGINE, states.VmKind.PLAIN)
    )
    vm = context.upstream(kind).vm
    context.log.record_event(f'open connections to {vm} fall silent')
    context.cluster.set_faults([f'>{vm}'], black_hole='old')
    return lambda: None


@_fault('callers_black_hole')
def _callers_black_hole(context: FaultContext) -> Heal:
    vm = context.daemon()
    context.log.record_event(
        f'open connections of callers to {vm} fall silent'
    )
    zone = context.cluster.settings[vm].availability_zone
    context.cluster.set_faults([f'callers>{zone}>{vm}'], black_hole='old')
    return lambda: None


@_fault('upstream_reset', preserves_connections=True)
def _upstream_reset(context: FaultContext) -> Heal:
    kind = context.generator.choice(
        (states.VmKind.ENGINE, states.VmKind.PLAIN)
    )
    vm = context.upstream(kind).vm
    context.log.record_event(f'open connections to {vm} are reset')
    context.cluster.set_faults([f'>{vm}'], reset=True)
    return lambda: None


@_fault('platform_outage', preserves_connections=True)
def _platform_outage(context: FaultContext) -> Heal:
    kind = context.generator.choice(('refuse', 'black_hole'))
    context.log.record_event(f'platform outage: {kind}')
    platform = context.cluster.platform
    context.cluster.set_control(platform, {'outage': kind})
    return lambda: context.cluster.set_control(platform, {'outage': 'none'})


@_fault('platform_slow', preserves_connections=True)
def _platform_slow(context: FaultContext) -> Heal:
    context.log.record_event('platform slow: 900 ms')
    platform = context.cluster.platform
    context.cluster.set_control(platform, {'latency_ms': 900.0})
    return lambda: context.cluster.set_control(platform, {'latency_ms': 0.0})


@_fault('lost_store_answers', preserves_connections=True)
def _lost_store_answers(context: FaultContext) -> Heal:
    context.log.record_event(
        'half of the store answers are lost after the commit'
    )
    platform = context.cluster.platform
    enabled = {'lose_answers': {'probability': 0.5}}
    context.cluster.set_control(platform, enabled)
    disabled = {'lose_answers': {'probability': 0.0}}
    return lambda: context.cluster.set_control(platform, disabled)


@_fault('zone_partition', preserves_connections=True)
def _zone_partition(context: FaultContext) -> Heal:
    zones = list(context.cluster.regions)
    zone = context.generator.choice(zones)
    others = [other for other in zones if other != zone]
    links = [f'{zone}>{other}>' for other in others]
    links += [f'{other}>{zone}>' for other in others]
    # A partitioned zone loses its connection to the store as well.
    links.append(f'{zone}>{zones[0]}>{topologies.PLATFORM}')
    links = [link for link in links if not link.startswith('callers')]
    context.log.record_event(f'cut off {zone}')
    context.log.cut_off |= {
        vm
        for vm, settings in context.cluster.settings.items()
        if settings.availability_zone == zone
    }
    context.cluster.set_faults(links, black_hole='all')

    def heal() -> None:
        context.cluster.set_faults(links, black_hole='none', reset=True)

    return heal


@_fault('region_link_stalls', preserves_connections=True)
def _region_link_stalls(context: FaultContext) -> Heal:
    context.log.record_event('the link between regions is throttled')
    proxy = context.cluster.proxy.address
    slow = {topologies.LINK_GROUP: STALLED_LINK_BITS_PER_SECOND}
    normal = {
        topologies.LINK_GROUP: context.cluster.shape.link_bits_per_second
    }
    processes.ask(proxy, 'POST', '/groups', slow)

    def heal() -> None:
        processes.ask(proxy, 'POST', '/groups', normal)

    return heal


@_fault('peers_black_hole', preserves_connections=True)
def _peers_black_hole(context: FaultContext) -> Heal:
    vm = context.daemon()
    context.log.record_event(f'open connections of peers to {vm} fall silent')
    links = [f'{zone}>' for zone in context.cluster.regions]
    zone = context.cluster.settings[vm].availability_zone
    targets = [f'{link}{zone}>{vm}' for link in links]
    context.cluster.set_faults(targets, black_hole='old')
    return lambda: None


@_fault('upstream_half_close', preserves_connections=True)
def _upstream_half_close(context: FaultContext) -> Heal:
    vm = context.upstream(states.VmKind.ENGINE).vm
    context.log.record_event(
        f'open connections to {vm} are closed towards readers'
    )
    context.cluster.set_faults([f'>{vm}'], half_close=True)
    return lambda: None


@_fault('vm_list_lags', preserves_connections=True)
def _vm_list_lags(context: FaultContext) -> Heal:
    context.log.record_event('the list of VMs lags by an hour')
    platform = context.cluster.platform
    context.cluster.set_control(platform, {'vm_list_lag_ms': 3_600_000.0})
    return lambda: context.cluster.set_control(
        platform, {'vm_list_lag_ms': 0.0}
    )


@_fault('engine_forgets', preserves_connections=True)
def _engine_forgets(context: FaultContext) -> Heal:
    upstream = context.upstream(states.VmKind.ENGINE)
    context.log.record_event(f'{upstream.vm} forgets its generations')
    address = upstream.child.address
    processes.ask(address, 'POST', '/control/forget', {})
    return lambda: None


@_fault('slow_engine', preserves_connections=True)
def _slow_engine(context: FaultContext) -> Heal:
    upstream = context.upstream(states.VmKind.ENGINE)
    context.log.record_event(f'{upstream.vm} slows down')
    context.cluster.set_control(upstream.child, {'slowdown': SLOWDOWN})
    return lambda: context.cluster.set_control(
        upstream.child, {'slowdown': 1.0}
    )


@_fault('stalled_engine', preserves_connections=True)
def _stalled_engine(context: FaultContext) -> Heal:
    upstream = context.upstream(states.VmKind.ENGINE)
    context.log.record_event(f'{upstream.vm} stalls')
    context.cluster.set_control(upstream.child, {'stalled': True})
    return lambda: context.cluster.set_control(
        upstream.child, {'stalled': False}
    )


def _plain_answers(kind: str) -> Fault:
    def fault(context: FaultContext) -> Heal:
        share = context.plain_probability
        context.log.record_event(f'{share:.0%} of the plain answers: {kind}')
        for plain in context.cluster.plains():
            enabled = {kind: {'probability': share}}
            context.cluster.set_control(plain.child, enabled)

        def heal() -> None:
            for plain in context.cluster.plains():
                disabled = {kind: {'probability': 0.0}}
                context.cluster.set_control(plain.child, disabled)

        return heal

    return fault


for _kind in ('crossed', 'late', 'closed', 'failed'):
    _fault(f'plain_{_kind}', preserves_connections=True)(_plain_answers(_kind))


def _restart(context: FaultContext, vm: str) -> None:
    context.cluster.start_daemon(vm)
    context.log.clear_drain(vm)


def _sleep_until(at_s: float) -> None:
    time.sleep(max(0.0, at_s - time.monotonic()))
