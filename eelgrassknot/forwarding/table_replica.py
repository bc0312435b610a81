"""Local replica of a table of the platform's store.

Updates come from this VM's own watch and from peers, in any order: each
change has a version, and a watermark states up to which version a sender
has all changes. When the store is restored from a copy, a new timeline
begins: the changes that the copy lacks are undone and their versions are used
again, so versions are compared only within one timeline.
"""

import msgspec

from eelgrassknot.forwarding import row_store

__all__ = ['ChangeSet', 'Watermark', 'TableReplica']


class Watermark(msgspec.Struct, frozen=True):
    """Up to which version a replica is complete.

    Attributes:
        version: Version up to which all changes are known.
        last_change: Version of the last known change.
        store_ms: The store's monotonic clock at ``version``.
        timeline: Timeline of the store in which these versions count.
    """

    version: int
    last_change: int
    store_ms: float
    timeline: int = 0

    @property
    def position(self) -> tuple[int, int]:
        """Timeline and version, by which watermarks are ordered."""
        return self.timeline, self.version


class ChangeSet(msgspec.Struct, frozen=True):
    """Rows updated and removed by a page.

    Attributes:
        restored: Whether the page is the first one of a new timeline. Its
            rows may be older than those that they replace.
    """

    updated: tuple[row_store.StoreRow, ...]
    removed: tuple[str, ...]
    restored: bool = False


MAX_REMOVALS = 512
"""Number of removed rows that are remembered."""


class TableReplica:
    """Rows of one table with their watermark.

    Attributes:
        rows: Rows by key.
        watermark: Watermark of the rows, or None before the first page.
        removals: Removed rows by key, in the order of their removal.
        complete_after: Version after which all changes are in the rows and
            the removals.

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
        self.removals: dict[str, row_store.StoreRow] = {}
        self.complete_after = 0

    def changes_after(
        self, version: int, timeline: int
    ) -> tuple[row_store.StoreRow, ...] | None:
        """Return the changes after a version, or None if some are unknown.

        Args:
            version: Version up to which the changes are not needed.
            timeline: Timeline in which the version counts.
        """
        if self.watermark is None or timeline != self.watermark.timeline:
            return None
        if version < self.complete_after:
            return None
        known = [*self.rows.values(), *self.removals.values()]
        return tuple(row for row in known if row.version > version)

    def covers(self, version: int, timeline: int = 0) -> bool:
        """Return whether the replica contains a change or has outlived it.

        A change of an earlier timeline is in the replica or was undone.
        """
        if self.watermark is None:
            return False
        return (timeline, version) <= self.watermark.position

    def apply_snapshot(
        self, page: row_store.RowPage, last_change: int
    ) -> ChangeSet | None:
        """Apply a snapshot; return None if it is older than the replica.

        Args:
            page: All rows as of its version.
            last_change: Version of the last change in the snapshot.
        """
        before = self.watermark
        if before is not None and page.position < before.position:
            return None
        listed = {row.key: row for row in page.rows}
        removed = tuple(key for key in self.rows if key not in listed)
        put = tuple(row for row in page.rows if self.rows.get(row.key) != row)
        self.rows = listed
        # What was removed between the two snapshots has no known version.
        self.removals.clear()
        self.complete_after = page.version
        self.watermark = Watermark(
            page.version, last_change, page.store_ms, page.timeline
        )
        restored = before is not None and before.timeline < page.timeline
        return ChangeSet(put, removed, restored)

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
        if page.timeline != self.watermark.timeline:
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
                self._remember_removal(row)
            else:
                self.rows[row.key] = row
                self.removals.pop(row.key, None)
                removed.pop(row.key, None)
                put[row.key] = row
        if page.version >= self.watermark.version:
            store_ms = max(self.watermark.store_ms, page.store_ms)
            self.watermark = Watermark(
                page.version, changed, store_ms, page.timeline
            )
        return ChangeSet(tuple(put.values()), tuple(removed))

    def _remember_removal(self, row: row_store.StoreRow) -> None:
        self.removals.pop(row.key, None)
        self.removals[row.key] = row
        if len(self.removals) > MAX_REMOVALS:
            forgotten = self.removals.pop(next(iter(self.removals)))
            self.complete_after = max(self.complete_after, forgotten.version)

    def confirm(self, watermark: Watermark) -> bool:
        """Apply a peer's watermark; return whether no change is missing.

        Nothing has changed between the peer's last change and its version,
        so a replica with that change is as complete as the peer's. The
        version may be equal while the time is later. A peer of an earlier
        timeline knows nothing that the replica lacks, and confirms nothing.
        """
        if not self.covers(watermark.last_change, watermark.timeline):
            return False
        if watermark.position >= self.watermark.position:
            store_ms = max(self.watermark.store_ms, watermark.store_ms)
            changed = max(self.watermark.last_change, watermark.last_change)
            self.watermark = Watermark(
                watermark.version, changed, store_ms, watermark.timeline
            )
        return True
