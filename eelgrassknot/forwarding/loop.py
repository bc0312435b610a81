"""Event loop of the forwarding path: sockets, timers, calls from threads."""

import collections
import collections.abc
import heapq
import itertools
import selectors
import socket

from eelgrassknot import clock as clocks
from eelgrassknot import logs

__all__ = ['EventLoop', 'Timer']

MAX_WAIT_MS = 1_000.0
"""Longest wait without an event; ms. Bounds how late a stop is seen."""
WAKEUP_READ_BYTES = 4_096

Callback = collections.abc.Callable[[], None]


class Timer:
    """A callback that is due at a time.

    Attributes:
        due_ms: When it is due.
        cancelled: Whether it will not be called any more.
    """

    __slots__ = ('callback', 'cancelled', 'due_ms')

    def __init__(self, due_ms: float, callback: Callback) -> None:
        self.due_ms = due_ms
        self.callback = callback
        self.cancelled = False

    def cancel(self) -> None:
        """Keep the callback from being called."""
        self.cancelled = True


class EventLoop:
    """Runs callbacks in one thread.

    An error in a callback is logged and ends no other work.

    Args:
        clock: Clock for timers.

    Example:
        >>> loop = EventLoop(clocks.MonotonicClock())
        >>> _ = loop.call_later(1.0, loop.stop)
        >>> loop.run()
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.selector = selectors.DefaultSelector()
        self.timers: list[tuple[float, int, Timer]] = []
        self.timer_sequence = itertools.count()
        self.pending_calls: collections.deque[Callback] = collections.deque()
        self.running = False
        self.wakeup_reader, self.wakeup_writer = _create_wakeup_pair()
        self.selector.register(
            self.wakeup_reader, selectors.EVENT_READ, self._drain_wakeups
        )

    def now_ms(self) -> float:
        """Return the present time in milliseconds."""
        return self.clock.now_ms()

    def call_at(self, due_ms: float, callback: Callback) -> Timer:
        """Have a callback called at a time of the loop's clock."""
        timer = Timer(due_ms, callback)
        heapq.heappush(self.timers, (due_ms, next(self.timer_sequence), timer))
        return timer

    def call_later(self, delay_ms: float, callback: Callback) -> Timer:
        """Have a callback called after a delay in milliseconds."""
        return self.call_at(self.now_ms() + delay_ms, callback)

    def call_soon(self, callback: Callback) -> None:
        """Have a callback called in the next round; any thread may ask."""
        self.pending_calls.append(callback)
        try:
            self.wakeup_writer.send(b'.')
        except BlockingIOError:
            # The buffer is full of wake-ups, so the loop wakes anyway.
            return

    def watch(
        self,
        watched: socket.socket,
        events: int,
        callback: collections.abc.Callable[[int], None],
    ) -> None:
        """Call back with the mask of events when a socket is ready."""
        if watched in self.selector.get_map():
            self.selector.modify(watched, events, callback)
        else:
            self.selector.register(watched, events, callback)

    def unwatch(self, watched: socket.socket) -> None:
        """Forget a socket."""
        if watched.fileno() >= 0 and watched in self.selector.get_map():
            self.selector.unregister(watched)

    def run(self) -> None:
        """Run until it is stopped."""
        self.running = True
        while self.running:
            self._run_once()

    def stop(self) -> None:
        """End the run after the present round."""
        self.running = False

    def _run_once(self) -> None:
        for key, mask in self.selector.select(self._select_timeout_s()):
            self._run_callback(lambda key=key, mask=mask: key.data(mask))
        for timer in self._pop_due_timers():
            if not timer.cancelled:
                self._run_callback(timer.callback)
        for _ in range(len(self.pending_calls)):
            self._run_callback(self.pending_calls.popleft())

    def _pop_due_timers(self) -> list[Timer]:
        # Taken out at once: a timer that sets itself anew waits for the
        # next round, so that sockets get their turn.
        now_ms = self.now_ms()
        due = []
        while self.timers and self.timers[0][0] <= now_ms:
            due.append(heapq.heappop(self.timers)[2])
        return due

    def _select_timeout_s(self) -> float:
        if self.pending_calls:
            return 0.0
        while self.timers and self.timers[0][2].cancelled:
            heapq.heappop(self.timers)
        wait_ms = MAX_WAIT_MS
        if self.timers:
            wait_ms = min(wait_ms, self.timers[0][0] - self.now_ms())
        return max(0.0, wait_ms) / clocks.MS_PER_SECOND

    def _drain_wakeups(self, _: int) -> None:
        self.wakeup_reader.recv(WAKEUP_READ_BYTES)

    def _run_callback(self, callback: Callback) -> None:
        try:
            callback()
        except Exception as error:
            logs.exception('callback_failed', error)


def _create_wakeup_pair() -> tuple[socket.socket, socket.socket]:
    reader, writer = socket.socketpair()
    reader.setblocking(False)
    writer.setblocking(False)
    return reader, writer
