"""``eelgrassknot deployment``: inspect a deployment on its platform."""

import pathlib
import typing

import result
import typer

from eelgrassknot.cli import console
from eelgrassknot import exceptions
from eelgrassknot.forwarding import dialect as dialects
from eelgrassknot.forwarding import overview
from eelgrassknot.forwarding import state_check
from eelgrassknot.kernel import registry

__all__ = ['group']

group = typer.Typer(no_args_is_help=True)
console.application.add_typer(
    group, name='deployment', help='Deployments of entry VMs on a platform.'
)

DialectOption = typing.Annotated[
    str, typer.Option(help='Adapter of the platform.')
]


@group.command()
def check(
    file: typing.Annotated[
        pathlib.Path,
        typer.Argument(help='File with the desired state.'),
    ],
    dialect: DialectOption = 'users',
    as_json: console.JsonOption = False,
) -> None:
    """List the faults of a desired state without changing anything."""
    try:
        document = file.read_bytes()
    except OSError as error:
        console.usage_error(f'cannot read {file}: {error.strerror}')
    match _adapter(dialect).decode_state(document):
        case result.Ok(state):
            found = state_check.check_state(state)
        case result.Err(error):
            console.fail(error)
    if as_json:
        console.print_json({'usable': not found, 'faults': found})
    else:
        for fault in found:
            typer.echo(str(fault), err=True)
        if not found:
            typer.echo(f'version {state.version} is valid')
    if found:
        raise typer.Exit(console.ExitCode.REFUSED)


@group.command()
def status(
    store: typing.Annotated[
        str, typer.Argument(help='Address of the store, IP:port.')
    ],
    dialect: DialectOption = 'users',
    as_json: console.JsonOption = False,
) -> None:
    """Show state, upstreams, entry VMs, evacuated zones, blocked prompts."""
    adapter = _adapter(dialect)
    match overview.read_overview(adapter.open_store(store), adapter, {}):
        case result.Ok(found):
            pass
        case result.Err(error):
            console.fail(error)
    if as_json:
        console.print_json(found)
        return
    version = found.state_version
    typer.echo(f'state version: {"none" if version is None else version}')
    typer.echo(f'routes: {found.routes}, client accounts: {found.accounts}')
    console.print_table(
        ('upstream', 'service', 'zone', 'address', 'state'),
        [
            (
                each.upstream,
                each.service,
                each.availability_zone,
                each.address,
                each.state,
            )
            for each in found.upstreams
        ],
    )
    console.print_table(
        ('entry VM', 'zone', 'address'),
        [(vm.vm, vm.availability_zone, vm.address) for vm in found.vms],
    )
    for zone in found.evacuated:
        typer.echo(f'evacuated zone: {zone}')
    for parts in found.blocked:
        typer.echo(f'blocked prompt parts: {", ".join(parts)}')


def _adapter(name: str) -> dialects.Dialect:
    registry.load_plugins('eelgrassknot.platform')
    try:
        return dialects.DIALECTS.lookup(name)
    except exceptions.PluginError as error:
        console.usage_error(str(error))
