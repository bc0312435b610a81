"""Connections of the fault-injecting proxy and their rate limiter."""

import collections
import collections.abc
import functools
import socket

__all__ = ['Flow', 'ProxiedConnection', 'RateLimiter']

BITS_PER_BYTE = 8


class RateLimiter:
    """Rate limit shared by several connections, separate per direction.

    Args:
        bits_per_second: Maximum rate; 0 for no limit.

    Example:
        >>> RateLimiter(8_000.0).departure_s(True, 10.0, 1_000)
        11.0
    """

    def __init__(self, bits_per_second: float) -> None:
        self.bits_per_second = bits_per_second
        self.free_s = {True: 0.0, False: 0.0}

    def departure_s(
        self, towards_server: bool, now_s: float, size: int
    ) -> float:
        """Return the time at which the last of a number of bytes is sent."""
        if not self.bits_per_second:
            return now_s
        begin_s = max(now_s, self.free_s[towards_server])
        end_s = begin_s + size * BITS_PER_BYTE / self.bits_per_second
        self.free_s[towards_server] = end_s
        return end_s


class Flow:
    """One direction of a connection.

    Attributes:
        ready: Data to write now; an empty item marks the end of data.
        queued_bytes: Number of bytes read but not yet written.
    """

    def __init__(
        self,
        pair: 'ProxiedConnection',
        source: socket.socket,
        sink: socket.socket,
        towards_server: bool,
    ) -> None:
        self.pair = pair
        self.source = source
        self.sink = sink
        self.towards_server = towards_server
        self.ready: collections.deque = collections.deque()
        self.queued_bytes = 0
        self.last_due_s = 0.0
        self.ended = False
        self.finished = False
        self.registered_mask = 0

    def callback(
        self, function: collections.abc.Callable
    ) -> collections.abc.Callable:
        """Return a selector callback for the source of this flow."""
        return functools.partial(function, self)

    def write(self) -> None:
        """Write as much as the sink accepts."""
        while self.ready:
            data = self.ready[0]
            if not data:
                self._end()
                return
            try:
                sent = self.sink.send(data)
            except (BlockingIOError, InterruptedError):
                return
            self.queued_bytes -= sent
            if sent < len(data):
                self.ready[0] = data[sent:]
                return
            self.ready.popleft()

    def _end(self) -> None:
        self.ready.clear()
        self.finished = True
        self.sink.shutdown(socket.SHUT_WR)


class ProxiedConnection:
    """A client connection and the corresponding connection to the target.

    Attributes:
        dropped_directions: Directions in which bytes are discarded; True
            is the direction towards the server.
    """

    def __init__(
        self, link: object, client: socket.socket, server: socket.socket
    ) -> None:
        self.link = link
        self.dropped_directions: frozenset[bool] = frozenset()
        self.closed = False
        self.client = client
        self.flows = (
            Flow(self, client, server, True),
            Flow(self, server, client, False),
        )

    def opposite(self, flow: Flow) -> Flow:
        """Return the flow in the opposite direction."""
        return self.flows[1] if flow is self.flows[0] else self.flows[0]

    def is_over(self) -> bool:
        """Return whether both directions have ended."""
        return all(flow.finished for flow in self.flows)

    def half_close_client(self) -> None:
        """Close only the direction towards the client."""
        try:
            self.client.shutdown(socket.SHUT_WR)
        except OSError:
            pass
