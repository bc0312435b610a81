"""Threaded HTTP server that can finish its requests before it ends."""

import collections.abc
import threading

from cheroot import wsgi

from eelgrassknot.frontend import caller_connection
from eelgrassknot import logs
from eelgrassknot.settings import vm as vm_settings

__all__ = ['Server']

THREADS = 4
MAX_HEADER_BYTES = 65_536
IDLE_TIMEOUT_S = 10
SHUTDOWN_TIMEOUT_S = 1
ACCEPT_BACKLOG = 512
# A request that was sent before the caller heard that this VM leaves
# arrives within this time.
QUIET_MS = 500.0


class _Gateway(wsgi.Gateway_10):
    """Passes the caller's connection on to the application."""

    version = (1, 0)

    def get_environ(self) -> dict[str, object]:
        environ = super().get_environ()
        environ[caller_connection.ENVIRON_KEY] = self.req.conn
        return environ


class Server:
    """Serves one WSGI application on one address.

    Args:
        address: ``IP:port`` to listen on.
        application: The WSGI application.
        max_body_bytes: Bound on the size of a request's body.
        threads: How many requests can be in hand at once.

    Attributes:
        in_hand: Requests whose answers have not been sent yet.
        draining: Whether callers are asked to close their connections.
    """

    def __init__(
        self,
        address: str,
        application: collections.abc.Callable,
        max_body_bytes: int = 0,
        threads: int = THREADS,
    ) -> None:
        self.application = application
        self.in_hand = 0
        self.served = 0
        self.draining = False
        self.idle = threading.Condition()
        self.server = wsgi.Server(
            vm_settings.split_address(address),
            self._count,
            numthreads=threads,
            max=threads,
            request_queue_size=ACCEPT_BACKLOG,
            timeout=IDLE_TIMEOUT_S,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        self.server.gateway = _Gateway
        self.server.ConnectionClass = caller_connection.CallerConnection
        self.server.max_request_header_size = MAX_HEADER_BYTES
        self.server.max_request_body_size = max_body_bytes
        self.server.error_log = _log_error
        self.thread = threading.Thread(target=self.server.serve, daemon=True)

    def start(self) -> None:
        """Bind the address and begin to serve.

        Raises:
            OSError: If the address cannot be bound.
        """
        self.server.prepare()
        self.thread.start()

    def announce_drain(self) -> None:
        """Have callers use other connections after their next answer."""
        self.draining = True

    def drain(self) -> None:
        """Wait until no request is in hand and none has come for a while.

        What still arrives meanwhile is served.
        """
        self.draining = True
        with self.idle:
            while True:
                served = self.served
                self.idle.wait_for(lambda: self.in_hand == 0)
                self.idle.wait_for(
                    lambda: self.served != served, QUIET_MS / 1000
                )
                if self.in_hand == 0 and self.served == served:
                    return

    def stop(self) -> None:
        """Close the listener and all connections."""
        self.server.stop()

    def _count(self, environ, start_response):
        with self.idle:
            self.in_hand += 1
            self.served += 1
            self.idle.notify_all()
        try:
            body = self.application(environ, self._closing(start_response))
        except BaseException:
            self._finished()
            raise
        return _Counted(body, self._finished)

    def _closing(self, start_response):
        if not self.draining:
            return start_response

        def start(status, headers, *rest):
            closing = [*headers, ('Connection', 'close')]
            return start_response(status, closing, *rest)

        return start

    def _finished(self) -> None:
        with self.idle:
            self.in_hand -= 1
            self.idle.notify_all()


class _Counted:
    """An answer's body that tells when it has been sent or given up."""

    def __init__(self, body, finished) -> None:
        self.body = body
        self.finished = finished

    def __iter__(self):
        return iter(self.body)

    def close(self) -> None:
        """Close the body and tell that the request is finished."""
        try:
            if hasattr(self.body, 'close'):
                self.body.close()
        finally:
            self.finished()


def _log_error(message: str = '', level: int = 20, traceback: bool = False):
    logs.warning('http_server', message=message)
