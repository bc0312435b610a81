"""Connections to upstreams, and one attempt of a request on one of them."""

import collections
import collections.abc
import enum

import h11

from eelgrassknot.forwarding import connection as connections
from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import metrics
from eelgrassknot import ids
from eelgrassknot import logs

__all__ = ['Attempt', 'AttemptListener', 'Fault', 'UpstreamLinks']

CONNECT_TIMEOUT_MS = 600.0
"""Longest wait for a new connection; ms. Ten round trips between regions."""
IDLE_MS = 8_000.0
"""Longest time a connection to an upstream is kept unused; ms."""
IDLE_SHARE = 0.8
"""Part of the upstream's own Keep-Alive time that is used."""
PROVEN_IDLE_MS = 1_000.0
"""A connection unused for longer may have been dropped unseen; ms."""
MAX_IDLE_EACH = 16
MAX_HEAD_BYTES = 65_536

Headers = list[tuple[bytes, bytes]]


class Fault(enum.Enum):
    """Why an attempt failed."""

    NOT_CONNECTED = 'not_connected'
    BROKEN = 'broken'
    MALFORMED = 'malformed'


class AttemptListener:
    """Is told how an attempt goes; each method may be left out."""

    def answer_started(
        self, attempt: 'Attempt', status: int, headers: Headers
    ) -> None:
        """The head of the answer has come."""

    def answer_data(self, attempt: 'Attempt', data: bytes) -> None:
        """A part of the body has come."""

    def answer_ended(self, attempt: 'Attempt') -> None:
        """The answer is complete."""

    def attempt_failed(
        self, attempt: 'Attempt', fault: Fault, bytes_left: bool
    ) -> None:
        """No answer, or no more of it, will come."""


class _Link(connections.Handler):
    """One connection to an upstream; serves one attempt at a time."""

    def __init__(self, links: 'UpstreamLinks', address: str) -> None:
        self.links = links
        self.address = address
        self.attempt: Attempt | None = None
        self.idle_since_ms = 0.0
        self.keep_ms = IDLE_MS
        self.is_new = True
        self.connection = connections.Connection.opened(
            links.loop, address, self
        )

    def connected(self) -> None:
        if self.attempt is not None:
            self.attempt.linked()

    def received(self, data: bytes) -> None:
        if self.attempt is not None:
            self.attempt.received(data)
        else:
            # Bytes that belong to no request.
            self.links.drop(self)

    def ended(self, error: OSError | None) -> None:
        self.links.forget(self)
        if self.attempt is not None:
            self.attempt.link_ended(error)


class UpstreamLinks:
    """Keeps the connections to all upstreams.

    Args:
        loop: The loop that serves them.

    Attributes:
        idle: Connections that are kept for later, by address.
    """

    def __init__(self, loop: loops.EventLoop) -> None:
        self.loop = loop
        self.idle: dict[str, list[_Link]] = collections.defaultdict(list)

    def acquire(self, address: str, proven: bool) -> _Link:
        """Return a connection, a new one if no kept one will do.

        Args:
            address: ``IP:port`` of the upstream.
            proven: Whether a kept one must have been used of late.
        """
        now_ms = self.loop.now_ms()
        kept = self.idle.get(address, [])
        while kept:
            link = kept.pop()
            unused_ms = now_ms - link.idle_since_ms
            limit_ms = link.keep_ms
            if proven:
                limit_ms = min(limit_ms, PROVEN_IDLE_MS)
            if unused_ms < limit_ms and not link.connection.closed:
                link.is_new = False
                return link
            link.connection.close()
        metrics.LINKS_OPENED.inc()
        return _Link(self, address)

    def release(self, link: _Link, keep_ms: float) -> None:
        """Keep a connection whose answer is complete for later use."""
        kept = self.idle[link.address]
        if link.connection.closed or len(kept) >= MAX_IDLE_EACH:
            link.connection.close()
            return
        link.attempt = None
        link.idle_since_ms = self.loop.now_ms()
        link.keep_ms = min(IDLE_MS, keep_ms)
        kept.append(link)

    def drop(self, link: _Link) -> None:
        """Close a connection that cannot be used again."""
        self.forget(link)
        link.connection.abort()

    def forget(self, link: _Link) -> None:
        """Take a connection out of those kept."""
        kept = self.idle.get(link.address)
        if kept and link in kept:
            kept.remove(link)

    def forget_address(self, address: str) -> None:
        """Close all kept connections to an upstream that has gone."""
        for link in self.idle.pop(address, []):
            link.connection.close()


