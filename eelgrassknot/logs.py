"""Structured logging through absl: one line of key=value pairs per event."""

import json
import logging as standard_logging
import sys
import time
import traceback
import typing

from absl import flags
from absl import logging

from eelgrassknot import log_writer

__all__ = [
    'configure',
    'error',
    'event',
    'exception',
    'format_pairs',
    'set_level',
    'warning',
]

TRACE_FRAMES = 4

_PLAIN_CHARACTERS = frozenset(
    'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-.:/,+@'
)


def configure(
    level: str,
    stream: typing.TextIO | None = None,
    lines_per_s: int | None = None,
) -> log_writer.LogWriter | None:
    """Send log lines at and above a level to a stream.

    Args:
        level: One of ``debug``, ``info``, ``warning`` and ``error``.
        stream: Output stream; standard error if None.
        lines_per_s: Rate limit. If given, a separate thread writes the
            lines, so that callers never wait for the stream.

    Returns:
        The log writer, which must be closed at exit, or None without a
        rate limit.
    """
    # absl prints a warning for each line logged before its flags are
    # parsed. The daemon reads its settings from a file and has no flags.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    stream = stream or sys.stderr
    writer = None
    if lines_per_s is not None:
        writer = log_writer.LogWriter(stream, lines_per_s)
    handler.python_handler.stream = writer or stream
    handler.setFormatter(_LineFormatter())
    logging.set_verbosity(level)
    return writer


def set_level(level: str) -> None:
    """Set the minimum level of the lines that are written."""
    logging.set_verbosity(level)


def format_pairs(name: str, pairs: dict[str, object]) -> str:
    """Return the log line of an event.

    Args:
        name: Name of the event.
        pairs: Keys and values in output order.

    Example:
        >>> format_pairs('started', {'vm': 'nadi-1', 'why': 'a b'})
        'event=started vm=nadi-1 why="a b"'
    """
    parts = [f'event={name}']
    parts += [f'{key}={_format_value(value)}' for key, value in pairs.items()]
    return ' '.join(parts)


def event(name: str, **pairs: object) -> None:
    """Log an event at level info."""
    if logging.level_info():
        logging.info('%s', format_pairs(name, pairs))


def warning(name: str, **pairs: object) -> None:
    """Log an event that an operator should review."""
    logging.warning('%s', format_pairs(name, pairs))


def error(name: str, **pairs: object) -> None:
    """Log an event that requires action by an operator."""
    logging.error('%s', format_pairs(name, pairs))


def exception(name: str, caught: Exception, **pairs: object) -> None:
    """Log an unhandled exception with the place where it was raised.

    Args:
        name: Name of the event.
        caught: The exception.
        **pairs: Further keys and values, which come first.
    """
    frames = traceback.extract_tb(caught.__traceback__)[-TRACE_FRAMES:]
    where = ' < '.join(
        f'{frame.name}:{frame.lineno}' for frame in reversed(frames)
    )
    logging.error(
        '%s',
        format_pairs(name, {**pairs, 'why': repr(caught), 'where': where}),
    )


class _LineFormatter(standard_logging.Formatter):
    """Prefixes each line with its time and level as key=value pairs."""

    def __init__(self) -> None:
        super().__init__(
            'time=%(asctime)s.%(msecs)03dZ level=%(levelname)s %(message)s',
            '%Y-%m-%dT%H:%M:%S',
        )
        self.converter = time.gmtime


def _format_value(value: object) -> str:
    text = str(value)
    if text and _PLAIN_CHARACTERS.issuperset(text):
        return text
    return json.dumps(text)
