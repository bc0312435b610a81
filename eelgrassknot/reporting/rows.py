"""Rows of the report, and the parts in which VMs store them."""

import collections.abc
import typing
import zlib

import msgspec

from eelgrassknot import exceptions
from eelgrassknot import ids
from eelgrassknot.reporting import names
from eelgrassknot.reporting import sketch

__all__ = [
    'IntervalPart',
    'Row',
    'RowKey',
    'RowSet',
    'VmIdentity',
    'combine',
    'decode',
    'encode',
]

MAX_ROWS = 4_600
MAX_REASONS = 32
COMPRESSION_LEVEL = 6

Counts = dict[str, int]


class RowKey(typing.NamedTuple):
    """Key that identifies a row.

    Attributes:
        upstream_region: Region of the last upstream, or empty for none.
    """

    service: ids.ServiceName
    client_account: ids.ClientAccountId
    upstream_region: ids.RegionId


class Row(msgspec.Struct, array_like=True):
    """Aggregated statistics of the requests with one key.

    Attributes:
        outcomes: Requests by outcome.
        reasons: Requests by the reason of their refusal or failure.
        parts_ms: Time by phase; the phases add up to the total time.
        sketches: Distributions by measure or phase. The sketch of a phase
            omits requests that spent no time in it.
        tokens_cut: Delivered tokens of answers that were never completed.
        tokens_discarded: Tokens that reached no caller, by reason.
        repeated_attempts: Attempts after the first one of each request.
        region_bytes: Bytes transferred between regions, by cause.
        region_cost: Price of those bytes.
    """

    service: ids.ServiceName
    client_account: ids.ClientAccountId
    upstream_region: ids.RegionId
    requests: int = 0
    outcomes: Counts = msgspec.field(default_factory=dict)
    reasons: Counts = msgspec.field(default_factory=dict)
    parts_ms: dict[str, float] = msgspec.field(default_factory=dict)
    sketches: dict[str, sketch.Sketch] = msgspec.field(default_factory=dict)
    tokens_delivered: int = 0
    tokens_cut: int = 0
    tokens_discarded: Counts = msgspec.field(default_factory=dict)
    repeated_attempts: int = 0
    region_bytes: Counts = msgspec.field(default_factory=dict)
    region_cost: float = 0.0

    def sketch_of(self, name: str) -> sketch.Sketch:
        """Return the sketch with a name; create it if necessary."""
        if name not in self.sketches:
            self.sketches[name] = sketch.Sketch()
        return self.sketches[name]

    def add_phase(self, part: names.Phase, spent_ms: float) -> None:
        """Add the time that a request spent in a phase."""
        if spent_ms:
            name = part.value
            self.parts_ms[name] = self.parts_ms.get(name, 0.0) + spent_ms
            self.sketch_of(name).add(spent_ms)

    def add_reason(self, reason: str) -> None:
        """Count the reason why a request was not served."""
        if not reason:
            return
        if reason not in self.reasons and len(self.reasons) >= MAX_REASONS:
            reason = names.OTHER
        add_count(self.reasons, reason, 1)

    def merge(self, other: 'Row') -> None:
        """Add the statistics of another row."""
        self.requests += other.requests
        for mine, theirs in (
            (self.outcomes, other.outcomes),
            (self.reasons, other.reasons),
            (self.tokens_discarded, other.tokens_discarded),
            (self.region_bytes, other.region_bytes),
        ):
            for name, count in theirs.items():
                add_count(mine, name, count)
        for name, spent_ms in other.parts_ms.items():
            self.parts_ms[name] = self.parts_ms.get(name, 0.0) + spent_ms
        for name, theirs in other.sketches.items():
            self.sketch_of(name).merge(theirs)
        self.tokens_delivered += other.tokens_delivered
        self.tokens_cut += other.tokens_cut
        self.repeated_attempts += other.repeated_attempts
        self.region_cost += other.region_cost


