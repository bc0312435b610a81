"""Events that a lease is told and actions that it returns."""

import dataclasses

from eelgrassknot.coordination import rows
from eelgrassknot import ids

__all__ = [
    'Action',
    'Event',
    'Gained',
    'Lost',
    'ReadFailed',
    'ReadRow',
    'Release',
    'RowRead',
    'Tick',
    'WriteCommitted',
    'WriteConflicted',
    'WriteFailed',
    'WriteRow',
]


@dataclasses.dataclass(frozen=True)
class RowRead:
    """The row was read; None if it is absent."""

    record: rows.LeaseRecord | None
    row_version: int | None


@dataclasses.dataclass(frozen=True)
class ReadFailed:
    """The row could not be read."""


@dataclasses.dataclass(frozen=True)
class WriteCommitted:
    """The last write took effect.

    Attributes:
        row_version: Version that the row has by it.
    """

    row_version: int


@dataclasses.dataclass(frozen=True)
class WriteConflicted:
    """The row had changed; nothing was written."""


@dataclasses.dataclass(frozen=True)
class WriteFailed:
    """The last write had no clear answer, or did not reach the store."""


@dataclasses.dataclass(frozen=True)
class Release:
    """This VM leaves; give the lease up if it is held."""


@dataclasses.dataclass(frozen=True)
class Tick:
    """Time has passed.

    Attributes:
        rank: Position of this VM among those that may take over.
        contenders: How many may take over.
    """

    rank: int = 0
    contenders: int = 1


Event = (
    RowRead
    | ReadFailed
    | WriteCommitted
    | WriteConflicted
    | WriteFailed
    | Release
    | Tick
)


@dataclasses.dataclass(frozen=True)
class ReadRow:
    """Read the row."""


@dataclasses.dataclass(frozen=True)
class WriteRow:
    """Write the row if it still has a version (None: is absent).

    Attributes:
        takes_over: Whether the epoch changes, so that the row that
            orders are conditional on has to be written too.
    """

    record: rows.LeaseRecord
    row_version: int | None
    takes_over: bool


@dataclasses.dataclass(frozen=True)
class Gained:
    """This VM holds the lease from now on."""

    epoch: ids.FencingNumber


@dataclasses.dataclass(frozen=True)
class Lost:
    """This VM may give no more orders under the epoch."""

    epoch: ids.FencingNumber


Action = ReadRow | WriteRow | Gained | Lost
