"""Caller connections: HTTP/1.1 requests and their responses, in order."""

import collections.abc
import errno
import socket
import typing

import h11
import msgspec

from eelgrassknot.forwarding import connection as connections
from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import model
from eelgrassknot import logs
from eelgrassknot import states

__all__ = ['CallerConnection', 'CallerRequest', 'DEFAULT_LIMITS', 'Exchange']

DEFAULT_LIMITS = model.CallerLimits(16_384, 4_194_304, 3_000.0, 15_000.0)
"""Limits in effect until the first desired state is read."""
IDLE_TIMEOUT_FACTOR = 1.1
"""Factor by which the idle timeout exceeds the configured time, so that a
caller that honours the configured time never sees the server close."""
FIRST_REQUEST_MS = 1_000.0
"""How long after its acceptance a connection may carry its first request;
ms. Callers that do not send it sooner abandon the connection."""
LINGER_MS = 1_000.0
"""How long the rest of a rejected body is read before closing; ms."""
HEAD_MARGIN_BYTES = 4_096

Headers = list[tuple[bytes, bytes]]


class CallerRequest(msgspec.Struct, frozen=True):
    """One complete request.

    Attributes:
        headers: Pairs of name and value, with lowercase names.
        raw_headers: The same pairs with the caller's spelling of the names.
        received_ms: When the head was complete.
        has_body: Whether the request frames a body, even an empty one.
    """

    method: bytes
    target: bytes
    headers: Headers
    raw_headers: Headers
    body: bytes
    received_ms: float
    has_body: bool


