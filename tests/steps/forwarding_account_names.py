"""Steps for the names of client accounts in the headers of upstreams."""

import io
import itertools
import json
import re

import behave

from eelgrassknot.forwarding import state_check
from eelgrassknot import logs
from eelgrassknot.platform import desired_state
from standins import users_documents
from tests import entry_world

NAMES = {
    'plain': 'hwaseong',
    'empty': '',
    'Latin-1': 'café',
    'Polish': 'Łódź',
    'Cyrillic': 'Сочи',
    'Hangul': '화성시',
    'Arabic': 'مدينة',
    'emoji': 'a😀b',
    'combining': 'cafe\u0301',
    'euro sign': '€5',
    'inner blanks': 'two  words',
    'inner tab': 'two\twords',
    'quotes and commas': 'a"b\',;=\\c',
    'ending in U+00A0': 'à\u00a0',
    'ending in U+0085': 'à\u0085',
    '200 letters long': 'ö' * 200,
    '4,000 letters long': 'x' * 4_000,
    'line feed': 'a\nb',
    'carriage return': 'a\rb',
    'new header line': 'a\r\nKv-From: 127.0.0.1:1/x',
    'leading blank': ' a',
    'trailing blank': 'a ',
    'trailing tab': 'a\t',
    'only blanks': '  ',
    'NUL': 'a\0b',
    'vertical tab': 'a\x0bb',
    'form feed': 'a\x0cb',
    'unit separator': 'a\x1fb',
    'DEL': 'a\x7fb',
    'lone surrogate': 'a\ud800b',
    'two lone surrogates': '\udc00\ud800',
}
KEY = 'key-three'
KINDS = {
    'booking': ('POST', '/book/x'),
    'lookup': ('GET', '/look/x'),
    'stream': ('POST', '/write/x'),
}


def _account(name, key=KEY):
    return {'name': name, 'apiKeys': [key]}


@behave.given(
    'a VM in simulated time whose state adds an account with a {letters} name'
)
def given_world(context, letters):
    context.name = NAMES[letters]
    context.log = io.StringIO()
    logs.configure('info', context.log)
    context.world = entry_world.EntryWorld()
    context.world.put_state(
        lambda state: state['tenants'].append(_account(context.name))
    )
    context.world.list_upstream('d1', 'desk', 'a')
    context.world.list_upstream('w1', 'writer', 'a')


def _send(context, kind, connects, key):
    method, path = KINDS[kind]
    context.world.pool.connects = connects
    request = f'r-{len(context.world.pool.sent)}'
    exchange = context.world.send(
        path,
        request,
        method,
        **{'Credential': key, 'Token-Counts': '100,20', 'Tenant': 'forged'},
    )
    for sent in context.world.pool.sent:
        if sent.connection.connecting:
            sent.connect()
    return exchange


def _send_all(context, key):
    return [
        _send(context, kind, connects, key)
        for kind, connects in itertools.product(KINDS, (True, False))
    ]


@behave.when('it sends a request of each kind on each kind of connection')
def send_all(context):
    context.exchanges = _send_all(context, KEY)


@behave.when('it sends a lookup on a public route')
def send_on_public_route(context):
    def change(state):
        state['tenants'].append(_account(context.name))
        state['routes'][1]['public'] = True

    context.world.put_state(change)
    context.exchange = _send(context, 'lookup', True, KEY)


def _lines(sent):
    """Return the header lines that an upstream received."""
    return sent.connection.data.split(b'\r\n\r\n')[0].split(b'\r\n')[1:]


def _names(sent):
    return [
        line.partition(b': ')[2]
        for line in _lines(sent)
        if line.lower().startswith(b'tenant:')
    ]


@behave.then('each upstream gets the name in UTF-8')
def name_is_sent(context):
    assert len(context.world.sent) == len(context.exchanges)
    for sent in context.world.sent:
        assert _names(sent) == [context.name.encode('utf-8')], _lines(sent)


@behave.then('each is refused at once as not run')
def all_refused(context):
    for exchange in context.exchanges:
        assert exchange.status == 503, exchange.status
        error = json.loads(exchange.body)['error']
        assert error['code'] == 'account_not_sendable', error
        assert error['outcome'] == 'not_run', error
        assert float(exchange.headers['retry-after']) > 0, exchange.headers


@behave.then('no upstream gets a byte of them')
def nothing_sent(context):
    assert not context.world.sent


@behave.then('the log names that account')
def log_names_account(context):
    lines = context.log.getvalue().splitlines()
    # The decoder replaces each lone surrogate.
    text = re.sub(
        '[\ud800-\udfff]', lambda each: f'\0{ord(each[0]):x}', context.name
    )
    quoted = json.dumps(text)
    refusals = [line for line in lines if 'account_not_sendable' in line]
    assert len(refusals) == len(context.exchanges), refusals
    assert all(f'account={quoted}' in line for line in refusals), refusals
    # The path of the fault is quoted once more.
    path = json.dumps(quoted)[1:-1]
    found = [line for line in lines if 'event=state_fault' in line]
    assert any(path in line for line in found), found


@behave.then('the requests of the other account are served')
def others_served(context):
    exchanges = _send_all(context, 'key-one')
    assert len(context.world.sent) == len(exchanges)
    for sent in context.world.sent:
        assert _names(sent) == [b'acme'], _lines(sent)


@behave.then('the lookup reaches a server without a name')
def public_lookup(context):
    (sent,) = context.world.sent
    assert _names(sent) == [], _lines(sent)


@behave.given(
    'the state of the stand-in with accounts with a {first} name and a '
    '{second} name'
)
def given_two_accounts(context, first, second):
    context.names = [NAMES[first], NAMES[second]]
    state = users_documents.desired_state(1)
    for number, name in enumerate(context.names):
        state['tenants'].append(_account(name, f'key-{number}'))
    decoded = desired_state.decode_state(json.dumps(state).encode())
    context.faults = state_check.check_state(decoded.unwrap())


@behave.then('the first fault names the former account, and none the latter')
def faults_name_account(context):
    former, latter = (json.dumps(name) for name in context.names)
    assert former in context.faults[0].path, context.faults
    assert not any(latter in str(fault) for fault in context.faults)


@behave.given(
    'a VM in simulated time whose state has lone surrogates in the names of '
    'an account, a route, a service and a host, and in a key'
)
def given_surrogates(context):
    def change(state):
        odd = '\ud800'
        state['tenants'].append(_account(odd, odd))
        route = {**state['routes'][0], 'name': odd, 'host': odd}
        state['routes'].append({**route, 'service': odd, 'prefix': f'/{odd}/'})
        state['services'].append({**state['services'][0], 'name': odd})

    context.world = entry_world.EntryWorld()
    context.world.put_state()
    context.world.list_upstream('d1', 'desk', 'a')
    context.world.list_upstream('w1', 'writer', 'a')
    context.world.put_state(change)


@behave.then('the version of that state is in force')
def state_in_force(context):
    state = context.world.daemon.forwarder.state
    assert state.version == context.world.version, state.version
