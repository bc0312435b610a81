"""Steps for the stream multiplexer."""

import dataclasses
import socket
import threading

import behave

from eelgrassknot import clock as clocks
from eelgrassknot.frontend import stream_multiplexer
from eelgrassknot import ids
from eelgrassknot.requests import generation as generations
from eelgrassknot.requests import generation_messages as messages
from eelgrassknot import states
from eelgrassknot.upstreams import messages as upstream_messages
from tests import generation_simulation

_WAIT_S = 20.0
_LONG_TEXT = 'x' * 4_000_000


class _Stream:
    """An engine connection whose events are set by the test."""

    def __init__(self):
        self.engine, self.socket = socket.socketpair()
        self.events = []

    def send(self, events):
        self.events += events
        self.engine.send(b'.')

    def receive(self):
        self.socket.recv(1)
        events = self.events
        self.events = []
        return events


class _Caller:
    """A caller's connection."""

    def __init__(self):
        self.socket, self.other = socket.socketpair()
        self.socket.settimeout(10)
        self.other.settimeout(_WAIT_S)

    def frame(self, data):
        return data


@dataclasses.dataclass
class _Relay:
    machine: generations.Generation
    stream: _Stream
    connection: int = 1
    superseded: threading.Event = dataclasses.field(
        default_factory=threading.Event
    )

    def report_tokens(self, count, now_ms):
        """Ignore the report."""


def _token(index, text=None, last=False):
    reason = states.FinishReason.STOP if last else None
    return upstream_messages.Token(
        'g1', 'r1', index, text or f'{index} ', reason
    )


def _encode(token):
    return token.text.encode()


def _start_stream(context):
    machine = generations.Generation(ids.RequestId('r1'), True, None, 0.0)
    placed = messages.Placed(
        generation_simulation.upstream('e1'), ids.GenerationId('g1'), False
    )
    machine.handle(placed, 0.0)
    machine.handle(messages.StreamAccepted(1), 0.0)
    relay = _Relay(machine, _Stream())
    stream = stream_multiplexer.MultiplexedStream(
        relay, _encode, _Caller(), relay.stream.socket.fileno()
    )
    thread = threading.Thread(
        target=context.multiplexer.run, args=(stream,), daemon=True
    )
    thread.start()
    return stream


@behave.given('a multiplexer with {count:d} streams')
def given_multiplexer(context, count):
    context.time = clocks.ManualClock()
    context.multiplexer = stream_multiplexer.StreamMultiplexer(context.time)
    context.multiplexer.start()
    context.add_cleanup(context.multiplexer.stop)
    context.streams = [_start_stream(context) for _ in range(count)]


def _send(context, number, events):
    context.streams[number].relay.stream.send(events)


@behave.when(
    'the engine of stream {number:d} sends the tokens 0 to {last:d} and ends'
)
def sends_all(context, number, last):
    tokens = [_token(index) for index in range(last + 1)]
    _send(context, number, [*tokens, upstream_messages.StreamDone()])


@behave.when(
    'the engine of stream {number:d} sends the tokens 0 to {last:d} '
    'and then {index:d}'
)
def sends_gap(context, number, last, index):
    tokens = [_token(i) for i in range(last + 1)]
    _send(context, number, [*tokens, _token(index)])


@behave.when('the caller of stream {number:d} reads nothing of a long text')
def reads_nothing(context, number):
    _send(context, number, [_token(0, _LONG_TEXT)])


@behave.when(
    'the caller of stream {number:d} has disconnected and a token is received'
)
def caller_gone(context, number):
    context.streams[number].caller.other.close()
    _send(context, number, [_token(0)])


@behave.when('nothing is received for longer than the silence limit')
def nothing_comes(context):
    machine = context.streams[0].relay.machine
    context.time.advance_ms(machine.wake_ms() + 1)


@behave.then(
    'the caller of stream {number:d} receives the tokens 0 to {last:d}'
)
def caller_gets(context, number, last):
    expected = b''.join(b'%d ' % index for index in range(last + 1))
    caller = context.streams[number].caller
    got = caller.other.recv(65_536)
    assert got == expected, got


def _released(context, number):
    stream = context.streams[number]
    assert stream.released.wait(_WAIT_S), 'the stream is still forwarded'
    return stream


@behave.then('stream {number:d} is released with {count:d} unhandled event')
def released_with_events(context, number, count):
    assert len(_released(context, number).events) == count


@behave.then('stream {number:d} is still forwarded')
def still_forwarded(context, number):
    assert not context.streams[number].released.is_set()


@behave.then('stream {number:d} is released to be resumed from {index:d}')
def released_to_resume(context, number, index):
    closed, resumed = _released(context, number).actions
    assert closed == messages.CloseStream(1)
    assert resumed.index == index


@behave.then('stream {number:d} is released with unsent bytes')
def released_unsent(context, number):
    stream = _released(context, number)
    assert 0 < len(stream.unsent) < len(_LONG_TEXT)
    assert not stream.broken


@behave.then('stream {number:d} is released as broken')
def released_broken(context, number):
    assert _released(context, number).broken


@behave.then('stream {number:d} is released with nothing pending')
def released_with_nothing(context, number):
    stream = _released(context, number)
    assert not (
        stream.events or stream.actions or stream.unsent or stream.broken
    )
