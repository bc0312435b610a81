"""Complete example services texts and VM settings of two deployments."""

import dataclasses
import hashlib
import secrets

from eelgrassknot import ids
from eelgrassknot.kernel import registry
from eelgrassknot.settings import text as services_text
from eelgrassknot.settings import vm as vm_settings
from eelgrassknot import states

__all__ = ['DEPLOYMENTS', 'Deployment', 'Example', 'create']

KEY_BYTES = 32
PORTS_PER_VM = 3
LARGE_WEIGHT = 4.0
LARGE_REQUESTS_PER_SECOND = 20.0
LARGE_TOKENS_PER_MINUTE = 120_000.0
SMALL_REQUESTS_PER_SECOND = 5.0
SMALL_TOKENS_PER_MINUTE = 30_000.0
PRICE_PER_GIGABYTE = 0.09


@dataclasses.dataclass(frozen=True)
class EntryVms:
    """Number and name prefix of the entry VMs in an availability zone."""

    region: str
    availability_zone: str
    prefix: str
    count: int


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Parameters of an example deployment."""

    name: str
    entry_vms: tuple[EntryVms, ...]
    services: tuple[services_text.Service, ...]
    large_accounts: tuple[str, ...]
    small_accounts: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Example:
    """Services text, VM settings and account keys of an example.

    Attributes:
        account_keys: Bearer key of each client account; the services text
            contains only their hashes.
    """

    text: services_text.ServicesText
    settings: tuple[vm_settings.VmSettings, ...]
    account_keys: dict[ids.ClientAccountId, str]


DEPLOYMENTS: registry.Registry[Deployment] = registry.Registry('deployment')

DEPLOYMENTS.register('nadroga')(
    Deployment(
        'nadroga',
        (
            EntryVms('viti-levu', 'nadi-yard', 'nadi', 3),
            EntryVms('viti-levu', 'sigatoka-yard', 'sigatoka', 2),
            EntryVms('vanua-levu', 'savusavu-yard', 'savusavu', 2),
        ),
        (
            services_text.Service(
                'shop-assistant',
                states.ServiceKind.ENGINE,
                depends_on=('desk-app',),
                model=services_text.Model('m-writeup', '3', ('buggy-logs',)),
                engines_check_fencing=True,
                objective=services_text.Objective(3.0, 1.0, 1.0),
            ),
            services_text.Service(
                'desk-app',
                states.ServiceKind.PLAIN,
                calls=(
                    services_text.Call('GET', '/availability', True),
                    services_text.Call('POST', '/bookings', False),
                ),
            ),
        ),
        ('coral-resort', 'sunset-villas', 'mechanics'),
        (
            'beach-house',
            'reef-lodge',
            'palm-court',
            'lagoon-inn',
            'airport-desk',
            'harbour-desk',
            'night-desk',
        ),
    )
)

DEPLOYMENTS.register('lagotermica')(
    Deployment(
        'lagotermica',
        (
            EntryVms('central', 'heredia', 'heredia', 3),
            EntryVms('central', 'cartago', 'cartago', 2),
            EntryVms('guanacaste', 'liberia', 'liberia', 2),
        ),
        (
            services_text.Service(
                'quoter',
                states.ServiceKind.ENGINE,
                depends_on=('orderdesk',),
                model=services_text.Model('m-quote', '1', ('lagging',)),
                engines_check_fencing=False,
                objective=services_text.Objective(1.0, 1.0, 3.0),
            ),
            services_text.Service(
                'orderdesk',
                states.ServiceKind.PLAIN,
                calls=(
                    services_text.Call('GET', '/stock', True),
                    services_text.Call('GET', '/orders', True),
                    services_text.Call('POST', '/confirmations', False),
                ),
            ),
        ),
        ('hospital-central', 'cement-works', 'geothermal-plant'),
        (
            'hospital-norte',
            'dairy-plant',
            'sugar-mill',
            'brewery',
            'contractor-uno',
            'contractor-dos',
            'contractor-tres',
        ),
    )
)


def create(
    deployment: Deployment, platform_url: str, host: str, first_port: int
) -> Example:
    """Return an example with newly generated secrets.

    Args:
        deployment: The deployment.
        platform_url: URL of the platform.
        host: IP address on which all VMs of the example listen.
        first_port: First port; each VM uses three consecutive ports.
    """
    names = deployment.large_accounts + deployment.small_accounts
    account_keys = {ids.ClientAccountId(name): _secret() for name in names}
    text = services_text.ServicesText(
        deployment=deployment.name,
        regions=_regions(deployment),
        services=deployment.services,
        client_accounts=tuple(
            _account(deployment, name, key)
            for name, key in account_keys.items()
        ),
        region_link=services_text.RegionLink(
            price_per_gigabyte=PRICE_PER_GIGABYTE
        ),
    )
    settings = _settings(deployment, platform_url, host, first_port)
    return Example(text, settings, account_keys)


def _secret() -> str:
    return secrets.token_urlsafe(KEY_BYTES)


def _regions(deployment: Deployment) -> tuple[services_text.Region, ...]:
    zones: dict[str, list[str]] = {}
    for group in deployment.entry_vms:
        zones.setdefault(group.region, []).append(group.availability_zone)
    return tuple(
        services_text.Region(region, tuple(members))
        for region, members in zones.items()
    )


def _account(
    deployment: Deployment, name: str, key: str
) -> services_text.ClientAccount:
    is_large = name in deployment.large_accounts
    return services_text.ClientAccount(
        name,
        hashlib.sha256(key.encode()).hexdigest(),
        LARGE_WEIGHT if is_large else 1.0,
        LARGE_REQUESTS_PER_SECOND if is_large else SMALL_REQUESTS_PER_SECOND,
        LARGE_TOKENS_PER_MINUTE if is_large else SMALL_TOKENS_PER_MINUTE,
        tuple(service.service for service in deployment.services),
    )


def _settings(
    deployment: Deployment, platform_url: str, host: str, first_port: int
) -> tuple[vm_settings.VmSettings, ...]:
    cursor_keys = (vm_settings.Key('cursor-1', _secret()),)
    peer_keys = (vm_settings.Key('peer-1', _secret()),)
    names = [
        (f'{group.prefix}-{number}', group)
        for group in deployment.entry_vms
        for number in range(1, group.count + 1)
    ]
    ports = [first_port + index * PORTS_PER_VM for index in range(len(names))]
    peers = [f'{host}:{port + 2}' for port in ports]
    return tuple(
        vm_settings.VmSettings(
            name,
            group.availability_zone,
            group.region,
            vm_settings.Listen(
                f'{host}:{port}', f'{host}:{port + 1}', f'{host}:{port + 2}'
            ),
            vm_settings.PlatformSettings(platform_url),
            cursor_keys,
            peer_keys,
            tuple(peer for peer in peers if peer != f'{host}:{port + 2}'),
        )
        for (name, group), port in zip(names, ports, strict=True)
    )
