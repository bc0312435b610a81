"""Steps for the stand-ins as processes."""

import http.client
import pathlib

import behave
import msgspec

from standins import processes

DIRECTORY = pathlib.Path('run/features/wire')
TRANSACTION = {
    'id': 't1',
    'conditions': [{'table': 'a', 'key': 'k', 'version': None}],
    'writes': [{'table': 'a', 'key': 'k', 'value': 1}],
}


def _start(context, module, *arguments):
    DIRECTORY.mkdir(parents=True, exist_ok=True)
    child = processes.start_standin(
        module,
        [f'standins.{module}', '--listen', '127.0.0.1:0', *arguments],
        DIRECTORY,
    )
    context.add_cleanup(child.kill)
    context.address = processes.wait_listening(child)


def _ask(context, method, path, value=None):
    status, body = processes.ask(context.address, method, path, value)
    return status, msgspec.json.decode(body or b'{}')


def _request(context, method, path, value=None, **headers):
    connection = http.client.HTTPConnection(context.address, timeout=30)
    body = None if value is None else msgspec.json.encode(value)
    names = {k.replace('_', '-'): v for k, v in headers.items()}
    connection.request(method, path, body, names)
    answer = connection.getresponse()
    return answer.status, answer.headers, answer.read()


def _generate(context, name, tokens):
    return _request(
        context,
        'POST',
        '/v1/completions',
        {'model': 'm', 'prompt': f'tokens={tokens}', 'stream': True},
        X_Generation_Id=name,
        X_Request_Id=f'r-{name}',
    )


def _events(body):
    lines = body.decode().split('\n\n')
    return [line.removeprefix('data: ') for line in lines if line]


@behave.given("an engine's stand-in as a process")
def given_engine_process(context):
    _start(context, 'engine', '--step-ms', '5', '--load-time-ms', '1')


@behave.given("a platform's stand-in as a process")
def given_platform_process(context):
    _start(context, 'platform')


@behave.given("a plain service's stand-in as a process")
def given_plain_process(context):
    _start(context, 'plain')


@behave.when(
    'a generation of {tokens:d} tokens is streamed twice under one id'
)
def stream_twice(context, tokens):
    context.bodies = [_generate(context, 'g', tokens)[2] for _ in range(2)]


@behave.then('both streams have the same {tokens:d} tokens and an end event')
def same_tokens(context, tokens):
    first, second = context.bodies
    assert first == second
    *events, end = _events(first)
    decoded = [msgspec.json.decode(event) for event in events]
    assert [event['index'] for event in decoded] == list(range(tokens))
    reasons = [event['finish_reason'] for event in decoded]
    assert reasons == [None] * (tokens - 1) + ['stop']
    assert end == '[DONE]'


@behave.then('it can be resumed from index {index:d}')
def resumed(context, index):
    _, _, body = _request(context, 'GET', f'/v1/generations/g?from={index}')
    assert _events(body) == _events(context.bodies[0])[index:]


@behave.then('the engine ran one generation')
def ran_one(context):
    _, history = _ask(context, 'GET', '/control/history')
    assert len(history['generations']) == 1


@behave.then('a running generation can be cancelled repeatedly')
def cancelled(context):
    _ask(context, 'POST', '/control', {'stalled': True})
    connection = http.client.HTTPConnection(context.address, timeout=30)
    context.add_cleanup(connection.close)
    connection.request(
        'POST',
        '/v1/completions',
        b'{"prompt": "tokens=900"}',
        {'X-Generation-Id': 'long'},
    )
    path = '/v1/generations/long'
    processes.wait_until(
        lambda: _ask(context, 'GET', f'{path}/status')[0] == 200,
        'the generation is known',
    )
    for _ in range(2):
        assert _ask(context, 'DELETE', path)[0] == 200
    _, answer = _ask(context, 'GET', f'{path}/status')
    assert answer['state'] == 'cancelled'


@behave.then('an unknown generation is not found')
def not_found(context):
    assert _ask(context, 'GET', '/v1/generations/none/status')[0] == 404


@behave.then(
    'an order with fencing number {taken:d} is accepted and one with '
    '{refused:d} is refused'
)
def fencing(context, taken, refused):
    order = {'order': 'set_version', 'model': 'model', 'version': '9'}
    status, _ = _ask(context, 'POST', '/orders', {**order, 'fencing': taken})
    assert status == 202
    status, answer = _ask(
        context, 'POST', '/orders', {**order, 'fencing': refused}
    )
    assert (status, answer) == (409, {'error': 'stale_fencing', 'seen': taken})


@behave.then('the ordered version is loaded after the load time')
def version_held(context):
    def held():
        _, state = _ask(context, 'GET', '/orders/state')
        return state['models'][0]['version'] == '9'

    processes.wait_until(held, 'the version is loaded')


@behave.when('it is told to leave')
def leave_requested(context):
    _ask(context, 'POST', '/control', {'state': 'leaving'})


@behave.then('a new generation is refused as leaving')
def refused_as_leaving(context):
    status, _, body = _generate(context, 'g', 3)
    assert (status, body) == (503, b'{"error":"leaving"}')


@behave.when('the answer of a transaction is lost')
def answer_lost(context):
    lost = {'lose_answers': {'following': 1}}
    _ask(context, 'POST', '/control', lost)
    assert _ask(context, 'POST', '/transactions', TRANSACTION)[0] == 0


@behave.then('its row exists')
def row_exists(context):
    _, row = _ask(context, 'GET', '/rows/a/k')
    assert row == {'value': 1, 'version': 1}


@behave.then('a repetition of the transaction conflicts')
def repeat_conflicts(context):
    status, answer = _ask(context, 'POST', '/transactions', TRANSACTION)
    assert status == 409
    assert answer['failed'] == {'table': 'a', 'key': 'k', 'version': 1}


@behave.when('the list changes while it lags')
def list_changes(context):
    _ask(context, 'PUT', '/control/vms', {'vms': [{'vm': 'first'}]})
    _ask(context, 'POST', '/control', {'vm_list_lag_ms': 3_600_000.0})
    _ask(context, 'PUT', '/control/vms', {'vms': [{'vm': 'second'}]})


@behave.then('the earlier list is returned until the lag ends')
def earlier_list(context):
    assert _ask(context, 'GET', '/vms')[1]['vms'] == [{'vm': 'first'}]
    _ask(context, 'POST', '/control', {'vm_list_lag_ms': 0.0})
    assert _ask(context, 'GET', '/vms')[1]['vms'] == [{'vm': 'second'}]


@behave.then('a crossed answer names another request')
def crossed_answer(context):
    _request(context, 'GET', '/a', X_Request_Id='first')
    _ask(context, 'POST', '/control', {'crossed': {'following': 1}})
    _, headers, _ = _request(context, 'GET', '/b', X_Request_Id='second')
    assert headers['X-Request-Id'] == 'first'


@behave.then('a call whose connection was closed was executed once')
def closed_executed(context):
    _ask(context, 'POST', '/control', {'closed': {'following': 1}})
    try:
        _request(context, 'POST', '/c', X_Request_Id='third')
    except (http.client.HTTPException, OSError):
        pass
    _, history = _ask(context, 'GET', '/control/history')
    assert history['counts']['third'] == 1
