"""``eelgrassknot``: the operators' command line."""

import getpass
import pathlib
import typing

import result
import typer

from eelgrassknot.coordination import config_store
from eelgrassknot import exceptions
from eelgrassknot import ids
from eelgrassknot.platforms import http
from eelgrassknot.settings import text as services_text

__all__ = ['main']

app = typer.Typer(no_args_is_help=True)
config = typer.Typer(no_args_is_help=True)
app.add_typer(config, name='config', help="The operators' text.")


@app.callback()
def options(
    context: typer.Context,
    platform: typing.Annotated[
        str, typer.Option(help='Base URL of the platform.')
    ] = '',
) -> None:
    """Look at the system and change its one text."""
    context.obj = platform


@config.command()
def accept(context: typer.Context, file: pathlib.Path) -> None:
    """Put a services text in force."""
    document = file.read_text(encoding='utf-8')
    try:
        services_text.decode(document)
    except exceptions.SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(1) from error
    table = http.create(context.obj).table
    change = ids.ChangeId(ids.random_id())
    match config_store.accept(table, document, getpass.getuser(), change):
        case result.Ok(accepted):
            typer.echo(f'accepted version {accepted.version}')
        case result.Err(error):
            typer.echo(str(error), err=True)
            raise typer.Exit(3)


def main() -> None:
    """Entry point of ``eelgrassknot``."""
    app()


if __name__ == '__main__':
    main()
