"""Rows of the report and the parts that VMs write of them."""

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
    """What a row is about.

    Attributes:
        upstream_region: Region of the last upstream, empty for none.
    """

    service: ids.ServiceName
    client_account: ids.ClientAccountId
    upstream_region: ids.RegionId


class Row(msgspec.Struct, array_like=True):
    """What happened to the requests of one key.

    Attributes:
        outcomes: Requests by outcome.
        reasons: Requests by the reason of their refusal or failure.
        parts_ms: Time by wait part; all of them add up to the whole.
        sketches: Distributions by measure or wait part. Requests that
            spent nothing in a part are not in the sketch of the part.
        tokens_cut: Delivered tokens of answers that never became whole.
        tokens_discarded: Tokens that reached nobody, by reason.
        repeated_attempts: Attempts beside the first of each request.
        region_bytes: Bytes between regions by cause.
        region_cost: Their price.
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
        """Return the sketch of a name, a new one if there is none."""
        if name not in self.sketches:
            self.sketches[name] = sketch.Sketch()
        return self.sketches[name]

    def add_phase(self, part: names.Phase, spent_ms: float) -> None:
        """Add time that a request spent in a part."""
        if spent_ms:
            name = part.value
            self.parts_ms[name] = self.parts_ms.get(name, 0.0) + spent_ms
            self.sketch_of(name).add(spent_ms)

    def add_reason(self, reason: str) -> None:
        """Count the reason of a request that was not served."""
        if not reason:
            return
        if reason not in self.reasons and len(self.reasons) >= MAX_REASONS:
            reason = names.OTHER
        add_count(self.reasons, reason, 1)

    def merge(self, other: 'Row') -> None:
        """Add all that another row has seen."""
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
    """Add to the count of a name; nothing is noted for a count of 0."""
    if count:
        counts[name] = counts.get(name, 0) + count


class RowSet:
    """A bounded set of rows.

    Beyond the bound, further client accounts share one row a service and
    region, and the requests that were put there are counted.

    Args:
        max_rows: Bound on the rows of named accounts.

    Attributes:
        folded_requests: Requests whose account the rows do not name.
    """

    def __init__(self, max_rows: int = MAX_ROWS) -> None:
        self.max_rows = max_rows
        self.rows: dict[RowKey, Row] = {}
        self.folded_requests = 0

    def row(self, key: RowKey, requests: int = 1) -> Row:
        """Return the row to which the requests of a key belong.

        Args:
            key: What the requests are about.
            requests: How many requests are to be put into the row.
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
        """Add all that other rows have seen."""
        for other in rows:
            key = RowKey(
                other.service, other.client_account, other.upstream_region
            )
            self.row(key, other.requests).merge(other)


class VmIdentity(typing.NamedTuple):
    """The VM that wrote a part.

    Attributes:
        operators_address: Where its operators' listener is, so that the
            command line finds it with the platform's help alone.
    """

    vm: ids.VmId
    incarnation: ids.IncarnationId
    availability_zone: ids.AvailabilityZoneId
    region: ids.RegionId
    operators_address: str


class IntervalPart(msgspec.Struct, frozen=True):
    """What one VM writes of one or more whole intervals.

    Attributes:
        operators_address: Where the VM's operators' listener is.
        first_sequence: Number of the first interval in it, from 0 for
            each incarnation.
        last_sequence: Number of the last interval in it.
        started_ms: Wall-clock time at which it began.
        ended_ms: Wall-clock time at which it ended.
        final: Whether the VM ended with it, so that nothing follows.
        folded_requests: Requests whose account the rows do not name.
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
    """Return one part of two that follow each other.

    Args:
        first: The earlier part.
        second: The part that follows it without a gap.
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
    """Return a part as the body of an object."""
    return zlib.compress(msgspec.msgpack.encode(part), COMPRESSION_LEVEL)


def decode(body: bytes) -> IntervalPart:
    """Return the part in the body of an object.

    Raises:
        MalformedAnswerError: If the body is not what ``encode`` writes.
    """
    try:
        return msgspec.msgpack.decode(zlib.decompress(body), type=IntervalPart)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise exceptions.MalformedAnswerError(
            f'an object of the report cannot be read: {error}',
            'check which version of the program wrote the object',
        ) from error
