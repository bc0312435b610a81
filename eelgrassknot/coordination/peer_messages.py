"""Messages between the daemons of one deployment.

They are encoded as msgpack arrays with a short tag, as most of them are
sent every second to each peer of the zone.
"""

import msgspec

from eelgrassknot.coordination import rows
from eelgrassknot import ids
from eelgrassknot.storage import base

__all__ = [
    'CacheEntry',
    'ConfigFetch',
    'ConfigReply',
    'DemandEntry',
    'EngineEntry',
    'EntryNews',
    'Envelope',
    'Heartbeat',
    'InFlightEntry',
    'Introduction',
    'ListChange',
    'ListFetch',
    'LoadEntry',
    'Message',
    'OwnerQuery',
    'OwnerReply',
    'Query',
    'ReaderTaken',
    'Reply',
    'Request',
    'RowEntry',
    'RowsFetch',
    'RowsReply',
    'TableMark',
    'ZoneLoad',
    'ZoneNews',
]


class LoadEntry(msgspec.Struct, array_like=True, frozen=True):
    """Load of one upstream as its observer read it.

    Attributes:
        upstream: 32-bit hash of the upstream's name and address.
        at_ms: Time on the upstream's own clock.
        reachable: Whether the observer could reach it.
        leaving: Whether the upstream said that it leaves.
    """

    upstream: int
    at_ms: int
    kv_tokens_used: int
    kv_tokens_total: int
    running: int
    waiting: int
    preemptions: int
    reachable: bool = True
    leaving: bool = False


class InFlightEntry(msgspec.Struct, array_like=True, frozen=True):
    """What the sender holds at one upstream by its own dispatches."""

    upstream: int
    running: int
    expected_tokens: int


class DemandEntry(msgspec.Struct, array_like=True, frozen=True):
    """How much of the sender's traffic a client account makes.

    Attributes:
        client_account: 32-bit hash of the account's name.
        milli_requests_per_second: Thousandths of a request a second.
    """

    client_account: int
    milli_requests_per_second: int


class ZoneLoad(msgspec.Struct, array_like=True, frozen=True):
    """Load of one service in one zone, summed over its upstreams.

    Attributes:
        leaving: Hashes of the upstreams that said that they leave.
    """

    availability_zone: ids.AvailabilityZoneId
    service: ids.ServiceName
    upstreams: int
    kv_tokens_used: int
    kv_tokens_total: int
    running: int
    waiting: int
    preemptions: int
    leaving: tuple[int, ...] = ()


class CacheEntry(msgspec.Struct, array_like=True, frozen=True):
    """Prefixes that an engine stored or evicted, as its observer read.

    Attributes:
        upstream: 32-bit hash of the upstream's name and address.
        stored: Prefix hashes of eight bytes each, one after another.
        evicted: The same for those that are gone.
    """

    upstream: int
    stored: bytes
    evicted: bytes


