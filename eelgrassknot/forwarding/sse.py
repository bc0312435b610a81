"""Incremental parser that splits a stream into server-sent events.

References:
    WHATWG HTML Living Standard, section 9.2, "Server-sent events".
"""

import re

from eelgrassknot import decoding

__all__ = ['EventSplitter', 'event_index', 'has_data', 'is_comment']

_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_MAX_END_BYTES = 4
_ID = re.compile(
    rb'(?:^|[\r\n])id:[ ]?(\d{1,%d})[ ]*(?:\r|\n)' % decoding.MAX_DIGITS
)
_DATA = re.compile(rb'(?:^|[\r\n])data[:\r\n]')


class EventSplitter:
    """Buffers bytes and returns complete events.

    Attributes:
        pending: Bytes after the last complete event.

    Example:
        >>> splitter = EventSplitter()
        >>> splitter.feed(b'id: 1')
        []
        >>> splitter.feed(b'\\n\\nid: 2')
        [b'id: 1\\n\\n']
    """

    def __init__(self) -> None:
        self.pending = bytearray()
        self.searched_bytes = 0

    def add(self, data: bytes) -> None:
        """Add received bytes."""
        self.pending += data

    def next_event(self) -> bytes | None:
        """Remove and return the next complete event, or None."""
        match = _END.search(self.pending, self.searched_bytes)
        if match is None:
            # The end of an event may have begun in the pending bytes.
            self.searched_bytes = max(
                0, len(self.pending) - (_MAX_END_BYTES - 1)
            )
            return None
        end = match.end()
        event = bytes(self.pending[:end])
        # The match refers to the buffer, which could not be resized.
        del match
        del self.pending[:end]
        self.searched_bytes = 0
        return event

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the events completed by them, in order."""
        self.add(data)
        return list(iter(self.next_event, None))

    @property
    def is_inside_event(self) -> bool:
        """Whether the last event is incomplete; blank lines are no event."""
        return bool(self.pending.strip(b'\r\n'))


def event_index(event: bytes) -> int | None:
    """Return the ID of an event if it is a number, else None.

    Example:
        >>> event_index(b'id: 7\\ndata: x\\n\\n')
        7
    """
    match = _ID.search(event)
    return None if match is None else int(match.group(1))


def has_data(event: bytes) -> bool:
    """Return whether an event has a ``data`` field; others have no effect.

    Example:
        >>> has_data(b'data: x\\n\\n'), has_data(b'x\\n\\n')
        (True, False)
    """
    return _DATA.search(event) is not None


def is_comment(event: bytes) -> bool:
    """Return whether an event has no fields, but only comments.

    Example:
        >>> is_comment(b': still here\\n\\n')
        True
        >>> is_comment(b': note\\ndata: x\\n\\n')
        False
    """
    lines = filter(None, event.splitlines())
    return all(line.startswith(b':') for line in lines)
