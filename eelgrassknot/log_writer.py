"""Writes log lines in a thread of its own, in bounded number.

A reader that does not read makes nobody wait: lines that find the queue
full are counted, and so are ordinary ones beyond a number a second. A
line says how many were left out.
"""

import queue
import threading
import time
import typing

__all__ = ['LogWriter']

QUEUE_LINES = 4_000
RESERVED_LINES = 1_000
"""Places in the queue that ordinary lines do not take."""
RATE_WINDOW_S = 1.0
_ORDINARY = 'level=INFO'


class LogWriter:
    """A stream whose ``write`` never waits.

    Args:
        stream: Where the lines go in the end.
        lines_per_s: Ordinary lines that are written in a second at most.
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
        """Take a line; leave it out if there are too many."""
        ordinary = _ORDINARY in text
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
        """The thread flushes whenever it has nothing to write."""

    def close(self, timeout_s: float = 1.0) -> None:
        """Write what is there, but do not wait long for a reader."""
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
            # The reader has gone; there is nowhere left to say so.
            self.dropped += 1
