"""Connection pool for upstreams, and attempts on its connections."""

import collections
import collections.abc
import enum

import h11

from eelgrassknot import decoding
from eelgrassknot.forwarding import connection as connections
from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import metrics
from eelgrassknot.forwarding import response_framing
from eelgrassknot import ids
from eelgrassknot import logs

__all__ = [
    'Attempt',
    'AttemptListener',
    'ConnectionPool',
    'Fault',
    'MAX_BUFFERED_BYTES',
]

CONNECT_TIMEOUT_MS = 600.0
"""Timeout for a new connection; ms. Ten round trips between regions."""
IDLE_MS = 8_000.0
"""Maximum time for which an idle connection is kept; ms."""
KEEP_ALIVE_FRACTION = 0.8
"""Fraction of the upstream's own Keep-Alive timeout that is used."""
FRESH_IDLE_MS = 1_000.0
"""Idle time after which a connection may have been dropped unnoticed; ms."""
MAX_IDLE_PER_UPSTREAM = 16
MAX_HEAD_BYTES = 65_536
MAX_BUFFERED_BYTES = 262_144
"""Maximum bytes of a response, or of one event of a stream, that are kept
until it is complete, and of what precedes a response on its connection."""
PIECES_PER_READ = 32
"""Number of pieces of a response that are handled when they are received."""
PIECES_PER_TURN = 64
"""Number of pieces that are handled in a turn of a response that has more."""
HEADERS_PER_PIECE = 8
"""Number of header fields that count as one piece."""
LOGGED_TURN = 100
"""Turn at which a response is logged."""
COSTLY_HEAD_BYTES = 4_096
"""A longer head is parsed in a turn."""
MAX_PRECEDING_RESPONSES = 16
"""Maximum number of responses that precede the one to a request: interim
ones, and late ones to earlier requests on the connection."""

MAX_JOINED_BYTES = 65_536
"""A longer request is sent in parts: joined, it would be in memory twice."""
MAX_KEPT_LINES = 64
"""Lines of a head above which only those that frame the body are kept."""
_FRAMING_NAMES = frozenset(
    [b'host', b'connection', b'content-length', b'transfer-encoding']
)

Headers = list[tuple[bytes, bytes]]


class Fault(enum.Enum):
    """Why an attempt failed."""

    NOT_CONNECTED = 'not_connected'
    BROKEN = 'broken'
    MALFORMED = 'malformed'
    WITHHELD = 'withheld'
    UNSENDABLE = 'unsendable'


class AttemptListener:
    """Callbacks of an attempt; all methods are optional."""

    def request_sent(self, attempt: 'Attempt') -> None:
        """Called when the request is passed to the connection.

        That may be within the constructor of the attempt.
        """

    def response_started(
        self, attempt: 'Attempt', status: int, headers: Headers
    ) -> None:
        """Called with the head of the response."""

    def response_data(self, attempt: 'Attempt', data: bytes) -> None:
        """Called with a part of the body."""

    def handle_next_event(self, attempt: 'Attempt') -> bool:
        """Called until it has handled all events of a part of the body.

        Returns:
            Whether there was one.
        """
        return False

    def response_completed(self, attempt: 'Attempt') -> None:
        """Called when the response is complete."""

    def attempt_failed(
        self, attempt: 'Attempt', fault: Fault, bytes_left: bool
    ) -> None:
        """Called when no response, or no more of it, will come."""


_NO_LISTENER = AttemptListener()


class _PooledConnection(connections.Handler):
    """One connection to an upstream; used by one attempt at a time."""

    def __init__(self, pool: 'ConnectionPool', address: str) -> None:
        self.pool = pool
        self.address = address
        self.attempt: Attempt | None = None
        self.idle_since_ms = 0.0
        self.keep_ms = IDLE_MS
        self.is_new = True
        self.connection = connections.Connection.opened(
            pool.loop, address, self
        )

    def connected(self) -> None:
        if self.attempt is not None:
            self.attempt.connection_ready()

    def received(self, data: bytes) -> None:
        if self.attempt is not None and not self.attempt.is_over:
            self.attempt.received(data)
        else:
            # These bytes belong to no request.
            self.pool.drop(self)

    def ended(self, error: OSError | None) -> None:
        self.pool.remove(self)
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            attempt.connection_ended(error)


