"""Heads of callers' requests in a compact form."""

import h11

__all__ = ['RequestHead']

MAX_LISTED_LINES = 64
"""Heads with more lines are kept as one string of bytes: 3,900 lines of four
bytes take 470 kB as objects."""
LINE_BYTES = 220
"""Memory of the objects of one header line, besides its bytes."""
BASE_BYTES = 512

Headers = list[tuple[bytes, bytes]]


class RequestHead:
    """Method, target and headers of a request.

    Args:
        head: The parsed head.
        head_bytes: Number of its bytes.
        has_body: Whether the request frames a body, even an empty one.

    Attributes:
        method: The method.
        target: The target as the caller sent it.
        memory_bytes: Memory that the head takes.
        has_body: Whether the request frames a body, even an empty one.
    """

    __slots__ = (
        'compact',
        'has_body',
        'listed',
        'lowercase',
        'memory_bytes',
        'method',
        'target',
    )

    def __init__(
        self, head: h11.Request, head_bytes: int, has_body: bool
    ) -> None:
        self.method = head.method
        self.target = head.target
        self.has_body = has_body
        self.memory_bytes = BASE_BYTES + head_bytes
        self.listed: Headers | None = None
        self.lowercase: Headers | None = None
        self.compact = b''
        count = len(head.headers)
        if count > MAX_LISTED_LINES:
            # Neither names nor values contain a line feed.
            self.compact = b'\n'.join(
                b'%b:%b' % pair for pair in head.headers.raw_items()
            )
            self.memory_bytes += 2 * count
        else:
            self.listed = head.headers.raw_items()
            self.lowercase = list(head.headers)
            self.memory_bytes += LINE_BYTES * count

    @property
    def raw_headers(self) -> Headers:
        """Pairs of name and value, with the caller's spelling."""
        if self.listed is not None:
            return self.listed
        pairs = (line.split(b':', 1) for line in self.compact.split(b'\n'))
        return [(name, value) for name, value in pairs]

    @property
    def headers(self) -> Headers:
        """Pairs of name and value, with lowercase names."""
        if self.lowercase is not None:
            return self.lowercase
        return [(name.lower(), value) for name, value in self.raw_headers]
