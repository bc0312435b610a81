"""Command line of the daemon of an entry VM."""

import collections.abc
import typing

import typer

__all__ = ['parse_and_run']


def parse_and_run(
    run: collections.abc.Callable[[str, str], None],
    load_settings: collections.abc.Callable[[str], object],
) -> None:
    """Parse the arguments of the process and carry out the command.

    Args:
        run: Runs the daemon, given the path of its settings and its
            dialect.
        load_settings: Loads the settings; exits if they are invalid.
    """

    def command(
        settings: typing.Annotated[
            str,
            typer.Option(
                envvar='EELGRASSKNOT_BOOT',
                help='Path of the JSON settings of this VM.',
            ),
        ],
        dialect: typing.Annotated[
            str, typer.Option(help='Adapter of the platform.')
        ] = 'users',
        check: typing.Annotated[
            bool, typer.Option(help='Validate the settings and exit.')
        ] = False,
    ) -> None:
        """Run the daemon of an entry VM on a platform."""
        if not check:
            run(settings, dialect)
            return
        load_settings(settings)
        typer.echo('the settings are valid')

    typer.run(command)
