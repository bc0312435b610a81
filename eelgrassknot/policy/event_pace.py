"""Regular intervals between the events of one run.

An engine emits an event of each of its runs after some decode steps, so the
interval between two events measures the step. Intervals are measured over
windows of a few events. A window with a pause in it is dropped, and so is
the one after it: a pause is the prefill of another prompt, a preemption, or
a disturbance of this VM or the link, behind which events arrive in clumps.
"""

__all__ = ['WINDOW_EVENTS', 'EventPace']

WINDOW_EVENTS = 4
"""Number of intervals in a window. An engine that slows down fourfold is seen
after 12 intervals, which take 1.6 s at 33 ms an event before."""
MAX_INTERVAL_RATIO = 2.0
"""Largest interval of a regular window relative to the mean of its others.
Noise of 20% reaches 1.5; the prefill of a mean prompt reaches 6."""


class EventPace:
    """Windows of intervals between the events of one run.

    Args:
        skipped: Number of events that are not measured.

    Example:
        >>> pace = EventPace()
        >>> [pace.record(33.0 * index) for index in range(5)]
        [None, None, None, None, 33.0]
    """

    def __init__(self, skipped: int = 0) -> None:
        self.skipped = skipped
        self.last_ms: float | None = None
        self.count = 0
        self.total_ms = 0.0
        self.largest_ms = 0.0

    def record(self, now_ms: float) -> float | None:
        """Record an event.

        Args:
            now_ms: When it was received.

        Returns:
            The mean interval of the window that the event completes, in ms,
            or None if it completes none or the window is irregular.
        """
        before_ms, self.last_ms = self.last_ms, now_ms
        if self.skipped or before_ms is None:
            self.skipped = max(0, self.skipped - 1)
            return None
        interval_ms = now_ms - before_ms
        self.count += 1
        self.total_ms += interval_ms
        if interval_ms > self.largest_ms:
            self.largest_ms = interval_ms
        if self.count < WINDOW_EVENTS:
            return None
        return self._end_window()

    def restart(self, skipped: int) -> None:
        """Drop the current window and some events after it."""
        self.skipped = skipped
        self.count = 0
        self.total_ms = 0.0
        self.largest_ms = 0.0

    def _end_window(self) -> float | None:
        mean_ms = self.total_ms / WINDOW_EVENTS
        others_ms = (self.total_ms - self.largest_ms) / (WINDOW_EVENTS - 1)
        is_regular = self.largest_ms <= MAX_INTERVAL_RATIO * others_ms
        self.restart(0 if is_regular else WINDOW_EVENTS)
        return mean_ms if is_regular and mean_ms > 0.0 else None
