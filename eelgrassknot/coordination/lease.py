"""Lease on the engine orders of one region.

The lease is one row. Its epoch increases with each holder and serves as
the fencing number of the holder's orders. Clocks of different VMs are
never compared: the holder measures its lease from before it sent the
write that renewed it, and a watcher from when it first saw that write,
each on its own clock. A watcher reads the row again immediately before it
takes over. As watchers poll at different times, this read alone prevents
most conflicting writes.
"""

import enum

from eelgrassknot.coordination import lease_messages as messages
from eelgrassknot.coordination import rows
from eelgrassknot import ids

__all__ = ['DURATION_MS', 'EXPIRY_MARGIN_MS', 'Lease', 'LeaseState']

DURATION_MS = 8_000.0
# The holder stops this long before a watcher could take over, to allow
# for clocks that run at different rates and for an order in flight.
EXPIRY_MARGIN_MS = 1_500.0
RENEW_MS = 2_000.0
POLL_MS = 2_000.0
RETRY_MS = 500.0
# The poll interval grows by POLL_MS with every so many ranks.
RANKS_PER_POLL_STEP = 8
MAX_POLL_MS = 10_000.0
MAX_TRACKED_WRITES = 16


class LeaseState(enum.Enum):
    """Role of this VM with regard to the lease."""

    WATCHING = 'watching'
    HOLDING = 'holding'
    STOPPED = 'stopped'


