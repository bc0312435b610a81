"""Requests of callers and their responses."""

import collections.abc
import typing

import h11
import msgspec

from eelgrassknot.forwarding import caller_memory
from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import model
from eelgrassknot.forwarding import request_head

if typing.TYPE_CHECKING:
    from eelgrassknot.forwarding import caller_connection

__all__ = ['CallerRequest', 'Exchange', 'Headers', 'Server']

Headers = list[tuple[bytes, bytes]]


class CallerRequest(msgspec.Struct, frozen=True):
    """One complete request.

    Attributes:
        received_ms: When the head was complete.
    """

    head: request_head.RequestHead
    body: bytes | bytearray
    received_ms: float

    @property
    def method(self) -> bytes:
        """The method."""
        return self.head.method

    @property
    def target(self) -> bytes:
        """The target as the caller sent it."""
        return self.head.target

    @property
    def memory_bytes(self) -> int:
        """Memory that the request takes."""
        return self.head.memory_bytes + len(self.body) * 9 // 8

    @property
    def has_body(self) -> bool:
        """Whether the request frames a body, even an empty one."""
        return self.head.has_body

    @property
    def headers(self) -> Headers:
        """Pairs of name and value, with lowercase names."""
        return self.head.headers

    @property
    def raw_headers(self) -> Headers:
        """The same pairs with the caller's spelling of the names."""
        return self.head.raw_headers


class Server(typing.Protocol):
    """Interface of the server that handles the requests."""

    loop: loops.EventLoop
    limits: model.CallerLimits
    memory: caller_memory.CallerMemory
    draining: bool

    def handle(self, exchange: 'Exchange') -> None:
        """Handle a request; the server must complete its exchange."""

    def connection_closed(
        self, connection: 'caller_connection.CallerConnection'
    ) -> None:
        """Remove a connection that has been closed."""


class Exchange:
    """One request of a caller and its response.

    Attributes:
        on_abort: Called once with the reason if the exchange ends early.
        on_limit: Called with an earlier time by which the exchange must
            end.
        on_drain: Called when the caller is no longer congested.
        is_over: Whether the response is complete or the caller has
            disconnected.
        started: Whether the head of the response has been sent.
        derived_bytes: Memory of what is kept for the request beside its
            head and body.
    """

    def __init__(
        self,
        connection: 'caller_connection.CallerConnection',
        request: CallerRequest,
    ) -> None:
        self.connection = connection
        self.request = request
        self.on_abort: collections.abc.Callable[[str], None] | None = None
        self.on_limit: collections.abc.Callable[[float], None] | None = None
        self.on_drain: collections.abc.Callable[[], None] | None = None
        self.is_over = False
        self.started = False
        self.derived_bytes = 0

    @property
    def memory_bytes(self) -> int:
        """Memory that the request takes."""
        return self.request.memory_bytes + self.derived_bytes

    def account_for(self, derived_bytes: int) -> None:
        """Account for what is kept for the request while it is served."""
        self.derived_bytes = derived_bytes
        self.connection.account()

    @property
    def is_congested(self) -> bool:
        """Whether the caller reads more slowly than the response comes."""
        return self.connection.transport.is_congested

    def await_drain(self) -> None:
        """Have ``on_drain`` called once the caller has caught up."""
        self.connection.transport.awaits_drain = True

    def start(self, status: int, headers: Headers) -> None:
        """Send the head of the response.

        Args:
            status: HTTP status code.
            headers: Response headers. With a Content-Length the body is
                framed by length, otherwise it is chunked.
        """
        self.started = True
        if (
            self.connection.server.draining
            and not self.connection.has_pipelined_bytes
        ):
            headers = [*headers, (b'Connection', b'close')]
        self.connection.send(
            h11.Response(status_code=status, headers=headers, reason=b'')
        )

    def send(self, data: bytes) -> None:
        """Send a part of the body."""
        if data and self.request.method != b'HEAD':
            self.connection.send(h11.Data(data=data))

    def finish(self) -> None:
        """Complete the response."""
        self.end()
        self.connection.finish_response()

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        length = str(len(body)).encode('ascii')
        self.start(status, [*headers, (b'Content-Length', length)])
        self.send(body)
        self.finish()

    def abort(self) -> None:
        """Reset the connection so that the response cannot look complete."""
        self.end()
        self.connection.abort()

    def notify_aborted(self, reason: str) -> None:
        """Report that the response cannot be completed."""
        if self.is_over:
            return
        on_abort = self.on_abort
        self.end()
        if on_abort is not None:
            on_abort(reason)

    def end(self) -> None:
        """Release the callbacks, which refer to the request's driver."""
        self.is_over = True
        self.on_abort = self.on_limit = self.on_drain = None
