"""One thread that carries the tokens of all streams that go well.

A thread for each stream costs a wake-up and several hand-overs of the
interpreter's lock for each token. Here one thread polls all engines'
connections, and writes to callers without waiting. Whatever is not the
next token in order ends the ride: the request's own thread goes on.
"""

import dataclasses
import select
import threading
import typing

from eelgrassknot import clock as clocks
from eelgrassknot.frontend import caller_connection
from eelgrassknot import logs
from eelgrassknot.requests import generation_messages as messages
from eelgrassknot.upstreams import messages as upstream_messages

if typing.TYPE_CHECKING:
    from eelgrassknot.frontend import relay as relays

__all__ = ['Lane', 'Ride']

CHECK_MS = 20.0
_Token = upstream_messages.Token


@dataclasses.dataclass(eq=False)
class Ride:
    """A stream that is carried by the lane.

    Attributes:
        encode: Encodes a token for the caller.
        ended: Set when the lane does not touch the stream any more.
        events: What came from the engine and was not handled.
        actions: What the state machine wants and was not done.
        unsent: Bytes that the caller's connection did not take.
        broken: Whether the caller's connection broke.
    """

    relay: 'relays.Relay'
    encode: typing.Callable[[_Token], bytes]
    caller: caller_connection.CallerConnection
    descriptor: int
    ended: threading.Event = dataclasses.field(default_factory=threading.Event)
    events: list = dataclasses.field(default_factory=list)
    actions: list[messages.Action] = dataclasses.field(default_factory=list)
    unsent: bytes = b''
    broken: bool = False


class Lane:
    """Carries streams from engines to callers in one thread.

    Args:
        clock: The VM's clock.

    Attributes:
        rides: Streams that are carried, by the engine's descriptor.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.poller = select.epoll()
        self.lock = threading.Lock()
        self.rides: dict[int, Ride] = {}
        self.checked_ms = 0.0
        self.stopped = threading.Event()
        self.thread = threading.Thread(
            target=self._run, name='lane', daemon=True
        )

    def start(self) -> None:
        """Begin to carry streams."""
        self.thread.start()

    def stop(self) -> None:
        """End the thread."""
        self.stopped.set()
        self.thread.join()
        self.poller.close()

    def carry(self, ride: Ride) -> None:
        """Carry a stream until it needs its own thread again."""
        sock = ride.caller.socket
        timeout_s = sock.gettimeout()
        sock.settimeout(0)
        with self.lock:
            self.rides[ride.descriptor] = ride
            self.poller.register(ride.descriptor, select.EPOLLIN)
        ride.ended.wait()
        sock.settimeout(timeout_s)

    def _run(self) -> None:
        while not self.stopped.is_set():
            ready = self.poller.poll(CHECK_MS / clocks.MS_PER_SECOND)
            now_ms = self.clock.now_ms()
            for descriptor, _ in ready:
                ride = self.rides.get(descriptor)
                if ride is not None:
                    self._advance(ride, now_ms)
            if now_ms - self.checked_ms >= CHECK_MS:
                self.checked_ms = now_ms
                self._check(now_ms)

    def _check(self, now_ms: float) -> None:
        with self.lock:
            rides = list(self.rides.values())
        for ride in rides:
            relay = ride.relay
            if relay.superseded.is_set() or now_ms >= relay.machine.wake_ms():
                self._end(ride)

    def _advance(self, ride: Ride, now_ms: float) -> None:
        try:
            self._pass_on(ride, now_ms)
        except OSError:
            ride.broken = True
            self._end(ride)
        except Exception as error:
            logs.error('lane_failed', error=repr(error))
            ride.broken = True
            self._end(ride)

    def _pass_on(self, ride: Ride, now_ms: float) -> None:
        relay = ride.relay
        events = relay.stream.receive()
        take = relay.machine.take_token
        connection = relay.connection
        encoded = []
        for place, event in enumerate(events):
            if type(event) is not _Token:
                ride.events = events[place:]
                break
            actions = take(connection, event, now_ms)
            if len(actions) == 1 and type(actions[0]) is messages.DeliverToken:
                encoded.append(ride.encode(event))
            elif actions:
                ride.actions = actions
                ride.events = events[place + 1 :]
                break
        if encoded:
            self._send(ride, b''.join(encoded))
            relay.report(len(encoded), now_ms)
        if ride.events or ride.actions or ride.unsent:
            self._end(ride)

    def _send(self, ride: Ride, data: bytes) -> None:
        framed = ride.caller.frame(data)
        try:
            sent = ride.caller.socket.send(framed)
        except BlockingIOError:
            sent = 0
        ride.unsent = framed[sent:]

    def _end(self, ride: Ride) -> None:
        with self.lock:
            # A descriptor that the library closed may be another ride's
            # by now.
            if self.rides.get(ride.descriptor) is ride:
                del self.rides[ride.descriptor]
                self._forget(ride.descriptor)
        ride.ended.set()

    def _forget(self, descriptor: int) -> None:
        try:
            self.poller.unregister(descriptor)
        except OSError:
            logs.event('lane_descriptor_closed', descriptor=descriptor)
