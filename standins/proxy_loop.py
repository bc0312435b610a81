"""Single-threaded event loop of the fault-injecting proxy."""

import collections.abc
import concurrent.futures
import heapq
import itertools
import queue
import selectors
import socket
import struct
import time

import msgspec

from standins import proxy_flow

__all__ = ['FaultRequest', 'Link', 'LinkRequest', 'ProxyLoop']

IDLE_S = 0.02
ACCEPT_BACKLOG = 512
CHUNK_BYTES = 65_536
MAX_QUEUED_BYTES = 262_144
RESET_LINGER = struct.pack('ii', 1, 0)
HOST = '127.0.0.1'
# Directions in which bytes are discarded; True is towards the server.
_DROPPED_DIRECTIONS = {
    'none': frozenset(),
    'old': frozenset((True, False)),
    'all': frozenset((True, False)),
    'requests': frozenset((True,)),
    'answers': frozenset((False,)),
}


class LinkRequest(msgspec.Struct):
    """A listener to open.

    Attributes:
        group: Group whose links share a rate limit; empty for no limit.
    """

    name: str
    target: str
    group: str = ''
    delay_ms: float = 0.0


class FaultRequest(msgspec.Struct):
    """Faults to set on links selected by their names.

    Attributes:
        links: Substrings; a link is selected if its name contains one.
        refuse: Whether new connections are refused.
        black_hole: ``none``, ``old`` (discard all bytes of connections
            that are open now), ``all`` (also of new ones), or ``requests``
            or ``answers`` (of all connections, in that direction only).
        reset: Whether to reset the open connections now.
        half_close: Whether to close the direction towards callers now,
            leaving the other one open.
        delay_ms: New one-way delay.
    """

    links: list[str]
    refuse: bool | None = None
    black_hole: str | None = None
    reset: bool = False
    half_close: bool = False
    delay_ms: float | None = None


class Link:
    """A listener with its target and its faults."""

    def __init__(self, order: LinkRequest) -> None:
        host, _, port = order.target.rpartition(':')
        self.name = order.name
        self.target = (host, int(port))
        self.group = order.group
        self.delay_ms = order.delay_ms
        self.dropped_for_new: frozenset[bool] = frozenset()
        self.listener: socket.socket | None = None
        self.port = 0
        self.pairs: set[proxy_flow.ProxiedConnection] = set()
        self.accepted = 0
        self.bytes = 0


