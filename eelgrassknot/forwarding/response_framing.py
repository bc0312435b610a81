"""How the end of a response's body is told from a broken connection.

References:
    RFC 9112, "HTTP/1.1", sections 6.3, "Message Body Length", and 8,
    "Handling Incomplete Messages".
"""

import enum

import h11

__all__ = ['ConnectionEnd', 'Framing', 'framing_of']

BODILESS_STATUSES = frozenset([204, 304])


class Framing(enum.Enum):
    """What states where the body of a response ends."""

    LENGTH = 'length'
    CHUNKS = 'chunks'
    UNTIL_CLOSED = 'until_closed'


class ConnectionEnd(enum.Enum):
    """How the peer ended a connection."""

    CLOSED = 'closed'
    RESET = 'reset'


def framing_of(head: h11.Response) -> Framing:
    """Return the framing of the response to a request with a body.

    Example:
        >>> framing_of(h11.Response(status_code=200, headers=[]))
        <Framing.UNTIL_CLOSED: 'until_closed'>
        >>> framing_of(h11.Response(status_code=204, headers=[]))
        <Framing.LENGTH: 'length'>
    """
    names = {name for name, _ in head.headers}
    if head.status_code in BODILESS_STATUSES:
        return Framing.LENGTH
    if b'transfer-encoding' in names:
        return Framing.CHUNKS
    if b'content-length' in names:
        return Framing.LENGTH
    return Framing.UNTIL_CLOSED
