"""Callers that the operators do not control."""

import collections
import collections.abc
import concurrent.futures
import contextlib
import enum
import resource
import selectors
import socket
import time

from tests import entry_process

__all__ = ['Conduct', 'Crowd', 'ReturningCrowd']

QUIET_S = 1.0
"""A crowd that can send nothing for this time has sent what it can."""
SEND_S = 8.0
"""How long a crowd sends at most."""
MAX_WAIT_S = 0.1
EVENTS_BEFORE_LEAVING = 3
"""Number of events after which a caller leaves its stream."""

Payload = collections.abc.Callable[[bytes], bytes]


class Crowd:
    """Connections that each send one request and stay open.

    Args:
        port: Port on which the entry VM listens for callers.
        count: Number of connections.
        payload: Returns what a connection sends, given the ID of its
            request.
    """

    def __init__(self, port: int, count: int, payload: Payload) -> None:
        self.port = port
        self.payloads: dict[socket.socket, memoryview] = {}
        self.unsent: dict[socket.socket, int] = {}
        _raise_descriptor_limit()
        with selectors.DefaultSelector() as selector:
            for number in range(count):
                stream = self._connect()
                data = payload(b'stays-%d' % number)
                self.payloads[stream] = memoryview(data)
                self.unsent[stream] = 0
                selector.register(stream, selectors.EVENT_WRITE)
            self._send_all(selector)

    def close(self) -> None:
        """Close all connections."""
        for stream in self.unsent:
            stream.close()

    def _connect(self) -> socket.socket:
        stream = socket.socket()
        stream.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            stream.connect(('127.0.0.1', self.port))
        return stream

    def _send_all(self, selector: selectors.BaseSelector) -> None:
        end_s = time.monotonic() + SEND_S
        last_s = time.monotonic()
        while selector.get_map() and time.monotonic() < min(
            end_s, last_s + QUIET_S
        ):
            for key, _ in selector.select(MAX_WAIT_S):
                last_s = time.monotonic()
                if self._send_some(key.fileobj):
                    selector.unregister(key.fileobj)
        # Lets the entry VM read what the kernel still holds.
        time.sleep(QUIET_S)

    def _send_some(self, stream: socket.socket) -> bool:
        """Send what a connection takes; return whether that was the last."""
        payload = self.payloads[stream]
        try:
            self.unsent[stream] += stream.send(payload[self.unsent[stream] :])
        except BlockingIOError:
            return False
        except OSError:
            # The entry VM has closed the connection, which it may.
            return True
        return self.unsent[stream] == len(payload)


class Conduct(enum.Enum):
    """What a caller does once it has sent a request."""

    READS = 'reading the response'
    STAYS = 'reading the response on one connection'
    LEAVES = 'leaving at once'
    LEAVES_STREAM = 'leaving after some events'


class ReturningCrowd:
    """Callers that each send one request after the other.

    Args:
        port: Port on which the entry VM listens for callers.
        count: Number of callers.
        rounds: Number of requests that each of them sends.
        payload: Returns the bytes of a request, given its ID.
        conduct: What a caller does once it has sent a request.

    Attributes:
        outcomes: Number of requests by the status of the response or by
            the error.
    """

    def __init__(
        self,
        port: int,
        count: int,
        rounds: int,
        payload: Payload,
        conduct: Conduct,
    ) -> None:
        self.port = port
        self.rounds = rounds
        self.payload = payload
        self.conduct = conduct
        self.outcomes: collections.Counter = collections.Counter()
        with concurrent.futures.ThreadPoolExecutor(count) as executor:
            for outcomes in executor.map(self._return, range(count)):
                self.outcomes += outcomes

    def _return(self, number: int) -> collections.Counter:
        outcomes: collections.Counter = collections.Counter()
        caller = None
        for turn in range(self.rounds):
            try:
                if caller is None:
                    caller = entry_process.Caller(self.port)
                request = b'returns-%d-%d' % (number, turn)
                caller.stream.sendall(self.payload(request))
                outcomes[self._await_response(caller)] += 1
                is_reusable = self.conduct is Conduct.STAYS
            except OSError as error:
                # The entry VM has closed the connection, which it may.
                outcomes[type(error).__name__] += 1
                is_reusable = False
            if caller is not None and not is_reusable:
                caller.stream.close()
                caller = None
        if caller is not None:
            caller.stream.close()
        return outcomes

    def _await_response(self, caller: entry_process.Caller) -> str:
        match self.conduct:
            case Conduct.LEAVES:
                return 'left'
            case Conduct.LEAVES_STREAM:
                is_stream = caller.read_events(EVENTS_BEFORE_LEAVING)
                return 'left' if is_stream else 'refused'
        answer = caller.read()
        if not answer.status:
            raise ConnectionError('no response')
        return str(answer.status)


def _raise_descriptor_limit() -> None:
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
