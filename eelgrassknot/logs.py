"""One line of key=value pairs for each event, by way of absl."""

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
        stream: Where they go; standard error if None.
        lines_per_s: If given, a thread writes the lines, at most so many
            ordinary ones a second, and nobody waits for the stream.

    Returns:
        The writer, to be closed at the end, if there is one.
    """
    # absl warns of each line that comes before its flags are parsed; the
    # daemon takes its settings from a file and has no absl flags.
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
    """Change from which level on lines are written."""
    logging.set_verbosity(level)


def format_pairs(name: str, pairs: dict[str, object]) -> str:
    """Return one line that names an event and its facts.

    Args:
        name: Name of the event.
        pairs: Facts, in the order in which they are to be shown.

    Example:
        >>> format_pairs('started', {'vm': 'nadi-1', 'why': 'a b'})
        'event=started vm=nadi-1 why="a b"'
    """
    parts = [f'event={name}']
    parts += [f'{key}={_format_value(value)}' for key, value in pairs.items()]
    return ' '.join(parts)


def event(name: str, **pairs: object) -> None:
    """Log an ordinary event."""
    if logging.level_info():
        logging.info('%s', format_pairs(name, pairs))


def warning(name: str, **pairs: object) -> None:
    """Log an event that an operator should look at."""
    logging.warning('%s', format_pairs(name, pairs))


def error(name: str, **pairs: object) -> None:
    """Log an event that an operator has to act on."""
    logging.error('%s', format_pairs(name, pairs))


def exception(name: str, caught: Exception) -> None:
    """Log an error that no caller handles, with where it was raised.

    Args:
        name: Name of the event.
        caught: The error.
    """
    frames = traceback.extract_tb(caught.__traceback__)[-TRACE_FRAMES:]
    where = ' < '.join(
        f'{frame.name}:{frame.lineno}' for frame in reversed(frames)
    )
    logging.error(
        '%s', format_pairs(name, {'why': repr(caught), 'where': where})
    )


class _LineFormatter(standard_logging.Formatter):
    """Puts the time and the level in front as pairs of their own."""

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
