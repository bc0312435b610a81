"""Request rates to which upstreams ask all VMs together to keep.

An upstream under pressure states its limit in its responses until it no
longer needs it. A limit applies to the sum over all VMs, so each VM tells
the others what it has read.
"""

import collections.abc
import enum

import msgspec

from eelgrassknot import ids

__all__ = ['LimitChange', 'LimitReading', 'LimitTable', 'ReadingSource']

UNLISTED_TTL_MS = 60_000.0
"""How long the limit of an upstream that is no longer listed is kept; ms.
Entries disappear during an outage of the store, and come back after it."""


class LimitChange(enum.Enum):
    """How a reading changed what is known of an upstream."""

    NONE = 'none'
    STATED = 'stated'
    CHANGED = 'changed'
    WITHDRAWN = 'withdrawn'


class ReadingSource(enum.Enum):
    """Who received the response that stated a limit."""

    OWN = 'response'
    PEER = 'peer'
    OTHER_ZONE = 'other_zone'


class LimitReading(msgspec.Struct, frozen=True):
    """What an upstream said of its limit at one moment.

    Attributes:
        started_at_ms: Start of the upstream's process, on its own clock; a
            limit does not outlive the process that stated it.
        per_s: Requests per second from all VMs together, or None if the
            upstream no longer states a limit.
        read_ms: When the response was received.
    """

    upstream: ids.UpstreamId
    started_at_ms: int
    per_s: float | None
    read_ms: float
    source: ReadingSource = ReadingSource.OWN


class LimitTable:
    """The newest reading of each upstream that has stated a limit.

    Attributes:
        readings: The newest reading of each upstream.
        started_at_ms: Start of the process of each listed upstream.
        unlisted_ms: Since when upstreams with a limit have not been listed.

    Example:
        >>> table = LimitTable()
        >>> table.update(LimitReading('a', 1, 2.5, 0.0))
        <LimitChange.STATED: 'stated'>
        >>> table.per_s('a')
        2.5
        >>> table.update(LimitReading('a', 1, None, 9.0))
        <LimitChange.WITHDRAWN: 'withdrawn'>
        >>> table.per_s('a') is None
        True
    """

    def __init__(self) -> None:
        self.readings: dict[ids.UpstreamId, LimitReading] = {}
        self.started_at_ms: dict[ids.UpstreamId, int] = {}
        self.unlisted_ms: dict[ids.UpstreamId, float] = {}

    @property
    def limited_count(self) -> int:
        """Number of upstreams with a limit."""
        return sum(
            reading.per_s is not None for reading in self.readings.values()
        )

    def per_s(self, upstream: ids.UpstreamId) -> float | None:
        """Return the limit of an upstream, or None if it has none."""
        reading = self.readings.get(upstream)
        return None if reading is None else reading.per_s

    def update(self, reading: LimitReading) -> LimitChange:
        """Apply a reading unless it is outdated."""
        started = self.started_at_ms.get(reading.upstream)
        if started is not None and started != reading.started_at_ms:
            return LimitChange.NONE
        known = self.readings.get(reading.upstream)
        if known is None:
            if reading.per_s is None:
                return LimitChange.NONE
            self.readings[reading.upstream] = reading
            return LimitChange.STATED
        if reading.read_ms <= known.read_ms:
            return LimitChange.NONE
        self.readings[reading.upstream] = reading
        if reading.per_s == known.per_s:
            return LimitChange.NONE
        if reading.per_s is None:
            return LimitChange.WITHDRAWN
        if known.per_s is None:
            return LimitChange.STATED
        return LimitChange.CHANGED

    def update_listed(
        self,
        started_at_ms: collections.abc.Mapping[ids.UpstreamId, int],
        now_ms: float,
    ) -> None:
        """Forget upstreams that were restarted, or unlisted for long.

        Args:
            started_at_ms: Start of the process of each listed upstream.
            now_ms: The present time.
        """
        self.started_at_ms = dict(started_at_ms)
        for upstream, reading in list(self.readings.items()):
            started = started_at_ms.get(upstream)
            if started is not None:
                self.unlisted_ms.pop(upstream, None)
                is_past = started != reading.started_at_ms
            else:
                since_ms = self.unlisted_ms.setdefault(upstream, now_ms)
                is_past = now_ms - since_ms > UNLISTED_TTL_MS
            if is_past:
                del self.readings[upstream]
                self.unlisted_ms.pop(upstream, None)
