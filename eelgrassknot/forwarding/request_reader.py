"""Reading of one caller's requests; no I/O."""

import h11

from eelgrassknot.forwarding import chunk_merger
from eelgrassknot.forwarding import exchange as exchanges
from eelgrassknot.forwarding import model
from eelgrassknot.forwarding import request_head

__all__ = ['RejectedError', 'RequestReader']

HEAD_MARGIN_BYTES = 4_096
COSTLY_BYTES = 4_096
"""Unparsed bytes of heads from which parsing waits for its turn: 16 KB in
short lines take 15 ms."""
COSTLY_CHUNKS = 512
"""Number of merged chunks from which the parsing of a body waits for its
turn: 16 KB in small chunks take 3 ms."""
CHUNK_READ_BYTES = 16_384
BODY_READ_BYTES = 65_536
MAX_COPIED_BYTES = 65_536
"""A longer body is not copied when it is complete."""


class RejectedError(Exception):
    """A request that is over a limit.

    Attributes:
        status: HTTP status code of the response.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class RequestReader:
    """Parses the requests of one connection, one at a time.

    The parser gets the bytes of one request only. Those that follow stay
    unparsed until the response to it is complete.

    Args:
        limits: Limits of the first request.

    Attributes:
        unparsed: Received bytes that the parser has yet to get.
        head: Head of the request whose body is being read, or None.
    """

    def __init__(self, limits: model.CallerLimits) -> None:
        self.limits = limits
        self.unparsed = b''
        self.parser = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=limits.header_bytes + HEAD_MARGIN_BYTES,
        )
        self.head: request_head.RequestHead | None = None
        self._begin()

    def _begin(self) -> None:
        self.head = None
        self.head_ms = 0.0
        self.head_bytes = 0
        self.head_tail = b''
        self.body = bytearray()
        self.length: int | None = None
        self.merger: chunk_merger.ChunkMerger | None = None

    @property
    def has_begun(self) -> bool:
        """Whether any byte of a request has come that is not complete."""
        return bool(self.unparsed or self.head_bytes or self.head is not None)

    @property
    def is_reusable(self) -> bool:
        """Whether a further request may follow the response."""
        return (
            self.parser.our_state is h11.DONE
            and self.parser.their_state is h11.DONE
        )

    @property
    def is_costly(self) -> bool:
        """Whether parsing takes long enough to wait for its turn."""
        if self.head is None:
            return self.head_bytes + len(self.unparsed) > COSTLY_BYTES
        return (
            self.merger is not None
            and self.merger.merged_chunks > COSTLY_CHUNKS
        )

    @property
    def held_bytes(self) -> int:
        """Memory of what has been read of incomplete requests."""
        held = len(self.unparsed) + self.head_bytes
        if self.head is not None:
            # The body's buffer grows by an eighth more than it needs.
            held += self.head.memory_bytes + len(self.body) * 9 // 8
            if self.merger is not None:
                held += len(self.merger.pending)
        return held

    @property
    def missing_bytes(self) -> int:
        """Bytes of the body that have yet to come, at most."""
        if self.head is None:
            return 0
        length = self.limits.body_bytes if self.merger else self.length
        return max(0, length - len(self.body))

    @property
    def read_bytes(self) -> int:
        """How much of the body is to be received at a time."""
        return CHUNK_READ_BYTES if self.merger else BODY_READ_BYTES

    def add(self, data: bytes) -> None:
        """Add received bytes."""
        self.unparsed = self.unparsed + data if self.unparsed else data

    def read(self, now_ms: float) -> exchanges.CallerRequest | None:
        """Return the request if it is complete.

        Args:
            now_ms: The current time.

        Raises:
            RejectedError: If the request is over a limit.
            h11.RemoteProtocolError: If it is malformed.
        """
        while True:
            event = self.parser.next_event()
            if event is h11.PAUSED:
                return None
            if event is h11.NEED_DATA:
                if not self.unparsed:
                    return None
                self._feed()
                continue
            match event:
                case h11.Request():
                    self._read_head(event, now_ms)
                case h11.Data():
                    self.body += event.data
                    if len(self.body) > self.limits.body_bytes:
                        raise RejectedError(413, 'the body is over the limit')
                case h11.EndOfMessage():
                    return self._complete()

    def start_next(self, limits: model.CallerLimits) -> None:
        """Read the next request after the response to the last one."""
        self.limits = limits
        self.parser.start_next_cycle()

    def discard(self) -> None:
        """Release what has been read, because it is not served."""
        self.unparsed = b''
        self._begin()
        self.parser = h11.Connection(h11.SERVER)

    def _feed(self) -> None:
        """Give the parser what belongs to the current request."""
        data, self.unparsed = self.unparsed, b''
        if self.head is None:
            part, self.unparsed, self.head_tail = chunk_merger.split_lines(
                self.head_tail, data
            )
            self.head_bytes += len(part)
        elif self.merger is not None:
            part = self.merger.feed(data)
            self.unparsed = self.merger.rest
        else:
            missing = self.missing_bytes
            part, self.unparsed = data[:missing], data[missing:]
        if part:
            # No bytes would mean the end of the connection.
            self.parser.receive_data(part)

    def _read_head(self, head: h11.Request, now_ms: float) -> None:
        found = dict(head.headers)
        is_chunked = b'transfer-encoding' in found
        if is_chunked and b'content-length' in found:
            raise h11.RemoteProtocolError('two framings of one body')
        self.length = int(found.get(b'content-length', 0))
        if self.length > self.limits.body_bytes:
            raise RejectedError(413, 'the body is over the limit')
        if is_chunked:
            self.merger = chunk_merger.ChunkMerger()
        self.head = request_head.RequestHead(
            head, self.head_bytes, is_chunked or b'content-length' in found
        )
        self.head_ms = now_ms
        self.head_bytes = 0

    def _complete(self) -> exchanges.CallerRequest:
        body = self.body
        if len(body) <= MAX_COPIED_BYTES:
            body = bytes(body)
        request = exchanges.CallerRequest(self.head, body, self.head_ms)
        self._begin()
        return request
