"""Messages between the daemons of one deployment.

They are encoded as msgpack arrays with a numeric tag to keep them small,
as most of them are sent to each peer of the zone every second.
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
    'LimitEntry',
    'ListChange',
    'ListFetch',
    'LoadEntry',
    'Message',
    'OwnerQuery',
    'OwnerReply',
    'PermitReply',
    'PermitRequest',
    'Query',
    'ReaderTaken',
    'Reply',
    'Request',
    'RowEntry',
    'RowsFetch',
    'RowsNews',
    'RowsReply',
    'SpeedEntry',
    'TableMark',
    'ZoneLoad',
    'ZoneNews',
]


class LoadEntry(msgspec.Struct, array_like=True, frozen=True):
    """Load of one upstream as polled by its observer.

    Attributes:
        upstream: 32-bit hash of the upstream's name and address.
        at_ms: Time on the upstream's own clock.
        reachable: Whether the observer could reach the upstream.
        leaving: Whether the upstream reports that it is leaving.
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
    """Load that the sender's own dispatches put on one upstream."""

    upstream: int
    running: int
    expected_tokens: int


class DemandEntry(msgspec.Struct, array_like=True, frozen=True):
    """Request rate of one client account at the sender.

    Attributes:
        client_account: 32-bit hash of the account's name.
        milli_requests_per_second: Rate in thousandths of a request per
            second.
    """

    client_account: int
    milli_requests_per_second: int


class ZoneLoad(msgspec.Struct, array_like=True, frozen=True):
    """Load of one service in one zone, summed over its upstreams.

    Attributes:
        leaving: Hashes of the upstreams that report that they are leaving.
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
    """Prefixes that an engine stored or evicted, polled by its observer.

    Attributes:
        upstream: 32-bit hash of the upstream's name and address.
        stored: Concatenated prefix hashes of eight bytes each.
        evicted: The same for evicted prefixes.
    """

    upstream: int
    stored: bytes
    evicted: bytes


class Heartbeat(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Proof that the sender is alive, with its latest digest.

    Attributes:
        unheard: Peers of the zone whose heartbeats have stopped at the
            sender.
        loads: Upstream loads that the sender polled.
        held: Load that the sender's own dispatches put on upstreams.
        demands: Demand of client accounts at the sender.
        zones: Load sums by zone, exchanged with other zones.
        cache: Cache events of engines that the sender polled.
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
    """Location of the sender; sent to new peers and at long intervals.

    Attributes:
        address: ``IP:port`` on which the sender listens to peers.
        answer: Whether the sender requests an introduction in return.
    """

    address: str
    availability_zone: ids.AvailabilityZoneId
    region: ids.RegionId
    answer: bool


class ListFetch(msgspec.Struct, array_like=True, tag=11, frozen=True):
    """Requests the full list of VMs; answered by a ``ListChange``."""


class ConfigFetch(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """Requests the services text that is in force at the receiver."""


class ConfigReply(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """The services text in force, or None.

    Attributes:
        record: The accepted text, with an empty document.
        document: The document, compressed with zlib.
    """

    record: rows.ConfigRecord | None
    document: bytes


class OwnerQuery(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """Asks the owner of a claim whether the call may still be running."""

    incarnation: ids.IncarnationId
    nonce: ids.Nonce


class OwnerReply(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """The owner's answer, which is a value of ``OwnerAnswer``."""

    answer: str


