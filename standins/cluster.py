"""A complete deployment on loopback: stand-ins, proxy and daemons."""

import concurrent.futures
import pathlib
import signal

import msgspec

from eelgrassknot.coordination import config_store
from eelgrassknot import ids
from eelgrassknot.settings import examples
from eelgrassknot.settings import vm as vm_settings
from eelgrassknot import states
from eelgrassknot.storage import http as http_storage
from standins import ports
from standins import processes
from standins import shapes
from standins import topology as topologies

__all__ = ['Cluster']

HOST = '127.0.0.1'
AUTHOR = 'harness'


class Cluster:
    """Manages the processes of a deployment and injects faults.

    All connections between zones, to the platform, to the upstreams and
    from the callers go through the proxy. A link is named ``FROM>TO>VM``
    after the connecting zone, the zone of the target and the target.

    Args:
        shape: Composition of the cluster.
        directory: Directory for logs and settings.
        seed: Seed of the stand-ins.

    Example:
        >>> with Cluster(shapes.shape_of('nadroga'), directory, 1) as cluster:
        ...     cluster.wait_ready()
    """

    def __init__(
        self, shape: shapes.ClusterShape, directory: pathlib.Path, seed: int
    ) -> None:
        self.shape = shape
        self.directory = directory
        self.seed = seed
        self.children: list[processes.Child] = []
        self.daemons: dict[str, processes.Child] = {}
        self.settings: dict[str, vm_settings.VmSettings] = {}
        self.upstreams: dict[str, topologies.Upstream] = {}
        self.topology = topologies.Topology(shape)
        self.regions = self.topology.regions
        self.account_keys: dict[str, str] = {}
        self.platform: processes.Child | None = None
        self.proxy: processes.Child | None = None
        self.services_text: dict = {}
        directory.mkdir(parents=True, exist_ok=True)

    def __enter__(self) -> 'Cluster':
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def start(self) -> None:
        """Start all processes and accept the first services text."""
        self._start_standins()
        example = examples.create(self.shape.deployment, 'http://x', HOST, 1)
        self.account_keys = dict(example.account_keys)
        self._plan_entry_vms(example)
        self._open_links()
        self.publish_vms()
        self.services_text = {
            **msgspec.to_builtins(example.text),
            **self.shape.services_text_changes,
        }
        self.accept_services_text()
        for vm in self.settings:
            self.start_daemon(vm)

    def close(self) -> None:
        """Kill all processes."""
        for child in self.children:
            child.kill()

    def _start_standins(self) -> None:
        self.platform = self._start(topologies.PLATFORM, ['standins.platform'])
        self.proxy = self._start('proxy', ['standins.fault_proxy'])
        kinds = (
            (states.VmKind.ENGINE, self.shape.engines),
            (states.VmKind.PLAIN, self.shape.plains),
        )
        for kind, counts in kinds:
            for zone, count in counts.items():
                for number in range(1, count + 1):
                    self._start_upstream(kind, zone, number)
        for child in self.children:
            processes.wait_listening(child)

    def _start(self, name: str, arguments: list[str]) -> processes.Child:
        child = processes.start_standin(
            name,
            [*arguments, '--listen', f'{HOST}:0'],
            self.directory,
        )
        self.children.append(child)
        return child

    def _start_upstream(
        self, kind: states.VmKind, zone: str, number: int
    ) -> None:
        vm = f'{zone}-{kind.value}-{number}'
        service = next(
            s
            for s in self.shape.deployment.services
            if s.kind.value == kind.value
        )
        arguments = [f'standins.{kind.value}', '--seed', str(self.seed)]
        if kind is states.VmKind.ENGINE:
            arguments += self._engine_arguments(service)
        child = self._start(vm, arguments)
        self.upstreams[vm] = topologies.Upstream(
            vm, kind, service.service, zone, child
        )

    def _engine_arguments(self, service: object) -> list[str]:
        arguments = [
            '--kv-tokens',
            str(self.shape.kv_tokens),
            '--step-ms',
            str(self.shape.step_ms),
            '--model',
            service.model.model,
            '--version',
            service.model.version,
        ]
        for adapter in service.model.adapters:
            arguments += ['--adapter', adapter]
        if not service.engines_check_fencing:
            arguments.append('--no-check-fencing')
        return arguments

    def _plan_entry_vms(self, example: examples.Example) -> None:
        remaining = dict(self.shape.entry_vms)
        for settings in example.settings:
            zone = settings.availability_zone
            if remaining.get(zone, 0) > 0:
                remaining[zone] -= 1
                self._plan_entry_vm(settings)

    def _plan_entry_vm(self, settings: vm_settings.VmSettings) -> None:
        listeners = ports.free_ports(3)
        listen = vm_settings.Listen(*(f'{HOST}:{port}' for port in listeners))
        self.settings[settings.vm] = msgspec.structs.replace(
            settings, listen=listen
        )

    def _open_links(self) -> None:
        orders = self.topology.link_requests(
            self.platform.address, self.upstreams, self.settings
        )
        self.topology.addresses = processes.ask_json(
            self.proxy.address, 'POST', '/links', orders
        )
        rates = {topologies.LINK_GROUP: self.shape.link_bits_per_second}
        processes.ask(self.proxy.address, 'POST', '/groups', rates)

    def link(self, zone: str, vm: str) -> str:
        """Return the address at which a zone reaches a VM."""
        return self.topology.link(zone, vm)

    def publish_vms(self) -> None:
        """Send the platform the list of VMs as seen from each zone."""
        lists = self.topology.vm_lists(self.upstreams, self.settings)
        processes.ask(self.platform.address, 'PUT', '/control/vms', lists)

    def accept_services_text(self) -> bool:
        """Submit the services text; return whether it was accepted."""
        document = msgspec.json.encode(self.services_text).decode()
        table = http_storage.create(f'http://{self.platform.address}').table
        outcome = config_store.accept(
            table, document, AUTHOR, ids.ChangeId(ids.random_id())
        )
        return outcome.is_ok()

    def start_daemon(self, vm: str) -> None:
        """Start or restart the daemon of an entry VM."""
        settings = self.settings[vm]
        zone = settings.availability_zone
        peers = tuple(
            self.link(zone, other) for other in self.settings if other != vm
        )
        address = self.link(zone, topologies.PLATFORM)
        started = msgspec.structs.replace(
            settings,
            known_peers=peers,
            platform=vm_settings.PlatformSettings(
                f'http://{address}/views/{zone}'
            ),
        )
        path = self.directory / f'{vm}.json'
        path.write_bytes(msgspec.json.encode(started))
        child = processes.Child(
            vm,
            [self.shape.daemon_module, '--settings', str(path)],
            self.directory / f'{vm}.log',
        )
        child.address = settings.listen.callers
        self.children.append(child)
        self.daemons[vm] = child

    def wait_ready(self, vms: list[str] | None = None) -> None:
        """Wait until daemons report that they are ready."""
        names = list(self.settings) if vms is None else vms
        with concurrent.futures.ThreadPoolExecutor(len(names)) as pool:
            for _ in pool.map(self._wait_ready, names):
                pass

    def _wait_ready(self, vm: str) -> None:
        def ready() -> bool:
            if not self.daemons[vm].is_running:
                log = self.daemons[vm].log
                raise RuntimeError(f'{vm} exited; see {log}')
            return self.is_ready(vm)

        try:
            processes.wait_until(ready, f'{vm} is ready')
        except RuntimeError as error:
            operators = self.settings[vm].listen.operators
            _, reasons = processes.ask(operators, 'GET', '/readyz')
            raise RuntimeError(f'{error}: {reasons.decode()}') from error

    def is_ready(self, vm: str) -> bool:
        """Return whether a daemon reports that it is ready."""
        operators = self.settings[vm].listen.operators
        status, _ = processes.ask(operators, 'GET', '/readyz', None, 2.0)
        return status == 200

    def status(self, vm: str) -> dict:
        """Return the status document of a daemon, or {} if unreachable."""
        operators = self.settings[vm].listen.operators
        return processes.ask_json(operators, 'GET', '/status')

    def plains(self) -> list[topologies.Upstream]:
        """Return all plain services."""
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.kind is states.VmKind.PLAIN
        ]

    def set_control(self, child: processes.Child, changes: dict) -> None:
        """Change the simulated faults of a stand-in."""
        processes.ask(child.address, 'POST', '/control', changes)

    def set_faults(self, links: list[str], **faults: object) -> None:
        """Set faults on matching links of the proxy."""
        order = {'links': links, **faults}
        processes.ask(self.proxy.address, 'POST', '/faults', order)

    def kill(self, vm: str) -> None:
        """Kill a daemon."""
        self.daemons[vm].kill()

    def terminate(self, vm: str) -> None:
        """Tell a daemon to drain and exit."""
        self.daemons[vm].signal(signal.SIGTERM)