class ProxyLoop:
    """Forwards bytes with delays, rate limits and faults.

    All methods except ``call`` must be called in the thread of ``run``.
    """

    def __init__(self) -> None:
        self.selector = selectors.DefaultSelector()
        self.links: dict[str, Link] = {}
        self.commands: queue.SimpleQueue = queue.SimpleQueue()
        self.rates: dict[str, proxy_flow.RateLimiter] = {}
        self.deliveries: list[tuple] = []
        self.numbers = itertools.count()

    def call(self, function: collections.abc.Callable) -> object:
        """Run a function in the loop's thread and return its value."""
        future: concurrent.futures.Future = concurrent.futures.Future()
        self.commands.put((function, future))
        return future.result()

    def run(self) -> None:
        """Run until the process exits."""
        # On some systems a selector without sockets cannot wait.
        spare, other = socket.socketpair()
        self.selector.register(spare, selectors.EVENT_READ, None)
        while True:
            for key, mask in self.selector.select(self._wait_s()):
                if key.data is not None:
                    key.data(mask)
            self._deliver()
            self._run_commands()
        other.close()

    def _wait_s(self) -> float:
        if not self.deliveries:
            return IDLE_S
        until_s = self.deliveries[0][0] - time.monotonic()
        return min(IDLE_S, max(0.0, until_s))

    def _run_commands(self) -> None:
        while not self.commands.empty():
            function, future = self.commands.get()
            try:
                future.set_result(function())
            except Exception as error:
                future.set_exception(error)

    def open_links(self, orders: list[LinkRequest]) -> dict[str, str]:
        """Open listeners and return their addresses by link name."""
        for order in orders:
            link = Link(order)
            self.links[link.name] = link
            self._listen(link)
        return {o.name: f'{HOST}:{self.links[o.name].port}' for o in orders}

    def set_rates(self, rates: dict[str, float]) -> None:
        """Set rate limits of groups in bits per second; 0 for no limit."""
        for group, bits in rates.items():
            self.rates[group] = proxy_flow.RateLimiter(bits)

    def summary(self) -> dict[str, dict[str, int]]:
        """Return the byte and connection counts of each link."""
        return {
            link.name: {
                'bytes': link.bytes,
                'accepted': link.accepted,
                'open': len(link.pairs),
            }
            for link in self.links.values()
        }

    def set_faults(self, order: FaultRequest) -> list[str]:
        """Change the faults of the selected links; return their names."""
        touched = [
            link
            for link in self.links.values()
            if any(part in link.name for part in order.links)
        ]
        for link in touched:
            self._set_faults(link, order)
        return [link.name for link in touched]

    def _set_faults(self, link: Link, order: FaultRequest) -> None:
        if order.delay_ms is not None:
            link.delay_ms = order.delay_ms
        if order.black_hole is not None:
            dropped = _DROPPED_DIRECTIONS[order.black_hole]
            link.dropped_for_new = (
                frozenset() if order.black_hole == 'old' else dropped
            )
            for pair in link.pairs:
                pair.dropped_directions |= dropped
        if order.reset:
            for pair in list(link.pairs):
                self._close(pair, reset=True)
        if order.half_close:
            for pair in link.pairs:
                pair.half_close_client()
        if order.refuse is True and link.listener is not None:
            self.selector.unregister(link.listener)
            link.listener.close()
            link.listener = None
        if order.refuse is False and link.listener is None:
            self._listen(link)

    def _listen(self, link: Link) -> None:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((HOST, link.port))
        listener.listen(ACCEPT_BACKLOG)
        listener.setblocking(False)
        link.port = listener.getsockname()[1]
        link.listener = listener
        self.selector.register(
            listener, selectors.EVENT_READ, lambda _: self._accept(link)
        )

    def _accept(self, link: Link) -> None:
        try:
            client, _ = link.listener.accept()
        except OSError:
            return
        link.accepted += 1
        server = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        pair = proxy_flow.ProxiedConnection(link, client, server)
        pair.dropped_directions = link.dropped_for_new
        link.pairs.add(pair)
        for end in (client, server):
            end.setblocking(False)
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        server.connect_ex(link.target)
        for flow in pair.flows:
            self._watch(flow)

    def _watch(self, flow: proxy_flow.Flow) -> None:
        """Register for the events that a flow's source socket needs."""
        if flow.pair.closed:
            return
        opposite = flow.pair.opposite(flow)
        mask = 0
        if not flow.ended and flow.queued_bytes < MAX_QUEUED_BYTES:
            mask |= selectors.EVENT_READ
        if opposite.ready:
            mask |= selectors.EVENT_WRITE
        registered = flow.registered_mask
        if mask == registered:
            return
        if registered and mask:
            self.selector.modify(flow.source, mask, flow.callback(self._io))
        elif mask:
            self.selector.register(flow.source, mask, flow.callback(self._io))
        else:
            self.selector.unregister(flow.source)
        flow.registered_mask = mask

    def _io(self, flow: proxy_flow.Flow, mask: int) -> None:
        if mask & selectors.EVENT_WRITE and not flow.pair.closed:
            self._write(flow.pair.opposite(flow))
        if mask & selectors.EVENT_READ and not flow.pair.closed:
            self._read(flow)

    def _read(self, flow: proxy_flow.Flow) -> None:
        pair = flow.pair
        try:
            data = flow.source.recv(CHUNK_BYTES)
        except BlockingIOError:
            return
        except OSError:
            if pair.dropped_directions:
                flow.ended = True
                self._watch(flow)
            else:
                self._close(pair, reset=True)
            return
        if not data:
            flow.ended = True
        if flow.towards_server not in pair.dropped_directions:
            self._schedule(flow, data)
        self._watch(flow)

    def _schedule(self, flow: proxy_flow.Flow, data: bytes) -> None:
        link = flow.pair.link
        link.bytes += len(data)
        now_s = time.monotonic()
        sent_s = now_s
        rate = self.rates.get(link.group)
        if rate is not None:
            sent_s = rate.departure_s(flow.towards_server, now_s, len(data))
        # Bytes in one direction must not overtake each other.
        due_s = max(flow.last_due_s, sent_s + link.delay_ms / 1000)
        flow.last_due_s = due_s
        flow.queued_bytes += len(data)
        if due_s <= now_s:
            self._make_ready(flow, data)
            return
        number = next(self.numbers)
        heapq.heappush(self.deliveries, (due_s, number, flow, data))

    def _deliver(self) -> None:
        now_s = time.monotonic()
        while self.deliveries and self.deliveries[0][0] <= now_s:
            _, _, flow, data = heapq.heappop(self.deliveries)
            is_dropped = flow.towards_server in flow.pair.dropped_directions
            if not flow.pair.closed and not is_dropped:
                self._make_ready(flow, data)

    def _make_ready(self, flow: proxy_flow.Flow, data: bytes) -> None:
        flow.ready.append(data)
        self._write(flow)

    def _write(self, flow: proxy_flow.Flow) -> None:
        try:
            flow.write()
        except OSError:
            self._close(flow.pair, reset=True)
            return
        if flow.pair.is_over():
            self._close(flow.pair, reset=False)
            return
        for each in flow.pair.flows:
            self._watch(each)

    def _close(self, pair: proxy_flow.ProxiedConnection, reset: bool) -> None:
        if pair.closed:
            return
        pair.closed = True
        pair.link.pairs.discard(pair)
        for flow in pair.flows:
            if flow.registered_mask:
                self.selector.unregister(flow.source)
            if reset:
                flow.source.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER
                )
            flow.source.close()
