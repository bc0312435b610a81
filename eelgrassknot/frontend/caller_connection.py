"""The connection of a caller: cheap writes, and whether it is gone."""

import select
import socket
import typing

from cheroot import server as cheroot_server

__all__ = [
    'CallerConnection',
    'ENVIRON_KEY',
    'SocketWriter',
    'peer_closed',
]

ENVIRON_KEY = 'eelgrassknot.caller'
# A caller whose machine is gone acknowledges nothing; the kernel then
# ends the connection after this time.
USER_TIMEOUT_MS = 10_000
# Bounds what one slow reader can hold in this VM's memory.
SEND_BUFFER_BYTES = 65_536


class SocketWriter:
    """Writes to a socket at once, without a buffer of its own.

    Args:
        sock: Socket of the caller.

    Attributes:
        bytes_written: Count that the HTTP server keeps.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.bytes_written = 0
        self.closed = False

    def write(self, data: bytes) -> int:
        """Send all of the data.

        Raises:
            OSError: If the caller is gone or takes nothing for too long.
        """
        self.sock.sendall(data)
        self.bytes_written += len(data)
        return len(data)

    def flush(self) -> None:
        """Do nothing, as nothing is buffered."""

    def close(self) -> None:
        """Do nothing, as the server closes the socket."""
        self.closed = True


class CallerConnection(cheroot_server.HTTPConnection):
    """A caller's connection with bounds on what a dead caller costs."""

    def __init__(
        self,
        server: cheroot_server.HTTPServer,
        sock: socket.socket,
        *arguments: typing.Any,
    ) -> None:
        super().__init__(server, sock, *arguments)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.wfile = SocketWriter(sock)

    def is_gone(self) -> bool:
        """Return whether the caller has closed its connection."""
        return peer_closed(self.socket)


def peer_closed(sock: socket.socket) -> bool:
    """Return at once whether the other end has closed a connection."""
    # A socket with a timeout waits for data even when a read is told
    # not to, so ask first whether there is any.
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    if not poller.poll(0):
        return False
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except OSError:
        return True
