"""Caller connections: HTTP/1.1 requests and their responses, in order."""

import enum
import socket

import h11

from eelgrassknot.forwarding import caller_memory
from eelgrassknot.forwarding import connection as connections
from eelgrassknot.forwarding import exchange as exchanges
from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import model
from eelgrassknot.forwarding import rejection as rejections
from eelgrassknot.forwarding import request_reader
from eelgrassknot import logs

__all__ = ['CallerConnection', 'DEFAULT_LIMITS', 'Exchange']

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
TURN_MS = 100.0
"""How often a request that waits to be parsed is checked for its time; ms."""
READ_AHEAD_BYTES = 16_384
"""What is read of further requests while one is served; the size of a read
and of the largest head."""
UNREAD_BYTES = 65_536
"""Unsent bytes of responses above which no further request is begun."""

Exchange = exchanges.Exchange


class Pause(enum.Enum):
    """Why bytes of a caller are left in the kernel."""

    MEMORY = 'memory'
    AHEAD = 'ahead'
    TURN = 'turn'


class CallerConnection(connections.Handler):
    """A connection on which one caller sends requests.

    Args:
        server: Server that handles the requests.
        stream: The accepted socket.

    Attributes:
        opened_ms: When the connection was accepted.
        request_count: Number of complete requests received so far.
    """

    def __init__(
        self, server: exchanges.Server, stream: socket.socket
    ) -> None:
        self.server = server
        self.opened_ms = server.loop.now_ms()
        self.request_count = 0
        self.limits = server.limits
        self.reader = request_reader.RequestReader(self.limits)
        self.exchange: exchanges.Exchange | None = None
        self.timer: loops.Timer | None = None
        self.rejected = False
        self.awaiting_first_byte = False
        self.pauses: frozenset[Pause] = frozenset()
        self.transport = connections.Connection.accepted(
            server.loop, stream, self
        )
        self.transport.read_bytes = READ_AHEAD_BYTES
        self.holding = server.memory.open(self, self.opened_ms)
        self._await_head()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered, or has arrived."""
        return self.exchange is None and not self.reader.has_begun

    @property
    def has_pipelined_bytes(self) -> bool:
        """Whether bytes of a request that has yet to be read have arrived.

        Such a request must not follow a response with Connection: close,
        after which no request is processed.
        """
        return bool(self.reader.unparsed)

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether a part of a response has yet to be sent."""
        return bool(self.transport.send_buffer) and not self.transport.closed

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that the caller has yet to read."""
        return len(self.transport.send_buffer)

    @property
    def address(self) -> str:
        """The caller's address."""
        return self.transport.peer_address

    # Callbacks of the transport

    def received(self, data: bytes) -> None:
        """Parse bytes from the caller."""
        # A request that comes while the connection is closing is not read;
        # its response could not be sent.
        if self.rejected or not self.transport.is_open:
            return
        self.reader.add(data)
        if self.exchange is None:
            if self.awaiting_first_byte:
                self._await_rest_of_head()
            self._read_on()
        else:
            self.account()

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
        self._closed()

    def drained(self) -> None:
        """Continue a response for which the caller was too slow."""
        self.transport.drained_bytes = connections.CONGESTED_BYTES
        if self.exchange is None:
            self._await_head()
            self._read_on()
        elif self.exchange.on_drain is not None:
            self.exchange.on_drain()

    def ended(self, error: OSError | None) -> None:
        """Handle a connection that the caller closed or that broke."""
        self.transport.abort() if error else self.transport.close()
        self._stop_timer()
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.notify_aborted('caller_left')
        self._closed()

    # Callbacks of the accounting

    def wait(self) -> None:
        """Stop reading until memory is available."""
        self._pause(Pause.MEMORY, True)

    def go_on(self) -> None:
        """Read on after a wait."""
        self._pause(Pause.MEMORY, False)

    def give_up(self, relief: caller_memory.Relief) -> None:
        """Refuse the request that is being read, or close."""
        has_request = self.exchange is not None or self.reader.has_begun
        self.exchange = None
        if self.has_unsent_bytes:
            self.abort()
            return
        if has_request:
            self._reject(rejections.UNAVAILABLE, f'no room: {relief.value}')
        if not has_request or relief is caller_memory.Relief.DESCRIPTORS:
            self._close()

    # Responses

    def send(self, event: h11.Event) -> None:
        """Send a part of a response."""
        data = self.reader.parser.send(event)
        if data:
            self.transport.send(data)

    def finish_response(self) -> None:
        """Complete the current response and read the next request."""
        self.send(h11.EndOfMessage())
        self.exchange = None
        if self.rejected:
            return
        if not self.reader.is_reusable:
            self._close()
            return
        self.limits = self.server.limits
        self.reader.start_next(self.limits)
        self._await_head()
        self.account()
        if self.reader.unparsed:
            # Deferred, so that pipelined requests cannot recurse.
            self.server.loop.call_soon(self._read_on)

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
        self._closed()

    def _close(self) -> None:
        self._stop_timer()
        self.transport.close()
        if self.transport.closed:
            self._closed()

    def _closed(self) -> None:
        self.server.memory.close(self.holding, self.server.loop.now_ms())
        self.server.connection_closed(self)

    # Requests

    def _read_on(self) -> None:
        """Parse what has come, unless the caller or others go first."""
        if self._is_busy or Pause.TURN in self.pauses:
            return
        if self.unsent_bytes > UNREAD_BYTES:
            # The caller is to read its responses first.
            self._stop_timer()
            self.transport.drained_bytes = UNREAD_BYTES
            self.transport.awaits_drain = True
            self.account()
        elif self.reader.is_costly:
            self._pause(Pause.TURN, True)
            self.server.loop.call_in_turn(self._take_turn)
            self.account()
        else:
            self._parse()

    @property
    def _is_busy(self) -> bool:
        return (
            self.exchange is not None
            or self.rejected
            or not self.transport.is_open
        )

    def _take_turn(self) -> None:
        self._pause(Pause.TURN, False)
        if not self._is_busy:
            self._parse()

    def _parse(self) -> None:
        had_head = self.reader.head is not None
        try:
            request = self.reader.read(self.server.loop.now_ms())
        except request_reader.RejectedError as error:
            self._reject(error.status, str(error))
            return
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint, str(error))
            return
        if request is not None:
            self._complete_request(request)
            return
        if self.reader.head is not None and not had_head:
            # The header timeout does not apply to the body.
            self._start_timer(self.limits.idle_timeout_ms)
            self.transport.read_bytes = self.reader.read_bytes
            if self.reader.parser.they_are_waiting_for_100_continue:
                self.send(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
        self.account()

    def _complete_request(self, request: exchanges.CallerRequest) -> None:
        self._stop_timer()
        self.transport.read_bytes = READ_AHEAD_BYTES
        self.request_count += 1
        self.exchange = exchanges.Exchange(self, request)
        self.account()
        if not self.server.memory.refuses(self.holding):
            self._dispatch(self.exchange)

    def _dispatch(self, exchange: exchanges.Exchange) -> None:
        """Pass a request to the server; an exception resets the connection.

        The caller learns at once that no response will come, but not
        whether the request was executed. What serves the request is told,
        so that it cancels what it has sent and releases what it holds.
        """
        try:
            self.server.handle(exchange)
        except Exception as error:
            logs.exception('request_failed', error)
            try:
                exchange.notify_aborted('internal_error')
            finally:
                self.abort()

    def account(self) -> None:
        """Report what is held, and read ahead only a little."""
        reader, exchange = self.reader, self.exchange
        held = reader.held_bytes
        phase = caller_memory.Phase.IDLE
        if exchange is not None:
            phase = caller_memory.Phase.RUNNING
            held += exchange.memory_bytes
        elif self.rejected:
            phase = caller_memory.Phase.LEAVING
        elif reader.has_begun:
            phase = caller_memory.Phase.READING
        self._pause(Pause.AHEAD, len(reader.unparsed) >= READ_AHEAD_BYTES)
        self.server.memory.update(
            self.holding,
            held,
            reader.missing_bytes,
            phase,
            self.server.loop.now_ms(),
        )

    def _pause(self, reason: Pause, applies: bool) -> None:
        pauses = self.pauses | {reason} if applies else self.pauses - {reason}
        if pauses == self.pauses:
            return
        self.pauses = pauses
        if pauses:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def _reject(self, status: int, reason: str) -> None:
        """Respond to a request that is not served, then close."""
        if self.rejected:
            return
        if status != rejections.UNAVAILABLE:
            logs.warning('request_rejected', status=status, why=reason)
        self.rejected = True
        self._stop_timer()
        if self.reader.parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            for event in rejections.response(status, reason):
                self.send(event)
        self.reader.discard()
        self.pauses = frozenset()
        # Also if the caller has left, which the loop has yet to report: the
        # accounting would refuse others for what is no longer held.
        self.account()
        if self.transport.closed:
            return
        self.transport.resume_reading()
        # Keeps reading for a while: closing with unread bytes sends a
        # reset, which may discard the response.
        self.server.loop.call_later(LINGER_MS, self._close)

    # Timeouts

    def _await_head(self) -> None:
        if self.reader.unparsed:
            self._await_rest_of_head()
            return
        self.awaiting_first_byte = True
        self._start_timer(self.limits.idle_timeout_ms * IDLE_TIMEOUT_FACTOR)

    def _await_rest_of_head(self) -> None:
        self.awaiting_first_byte = False
        self._start_timer(self.limits.header_timeout_ms)

    def _start_timer(self, delay_ms: float) -> None:
        self._stop_timer()
        self.timer = self.server.loop.call_later(delay_ms, self._timed_out)

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _timed_out(self) -> None:
        self.timer = None
        if self.exchange is not None or self.transport.closed:
            return
        if Pause.TURN in self.pauses:
            # What the caller has sent has yet to be parsed.
            self._start_timer(TURN_MS)
        elif self.reader.has_begun:
            self._reject(408, 'the request took too long to come')
        else:
            self._close()
