"""Thread that watches a table of the platform's store."""

import collections.abc
import random
import threading

import msgspec
import result

from eelgrassknot import clock as clocks
from eelgrassknot.forwarding import metrics
from eelgrassknot.forwarding import row_store
from eelgrassknot import logs
from eelgrassknot.requests import backoff

__all__ = ['PageReceived', 'TableWatch', 'WatchFailed']

INACTIVE_POLL_MS = 50.0
"""Interval at which an inactive watch checks whether it is active; ms."""
RESUMING_WAIT_MS = 1.0
"""How long the first call after a pause waits for a change; ms. Its response
shows whether the store has been restored meanwhile."""
APPLY_POLL_MS = 10.0
"""Interval at which a watch checks whether a page has been applied; ms."""
MAX_APPLY_MS = 1_000.0
"""How long a watch waits until a page is applied; ms."""
CHANGE_INTERVAL_MS = 100.0
"""Minimum time between a page with changes and the next call; ms. Changes
that follow each other closely are read by one call."""
RETRY_BASE_MS = 100.0
RETRY_MAX_MS = 800.0


class PageReceived(msgspec.Struct, frozen=True):
    """A call to the store succeeded.

    Attributes:
        after: Version after which the page contains all changes, or None
            if it contains the whole table.
        sent_ms: When the call was sent, on this VM's clock.
        received_ms: When its response arrived.
        recovered: Whether the previous call had failed.
    """

    table: str
    page: row_store.RowPage
    after: int | None
    sent_ms: float
    received_ms: float
    recovered: bool


class WatchFailed(msgspec.Struct, frozen=True):
    """A call to the store failed.

    Attributes:
        is_first: Whether the previous call had succeeded.
    """

    table: str
    error: row_store.StoreError
    is_first: bool


WatchEvent = PageReceived | WatchFailed


class TableWatch:
    """Reads a table, then polls for its changes.

    Args:
        store: Store client, used only by this thread.
        table: Name of the table.
        wait_ms: How long one call waits for a change.
        clock: This VM's clock.
        generator: Random number generator for the back-off.
        deliver: Called with each event, in the thread of the watch.
        resume_position: Returns the timeline and the version after which
            changes are read, or None to read the whole table.

    Attributes:
        active: Whether to call the store; an inactive VM receives the
            table from its peers. A watch that has read a whole table is
            inactive until it is activated again.
        resuming: Whether no call has been answered since the watch was
            inactive or a call failed.
    """

    def __init__(
        self,
        store: row_store.RowStore,
        table: str,
        wait_ms: float,
        clock: clocks.Clock,
        generator: random.Random,
        deliver: collections.abc.Callable[[WatchEvent], None],
        resume_position: collections.abc.Callable[[], tuple[int, int] | None],
    ) -> None:
        self.store = store
        self.table = table
        self.wait_ms = wait_ms
        self.clock = clock
        self.generator = generator
        self.deliver = deliver
        self.resume_position = resume_position
        self.active = True
        self.needs_full_read = True
        self.failing = False
        self.resuming = False
        self.lacks_history = False
        self.stopped = threading.Event()
        self.backoff = self._create_backoff()
        self.thread = threading.Thread(
            target=self._run, name=f'watch-{table}', daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self) -> None:
        """Stop the thread after the current call."""
        self.stopped.set()

    def _run(self) -> None:
        while not self.stopped.is_set():
            try:
                self._step()
            except Exception as error:
                logs.exception('watch_failed', error)
                self.stopped.wait(RETRY_MAX_MS / clocks.MS_PER_SECOND)

    def _step(self) -> None:
        if not self.active:
            self.resuming = True
            self.stopped.wait(INACTIVE_POLL_MS / clocks.MS_PER_SECOND)
            return
        known = None if self.needs_full_read else self.resume_position()
        sent_ms = self.clock.now_ms()
        if known is None:
            found = self.store.read_table(self.table)
        else:
            wait_ms = RESUMING_WAIT_MS if self.resuming else self.wait_ms
            found = self.store.read_feed(self.table, known[1], wait_ms)
        match found:
            case result.Ok(page):
                self._handle_page(page, known, sent_ms)
            case result.Err(row_store.HistoryGoneError()):
                self._handle_lost_history()
            case result.Err(error):
                self._handle_failure(error)

    def _handle_lost_history(self) -> None:
        logs.event('history_gone', table=self.table)
        self.needs_full_read = True
        if self.lacks_history:
            # The whole table was read, and its version is not known either.
            self._wait_to_retry()
        self.lacks_history = True

    def _handle_page(
        self,
        page: row_store.RowPage,
        known: tuple[int, int] | None,
        sent_ms: float,
    ) -> None:
        if known is not None:
            if page.timeline > known[0]:
                logs.event(
                    'store_restored',
                    table=self.table,
                    timeline=page.timeline,
                    version=page.version,
                    known=known,
                )
                self.needs_full_read = True
                return
            if page.position < known:
                logs.warning(
                    'old_answer',
                    table=self.table,
                    version=page.version,
                    known=known,
                )
                self._wait_to_retry()
                return
            self.lacks_history = False
        metrics.STORE_CALLS.inc('answered')
        self.needs_full_read = self.resuming = False
        returned, self.failing = self.failing, False
        self.backoff = self._create_backoff()
        now_ms = self.clock.now_ms()
        if known is None:
            self.active = False
        self.deliver(
            PageReceived(
                self.table,
                page,
                None if known is None else known[1],
                sent_ms,
                now_ms,
                returned,
            )
        )
        if page.rows and known is not None:
            self.stopped.wait(CHANGE_INTERVAL_MS / clocks.MS_PER_SECOND)
        self._await_application(page)

    def _await_application(self, page: row_store.RowPage) -> None:
        """Wait until the event loop has applied a page.

        A call before that would ask for the same changes again.
        """
        until_ms = self.clock.now_ms() + MAX_APPLY_MS
        while not self.stopped.is_set() and self.clock.now_ms() < until_ms:
            position = self.resume_position()
            if position is not None and position >= page.position:
                return
            self.stopped.wait(APPLY_POLL_MS / clocks.MS_PER_SECOND)

    def _handle_failure(self, error: row_store.StoreError) -> None:
        metrics.STORE_CALLS.inc(error.code)
        self.deliver(WatchFailed(self.table, error, not self.failing))
        self.failing = self.resuming = True
        self._wait_to_retry()

    def _wait_to_retry(self) -> None:
        self.stopped.wait(self.backoff.next_ms() / clocks.MS_PER_SECOND)

    def _create_backoff(self) -> backoff.DecorrelatedJitter:
        return backoff.DecorrelatedJitter(
            self.generator, RETRY_BASE_MS, RETRY_MAX_MS
        )