class Attempt:
    """One request sent to one upstream, and the answer to it.

    Args:
        links: Where connections come from.
        request: Identifier that the answer must echo.
        address: ``IP:port`` of the upstream.
        listener: Is told how it goes.
        build: Returns the head when it is sent, with the time that is
            left then.
        body: The request's body, or None.
        answered_request: Reads the echoed identifier from headers.
        proven: Whether only a new or recently used connection will do.

    Attributes:
        sent_at_ms: When its first byte left, or None.
        over: Whether nothing more will be told.
        new_link: Whether it opened a connection.
    """

    def __init__(
        self,
        links: UpstreamLinks,
        request: ids.RequestId | None,
        address: str,
        listener: AttemptListener,
        build: collections.abc.Callable[[], h11.Request],
        body: bytes | None,
        answered_request: collections.abc.Callable[
            [Headers], ids.RequestId | None
        ],
        proven: bool,
    ) -> None:
        self.links = links
        self.request = request
        self.listener = listener
        self.build = build
        self.body = body
        self.answered_request = answered_request
        self.parser: h11.Connection | None = None
        self.head: h11.Request | None = None
        self.over = False
        self.skipping = False
        self.keep_ms = IDLE_MS
        self.sent_at_ms: float | None = None
        self.timer: loops.Timer | None = None
        self.link = links.acquire(address, proven)
        self.link.attempt = self
        self.new_link = self.link.is_new
        if self.link.connection.connecting:
            self.timer = links.loop.call_later(
                CONNECT_TIMEOUT_MS, self._connect_timed_out
            )
        else:
            self.linked()

    @property
    def bytes_left(self) -> bool:
        """Whether any byte of the request may have left."""
        return self.sent_at_ms is not None

    def linked(self) -> None:
        """Send the request: the connection is there."""
        if self.over:
            return
        self._stop_timer()
        self.parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self.head = self.build()
        self.sent_at_ms = self.links.loop.now_ms()
        data = self.parser.send(self.head)
        if self.body:
            data += self.parser.send(h11.Data(data=self.body))
        data += self.parser.send(h11.EndOfMessage())
        self.link.connection.send(data)

    def received(self, data: bytes) -> None:
        """Take in bytes of the upstream."""
        self.parser.receive_data(data)
        self._read_events()

    def link_ended(self, error: OSError | None) -> None:
        """Take in that the connection has ended."""
        if self.over:
            return
        if self.parser is None:
            self._fail(Fault.NOT_CONNECTED)
            return
        if error is None:
            # The end of a body without length, or a cut, as h11 judges.
            self.parser.receive_data(b'')
            self._read_events()
        if not self.over:
            self._fail(Fault.BROKEN)

    def cancel(self) -> None:
        """End the attempt; the upstream sees its connection closed."""
        if self.over:
            return
        self.over = True
        self._stop_timer()
        self.links.drop(self.link)

    def _read_events(self) -> None:
        try:
            while not self.over:
                event = self.parser.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                self._take(event)
        except h11.RemoteProtocolError as error:
            if self.link.connection.closed:
                # The upstream broke off; there is no more to its answer.
                self._fail(Fault.BROKEN)
                return
            logs.warning(
                'answer_malformed', request=self.request, why=str(error)
            )
            self._fail(Fault.MALFORMED)

    def _take(self, event: h11.Event) -> None:
        match event:
            case h11.Response():
                self._take_head(event)
            case h11.Data():
                if not self.skipping:
                    self.listener.answer_data(self, bytes(event.data))
            case h11.EndOfMessage():
                if self.skipping:
                    self._read_next_answer()
                else:
                    self._complete()
            case h11.ConnectionClosed():
                self._fail(Fault.BROKEN)

    def _take_head(self, head: h11.Response) -> None:
        headers = list(head.headers)
        echoed = self.answered_request(headers)
        # A late second answer to an earlier request on this connection.
        self.skipping = (
            echoed is not None
            and self.request is not None
            and echoed != self.request
        )
        if self.skipping:
            logs.warning(
                'answer_skipped', request=self.request, belongs_to=echoed
            )
            return
        self.keep_ms = _keep_alive_ms(headers)
        self.listener.answer_started(
            self, head.status_code, list(head.headers.raw_items())
        )

    def _read_next_answer(self) -> None:
        """Wait for the own answer behind one that belongs elsewhere."""
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
        self.skipping = False
        if rest:
            self.parser.receive_data(rest)

    def _complete(self) -> None:
        self.over = True
        reusable = (
            self.parser.our_state is h11.DONE
            and self.parser.their_state is h11.DONE
            and not self.parser.trailing_data[0]
            and not self.link.connection.unsent
            and self.keep_ms > 0
        )
        if reusable:
            self.links.release(self.link, self.keep_ms)
        else:
            self.link.connection.close()
        self.listener.answer_ended(self)

    def _fail(self, fault: Fault) -> None:
        self.over = True
        self._stop_timer()
        self.links.drop(self.link)
        self.listener.attempt_failed(self, fault, self.bytes_left)

    def _connect_timed_out(self) -> None:
        self.timer = None
        if not self.over and self.parser is None:
            self._fail(Fault.NOT_CONNECTED)

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


def _keep_alive_ms(headers: Headers) -> float:
    """Return how long the upstream keeps its connection open unused."""
    found = dict(headers)
    if b'close' in found.get(b'connection', b'').lower():
        return 0.0
    for parameter in found.get(b'keep-alive', b'').split(b','):
        name, _, value = parameter.strip().partition(b'=')
        if name.lower() == b'timeout' and value.strip().isdigit():
            return int(value) * 1_000.0 * IDLE_SHARE
    return IDLE_MS
