"""Interfaces to a platform's services and the registry of plug-ins."""

import collections.abc
import typing

import msgspec
import result

from eelgrassknot import exceptions
from eelgrassknot import ids
from eelgrassknot.kernel import registry
from eelgrassknot import states

__all__ = [
    'Condition',
    'ObjectStore',
    'PLATFORMS',
    'Platform',
    'PlatformError',
    'Row',
    'Table',
    'Versions',
    'VmEntry',
    'VmList',
    'Write',
]

PlatformError = (
    exceptions.PlatformUnavailableError
    | exceptions.UnknownOutcomeError
    | exceptions.MalformedAnswerError
)
TransactionError = PlatformError | exceptions.RowConflictError


class Condition(msgspec.Struct, frozen=True):
    """Requires a version of a row; None requires that the row is absent."""

    table: str
    key: str
    version: int | None


class Write(msgspec.Struct, frozen=True):
    """Sets the value of a row; None deletes the row."""

    table: str
    key: str
    value: typing.Any


class Row(msgspec.Struct, frozen=True):
    """One row of a table."""

    key: str
    value: typing.Any
    version: int


class Versions(msgspec.Struct, frozen=True):
    """Versions of the rows written by a transaction, by table/key."""

    versions: dict[str, int]


class VmEntry(msgspec.Struct, frozen=True):
    """A VM in the platform's list, which is eventually consistent."""

    vm: ids.VmId
    address: str
    port: int
    availability_zone: ids.AvailabilityZoneId
    region: ids.RegionId
    kind: states.VmKind
    state: states.UpstreamState
    service: ids.ServiceName | None = None


class Table(typing.Protocol):
    """Transactional table. Errors are returned as values, not raised."""

    def transact(
        self,
        change: ids.ChangeId,
        conditions: collections.abc.Sequence[Condition],
        writes: collections.abc.Sequence[Write],
    ) -> result.Result[Versions, TransactionError]:
        """Write all rows atomically if all conditions are met."""

    def read_row(
        self, table: str, key: str
    ) -> result.Result[Row | None, PlatformError]:
        """Return a row, or None if it is absent."""

    def list_rows(
        self, table: str, prefix: str = '', after: str = '', limit: int = 1000
    ) -> result.Result[list[Row], PlatformError]:
        """Return rows ordered by key."""


class ObjectStore(typing.Protocol):
    """Objects by key, read and written as a whole."""

    def put(
        self, key: str, body: bytes, only_if_absent: bool = False
    ) -> result.Result[None, TransactionError]:
        """Store an object."""

    def get(self, key: str) -> result.Result[bytes | None, PlatformError]:
        """Return an object, or None if it is absent."""

    def delete(self, key: str) -> result.Result[None, PlatformError]:
        """Delete an object if it exists."""

    def list_keys(
        self, prefix: str
    ) -> result.Result[list[str], PlatformError]:
        """Return the keys with a prefix."""


class VmList(typing.Protocol):
    """The platform's list of live and leaving VMs."""

    def list_vms(self) -> result.Result[list[VmEntry], PlatformError]:
        """Return the platform's current list."""


class Platform(msgspec.Struct, frozen=True):
    """Clients of a platform's services, provided by one plug-in."""

    table: Table
    objects: ObjectStore
    vms: VmList


PLATFORMS: registry.Registry[collections.abc.Callable[[str], Platform]] = (
    registry.Registry('platform')
)
