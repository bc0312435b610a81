"""Part of the daemon that records which VMs came and left.

The holder of a region's lease writes the rows. The other VMs remember for
a while what changed, so that the next holder writes what the last one may
have left out; around a takeover a change can be recorded twice.
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

# While the store is down the newest are kept.
MAX_WAITING = 1_000
ROWS_PER_TRANSACTION = 50
# Longer than a takeover takes.
REMEMBERED_MS = 30_000.0


@parts.part('vm_audit', after=('membership', 'lease'))
class VmAuditPart(parts.Part):
    """Writes audit rows of the VMs of its region, as the lease holder."""

    def __init__(self, node: kernel_node.Node) -> None:
        self.node = node
        self.held: lease_part.LeaseHeld | None = None
        self.known: vm_list.Listed | None = None
        self.waiting: collections.deque = collections.deque(maxlen=MAX_WAITING)
        self.lock = threading.Lock()
        self.executor = concurrent.futures.ThreadPoolExecutor(1, 'vm-audit')
        node.hub.subscribe(lease_part.LeaseHeld, self._gained)
        node.hub.subscribe(lease_part.LeaseEnded, self._ended)
        node.hub.subscribe(vm_list_part.VmListRead, self._read)

    def stop(self) -> None:
        """Write no more."""
        self.executor.shutdown(wait=False, cancel_futures=True)

    def _gained(self, event: lease_part.LeaseHeld) -> None:
        with self.lock:
            self.held = event

    def _ended(self, event: lease_part.LeaseEnded) -> None:
        with self.lock:
            self.held = None

    def _read(self, event: vm_list_part.VmListRead) -> None:
        region = self.node.settings.region
        listed = {
            entry.vm: entry
            for entry in event.entries
            if entry.region == region
        }
        now_ms = self.node.clock.now_ms()
        with self.lock:
            before, self.known = self.known, listed
            if before is not None:
                self._note(before, listed, now_ms)
            if self.held is None:
                self._forget(now_ms - REMEMBERED_MS)
                return
            if not self.waiting:
                return
        ticker.submit(self.executor, self._write)

    def _forget(self, before_ms: float) -> None:
        while self.waiting and self.waiting[0][0] < before_ms:
            self.waiting.popleft()

    def _note(
        self,
        before: vm_list.Listed,
        after: vm_list.Listed,
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
        self.waiting.append((now_ms, write))

    def _write(self) -> None:
        with self.lock:
            held = self.held
            noted = list(self.waiting)[:ROWS_PER_TRANSACTION]
        if held is None or not noted:
            return
        writes = [write for _, write in noted]
        change = ids.ChangeId(ids.random_id())
        answer = self.node.platform.table.transact(
            change, [held.condition], writes
        )
        # A row that is written twice is the same row.
        if answer.is_ok():
            with self.lock:
                for each in noted:
                    if each in self.waiting:
                        self.waiting.remove(each)
