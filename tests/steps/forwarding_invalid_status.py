"""Steps for responses with a status outside 100 to 599."""

import json

import behave

from tests import entry_world

PATHS = {'booking': '/book/x', 'stream': '/write/x'}
ROUND_MS = 100.0


@behave.given('a VM with one server of each service in simulated time')
def given_world(context):
    context.world = entry_world.EntryWorld()
    context.world.put_state()
    context.world.list_upstream('d1', 'desk', 'a')
    context.world.list_upstream('w1', 'writer', 'a')


@behave.when('a {kind} is answered with the status line {version} {status:S}')
def answer(context, kind, version, status):
    context.exchange = context.world.send(PATHS[kind], 'odd')
    (sent,) = context.world.sent
    sent.receive(
        f'{version} {status} Odd\r\nRequest-Id: odd\r\nServer-Stamp: s\r\n'
        'Content-Length: 4\r\n\r\nbody'.encode()
    )
    context.world.run(ROUND_MS)


@behave.then('the caller gets 502 with the outcome unknown')
def bad_gateway(context):
    assert context.exchange.status == 502, context.exchange.status
    error = json.loads(context.exchange.body)['error']
    assert error['outcome'] == 'unknown', error


@behave.then('the caller gets {status:d}')
def passed_on(context, status):
    assert context.exchange.status == status, context.exchange.status
    assert context.exchange.body == b'body'
