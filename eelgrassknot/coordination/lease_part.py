"""Daemon part that competes for the lease of its region."""

import collections.abc
import concurrent.futures
import dataclasses
import threading
import time

import result

from eelgrassknot import clock as clocks
from eelgrassknot.coordination import lease as leases
from eelgrassknot.coordination import lease_messages as messages
from eelgrassknot.coordination import rendezvous
from eelgrassknot.coordination import rows
from eelgrassknot.coordination import ticker
from eelgrassknot import exceptions
from eelgrassknot import ids
from eelgrassknot.kernel import node as kernel_node
from eelgrassknot.kernel import parts
from eelgrassknot import logs
from eelgrassknot.storage import base

__all__ = ['LeaseEnded', 'LeaseHeld', 'LeasePart']

TICK_MS = 500.0
RETRY_S = 0.3


@dataclasses.dataclass(frozen=True)
class LeaseHeld:
    """This VM now holds the lease and may give orders.

    Attributes:
        fencing: Fencing number of its orders.
        condition: Table condition that holds until another VM takes the
            lease over; the holder attaches it to each of its writes.
    """

    fencing: ids.FencingNumber
    condition: base.Condition


@dataclasses.dataclass(frozen=True)
class LeaseEnded:
    """This VM must give no more orders under a fencing number."""

    fencing: ids.FencingNumber


@parts.part('lease', after=('membership',))
class LeasePart(parts.Part):
    """Performs the reads and writes that the lease state machine requests."""

    def __init__(self, node: kernel_node.Node) -> None:
        self.node = node
        self.region = node.settings.region
        self.table = node.platform.table
        self.lease = leases.Lease(node.settings.vm, node.incarnation)
        self.held: LeaseHeld | None = None
        self.lock = threading.Lock()
        self.executor = concurrent.futures.ThreadPoolExecutor(1, 'lease')
        self.ticker = ticker.Ticker('lease', TICK_MS, self._tick)

    def bind(self) -> None:
        """Look up the parts that this one uses."""
        self.membership = self.node.part_set.parts['membership']

    def start(self) -> None:
        """Start to watch the lease."""
        self.ticker.start()

    def drain(self) -> None:
        """Release the lease, so that a successor need not await expiry."""
        self._handle(messages.Release())

    def stop(self) -> None:
        """Stop watching the lease."""
        self.ticker.stop()
        self.executor.shutdown(wait=True)

    def is_valid(self, fencing: ids.FencingNumber) -> bool:
        """Return whether orders may be given under a fencing number now."""
        lease = self.lease
        if lease.epoch != fencing:
            return False
        return lease.is_valid(self.node.clock.now_ms())

    def status(self) -> dict[str, object]:
        """Return the lease as this VM knows it."""
        record = self.lease.record
        return {
            'lease': {
                'region': self.region,
                'holder': record.holder if record else None,
                'epoch': record.epoch if record else 0,
                'held_here': self.held is not None,
            }
        }

    def _tick(self) -> None:
        members = self.membership.live_region_members()
        ranked = rendezvous.ranked(self.region, members)
        rank = ranked.index(self.node.settings.vm)
        self._handle(messages.Tick(rank))

    def _handle(self, event: messages.Event) -> None:
        with self.lock:
            actions = self.lease.handle(event, self.node.clock.now_ms())
        for action in actions:
            match action:
                case messages.ReadRow():
                    ticker.submit(self.executor, self._read)
                case messages.WriteRow():
                    ticker.submit(self.executor, self._write, action)
                case messages.Gained(epoch):
                    ticker.submit(self.executor, self._on_gained, epoch)
                case messages.Lost(epoch):
                    self._publish_ended(epoch)

    def _read(self) -> None:
        match _read_row(
            self.table, rows.LEASE_TABLE, self.region, rows.LeaseRecord
        ):
            case result.Ok((record, version)):
                self._handle(messages.RowRead(record, version))
            case _:
                self._handle(messages.ReadFailed())

    def _write(self, action: messages.WriteRow) -> None:
        condition = base.Condition(
            rows.LEASE_TABLE, self.region, action.row_version
        )
        value = rows.encode(action.record)
        writes = [base.Write(rows.LEASE_TABLE, self.region, value)]
        if action.takes_over:
            writes += self._takeover_writes(action.record)
        change = ids.ChangeId(ids.random_id())
        match self.table.transact(change, [condition], writes):
            case result.Ok(base.Versions(versions)):
                version = versions[f'{rows.LEASE_TABLE}/{self.region}']
                self._handle(messages.WriteCommitted(version))
            case result.Err(exceptions.RowConflictError()):
                self._handle(messages.WriteConflicted())
            case _:
                self._handle(messages.WriteFailed())

    def _takeover_writes(
        self, record: rows.LeaseRecord
    ) -> collections.abc.Sequence[base.Write]:
        at_ms = int(time.time() * clocks.MS_PER_SECOND)
        audit = rows.AuditRecord(
            at_ms,
            rows.AuditKind.LEASE,
            self.node.settings.vm,
            (),
            f'took over the lease of {self.region}, epoch {record.epoch}',
        )
        key = rows.audit_key(at_ms, f'lease-{self.region}-{record.epoch}')
        epoch = rows.encode(rows.LeaseEpoch(record.epoch))
        return [
            base.Write(rows.LEASE_EPOCH_TABLE, self.region, epoch),
            base.Write(rows.AUDIT_TABLE, key, rows.encode(audit)),
        ]

    def _on_gained(self, epoch: ids.FencingNumber) -> None:
        # The row version is used only if the row still names this epoch.
        # With a later version, the writes of this VM would be accepted
        # during the term of its successor.
        match _read_row(
            self.table, rows.LEASE_EPOCH_TABLE, self.region, rows.LeaseEpoch
        ):
            case result.Ok((rows.LeaseEpoch(epoch=found), version)):
                if found == epoch and self.is_valid(epoch):
                    self._publish_held(epoch, version)
            case result.Err(_) if self.is_valid(epoch):
                time.sleep(RETRY_S)
                ticker.submit(self.executor, self._on_gained, epoch)

    def _publish_held(self, epoch: ids.FencingNumber, version: int) -> None:
        condition = base.Condition(
            rows.LEASE_EPOCH_TABLE, self.region, version
        )
        self.held = LeaseHeld(epoch, condition)
        logs.event('lease_gained', region=self.region, epoch=epoch)
        self.node.hub.publish(self.held)
        if not self.is_valid(epoch):
            # The lease expired while subscribers were notified.
            self._publish_ended(epoch)

    def _publish_ended(self, epoch: ids.FencingNumber) -> None:
        if self.held is None:
            return
        self.held = None
        logs.event('lease_lost', region=self.region, epoch=epoch)
        self.node.hub.publish(LeaseEnded(epoch))


def _read_row(
    table: base.Table, name: str, key: str, kind: type[rows.Record]
) -> result.Result[tuple[rows.Record | None, int | None], Exception]:
    match table.read_row(name, key):
        case result.Ok(None):
            return result.Ok((None, None))
        case result.Ok(row):
            return rows.decode(row.value, kind).map(
                lambda record: (record, row.version)
            )
        case error:
            return error
