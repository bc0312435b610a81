"""Clocks in milliseconds.

Classes that make decisions do not read a clock; the current time is passed
to them. Only the code that drives them has a clock, which tests replace by
a ``ManualClock``.
"""

import time
import typing

__all__ = [
    'BootClock',
    'Clock',
    'ManualClock',
    'MonotonicClock',
    'MS_PER_SECOND',
    'WallClock',
]

MS_PER_SECOND = 1000.0


class Clock(typing.Protocol):
    """Source of time in milliseconds since an arbitrary origin."""

    def now_ms(self) -> float:
        """Return the present time in milliseconds."""


class MonotonicClock:
    """Monotonic clock of the machine.

    Example:
        >>> clock = MonotonicClock()
        >>> clock.now_ms() <= clock.now_ms()
        True
    """

    def now_ms(self) -> float:
        """Return the machine's monotonic time in milliseconds."""
        return time.monotonic() * MS_PER_SECOND


class BootClock:
    """Monotonic clock that includes the time the machine is suspended."""

    def now_ms(self) -> float:
        """Return the time since boot in milliseconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_SECOND


class WallClock:
    """Wall clock for time stamps that people and other VMs read.

    The wall clock may be set back, so no decision may depend on it.
    """

    def now_ms(self) -> float:
        """Return milliseconds since the Unix epoch."""
        return time.time() * MS_PER_SECOND


class ManualClock:
    """Clock whose time changes only when it is advanced.

    Example:
        >>> clock = ManualClock()
        >>> clock.advance_ms(5)
        >>> clock.now_ms()
        5.0
    """

    def __init__(self, start_ms: float = 0.0) -> None:
        self.time_ms = float(start_ms)

    def now_ms(self) -> float:
        """Return the present setting in milliseconds."""
        return self.time_ms

    def advance_ms(self, by_ms: float) -> None:
        """Advance the clock.

        Args:
            by_ms: Duration in milliseconds.

        Raises:
            ValueError: If ``by_ms`` is negative.
        """
        if by_ms < 0:
            raise ValueError('a clock cannot be moved back')
        self.time_ms += by_ms
