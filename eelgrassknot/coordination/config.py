"""Acceptance of a services text by compare-and-swap.

The text, its history row and its audit row are written in one
transaction, conditional on no other text having been accepted since the
current one was read. If the answer to the write is lost, the outcome is
looked up by the change id: the change can only appear in the history at
the version after the one that was read. An absent history row proves
nothing, as the write may still be in flight. The same conditional write
is therefore repeated until this change or another one is recorded there.
"""

import dataclasses
import hashlib

import msgspec

from eelgrassknot.coordination import rows
from eelgrassknot.coordination import text_diff
from eelgrassknot import exceptions
from eelgrassknot import ids
from eelgrassknot.storage import base

__all__ = [
    'Acceptance',
    'Accepted',
    'CurrentRead',
    'document_digest',
    'Finish',
    'HistoryRead',
    'ReadCurrent',
    'ReadFailed',
    'ReadHistory',
    'WriteCommitted',
    'WriteConfig',
    'WriteConflicted',
    'WriteFailed',
]

HISTORY_LENGTH = 50
MAX_ATTEMPTS = 6
FIRST_VERSION = ids.ConfigVersion(1)


def document_digest(document: str) -> str:
    """Return the SHA-256 digest that receivers of a document verify."""
    return hashlib.sha256(document.encode()).hexdigest()


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The text was accepted and all VMs will adopt it."""

    version: ids.ConfigVersion
    digest: str


@dataclasses.dataclass(frozen=True)
class CurrentRead:
    """The row of the current text was read.

    Attributes:
        row_version: The row's version in the table; None if absent.
    """

    record: rows.ConfigRecord | None
    row_version: int | None


@dataclasses.dataclass(frozen=True)
class HistoryRead:
    """A history row was read; None if it is absent."""

    record: rows.ConfigRecord | None


@dataclasses.dataclass(frozen=True)
class ReadFailed:
    """A read failed."""

    error: exceptions.EelgrassknotError


@dataclasses.dataclass(frozen=True)
class WriteCommitted:
    """The transaction is known to have taken effect."""


@dataclasses.dataclass(frozen=True)
class WriteConflicted:
    """A condition of the transaction did not hold."""


@dataclasses.dataclass(frozen=True)
class WriteFailed:
    """The outcome is unknown, or the store was not reached."""

    error: exceptions.EelgrassknotError


@dataclasses.dataclass(frozen=True)
class ReadCurrent:
    """Read the row of the current text."""


@dataclasses.dataclass(frozen=True)
class ReadHistory:
    """Read the history row of one version."""

    version: ids.ConfigVersion


@dataclasses.dataclass(frozen=True)
class WriteConfig:
    """Run the transaction that accepts the text."""

    conditions: tuple[base.Condition, ...]
    writes: tuple[base.Write, ...]


@dataclasses.dataclass(frozen=True)
class Finish:
    """The acceptance has ended.

    Attributes:
        outcome: ``Accepted``, or the reason for the failure.
    """

    outcome: Accepted | exceptions.EelgrassknotError


Event = (
    CurrentRead
    | HistoryRead
    | ReadFailed
    | WriteCommitted
    | WriteConflicted
    | WriteFailed
)
Action = ReadCurrent | ReadHistory | WriteConfig | Finish


class Acceptance:
    """State machine that accepts one text; the caller does the I/O.

    Args:
        document: The services text, already validated.
        author: Person who makes the change.
        change: Id of this change; retries use the same id.
        at_ms: Wall-clock time in milliseconds since 1970.
        base_version: Version on which the author's edit is based, or
            None to replace whichever version is current.

    Example:
        >>> acceptance = Acceptance('{}', 'ana', 'c1', 0)
        >>> acceptance.start()
        ReadCurrent()
        >>> write = acceptance.handle(CurrentRead(None, None))
        >>> acceptance.handle(WriteCommitted()).outcome.version
        1
    """

    def __init__(
        self,
        document: str,
        author: str,
        change: ids.ChangeId,
        at_ms: int,
        base_version: ids.ConfigVersion | None = None,
    ) -> None:
        self.document = document
        self.author = author
        self.change = change
        self.at_ms = at_ms
        self.base_version = base_version
        self.digest = document_digest(document)
        self.version = FIRST_VERSION
        self.write: WriteConfig | None = None
        self.attempts = 0
        self.last_error: exceptions.EelgrassknotError | None = None

    def start(self) -> Action:
        """Return the first action."""
        return ReadCurrent()

    def handle(self, event: Event) -> Action:
        """Process the result of the last action; return the next one.

        Args:
            event: Result of the last action.
        """
        match event:
            case CurrentRead(record, row_version):
                return self._plan_write(record, row_version)
            case WriteCommitted():
                return self._accepted(self.version)
            case WriteConflicted():
                return self._read_back()
            case WriteFailed(error):
                self.last_error = error
                return self._read_back()
            case HistoryRead(record):
                return self._resolve_outcome(record)
            case ReadFailed(error):
                return self._read_failed(error)

    def _plan_write(
        self, record: rows.ConfigRecord | None, row_version: int | None
    ) -> Action:
        current = record.version if record else ids.ConfigVersion(0)
        if record and record.change == self.change:
            return self._accepted(record.version)
        if self.base_version is not None and self.base_version != current:
            return Finish(_conflict(record))
        self.version = ids.ConfigVersion(current + 1)
        self.write = self._transaction(record, row_version)
        return self._next_attempt()

    def _transaction(
        self, current: rows.ConfigRecord | None, row_version: int | None
    ) -> WriteConfig:
        record = rows.ConfigRecord(
            self.version,
            self.document,
            self.author,
            self.change,
            self.digest,
            self.at_ms,
        )
        text = rows.encode(record)
        stamp = rows.encode(rows.ConfigStamp(self.version, self.digest))
        audit = rows.encode(self._audit(current))
        audit_key = rows.audit_key(self.at_ms, self.change)
        key = rows.history_key(self.version)
        writes = [
            base.Write(rows.CONFIG_TABLE, rows.CONFIG_CURRENT, text),
            base.Write(rows.CONFIG_TABLE, rows.CONFIG_VERSION, stamp),
            base.Write(rows.CONFIG_TABLE, key, text),
            base.Write(rows.AUDIT_TABLE, audit_key, audit),
        ]
        if self.version > HISTORY_LENGTH:
            oldest = ids.ConfigVersion(self.version - HISTORY_LENGTH)
            key = rows.history_key(oldest)
            writes.append(base.Write(rows.CONFIG_TABLE, key, None))
        condition = base.Condition(
            rows.CONFIG_TABLE, rows.CONFIG_CURRENT, row_version
        )
        return WriteConfig((condition,), tuple(writes))

    def _audit(self, current: rows.ConfigRecord | None) -> rows.AuditRecord:
        before = msgspec.json.decode(current.document) if current else None
        after = msgspec.json.decode(self.document)
        changes = text_diff.diff(before, after)
        return rows.AuditRecord(
            self.at_ms,
            rows.AuditKind.CONFIG_ACCEPTED,
            self.author,
            text_diff.changed_services(changes),
            f'accepted version {self.version} of the services text',
            self.version,
            tuple(changes),
        )

    def _next_attempt(self) -> Action:
        if self.attempts >= MAX_ATTEMPTS:
            return Finish(self._unknown_outcome())
        self.attempts += 1
        assert self.write is not None
        return self.write

    def _read_back(self) -> Action:
        return ReadHistory(self.version)

    def _resolve_outcome(self, record: rows.ConfigRecord | None) -> Action:
        if record is None:
            return self._next_attempt()
        if record.change == self.change:
            return self._accepted(record.version)
        return Finish(_conflict(record))

    def _read_failed(self, error: exceptions.EelgrassknotError) -> Action:
        self.last_error = error
        if self.write is None:
            return Finish(error)
        self.attempts += 1
        if self.attempts >= MAX_ATTEMPTS:
            return Finish(self._unknown_outcome())
        return self._read_back()

    def _accepted(self, version: ids.ConfigVersion) -> Finish:
        return Finish(Accepted(version, self.digest))

    def _unknown_outcome(self) -> exceptions.UnknownOutcomeError:
        return exceptions.UnknownOutcomeError(
            f'it is unknown whether the text was accepted as version'
            f' {self.version}: {self.last_error}',
            f'repeat the command with change id {self.change}',
        )


def _conflict(
    winner: rows.ConfigRecord | None,
) -> exceptions.ConfigConflictError:
    if winner is None:
        return exceptions.ConfigConflictError(
            'no services text has been accepted yet',
            'accept the first text without a base version',
        )
    return exceptions.ConfigConflictError(
        f'version {winner.version} by {winner.author} was accepted first',
        'apply your change to the current text and accept it again',
    )
