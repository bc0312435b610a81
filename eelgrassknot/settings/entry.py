"""Settings of an entry VM process that forwards requests."""

import msgspec

from eelgrassknot import exceptions
from eelgrassknot.settings import vm as vm_settings

__all__ = ['Addresses', 'EntrySettings', 'Rules', 'load']


MIN_CALLER_MEMORY_MB = 13
"""Room for one request of the largest size, as `caller_memory.MIN_BYTES`."""


class _StrictStruct(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base whose decoding fails on unknown fields."""


class Addresses(_StrictStruct):
    """Addresses in the form ``IP:port``.

    Attributes:
        callers: Listening address for callers.
        readiness: Listening address for the balancer's readiness checks.
        peers: Listening address for other entry VMs.
        metrics: Listening address for metrics requests.
        store: Address of the platform's metadata store.
    """

    callers: str
    readiness: str
    peers: str
    metrics: str
    store: str


class Rules(_StrictStruct):
    """Limits that the platform sets for the deployment.

    Attributes:
        drain_ms: Time after which a leaving upstream gets no new work.
        grace_s: Seconds between SIGTERM and SIGKILL.
        contact_ms: Time without failures after which the limits hold.
        revoke_ms: Time after which a revoked key is rejected, or None if
            revocation has no limit of its own.
        address_reuse_s: Seconds after which an address may be reused by
            another upstream.
        retry_ratio: Retries allowed per request of a service.
        retry_burst: Additional retries allowed, over all VMs.
        retry_window_s: Length in seconds of the window over which retries
            are counted.
        warm_up_excess: Factor by which the rate that a cold upstream
            tolerates may be exceeded in one second, or None.
        warm_up_slack: Further requests that it tolerates in one second, or
            None.
        evacuate_ms: Time after the request to evacuate a zone from which
            its upstreams must get nothing new, or None.
    """

    drain_ms: float
    grace_s: float
    contact_ms: float
    revoke_ms: float | None
    address_reuse_s: float
    retry_ratio: float
    retry_burst: float
    retry_window_s: float
    warm_up_excess: float | None = None
    warm_up_slack: float | None = None
    evacuate_ms: float | None = None


class EntrySettings(_StrictStruct):
    """Settings of an entry VM that it needs before contacting any service.

    Attributes:
        regions: Region of each availability zone.
        memory_mb: Memory limit of the process.
        descriptors: Maximum number of open file descriptors.
        heartbeat_ms: Interval at which servers write to the store.
        caller_memory_mb: Bound on what is held for callers; None derives it
            from memory_mb.
        caller_connections: Bound on callers' connections; None derives it
            from descriptors.
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
    caller_memory_mb: float | None = None
    caller_connections: int | None = None


def load(path: str) -> EntrySettings:
    """Load the settings.

    Args:
        path: Path of the JSON file.

    Raises:
        SettingsError: If the file is invalid; the message names the field
            and the remedy.
    """
    document = vm_settings.read_document(path)
    try:
        settings = msgspec.json.decode(document, type=EntrySettings)
        for name in settings.listen.__struct_fields__:
            _check_address(name, getattr(settings.listen, name))
        _check_caller_bounds(settings)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise exceptions.SettingsError(
            f'{path}: {error}',
            'correct the field that the message names in the template of '
            'the settings, deploy/entry-settings.json.template',
        ) from error
    return settings


def _check_caller_bounds(settings: EntrySettings) -> None:
    memory_mb = settings.caller_memory_mb
    if memory_mb is not None and not (
        MIN_CALLER_MEMORY_MB <= memory_mb < settings.memory_mb
    ):
        raise msgspec.ValidationError(
            f'Expected at least {MIN_CALLER_MEMORY_MB} and less than '
            '`memory_mb` - at `$.caller_memory_mb`'
        )
    connections = settings.caller_connections
    if connections is not None and not (
        1 <= connections < settings.descriptors
    ):
        raise msgspec.ValidationError(
            'Expected at least 1 and less than `descriptors` - at '
            '`$.caller_connections`'
        )


def _check_address(name: str, address: str) -> None:
    try:
        host, port = vm_settings.split_address(address)
    except ValueError:
        host, port = '', 0
    if not host or not port:
        raise msgspec.ValidationError(
            f'Expected `IP:port`, got {address!r} - at `$.listen.{name}`'
        )
