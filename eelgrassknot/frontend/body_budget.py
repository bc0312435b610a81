"""Bound on the request bodies that all server threads hold together."""

import math
import threading
import typing

__all__ = ['BodyBudget', 'BoundedInput', 'NoRoomError']

FREE_BYTES = 65_536
"""Part of each body that is not counted, so that small requests are read
whatever the others hold. The number of threads bounds these parts."""
PIECE_BYTES = 65_536


class NoRoomError(Exception):
    """A body is not read further; the request has not run."""


class BodyBudget:
    """Counts the bytes of the bodies that are held; thread-safe.

    Args:
        max_bytes: Bound on the bytes of all bodies together, beyond the
            free part of each.

    Attributes:
        held: Bytes held now.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.held = 0
        self.lock = threading.Lock()

    def take(self, count: int) -> bool:
        """Return whether further bytes may be held, and count them then."""
        with self.lock:
            if self.held + count > self.max_bytes:
                return False
            self.held += count
            return True

    def release(self, count: int) -> None:
        """Release bytes that are no longer held."""
        with self.lock:
            self.held -= count


class BoundedInput:
    """Input of one request that takes its bytes from a budget.

    Args:
        stream: Input of the server.
        budget: The budget.

    Attributes:
        read_bytes: Bytes read so far.
        is_complete: Whether the end of the body has been read.
    """

    def __init__(self, stream: typing.BinaryIO, budget: BodyBudget) -> None:
        self.stream = stream
        self.budget = budget
        self.read_bytes = 0
        self.taken = 0
        self.is_complete = False

    def read(self, size: int | None = None) -> bytes:
        """Return a part of the body.

        Raises:
            NoRoomError: If other bodies take all memory.
        """
        parts = []
        left = math.inf if size is None or size < 0 else size
        while left > 0:
            # In pieces, so that a body is counted while it comes.
            part = self.stream.read(int(min(left, PIECE_BYTES)))
            if not part:
                self.is_complete = True
                break
            parts.append(self._count(part))
            left -= len(part)
        return b''.join(parts)

    def readline(self, size: int | None = None) -> bytes:
        """Return a line of the body.

        Raises:
            NoRoomError: If other bodies take all memory.
        """
        return self._count(self.stream.readline(size))

    def __iter__(self) -> 'BoundedInput':
        return self

    def __next__(self) -> bytes:
        line = self.readline()
        if not line:
            raise StopIteration
        return line

    def release(self) -> None:
        """Release the body once the request has ended."""
        self.budget.release(self.taken)
        self.taken = 0

    def _count(self, data: bytes) -> bytes:
        self.read_bytes += len(data)
        due = max(0, self.read_bytes - FREE_BYTES) - self.taken
        if due > 0:
            if not self.budget.take(due):
                raise NoRoomError
            self.taken += due
        return data
