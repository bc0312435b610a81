"""Common parts of stand-in servers: routing, JSON and a cheroot server."""

import collections.abc
import os
import random
import signal
import socket
import sys
import threading
import traceback as tracebacks
import typing

from cheroot import wsgi
import msgspec
from werkzeug import exceptions as http_exceptions
from werkzeug import routing
from werkzeug import wrappers

__all__ = [
    'Application',
    'FaultTrigger',
    'drop_connection',
    'json_answer',
    'merge_changes',
    'read_json',
    'serve',
]

FIRST_THREADS = 12
MAX_THREADS = 400
GROW_POLL_S = 0.05
SHUTDOWN_TIMEOUT_S = 1
CONNECTION_KEY = 'standin.connection'

Handler = collections.abc.Callable[..., wrappers.Response]


class FaultTrigger(msgspec.Struct):
    """Condition under which a fault affects a request.

    Attributes:
        probability: Probability for each request, from 0 to 1.
        following: Number of next requests that are always affected.
    """

    probability: float = 0.0
    following: int = 0

    def fires(self, generator: random.Random) -> bool:
        """Return whether the fault affects the next request.

        Args:
            generator: Source of random choices.
        """
        if self.following > 0:
            self.following -= 1
            return True
        return generator.random() < self.probability


class Application:
    """WSGI application with a small table of routes."""

    def __init__(self) -> None:
        self.url_map = routing.Map()
        self.handlers: dict[str, Handler] = {}

    def add(self, method: str, rule: str, handler: Handler) -> None:
        """Register a handler.

        Args:
            method: HTTP method, or ``ANY``.
            rule: Path in werkzeug's rule syntax.
            handler: Function of the request and the path variables.
        """
        endpoint = f'{method} {rule}'
        methods = None if method == 'ANY' else [method]
        self.url_map.add(
            routing.Rule(rule, endpoint=endpoint, methods=methods)
        )
        self.handlers[endpoint] = handler

    def __call__(
        self, environ: dict, start_response: typing.Callable
    ) -> collections.abc.Iterable[bytes]:
        """Handle a request."""
        request = wrappers.Request(environ)
        adapter = self.url_map.bind_to_environ(environ)
        try:
            endpoint, values = adapter.match()
            response = self.handlers[endpoint](request, **values)
        except http_exceptions.HTTPException as error:
            response = error.get_response(environ)
        except msgspec.MsgspecError as error:
            response = json_answer({'error': str(error)}, 400)
        return response(environ, start_response)


class _Gateway(wsgi.Gateway_10):
    """Gateway that lets an application drop its connection."""

    def get_environ(self) -> dict:
        environ = super().get_environ()
        environ[CONNECTION_KEY] = self.req.conn
        return environ


def json_answer(value: object, status: int = 200) -> wrappers.Response:
    """Return an answer with a JSON body."""
    return wrappers.Response(
        msgspec.json.encode(value),
        status=status,
        content_type='application/json',
    )


def read_json(request: wrappers.Request) -> dict:
    """Return the JSON object in the body of a request."""
    return msgspec.json.decode(request.get_data() or b'{}', type=dict)


def merge_changes(current: msgspec.Struct, changes: dict) -> msgspec.Struct:
    """Return a copy of a struct with some fields replaced.

    Raises:
        msgspec.ValidationError: If a field has a wrong type.
    """
    merged = {**msgspec.to_builtins(current), **changes}
    return msgspec.convert(merged, type(current))


def drop_connection(request: wrappers.Request) -> wrappers.Response:
    """Close the connection of a request without answering."""
    connection = request.environ[CONNECTION_KEY]
    try:
        connection.socket.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    return wrappers.Response(b'')


def serve(application: typing.Callable, listen: str) -> None:
    """Serve until SIGTERM; print the address once it is bound.

    Args:
        application: WSGI application.
        listen: ``IP:port``; port 0 selects a free port.
    """
    host, _, port = listen.rpartition(':')
    server = wsgi.Server(
        (host, int(port)),
        application,
        numthreads=FIRST_THREADS,
        max=MAX_THREADS,
        request_queue_size=512,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        server_name='standin',
    )
    server.gateway = _Gateway
    server.nodelay = True
    server.error_log = _log_fault
    server.prepare()
    print(f'listening {host}:{server.bind_addr[1]}', flush=True)
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    signal.signal(signal.SIGINT, lambda *_: stopped.set())
    threading.Thread(target=server.serve, daemon=True).start()
    while not stopped.wait(GROW_POLL_S):
        # Each open stream occupies a thread. Threads are added only when
        # needed, since many processes share one machine.
        if server.requests.idle == 0:
            server.requests.grow(FIRST_THREADS)
    server.ready = False
    # Threads blocked by a simulated fault would keep the process running.
    os._exit(0)


def _log_fault(message: str = '', level: int = 20, traceback: bool = False):
    """Log errors of the stand-in, but not disconnected clients."""
    fault = sys.exception()
    if traceback and not isinstance(fault, OSError):
        tracebacks.print_exc()
