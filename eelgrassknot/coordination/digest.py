"""Digests of load and demand that the VMs of a zone exchange.

Each VM sends the upstream loads that it polled, the load that its own
dispatches put on upstreams, and the demand of its client accounts, as
deltas within a byte budget. Gateways send sums by zone and service to
other zones.
"""

import collections
import collections.abc
import dataclasses

from eelgrassknot.coordination import delta_queue
from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot.coordination import rendezvous
from eelgrassknot import ids
from eelgrassknot.kernel import events

__all__ = ['Digest', 'Payload', 'upstream_key']

LOAD_BYTES = 28
IN_FLIGHT_BYTES = 11
DEMAND_BYTES = 9
ZONE_BYTES = 56
LOAD_REFRESH_MS = 1_000.0
IN_FLIGHT_REFRESH_MS = 2_000.0
DEMAND_REFRESH_MS = 2_000.0
ZONE_REFRESH_MS = 4_000.0
LOAD_SHARE = 0.6
IN_FLIGHT_SHARE = 0.6
ZONE_SHARE = 0.4
# An older load is left out of the sums of its zone.
SUM_MAX_AGE_MS = 10_000.0
MAX_CACHE_ENTRIES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Payload:
    """Contents of the digest in one heartbeat."""

    loads: tuple[messages.LoadEntry, ...]
    held: tuple[messages.InFlightEntry, ...]
    demands: tuple[messages.DemandEntry, ...]
    zones: tuple[messages.ZoneLoad, ...]
    cache: tuple[messages.CacheEntry, ...]


