"""Incremental parser that splits a stream into server-sent events.

References:
    WHATWG HTML Living Standard, section 9.2, "Server-sent events".
"""

import re

__all__ = ['EventSplitter', 'event_index', 'is_comment']

_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_MAX_END_BYTES = 4
_ID = re.compile(rb'(?:^|[\r\n])id:[ ]?(\d+)[ ]*(?:\r|\n)')


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

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the events completed by them, in order."""
        # The end of an event may have begun in the pending bytes.
        searched = max(0, len(self.pending) - (_MAX_END_BYTES - 1))
        self.pending += data
        events = []
        start = 0
        for match in _END.finditer(self.pending, searched):
            events.append(bytes(self.pending[start : match.end()]))
            start = match.end()
        del self.pending[:start]
        return events

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
