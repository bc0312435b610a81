"""Settings of an entry VM that forwards on a platform."""

import msgspec

from eelgrassknot import exceptions
from eelgrassknot.settings import vm as vm_settings

__all__ = ['Addresses', 'EntrySettings', 'Rules', 'load']


class _StrictStruct(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An unknown or missing field is an error that names it."""


class Addresses(_StrictStruct):
    """Addresses, as ``IP:port``.

    Attributes:
        callers: Where callers connect.
        readiness: Where the balancer asks whether this VM is ready.
        peers: Where other entry VMs connect.
        metrics: Where metrics are read.
        store: Where the platform's metadata store is.
    """

    callers: str
    readiness: str
    peers: str
    metrics: str
    store: str


class Rules(_StrictStruct):
    """Bounds of the deployment, as its platform sets them.

    Attributes:
        drain_ms: A leaving upstream gets nothing new after this.
        grace_s: Seconds from SIGTERM to SIGKILL.
        contact_ms: Time without trouble after which bounds hold.
        revoke_ms: A revoked key opens nothing after this, or None where
            revocation has no bound of its own.
        address_reuse_s: Seconds after which an address may name another
            upstream.
        retry_ratio: Repeats allowed for each request of a service.
        retry_burst: Repeats allowed beside those, over all VMs.
        retry_window_s: Seconds of the window over which both are counted.
    """

    drain_ms: float
    grace_s: float
    contact_ms: float
    revoke_ms: float | None
    address_reuse_s: float
    retry_ratio: float
    retry_burst: float
    retry_window_s: float


class EntrySettings(_StrictStruct):
    """What an entry VM needs before it reaches anything.

    Attributes:
        regions: Region of each availability zone.
        memory_mb: Memory that the process may take.
        descriptors: File descriptors that it may open.
        heartbeat_ms: How often servers write to the store.
    """

    vm: str
    availability_zone: str
    region: str
    regions: dict[str, str]
    listen: Addresses
    memory_mb: float
    descriptors: int
    heartbeat_ms: float
    rules: Rules
    log_level: str = 'info'


def load(path: str) -> EntrySettings:
    """Load the settings.

    Args:
        path: Path of the JSON file.

    Raises:
        SettingsError: If the file cannot be used; the message names the
            field and the remedy.
    """
    document = vm_settings.read_document(path)
    try:
        settings = msgspec.json.decode(document, type=EntrySettings)
        for name in settings.listen.__struct_fields__:
            _check_address(name, getattr(settings.listen, name))
    except msgspec.MsgspecError as error:
        raise exceptions.SettingsError(
            f'{path}: {error}',
            'correct the field that the message names in the template of '
            'the settings, deploy/entry-settings.json.template',
        ) from error
    return settings


def _check_address(name: str, address: str) -> None:
    try:
        host, port = vm_settings.split_address(address)
    except ValueError:
        host, port = '', 0
    if not host or not port:
        raise msgspec.ValidationError(
            f'Expected `IP:port`, got {address!r} - at `$.listen.{name}`'
        )
