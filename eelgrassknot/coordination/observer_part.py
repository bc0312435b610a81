"""Part of the daemon that polls the upstreams it observes."""

import concurrent.futures
import threading

import result

from eelgrassknot.coordination import digest as digests
from eelgrassknot.coordination import membership_part
from eelgrassknot.coordination import observation
from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot.coordination import rendezvous
from eelgrassknot.coordination import ticker
from eelgrassknot import ids
from eelgrassknot.kernel import events
from eelgrassknot.kernel import node as kernel_node
from eelgrassknot.kernel import parts
from eelgrassknot import states
from eelgrassknot.upstreams import cache_client
from eelgrassknot.upstreams import engine_client
from eelgrassknot.upstreams import messages as upstream_messages

__all__ = ['ObserverPart']

TICK_MS = 200.0
# Each upstream is always polled by the same thread, which keeps its
# connection open.
POLL_THREADS = 8
CACHE_INTERVAL_MS = 5_000.0
MAX_CACHE_PREFIXES = 64


@parts.part('observer', after=('digests',))
class ObserverPart(parts.Part):
    """Asks upstreams for their load, as one of their two observers."""

    def __init__(self, node: kernel_node.Node) -> None:
        self.node = node
        self.observation = observation.Observation(node.settings.vm)
        self.upstreams: dict[ids.UpstreamId, events.UpstreamInfo] = {}
        self.members: tuple[ids.VmId, ...] = (node.settings.vm,)
        self.cache_after: dict[str, int] = {}
        self.next_cache_ms: dict[str, float] = {}
        self.lock = threading.Lock()
        self.executors = [
            concurrent.futures.ThreadPoolExecutor(1, f'observer-{number}')
            for number in range(POLL_THREADS)
        ]
        self.ticker = ticker.Ticker('observer', TICK_MS, self._tick)
        node.hub.subscribe(events.UpstreamsChanged, self._upstreams)
        node.hub.subscribe(membership_part.EntryVmsChanged, self._members)

    def start(self) -> None:
        """Begin to poll."""
        self.digests = self.node.part_set.parts['digests']
        self.ticker.start()

    def stop(self) -> None:
        """Poll no more."""
        self.ticker.stop()
        for executor in self.executors:
            executor.shutdown(wait=False, cancel_futures=True)

    def status(self) -> dict[str, object]:
        """Return how many upstreams this VM observes."""
        return {'observes': len(self.observation.duties)}

    def heard(self, upstream: ids.UpstreamId) -> None:
        """Take in that another observer told the load of an upstream."""
        with self.lock:
            self.observation.heard(upstream, self.node.clock.now_ms())

    def _tick(self) -> None:
        with self.lock:
            due = self.observation.due(self.node.clock.now_ms())
            infos = [self.upstreams[upstream] for upstream in due]
        for info in infos:
            lane = rendezvous.name_hash(info.upstream) % POLL_THREADS
            ticker.submit(self.executors[lane], self._poll, info)

    def _poll(self, info: events.UpstreamInfo) -> None:
        try:
            answer = engine_client.load(info.address)
            self._take_in(info, answer)
            if info.kind is states.ServiceKind.ENGINE and answer.is_ok():
                self._poll_cache(info)
        finally:
            with self.lock:
                self.observation.answered(info.upstream)

    def _take_in(
        self,
        info: events.UpstreamInfo,
        answer: result.Result[upstream_messages.LoadAnswer, Exception],
    ) -> None:
        reachable = self.digests.reachability.polled(
            info.upstream, answer.is_ok()
        )
        key = digests.upstream_key(info)
        match answer:
            case result.Ok(load):
                entry = _entry(key, load)
            case _ if reachable:
                return
            case _:
                entry = messages.LoadEntry(key, 0, 0, 0, 0, 0, 0, False)
        self.digests.observed(info, entry)

    def _poll_cache(self, info: events.UpstreamInfo) -> None:
        now_ms = self.node.clock.now_ms()
        if now_ms < self.next_cache_ms.get(info.address, 0.0):
            return
        self.next_cache_ms[info.address] = now_ms + CACHE_INTERVAL_MS
        after = self.cache_after.get(info.address, 0)
        match cache_client.cache_events(info.address, after):
            case result.Ok(seen):
                self.cache_after[info.address] = seen.next
                if seen.events:
                    self.digests.cache_seen(info, _cache_entry(info, seen))

    def _upstreams(self, event: events.UpstreamsChanged) -> None:
        with self.lock:
            self.upstreams = {
                info.upstream: info
                for info in event.upstreams
                if info.availability_zone
                == self.node.settings.availability_zone
            }
            self._assign()

    def _members(self, event: membership_part.EntryVmsChanged) -> None:
        with self.lock:
            self.members = event.members
            self._assign()

    def _assign(self) -> None:
        self.observation.assign(
            self.upstreams, self.members, self.node.clock.now_ms()
        )


def _entry(key: int, load: upstream_messages.LoadAnswer) -> messages.LoadEntry:
    return messages.LoadEntry(
        key,
        int(load.at_ms),
        load.kv_tokens_used,
        load.kv_tokens_total,
        load.running,
        load.waiting,
        load.preemptions,
        True,
        load.state is states.UpstreamState.LEAVING,
    )


def _cache_entry(
    info: events.UpstreamInfo, seen: cache_client.CacheEvents
) -> messages.CacheEntry:
    packed = {kind: b'' for kind in cache_client.CacheChange}
    for event in seen.events[-MAX_CACHE_PREFIXES:]:
        packed[event.kind] += bytes.fromhex(event.prefix)
    return messages.CacheEntry(
        digests.upstream_key(info),
        packed[cache_client.CacheChange.STORED],
        packed[cache_client.CacheChange.EVICTED],
    )
