"""Steps for requests that cannot be encoded."""

import json
import random
import socket
import unittest.mock

import behave
import msgspec

from eelgrassknot import clock as clocks
from eelgrassknot.forwarding import caller_connection
from eelgrassknot.forwarding import caller_memory
from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import work
from tests import entry_world

PATHS = {'booking': '/book/x', 'lookup': '/look/x', 'stream': '/write/x'}
KINDS = {'bookings': 'booking', 'streams': 'stream'}
RETRY_MS = 1_000.0
SILENCE_MS = 1_500.0


def _raise(*_):
    raise OverflowError('cannot convert float infinity to integer')


def _start(context, servers):
    context.world = entry_world.EntryWorld()
    context.world.daemon.context.generator = random.Random(1)
    context.world.put_state()
    for number in range(servers):
        context.world.list_upstream(f'd{number}', 'desk', 'a')
        context.world.list_upstream(f'w{number}', 'writer', 'a')
    context.dialect = context.world.daemon.context.dialect


def _break_encoding(context):
    context.world.daemon.context.dialect = msgspec.structs.replace(
        context.dialect, forwarded_headers=_raise
    )


def _send(context, kind, connection, request='r-0'):
    world = context.world
    world.pool.connects = connection == 'a kept connection'
    method = 'GET' if kind == 'lookup' else 'POST'
    exchange = world.send(
        PATHS[kind], request, method, **{'Token-Counts': '2200,40'}
    )
    if not world.pool.connects:
        for sent in world.pool.sent:
            if sent.connection.connecting:
                sent.connect()
    return exchange


def _outcome(exchange):
    return json.loads(exchange.body)['error']['outcome']


def _reserved(context):
    return context.world.daemon.scheduler.queue.commitments.runs


@behave.given(
    'a VM in simulated time whose requests raise when they are encoded'
)
def given_broken_encoding(context):
    _start(context, 2)
    _break_encoding(context)


@behave.given('a VM with two servers of each service in simulated time')
def given_two_servers(context):
    _start(context, 2)


@behave.when('a {kind:w} is encoded for {connection}')
def send_one(context, kind, connection):
    context.exchange = _send(context, kind, connection)
    context.world.run(0.0)


@behave.when('{count:d} {kinds:w} are encoded for {connection}')
def send_many(context, count, kinds, connection):
    for number in range(count):
        _send(context, KINDS[kinds], connection, f'r-{number}')
        context.world.run(0.0)


@behave.when('the caller of a stream leaves before it is told')
def send_and_leave(context):
    context.exchange = _send(context, 'stream', 'a kept connection')
    on_abort = context.exchange.on_abort
    context.exchange.is_over = True
    on_abort('caller_left')
    context.world.run(0.0)


@behave.when('requests can be encoded again')
def mend_encoding(context):
    context.world.daemon.context.dialect = context.dialect


@behave.when('a lookup is sent and its server breaks off')
def lookup_breaks_off(context):
    context.exchange = _send(context, 'lookup', 'a kept connection')
    context.world.sent[0].break_off()


@behave.when('its second attempt raises when it is encoded')
def second_attempt_raises(context):
    _break_encoding(context)
    context.world.run(RETRY_MS)


@behave.given('a stream in simulated time that runs with a copy')
def given_copied_stream(context):
    _start(context, 3)
    context.exchange = _send(context, 'stream', 'a kept connection')
    context.run = context.world.sent[0]
    assert 'kv-backup' in context.run.headers, context.run.headers
    context.run.start_answer('r-0')
    for index in range(1, 4):
        context.run.send_event(index)
        context.world.run(200.0)


@behave.when(
    'its engine is silent and its continuation raises when it is encoded'
)
def continuation_raises(context):
    _break_encoding(context)
    context.world.run(SILENCE_MS)
    attempts = [
        sent
        for sent in context.world.pool.sent
        if sent.upstream != context.run.upstream
    ]
    assert attempts, 'no continuation'


@behave.when('its engine goes on')
def engine_goes_on(context):
    for index in range(4, 7):
        context.run.send_event(index)
    context.run.end_answer()


@behave.then('the caller is told at once that the request cannot be sent')
def refused(context):
    exchange = context.exchange
    assert exchange.status == 503, exchange.status
    assert _outcome(exchange) == 'not_run', exchange.body
    assert exchange.code == 'not_sendable', exchange.body
    assert float(exchange.headers['retry-after']) > 0, exchange.headers


@behave.then('that caller gets no response')
def got_nothing(context):
    assert context.exchange.status is None, context.exchange.status


@behave.then('no upstream gets a byte of it')
def nothing_sent(context):
    assert not context.world.sent


@behave.then('no engine memory is reserved')
def nothing_reserved(context):
    assert not _reserved(context), _reserved(context)


@behave.then('the next stream is sent to an engine')
def stream_is_sent(context):
    _send(context, 'stream', 'a kept connection', 'sound')
    (sent,) = context.world.sent
    assert sent.headers['request-id'] == 'sound', sent.headers


@behave.then('no server counts as broken')
def none_broken(context):
    now_ms = context.world.loop.now_ms()
    health = context.world.daemon.context.health
    for name in set(context.world.names.values()):
        assert not health.is_ejected(name, now_ms), name


@behave.then('the caller has the whole stream')
def whole_stream(context):
    assert context.exchange.is_over and not context.exchange.is_aborted
    assert context.exchange.body.count(b'data: x') == 6, context.exchange.body


@behave.given(
    'a VM in simulated time whose requests raise while they are being sent'
)
def given_broken_send(context):
    _start(context, 2)
    context.patch = unittest.mock.patch.object(
        work, 'send', side_effect=OverflowError
    )


@behave.when('a stream arrives on a real connection')
def stream_on_real_connection(context):
    loop = loops.EventLoop(clocks.MonotonicClock())
    server = unittest.mock.Mock(
        loop=loop,
        memory=caller_memory.CallerMemory(1_000_000, 10),
        limits=caller_connection.DEFAULT_LIMITS,
        draining=False,
        handle=context.world.daemon.forwarder.handle,
    )
    with socket.create_server(('127.0.0.1', 0)) as listener:
        context.peer = socket.create_connection(listener.getsockname())
        ours, _ = listener.accept()
    context.add_cleanup(context.peer.close)
    connection = caller_connection.CallerConnection(server, ours)
    with context.patch as send:
        connection.received(
            b'POST /write/x HTTP/1.1\r\nHost: a.example\r\n'
            b'Credential: key-one\r\nToken-Counts: 2200,40\r\n'
            b'Content-Length: 0\r\n\r\n'
        )
    send.assert_called_once()


@behave.then('that connection is reset')
def connection_reset(context):
    try:
        data = context.peer.recv(1)
    except ConnectionResetError:
        return
    raise AssertionError(data)
