"""Interface of the forwarding path to a platform's row store."""

import typing

import msgspec
import result

from eelgrassknot import exceptions

__all__ = [
    'ConditionFailedError',
    'HistoryGoneError',
    'RowKey',
    'RowPage',
    'RowStore',
    'StoreError',
    'StoreRow',
]


class HistoryGoneError(exceptions.EelgrassknotError):
    """The store no longer has the requested changes."""

    code = 'history_gone'


class ConditionFailedError(exceptions.EelgrassknotError):
    """The condition of a write was not met; nothing was written."""

    code = 'condition_failed'


StoreError = (
    exceptions.PlatformUnavailableError
    | exceptions.UnknownOutcomeError
    | exceptions.MalformedAnswerError
    | HistoryGoneError
    | ConditionFailedError
)


class RowKey(msgspec.Struct, frozen=True):
    """Key of one row; the partition is always empty."""

    table: str
    key: str


class StoreRow(msgspec.Struct, frozen=True):
    """One row of the store.

    Attributes:
        value: Contents of the row; empty for a deleted row.
        version: Transaction that wrote the row.
    """

    key: str
    value: bytes
    version: int
    deleted: bool


class RowPage(msgspec.Struct, frozen=True):
    """Rows at one point in time.

    Attributes:
        version: Newest version of the store at that time.
        store_ms: The store's monotonic clock at that time, in ms.
        timeline: Number of times that the store has been restored from a
            copy. Each restoration discards the latest changes and gives
            their versions to later ones.
    """

    rows: tuple[StoreRow, ...]
    version: int
    store_ms: float
    timeline: int = 0

    @property
    def position(self) -> tuple[int, int]:
        """Timeline and version, by which pages of a table are ordered."""
        return self.timeline, self.version


class RowStore(typing.Protocol):
    """Store client for use by one thread.

    Attributes:
        calls: Number of calls made so far.
    """

    calls: int

    def read_table(self, table: str) -> result.Result[RowPage, StoreError]:
        """Read all rows of a table."""

    def read_feed(
        self, table: str, after: int, wait_ms: float
    ) -> result.Result[RowPage, StoreError]:
        """Wait for changes after a version and return them in order."""

    def write_row(
        self, row: RowKey, value: bytes
    ) -> result.Result[None, StoreError]:
        """Write a row unconditionally."""

    def insert_row(
        self, row: RowKey, value: bytes
    ) -> result.Result[bool, StoreError]:
        """Write a row if it is absent; return whether it was written."""

    def delete_row(self, row: RowKey) -> result.Result[None, StoreError]:
        """Delete a row; idempotent."""