class ConnectionPool:
    """Pool of the connections to all upstreams.

    Args:
        loop: Event loop that serves the connections.

    Attributes:
        idle: Idle connections by address.
    """

    def __init__(self, loop: loops.EventLoop) -> None:
        self.loop = loop
        self.idle: dict[str, list[_PooledConnection]] = (
            collections.defaultdict(list)
        )

    def acquire(
        self,
        address: str,
        require_fresh: bool,
        excluded: collections.abc.Collection[_PooledConnection] = (),
    ) -> _PooledConnection:
        """Return an idle connection, or a new one if none is suitable.

        Args:
            address: ``IP:port`` of the upstream.
            require_fresh: Whether an idle connection must have been used
                recently.
            excluded: Connections that must not be used.
        """
        now_ms = self.loop.now_ms()
        kept = self.idle.get(address, [])
        candidates = [pooled for pooled in kept if pooled not in excluded]
        while candidates:
            pooled = candidates.pop()
            kept.remove(pooled)
            unused_ms = now_ms - pooled.idle_since_ms
            limit_ms = pooled.keep_ms
            if require_fresh:
                limit_ms = min(limit_ms, FRESH_IDLE_MS)
            if unused_ms < limit_ms and not pooled.connection.closed:
                pooled.is_new = False
                return pooled
            pooled.connection.close()
        metrics.CONNECTIONS_OPENED.inc()
        return _PooledConnection(self, address)

    def release(self, pooled: _PooledConnection, keep_ms: float) -> None:
        """Return a connection to the pool after a complete response."""
        kept = self.idle[pooled.address]
        if pooled.connection.closed or len(kept) >= MAX_IDLE_PER_UPSTREAM:
            pooled.connection.close()
            return
        pooled.attempt = None
        pooled.connection.resume_reading()
        pooled.idle_since_ms = self.loop.now_ms()
        pooled.keep_ms = min(IDLE_MS, keep_ms)
        kept.append(pooled)

    def drop(self, pooled: _PooledConnection) -> None:
        """Close a connection that cannot be reused."""
        self.remove(pooled)
        pooled.attempt = None
        pooled.connection.abort()

    def remove(self, pooled: _PooledConnection) -> None:
        """Remove a connection from the idle ones."""
        kept = self.idle.get(pooled.address)
        if kept and pooled in kept:
            kept.remove(pooled)

    def close_address(self, address: str) -> None:
        """Close the idle connections to an upstream that has gone."""
        for pooled in self.idle.pop(address, []):
            pooled.connection.close()


