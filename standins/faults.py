"""Faults that a round draws from; each returns how it is healed."""

import collections.abc
import random
import signal
import time

from eelgrassknot import states
from standins import cluster as clusters
from standins import processes
from standins import recorder
from standins import topology as topologies

__all__ = ['FAULTS', 'HARMLESS_TO_CONNECTIONS', 'Scene']

BALANCER_LAG_S = 0.5
LIST_LAG_S = 1.5
RECLAIM_NOTICE_S = 2.5
DRAIN_TIMEOUT_S = 60.0
SLOWDOWN = 6.0
PLAIN_PROBABILITY = 0.3
STALLED_LINK_BITS_PER_SECOND = 100_000.0

Heal = collections.abc.Callable[[], None]


class Scene:
    """What a fault works on.

    Args:
        cluster: The processes.
        log: Where what happened is recorded.
        generator: Source of the fault's choices.
    """

    def __init__(
        self,
        cluster: clusters.Cluster,
        log: recorder.Recorder,
        generator: random.Random,
    ) -> None:
        self.cluster = cluster
        self.log = log
        self.generator = generator

    def daemon(self) -> str:
        """Return a daemon that is alive and not leaving."""
        alive = [
            vm
            for vm, child in self.cluster.daemons.items()
            if child.alive and vm not in self.log.draining
        ]
        return self.generator.choice(alive)

    def upstream(self, kind: states.VmKind) -> topologies.Upstream:
        """Return an upstream of a kind that is alive and not leaving."""
        live = [
            upstream
            for upstream in self.cluster.upstreams.values()
            if upstream.kind is kind and upstream.state == 'live'
        ]
        return self.generator.choice(live)


Fault = collections.abc.Callable[[Scene], Heal]
FAULTS: dict[str, Fault] = {}
HARMLESS_TO_CONNECTIONS: set[str] = set()


def _fault(
    name: str, harmless: bool = False
) -> collections.abc.Callable[[Fault], Fault]:
    """Register a fault.

    Args:
        name: Its name in traces.
        harmless: Whether no connection of a caller is cut by it.
    """

    def register(fault: Fault) -> Fault:
        FAULTS[name] = fault
        if harmless:
            HARMLESS_TO_CONNECTIONS.add(name)
        return fault

    return register


@_fault('daemon_killed')
def _daemon_killed(scene: Scene) -> Heal:
    vm = scene.daemon()
    scene.log.note(f'kill {vm}')
    scene.cluster.kill(vm)
    return lambda: _restart(scene, vm)


@_fault('daemon_drained', harmless=True)
def _daemon_drained(scene: Scene) -> Heal:
    vm = scene.daemon()
    scene.log.note(f'drain {vm}')
    scene.log.drain_begins(vm)
    scene.cluster.terminate(vm)

    def heal() -> None:
        child = scene.cluster.daemons[vm]
        try:
            code = child.process.wait(DRAIN_TIMEOUT_S)
        except Exception:
            code = -1
            child.end()
        scene.log.drain_ended(vm, code)
        _restart(scene, vm)

    return heal


@_fault('daemon_paused')
def _daemon_paused(scene: Scene) -> Heal:
    vm = scene.daemon()
    scene.log.note(f'pause {vm}')
    child = scene.cluster.daemons[vm]
    child.signal(signal.SIGSTOP)
    return lambda: child.signal(signal.SIGCONT)


@_fault('engine_killed', harmless=True)
def _engine_killed(scene: Scene) -> Heal:
    upstream = scene.upstream(states.VmKind.ENGINE)
    scene.log.note(f'kill {upstream.vm}')
    upstream.state = 'gone'
    scene.log.gather(upstream)
    upstream.child.end()
    return scene.cluster.publish_vms


