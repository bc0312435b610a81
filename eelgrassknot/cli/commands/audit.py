"""``eelgrassknot audit``: what was changed, and by whom."""

import typing

import result
import typer

from eelgrassknot.cli import console
from eelgrassknot.cli import times
from eelgrassknot import clock as clocks
from eelgrassknot.coordination import rows
from eelgrassknot.reporting import audit as audit_reader
from eelgrassknot.storage import base

__all__ = ['audit']

SinceOption = typing.Annotated[
    str, typer.Option(help='From when: an age such as 24h, or a time.')
]
UntilOption = typing.Annotated[str, typer.Option(help='Until when.')]
ServiceOption = typing.Annotated[
    str | None, typer.Option(help='Only what concerns this service.')
]


@console.application.command()
def audit(
    context: typer.Context,
    since: SinceOption = '7d',
    until: UntilOption = 'now',
    author: typing.Annotated[
        str | None, typer.Option(help='Only changes by this person or VM.')
    ] = None,
    service: ServiceOption = None,
    as_json: console.JsonOption = False,
) -> None:
    """List the changes of the system, the earliest first."""
    wanted = _filter(since, until, author, service)
    _print_records(_read(console.platform(context).table, wanted), as_json)


def _filter(
    since: str, until: str, author: str | None, service: str | None
) -> audit_reader.AuditFilter:
    now_ms = clocks.WallClock().now_ms()
    since_ms = times.parse_time(since, now_ms)
    until_ms = times.parse_time(until, now_ms)
    # Rows of this very millisecond are wanted too.
    return audit_reader.AuditFilter(since_ms, until_ms + 1, author, service)


def _read(
    table: base.Table, wanted: audit_reader.AuditFilter
) -> list[rows.AuditRecord]:
    match audit_reader.read_records(table, wanted):
        case result.Err(error):
            console.fail(error)
        case result.Ok(found):
            return found


def _print_records(found: list[rows.AuditRecord], as_json: bool) -> None:
    if as_json:
        console.print_json(found)
        return
    for record in found:
        for line in audit_reader.format_record(record):
            typer.echo(line)
    if not found:
        typer.echo('nothing was recorded')
