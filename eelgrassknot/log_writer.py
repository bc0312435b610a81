"""Non-blocking log stream with a rate limit and a writer thread.

A reader that stalls never blocks the callers. Lines are dropped if the
queue is full, and ordinary lines also if they exceed the rate limit. Lines
on the start and the end of a process are not ordinary. A log line reports
the number of dropped lines.
"""

import queue
import re
import threading
import time
import typing

__all__ = ['LogWriter']

QUEUE_LINES = 4_000
RESERVED_LINES = 1_000
"""Queue capacity reserved for lines that are not ordinary."""
RATE_WINDOW_S = 1.0
_ORDINARY = 'level=INFO'
_LIFECYCLE = re.compile(
    r'event=(started|ready|not_ready|draining|drained|stopped)\b'
)


class LogWriter:
    """A text stream whose ``write`` never blocks.

    Args:
        stream: Underlying stream.
        lines_per_s: Maximum number of lines per second; further ordinary
            lines are dropped.
        clock: Returns the time in seconds.

    Example:
        >>> import io
        >>> stream = io.StringIO()
        >>> writer = LogWriter(stream, 100)
        >>> writer.write('level=INFO event=started')
        24
        >>> writer.close()
        >>> stream.getvalue()
        'level=INFO event=started'
    """

    def __init__(
        self,
        stream: typing.TextIO,
        lines_per_s: int,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self.stream = stream
        self.lines_per_s = lines_per_s
        self.clock = clock
        self.lines: queue.Queue[str | None] = queue.Queue(QUEUE_LINES)
        self.current_second = 0
        self.written_this_second = 0
        self.dropped = 0
        self.lock = threading.Lock()
        self.thread = threading.Thread(
            target=self._run, name='log-writer', daemon=True
        )
        self.thread.start()

    def write(self, text: str) -> int:
        """Queue a line; drop it if there are too many."""
        ordinary = _ORDINARY in text and not _LIFECYCLE.search(text)
        with self.lock:
            second = int(self.clock() / RATE_WINDOW_S)
            if second != self.current_second:
                self.current_second, self.written_this_second = second, 0
                self._report_dropped()
            over = self.written_this_second >= self.lines_per_s
            full = self.lines.qsize() >= QUEUE_LINES - RESERVED_LINES
            if ordinary and (over or full):
                self.dropped += 1
                return len(text)
            self.written_this_second += 1
            self._put(text)
        return len(text)

    def flush(self) -> None:
        """Do nothing; the writer thread flushes when its queue is empty."""

    def close(self, timeout_s: float = 1.0) -> None:
        """Write the queued lines, waiting at most ``timeout_s``."""
        with self.lock:
            self._report_dropped()
            self._put(None)
        self.thread.join(timeout_s)

    def _report_dropped(self) -> None:
        if self.dropped:
            count, self.dropped = self.dropped, 0
            self._put(f'level=WARNING event=lines_left_out count={count}\n')

    def _put(self, line: str | None) -> None:
        try:
            self.lines.put_nowait(line)
        except queue.Full:
            self.dropped += 1

    def _run(self) -> None:
        while True:
            line = self.lines.get()
            if line is None:
                break
            self._write(line)
            if self.lines.empty():
                self.stream.flush()
        self.stream.flush()

    def _write(self, line: str) -> None:
        try:
            self.stream.write(line)
        except (OSError, ValueError):
            # The reader is gone, so the loss cannot be reported.
            self.dropped += 1
