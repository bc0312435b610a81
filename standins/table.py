"""In-memory transactional table of the platform's stand-in."""

import msgspec

__all__ = [
    'Condition',
    'FailedCondition',
    'Row',
    'Table',
    'Transaction',
    'Write',
]


class Condition(msgspec.Struct):
    """Version that a row must have; None means that it must be absent."""

    table: str
    key: str
    version: int | None


class Write(msgspec.Struct):
    """New value of a row; None deletes it."""

    table: str
    key: str
    value: object


class Transaction(msgspec.Struct):
    """Writes that are applied atomically if all conditions hold."""

    id: str
    conditions: list[Condition]
    writes: list[Write]


class FailedCondition(msgspec.Struct):
    """First row whose condition failed, with its actual version."""

    table: str
    key: str
    version: int | None


class Row(msgspec.Struct):
    """Value and version of one row."""

    value: object
    version: int


class Table:
    """Rows by table and key; not thread-safe.

    Versions of a key never repeat, not even after its row was deleted.

    Example:
        >>> rows = Table()
        >>> write = Write('t', 'k', 1)
        >>> rows.commit(Transaction('a', [Condition('t', 'k', None)], [write]))
        {'t/k': 1}
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], Row] = {}
        self.last_versions: dict[tuple[str, str], int] = {}

    def commit(
        self, transaction: Transaction
    ) -> dict[str, int] | FailedCondition:
        """Check all conditions, then apply all writes.

        Returns:
            Versions of the written rows, or the failed condition.
        """
        for condition in transaction.conditions:
            row = self.get(condition.table, condition.key)
            version = None if row is None else row.version
            if version != condition.version:
                return FailedCondition(condition.table, condition.key, version)
        return {
            f'{write.table}/{write.key}': self._write(write)
            for write in transaction.writes
        }

    def _write(self, write: Write) -> int:
        place = (write.table, write.key)
        version = self.last_versions.get(place, 0) + 1
        self.last_versions[place] = version
        if write.value is None:
            self.rows.pop(place, None)
        else:
            self.rows[place] = Row(write.value, version)
        return version

    def get(self, table: str, key: str) -> Row | None:
        """Return a row, or None if it is absent."""
        return self.rows.get((table, key))

    def scan(
        self, table: str, prefix: str, after: str, limit: int | None
    ) -> list[dict]:
        """Return rows ordered by key.

        Args:
            table: Name of the table.
            prefix: Prefix of the keys.
            after: Return only keys greater than this one.
            limit: Maximum number of rows, or None.
        """
        keys = sorted(
            key
            for name, key in self.rows
            if name == table and key.startswith(prefix) and key > after
        )
        return [
            {
                'key': key,
                'value': self.rows[table, key].value,
                'version': self.rows[table, key].version,
            }
            for key in keys[:limit]
        ]
