"""``eelgrassknot report``: show request latency, outcomes and cost."""

import enum
import pathlib
import typing

import result
import typer

from eelgrassknot.cli import console
from eelgrassknot.cli import times
from eelgrassknot import clock as clocks
from eelgrassknot import ids
from eelgrassknot.kernel import registry
from eelgrassknot.reporting import messages
from eelgrassknot.reporting import reader
from eelgrassknot.reporting import rendering
from eelgrassknot import states
from eelgrassknot.storage import base

__all__ = ['report']


class Format(enum.Enum):
    """Output formats; the values are names in the registry."""

    TEXT = 'text'
    JSON = 'json'
    CSV = 'csv'
    HTML = 'html'


@console.application.command()
def report(
    context: typer.Context,
    since: typing.Annotated[
        str,
        typer.Option(help='Start of the range: an age such as 24h or a time.'),
    ] = '24h',
    until: typing.Annotated[
        str, typer.Option(help='End of the range: an age or a time.')
    ] = 'now',
    service: typing.Annotated[
        str | None, typer.Option(help='Only this service.')
    ] = None,
    client_account: typing.Annotated[
        str | None, typer.Option(help='Only this client account.')
    ] = None,
    as_json: console.JsonOption = False,
    csv: typing.Annotated[
        bool, typer.Option('--csv', help='Print CSV for spreadsheets.')
    ] = False,
    html: typing.Annotated[
        bool, typer.Option('--html', help='Print a self-contained HTML page.')
    ] = False,
    output: typing.Annotated[
        pathlib.Path | None, typer.Option(help='Output file.')
    ] = None,
) -> None:
    """Show a report on all VMs for a time range."""
    chosen = _format(as_json, csv, html)
    report_filter = _filter(since, until, service, client_account)
    platform = console.platform(context)
    read = reader.read_report(
        platform.objects, report_filter, _entry_vms(platform.vms)
    )
    match read:
        case result.Err(error):
            console.fail(error)
        case result.Ok(found):
            _write(_render(found, chosen), output)


def _format(as_json: bool, csv: bool, html: bool) -> Format:
    if as_json + csv + html > 1:
        console.usage_error('choose one of --json, --csv and --html')
    if as_json:
        return Format.JSON
    if csv:
        return Format.CSV
    return Format.HTML if html else Format.TEXT


def _filter(
    since: str,
    until: str,
    service: str | None,
    client_account: str | None,
) -> messages.ReportFilter:
    now_ms = clocks.WallClock().now_ms()
    since_ms = times.parse_time(since, now_ms)
    until_ms = times.parse_time(until, now_ms)
    if since_ms >= until_ms:
        console.usage_error('--since must be before --until')
    return messages.ReportFilter(since_ms, until_ms, service, client_account)


def _entry_vms(vm_list: base.VmList) -> list[ids.VmId]:
    match vm_list.list_vms():
        case result.Err(error):
            console.fail(error)
        case result.Ok(listed):
            return [v.vm for v in listed if v.kind is states.VmKind.ENTRY]


def _render(found: messages.Report, chosen: Format) -> str:
    registry.load_plugins('eelgrassknot.reporting.renderers')
    return rendering.RENDERERS.lookup(chosen.value)(found)


def _write(text: str, output: pathlib.Path | None) -> None:
    if output is None:
        typer.echo(text.rstrip('\n'))
        return
    try:
        output.write_text(text, encoding='utf-8')
    except OSError as error:
        console.usage_error(f'cannot write {output}: {error.strerror}')
    typer.echo(f'wrote {output}')
