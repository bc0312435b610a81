"""Threaded HTTP server that can finish its requests before it ends."""

import collections.abc
import threading

from cheroot import wsgi

from eelgrassknot import logs
from eelgrassknot.settings import vm as vm_settings

__all__ = ['Server']

MIN_THREADS = 16
MAX_THREADS = 512
MAX_HEADER_BYTES = 65_536
IDLE_TIMEOUT_S = 10
SHUTDOWN_TIMEOUT_S = 1
ACCEPT_BACKLOG = 512


class Server:
    """Serves one WSGI application on one address.

    Args:
        address: ``IP:port`` to listen on.
        application: The WSGI application.
        max_body_bytes: Bound on the size of a request's body.
    """

    def __init__(
        self,
        address: str,
        application: collections.abc.Callable,
        max_body_bytes: int = 0,
    ) -> None:
        self.application = application
        self.in_hand = 0
        self.idle = threading.Condition()
        self.server = wsgi.Server(
            vm_settings.split_address(address),
            self._count,
            numthreads=MIN_THREADS,
            max=MAX_THREADS,
            request_queue_size=ACCEPT_BACKLOG,
            timeout=IDLE_TIMEOUT_S,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
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

    def drain(self) -> None:
        """Wait until no request is in hand."""
        with self.idle:
            self.idle.wait_for(lambda: self.in_hand == 0)

    def stop(self) -> None:
        """Close the listener and all connections."""
        self.server.stop()

    def _count(self, environ, start_response):
        with self.idle:
            self.in_hand += 1
        try:
            body = self.application(environ, start_response)
        except BaseException:
            self._finished()
            raise
        return _Counted(body, self._finished)

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
