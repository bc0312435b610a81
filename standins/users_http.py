"""HTTP servers of the users' platform's stand-in, as threads."""

import http.server
import threading

__all__ = ['Handler', 'Server']


class Server(http.server.ThreadingHTTPServer):
    """A server on a free port, in threads of its own."""

    daemon_threads = True

    def __init__(self, owner: object, handler: type, port: int = 0) -> None:
        super().__init__(('127.0.0.1', port), handler)
        self.owner = owner
        threading.Thread(target=self.serve_forever, daemon=True).start()

    @property
    def address(self) -> str:
        host, port = self.server_address[:2]
        return f'{host}:{port}'

    def handle_error(self, *_: object) -> None:
        """Print nothing: callers that go away are part of the tests."""

    def stop(self) -> None:
        self.shutdown()
        self.server_close()


class Handler(http.server.BaseHTTPRequestHandler):
    """Reads bodies and sends whole answers."""

    protocol_version = 'HTTP/1.1'
    # Head and body are two writes; Nagle's algorithm would hold the body
    # back until the head is acknowledged, up to 40 ms later.
    disable_nagle_algorithm = True

    def log_message(self, *_: object) -> None:
        """Print nothing."""

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