class Digest:
    """Digest state of one VM, both to send and received.

    Args:
        availability_zone: Zone of this VM.

    Attributes:
        upstreams: Upstream of each name hash. Upstreams whose hashes
            collide are left out, as their entries would be ambiguous.
        loads: Newest load of each upstream of the zone, with its time of
            receipt.

    Example:
        >>> digest = Digest('zone')
        >>> digest.take(1_000, 0.0).loads
        ()
    """

    def __init__(self, availability_zone: ids.AvailabilityZoneId) -> None:
        self.availability_zone = availability_zone
        self.upstreams: dict[int, events.UpstreamInfo] = {}
        self.key_by_upstream: dict[ids.UpstreamId, int] = {}
        self.loads: dict[int, tuple[messages.LoadEntry, float]] = {}
        self.own_loads = delta_queue.DeltaQueue(LOAD_BYTES, LOAD_REFRESH_MS)
        self.in_flight = delta_queue.DeltaQueue(
            IN_FLIGHT_BYTES, IN_FLIGHT_REFRESH_MS
        )
        self.demands = delta_queue.DeltaQueue(DEMAND_BYTES, DEMAND_REFRESH_MS)
        self.zones = delta_queue.DeltaQueue(ZONE_BYTES, ZONE_REFRESH_MS)
        # Cache events are only hints, so the oldest are dropped when full.
        self.cache: collections.deque = collections.deque(
            maxlen=MAX_CACHE_ENTRIES
        )

    def set_upstreams(
        self, upstreams: collections.abc.Sequence[events.UpstreamInfo]
    ) -> None:
        """Replace the set of known upstreams."""
        hashes = [upstream_key(info) for info in upstreams]
        counts = collections.Counter(hashes)
        self.upstreams = {
            key: info
            for key, info in zip(hashes, upstreams, strict=True)
            if counts[key] == 1
        }
        self.key_by_upstream = {
            info.upstream: key for key, info in self.upstreams.items()
        }
        for key in list(self.loads):
            if key not in self.upstreams:
                del self.loads[key]
        for queue in (self.own_loads, self.in_flight):
            for key in list(queue.entries):
                if key not in self.upstreams:
                    queue.remove(key)

    def record_own_load(
        self, entry: messages.LoadEntry, now_ms: float
    ) -> None:
        """Record a load that this VM polled."""
        if entry.upstream in self.upstreams:
            self.own_loads.offer(entry.upstream, entry)
            self.loads[entry.upstream] = (entry, now_ms)

    def record_peer_load(
        self, entry: messages.LoadEntry, now_ms: float
    ) -> bool:
        """Record a load that a peer polled.

        Returns:
            Whether the upstream is known and the load newer than the
            recorded one; messages may be duplicated or reordered.
        """
        if entry.upstream not in self.upstreams:
            return False
        known = self.loads.get(entry.upstream)
        if known is not None and entry.at_ms < known[0].at_ms:
            # A restart may reset the upstream's clock.
            if now_ms - known[1] < SUM_MAX_AGE_MS:
                return False
        self.loads[entry.upstream] = (entry, now_ms)
        # The peer that polls the upstream reports it, so this VM need not.
        self.own_loads.remove(entry.upstream)
        return True

    def update_dispatch_state(
        self,
        held: collections.abc.Mapping[ids.UpstreamId, tuple[int, int]],
        demands: collections.abc.Mapping[ids.ClientAccountId, float],
    ) -> None:
        """Queue the dispatcher's load and demand for sending to peers.

        Args:
            held: Running requests and expected tokens by upstream.
            demands: Requests per second by client account. Zero is sent
                once for an account that is no longer included.
        """
        for upstream, (running, expected_tokens) in held.items():
            key = self.key_by_upstream.get(upstream)
            if key is None or not (running or key in self.in_flight.entries):
                continue
            entry = messages.InFlightEntry(key, running, expected_tokens)
            self.in_flight.offer(key, entry)
        present = set()
        for account, rate in demands.items():
            key = rendezvous.name_hash(account)
            present.add(key)
            self.demands.offer(key, messages.DemandEntry(key, _milli(rate)))
        for key, entry in list(self.demands.entries.items()):
            if key in present:
                continue
            if entry.value.milli_requests_per_second or entry.changed:
                self.demands.offer(key, messages.DemandEntry(key, 0))
            else:
                self.demands.remove(key)

    def forward_zone_loads(self, loads: collections.abc.Iterable) -> None:
        """Queue load sums of other zones for the peers of this zone."""
        for load in loads:
            key = (load.availability_zone, load.service)
            self.zones.offer(key, load)

    def zone_loads(self, now_ms: float) -> tuple[messages.ZoneLoad, ...]:
        """Return the load sums of this zone by service, for other zones."""
        sums: dict[ids.ServiceName, list[int]] = {}
        leaving: dict[ids.ServiceName, list[int]] = {}
        for key, (entry, heard_ms) in self.loads.items():
            info = self.upstreams[key]
            if info.availability_zone != self.availability_zone:
                continue
            if entry.leaving:
                leaving.setdefault(info.service, []).append(key)
            if now_ms - heard_ms > SUM_MAX_AGE_MS:
                continue
            figures = (
                1,
                entry.kv_tokens_used,
                entry.kv_tokens_total,
                entry.running,
                entry.waiting,
                entry.preemptions,
            )
            total = sums.get(info.service, [0] * len(figures))
            sums[info.service] = [
                a + b for a, b in zip(total, figures, strict=True)
            ]
        return tuple(
            messages.ZoneLoad(
                self.availability_zone,
                service,
                *total,
                tuple(leaving.get(service, ())),
            )
            for service, total in sorted(sums.items())
        )

    def take(self, budget_bytes: float, now_ms: float) -> Payload:
        """Return the digest for the next heartbeat.

        Args:
            budget_bytes: Approximate maximum size.
            now_ms: Current time.
        """
        left = budget_bytes
        loads = self.own_loads.take(left * LOAD_SHARE, now_ms)
        left -= len(loads) * LOAD_BYTES
        held = self.in_flight.take(left * IN_FLIGHT_SHARE, now_ms)
        left -= len(held) * IN_FLIGHT_BYTES
        zones = self.zones.take(left * ZONE_SHARE, now_ms)
        left -= len(zones) * ZONE_BYTES
        demands = self.demands.take(left, now_ms)
        left -= len(demands) * DEMAND_BYTES
        return Payload(
            tuple(loads),
            tuple(held),
            tuple(demands),
            tuple(zones),
            self._take_cache(left),
        )

    def add_cache_entry(self, entry: messages.CacheEntry) -> None:
        """Queue cache events that this VM polled."""
        self.cache.append(entry)

    def _take_cache(self, budget_bytes: float) -> tuple:
        taken = []
        while self.cache:
            entry = self.cache[0]
            budget_bytes -= len(entry.stored) + len(entry.evicted)
            if budget_bytes < 0:
                break
            taken.append(self.cache.popleft())
        return tuple(taken)


def upstream_key(info: events.UpstreamInfo) -> int:
    """Return the hash that identifies an upstream in digests.

    The hash covers the address, so that data on an earlier incarnation
    is not attributed to a successor of the same name.
    """
    return rendezvous.name_hash(f'{info.upstream}@{info.address}')


def _milli(rate: float) -> int:
    return round(rate * 1_000)
