"""Daemon part that reads the platform's list of VMs."""

import concurrent.futures
import dataclasses

import result

from eelgrassknot import clock as clocks
from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot.coordination import ticker
from eelgrassknot.coordination import vm_list
from eelgrassknot import ids
from eelgrassknot.kernel import events
from eelgrassknot.kernel import node as kernel_node
from eelgrassknot.kernel import parts
from eelgrassknot import states
from eelgrassknot.storage import base

__all__ = ['VmListPart', 'VmListRead']

TICK_MS = 500.0
LIST_POLL_MS = 2_000.0
# Estimated size of a list entry, and budget for reading the list: with many
# VMs, each reads the list less often and sends changes to its zone.
LIST_ENTRY_BYTES = 150
LIST_BYTES_PER_S = 2_000.0
PEER_TIMEOUT_MS = 1_000.0
# A leaving entry of this VM's name that was never seen live may belong to
# an earlier VM of the same name. The platform's list does not lag for
# longer than this.
STALE_ENTRY_MS = 30_000.0


@dataclasses.dataclass(frozen=True)
class VmListRead:
    """The platform's list was read, or a peer sent a change of it."""

    entries: tuple[base.VmEntry, ...]


@parts.part('vm_list', after=('membership',))
class VmListPart(parts.Part):
    """Publishes the list and sends its changes to peers.

    Attributes:
        entries: The known list, or None before the first read.
    """

    def __init__(self, node: kernel_node.Node) -> None:
        self.node = node
        self.entries: vm_list.VmEntries | None = None
        self.next_read_ms = float('-inf')
        self.seen_live = False
        self.leaving_since_ms: float | None = None
        self.executor = concurrent.futures.ThreadPoolExecutor(1, 'vm-list')
        self.ticker = ticker.Ticker('vm-list', TICK_MS, self._tick)

    def bind(self) -> None:
        """Look up the parts that this one uses, and register handlers."""
        self.link = self.node.part_set.parts['peers'].link
        self.membership = self.node.part_set.parts['membership']
        self.link.on_message(messages.ListChange, self._on_list_change)
        self.link.on_query(messages.ListFetch, self._answer_fetch)

    def start(self) -> None:
        """Start to read the list."""
        self._tick()
        self.ticker.start()

    def stop(self) -> None:
        """Stop reading."""
        self.ticker.stop()
        self.executor.shutdown(wait=False, cancel_futures=True)

    def not_ready_reasons(self) -> list[str]:
        """Return a reason while the list, and so all upstreams, is unknown."""
        if self.entries is None:
            return ['neither the platform nor a peer has provided the VM list']
        return []

    def _tick(self) -> None:
        now_ms = self.node.clock.now_ms()
        if now_ms >= self.next_read_ms:
            self.next_read_ms = now_ms + self._interval_ms()
            ticker.submit(self.executor, self._read)

    def _interval_ms(self) -> float:
        entry_ms = LIST_ENTRY_BYTES / LIST_BYTES_PER_S * clocks.MS_PER_SECOND
        count = len(self.entries or ())
        interval_ms = max(LIST_POLL_MS, count * entry_ms)
        # Jitter spreads the reads of VMs that were started together.
        return interval_ms * self.node.generator.uniform(0.8, 1.0)

    def _read(self) -> None:
        match self.node.platform.vms.list_vms():
            case result.Ok(entries):
                listed = {entry.vm: entry for entry in entries}
                change = vm_list.difference(self.entries or {}, listed)
                if self.entries is not None and change is not None:
                    self.link.broadcast(
                        self.membership.links.zone_peers, change
                    )
                self._publish(listed)
            case result.Err(_) if self.entries is None:
                self._fetch_from_peer()

    def _fetch_from_peer(self) -> None:
        names = sorted(self.membership.links.zone_peers)
        if not names:
            return
        name = self.node.generator.choice(names)
        answer = self.link.request(name, messages.ListFetch(), PEER_TIMEOUT_MS)
        match answer:
            case result.Ok(messages.ListChange() as full_list) if (
                full_list.entries
            ):
                self._publish(vm_list.apply({}, full_list))

    def _answer_fetch(
        self, vm: ids.VmId, query: messages.ListFetch
    ) -> messages.ListChange:
        return messages.ListChange(tuple((self.entries or {}).values()), ())

    def _on_list_change(self, envelope: messages.Envelope) -> None:
        # A change cannot be applied before the full list is known.
        if self.entries is not None:
            self._publish(vm_list.apply(self.entries, envelope.message))

    def _publish(self, listed: vm_list.VmEntries) -> None:
        self.entries = listed
        self.node.hub.publish(VmListRead(tuple(listed.values())))
        self._check_own_entry(listed)

    def _check_own_entry(self, listed: vm_list.VmEntries) -> None:
        own = listed.get(self.node.settings.vm)
        if own is None or own.state is states.UpstreamState.LIVE:
            self.seen_live = self.seen_live or own is not None
            self.leaving_since_ms = None
            return
        now_ms = self.node.clock.now_ms()
        if self.leaving_since_ms is None:
            self.leaving_since_ms = now_ms
        leaving_ms = now_ms - self.leaving_since_ms
        if self.seen_live or leaving_ms > STALE_ENTRY_MS:
            self.node.hub.publish(events.VmLeaving())
