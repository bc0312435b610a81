"""Event loop of the forwarding path: sockets, timers, calls from threads."""

import collections
import collections.abc
import heapq
import itertools
import selectors
import socket
import threading

from eelgrassknot import clock as clocks
from eelgrassknot import logs

__all__ = ['EventLoop', 'Timer']

MAX_WAIT_MS = 1_000.0
"""Maximum wait for an event; ms. Bounds the delay of a stop."""
DEFAULT_MAX_UNSENT_BYTES = 32 * 1_048_576
WAKEUP_READ_BYTES = 4_096
MIN_TIMERS = 1_024
"""Number of timers up to which cancelled ones are kept until they are due."""

Callback = collections.abc.Callable[[], None]


def _do_nothing() -> None:
    """Replace the callback of a cancelled timer."""


class Timer:
    """A scheduled callback.

    Attributes:
        due_ms: When the callback is due.
        cancelled: Whether the callback has been cancelled.
    """

    __slots__ = ('callback', 'cancelled', 'due_ms')

    def __init__(self, due_ms: float, callback: Callback) -> None:
        self.due_ms = due_ms
        self.callback = callback
        self.cancelled = False

    def cancel(self) -> None:
        """Prevent the callback from being called.

        The timer stays in the loop's heap for a while. What the callback
        refers to, such as the body of a request, is released at once.
        """
        self.cancelled = True
        self.callback = _do_nothing


class EventLoop:
    """Runs callbacks in one thread.

    An exception in a callback is logged and does not stop the loop.

    Args:
        clock: Clock of the timers.

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
        self.timers_to_check = MIN_TIMERS
        self.pending_calls: collections.deque[Callback] = collections.deque()
        self.calls_in_turn: collections.deque[Callback] = collections.deque()
        self.unsent_bytes = 0
        self.max_unsent_bytes = DEFAULT_MAX_UNSENT_BYTES
        self.running = False
        self.thread_id: int | None = None
        self.may_wait = False
        self.is_wakeup_sent = False
        self.wakeup_reader, self.wakeup_writer = _create_wakeup_pair()
        self.selector.register(
            self.wakeup_reader, selectors.EVENT_READ, self._drain_wakeups
        )

    def now_ms(self) -> float:
        """Return the current time in milliseconds."""
        return self.clock.now_ms()

    def call_at(self, due_ms: float, callback: Callback) -> Timer:
        """Schedule a callback at a time of the loop's clock."""
        timer = Timer(due_ms, callback)
        heapq.heappush(self.timers, (due_ms, next(self.timer_sequence), timer))
        if len(self.timers) >= self.timers_to_check:
            self._drop_cancelled_timers()
        return timer

    def call_later(self, delay_ms: float, callback: Callback) -> Timer:
        """Schedule a callback after a delay in milliseconds."""
        return self.call_at(self.now_ms() + delay_ms, callback)

    def call_soon(self, callback: Callback) -> None:
        """Schedule a callback for the next iteration; thread-safe."""
        self.pending_calls.append(callback)
        if self.is_wakeup_sent or self._is_running_callbacks():
            return
        self.is_wakeup_sent = True
        try:
            self.wakeup_writer.send(b'.')
        except BlockingIOError:
            # The buffer is full of wakeups, so the loop wakes up anyway.
            return

    def call_in_turn(self, callback: Callback) -> None:
        """Schedule a long callback; one of them runs in each iteration.

        All connections together then delay the others by no more than one
        such callback. To be called in the loop's thread.
        """
        self.calls_in_turn.append(callback)

    def watch(
        self,
        watched: socket.socket,
        events: int,
        callback: collections.abc.Callable[[int], None],
    ) -> None:
        """Call back with the event mask whenever a socket is ready."""
        if watched in self.selector.get_map():
            self.selector.modify(watched, events, callback)
        else:
            self.selector.register(watched, events, callback)

    def unwatch(self, watched: socket.socket) -> None:
        """Stop watching a socket."""
        if watched.fileno() >= 0 and watched in self.selector.get_map():
            self.selector.unregister(watched)

    def run(self) -> None:
        """Run until the loop is stopped."""
        self.running = True
        self.thread_id = threading.get_ident()
        while self.running:
            self._run_once()

    def stop(self) -> None:
        """Stop the loop after the current iteration."""
        self.running = False

    def _run_once(self) -> None:
        self.may_wait = True
        ready = self.selector.select(self._select_timeout_s())
        self.may_wait = False
        for key, mask in ready:
            self._run_callback(lambda key=key, mask=mask: key.data(mask))
        for timer in self._pop_due_timers():
            if not timer.cancelled:
                self._run_callback(timer.callback)
        for _ in range(len(self.pending_calls)):
            self._run_callback(self.pending_calls.popleft())
        if self.calls_in_turn:
            self._run_callback(self.calls_in_turn.popleft())

    def _pop_due_timers(self) -> list[Timer]:
        # All due timers are removed first: a timer that reschedules itself
        # runs in the next iteration, so that sockets are not starved.
        now_ms = self.now_ms()
        due = []
        while self.timers and self.timers[0][0] <= now_ms:
            due.append(heapq.heappop(self.timers)[2])
        return due

    def _drop_cancelled_timers(self) -> None:
        """Remove the cancelled timers once they may be half of all."""
        self.timers = [each for each in self.timers if not each[2].cancelled]
        heapq.heapify(self.timers)
        self.timers_to_check = max(MIN_TIMERS, 2 * len(self.timers))

    def _select_timeout_s(self) -> float:
        if self.pending_calls or self.calls_in_turn:
            return 0.0
        while self.timers and self.timers[0][2].cancelled:
            heapq.heappop(self.timers)
        wait_ms = MAX_WAIT_MS
        if self.timers:
            wait_ms = min(wait_ms, self.timers[0][0] - self.now_ms())
        return max(0.0, wait_ms) / clocks.MS_PER_SECOND

    def _is_running_callbacks(self) -> bool:
        """Return whether the caller is a callback of the loop.

        The loop checks for pending calls before it waits again. The handler
        of a signal may run while the loop waits.
        """
        return threading.get_ident() == self.thread_id and not self.may_wait

    def _drain_wakeups(self, _: int) -> None:
        self.wakeup_reader.recv(WAKEUP_READ_BYTES)
        self.is_wakeup_sent = False

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
