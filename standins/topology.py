"""Links between the zones of a cluster, and the VM list of each zone."""

import collections.abc
import dataclasses

from eelgrassknot.settings import vm as vm_settings
from eelgrassknot import states
from standins import processes
from standins import shapes

__all__ = ['CALLERS', 'LINK_GROUP', 'PLATFORM', 'Topology', 'Upstream']

LINK_GROUP = 'region-link'
PLATFORM = 'platform'
CALLERS = 'callers'

Upstreams = collections.abc.Mapping[str, 'Upstream']
Settings = collections.abc.Mapping[str, vm_settings.VmSettings]


@dataclasses.dataclass
class Upstream:
    """An engine or a plain service of the cluster."""

    vm: str
    kind: states.VmKind
    service: str
    availability_zone: str
    child: processes.Child
    state: str = 'live'


class Topology:
    """Links of a cluster and VM lists for the platform.

    A link is named ``FROM>TO>VM`` after the connecting zone, the zone of
    the target and the target.

    Args:
        shape: Composition of the cluster.

    Attributes:
        regions: Region of each availability zone.
        addresses: Listening address of the proxy for each link.
    """

    def __init__(self, shape: shapes.ClusterShape) -> None:
        self.shape = shape
        self.addresses: dict[str, str] = {}
        self.regions = {
            group.availability_zone: group.region
            for group in shape.deployment.entry_vms
        }

    def link_requests(
        self, platform: str, upstreams: Upstreams, settings: Settings
    ) -> list[dict]:
        """Return the links that the proxy has to open.

        Args:
            platform: Address of the platform.
            upstreams: Engines and plain services by VM.
            settings: Settings of the entry VMs.
        """
        platform_zone = next(iter(self.regions))
        orders = []
        for zone in self.regions:
            orders.append(
                self._link_request(zone, platform_zone, PLATFORM, platform)
            )
            for upstream in upstreams.values():
                target_zone = upstream.availability_zone
                address = upstream.child.address
                orders.append(
                    self._link_request(zone, target_zone, upstream.vm, address)
                )
        for vm, each in settings.items():
            orders += self._entry_link_requests(vm, each)
        return orders

    def _entry_link_requests(
        self, vm: str, settings: vm_settings.VmSettings
    ) -> list[dict]:
        target_zone = settings.availability_zone
        listen = settings.listen
        orders = [
            self._link_request(zone, target_zone, vm, listen.peers)
            for zone in self.regions
        ]
        name = f'{CALLERS}>{target_zone}>{vm}'
        return [*orders, {'name': name, 'target': listen.callers}]

    def _link_request(
        self, zone: str, target_zone: str, vm: str, address: str
    ) -> dict:
        crosses = self.regions[zone] != self.regions[target_zone]
        near_ms = 0.0 if zone == target_zone else self.shape.zone_delay_ms
        return {
            'name': f'{zone}>{target_zone}>{vm}',
            'target': address,
            'group': LINK_GROUP if crosses else '',
            'delay_ms': self.shape.region_delay_ms if crosses else near_ms,
        }

    def link(self, zone: str, vm: str) -> str:
        """Return the address at which a zone reaches a VM.

        Raises:
            KeyError: If there is no such link.
        """
        for name, address in self.addresses.items():
            start, _, target = name.split('>')
            if start == zone and target == vm:
                return address
        raise KeyError(f'{zone} has no link to {vm}')

    def vm_lists(self, upstreams: Upstreams, settings: Settings) -> dict:
        """Return the VM lists for the platform, one per zone."""
        views = {
            zone: self._view(zone, upstreams, settings)
            for zone in self.regions
        }
        return {'vms': views[next(iter(views))], 'views': views}

    def _view(
        self, zone: str, upstreams: Upstreams, settings: Settings
    ) -> list[dict]:
        entries = [
            self._entry(zone, vm, each.availability_zone)
            for vm, each in settings.items()
        ]
        for upstream in upstreams.values():
            if upstream.state == 'gone':
                continue
            entry = self._entry(zone, upstream.vm, upstream.availability_zone)
            entry['kind'] = upstream.kind.value
            entry['service'] = upstream.service
            entry['state'] = upstream.state
            entries.append(entry)
        return entries

    def _entry(self, zone: str, vm: str, target_zone: str) -> dict:
        host, _, port = self.link(zone, vm).rpartition(':')
        return {
            'vm': vm,
            'address': host,
            'port': int(port),
            'availability_zone': target_zone,
            'region': self.regions[target_zone],
            'kind': states.VmKind.ENTRY.value,
            'service': None,
            'state': states.UpstreamState.LIVE.value,
        }
