"""Common parts of all commands: application, platform, output, exit codes."""

import enum
import os
import sys
import typing

import msgspec
import typer

from eelgrassknot import exceptions
from eelgrassknot.kernel import registry
from eelgrassknot.storage import base

__all__ = [
    'ExitCode',
    'JsonOption',
    'application',
    'fail',
    'platform',
    'print_json',
    'print_table',
    'usage_error',
]

PLATFORM_VARIABLE = 'EELGRASSKNOT_PLATFORM'
COLUMN_SEPARATOR = '  '

application = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help='Inspect the system and change its services text.',
)

JsonOption = typing.Annotated[
    bool, typer.Option('--json', help='Print JSON for other programs.')
]


class ExitCode(enum.IntEnum):
    """Exit codes of the commands."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE_OR_UNKNOWN = 3


_UNKNOWN_OUTCOME_ERRORS = (
    exceptions.PlatformUnavailableError,
    exceptions.UnknownOutcomeError,
    exceptions.MalformedAnswerError,
)


@application.callback()
def options(
    context: typer.Context,
    platform: typing.Annotated[
        str,
        typer.Option(
            envvar=PLATFORM_VARIABLE, help='Base URL of the platform.'
        ),
    ] = '',
    plugin: typing.Annotated[
        str, typer.Option(help='Plug-in that reaches the platform.')
    ] = 'http',
) -> None:
    """Inspect the system and change its services text."""
    context.obj = (plugin, platform)


def platform(context: typer.Context) -> base.Platform:
    """Return the platform given by the command line options.

    Args:
        context: Context of the command.
    """
    plugin, url = context.obj
    if not url.startswith(('http://', 'https://')):
        usage_error(
            'name the platform with eelgrassknot --platform http://IP:port'
        )
    registry.load_plugins('eelgrassknot.storage')
    try:
        return base.PLATFORMS.lookup(plugin)(url)
    except exceptions.PluginError as error:
        usage_error(str(error))


def fail(error: exceptions.EelgrassknotError) -> typing.NoReturn:
    """Print an error with its remedy and exit with its exit code."""
    typer.echo(f'error: {error}', err=True)
    is_unclear = isinstance(error, _UNKNOWN_OUTCOME_ERRORS)
    code = ExitCode.UNREACHABLE_OR_UNKNOWN if is_unclear else ExitCode.REFUSED
    raise typer.Exit(code)


def usage_error(message: str) -> typing.NoReturn:
    """Print a usage error and exit with code 2."""
    typer.echo(f'error: {message}', err=True)
    raise typer.Exit(ExitCode.USAGE)


def print_json(value: typing.Any) -> None:
    """Print a value as one JSON document."""
    body = msgspec.json.format(msgspec.json.encode(value))
    typer.echo(body.decode())


def print_table(
    columns: typing.Sequence[str], rows: typing.Iterable[typing.Sequence[str]]
) -> None:
    """Print aligned columns."""
    grid = [tuple(columns), *rows]
    widths = [max(map(len, cells)) for cells in zip(*grid)]
    for row in grid:
        cells = [cell.ljust(width) for cell, width in zip(row, widths)]
        typer.echo(COLUMN_SEPARATOR.join(cells).rstrip())


def close_output() -> None:
    """Redirect standard output to the null device after a broken pipe."""
    # Otherwise the interpreter reports an error when it flushes on exit.
    os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
