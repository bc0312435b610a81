"""Local replica of a table of the platform's store.

Updates come from this VM's own watch and from peers, in any order: each
change has a version, and a watermark states up to which version a sender
has all changes.
"""

import dataclasses

from eelgrassknot.forwarding import row_store

__all__ = ['ChangeSet', 'Watermark', 'TableReplica']


@dataclasses.dataclass(frozen=True)
class Watermark:
    """Up to which version a replica is complete.

    Attributes:
        version: Version up to which all changes are known.
        last_change: Version of the last known change.
        store_ms: The store's monotonic clock at ``version``.
    """

    version: int
    last_change: int
    store_ms: float


@dataclasses.dataclass(frozen=True)
class ChangeSet:
    """Rows updated and removed by a page."""

    updated: tuple[row_store.StoreRow, ...]
    removed: tuple[str, ...]


class TableReplica:
    """Rows of one table with their watermark.

    Attributes:
        rows: Rows by key.
        watermark: Watermark of the rows, or None before the first page.

    Example:
        >>> replica = TableReplica()
        >>> row = row_store.StoreRow('a', b'1', 5, False)
        >>> page = row_store.RowPage((row,), 7, 100.0)
        >>> replica.apply_snapshot(page, 7).updated
        (StoreRow(key='a', value=b'1', version=5, deleted=False),)
        >>> replica.covers(7)
        True
    """

    def __init__(self) -> None:
        self.rows: dict[str, row_store.StoreRow] = {}
        self.watermark: Watermark | None = None

    def covers(self, version: int) -> bool:
        """Return whether the replica contains a change of a version."""
        return self.watermark is not None and version <= self.watermark.version

    def apply_snapshot(
        self, page: row_store.RowPage, last_change: int
    ) -> ChangeSet | None:
        """Apply a snapshot; return None if it is older than the replica.

        Args:
            page: All rows as of its version.
            last_change: Version of the last change in the snapshot.
        """
        if (
            self.watermark is not None
            and page.version < self.watermark.version
        ):
            return None
        listed = {row.key: row for row in page.rows}
        removed = tuple(key for key in self.rows if key not in listed)
        put = tuple(
            row
            for row in page.rows
            if row_version(self.rows, row.key) != row.version
        )
        self.rows = listed
        self.watermark = Watermark(page.version, last_change, page.store_ms)
        return ChangeSet(put, removed)

    def apply_changes(
        self, after: int, page: row_store.RowPage
    ) -> ChangeSet | None:
        """Apply changes; return None if earlier ones are missing.

        Args:
            after: Version after which the page contains all changes.
            page: Changed rows up to its version, in order.
        """
        if self.watermark is None or after > self.watermark.version:
            return None
        put: dict[str, row_store.StoreRow] = {}
        removed: dict[str, None] = {}
        changed = self.watermark.last_change
        for row in page.rows:
            if row.version <= self.watermark.version:
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
        if page.version >= self.watermark.version:
            store_ms = max(self.watermark.store_ms, page.store_ms)
            self.watermark = Watermark(page.version, changed, store_ms)
        return ChangeSet(tuple(put.values()), tuple(removed))

    def confirm(self, watermark: Watermark) -> bool:
        """Apply a peer's watermark; return whether no change is missing.

        Nothing has changed between the peer's last change and its version,
        so a replica with that change is as complete as the peer's. The
        version may be equal while the time is later.
        """
        if not self.covers(watermark.last_change):
            return False
        if watermark.version >= self.watermark.version:
            store_ms = max(self.watermark.store_ms, watermark.store_ms)
            changed = max(self.watermark.last_change, watermark.last_change)
            self.watermark = Watermark(watermark.version, changed, store_ms)
        return True


def row_version(rows: dict[str, row_store.StoreRow], key: str) -> int:
    """Return the version of a row, or 0 if the row is absent."""
    row = rows.get(key)
    return 0 if row is None else row.version
