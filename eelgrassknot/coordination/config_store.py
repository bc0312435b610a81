"""Reads and writes accepted services texts in the platform's table."""

import collections.abc
import time

import result

from eelgrassknot.coordination import config
from eelgrassknot.coordination import rows
from eelgrassknot import exceptions
from eelgrassknot import ids
from eelgrassknot.storage import base

__all__ = ['accept', 'read_current', 'read_history', 'read_stamp']

RETRY_PAUSE_S = 0.2
MS_PER_SECOND = 1000

AcceptError = base.PlatformError | exceptions.ConfigConflictError


def accept(
    table: base.Table,
    document: str,
    author: str,
    change: ids.ChangeId,
    base_version: ids.ConfigVersion | None = None,
    pause: collections.abc.Callable[[float], None] = time.sleep,
) -> result.Result[config.Accepted, AcceptError]:
    """Accept a services text; block until the outcome is known.

    Args:
        table: The platform's table.
        document: The services text, already validated.
        author: Person who makes the change.
        change: Id of this change. A caller that retries after an
            unknown outcome passes the same id.
        base_version: Version on which the author's edit is based, or
            None to replace whichever version is current.
        pause: Sleeps for the given number of seconds before a retry.

    Returns:
        The accepted version; or ``ConfigConflictError`` if another text
        was accepted first, ``UnknownOutcomeError`` if the text may have
        been accepted, ``PlatformUnavailableError`` if it was not.
    """
    at_ms = int(time.time() * MS_PER_SECOND)
    acceptance = config.Acceptance(
        document, author, change, at_ms, base_version
    )
    action = acceptance.start()
    while not isinstance(action, config.Finish):
        event = _perform(table, change, action)
        if isinstance(event, config.WriteFailed | config.ReadFailed):
            pause(RETRY_PAUSE_S)
        action = acceptance.handle(event)
    if isinstance(action.outcome, config.Accepted):
        return result.Ok(action.outcome)
    return result.Err(action.outcome)


def read_current(
    table: base.Table,
) -> result.Result[rows.ConfigRecord | None, base.PlatformError]:
    """Return the most recently accepted text, or None."""
    return _read(
        table, rows.CONFIG_TABLE, rows.CONFIG_CURRENT, rows.ConfigRecord
    )


def read_stamp(
    table: base.Table,
) -> result.Result[rows.ConfigStamp | None, base.PlatformError]:
    """Return the version and digest of the current text, or None."""
    return _read(
        table, rows.CONFIG_TABLE, rows.CONFIG_VERSION, rows.ConfigStamp
    )


def read_history(
    table: base.Table,
) -> result.Result[list[rows.ConfigRecord], base.PlatformError]:
    """Return the texts in the history, oldest first."""
    listed = table.list_rows(
        rows.CONFIG_TABLE, rows.HISTORY_PREFIX, limit=config.HISTORY_LENGTH
    )
    if isinstance(listed, result.Err):
        return listed
    records = []
    for row in listed.ok_value:
        record = rows.decode(row.value, rows.ConfigRecord)
        if isinstance(record, result.Err):
            return record
        records.append(record.ok_value)
    return result.Ok(records)


def _perform(
    table: base.Table, change: ids.ChangeId, action: config.Action
) -> config.Event:
    match action:
        case config.ReadCurrent():
            return _read_current(table)
        case config.ReadHistory(version):
            return _read_version(table, version)
        case config.WriteConfig(conditions, writes):
            return _write(table, change, conditions, writes)
    raise TypeError(f'unknown action: {action}')


def _read_current(table: base.Table) -> config.Event:
    answer = table.read_row(rows.CONFIG_TABLE, rows.CONFIG_CURRENT)
    match answer:
        case result.Ok(None):
            return config.CurrentRead(None, None)
        case result.Ok(row):
            decoded = rows.decode(row.value, rows.ConfigRecord)
            if isinstance(decoded, result.Err):
                return config.ReadFailed(decoded.err_value)
            return config.CurrentRead(decoded.ok_value, row.version)
        case result.Err(error):
            return config.ReadFailed(error)


def _read_version(
    table: base.Table, version: ids.ConfigVersion
) -> config.Event:
    key = rows.history_key(version)
    match _read(table, rows.CONFIG_TABLE, key, rows.ConfigRecord):
        case result.Ok(record):
            return config.HistoryRead(record)
        case result.Err(error):
            return config.ReadFailed(error)


def _write(
    table: base.Table,
    change: ids.ChangeId,
    conditions: collections.abc.Sequence[base.Condition],
    writes: collections.abc.Sequence[base.Write],
) -> config.Event:
    match table.transact(change, conditions, writes):
        case result.Ok(_):
            return config.WriteCommitted()
        case result.Err(exceptions.RowConflictError()):
            return config.WriteConflicted()
        case result.Err(error):
            return config.WriteFailed(error)


def _read(
    table: base.Table, name: str, key: str, kind: type[rows.Record]
) -> result.Result[rows.Record | None, base.PlatformError]:
    match table.read_row(name, key):
        case result.Ok(None):
            return result.Ok(None)
        case result.Ok(row):
            return rows.decode(row.value, kind)
        case error:
            return error