class Server(typing.Protocol):
    """Interface of the server that handles the requests."""

    loop: loops.EventLoop
    limits: model.CallerLimits
    draining: bool

    def handle(self, exchange: 'Exchange') -> None:
        """Handle a request; the server must complete its exchange."""

    def connection_closed(self, connection: 'CallerConnection') -> None:
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
    """

    def __init__(
        self, connection: 'CallerConnection', request: CallerRequest
    ) -> None:
        self.connection = connection
        self.request = request
        self.on_abort: collections.abc.Callable[[str], None] | None = None
        self.on_limit: collections.abc.Callable[[float], None] | None = None
        self.on_drain: collections.abc.Callable[[], None] | None = None
        self.is_over = False
        self.started = False

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
        self.is_over = True
        self.connection.finish_response()

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        length = str(len(body)).encode('ascii')
        self.start(status, [*headers, (b'Content-Length', length)])
        self.send(body)
        self.finish()

    def abort(self) -> None:
        """Reset the connection so that the response cannot look complete."""
        self.is_over = True
        self.connection.abort()

    def notify_aborted(self, reason: str) -> None:
        """Report that the response cannot be completed."""
        if self.is_over:
            return
        self.is_over = True
        if self.on_abort is not None:
            self.on_abort(reason)


class CallerConnection(connections.Handler):
    """A connection on which one caller sends requests.

    Args:
        server: Server that handles the requests.
        stream: The accepted socket.

    Attributes:
        opened_ms: When the connection was accepted.
        request_count: Number of complete requests received so far.
    """

    def __init__(self, server: Server, stream: socket.socket) -> None:
        self.server = server
        self.opened_ms = server.loop.now_ms()
        self.request_count = 0
        self.limits = server.limits
        self.parser = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self.limits.header_bytes
            + HEAD_MARGIN_BYTES,
        )
        self.head: h11.Request | None = None
        self.head_ms = 0.0
        self.body = bytearray()
        self.exchange: Exchange | None = None
        self.timer: loops.Timer | None = None
        self.rejected = False
        self.awaiting_first_byte = False
        self.transport = connections.Connection.accepted(
            server.loop, stream, self
        )
        self._await_head()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered, or has arrived."""
        return (
            self.exchange is None
            and self.head is None
            and not self.has_pipelined_bytes
        )

    @property
    def has_pipelined_bytes(self) -> bool:
        """Whether bytes of a request that has yet to be read have arrived.

        Such a request must not follow a response with Connection: close,
        after which no request is processed.
        """
        return bool(self.parser.trailing_data[0])

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether a part of a response has yet to be sent."""
        return bool(self.transport.send_buffer) and not self.transport.closed

    def received(self, data: bytes) -> None:
        """Parse bytes from the caller."""
        # A request that comes while the connection is closing is not read;
        # its response could not be sent.
        if self.rejected or not self.transport.is_open:
            return
        self.parser.receive_data(data)
        if self.exchange is None:
            if self.awaiting_first_byte:
                self._await_rest_of_head()
            self._read_events()
        elif len(self.parser.trailing_data[0]) > self.limits.body_bytes:
            self.abort()
            self.ended(OSError(errno.ENOBUFS, 'too many pipelined bytes'))

    def sends_rest(self) -> bool:
        """Return whether all responses are complete and only to be sent.

        A caller that leaves and one that only ends its side look alike, so
        a request in progress is cancelled.
        """
        if self.exchange is not None:
            return False
        self._stop_timer()
        return True

    def flushed(self) -> None:
        """Handle the end of a connection whose responses have been sent."""
        self.server.connection_closed(self)

    def drained(self) -> None:
        """Continue a response for which the caller was too slow."""
        if self.exchange is not None and self.exchange.on_drain is not None:
            self.exchange.on_drain()

    def ended(self, error: OSError | None) -> None:
        """Handle a connection that the caller closed or that broke."""
        self.transport.abort() if error else self.transport.close()
        self._stop_timer()
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.notify_aborted('caller_left')
        self.server.connection_closed(self)

    def send(self, event: h11.Event) -> None:
        """Send a part of a response."""
        data = self.parser.send(event)
        if data:
            self.transport.send(data)

    def finish_response(self) -> None:
        """Complete the current response and read the next request."""
        self.send(h11.EndOfMessage())
        self.exchange = None
        if self.rejected:
            return
        if self.parser.our_state is h11.MUST_CLOSE:
            self._close()
            return
        if self.parser.their_state is not h11.DONE:
            self._close()
            return
        self.parser.start_next_cycle()
        self.limits = self.server.limits
        self._await_head()
        # Deferred, so that a series of pipelined requests cannot recurse.
        self.server.loop.call_soon(self._read_events)

    @property
    def is_awaiting_first_request(self) -> bool:
        """Whether its first request may be on its way."""
        age_ms = self.server.loop.now_ms() - self.opened_ms
        return (
            self.is_idle
            and not self.transport.closed
            and self.request_count == 0
            and age_ms < FIRST_REQUEST_MS
        )

    def close_idle(self) -> None:
        """Close the connection if no request is in progress or expected."""
        if self.is_idle and not self.is_awaiting_first_request:
            self._close()

    def abort(self) -> None:
        """Close the connection with a reset."""
        self._stop_timer()
        self.exchange = None
        self.transport.abort()
        self.server.connection_closed(self)

    def _close(self) -> None:
        self._stop_timer()
        self.transport.close()
        if self.transport.closed:
            self.server.connection_closed(self)

    def _read_events(self) -> None:
        try:
            while self.exchange is None and self.transport.is_open:
                event = self.parser.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                self._handle_event(event)
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint, str(error))

    def _handle_event(self, event: h11.Event) -> None:
        match event:
            case h11.Request():
                self._begin_request(event)
            case h11.Data():
                self.body += event.data
                if len(self.body) > self.limits.body_bytes:
                    self._reject(413, 'the body is over the limit')
            case h11.EndOfMessage():
                self._complete_request()
            case h11.ConnectionClosed():
                self._close()

    def _begin_request(self, head: h11.Request) -> None:
        self.head = head
        self.head_ms = self.server.loop.now_ms()
        self.body = bytearray()
        # The header timeout does not apply to the body.
        self._stop_timer()
        self._start_timer(self.limits.idle_timeout_ms)
        found = dict(head.headers)
        if b'transfer-encoding' in found and b'content-length' in found:
            raise h11.RemoteProtocolError('two framings of one body')
        if int(found.get(b'content-length', 0)) > self.limits.body_bytes:
            self._reject(413, 'the body is over the limit')
            return
        if self.parser.they_are_waiting_for_100_continue:
            self.send(h11.InformationalResponse(status_code=100, headers=[]))

    def _complete_request(self) -> None:
        self._stop_timer()
        head, self.head = self.head, None
        names = {name for name, _ in head.headers}
        request = CallerRequest(
            method=head.method,
            target=head.target,
            headers=list(head.headers),
            raw_headers=list(head.headers.raw_items()),
            body=bytes(self.body),
            received_ms=self.head_ms,
            has_body=bool(names & {b'content-length', b'transfer-encoding'}),
        )
        self.body = bytearray()
        self.request_count += 1
        self.exchange = Exchange(self, request)
        self._dispatch(self.exchange)

    def _dispatch(self, exchange: Exchange) -> None:
        """Pass a request to the server; an exception resets the connection.

        The caller learns at once that no response will come, but not
        whether the request was executed.
        """
        try:
            self.server.handle(exchange)
        except Exception as error:
            logs.exception('request_failed', error)
            exchange.is_over = True
            self.abort()

    def _reject(self, status: int, reason: str) -> None:
        """Respond to a malformed request, then close the connection."""
        if self.rejected:
            return
        logs.warning('request_rejected', status=status, why=reason)
        self.rejected = True
        self._stop_timer()
        if self.parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = msgspec.json.encode(
                {
                    'error': {
                        'type': 'invalid_request',
                        'message': reason,
                        'remedy': 'correct the request and send it anew',
                        'outcome': states.Outcome.INVALID.value,
                    }
                }
            )
            headers = [
                (b'Content-Type', b'application/json'),
                (b'Content-Length', str(len(body)).encode('ascii')),
                (b'Connection', b'close'),
            ]
            self.send(
                h11.Response(status_code=status, headers=headers, reason=b'')
            )
            self.send(h11.Data(data=body))
            self.send(h11.EndOfMessage())
        # Keeps reading for a while: closing with unread bytes sends a
        # reset, which may discard the response.
        self.server.loop.call_later(LINGER_MS, self._close)

    def _await_head(self) -> None:
        if self.parser.trailing_data[0]:
            self._await_rest_of_head()
            return
        self._stop_timer()
        self.awaiting_first_byte = True
        self._start_timer(self.limits.idle_timeout_ms * IDLE_TIMEOUT_FACTOR)

    def _await_rest_of_head(self) -> None:
        self._stop_timer()
        self.awaiting_first_byte = False
        self._start_timer(self.limits.header_timeout_ms)

    def _start_timer(self, delay_ms: float) -> None:
        self.timer = self.server.loop.call_later(delay_ms, self._timed_out)

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _timed_out(self) -> None:
        self.timer = None
        if self.exchange is not None or self.transport.closed:
            return
        if self.parser.trailing_data[0] or self.head is not None:
            self._reject(408, 'the request took too long to come')
        else:
            self._close()
