"""``eelgrassknot status``: show the status of each entry VM."""

import concurrent.futures
import typing

import msgspec
import result
import typer

from eelgrassknot.cli import console
from eelgrassknot import clock as clocks
from eelgrassknot.coordination import config_store
from eelgrassknot import http_client
from eelgrassknot.reporting import reader
from eelgrassknot.settings import vm as vm_settings
from eelgrassknot import states
from eelgrassknot.storage import base

__all__ = ['VmStatus', 'status']

TIMEOUT_MS = 2_000
MAX_THREADS = 16
# Wildcard hosts: valid for a listener, but not as a destination.
WILDCARD_HOSTS = ('0.0.0.0', '[::]', '::')


class StatusDocument(msgspec.Struct, frozen=True):
    """The fields used of a VM's status document."""

    vm: str
    incarnation: str = ''
    availability_zone: str = ''
    state: str = ''
    config_version: int = 0


class VmStatus(msgspec.Struct, frozen=True):
    """Status of one VM.

    Attributes:
        behind: Number of versions it has yet to adopt, None if unknown.
        document: Its complete status document, None without an answer.
    """

    vm: str
    availability_zone: str
    state: str
    config_version: int | None
    behind: int | None
    reason: str
    document: typing.Any = None


class Status(msgspec.Struct, frozen=True):
    """Status of all entry VMs."""

    config_version: int
    vms: list[VmStatus]


@console.application.command()
def status(
    context: typer.Context,
    as_json: console.JsonOption = False,
    operators_port: typing.Annotated[
        int | None,
        typer.Option(help="Port of the operators' listener of every VM."),
    ] = None,
) -> None:
    """Show each entry VM and whether it has the current services text."""
    platform = console.platform(context)
    version = _version_in_force(platform.table)
    match platform.vms.list_vms():
        case result.Err(error):
            console.fail(error)
        case result.Ok(listed):
            vms = [v for v in listed if v.kind is states.VmKind.ENTRY]
    now_ms = clocks.WallClock().now_ms()
    known = reader.read_operators_addresses(platform.objects, now_ms)
    with concurrent.futures.ThreadPoolExecutor(MAX_THREADS) as executor:
        asked = executor.map(
            lambda vm: _vm_status(
                vm, _address(vm, known.get(vm.vm), operators_port), version
            ),
            vms,
        )
        found = sorted(asked, key=lambda vm: (vm.availability_zone, vm.vm))
    if as_json:
        console.print_json(Status(version, found))
        return
    typer.echo(f'current version of the services text: {version}')
    console.print_table(
        ('vm', 'availability zone', 'state', 'version', 'behind', 'note'),
        [_status_row(vm) for vm in found],
    )


def _version_in_force(table: base.Table) -> int:
    match config_store.read_stamp(table):
        case result.Err(error):
            console.fail(error)
        case result.Ok(stamp):
            return stamp.version if stamp else 0


def _address(
    vm: base.VmEntry, known: str | None, operators_port: int | None
) -> str:
    """Return the address at which to request the status of a VM.

    The platform lists one port per VM, which need not be the operators'
    port; the VM stores that address with its parts of the report.
    """
    if operators_port is not None:
        return f'{vm.address}:{operators_port}'
    if known is None:
        return f'{vm.address}:{vm.port}'
    host, port = vm_settings.split_address(known)
    return f'{vm.address if host in WILDCARD_HOSTS else host}:{port}'


def _vm_status(vm: base.VmEntry, address: str, version: int) -> VmStatus:
    url = f'http://{address}/status'
    reason = f'no answer from {address}'
    match http_client.request('GET', url, timeout_ms=TIMEOUT_MS):
        case result.Ok(http_client.HttpResponse(status=200, body=body)):
            found = _read_document(body)
            if found is not None and found.vm == vm.vm:
                return _status_from_document(vm, found, body, version)
            reason = f'another process answered at {address}'
        case result.Ok(other):
            reason = f'status {other.status} from {address}'
    return VmStatus(
        vm.vm, vm.availability_zone, vm.state.value, None, None, reason
    )


def _read_document(body: bytes) -> StatusDocument | None:
    try:
        return msgspec.json.decode(body, type=StatusDocument)
    except msgspec.MsgspecError:
        return None


def _status_from_document(
    vm: base.VmEntry, found: StatusDocument, body: bytes, version: int
) -> VmStatus:
    behind = max(0, version - found.config_version)
    return VmStatus(
        vm.vm,
        found.availability_zone,
        found.state,
        found.config_version,
        behind,
        'behind' if behind else '',
        msgspec.json.decode(body),
    )


def _status_row(vm: VmStatus) -> tuple[str, ...]:
    return (
        vm.vm,
        vm.availability_zone,
        vm.state,
        '-' if vm.config_version is None else str(vm.config_version),
        '-' if vm.behind is None else str(vm.behind),
        vm.reason,
    )
