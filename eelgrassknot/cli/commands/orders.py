"""``eelgrassknot orders``: show leases, rollouts and orders to engines."""

import typing

import msgspec
import result
import typer

from eelgrassknot.cli import console
from eelgrassknot.coordination import order_rows
from eelgrassknot.coordination import rows
from eelgrassknot.reporting import rendering
from eelgrassknot.storage import base

__all__ = ['OrdersOverview', 'orders']

PAGE_ROWS = 500

Record = typing.TypeVar('Record')


class OrdersOverview(msgspec.Struct, frozen=True):
    """Leases, rollouts and the last order to each engine.

    Attributes:
        leases: Lease on sending orders, by region.
    """

    leases: dict[str, rows.LeaseRecord]
    rollouts: list[order_rows.RolloutRow]
    orders: list[order_rows.OrderRecord]


@console.application.command()
def orders(
    context: typer.Context,
    service: typing.Annotated[
        str | None, typer.Option(help='Only orders to this service.')
    ] = None,
    as_json: console.JsonOption = False,
) -> None:
    """Show lease holders, rollouts and the last order to each engine."""
    table = console.platform(context).table
    book = OrdersOverview(
        _read_records(table, rows.LEASE_TABLE, rows.LeaseRecord),
        [
            row
            for row in _read_records(
                table, order_rows.ROLLOUTS_TABLE, order_rows.RolloutRow
            ).values()
            if service in (None, row.record.service)
        ],
        [
            row
            for row in _read_records(
                table, order_rows.ORDERS_TABLE, order_rows.OrderRecord
            ).values()
            if service in (None, row.service)
        ],
    )
    if as_json:
        console.print_json(book)
    else:
        _print(book)


def _read_records(
    table: base.Table, name: str, kind: type[Record]
) -> dict[str, Record]:
    found: dict[str, Record] = {}
    after = ''
    while True:
        match table.list_rows(name, after=after, limit=PAGE_ROWS):
            case result.Err(error):
                console.fail(error)
            case result.Ok(page):
                for row in page:
                    found[row.key] = _decode_row(row, kind)
        if len(page) < PAGE_ROWS:
            return found
        after = page[-1].key


def _decode_row(row: base.Row, kind: type[Record]) -> Record:
    match rows.decode(row.value, kind):
        case result.Err(error):
            console.fail(error)
        case result.Ok(record):
            return record


def _print(book: OrdersOverview) -> None:
    console.print_table(
        ('region', 'epoch', 'holder', 'incarnation'),
        [
            (region, str(r.epoch), r.holder or '(nobody)', r.incarnation)
            for region, r in book.leases.items()
        ],
    )
    typer.echo()
    console.print_table(
        ('region', 'service', 'rollout', 'model', 'version', 'canary'),
        [_rollout_row(row) for row in book.rollouts],
    )
    typer.echo()
    console.print_table(
        ('time', 'service', 'engine', 'order', 'state', 'by', 'fencing'),
        [_order_row(row) for row in book.orders],
    )


def _rollout_row(row: order_rows.RolloutRow) -> tuple[str, ...]:
    record = row.record
    return (
        row.region,
        record.service,
        record.state.value,
        record.target.model,
        record.target.version,
        record.canary or '-',
    )


def _order_row(row: order_rows.OrderRecord) -> tuple[str, ...]:
    wanted = (row.order.model, row.order.version, row.order.adapter)
    named = ' '.join(part for part in wanted if part)
    return (
        rendering.format_time(row.at_ms),
        row.service,
        row.upstream,
        f'{row.order.order.value} {named}',
        row.state.value,
        row.holder,
        str(row.fencing),
    )
