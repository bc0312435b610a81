"""Watches a table of the platform's store in a thread."""

import collections.abc
import dataclasses
import random
import threading

import result

from eelgrassknot import clock as clocks
from eelgrassknot.forwarding import row_store
from eelgrassknot import logs
from eelgrassknot.requests import backoff

__all__ = ['TableNews', 'TableWatch', 'WatchFailed']

RETRY_BASE_MS = 100.0
RETRY_MAX_MS = 800.0


@dataclasses.dataclass(frozen=True)
class TableNews:
    """The store answered.

    Attributes:
        is_whole: Whether the page holds the whole table, not changes.
        sent_ms: When the call was sent, on this VM's clock.
        received_ms: When its answer came.
        returned: Whether calls had failed before.
    """

    table: str
    page: row_store.RowPage
    is_whole: bool
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
    """

    def __init__(
        self,
        store: row_store.RowStore,
        table: str,
        wait_ms: float,
        clock: clocks.Clock,
        generator: random.Random,
        deliver: collections.abc.Callable[[News], None],
    ) -> None:
        self.store = store
        self.table = table
        self.wait_ms = wait_ms
        self.clock = clock
        self.generator = generator
        self.deliver = deliver
        self.version: int | None = None
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
        is_whole = self.version is None
        sent_ms = self.clock.now_ms()
        if is_whole:
            found = self.store.read_table(self.table)
        else:
            found = self.store.read_feed(
                self.table, self.version, self.wait_ms
            )
        match found:
            case result.Ok(page):
                self._take(page, is_whole, sent_ms)
            case result.Err(row_store.HistoryGoneError()):
                logs.event('history_gone', table=self.table)
                self.version = None
            case result.Err(error):
                self._fail(error)

    def _take(
        self, page: row_store.RowPage, is_whole: bool, sent_ms: float
    ) -> None:
        if self.version is not None and page.version < self.version:
            logs.warning(
                'old_answer',
                table=self.table,
                version=page.version,
                known=self.version,
            )
            return
        self.version = page.version
        returned, self.failing = self.failing, False
        self.jitter = self._new_jitter()
        self.deliver(
            TableNews(
                self.table,
                page,
                is_whole,
                sent_ms,
                self.clock.now_ms(),
                returned,
            )
        )

    def _fail(self, error: row_store.StoreError) -> None:
        self.deliver(WatchFailed(self.table, error, not self.failing))
        self.failing = True
        self.stopped.wait(self.jitter.next_ms() / clocks.MS_PER_SECOND)

    def _new_jitter(self) -> backoff.DecorrelatedJitter:
        return backoff.DecorrelatedJitter(
            self.generator, RETRY_BASE_MS, RETRY_MAX_MS
        )
