"""A table of the platform's store as this VM knows it.

It is fed by this VM's own watch and by peers, in any order: each change
bears its version, and a mark says up to which version a sender knows all
changes.
"""

import dataclasses

from eelgrassknot.forwarding import row_store

__all__ = ['Changes', 'Mark', 'TableMirror']


@dataclasses.dataclass(frozen=True)
class Mark:
    """Up to when a table is known.

    Attributes:
        version: Version up to which all changes are known.
        changed: Version of the last change that is known.
        store_ms: The store's steady clock at ``version``.
    """

    version: int
    changed: int
    store_ms: float


@dataclasses.dataclass(frozen=True)
class Changes:
    """What a page has changed."""

    put: tuple[row_store.StoreRow, ...]
    removed: tuple[str, ...]


class TableMirror:
    """Rows of one table, and up to when they are known.

    Attributes:
        rows: Rows by key.
        mark: Up to when they are known, or None before the first page.

    Example:
        >>> mirror = TableMirror()
        >>> row = row_store.StoreRow('a', b'1', 5, False)
        >>> mirror.take_whole(row_store.RowPage((row,), 7, 100.0), 7).put
        (StoreRow(key='a', value=b'1', version=5, deleted=False),)
        >>> mirror.covers(7)
        True
    """

    def __init__(self) -> None:
        self.rows: dict[str, row_store.StoreRow] = {}
        self.mark: Mark | None = None

    def covers(self, changed: int) -> bool:
        """Return whether a change of a version is known here."""
        return self.mark is not None and changed <= self.mark.version

    def take_whole(
        self, page: row_store.RowPage, changed: int
    ) -> Changes | None:
        """Take in the whole table; None if it is older than what is known.

        Args:
            page: All rows as of its version.
            changed: Version of the last change that is in them.
        """
        if self.mark is not None and page.version < self.mark.version:
            return None
        listed = {row.key: row for row in page.rows}
        removed = tuple(key for key in self.rows if key not in listed)
        put = tuple(
            row
            for row in page.rows
            if key_version(self.rows, row.key) != row.version
        )
        self.rows = listed
        self.mark = Mark(page.version, changed, page.store_ms)
        return Changes(put, removed)

    def take_changes(
        self, after: int, page: row_store.RowPage
    ) -> Changes | None:
        """Take in changes; None if some before them are missing.

        Args:
            after: Version after which the page has all changes.
            page: Changed rows up to its version, in order.
        """
        if self.mark is None or after > self.mark.version:
            return None
        put: dict[str, row_store.StoreRow] = {}
        removed: dict[str, None] = {}
        changed = self.mark.changed
        for row in page.rows:
            if row.version <= self.mark.version:
                continue
            changed = max(changed, row.version)
            if row.deleted:
                self.rows.pop(row.key, None)
                put.pop(row.key, None)
                removed[row.key] = None
            else:
                self.rows[row.key] = row
                removed.pop(row.key, None)
                put[row.key] = row
        if page.version >= self.mark.version:
            store_ms = max(self.mark.store_ms, page.store_ms)
            self.mark = Mark(page.version, changed, store_ms)
        return Changes(tuple(put.values()), tuple(removed))

    def confirm(self, mark: Mark) -> bool:
        """Take in a peer's mark; return whether nothing is missing here.

        Nothing has changed between the last change that the peer knows
        and its version, so a mirror that has that change knows as much.
        The version may be the same while the time is later.
        """
        if not self.covers(mark.changed):
            return False
        if mark.version >= self.mark.version:
            store_ms = max(self.mark.store_ms, mark.store_ms)
            changed = max(self.mark.changed, mark.changed)
            self.mark = Mark(mark.version, changed, store_ms)
        return True


def key_version(rows: dict[str, row_store.StoreRow], key: str) -> int:
    """Return the version of a row, or 0 if it is absent."""
    row = rows.get(key)
    return 0 if row is None else row.version