class Attempt:
    """One request sent to one upstream, and its response.

    The response is handled in pieces: the events of the HTTP parser, and the
    events of a stream in the parts of its body. Many pieces that are received
    at once are spread over several iterations of the loop.

    Once it is over, it refers neither to the request nor to its driver, which
    may keep it for the log.

    Args:
        pool: Pool that provides the connection.
        request: Request ID that the response must echo.
        address: ``IP:port`` of the upstream.
        listener: Receives the callbacks.
        build_head: Called at send time; returns the head with the time
            that remains then.
        body: Body of the request, or None.
        echoed_request_id: Decodes the echoed request ID from the headers.
        require_fresh: Whether the connection must be new or recently used.
        earlier: Connections that carried earlier attempts of the request.
            A late copy of the response to one of those would look like the
            response to this one.
        echoes_id: Whether the upstream echoes the request ID in its response.
        may_send: Returns whether the request may still be sent, once the
            connection is ready.

    Attributes:
        started_ms: When the connection was requested.
        sent_at_ms: When the first byte was sent, or None.
        is_over: Whether the attempt has ended; no callbacks follow.
        has_received_bytes: Whether any byte came after the request was sent.
        response_started: Whether the head of the response has come.
        preceding_bytes: Bytes received until that head was complete.
        preceding_responses: Number of interim responses and of responses
            to other requests before that head.
        is_new_connection: Whether the attempt opened a connection.
        framing: Framing of the response, or None before its head.
        connection_end: How the upstream ended the connection, or None.
        is_paused: Whether the caller has to read what was forwarded first.
        is_waiting: Whether received pieces wait for a turn of the loop.
        turns: Number of turns that the response has taken.
        is_end_parsed: Whether the parser knows of the connection's end.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        request: ids.RequestId | None,
        address: str,
        listener: AttemptListener,
        build_head: collections.abc.Callable[[], h11.Request],
        body: bytes | bytearray | None,
        echoed_request_id: collections.abc.Callable[
            [Headers], ids.RequestId | None
        ],
        require_fresh: bool,
        earlier: collections.abc.Collection[_PooledConnection] = (),
        echoes_id: bool = True,
        may_send: collections.abc.Callable[[], bool] = lambda: True,
    ) -> None:
        self.pool = pool
        self.request = request
        self.listener = listener
        self.build_head = build_head
        self.body = body
        self.echoed_request_id = echoed_request_id
        self.echoes_id = echoes_id
        self.may_send = may_send
        self.parser: h11.Connection | None = None
        self.head: h11.Request | None = None
        self.is_over = False
        self.is_skipping = False
        self.has_received_bytes = False
        self.response_started = False
        self.framing: response_framing.Framing | None = None
        self.connection_end: response_framing.ConnectionEnd | None = None
        self.is_end_parsed = False
        self.is_paused = False
        self.is_waiting = False
        self.turns = 0
        self.preceding_bytes = 0
        self.preceding_responses = 0
        self.keep_ms = IDLE_MS
        self.started_ms = pool.loop.now_ms()
        self.sent_at_ms: float | None = None
        self.timer: loops.Timer | None = None
        self.pooled = pool.acquire(address, require_fresh, earlier)
        self.pooled.attempt = self
        self.is_new_connection = self.pooled.is_new
        if self.pooled.connection.connecting:
            self.timer = pool.loop.call_later(
                CONNECT_TIMEOUT_MS, self._connect_timed_out
            )
        else:
            self.connection_ready()

    @property
    def has_sent_bytes(self) -> bool:
        """Whether any byte of the request may have been sent."""
        return self.sent_at_ms is not None

    def end_fields(self) -> dict[str, str | None]:
        """Return log fields on what shows that a response is complete."""
        return {
            'framing': self.framing and self.framing.value,
            'connection': self.connection_end and self.connection_end.value,
        }

    def connection_ready(self) -> None:
        """Send the request on the established connection."""
        if self.is_over:
            return
        self._stop_timer()
        now_ms = self.pool.loop.now_ms()
        if now_ms - self.started_ms > CONNECT_TIMEOUT_MS:
            # The VM was paused. What allowed the request may have expired.
            self._fail(Fault.NOT_CONNECTED)
            return
        if not self.may_send():
            self._fail(Fault.WITHHELD)
            return
        try:
            parts = self._encode_request()
        except Exception as error:
            logs.exception('request_not_encoded', error, request=self.request)
            self.pool.drop(self.pooled)
            # The caller of the constructor has yet to store the attempt.
            self.pool.loop.call_soon(self._report_unsendable)
            return
        self.sent_at_ms = now_ms
        for part in parts:
            self.pooled.connection.send(part)
        self.listener.request_sent(self)

    def _encode_request(self) -> list[bytes | bytearray]:
        """Return the request in the parts in which it is sent."""
        parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        head = self.build_head()
        parts = [parser.send(head)]
        if self.body:
            parts += parser.send_with_data_passthrough(
                h11.Data(data=self.body)
            )
        parts.append(parser.send(h11.EndOfMessage()))
        self.parser, self.head = parser, _shortened(head)
        if sum(map(len, parts)) <= MAX_JOINED_BYTES:
            return [b''.join(parts)]
        return parts

    def _report_unsendable(self) -> None:
        if not self.is_over:
            self._fail(Fault.UNSENDABLE)

    def received(self, data: bytes) -> None:
        """Parse bytes from the upstream."""
        self.has_received_bytes = True
        self.parser.receive_data(data)
        if not self.response_started:
            self.preceding_bytes += len(data)
        if not self._is_held:
            self._handle_received()

    def reject(self, reason: str) -> None:
        """Fail the attempt, because the upstream's bytes are no response."""
        if self.is_over:
            return
        logs.warning('answer_malformed', request=self.request, why=reason)
        self._fail(Fault.MALFORMED)

    def connection_ended(self, error: OSError | None) -> None:
        """Handle the end of the connection."""
        if self.is_over:
            return
        if self.parser is None:
            self._fail(Fault.NOT_CONNECTED)
            return
        self.connection_end = (
            response_framing.ConnectionEnd.CLOSED
            if error is None
            else response_framing.ConnectionEnd.RESET
        )
        if not self._is_held:
            self._handle_connection_end()

    def pause_reading(self) -> None:
        """Handle no more of the response, and leave the rest in the kernel."""
        self.is_paused = True
        self._update_reading()

    def resume_reading(self) -> None:
        """Go on with the response unless the attempt has ended."""
        self.is_paused = False
        if not self.is_over:
            self._await_turn()

    def cancel(self) -> None:
        """Abort the attempt and close its connection to the upstream."""
        if self.is_over:
            return
        self._end()
        self.pool.drop(self.pooled)

    @property
    def _is_held(self) -> bool:
        """Whether received pieces wait for the caller or for a turn."""
        return self.is_paused or self.is_waiting

    def _handle_received(self) -> None:
        """Handle received pieces, or leave them to a turn of the loop."""
        if self._is_head_costly:
            self._await_turn()
        else:
            self._handle_pieces(PIECES_PER_READ)

    @property
    def _is_head_costly(self) -> bool:
        return (
            not self.response_started
            and self.preceding_bytes > COSTLY_HEAD_BYTES
        )

    def _await_turn(self) -> None:
        """Handle the next pieces in a turn of the loop."""
        if not self.is_waiting:
            self.is_waiting = True
            self.pool.loop.call_in_turn(self._take_turn)
        self._update_reading()

    def _take_turn(self) -> None:
        self.is_waiting = False
        if self.is_over or self.is_paused:
            return
        self._count_turn()
        self._handle_pieces(PIECES_PER_TURN)

    def _count_turn(self) -> None:
        self.turns += 1
        metrics.RESPONSE_TURNS.inc()
        if self.turns == LOGGED_TURN:
            logs.warning(
                'response_in_many_pieces',
                request=self.request,
                address=self.pooled.address,
            )

    def _update_reading(self) -> None:
        if self._is_held:
            self.pooled.connection.pause_reading()
        else:
            self.pooled.connection.resume_reading()

    def _handle_pieces(self, limit: int) -> None:
        """Handle a number of received pieces; the others await a turn."""
        cost = 0
        while cost < limit:
            piece_cost = self._handle_next_piece()
            if self.is_over or self.is_paused:
                return
            if piece_cost == 0:
                self._handle_drained()
                return
            cost += piece_cost
        self._await_turn()

    def _handle_next_piece(self) -> int:
        """Handle one piece of what has been received.

        Returns:
            What it counts for, or 0 if no complete piece is left.
        """
        if self.listener.handle_next_event(self):
            return 1
        if self.is_over:
            return 0
        try:
            event = self.parser.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return 0
            self._handle_event(event)
        except h11.RemoteProtocolError as error:
            if self.is_end_parsed:
                # The response is truncated, not malformed.
                self._fail(Fault.BROKEN)
            else:
                self.reject(str(error))
            return 0
        if isinstance(event, (h11.InformationalResponse, h11.Response)):
            return 1 + len(event.headers) // HEADERS_PER_PIECE
        return 1

    def _handle_drained(self) -> None:
        """Read on, as all received pieces have been handled."""
        if (
            not self.response_started
            and self.preceding_bytes > MAX_BUFFERED_BYTES
        ):
            self.reject('too many bytes precede the response')
        elif self.connection_end is not None:
            self._handle_connection_end()
        else:
            self._update_reading()

    def _handle_connection_end(self) -> None:
        if self.connection_end is response_framing.ConnectionEnd.CLOSED:
            # h11 decides whether this ends a body without a length or
            # truncates the response.
            self.is_end_parsed = True
            self.parser.receive_data(b'')
            while self._handle_next_piece():
                if self.is_over:
                    return
        if not self.is_over:
            self._fail(Fault.BROKEN)

    def _handle_event(self, event: h11.Event) -> None:
        match event:
            case h11.InformationalResponse():
                self._count_preceding_response()
            case h11.Response():
                self._handle_head(event)
            case h11.Data():
                if not self.is_skipping:
                    self.listener.response_data(self, bytes(event.data))
            case h11.EndOfMessage():
                if self.is_skipping:
                    self._await_next_response()
                else:
                    self._finish()
            case h11.ConnectionClosed():
                self._fail(Fault.BROKEN)

    def _handle_head(self, head: h11.Response) -> None:
        headers = list(head.headers)
        echoed = self.echoed_request_id(headers)
        self.is_skipping = not self._is_own_response(echoed)
        if self.is_skipping:
            logs.warning(
                'answer_skipped', request=self.request, belongs_to=echoed
            )
            self._count_preceding_response()
            return
        if not decoding.is_http_status(head.status_code):
            self.reject(f'{head.status_code} is no HTTP status')
            return
        self.response_started = True
        self.framing = response_framing.framing_of(head)
        self.keep_ms = _keep_alive_ms(headers)
        self.listener.response_started(
            self, head.status_code, list(head.headers.raw_items())
        )

    def _is_own_response(self, echoed: ids.RequestId | None) -> bool:
        """Return whether a response belongs to this attempt.

        A late duplicate of the response to an earlier request on the
        connection doesn't. Without an ID, only the first response on a
        connection can be told from such a duplicate.
        """
        if echoed is not None and self.request is not None:
            return echoed == self.request
        return self.is_new_connection or not self.echoes_id

    def _count_preceding_response(self) -> None:
        self.preceding_responses += 1
        if self.preceding_responses > MAX_PRECEDING_RESPONSES:
            self.reject('too many responses precede the response')

    def _await_next_response(self) -> None:
        """Read on after a skipped response to another request."""
        rest, _closed = self.parser.trailing_data
        if self.parser.their_state is not h11.DONE:
            self._fail(Fault.BROKEN)
            return
        self.parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self.parser.send(self.head)
        if self.body:
            self.parser.send(h11.Data(data=self.body))
        self.parser.send(h11.EndOfMessage())
        self.is_skipping = False
        if rest:
            self.parser.receive_data(rest)

    def _finish(self) -> None:
        reusable = (
            self.parser.our_state is h11.DONE
            and self.parser.their_state is h11.DONE
            and not self.parser.trailing_data[0]
            and not self.pooled.connection.send_buffer
            and self.keep_ms > 0
        )
        listener = self._end()
        if reusable:
            self.pool.release(self.pooled, self.keep_ms)
        else:
            self.pooled.attempt = None
            self.pooled.connection.close()
        listener.response_completed(self)

    def _fail(self, fault: Fault) -> None:
        listener = self._end()
        self.pool.drop(self.pooled)
        listener.attempt_failed(self, fault, self.has_sent_bytes)

    def _end(self) -> AttemptListener:
        """Release what the request holds; return the listener."""
        self.is_over = True
        self._stop_timer()
        listener, self.listener = self.listener, _NO_LISTENER
        self.parser = self.body = self.head = None
        self.build_head = self.may_send = None
        return listener

    def _connect_timed_out(self) -> None:
        self.timer = None
        if not self.is_over and self.parser is None:
            self._fail(Fault.NOT_CONNECTED)

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


def _shortened(head: h11.Request) -> h11.Request:
    """Return a head that is framed as another one, without its other lines."""
    if len(head.headers) <= MAX_KEPT_LINES:
        return head
    return h11.Request(
        method=head.method,
        target=head.target,
        headers=[pair for pair in head.headers if pair[0] in _FRAMING_NAMES],
    )


def _keep_alive_ms(headers: Headers) -> float:
    """Return how long an idle connection may be kept, from the headers."""
    found = dict(headers)
    if b'close' in found.get(b'connection', b'').lower():
        return 0.0
    for parameter in found.get(b'keep-alive', b'').split(b','):
        name, _, value = parameter.strip().partition(b'=')
        timeout_s = decoding.parse_digits(value.decode('latin-1').strip())
        if name.lower() == b'timeout' and timeout_s is not None:
            return timeout_s * 1_000.0 * KEEP_ALIVE_FRACTION
    return IDLE_MS
