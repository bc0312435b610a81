"""Steps for the handling of a response's pieces by the event loop."""

import itertools
import types

import behave
import h11

from eelgrassknot import clock as clocks
from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import upstream_connection
from eelgrassknot.platform import plugin
from tests import raw_server

TIMEOUT_MS = 20_000.0
_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n'
_LAST_CHUNK = b'0\r\n\r\n'
_numbers = itertools.count(1)


class _Listener(upstream_connection.AttemptListener):
    """Counts what is handled in each iteration of the loop."""

    def __init__(self, context):
        self.context = context
        self.body = b''
        self.ends = []
        self.paused = False
        self.pieces_in_pause = 0
        self.on_piece = lambda attempt: None

    def response_started(self, attempt, status, headers):
        self.context.counts.heads += 1

    def response_data(self, attempt, data):
        self.context.counts.pieces += 1
        self.pieces_in_pause += self.paused
        self.body += data
        self.on_piece(attempt)

    def response_completed(self, attempt):
        self.ends.append('is complete')

    def attempt_failed(self, attempt, fault, bytes_left):
        self.ends.append('fails')


def _serve(context, count, answer):
    context.expected_body = b''
    context.servers = [raw_server.RawServer(answer) for _ in range(count)]
    for server in context.servers:
        context.add_cleanup(server.stop)
    context.loop = loops.EventLoop(clocks.MonotonicClock())
    context.pool = upstream_connection.ConnectionPool(context.loop)
    context.listeners = []
    context.counts = types.SimpleNamespace(pieces=0, heads=0)
    context.most = types.SimpleNamespace(pieces=0, heads=0)


def _chunks(context, count, chunks, end):
    body = b'x' * chunks
    _serve(context, count, _HEAD + b'\r\n' + b'1\r\nx\r\n' * chunks + end)
    context.expected_body = body


@behave.given(
    '{count:d} upstreams that answer with {chunks:d} chunks of one byte'
)
def given_upstreams(context, count, chunks):
    _chunks(context, count, chunks, _LAST_CHUNK)


@behave.given(
    'an upstream that answers with {chunks:d} chunks of one byte, then {end}'
)
def given_upstream(context, chunks, end):
    ends = {'the last chunk': _LAST_CHUNK, 'closes the connection': b''}
    _chunks(context, 1, chunks, ends[end])


@behave.given(
    '{count:d} upstreams that answer with a head of {fields:d} fields'
)
def given_long_heads(context, count, fields):
    lines = b''.join(b'X-%d: y\r\n' % number for number in range(fields))
    _serve(context, count, _HEAD + lines + b'\r\n' + _LAST_CHUNK)


def _send(context, address):
    listener = _Listener(context)
    context.listeners.append(listener)
    upstream_connection.Attempt(
        context.pool,
        f'r{next(_numbers)}',
        address,
        listener,
        lambda: h11.Request(
            method='GET', target='/x', headers=[('Host', 'a.example')]
        ),
        None,
        plugin.DIALECT.echoed_request_id,
        True,
    )
    return listener


def _end_iteration(context, until):
    """Note what the last iteration handled; called in each of them."""
    counts, most = context.counts, context.most
    most.pieces = max(most.pieces, counts.pieces)
    most.heads = max(most.heads, counts.heads)
    counts.pieces = counts.heads = 0
    if until():
        context.loop.stop()
    else:
        context.loop.call_soon(lambda: _end_iteration(context, until))


def _run_until(context, until):
    context.loop.call_soon(lambda: _end_iteration(context, until))
    timeout = context.loop.call_later(TIMEOUT_MS, context.loop.stop)
    context.loop.run()
    timeout.cancel()
    assert until()


def _have_ended(context):
    return lambda: all(each.ends for each in context.listeners)


@behave.when('a request is sent to each and all responses have ended')
def send_to_each(context):
    for server in context.servers:
        _send(context, server.address)
    _run_until(context, _have_ended(context))


@behave.when(
    'a request is sent whose listener pauses at each {interval:d}th piece for '
    '{pause_ms:d} ms'
)
def send_and_pause(context, interval, pause_ms):
    listener = _send(context, context.servers[0].address)

    def resume(attempt):
        listener.paused = False
        attempt.resume_reading()

    def pause(attempt):
        if len(listener.body) % interval == 0:
            listener.paused = True
            attempt.pause_reading()
            context.loop.call_later(pause_ms, lambda: resume(attempt))

    listener.on_piece = pause
    _run_until(context, _have_ended(context))


@behave.when(
    'a request is sent whose listener cancels it at the {piece:d}th piece'
)
def send_and_cancel(context, piece):
    listener = _send(context, context.servers[0].address)

    def cancel(attempt):
        if len(listener.body) == piece:
            attempt.cancel()
            context.loop.call_later(100.0, lambda: listener.ends.append(None))
            context.connection = attempt.pooled.connection

    listener.on_piece = cancel
    _run_until(context, _have_ended(context))


@behave.when(
    'a request is sent whose connection breaks after the {piece:d}th piece'
)
def send_and_break(context, piece):
    listener = _send(context, context.servers[0].address)

    def break_connection(attempt):
        if len(listener.body) == piece:
            pooled = attempt.pooled
            context.loop.call_soon(lambda: pooled.ended(BrokenPipeError()))

    listener.on_piece = break_connection
    _run_until(context, _have_ended(context))


@behave.then('no iteration of the loop handled more than {most:d} pieces')
def pieces_bounded(context, most):
    assert context.most.pieces <= most, context.most.pieces


@behave.then('no iteration of the loop parsed more than {most:d} head')
def heads_bounded(context, most):
    assert context.most.heads <= most, context.most.heads


@behave.then('each response is whole and has ended once')
def all_whole(context):
    for listener in context.listeners:
        assert listener.body == context.expected_body, len(listener.body)
        assert listener.ends == ['is complete'], listener.ends


@behave.then('{size:d} bytes have come before the response {outcome}')
def bytes_before_end(context, size, outcome):
    (listener,) = context.listeners
    assert len(listener.body) == size, len(listener.body)
    assert listener.ends == [outcome], listener.ends


@behave.then('no piece has come during a pause')
def none_in_pause(context):
    (listener,) = context.listeners
    assert listener.pieces_in_pause == 0, listener.pieces_in_pause


@behave.then('{size:d} bytes have come and the connection is closed')
def cancelled(context, size):
    (listener,) = context.listeners
    assert len(listener.body) == size, len(listener.body)
    assert listener.ends == [None], listener.ends
    assert context.connection.closed
