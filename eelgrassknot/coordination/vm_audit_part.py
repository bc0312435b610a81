"""Daemon part that records in the audit trail which VMs joined and left.

The holder of a region's lease writes the rows. The other VMs retain recent
changes for a while, so that the next holder can write those that the
previous one may have missed. Around a takeover, a change may be recorded
twice.
"""

import collections
import concurrent.futures
import threading
import time

from eelgrassknot import clock as clocks
from eelgrassknot.coordination import lease_part
from eelgrassknot.coordination import rows
from eelgrassknot.coordination import ticker
from eelgrassknot.coordination import vm_list
from eelgrassknot.coordination import vm_list_part
from eelgrassknot import ids
from eelgrassknot.kernel import node as kernel_node
from eelgrassknot.kernel import parts
from eelgrassknot.storage import base

__all__ = ['VmAuditPart']

# While the store is down, only the newest rows are retained.
MAX_PENDING_ROWS = 1_000
ROWS_PER_TRANSACTION = 50
# Must exceed the duration of a takeover.
RETENTION_MS = 30_000.0


@parts.part('vm_audit', after=('membership', 'lease'))
class VmAuditPart(parts.Part):
    """Writes audit rows for the VMs of its region while holding the lease."""

    def __init__(self, node: kernel_node.Node) -> None:
        self.node = node
        self.lease_held: lease_part.LeaseHeld | None = None
        self.last_listed: vm_list.VmEntries | None = None
        self.pending_writes: collections.deque = collections.deque(
            maxlen=MAX_PENDING_ROWS
        )
        self.lock = threading.Lock()
        self.executor = concurrent.futures.ThreadPoolExecutor(1, 'vm-audit')
        node.hub.subscribe(lease_part.LeaseHeld, self._on_lease_held)
        node.hub.subscribe(lease_part.LeaseEnded, self._on_lease_ended)
        node.hub.subscribe(vm_list_part.VmListRead, self._on_list_read)

    def stop(self) -> None:
        """Stop writing."""
        self.executor.shutdown(wait=False, cancel_futures=True)

    def _on_lease_held(self, event: lease_part.LeaseHeld) -> None:
        with self.lock:
            self.lease_held = event

    def _on_lease_ended(self, event: lease_part.LeaseEnded) -> None:
        with self.lock:
            self.lease_held = None

    def _on_list_read(self, event: vm_list_part.VmListRead) -> None:
        region = self.node.settings.region
        listed = {
            entry.vm: entry
            for entry in event.entries
            if entry.region == region
        }
        now_ms = self.node.clock.now_ms()
        with self.lock:
            before, self.last_listed = self.last_listed, listed
            if before is not None:
                self._record_changes(before, listed, now_ms)
            if self.lease_held is None:
                self._discard_before(now_ms - RETENTION_MS)
                return
            if not self.pending_writes:
                return
        ticker.submit(self.executor, self._write_pending)

    def _discard_before(self, before_ms: float) -> None:
        while self.pending_writes and self.pending_writes[0][0] < before_ms:
            self.pending_writes.popleft()

    def _record_changes(
        self,
        before: vm_list.VmEntries,
        after: vm_list.VmEntries,
        now_ms: float,
    ) -> None:
        change = vm_list.difference(before, after)
        if change is None:
            return
        for entry in change.entries:
            verb = 'changed' if entry.vm in before else 'came'
            self._queue(entry, f'{verb}, {entry.state.value}', now_ms)
        for vm in change.removed:
            self._queue(before[vm], 'left', now_ms)

    def _queue(self, entry: base.VmEntry, verb: str, now_ms: float) -> None:
        at_ms = int(time.time() * clocks.MS_PER_SECOND)
        record = rows.AuditRecord(
            at_ms,
            rows.AuditKind.VM,
            self.node.settings.vm,
            (entry.service,) if entry.service else (),
            f'{entry.kind.value} VM {entry.vm} {verb}',
            detail={
                'vm': entry.vm,
                'address': f'{entry.address}:{entry.port}',
                'availability_zone': entry.availability_zone,
            },
        )
        key = rows.audit_key(at_ms, f'vm-{entry.vm}')
        write = base.Write(rows.AUDIT_TABLE, key, rows.encode(record))
        self.pending_writes.append((now_ms, write))

    def _write_pending(self) -> None:
        with self.lock:
            held = self.lease_held
            noted = list(self.pending_writes)[:ROWS_PER_TRANSACTION]
        if held is None or not noted:
            return
        writes = [write for _, write in noted]
        change = ids.ChangeId(ids.random_id())
        answer = self.node.platform.table.transact(
            change, [held.condition], writes
        )
        # Writing a row twice is harmless, as the key is the same.
        if answer.is_ok():
            with self.lock:
                for each in noted:
                    if each in self.pending_writes:
                        self.pending_writes.remove(each)
