"""Non-blocking TCP connections on the event loop."""

import collections.abc
import errno
import functools
import selectors
import socket
import struct

from eelgrassknot import exceptions
from eelgrassknot.forwarding import loop as loops
from eelgrassknot import logs
from eelgrassknot.settings import vm as vm_settings

__all__ = ['Connection', 'Handler', 'Listener']

READ_BYTES = 65_536
ACCEPT_BATCH = 64
ACCEPT_PAUSE_MS = 100.0
"""Pause after a failure to accept, for want of descriptors; ms."""
BACKLOG = 1_024
MAX_BUFFERED_BYTES = 4_194_304
"""Maximum bytes buffered for a peer that does not read; equals the largest
body allowed."""
CONGESTED_BYTES = 262_144
"""Bytes buffered for a peer from which it is congested if all peers together
use half of what they may."""
FAIR_BYTES = 65_536
"""Bytes that a connection may always buffer, whatever the others do."""
USER_TIMEOUT_MS = 4_000
"""TCP_USER_TIMEOUT: unacknowledged bytes close a connection after this
time; ms. Equals the contact bound."""
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3

_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Handler:
    """Callbacks of a connection; all methods are optional."""

    def connected(self) -> None:
        """Called when the connection is established."""

    def received(self, data: bytes) -> None:
        """Called with received bytes."""

    def flushed(self) -> None:
        """Called when a closing connection has sent its buffered bytes."""

    def drained(self) -> None:
        """Called when a connection is no longer congested."""

    def sends_rest(self) -> bool:
        """Called when the peer ends its side while bytes are unsent.

        Returns:
            Whether they are sent before the connection is closed; then
            ``flushed`` follows, or ``ended`` on an error.
        """
        return False

    def ended(self, error: OSError | None) -> None:
        """Called when the peer closed (``error`` is None) or on an error."""


_NO_HANDLER = Handler()