class ReaderTaken(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """Notifies a VM that another one has taken over reading a generation."""

    generation: ids.GenerationId
    by: ids.VmId


class EngineEntry(msgspec.Struct, array_like=True, frozen=True):
    """Totals of the sender's runs at one engine.

    Attributes:
        tokens: Memory taken by the runs.
        copy_tokens: Memory taken by copies of runs at other engines.
        unread_tokens: Prompt tokens of runs without a first event.
    """

    engine: ids.UpstreamId
    runs: int
    tokens: int
    copy_tokens: int
    unread_tokens: int


class TableMark(msgspec.Struct, array_like=True, frozen=True):
    """How recent the sender's copy of a platform table is.

    Attributes:
        version: Version up to which the sender has all changes.
        changed: Version of the last change that the sender has.
        store_ms: The store's monotonic clock at ``version``.
        timeline: Number of times that the store had been restored.
    """

    table: str
    version: int
    changed: int
    store_ms: float
    timeline: int = 0


class LimitEntry(msgspec.Struct, array_like=True, frozen=True):
    """Request limit that an upstream stated, or withdrew.

    Attributes:
        started_at_ms: Start of the upstream's process, on its own clock.
        per_s: Requests per second from all VMs together, or None if the
            upstream has withdrawn its limit.
        store_ms: The store's monotonic clock when it was read.
    """

    upstream: ids.UpstreamId
    started_at_ms: int
    per_s: float | None
    store_ms: float


class SpeedEntry(msgspec.Struct, array_like=True, frozen=True):
    """Estimate of the speed of an engine.

    Attributes:
        started_at_ms: Start of the engine's process, on its own clock.
        factor_percent: Duration of a decode step relative to an engine of
            speed 1, in percent.
        weight: Number of windows of events behind it, in tenths.
        age_ms: Time since the last of them.
        run_limit: Limit on concurrent runs, or 0.
    """

    upstream: ids.UpstreamId
    started_at_ms: int
    factor_percent: int
    weight: int
    age_ms: int
    run_limit: int = 0


class EntryNews(msgspec.Struct, array_like=True, tag=12, frozen=True):
    """Periodic state of a forwarding entry VM.

    Attributes:
        availability_zone: Zone of the sender.
        engines: Engines at which the sender has runs or copies.
        calls: Number of the sender's plain calls at each upstream.
        limits: Limits that the sender has read, or None if its release
            does not know limits.
        newest_state: Highest version of the deployment's state that the
            sender knows of, or None.
        address: ``IP:port`` on which the sender listens to peers, if it has
            started recently; empty otherwise.
        leaving_upstreams: Upstreams that have said in a response that they
            are leaving, with the start of their process.
        speeds: Estimates of engines that differ from what the receivers
            know, by the sender's own runs.
    """

    availability_zone: ids.AvailabilityZoneId
    leaving: bool
    marks: tuple[TableMark, ...]
    engines: tuple[EngineEntry, ...]
    calls: tuple[tuple[ids.UpstreamId, int], ...]
    limits: tuple[LimitEntry, ...] | None = None
    newest_state: int | None = None
    address: str = ''
    leaving_upstreams: tuple[tuple[ids.UpstreamId, int], ...] = ()
    speeds: tuple[SpeedEntry, ...] = ()


class ZoneNews(msgspec.Struct, array_like=True, tag=15, frozen=True):
    """State of all entry VMs of a zone, sent by a gateway.

    Attributes:
        availability_zone: The zone.
        engines: Engines at which VMs of the zone have runs or copies.
        calls: Number of the zone's plain calls at each upstream.
        limits: Limits that VMs of the zone have read.
        newest_state: Highest version of the deployment's state that the
            sender knows of, or None.
        speeds: Estimates of engines by the runs of the zone's VMs, in some
            messages.
    """

    availability_zone: ids.AvailabilityZoneId
    marks: tuple[TableMark, ...]
    engines: tuple[EngineEntry, ...]
    calls: tuple[tuple[ids.UpstreamId, int], ...]
    limits: tuple[LimitEntry, ...] = ()
    newest_state: int | None = None
    speeds: tuple[SpeedEntry, ...] = ()


class PermitRequest(msgspec.Struct, array_like=True, tag=16, frozen=True):
    """Asks the receiver for a permit to send to a limited or cold upstream.

    Attributes:
        ticket: Number of the request at the sender.
        per_s: Limit of the upstream as known to the sender.
        max_wait_ms: Longest delay after which the permit is of use.
        is_urgent: Whether a run is lost without the permit.
        cold_per_s: Permits per second to send to the upstream while it is
            cold; 0 if the sender does not know it to be cold.
        states_limit: Whether ``per_s`` is a limit that the upstream has
            stated, not only the rate of a cold one.
    """

    ticket: int
    upstream: ids.UpstreamId
    per_s: float
    max_wait_ms: float
    is_urgent: bool
    cold_per_s: float = 0.0
    states_limit: bool = True


class PermitReply(msgspec.Struct, array_like=True, tag=17, frozen=True):
    """The reply to a request for a permit.

    Attributes:
        is_granted: Whether the permit was issued.
        delay_ms: Delay until the permit, or else until the next one.
    """

    ticket: int
    is_granted: bool
    delay_ms: float


class RowsFetch(msgspec.Struct, array_like=True, tag=13, frozen=True):
    """Requests a table if the receiver has it beyond a given version.

    Attributes:
        timeline: Timeline of the store in which the version counts.
        accepts_changes: Whether the reply may contain only the changes after
            the version.
    """

    table: str
    version: int
    timeline: int = 0
    accepts_changes: bool = False


class RowEntry(msgspec.Struct, array_like=True, frozen=True):
    """One row of a table, or its removal."""

    key: str
    value: bytes
    version: int
    deleted: bool = False


class RowsReply(msgspec.Struct, array_like=True, tag=14, frozen=True):
    """All rows of a table, or None if the requester is up to date.

    Attributes:
        rows: The rows as one msgpack array, compressed with zlib.
        after: Version after which the rows are all changes, or None if they
            are the whole table.
    """

    mark: TableMark
    rows: bytes | None
    after: int | None = None


class RowsNews(msgspec.Struct, array_like=True, tag=18, frozen=True):
    """Changes of a table, sent by the VM that has read them in the store.

    Attributes:
        rows: The changed rows as one msgpack array, compressed with zlib.
        after: Version after which they are all changes.
    """

    mark: TableMark
    rows: bytes
    after: int


Query = ConfigFetch | OwnerQuery | ListFetch | RowsFetch


class Request(msgspec.Struct, array_like=True, tag=8, frozen=True):
    """A query that expects a reply."""

    request: int
    query: Query


class ListChange(msgspec.Struct, array_like=True, tag=10, frozen=True):
    """Change that the sender saw in the platform's list of VMs.

    Attributes:
        entries: VMs that are new or have changed.
        removed: VMs that are no longer listed.
    """

    entries: tuple[base.VmEntry, ...]
    removed: tuple[ids.VmId, ...]


class Reply(msgspec.Struct, array_like=True, tag=9, frozen=True):
    """The reply to a query."""

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
    | PermitRequest
    | PermitReply
    | RowsNews
)


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """A message with its sender; the content that the MAC covers.

    Attributes:
        started_ms: Wall-clock time at which the sender's process started,
            in milliseconds since 1970.
        sequence: Sequence number of the message in the sender's run.
        to: VM to which it is addressed; empty for all.
    """

    vm: ids.VmId
    incarnation: ids.IncarnationId
    started_ms: int
    sequence: int
    to: ids.VmId
    message: Message
