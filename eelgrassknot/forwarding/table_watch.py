"""Watches a table of the platform's store in a thread."""

import collections.abc
import dataclasses
import random
import threading

import result

from eelgrassknot import clock as clocks
from eelgrassknot.forwarding import metrics
from eelgrassknot.forwarding import row_store
from eelgrassknot import logs
from eelgrassknot.requests import backoff

__all__ = ['TableNews', 'TableWatch', 'WatchFailed']

UNWANTED_CHECK_MS = 50.0
"""How often a watch that is not wanted looks whether it is; ms."""
TAKE_IN_MS = 10.0
RETRY_BASE_MS = 100.0
RETRY_MAX_MS = 800.0


@dataclasses.dataclass(frozen=True)
class TableNews:
    """The store answered.

    Attributes:
        after: Version after which the page holds all changes, or None
            if it holds the whole table.
        sent_ms: When the call was sent, on this VM's clock.
        received_ms: When its answer came.
        returned: Whether calls had failed before.
    """

    table: str
    page: row_store.RowPage
    after: int | None
    sent_ms: float
    received_ms: float
    returned: bool


@dataclasses.dataclass(frozen=True)
class WatchFailed:
    """A call failed.

    Attributes:
        is_first: Whether the call before had been answered.
    """

    table: str
    error: row_store.StoreError
    is_first: bool


News = TableNews | WatchFailed


class TableWatch:
    """Reads a table, then waits for its changes, again and again.

    Args:
        store: Client of the store, for this thread alone.
        table: Name of the table.
        wait_ms: How long one call waits for a change.
        clock: This VM's clock.
        generator: Source of random delays.
        deliver: Takes the news, in the watch's thread.
        position: Returns the version after which changes are wanted, or
            None for the whole table.

    Attributes:
        wanted: Whether to go on; peers may tell of the table instead.
    """

    def __init__(
        self,
        store: row_store.RowStore,
        table: str,
        wait_ms: float,
        clock: clocks.Clock,
        generator: random.Random,
        deliver: collections.abc.Callable[[News], None],
        position: collections.abc.Callable[[], int | None],
    ) -> None:
        self.store = store
        self.table = table
        self.wait_ms = wait_ms
        self.clock = clock
        self.generator = generator
        self.deliver = deliver
        self.position = position
        self.wanted = True
        self.whole_next = True
        self.failing = False
        self.stopped = threading.Event()
        self.jitter = self._new_jitter()
        self.thread = threading.Thread(
            target=self._run, name=f'watch-{table}', daemon=True
        )

    def start(self) -> None:
        """Begin to watch."""
        self.thread.start()

    def stop(self) -> None:
        """Make no more calls; the thread ends with the call in hand."""
        self.stopped.set()

    def _run(self) -> None:
        while not self.stopped.is_set():
            try:
                self._step()
            except Exception as error:
                logs.exception('watch_failed', error)
                self.stopped.wait(RETRY_MAX_MS / clocks.MS_PER_SECOND)

    def _step(self) -> None:
        if not self.wanted:
            self.stopped.wait(UNWANTED_CHECK_MS / clocks.MS_PER_SECOND)
            return
        after = None if self.whole_next else self.position()
        sent_ms = self.clock.now_ms()
        if after is None:
            found = self.store.read_table(self.table)
        else:
            found = self.store.read_feed(self.table, after, self.wait_ms)
        match found:
            case result.Ok(page):
                self._take(page, after, sent_ms)
            case result.Err(row_store.HistoryGoneError()):
                logs.event('history_gone', table=self.table)
                self.whole_next = True
            case result.Err(error):
                self._fail(error)

    def _take(
        self, page: row_store.RowPage, after: int | None, sent_ms: float
    ) -> None:
        if after is not None and page.version < after:
            logs.warning(
                'old_answer',
                table=self.table,
                version=page.version,
                known=after,
            )
            return
        metrics.STORE_CALLS.labels('answered').inc()
        self.whole_next = False
        returned, self.failing = self.failing, False
        self.jitter = self._new_jitter()
        now_ms = self.clock.now_ms()
        self.deliver(
            TableNews(self.table, page, after, sent_ms, now_ms, returned)
        )
        # Gives the loop time to take the page in: the next call asks for
        # what comes after it.
        self.stopped.wait(TAKE_IN_MS / clocks.MS_PER_SECOND)

    def _fail(self, error: row_store.StoreError) -> None:
        metrics.STORE_CALLS.labels(error.code).inc()
        self.deliver(WatchFailed(self.table, error, not self.failing))
        self.failing = True
        self.stopped.wait(self.jitter.next_ms() / clocks.MS_PER_SECOND)

    def _new_jitter(self) -> backoff.DecorrelatedJitter:
        return backoff.DecorrelatedJitter(
            self.generator, RETRY_BASE_MS, RETRY_MAX_MS
        )
