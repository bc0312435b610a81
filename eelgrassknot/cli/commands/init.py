"""``eelgrassknot init``: a complete example to begin with."""

import enum
import os
import pathlib
import typing

import msgspec
import typer

from eelgrassknot.cli import console
from eelgrassknot import exceptions
from eelgrassknot.settings import examples

__all__ = ['init']

PRIVATE_MODE = 0o600
MAX_FIRST_PORT = 65_000


class DeploymentName(enum.Enum):
    """Names of the examples."""

    NADROGA = 'nadroga'
    LAGOTERMICA = 'lagotermica'


@console.application.command()
def init(
    deployment: DeploymentName,
    directory: typing.Annotated[
        pathlib.Path, typer.Argument(help='A new or empty directory.')
    ],
    platform_url: typing.Annotated[
        str, typer.Option(help='URL of the platform, for the VM settings.')
    ] = 'http://127.0.0.1:9000',
    host: typing.Annotated[
        str, typer.Option(help='IP number on which the VMs listen.')
    ] = '127.0.0.1',
    first_port: typing.Annotated[
        int, typer.Option(min=1, max=MAX_FIRST_PORT)
    ] = 18_080,
    as_json: console.JsonOption = False,
) -> None:
    """Write an example text and the settings of its entry VMs.

    The keys of the client accounts are printed once; the text holds only
    their hashes.
    """
    chosen = examples.DEPLOYMENTS.lookup(deployment.value)
    example = examples.create(chosen, platform_url, host, first_port)
    try:
        _write(example, directory)
    except OSError as error:
        console.fail(
            exceptions.SettingsError(
                f'cannot write {directory}: {error}',
                'name a new or empty directory that you may write to',
            )
        )
    if as_json:
        console.print_json(example.account_keys)
        return
    typer.echo(f'wrote {directory}/text.json and {directory}/vms/')
    typer.echo('keys of the client accounts; they are not shown again:')
    console.print_table(
        ('client account', 'key'), list(example.account_keys.items())
    )


def _write(example: examples.Example, directory: pathlib.Path) -> None:
    directory.mkdir(parents=True, exist_ok=True)
    if any(directory.iterdir()):
        raise FileExistsError('the directory is not empty')
    _write_json(directory / 'text.json', example.text)
    vms = directory / 'vms'
    vms.mkdir()
    for settings in example.settings:
        _write_json(vms / f'{settings.vm}.json', settings)


def _write_json(path: pathlib.Path, value: msgspec.Struct) -> None:
    body = msgspec.json.format(msgspec.json.encode(value))
    # The settings hold secrets: nobody else may read them, ever.
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    with os.fdopen(os.open(path, flags, PRIVATE_MODE), 'wb') as file:
        file.write(body + b'\n')