class Lease:
    """State machine of one VM for the lease of its region.

    Args:
        vm: This VM.
        incarnation: This run of the daemon.

    Attributes:
        epoch: Epoch under which this VM holds the lease, or None.
        valid_until_ms: When this VM must stop giving orders, on its own
            clock.

    Example:
        >>> lease = Lease('a', 'i')
        >>> lease.handle(messages.Tick(), 0.0)
        [ReadRow()]
        >>> write = lease.handle(messages.RowRead(None, None), 1.0)[0]
        >>> lease.handle(messages.WriteCommitted(1), 2.0)
        [Gained(epoch=1)]
        >>> lease.is_valid(1.0 + DURATION_MS - EXPIRY_MARGIN_MS)
        False
    """

    def __init__(self, vm: ids.VmId, incarnation: ids.IncarnationId) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.state = LeaseState.WATCHING
        self.record: rows.LeaseRecord | None = None
        self.row_version: int | None = None
        self.row_changed_ms: float | None = None
        self.rank = 0
        self.next_read_ms = float('-inf')
        self.awaiting_reply = False
        self.pending_write: rows.LeaseRecord | None = None
        self.write_sent_ms: dict[tuple[int, int], float] = {}
        self.epoch: ids.FencingNumber | None = None
        self.valid_until_ms = float('-inf')

    def is_valid(self, now_ms: float) -> bool:
        """Return whether this VM may give orders at the given time."""
        return self.epoch is not None and now_ms < self.valid_until_ms

    def handle(
        self, event: messages.Event, now_ms: float
    ) -> list[messages.Action]:
        """Process an event and return the actions to perform.

        Args:
            event: The event.
            now_ms: Current time of this VM's clock, read before any
                returned write is sent.
        """
        actions = self._expire(now_ms)
        if not isinstance(event, messages.Tick | messages.Release):
            self.awaiting_reply = False
        match event:
            case messages.Tick(rank):
                self.rank = rank
                return actions + self._tick(now_ms)
            case messages.RowRead(record, row_version):
                return actions + self._on_row_read(record, row_version, now_ms)
            case messages.WriteCommitted(row_version):
                return actions + self._on_committed(row_version, now_ms)
            case messages.WriteConflicted() | messages.WriteFailed():
                # Read the row at once, as the write may have taken effect.
                self.next_read_ms = now_ms
            case messages.ReadFailed():
                self.next_read_ms = now_ms + RETRY_MS
            case messages.Release():
                return actions + self._release(now_ms)
        return actions

    def _expire(self, now_ms: float) -> list[messages.Action]:
        if self.epoch is None or now_ms < self.valid_until_ms:
            return []
        return self._lose()

    def _lose(self) -> list[messages.Action]:
        if self.epoch is None:
            return []
        lost = messages.Lost(self.epoch)
        self.epoch = None
        self.valid_until_ms = float('-inf')
        if self.state is LeaseState.HOLDING:
            self.state = LeaseState.WATCHING
        return [lost]

    def _tick(self, now_ms: float) -> list[messages.Action]:
        if self.awaiting_reply or self.state is LeaseState.STOPPED:
            return []
        if now_ms < min(self.next_read_ms, self._takeover_ms()):
            return []
        if self.state is LeaseState.HOLDING and self.pending_write is None:
            return self._renew(now_ms)
        self.awaiting_reply = True
        self.next_read_ms = now_ms + self._poll_ms()
        return [messages.ReadRow()]

    def _poll_ms(self) -> float:
        factor = 1 + self.rank // RANKS_PER_POLL_STEP
        return min(MAX_POLL_MS, POLL_MS * factor)

    def _takeover_ms(self) -> float:
        if self.row_changed_ms is None or self.state is LeaseState.HOLDING:
            return float('inf')
        released = self.record is None or self.record.holder is None
        duration_ms = 0.0 if released else DURATION_MS
        return self.row_changed_ms + duration_ms

    def _on_row_read(
        self,
        record: rows.LeaseRecord | None,
        row_version: int | None,
        now_ms: float,
    ) -> list[messages.Action]:
        self.pending_write = None
        changed = (
            row_version != self.row_version or self.row_changed_ms is None
        )
        self.record = record
        self.row_version = row_version
        if self._is_own(record):
            if changed:
                self.row_changed_ms = now_ms
            return self._resume_own(record, now_ms)
        actions = self._lose()
        if changed:
            self.row_changed_ms = now_ms
        if self.state is LeaseState.STOPPED or now_ms < self._takeover_ms():
            return actions
        return actions + self._take_over(now_ms)

    def _is_own(self, record: rows.LeaseRecord | None) -> bool:
        if record is None or record.holder is None:
            return False
        return record.incarnation == self.incarnation

    def _resume_own(
        self, record: rows.LeaseRecord, now_ms: float
    ) -> list[messages.Action]:
        # The write was confirmed by a read rather than by its answer; the
        # lease is still measured from when the write was sent.
        sent_ms = self.write_sent_ms.get((record.epoch, record.renewals))
        if sent_ms is None or self.state is LeaseState.STOPPED:
            return []
        actions = self._hold(record, sent_ms, now_ms)
        if not actions and not self.is_valid(now_ms):
            # The lease expired before the write was confirmed, so this VM
            # takes over under the same conditions as any watcher.
            if now_ms >= self._takeover_ms():
                return self._take_over(now_ms)
        return actions

    def _take_over(self, now_ms: float) -> list[messages.Action]:
        epoch = self.record.epoch if self.record else 0
        record = rows.LeaseRecord(
            ids.FencingNumber(epoch + 1), self.vm, self.incarnation, 0
        )
        return [self._write(record, True, now_ms)]

    def _renew(self, now_ms: float) -> list[messages.Action]:
        assert self.record is not None
        record = rows.LeaseRecord(
            self.record.epoch,
            self.vm,
            self.incarnation,
            self.record.renewals + 1,
        )
        return [self._write(record, False, now_ms)]

    def _write(
        self, record: rows.LeaseRecord, takes_over: bool, now_ms: float
    ) -> messages.WriteRow:
        self.awaiting_reply = True
        self.pending_write = record
        self.write_sent_ms[(record.epoch, record.renewals)] = now_ms
        if len(self.write_sent_ms) > MAX_TRACKED_WRITES:
            del self.write_sent_ms[next(iter(self.write_sent_ms))]
        return messages.WriteRow(record, self.row_version, takes_over)

    def _on_committed(
        self, row_version: int, now_ms: float
    ) -> list[messages.Action]:
        record = self.pending_write
        assert record is not None
        self.pending_write = None
        self.record = record
        self.row_version = row_version
        self.row_changed_ms = now_ms
        if record.holder is None or self.state is LeaseState.STOPPED:
            return []
        sent_ms = self.write_sent_ms[(record.epoch, record.renewals)]
        return self._hold(record, sent_ms, now_ms)

    def _hold(
        self, record: rows.LeaseRecord, sent_ms: float, now_ms: float
    ) -> list[messages.Action]:
        valid_until_ms = sent_ms + DURATION_MS - EXPIRY_MARGIN_MS
        if now_ms >= valid_until_ms:
            return []
        self.valid_until_ms = max(self.valid_until_ms, valid_until_ms)
        self.next_read_ms = sent_ms + RENEW_MS
        if self.epoch == record.epoch:
            return []
        lost = self._lose()
        self.state = LeaseState.HOLDING
        self.epoch = record.epoch
        self.valid_until_ms = valid_until_ms
        return [*lost, messages.Gained(record.epoch)]

    def _release(self, now_ms: float) -> list[messages.Action]:
        held = self.state is LeaseState.HOLDING
        actions = self._lose()
        self.state = LeaseState.STOPPED
        if not held or self.awaiting_reply or self.record is None:
            return actions
        record = _released(self.record)
        return [*actions, self._write(record, False, now_ms)]


def _released(record: rows.LeaseRecord) -> rows.LeaseRecord:
    return rows.LeaseRecord(
        record.epoch, None, record.incarnation, record.renewals + 1
    )