class Connection:
    """One TCP connection.

    A closed connection no longer refers to its handler. The two would keep
    each other, and what the handler holds, until the cyclic collector runs.

    Args:
        loop: Event loop that serves the connection.
        stream: Non-blocking socket.
        handler: Receives the callbacks.

    Attributes:
        closed: Whether the socket is closed.
        peer_finished: Whether the peer has ended its side.
        bytes_sent: Bytes passed to the kernel so far.
        reading_paused: Whether received bytes are left in the kernel.
        awaits_drain: Whether the handler is to be told that the connection
            is no longer congested.
        read_bytes: Maximum number of bytes that are read at a time.
        drained_bytes: Number of buffered bytes down to which the handler
            is not told that the connection is no longer congested.
    """

    def __init__(
        self, loop: loops.EventLoop, stream: socket.socket, handler: Handler
    ) -> None:
        self.loop = loop
        self.stream = stream
        self.handler = handler
        self.send_buffer = bytearray()
        self.connecting = False
        self.closing = False
        self.closed = False
        self.peer_finished = False
        self.bytes_sent = 0
        self.reading_paused = False
        self.awaits_drain = False
        self.read_bytes = READ_BYTES
        self.drained_bytes = CONGESTED_BYTES
        self.mask = 0

    @classmethod
    def accepted(
        cls,
        loop: loops.EventLoop,
        stream: socket.socket,
        handler: Handler,
    ) -> 'Connection':
        """Return a connection for an accepted socket."""
        _configure_socket(stream)
        connection = cls(loop, stream, handler)
        connection._update_interest()
        return connection

    @classmethod
    def opened(
        cls, loop: loops.EventLoop, address: str, handler: Handler
    ) -> 'Connection':
        """Start connecting to ``IP:port``."""
        stream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        _configure_socket(stream)
        connection = cls(loop, stream, handler)
        connection.connecting = True
        code = stream.connect_ex(vm_settings.split_address(address))
        if code not in (0, errno.EINPROGRESS):
            error = OSError(code, 'connect')
            loop.call_soon(lambda: connection._report_end(error))
            return connection
        connection._update_interest()
        return connection

    @property
    def peer_address(self) -> str:
        """``IP:port`` of the peer, or an empty string once it has left."""
        try:
            host, port = self.stream.getpeername()[:2]
        except (OSError, ValueError):
            return ''
        return f'{host}:{port}'

    @property
    def is_open(self) -> bool:
        """Whether the connection is neither closed nor being closed."""
        return not self.closed and not self.closing

    @property
    def is_congested(self) -> bool:
        """Whether the peer reads more slowly than bytes are sent."""
        buffered = len(self.send_buffer)
        if buffered > MAX_BUFFERED_BYTES - CONGESTED_BYTES:
            return True
        return (
            buffered > CONGESTED_BYTES
            and 2 * self.loop.unsent_bytes > self.loop.max_unsent_bytes
        )

    def pause_reading(self) -> None:
        """Stop reading, so that the peer can send no more."""
        self.reading_paused = True
        self._update_interest()

    def resume_reading(self) -> None:
        """Read on after a pause."""
        self.reading_paused = False
        self._update_interest()

    def send(self, data: bytes | bytearray) -> None:
        """Send bytes, or buffer them until the peer reads."""
        if self.closed or not data:
            return
        if not self.send_buffer and not self.connecting:
            # A view, because the rest of a large body would be copied.
            data = memoryview(data)[self._send_now(data) :]
        if self.closed or not data:
            return
        self.send_buffer += data
        self.loop.unsent_bytes += len(data)
        if self._buffers_too_much():
            error = OSError(errno.ENOBUFS, 'the peer does not read')
            self._report_end_later(error, self.abort)
            return
        self._update_interest()

    def close(self) -> None:
        """Close the connection once all buffered bytes are sent."""
        self.closing = True
        if not self.send_buffer or self.connecting:
            self._close_socket()

    def abort(self) -> None:
        """Reset the connection, so that the data cannot look complete."""
        if not self.closed:
            self.stream.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        self._close_socket()

    def _buffers_too_much(self) -> bool:
        buffered = len(self.send_buffer)
        if buffered > MAX_BUFFERED_BYTES:
            return True
        return (
            buffered > FAIR_BYTES
            and self.loop.unsent_bytes > self.loop.max_unsent_bytes
        )

    def _update_interest(self) -> None:
        mask = 0
        if not self.peer_finished and not self.reading_paused:
            mask |= selectors.EVENT_READ
        if self.send_buffer or self.connecting:
            mask |= selectors.EVENT_WRITE
        if mask == self.mask or self.closed:
            return
        self.mask = mask
        if mask:
            self.loop.watch(self.stream, mask, self._on_ready)
        else:
            self.loop.unwatch(self.stream)

    def _on_ready(self, mask: int) -> None:
        if self.closed:
            # Closed by another callback of the same iteration.
            return
        if self.connecting:
            self._finish_connecting()
            return
        if mask & selectors.EVENT_WRITE:
            self._flush()
        if mask & selectors.EVENT_READ and not self.closed:
            self._read()

    def _finish_connecting(self) -> None:
        code = self.stream.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._report_end(OSError(code, 'connect'))
            return
        self.connecting = False
        self.handler.connected()
        self._flush()

    def _flush(self) -> None:
        if self.send_buffer and not self.closed:
            sent = self._send_now(self.send_buffer)
            # The buffer is empty if the connection has broken.
            del self.send_buffer[:sent]
            self.loop.unsent_bytes -= sent
        if self.closed:
            return
        if self.awaits_drain and len(self.send_buffer) <= self.drained_bytes:
            self.awaits_drain = False
            self.handler.drained()
        if self.closing and not self.send_buffer:
            handler = self.handler
            self._close_socket()
            handler.flushed()
            return
        self._update_interest()

    def _send_now(self, data: bytes | bytearray) -> int:
        try:
            count = self.stream.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            self._report_end_later(error, self._close_socket)
            return 0
        self.bytes_sent += count
        return count

    def _read(self) -> None:
        try:
            data = self.stream.recv(self.read_bytes)
        except BlockingIOError:
            return
        except OSError as error:
            self._report_end(error)
            return
        if data:
            self.handler.received(data)
        elif self.send_buffer and self.handler.sends_rest():
            self.closing = self.peer_finished = True
            self._update_interest()
        else:
            self._report_end(None)

    def _report_end(self, error: OSError | None) -> None:
        if self.closed:
            return
        handler = self.handler
        self._close_socket()
        handler.ended(error)

    def _report_end_later(
        self, error: OSError, close: collections.abc.Callable[[], None]
    ) -> None:
        """Close, and report the end from the loop.

        The sender may be in the middle of a state change.
        """
        ended = functools.partial(self.handler.ended, error)
        close()
        self.loop.call_soon(ended)

    def _close_socket(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.handler = _NO_HANDLER
        self.loop.unsent_bytes -= len(self.send_buffer)
        self.send_buffer.clear()
        self.loop.unwatch(self.stream)
        self.stream.close()


class Listener:
    """Accepts connections on an address.

    Args:
        loop: Event loop that serves the listener.
        address: ``IP:port``.
        accept: Called with each accepted socket.

    Raises:
        StartError: If the address is not free.
    """

    def __init__(
        self,
        loop: loops.EventLoop,
        address: str,
        accept: collections.abc.Callable[[socket.socket], None],
    ) -> None:
        self.loop = loop
        self.accept = accept
        self.closed = False
        self.stream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.stream.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.stream.bind(vm_settings.split_address(address))
        except OSError as error:
            self.stream.close()
            raise exceptions.StartError(address, error) from error
        self.stream.listen(BACKLOG)
        self.stream.setblocking(False)
        self._resume()

    def close(self) -> None:
        """Accept the connections that wait, then refuse new ones."""
        if self.closed:
            return
        while self._accept_next():
            pass
        self.closed = True
        self.loop.unwatch(self.stream)
        self.stream.close()

    def _on_ready(self, _: int) -> None:
        for _ in range(ACCEPT_BATCH):
            if not self._accept_next():
                return

    def _accept_next(self) -> bool:
        try:
            stream, _address = self.stream.accept()
        except BlockingIOError:
            return False
        except OSError as error:
            # Without descriptors the connection stays in the queue, and
            # the loop would be told of it again at once.
            logs.warning('accept_failed', why=error)
            self.loop.unwatch(self.stream)
            self.loop.call_later(ACCEPT_PAUSE_MS, self._resume)
            return False
        self.accept(stream)
        return True

    def _resume(self) -> None:
        if not self.closed:
            self.loop.watch(self.stream, selectors.EVENT_READ, self._on_ready)


def _configure_socket(stream: socket.socket) -> None:
    stream.setblocking(False)
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for level, option, value in options:
        stream.setsockopt(level, option, value)
