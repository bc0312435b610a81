"""Reading and formatting of the audit trail."""

import collections.abc
import json

import msgspec
import result

from eelgrassknot.coordination import rows
from eelgrassknot.reporting import rendering
from eelgrassknot.storage import base

__all__ = ['AuditFilter', 'format_record', 'read_records']

PAGE_ROWS = 500
MAX_VALUE_CHARACTERS = 100


class AuditFilter(msgspec.Struct, frozen=True):
    """Selection of audit records.

    Attributes:
        since_ms: Start of the time range (inclusive), wall clock.
        until_ms: End of the time range (exclusive), wall clock.
        author: Person or VM that made the change, or None for any.
        service: Service that the change affects, or None for any.
    """

    since_ms: int
    until_ms: int
    author: str | None = None
    service: str | None = None

    def matches(self, record: rows.AuditRecord) -> bool:
        """Return whether a record matches, apart from its time."""
        # A record without services applies to all of them.
        concerned = not record.services or self.service in record.services
        return self.author in (None, record.author) and (
            self.service is None or concerned
        )


def read_records(
    table: base.Table, audit_filter: AuditFilter
) -> result.Result[list[rows.AuditRecord], base.PlatformError]:
    """Return the matching records in chronological order.

    Args:
        table: Table of the platform.
        audit_filter: Records to select.
    """
    found = []
    after = rows.audit_key(max(0, audit_filter.since_ms), '')
    end = rows.audit_key(max(0, audit_filter.until_ms), '')
    while True:
        listed = table.list_rows(
            rows.AUDIT_TABLE, after=after, limit=PAGE_ROWS
        )
        if isinstance(listed, result.Err):
            return listed
        page = [row for row in listed.ok_value if row.key < end]
        for row in page:
            record = rows.decode(row.value, rows.AuditRecord)
            if isinstance(record, result.Err):
                return record
            if audit_filter.matches(record.ok_value):
                found.append(record.ok_value)
        if len(page) < PAGE_ROWS:
            return result.Ok(found)
        after = page[-1].key


def format_record(record: rows.AuditRecord) -> collections.abc.Iterator[str]:
    """Yield the lines of text that describe an audit record."""
    services = ','.join(record.services) or 'all services'
    yield (
        f'{rendering.format_time(record.at_ms)} {record.kind.value}'
        f' by {record.author} ({services}): {record.summary}'
    )
    for change in record.changes:
        before, after = _truncate(change.before), _truncate(change.after)
        yield f'    {change.path}: {before} -> {after}'
    for name, value in record.detail.items():
        yield f'    {name}: {_truncate(value)}'


def _truncate(value: object) -> str:
    text = json.dumps(value)
    if len(text) > MAX_VALUE_CHARACTERS:
        return text[:MAX_VALUE_CHARACTERS] + '...'
    return text
