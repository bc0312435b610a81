"""Threaded HTTP servers of the users' platform's stand-in."""

import contextlib
import http.server
import socket
import threading

__all__ = ['Handler', 'Server', 'decode_text', 'encode_text']


def decode_text(value: str | None) -> str | None:
    """Return the text of a header that was read as Latin-1.

    A value that is not UTF-8 is returned as it is.
    """
    try:
        return value and value.encode('latin-1').decode('utf-8')
    except UnicodeDecodeError:
        return value


def encode_text(text: str) -> str:
    """Return what the Latin-1 header of a text in UTF-8 spells."""
    return text.encode('utf-8').decode('latin-1')


class Server(http.server.ThreadingHTTPServer):
    """An HTTP server that runs in its own threads."""

    daemon_threads = True

    def __init__(self, owner: object, handler: type, port: int = 0) -> None:
        super().__init__(('127.0.0.1', port), handler)
        self.owner = owner
        self.lock = threading.Lock()
        self.connections: set[socket.socket] = set()
        threading.Thread(target=self.serve_forever, daemon=True).start()

    @property
    def address(self) -> str:
        host, port = self.server_address[:2]
        return f'{host}:{port}'

    def handle_error(self, *_: object) -> None:
        """Ignore errors; the tests disconnect callers on purpose."""

    def stop(self) -> None:
        self.shutdown()
        self.server_close()

    def close_connections(self) -> None:
        """Close all open connections."""
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            with contextlib.suppress(OSError):
                # The peer may have closed it already.
                connection.shutdown(socket.SHUT_RDWR)


class Handler(http.server.BaseHTTPRequestHandler):
    """Request handler that reads bodies and sends complete answers."""

    protocol_version = 'HTTP/1.1'
    # Headers and body are written separately. Nagle's algorithm would
    # delay the body until the headers are acknowledged, by up to 40 ms.
    disable_nagle_algorithm = True

    def setup(self) -> None:
        super().setup()
        with self.server.lock:
            self.server.connections.add(self.connection)

    def finish(self) -> None:
        with self.server.lock:
            self.server.connections.discard(self.connection)
        super().finish()

    def log_message(self, *_: object) -> None:
        """Disable request logging."""

    def read_body(self) -> bytes:
        return self.rfile.read(int(self.headers.get('Content-Length', 0)))

    def answer(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        self.send_response_only(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)
