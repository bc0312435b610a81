"""What the product asks of a platform; plug-ins register here."""

import collections.abc
import dataclasses
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
    """Requires a version of a row; None means the row is absent."""

    table: str
    key: str
    version: int | None


class Write(msgspec.Struct, frozen=True):
    """Sets a row's value; None deletes the row."""

    table: str
    key: str
    value: typing.Any


class Row(msgspec.Struct, frozen=True):
    """A row as it was read."""

    key: str
    value: typing.Any
    version: int


class Versions(msgspec.Struct, frozen=True):
    """Versions of the rows that a transaction wrote, by table/key."""

    versions: dict[str, int]


class VmEntry(msgspec.Struct, frozen=True):
    """A VM in the platform's list, which lags behind reality."""

    vm: ids.VmId
    address: str
    port: int
    availability_zone: ids.AvailabilityZoneId
    region: ids.RegionId
    kind: states.VmKind
    state: states.UpstreamState
    service: ids.ServiceName | None = None


class Table(typing.Protocol):
    """Transactional rows. Errors come back as values, not raised."""

    def transact(
        self,
        change: ids.ChangeId,
        conditions: collections.abc.Sequence[Condition],
        writes: collections.abc.Sequence[Write],
    ) -> result.Result[Versions, TransactionError]:
        """Write all rows if all conditions hold, else none."""

    def read_row(
        self, table: str, key: str
    ) -> result.Result[Row | None, PlatformError]:
        """Return a row, or None if it is absent."""

    def list_rows(
        self, table: str, prefix: str = '', after: str = '', limit: int = 1000
    ) -> result.Result[list[Row], PlatformError]:
        """Return rows in the order of their keys."""


class ObjectStore(typing.Protocol):
    """Whole objects by key."""

    def put(
        self, key: str, body: bytes, only_if_absent: bool = False
    ) -> result.Result[None, TransactionError]:
        """Store an object."""

    def get(self, key: str) -> result.Result[bytes | None, PlatformError]:
        """Return an object, or None if it is absent."""

    def delete(self, key: str) -> result.Result[None, PlatformError]:
        """Remove an object if it is there."""

    def list_keys(
        self, prefix: str
    ) -> result.Result[list[str], PlatformError]:
        """Return the keys that begin with a prefix."""


class VmList(typing.Protocol):
    """The platform's list of live and leaving VMs."""

    def list_vms(self) -> result.Result[list[VmEntry], PlatformError]:
        """Return the list as the platform has it now."""


@dataclasses.dataclass(frozen=True)
class Platform:
    """The platform's services, as one plug-in reaches them."""

    table: Table
    objects: ObjectStore
    vms: VmList


PLATFORMS: registry.Registry[collections.abc.Callable[[str], Platform]] = (
    registry.Registry('platform')
)
