"""In-memory table whose answers can be lost."""

import result

from eelgrassknot import exceptions
from eelgrassknot.storage import base

__all__ = ['MemoryTable']

Key = tuple[str, str]


class MemoryTable:
    """Transactional rows in memory.

    Attributes:
        rows: Value and version of each row by table and key.
        lose_answers: Number of upcoming commits whose answer is lost.
        down: Whether all requests fail.
    """

    def __init__(self):
        self.rows: dict[Key, tuple[object, int]] = {}
        self.lose_answers = 0
        self.down = False

    def transact(self, change, conditions, writes):
        if self.down:
            return _unavailable()
        for condition in conditions:
            place = (condition.table, condition.key)
            version = self.rows.get(place, (None, None))[1]
            if version != condition.version:
                return result.Err(exceptions.RowConflictError(*place, version))
        versions = {}
        for write in writes:
            place = (write.table, write.key)
            if write.value is None:
                self.rows.pop(place, None)
                continue
            version = self.rows.get(place, (None, 0))[1] + 1
            self.rows[place] = (write.value, version)
            versions[f'{write.table}/{write.key}'] = version
        if self.lose_answers:
            self.lose_answers -= 1
            error = exceptions.UnknownOutcomeError('lost', 'read back')
            return result.Err(error)
        return result.Ok(base.Versions(versions))

    def read_row(self, table, key):
        if self.down:
            return _unavailable()
        if (table, key) not in self.rows:
            return result.Ok(None)
        value, version = self.rows[(table, key)]
        return result.Ok(base.Row(key, value, version))

    def list_rows(self, table, prefix='', after='', limit=1000):
        keys = sorted(
            key
            for name, key in self.rows
            if name == table and key.startswith(prefix) and key > after
        )
        return result.Ok(
            [base.Row(k, *self.rows[(table, k)]) for k in keys[:limit]]
        )


def _unavailable():
    error = exceptions.PlatformUnavailableError('down', 'wait')
    return result.Err(error)
