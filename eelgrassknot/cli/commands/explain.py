"""``eelgrassknot explain``: find out why a request ended as it did."""

import pathlib
import typing

import msgspec
import typer

from eelgrassknot.cli import console
from eelgrassknot.reporting import explanation

__all__ = ['explain']


@console.application.command()
def explain(
    request: typing.Annotated[
        str, typer.Argument(help='Identifier of the request.')
    ],
    logs: typing.Annotated[
        list[pathlib.Path],
        typer.Argument(help='Log files of the entry VMs.', exists=True),
    ],
    as_json: console.JsonOption = False,
) -> None:
    """Show the history of a request from logs and the cause of its end."""
    lines: list[str] = []
    for path in logs:
        text = path.read_text(encoding='utf-8', errors='replace')
        lines += text.splitlines()
    found = explanation.explain(request, lines)
    if as_json:
        document = {
            'request': found.request,
            'reason': found.reason,
            'cause': found.cause,
            'timeline': [line.text for line in found.timeline],
        }
        typer.echo(msgspec.json.encode(document).decode())
    else:
        for line in found.timeline:
            typer.echo(line.text)
        typer.echo(f'reason: {found.reason or "none"}')
        typer.echo(f'cause: {found.cause}')
    if not found.timeline:
        raise typer.Exit(console.ExitCode.REFUSED)
