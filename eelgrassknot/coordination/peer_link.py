"""Non-blocking ZeroMQ link to the other daemons.

Messages that cannot be sent at once are dropped and counted. Each VM
binds one PULL socket and connects one PUSH socket to each peer to which
it sends. ZeroMQ heartbeats detect a silent connection and replace it by a
new one.
"""

import collections.abc
import concurrent.futures
import threading

import result
import zmq

from eelgrassknot import clock as clocks
from eelgrassknot.coordination import link_counters
from eelgrassknot.coordination import peer_codec
from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot import exceptions
from eelgrassknot import ids
from eelgrassknot import logs

__all__ = ['PeerLink']

SEND_QUEUE_MESSAGES = 64
RECEIVE_QUEUE_MESSAGES = 4_096
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
PING_INTERVAL_MS = 2_000
# A connection on which nothing was received for this long is replaced.
SILENCE_LIMIT_MS = 5_000
CONNECT_TIMEOUT_MS = 2_000
RECONNECT_MS = 200
MAX_RECONNECT_MS = 3_000
POLL_MS = 500
BATCH_DELAY_MS = 200.0
# Beyond this number of pending queries, the oldest is cancelled.
MAX_PENDING_QUERIES = 1_024

Handler = collections.abc.Callable[[messages.Envelope], None]
QueryHandler = collections.abc.Callable[
    [ids.VmId, object],
    messages.ConfigReply | messages.OwnerReply | messages.RowsReply,
]


