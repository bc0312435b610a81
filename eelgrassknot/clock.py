"""Clocks that count milliseconds.

Decision objects never read a clock: they are given the time. Only the
shells around them hold one, so that a test can hold a ``ManualClock``.
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
    """Source of the time in milliseconds from an arbitrary origin."""

    def now_ms(self) -> float:
        """Return the present time in milliseconds."""


class MonotonicClock:
    """Clock of the machine that never goes back.

    Example:
        >>> clock = MonotonicClock()
        >>> clock.now_ms() <= clock.now_ms()
        True
    """

    def now_ms(self) -> float:
        """Return the machine's monotonic time in milliseconds."""
        return time.monotonic() * MS_PER_SECOND


class BootClock:
    """Monotonic clock that goes on while the machine is suspended."""

    def now_ms(self) -> float:
        """Return the time since the machine's start in milliseconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_SECOND


class WallClock:
    """Clock of the calendar, for what people and other VMs read.

    It may be set back; nothing that decides may lean on it.
    """

    def now_ms(self) -> float:
        """Return milliseconds since 1970 in UTC."""
        return time.time() * MS_PER_SECOND


class ManualClock:
    """Clock that stands still until it is advanced.

    Example:
        >>> clock = ManualClock()
        >>> clock.advance_ms(5)
        >>> clock.now_ms()
        5.0
    """

    def __init__(self, start_ms: float = 0.0) -> None:
        self.time_ms = float(start_ms)

    def now_ms(self) -> float:
        """Return the time that was last set, in milliseconds."""
        return self.time_ms

    def advance_ms(self, by_ms: float) -> None:
        """Move the time forward.

        Args:
            by_ms: How far, in milliseconds.

        Raises:
            ValueError: If ``by_ms`` is negative.
        """
        if by_ms < 0:
            raise ValueError('a clock cannot be moved back')
        self.time_ms += by_ms