class Heartbeat(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Says that the sender lives, and what has changed there.

    Attributes:
        unheard: Peers of the zone that the sender does not hear.
        loads: Loads that the sender observed.
        held: What the sender holds by its own dispatches.
        demands: Demand of client accounts at the sender.
        zones: Loads of zones, forwarded to and from other zones.
    """

    config_version: ids.ConfigVersion
    leaving: bool = False
    unheard: tuple[ids.VmId, ...] = ()
    loads: tuple[LoadEntry, ...] = ()
    held: tuple[InFlightEntry, ...] = ()
    demands: tuple[DemandEntry, ...] = ()
    zones: tuple[ZoneLoad, ...] = ()
    cache: tuple[CacheEntry, ...] = ()


class Introduction(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """Says where the sender is; sent seldom and to new peers.

    Attributes:
        address: ``IP:port`` on which the sender listens to peers.
        answer: Whether the sender wants an introduction in return.
    """

    address: str
    availability_zone: ids.AvailabilityZoneId
    region: ids.RegionId
    answer: bool


class ListFetch(msgspec.Struct, array_like=True, tag=11, frozen=True):
    """Asks for the whole list of VMs; answered by a ``ListChange``."""


class ConfigFetch(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """Asks for the services text that is in force at the receiver."""


class ConfigReply(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """The services text in force, or None.

    Attributes:
        record: The accepted text; its document is left empty.
        document: The document, compressed by zlib.
    """

    record: rows.ConfigRecord | None
    document: bytes


class OwnerQuery(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """Asks the owner of a claim whether the call may still run."""

    incarnation: ids.IncarnationId
    nonce: ids.Nonce


class OwnerReply(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """What the owner says; one of the values of ``OwnerAnswer``."""

    answer: str


class ReaderTaken(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """Says that another VM reads a generation from now on."""

    generation: ids.GenerationId
    by: ids.VmId


class EngineEntry(msgspec.Struct, array_like=True, frozen=True):
    """Totals of the sender's runs at one engine.

    Attributes:
        tokens: Memory that they take.
        copy_tokens: Memory that copies of runs elsewhere take there.
        unread_tokens: Prompt tokens of those without a first event.
    """

    engine: ids.UpstreamId
    runs: int
    tokens: int
    copy_tokens: int
    unread_tokens: int


class TableMark(msgspec.Struct, array_like=True, frozen=True):
    """Up to when the sender knows a table of the platform's store.

    Attributes:
        version: Version up to which it knows all changes.
        changed: Version of the last change that it knows.
        store_ms: The store's steady clock at ``version``.
    """

    table: str
    version: int
    changed: int
    store_ms: float


class EntryNews(msgspec.Struct, array_like=True, tag=12, frozen=True):
    """What a forwarding entry VM tells its peers while it lives.

    Attributes:
        availability_zone: Zone of the sender.
        engines: Engines at which it has runs or copies.
        calls: Plain calls that it has at each upstream.
    """

    availability_zone: ids.AvailabilityZoneId
    leaving: bool
    marks: tuple[TableMark, ...]
    engines: tuple[EngineEntry, ...]
    calls: tuple[tuple[ids.UpstreamId, int], ...]


class ZoneNews(msgspec.Struct, array_like=True, tag=15, frozen=True):
    """What a gateway tells of all entry VMs of its zone.

    Attributes:
        availability_zone: The zone.
        engines: Engines at which its VMs have runs or copies.
        calls: Plain calls that they have at each upstream.
    """

    availability_zone: ids.AvailabilityZoneId
    marks: tuple[TableMark, ...]
    engines: tuple[EngineEntry, ...]
    calls: tuple[tuple[ids.UpstreamId, int], ...]


class RowsFetch(msgspec.Struct, array_like=True, tag=13, frozen=True):
    """Asks for a table if the receiver knows it beyond a version."""

    table: str
    version: int


class RowEntry(msgspec.Struct, array_like=True, frozen=True):
    """One row of a table."""

    key: str
    value: bytes
    version: int


class RowsReply(msgspec.Struct, array_like=True, tag=14, frozen=True):
    """All rows of a table, or None if the asker knows as much.

    Attributes:
        rows: The rows, compressed as one msgpack array by zlib.
    """

    mark: TableMark
    rows: bytes | None


Query = ConfigFetch | OwnerQuery | ListFetch | RowsFetch


class Request(msgspec.Struct, array_like=True, tag=8, frozen=True):
    """A question that wants a reply."""

    request: int
    query: Query


class ListChange(msgspec.Struct, array_like=True, tag=10, frozen=True):
    """What the sender saw change in the platform's list of VMs.

    Attributes:
        entries: VMs that are new or have changed.
        removed: VMs that are listed no more.
    """

    entries: tuple[base.VmEntry, ...]
    removed: tuple[ids.VmId, ...]


class Reply(msgspec.Struct, array_like=True, tag=9, frozen=True):
    """The reply to a question."""

    request: int
    answer: ConfigReply | OwnerReply | ListChange | RowsReply


Message = (
    Heartbeat
    | Introduction
    | ReaderTaken
    | Request
    | Reply
    | ListChange
    | EntryNews
    | ZoneNews
)


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """A message with its sender; this is what the MAC covers.

    Attributes:
        started_ms: Wall-clock time at which the sender's run began, in
            milliseconds since 1970.
        sequence: Number of the message in the sender's run.
        to: VM that it is meant for; empty for all.
    """

    vm: ids.VmId
    incarnation: ids.IncarnationId
    started_ms: int
    sequence: int
    to: ids.VmId
    message: Message
