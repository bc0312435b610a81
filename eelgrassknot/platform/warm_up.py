"""Lenient decoding of what the platform states of warm-ups."""

import functools
import math

import msgspec

from eelgrassknot import logs

__all__ = ['read_number']

MAX_REMEMBERED = 1_024
"""Number of warnings that are not repeated."""
MAX_SHOWN_CHARACTERS = 40


def read_number(value: object, name: str) -> float:
    """Return a duration or rate; 0 with one warning if it is none.

    Args:
        value: The decoded value, or its JSON document.
        name: What it is, for the warning.

    Example:
        >>> read_number(22, 'writer.warmupPerS')
        22.0
        >>> read_number(msgspec.Raw(b'1.5'), 'writer.warmupS')
        1.5
    """
    try:
        if isinstance(value, msgspec.Raw):
            number = msgspec.json.decode(value, type=float)
        else:
            number = msgspec.convert(value, type=float)
    except (msgspec.MsgspecError, UnicodeError, RecursionError):
        number = -math.inf
    if 0 <= number < math.inf:
        return number
    shown = bytes(value) if isinstance(value, msgspec.Raw) else value
    _warn(name, repr(shown)[:MAX_SHOWN_CHARACTERS])
    return 0.0


@functools.lru_cache(maxsize=MAX_REMEMBERED)
def _warn(name: str, shown: str) -> None:
    """Log an unusable value; the cache keeps it from being repeated."""
    logs.warning('warm_up_unreadable', field=name, value=shown)
