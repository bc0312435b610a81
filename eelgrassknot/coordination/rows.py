"""Names and layout of the rows that the VMs share in the table.

Keys that hold a number or a time are padded, so that the order of keys
is the order of the numbers.
"""

import enum
import typing

import msgspec
import result

from eelgrassknot import exceptions
from eelgrassknot import ids

__all__ = [
    'AUDIT_TABLE',
    'AuditKind',
    'AuditRecord',
    'CONFIG_CURRENT',
    'CONFIG_TABLE',
    'CONFIG_VERSION',
    'ConfigRecord',
    'ConfigStamp',
    'HISTORY_PREFIX',
    'LEASE_TABLE',
    'LeaseRecord',
    'TextChange',
    'audit_key',
    'decode',
    'encode',
    'history_key',
]

CONFIG_TABLE = 'config'
CONFIG_CURRENT = 'current'
CONFIG_VERSION = 'version'
HISTORY_PREFIX = 'history/'
AUDIT_TABLE = 'audit'
LEASE_TABLE = 'leases'

_VERSION_DIGITS = 12
_TIME_DIGITS = 15

Record = typing.TypeVar('Record')


class ConfigStamp(msgspec.Struct, frozen=True):
    """Small row beside the document, for VMs to poll.

    Attributes:
        digest: Digest of the document of that version.
    """

    version: ids.ConfigVersion
    digest: str


class ConfigRecord(msgspec.Struct, frozen=True):
    """An accepted services text.

    Attributes:
        document: The text as its author wrote it.
        change: Identifies the acceptance, so that a lost answer can be
            read back.
        digest: SHA-256 of the document, in hexadecimal.
        accepted_at_ms: Wall-clock time of the author's machine, in
            milliseconds since 1970; for people only.
    """

    version: ids.ConfigVersion
    document: str
    author: str
    change: ids.ChangeId
    digest: str
    accepted_at_ms: int = 0


class TextChange(msgspec.Struct, frozen=True):
    """One difference between two services texts.

    Attributes:
        path: JSON path of the value; members of lists stand under
            their names where they have one.
        before: The value that was there, or None.
        after: The value that is there now, or None.
    """

    path: str
    before: typing.Any
    after: typing.Any


class AuditKind(enum.Enum):
    """What an audit row tells of."""

    CONFIG_ACCEPTED = 'config_accepted'
    ORDER = 'order'
    ROLLOUT = 'rollout'
    LEASE = 'lease'
    VM = 'vm'


class AuditRecord(msgspec.Struct, frozen=True):
    """A row of the audit trail.

    Attributes:
        at_ms: Wall-clock time, in milliseconds since 1970.
        author: Person or VM that did it.
        services: Services that it concerns; empty means all.
        summary: One line for people.
        version: Version of the services text, where there is one.
        changes: What changed in the text.
        detail: Further facts by name.
    """

    at_ms: int
    kind: AuditKind
    author: str
    services: tuple[ids.ServiceName, ...]
    summary: str
    version: ids.ConfigVersion | None = None
    changes: tuple[TextChange, ...] = ()
    detail: dict[str, typing.Any] = {}


class LeaseRecord(msgspec.Struct, frozen=True):
    """Lease on the engine orders of a region; its key is the region.

    Attributes:
        epoch: Fencing number; one higher for each holder.
        holder: VM that holds it, or None once it was released.
        incarnation: Run of the daemon that holds it.
        renewals: Counts the renewals of this holder, so that each
            changes the row.
    """

    epoch: ids.FencingNumber
    holder: ids.VmId | None
    incarnation: ids.IncarnationId
    renewals: int


def history_key(version: ids.ConfigVersion) -> str:
    """Return the key under which a version of the text is kept.

    Example:
        >>> history_key(7)
        'history/000000000007'
    """
    return f'{HISTORY_PREFIX}{version:0{_VERSION_DIGITS}d}'


def audit_key(at_ms: int, change: str) -> str:
    """Return the key of an audit row, in the order of time.

    Args:
        at_ms: Wall-clock time in milliseconds since 1970.
        change: Identifies what is told of.
    """
    return f'{at_ms:0{_TIME_DIGITS}d}/{change}'


def encode(record: msgspec.Struct) -> typing.Any:
    """Return a record as the plain JSON value of a row."""
    return msgspec.to_builtins(record)


def decode(
    value: typing.Any, kind: type[Record]
) -> result.Result[Record, exceptions.MalformedAnswerError]:
    """Return the record that the value of a row holds.

    Args:
        value: JSON value of the row.
        kind: Class of the record.
    """
    try:
        return result.Ok(msgspec.convert(value, kind))
    except msgspec.ValidationError as error:
        return result.Err(
            exceptions.MalformedAnswerError(
                f'a {kind.__name__} row cannot be read: {error}',
                'check which version of the program wrote the row',
            )
        )