@_fault('engine_reclaimed', harmless=True)
def _engine_reclaimed(scene: Scene) -> Heal:
    upstream = scene.upstream(states.VmKind.ENGINE)
    scene.log.note(f'reclaim {upstream.vm}')
    upstream.state = 'leaving'
    notice = {'notice_ms': RECLAIM_NOTICE_S * 1000}
    began_s = time.monotonic()
    processes.ask(upstream.child.address, 'POST', '/control/reclaim', notice)
    scene.log.leaving(upstream.vm)

    def heal() -> None:
        _until(began_s + LIST_LAG_S)
        scene.cluster.publish_vms()
        _until(began_s + RECLAIM_NOTICE_S - 0.3)
        scene.log.gather(upstream)
        upstream.child.process.wait(DRAIN_TIMEOUT_S)
        upstream.state = 'gone'
        scene.cluster.publish_vms()

    return heal


@_fault('engine_leaving', harmless=True)
def _engine_leaving(scene: Scene) -> Heal:
    upstream = scene.upstream(states.VmKind.ENGINE)
    scene.log.note(f'list {upstream.vm} as leaving')
    upstream.state = 'leaving'
    scene.cluster.publish_vms()
    scene.log.leaving(upstream.vm)
    return lambda: None


@_fault('upstream_black_hole', harmless=True)
def _upstream_black_hole(scene: Scene) -> Heal:
    kind = scene.generator.choice((states.VmKind.ENGINE, states.VmKind.PLAIN))
    vm = scene.upstream(kind).vm
    scene.log.note(f'open connections to {vm} fall silent')
    scene.cluster.fault([f'>{vm}'], black_hole='old')
    return lambda: None


@_fault('callers_black_hole')
def _callers_black_hole(scene: Scene) -> Heal:
    vm = scene.daemon()
    scene.log.note(f'open connections of callers to {vm} fall silent')
    zone = scene.cluster.settings[vm].availability_zone
    scene.cluster.fault([f'callers>{zone}>{vm}'], black_hole='old')
    return lambda: None


@_fault('upstream_reset', harmless=True)
def _upstream_reset(scene: Scene) -> Heal:
    kind = scene.generator.choice((states.VmKind.ENGINE, states.VmKind.PLAIN))
    vm = scene.upstream(kind).vm
    scene.log.note(f'open connections to {vm} are reset')
    scene.cluster.fault([f'>{vm}'], reset=True)
    return lambda: None


@_fault('platform_outage', harmless=True)
def _platform_outage(scene: Scene) -> Heal:
    kind = scene.generator.choice(('refuse', 'black_hole'))
    scene.log.note(f'platform outage: {kind}')
    platform = scene.cluster.platform
    scene.cluster.control(platform, {'outage': kind})
    return lambda: scene.cluster.control(platform, {'outage': 'none'})


@_fault('platform_slow', harmless=True)
def _platform_slow(scene: Scene) -> Heal:
    scene.log.note('platform slow: 900 ms')
    platform = scene.cluster.platform
    scene.cluster.control(platform, {'latency_ms': 900.0})
    return lambda: scene.cluster.control(platform, {'latency_ms': 0.0})


@_fault('lost_store_answers', harmless=True)
def _lost_store_answers(scene: Scene) -> Heal:
    scene.log.note('half of the store answers are lost after the commit')
    platform = scene.cluster.platform
    lost = {'lose_answers': {'probability': 0.5}}
    scene.cluster.control(platform, lost)
    kept = {'lose_answers': {'probability': 0.0}}
    return lambda: scene.cluster.control(platform, kept)


@_fault('zone_partition', harmless=True)
def _zone_partition(scene: Scene) -> Heal:
    zones = list(scene.cluster.regions)
    zone = scene.generator.choice(zones)
    others = [other for other in zones if other != zone]
    links = [f'{zone}>{other}>' for other in others]
    links += [f'{other}>{zone}>' for other in others]
    # The store is outside of a zone that is cut off.
    links.append(f'{zone}>{zones[0]}>{topologies.PLATFORM}')
    links = [link for link in links if not link.startswith('callers')]
    scene.log.note(f'cut off {zone}')
    scene.log.cut_off |= {
        vm
        for vm, settings in scene.cluster.settings.items()
        if settings.availability_zone == zone
    }
    scene.cluster.fault(links, black_hole='all')

    def heal() -> None:
        scene.cluster.fault(links, black_hole='none', reset=True)

    return heal


