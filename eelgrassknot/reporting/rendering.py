"""Registry of the report's formats, and what several of them share."""

import collections.abc
import dataclasses
import datetime

from eelgrassknot.kernel import registry
from eelgrassknot.reporting import messages
from eelgrassknot.reporting import names

__all__ = [
    'Cells',
    'RENDERERS',
    'coverage_lines',
    'money_table',
    'operations_table',
    'show_time',
]

Renderer = collections.abc.Callable[[messages.Report], str]

RENDERERS: registry.Registry[Renderer] = registry.Registry('report format')

ALL_ACCOUNTS = '(all)'
NO_SERVICE = '(none)'
MS_PER_SECOND = 1000

_EMPTY = frozenset({'', '-', '0', '0.000', '0.0000'})


@dataclasses.dataclass(frozen=True)
class Cells:
    """A table, its cells as text.

    Attributes:
        columns: Names of the columns.
        numeric_from: Index of the first column that holds numbers.
    """

    title: str
    columns: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]
    numeric_from: int = 2


def show_time(time_ms: int | None) -> str:
    """Return a wall-clock time in UTC, to the second."""
    if time_ms is None:
        return 'unknown'
    moment = datetime.datetime.fromtimestamp(
        time_ms / MS_PER_SECOND, datetime.UTC
    )
    return moment.strftime('%Y-%m-%dT%H:%M:%SZ')


def operations_table(report: messages.Report) -> Cells:
    """Return who waited, where and why, in seconds."""
    parts = _parts_in_use(report)
    columns = (
        'service',
        'client account',
        'requests',
        'done',
        'not run',
        'other',
        'total s',
        *(f'{part} s' for part in parts),
        'total p95',
        'total p99',
        'first p95',
        'gap p95',
        'gap p99',
        'main reason',
    )
    rows = tuple(_operations_row(row, parts) for row in report.operations)
    return _without_empty_columns(
        Cells('Operations: who waited and why', columns, rows)
    )


def money_table(report: messages.Report) -> Cells:
    """Return what was paid twice, for nobody, or carried far."""
    columns = (
        'service',
        'client account',
        'tokens delivered',
        'twice: replaced',
        'twice: resumed',
        'unreceived: caller gone',
        'unreceived: other',
        'cut short',
        'MB: generations',
        'MB: plain calls',
        'MB: control',
        'MB: other',
        'price',
    )
    rows = tuple(_money_row(row) for row in report.money)
    told = tuple(row for row in rows if not _EMPTY.issuperset(row[2:]))
    return _without_empty_columns(
        Cells('Money: paid twice or carried across regions', columns, told)
    )


def coverage_lines(report: messages.Report) -> list[str]:
    """Return what the report covers and what it lacks, as sentences."""
    coverage = report.coverage
    lines = [
        f'Asked for {show_time(report.filter.since_ms)}'
        f' to {show_time(report.filter.until_ms)}.',
        f'{coverage.parts} parts of {len(coverage.vms)} VMs were read;'
        f' they cover {show_time(coverage.started_ms)}'
        f' to {show_time(coverage.ended_ms)}. Intervals are whole.',
    ]
    if coverage.folded_requests:
        lines.append(
            f'{coverage.folded_requests} requests are counted under'
            f' "{names.OTHER_ACCOUNTS}": their VMs were at the bound.'
        )
    for key in coverage.unreadable:
        lines.append(f'UNREADABLE: {key}')
    for entry in coverage.missing:
        lines.append(
            f'MISSING: {entry.vm} {entry.incarnation}'
            f' from {show_time(entry.from_ms)} to {show_time(entry.to_ms)}:'
            f' {entry.reason}.'
        )
    if not coverage.missing and not coverage.unreadable:
        lines.append('No interval is missing.')
    return lines


def _without_empty_columns(table: Cells) -> Cells:
    """Return a table without columns in which all is zero."""
    kept = [
        index
        for index in range(len(table.columns))
        if index < table.numeric_from
        or not _EMPTY.issuperset(row[index] for row in table.rows)
    ]
    return dataclasses.replace(
        table,
        columns=tuple(table.columns[index] for index in kept),
        rows=tuple(tuple(row[index] for index in kept) for row in table.rows),
    )


def _parts_in_use(report: messages.Report) -> list[str]:
    used = {part.part for row in report.operations for part in row.parts}
    return [part.value for part in names.WaitPart if part.value in used]


def _operations_row(
    row: messages.WaitRow, parts: list[str]
) -> tuple[str, ...]:
    spent_ms = {part.part: part.total_ms for part in row.parts}
    done = row.outcomes.get('done', 0)
    not_run = row.outcomes.get('not_run', 0)
    main_reason = max(row.reasons, key=row.reasons.get, default='')
    return (
        row.service,
        row.client_account or ALL_ACCOUNTS,
        str(row.requests),
        str(done),
        str(not_run),
        str(row.requests - done - not_run),
        _seconds(row.total_ms),
        *(_seconds(spent_ms.get(part, 0.0)) for part in parts),
        _quantile(row, 'total', 'p95_ms'),
        _quantile(row, 'total', 'p99_ms'),
        _quantile(row, 'first_token', 'p95_ms'),
        _quantile(row, 'token_gap', 'p95_ms'),
        _quantile(row, 'token_gap', 'p99_ms'),
        main_reason,
    )


def _money_row(row: messages.MoneyRow) -> tuple[str, ...]:
    twice = row.tokens_twice
    unreceived = dict(row.tokens_unreceived)
    caller_gone = unreceived.pop(names.DiscardReason.CALLER_GONE.value, 0)
    carried = dict(row.region_bytes)
    known = [carried.pop(cause.value, 0) for cause in names.TrafficCause]
    return (
        row.service or NO_SERVICE,
        row.client_account or ALL_ACCOUNTS,
        str(row.tokens_delivered),
        str(twice.get(names.DiscardReason.REPLACED.value, 0)),
        str(twice.get(names.DiscardReason.RESUMED.value, 0)),
        str(caller_gone),
        str(sum(unreceived.values())),
        str(row.tokens_cut),
        *(_megabytes(count) for count in known),
        _megabytes(sum(carried.values())),
        f'{row.region_cost:.4f}',
    )


def _seconds(time_ms: float) -> str:
    return f'{time_ms / MS_PER_SECOND:.3f}'


def _megabytes(count: int) -> str:
    return f'{count / 1e6:.3f}'


def _quantile(row: messages.WaitRow, measure: str, name: str) -> str:
    found = row.durations.get(measure)
    return _seconds(getattr(found, name)) if found else '-'