def add_count(counts: Counts, name: str, count: int) -> None:
    """Add to the count of a name; a count of 0 creates no entry."""
    if count:
        counts[name] = counts.get(name, 0) + count


class RowSet:
    """A bounded set of rows.

    Client accounts beyond the bound share one row per service and region;
    the requests in these shared rows are counted.

    Args:
        max_rows: Maximum number of rows for individual accounts.

    Attributes:
        folded_requests: Requests counted in shared rows.
    """

    def __init__(self, max_rows: int = MAX_ROWS) -> None:
        self.max_rows = max_rows
        self.rows: dict[RowKey, Row] = {}
        self.folded_requests = 0

    def row(self, key: RowKey, requests: int = 1) -> Row:
        """Return the row in which to count the requests with a key.

        Args:
            key: Key of the requests.
            requests: Number of requests to be counted.
        """
        found = self.rows.get(key)
        if found is None and len(self.rows) >= self.max_rows:
            if key.client_account != names.OTHER_ACCOUNTS:
                self.folded_requests += requests
            key = key._replace(client_account=names.OTHER_ACCOUNTS)
            found = self.rows.get(key)
        if found is None:
            found = Row(*key)
            self.rows[key] = found
        return found

    def merge(self, rows: collections.abc.Iterable[Row]) -> None:
        """Add the statistics of other rows."""
        for other in rows:
            key = RowKey(
                other.service, other.client_account, other.upstream_region
            )
            self.row(key, other.requests).merge(other)


class VmIdentity(typing.NamedTuple):
    """VM that wrote a part.

    Attributes:
        operators_address: Address of its operators' listener. It is
            stored with the part so that the command line can find the
            listener by asking only the platform.
    """

    vm: ids.VmId
    incarnation: ids.IncarnationId
    availability_zone: ids.AvailabilityZoneId
    region: ids.RegionId
    operators_address: str


class IntervalPart(msgspec.Struct, frozen=True):
    """Statistics of one VM for one or more complete intervals.

    Attributes:
        operators_address: Address of the VM's operators' listener.
        first_sequence: Number of the first interval; numbers start at 0
            for each incarnation.
        last_sequence: Number of the last interval.
        started_ms: Wall-clock start.
        ended_ms: Wall-clock end.
        final: Whether this is the last part of the incarnation.
        folded_requests: Requests counted under ``OTHER_ACCOUNTS``.
    """

    vm: ids.VmId
    incarnation: ids.IncarnationId
    availability_zone: ids.AvailabilityZoneId
    region: ids.RegionId
    operators_address: str
    first_sequence: int
    last_sequence: int
    started_ms: int
    ended_ms: int
    final: bool
    folded_requests: int
    rows: tuple[Row, ...]


def combine(first: IntervalPart, second: IntervalPart) -> IntervalPart:
    """Combine two consecutive parts into one.

    Args:
        first: The earlier part.
        second: The part that directly follows it.
    """
    merged = RowSet()
    merged.merge(first.rows)
    merged.merge(second.rows)
    folded = first.folded_requests + second.folded_requests
    return msgspec.structs.replace(
        second,
        first_sequence=first.first_sequence,
        started_ms=first.started_ms,
        folded_requests=folded + merged.folded_requests,
        rows=tuple(merged.rows.values()),
    )


def encode(part: IntervalPart) -> bytes:
    """Return a part encoded as an object body."""
    return zlib.compress(msgspec.msgpack.encode(part), COMPRESSION_LEVEL)


def decode(body: bytes) -> IntervalPart:
    """Return the part that an object body encodes.

    Raises:
        MalformedAnswerError: If the body is not a valid encoding.
    """
    try:
        return msgspec.msgpack.decode(zlib.decompress(body), type=IntervalPart)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise exceptions.MalformedAnswerError(
            f'cannot decode a report object: {error}',
            'check which version of the program wrote the object',
        ) from error
