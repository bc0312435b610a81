"""What the forwarding path asks of a platform's store of rows."""

import dataclasses
import typing

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
    """The store no longer has the changes that were asked for."""

    code = 'history_gone'


class ConditionFailedError(exceptions.EelgrassknotError):
    """The condition of a write did not hold; nothing was written."""

    code = 'condition_failed'


StoreError = (
    exceptions.PlatformUnavailableError
    | exceptions.UnknownOutcomeError
    | exceptions.MalformedAnswerError
    | HistoryGoneError
    | ConditionFailedError
)


@dataclasses.dataclass(frozen=True)
class RowKey:
    """Names one row; the partition is always the empty one."""

    table: str
    key: str


@dataclasses.dataclass(frozen=True)
class StoreRow:
    """One row as the store tells it.

    Attributes:
        value: Its bytes; empty for a row that was dropped.
        version: The transaction that wrote it.
    """

    key: str
    value: bytes
    version: int
    deleted: bool


@dataclasses.dataclass(frozen=True)
class RowPage:
    """Rows as of one moment.

    Attributes:
        version: The store's newest version at that moment.
        store_ms: The store's steady clock at that moment, in ms.
    """

    rows: tuple[StoreRow, ...]
    version: int
    store_ms: float


class RowStore(typing.Protocol):
    """Client of the store, for one thread.

    Attributes:
        calls: Calls made so far.
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
        """Write a row whatever it holds."""

    def insert_row(
        self, row: RowKey, value: bytes
    ) -> result.Result[bool, StoreError]:
        """Write a row if it is absent; return whether it was."""

    def delete_row(self, row: RowKey) -> result.Result[None, StoreError]:
        """Delete a row; repeating it is harmless."""
