"""Thread that writes rows to the platform's store for the event loop."""

import queue
import random
import threading

import msgspec
import result

from eelgrassknot import clock as clocks
from eelgrassknot.forwarding import metrics
from eelgrassknot.forwarding import row_store
from eelgrassknot import logs
from eelgrassknot.requests import backoff

__all__ = ['RETRY_PERIOD_MS', 'RowWriter']

MAX_QUEUED_WRITES = 1_024
RETRY_PERIOD_MS = 10_000.0
"""Age at which a failing write is dropped; ms."""
RETRY_BASE_MS = 100.0
RETRY_MAX_MS = 800.0


class _Write(msgspec.Struct, frozen=True):
    """A queued write.

    Attributes:
        value: New contents of the row, or None to delete it.
        queued_ms: When the write was queued.
    """

    row: row_store.RowKey
    value: bytes | None
    queued_ms: float


class RowWriter:
    """Writes and deletes rows in order, without blocking the caller.

    A failed write is tried again for ``RETRY_PERIOD_MS``, then dropped with
    a warning. A write whose outcome is unknown is repeated, so that a row
    may be written twice.

    Args:
        store: Store client, used only by this thread.
        clock: This VM's clock.
        generator: Random number generator for the back-off.
    """

    def __init__(
        self,
        store: row_store.RowStore,
        clock: clocks.Clock,
        generator: random.Random,
    ) -> None:
        self.store = store
        self.clock = clock
        self.generator = generator
        self.writes: queue.Queue[_Write | None] = queue.Queue(
            MAX_QUEUED_WRITES
        )
        self.stopped = threading.Event()
        self.thread = threading.Thread(
            target=self._run, name='row-writer', daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self) -> None:
        """Stop the thread after the current call; queued writes are lost."""
        self.stopped.set()
        try:
            self.writes.put_nowait(None)
        except queue.Full:
            # The thread is not waiting for the queue.
            return

    def write(self, row: row_store.RowKey, value: bytes) -> None:
        """Queue the write of a row."""
        self._queue(_Write(row, value, self.clock.now_ms()))

    def delete(self, row: row_store.RowKey) -> None:
        """Queue the deletion of a row."""
        self._queue(_Write(row, None, self.clock.now_ms()))

    def _queue(self, write: _Write) -> None:
        try:
            self.writes.put_nowait(write)
        except queue.Full:
            logs.warning(
                'row_write_dropped',
                table=write.row.table,
                key=write.row.key,
                why='the queue is full',
            )

    def _run(self) -> None:
        while not self.stopped.is_set():
            write = self.writes.get()
            if write is None:
                return
            try:
                self._perform(write)
            except Exception as error:
                logs.exception('row_write_failed', error)

    def _perform(self, write: _Write) -> None:
        delays = backoff.DecorrelatedJitter(
            self.generator, RETRY_BASE_MS, RETRY_MAX_MS
        )
        while not self.stopped.is_set():
            match self._call(write):
                case result.Ok():
                    metrics.STORE_CALLS.inc('answered')
                    return
                case result.Err(error):
                    metrics.STORE_CALLS.inc(error.code)
            delay_ms = delays.next_ms()
            age_ms = self.clock.now_ms() - write.queued_ms
            if age_ms + delay_ms > RETRY_PERIOD_MS:
                logs.warning(
                    'row_write_dropped',
                    table=write.row.table,
                    key=write.row.key,
                    why=str(error),
                )
                return
            self.stopped.wait(delay_ms / clocks.MS_PER_SECOND)

    def _call(
        self, write: _Write
    ) -> result.Result[None, row_store.StoreError]:
        if write.value is None:
            return self.store.delete_row(write.row)
        return self.store.write_row(write.row, write.value)
