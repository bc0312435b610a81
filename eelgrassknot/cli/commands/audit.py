"""``eelgrassknot audit``: list changes and their authors."""

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
    str, typer.Option(help='Start of the range: an age such as 24h or a time.')
]
UntilOption = typing.Annotated[
    str, typer.Option(help='End of the range: an age or a time.')
]
ServiceOption = typing.Annotated[
    str | None, typer.Option(help='Only changes that affect this service.')
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
    """List the changes to the system in chronological order."""
    audit_filter = _filter(since, until, author, service)
    _print_records(
        _read(console.platform(context).table, audit_filter), as_json
    )


def _filter(
    since: str, until: str, author: str | None, service: str | None
) -> audit_reader.AuditFilter:
    now_ms = clocks.WallClock().now_ms()
    since_ms = times.parse_time(since, now_ms)
    until_ms = times.parse_time(until, now_ms)
    # Includes records of the current millisecond.
    return audit_reader.AuditFilter(since_ms, until_ms + 1, author, service)


def _read(
    table: base.Table, audit_filter: audit_reader.AuditFilter
) -> list[rows.AuditRecord]:
    match audit_reader.read_records(table, audit_filter):
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
        typer.echo('no changes recorded')
