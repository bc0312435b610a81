"""Steps for API keys beyond ASCII."""

import json

import behave

from eelgrassknot.forwarding import state_check
from eelgrassknot.platform import desired_state
from standins import users_documents
from tests import entry_world

ODD_KEYS = {'empty': '', 'line feed': 'k-1\n', 'trailing blank': 'k-1 '}


def _bytes(spelled):
    """Return the bytes of a header, or None without one."""
    kind, _, value = spelled.partition(':')
    match kind:
        case 'none':
            return None
        case 'HEX':
            return bytes.fromhex(value)
        case 'UTF8':
            return value.encode('utf-8')
    return ODD_KEYS[spelled].encode('utf-8')


@behave.given(
    'a VM in simulated time whose accounts alpha and beta have the keys '
    '{key} and other'
)
def given_keys(context, key):
    def change(state):
        state['tenants'] = [
            {'name': 'alpha', 'apiKeys': [_bytes(key).decode('utf-8')]},
            {'name': 'beta', 'apiKeys': ['other']},
        ]

    context.world = entry_world.EntryWorld()
    context.world.put_state(change)
    context.world.list_upstream('d1', 'desk', 'a')


@behave.when('a lookup presents the bytes {spelled} as its key')
def present_key(context, spelled):
    exchange = entry_world.Exchange(context.world, 'GET', '/look/x', 'r', {})
    key = _bytes(spelled)
    exchange.request.headers = [
        (name, key if name == b'credential' else value)
        for name, value in exchange.request.headers
        if name != b'credential' or key is not None
    ]
    exchange.request.raw_headers = exchange.request.headers
    context.world.daemon.forwarder.handle(exchange)
    context.exchange = exchange


@behave.then('its account is {account:w}')
def account_is(context, account):
    if account == 'unknown':
        assert context.exchange.status == 401, context.exchange.status
        assert not context.world.sent
    else:
        (sent,) = context.world.sent
        assert sent.headers['tenant'] == account, sent.headers


@behave.given(
    'the state of the stand-in with an account whose second key is {key}'
)
def given_odd_key(context, key):
    state = users_documents.desired_state(1)
    state['tenants'][0]['apiKeys'][1] = ODD_KEYS[key]
    decoded = desired_state.decode_state(json.dumps(state).encode())
    context.faults = state_check.check_state(decoded.unwrap())
    context.key = ODD_KEYS[key]


@behave.then('a fault names the second key of that account without quoting it')
def fault_names_key(context):
    (fault,) = context.faults
    assert fault.path == '$.accounts["acme"].keys[1]', fault.path
    if context.key:
        assert context.key not in fault.reason, fault.reason
        assert context.key not in fault.remedy, fault.remedy
