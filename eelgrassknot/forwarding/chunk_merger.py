"""Merging of the small chunks of a request body.

The HTTP parser creates several objects for each chunk and takes 6 us for it,
whatever its size.

References:
    RFC 9112, "HTTP/1.1", section 7.1, "Chunked Transfer Coding".
"""

import re

__all__ = ['ChunkMerger', 'split_lines']

MAX_MERGED_BYTES = 4_096
"""Larger chunks are passed on as they are."""
MAX_PENDING_BYTES = 8_192
"""A chunk whose head takes more is left to the parser, which has a limit."""
_CHUNK_HEAD = re.compile(
    rb'([0-9A-Fa-f]{1,20})(?:;[^\x00-\x08\x0a-\x1f\x7f]*)?[ \t]*\r\n'
)
_ONE_BYTE_CHUNKS = re.compile(rb'(?:1\r\n[\x00-\xff]\r\n)+')
_ONE_BYTE_CHUNK_BYTES = 6
_CHUNK_END = b'\r\n'
_BLANK_LINE = re.compile(rb'\n\r?\n')
TAIL_BYTES = 3
"""Bytes of a blank line that may have come before the rest of it."""


class ChunkMerger:
    r"""Replaces runs of small chunks of one body by larger ones.

    Whatever is not a complete small chunk is passed on unchanged, so that
    the parser checks it.

    Attributes:
        merged_chunks: Number of chunks that have been merged.
        rest: Bytes that follow the body.

    Example:
        >>> merger = ChunkMerger()
        >>> merger.feed(b'1\r\na\r\n2\r\nbc\r\n0\r\n\r\nGET')
        b'3\r\nabc\r\n0\r\n\r\n'
        >>> merger.rest
        b'GET'
    """

    def __init__(self) -> None:
        self.merged_chunks = 0
        self.rest = b''
        self.pending = b''
        self.passing_bytes = 0
        self.is_malformed = False
        self.trailer_tail: bytes | None = None

    def feed(self, data: bytes) -> bytes:
        """Return what the parser is to read of the received bytes.

        The beginning of a small chunk is kept until the rest has come.
        """
        if self.is_malformed:
            return data
        if self.trailer_tail is not None:
            return self._feed_trailer(data)
        data, self.pending = self.pending + data, b''
        output = bytearray()
        merged = bytearray()
        position = 0
        while position < len(data):
            if self.passing_bytes:
                end = min(len(data), position + self.passing_bytes)
                self.passing_bytes -= end - position
                output += data[position:end]
                position = end
                continue
            run = _ONE_BYTE_CHUNKS.match(data, position)
            if run is not None:
                length = run.end() - position
                merged += data[
                    position + 3 : run.end() : _ONE_BYTE_CHUNK_BYTES
                ]
                self.merged_chunks += length // _ONE_BYTE_CHUNK_BYTES
                position = run.end()
                continue
            head = _CHUNK_HEAD.match(data, position)
            if head is None:
                if not _may_be_incomplete(data, position):
                    self.is_malformed = True
                break
            size = int(head[1], 16)
            end = head.end() + size
            if size == 0:
                break
            if size > MAX_MERGED_BYTES:
                _flush(merged, output)
                self.passing_bytes = end - position + len(_CHUNK_END)
                continue
            if len(data) < end + len(_CHUNK_END):
                break
            if data[end : end + len(_CHUNK_END)] != _CHUNK_END:
                self.is_malformed = True
                break
            merged += data[head.end() : end]
            self.merged_chunks += 1
            position = end + len(_CHUNK_END)
        _flush(merged, output)
        if self.is_malformed:
            output += data[position:]
        elif position < len(data):
            self._keep(data, position, output)
        return bytes(output)

    def _keep(self, data: bytes, position: int, output: bytearray) -> None:
        """Keep an incomplete chunk, or begin with the last one."""
        head = _CHUNK_HEAD.match(data, position)
        if head is None or int(head[1], 16):
            self.pending = data[position:]
            return
        output += data[position : head.end()]
        # An empty trailer ends with the line after that of the last chunk.
        self.trailer_tail = b'\n'
        output += self._feed_trailer(data[head.end() :])

    def _feed_trailer(self, data: bytes) -> bytes:
        part, self.rest, self.trailer_tail = split_lines(
            self.trailer_tail, data
        )
        return part


def split_lines(tail: bytes, data: bytes) -> tuple[bytes, bytes, bytes]:
    """Split bytes after the blank line that ends a head or a trailer.

    Args:
        tail: The last bytes before the data.
        data: The received bytes.

    Returns:
        What belongs to the head, what follows it, and the new tail; the
        tail is empty if the blank line has been found.
    """
    window = tail + data
    found = _BLANK_LINE.search(window)
    if found is None:
        return data, b'', window[-TAIL_BYTES:]
    end = found.end() - len(tail)
    return data[:end], data[end:], b''


def _may_be_incomplete(data: bytes, position: int) -> bool:
    """Return whether the head of a chunk may only lack its end."""
    return (
        len(data) - position < MAX_PENDING_BYTES
        and data.find(_CHUNK_END, position) < 0
    )


def _flush(merged: bytearray, output: bytearray) -> None:
    if merged:
        output += b'%x\r\n' % len(merged)
        output += merged
        output += _CHUNK_END
        merged.clear()