@_fault('region_link_stalls', harmless=True)
def _region_link_stalls(scene: Scene) -> Heal:
    scene.log.note('the link between regions is throttled')
    proxy = scene.cluster.proxy.address
    slow = {topologies.LINK_GROUP: STALLED_LINK_BITS_PER_SECOND}
    whole = {topologies.LINK_GROUP: scene.cluster.shape.link_bits_per_second}
    processes.ask(proxy, 'POST', '/groups', slow)

    def heal() -> None:
        processes.ask(proxy, 'POST', '/groups', whole)

    return heal


@_fault('peers_black_hole', harmless=True)
def _peers_black_hole(scene: Scene) -> Heal:
    vm = scene.daemon()
    scene.log.note(f'open connections of peers to {vm} fall silent')
    links = [f'{zone}>' for zone in scene.cluster.regions]
    zone = scene.cluster.settings[vm].availability_zone
    targets = [f'{link}{zone}>{vm}' for link in links]
    scene.cluster.fault(targets, black_hole='old')
    return lambda: None


@_fault('upstream_half_close', harmless=True)
def _upstream_half_close(scene: Scene) -> Heal:
    vm = scene.upstream(states.VmKind.ENGINE).vm
    scene.log.note(f'open connections to {vm} are closed towards readers')
    scene.cluster.fault([f'>{vm}'], half_close=True)
    return lambda: None


@_fault('vm_list_lags', harmless=True)
def _vm_list_lags(scene: Scene) -> Heal:
    scene.log.note('the list of VMs lags by an hour')
    platform = scene.cluster.platform
    scene.cluster.control(platform, {'vm_list_lag_ms': 3_600_000.0})
    return lambda: scene.cluster.control(platform, {'vm_list_lag_ms': 0.0})


@_fault('engine_forgets', harmless=True)
def _engine_forgets(scene: Scene) -> Heal:
    upstream = scene.upstream(states.VmKind.ENGINE)
    scene.log.note(f'{upstream.vm} forgets its generations')
    address = upstream.child.address
    processes.ask(address, 'POST', '/control/forget', {})
    return lambda: None


@_fault('slow_engine', harmless=True)
def _slow_engine(scene: Scene) -> Heal:
    upstream = scene.upstream(states.VmKind.ENGINE)
    scene.log.note(f'{upstream.vm} slows down')
    scene.cluster.control(upstream.child, {'slowdown': SLOWDOWN})
    return lambda: scene.cluster.control(upstream.child, {'slowdown': 1.0})


@_fault('stalled_engine', harmless=True)
def _stalled_engine(scene: Scene) -> Heal:
    upstream = scene.upstream(states.VmKind.ENGINE)
    scene.log.note(f'{upstream.vm} stalls')
    scene.cluster.control(upstream.child, {'stalled': True})
    return lambda: scene.cluster.control(upstream.child, {'stalled': False})


def _plain_answers(kind: str) -> Fault:
    def fault(scene: Scene) -> Heal:
        scene.log.note(f'a third of the plain answers: {kind}')
        for plain in scene.cluster.plains():
            struck = {kind: {'probability': PLAIN_PROBABILITY}}
            scene.cluster.control(plain.child, struck)

        def heal() -> None:
            for plain in scene.cluster.plains():
                kept = {kind: {'probability': 0.0}}
                scene.cluster.control(plain.child, kept)

        return heal

    return fault


for _kind in ('crossed', 'late', 'closed', 'failed'):
    _fault(f'plain_{_kind}', harmless=True)(_plain_answers(_kind))


def _restart(scene: Scene, vm: str) -> None:
    scene.cluster.start_daemon(vm)
    scene.log.drain_forgotten(vm)


def _until(at_s: float) -> None:
    time.sleep(max(0.0, at_s - time.monotonic()))