class PeerLink:
    """Sends messages to peers and dispatches received ones to handlers.

    Handlers run in the link's only receiving thread and must be short.

    Args:
        listen: ``IP:port`` to bind; port 0 lets the system choose.
        codec: Signs and verifies the messages.
        clock: Clock for the replay guard.
        batch_delay_ms: How long received messages are accumulated before
            they are processed as a batch, in milliseconds.

    Attributes:
        address: Bound address, once started.
        addresses: Address of each connected peer, by name.

    Example:
        >>> codec = peer_codec.PeerCodec('a', 'i', 0, [b'k' * 32])
        >>> link = PeerLink('127.0.0.1:0', codec, clocks.MonotonicClock())
        >>> link.start()
        >>> link.send('b', messages.Heartbeat(1))
        False
        >>> link.stop()
    """

    def __init__(
        self,
        listen: str,
        codec: peer_codec.PeerCodec,
        clock: clocks.Clock,
        batch_delay_ms: float = BATCH_DELAY_MS,
    ) -> None:
        self.batch_delay_ms = batch_delay_ms
        self.listen = listen
        self.codec = codec
        self.clock = clock
        self.context = zmq.Context()
        self.address = listen
        self.addresses: dict[str, str] = {}
        self.sockets: dict[str, zmq.Socket] = {}
        self.handlers: dict[type, list[Handler]] = {}
        self.query_handlers: dict[type, QueryHandler] = {}
        self.pending_replies: dict[int, concurrent.futures.Future] = {}
        self.last_request = 0
        self.counters = link_counters.LinkCounters()
        # Guards the sending sockets, which several threads use, and keeps
        # messages in the order of their sequence numbers.
        self.lock = threading.Lock()
        self.stopped = threading.Event()
        self.thread = threading.Thread(
            target=self._run, name='peer-link', daemon=True
        )

    def start(self) -> None:
        """Bind the socket and start the receiving thread.

        Raises:
            SettingsError: If the address cannot be bound.
        """
        self.receiver = self.context.socket(zmq.PULL)
        self.receiver.setsockopt(zmq.RCVHWM, RECEIVE_QUEUE_MESSAGES)
        self.receiver.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        self.receiver.setsockopt(zmq.LINGER, 0)
        _set_pings(self.receiver)
        try:
            self.receiver.bind(f'tcp://{self.listen}')
        except zmq.ZMQError as error:
            raise exceptions.SettingsError(
                f'cannot listen for peers on {self.listen}: {error}',
                'set listen.peers to a free address of this VM',
            ) from error
        endpoint = self.receiver.getsockopt_string(zmq.LAST_ENDPOINT)
        self.address = endpoint.removeprefix('tcp://')
        self.thread.start()

    def stop(self) -> None:
        """Close all sockets; queued messages are discarded."""
        self.stopped.set()
        if self.thread.ident is not None:
            self.thread.join()
        with self.lock:
            for socket in self.sockets.values():
                socket.close(linger=0)
            self.sockets.clear()
        self.context.term()

    def on_message(self, kind: type, handler: Handler) -> None:
        """Register a handler for messages of a class."""
        self.handlers.setdefault(kind, []).append(handler)

    def on_query(self, kind: type, handler: QueryHandler) -> None:
        """Register the handler that answers queries of a class."""
        self.query_handlers[kind] = handler

    def connect(self, name: str, address: str) -> None:
        """Connect to a peer, or reconnect if its address has changed.

        Args:
            name: Name of the peer's VM, or its address while the name is
                unknown.
            address: ``IP:port`` on which the peer listens to peers.
        """
        with self.lock:
            if self.addresses.get(name) == address or self.stopped.is_set():
                return
            self._close(name)
            self.sockets[name] = self._open(address)
            self.addresses[name] = address

    def disconnect(self, name: str) -> None:
        """Close the connection to a peer, if any."""
        with self.lock:
            self._close(name)

    def send(self, name: str, message: messages.Message) -> bool:
        """Send to one peer; return whether the message was queued."""
        kind = type(message).__name__
        # A name that is merely an address does not identify a VM, so the
        # message goes out without an addressee.
        to = '' if name == self.addresses.get(name) else name
        with self.lock:
            data = self.codec.encode(message, to)
            return self._send_encoded(name, kind, data)

    def broadcast(
        self,
        names: collections.abc.Iterable[str],
        message: messages.Message,
    ) -> int:
        """Send the same bytes to several peers.

        Returns:
            The number of peers for which the message was queued.
        """
        kind = type(message).__name__
        with self.lock:
            data = self.codec.encode(message)
            return sum(self._send_encoded(name, kind, data) for name in names)

    def send_query(
        self, name: str, query: messages.Query
    ) -> concurrent.futures.Future:
        """Send a query; the future receives the reply, if any."""
        future: concurrent.futures.Future = concurrent.futures.Future()
        with self.lock:
            self.last_request += 1
            number = self.last_request
            self.pending_replies[number] = future
            unanswered = next(iter(self.pending_replies))
        if len(self.pending_replies) > MAX_PENDING_QUERIES:
            self.pending_replies[unanswered].cancel()
        future.add_done_callback(
            lambda _: self.pending_replies.pop(number, None)
        )
        if not self.send(name, messages.Request(number, query)):
            future.cancel()
        return future

    def request(
        self,
        name: str,
        query: messages.Query,
        timeout_ms: float,
    ) -> result.Result[object, exceptions.UpstreamError]:
        """Send a query and wait for the reply.

        Args:
            name: Name of the peer.
            query: The query.
            timeout_ms: How long to wait, in milliseconds.
        """
        future = self.send_query(name, query)
        try:
            return result.Ok(future.result(timeout_ms / clocks.MS_PER_SECOND))
        except (
            concurrent.futures.TimeoutError,
            concurrent.futures.CancelledError,
        ):
            future.cancel()
            error = exceptions.UpstreamError(
                f'no answer from {name}', 'retry or query another VM', True
            )
            return result.Err(error)

    def _open(self, address: str) -> zmq.Socket:
        socket = self.context.socket(zmq.PUSH)
        socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        socket.setsockopt(zmq.LINGER, 0)
        # Without a connection, messages are dropped rather than queued:
        # the next one carries newer data.
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_MS)
        _set_pings(socket)
        socket.connect(f'tcp://{address}')
        return socket

    def _close(self, name: str) -> None:
        self.addresses.pop(name, None)
        socket = self.sockets.pop(name, None)
        if socket is not None:
            socket.close(linger=0)

    def _send_encoded(self, name: str, kind: str, data: bytes) -> bool:
        socket = self.sockets.get(name)
        if socket is None:
            self.counters.dropped[kind] += 1
            return False
        try:
            socket.send(data, zmq.NOBLOCK)
        except zmq.Again:
            self.counters.dropped[kind] += 1
            return False
        self.counters.sent[kind] += 1
        self.counters.sent_bytes[kind] += len(data)
        self.counters.peer_bytes[name] += len(data)
        return True

    def _run(self) -> None:
        while not self.stopped.is_set():
            if not self.receiver.poll(POLL_MS):
                continue
            if not self.pending_replies and self.batch_delay_ms:
                # Processing several heartbeats as a batch costs less than
                # waking up for each of them.
                self.stopped.wait(self.batch_delay_ms / clocks.MS_PER_SECOND)
            self._receive_pending()
        self.receiver.close(linger=0)

    def _receive_pending(self) -> None:
        while True:
            try:
                data = self.receiver.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._receive(data)

    def _receive(self, data: bytes) -> None:
        match self.codec.decode(data, self.clock.now_ms()):
            case result.Err(rejection):
                self.counters.rejected[rejection.value] += 1
            case result.Ok(envelope):
                kind = type(envelope.message).__name__
                self.counters.received[kind] += 1
                self.counters.received_bytes[kind] += len(data)
                try:
                    self._dispatch(envelope)
                except Exception as error:
                    # One faulty message must not end the receiving thread.
                    logs.error('peer_message_failed', why=error, kind=kind)

    def _dispatch(self, envelope: messages.Envelope) -> None:
        match envelope.message:
            case messages.Request(number, query):
                answer = self.query_handlers[type(query)](envelope.vm, query)
                self.send(envelope.vm, messages.Reply(number, answer))
            case messages.Reply(number, answer):
                future = self.pending_replies.get(number)
                if future is not None and not future.done():
                    future.set_result(answer)
            case message:
                for handler in self.handlers.get(type(message), ()):
                    handler(envelope)


def _set_pings(socket: zmq.Socket) -> None:
    socket.setsockopt(zmq.HEARTBEAT_IVL, PING_INTERVAL_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, SILENCE_LIMIT_MS)
    socket.setsockopt(zmq.HEARTBEAT_TTL, SILENCE_LIMIT_MS)
