"""Steps for request IDs beyond ASCII."""

import json

import behave

from eelgrassknot.platform import wire
from tests import entry_world

IDS = {
    'plain': b'r-1',
    'UTF-8': '요청-1'.encode(),
    'Latin-1': 'réq-1'.encode('latin-1'),
    'mixed': 'é'.encode() + b'\xe9',
    'control': b'r\x011',
}
EVENT_MS = 200.0


@behave.given('a VM in simulated time with three engines')
def given_world(context):
    context.world = entry_world.EntryWorld()
    context.world.put_state()
    for number in range(3):
        context.world.list_upstream(f'w{number}', 'writer', 'a')


def _send(context, spelling):
    context.id = IDS[spelling]
    exchange = entry_world.Exchange(
        context.world, 'POST', '/write/x', '', {'Token-Counts': '100,20'}
    )
    exchange.request.raw_headers = [
        (name, context.id if name == b'Request-Id' else value)
        for name, value in exchange.request.raw_headers
    ]
    exchange.request.headers = [
        (name.lower(), value) for name, value in exchange.request.raw_headers
    ]
    context.world.daemon.forwarder.handle(exchange)
    context.exchange = exchange
    (context.run,) = context.world.sent


def _header(sent, name):
    lines = sent.connection.data.split(b'\r\n\r\n')[0].split(b'\r\n')[1:]
    found = dict(line.split(b': ', 1) for line in lines)
    return found.get(name)


def _answer(context, sent, first, last):
    sent.receive(
        b'HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nServer-Stamp: s\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n' % context.id
    )
    for index in range(first, last + 1):
        sent.send_event(index)
        context.world.run(EVENT_MS)


@behave.when('a stream with a {spelling} ID runs with a copy')
def run_with_copy(context, spelling):
    _send(context, spelling)
    _answer(context, context.run, 1, 3)


@behave.when('its engine breaks off after event 3')
def break_off(context):
    context.run.break_off()
    context.world.run(EVENT_MS)


@behave.then('the holder of the copy is asked for the copy by the same bytes')
def asked_for_copy(context):
    holder = _header(context.run, b'Kv-Backup')
    _, context.continuation = context.world.sent
    source = _header(context.continuation, b'Kv-From')
    assert source == holder + b'/' + context.id, source
    assert _header(context.continuation, b'Request-Id') == context.id


@behave.then('the caller gets the whole stream from both')
def whole_stream(context):
    _answer(context, context.continuation, 4, 5)
    context.continuation.end_answer()
    assert context.exchange.is_over and not context.exchange.is_aborted
    assert context.exchange.body.count(b'data: x') == 5, context.exchange.body


@behave.then('an echo of {first:w} is {relation} the ID {second:w}')
def echo_compared(context, first, relation, second):
    echoed = wire.echoed_request_id([(b'Request-Id', bytes.fromhex(first))])
    request = wire.caller_headers(
        [(b'request-id', bytes.fromhex(second))]
    ).request
    assert (echoed == request) == (relation == 'that of'), (echoed, request)


@behave.when(
    'a stream with a {spelling} ID runs without a copy and its engine is '
    'leaving'
)
def run_and_leave(context, spelling):
    # Without room elsewhere the engine keeps no copy from the start.
    context.world.put_state(
        lambda state: state['services'][1]['engine'].update(backups=False)
    )
    _send(context, spelling)
    _answer(context, context.run, 1, 3)
    context.world.list_upstream(
        context.run.upstream, 'writer', 'a', 'draining'
    )
    context.world.run(EVENT_MS)


@behave.then('its engine is asked to move the run {outcome}')
def asked_to_move(context, outcome):
    moves = [
        sent for sent in context.world.sent if sent.path == '/api/kv-move'
    ]
    if outcome == 'not at all':
        assert not moves
        return
    (move,) = moves
    body = json.loads(move.connection.data.split(b'\r\n\r\n')[1])
    assert body['id'] == context.id.decode('utf-8'), body
