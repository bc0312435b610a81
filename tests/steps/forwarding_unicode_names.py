"""Steps for a deployment whose names are all beyond ASCII."""

import itertools
import json
import random
import re

import behave

from standins import users_documents
from standins import users_platform
from tests import entry_process

ZONES = ('서울-ㄱ', '부산-ㄴ')
REGIONS = {'서울-ㄱ': '북', '부산-ㄴ': '북'}
SERVICES = {'desk': '책상', 'writer': 'writer'}
"""The stand-in takes the service "writer" for one of engines."""
ACCOUNT = '화성시'
KEY = '열쇠-1'
OTHER_KEY = '열쇠-2'
KINDS = (
    ('POST', '/book/x', b'x'),
    ('GET', '/look/x', None),
    ('POST', '/write/x', b'x'),
)
SOON_S = 10.0
FIRST_EVENTS = 12
LETTERS = (
    *'abc-.,;=" \t\r\n\0\x0b\x1f\x7f',
    *'\u0080\u0085\u00a0é߀Ł가힣一\u0301\u200b\u2028\ufeff\uffff😀\ud800',
)
_numbers = itertools.count(1)


def _state():
    state = users_documents.desired_state(1)
    for route in state['routes']:
        route['name'] = f'{route["name"]}-경로'
        route['service'] = SERVICES[route['service']]
    for service in state['services']:
        service['name'] = SERVICES[service['name']]
    state['tenants'] = [{'name': ACCOUNT, 'apiKeys': [KEY]}]
    return state


@behave.given("the platform's stand-in in which all names are in Hangul")
def given_platform(context):
    context.platform = users_platform.Platform()
    context.add_cleanup(context.platform.stop)
    context.platform.put_state(_state())
    context.servers = [
        context.platform.start_upstream(
            f'{prefix}-{number}', service, zone=ZONES[0]
        )
        for prefix, service in (('서버', '책상'), ('엔진', 'writer'))
        for number in range(3)
    ]


@behave.given('two entry VMs in two zones with names in Hangul')
def given_vms(context):
    context.vms = {}
    for number, zone in enumerate(ZONES):
        name = f'입구-{number}'
        vm = entry_process.EntryProcess(
            context.platform.address, name, zone, REGIONS
        )
        context.add_cleanup(vm.stop)
        context.vms[name] = vm
    for vm in context.vms.values():
        vm.wait_ready()


def _send(vm, kind, key):
    method, path, body = kind
    request = f'요청-{next(_numbers)}'
    headers = {
        'Request-Id': request,
        'Credential': key,
        'Token-Counts': '100,40',
    }
    with entry_process.Caller(vm.ports['callers']) as caller:
        return request, caller.ask(method, path, headers, body)


def _send_all(context, key):
    context.answers = [
        _send(vm, kind, key)
        for vm, kind in itertools.product(context.vms.values(), KINDS)
    ]


@behave.when('a request of each kind is sent to each VM')
def send_all(context):
    _send_all(context, KEY)


@behave.when('a request of each kind is sent to each VM with its key')
def send_all_with_other_key(context):
    _send_all(context, OTHER_KEY)


def _add_accounts(context, accounts):
    state = _state()
    state['version'] = 2
    state['tenants'] += accounts
    context.platform.put_state(state)
    for vm in context.vms.values():
        entry_process.wait_until(
            lambda vm=vm: 'event=state_adopted version=2' in vm.log(),
            SOON_S,
            'version 2 is in force',
        )


@behave.when('an account is added whose name contains a line feed')
def add_account(context):
    _add_accounts(context, [{'name': '가\n나', 'apiKeys': [OTHER_KEY]}])


@behave.when(
    '{count:d} accounts are added whose names are generated with seed {seed:d}'
)
def add_generated_accounts(context, count, seed):
    generator = random.Random(seed)
    context.accounts = {}
    while len(context.accounts) < count:
        length = generator.randint(1, 6)
        name = ''.join(generator.choices(LETTERS, k=length))
        context.accounts.setdefault(name, f'key-{len(context.accounts)}')
    _add_accounts(
        context,
        [
            {'name': name, 'apiKeys': [key]}
            for name, key in context.accounts.items()
        ],
    )


@behave.when('each of them sends a lookup')
def send_lookups(context):
    vms = itertools.cycle(context.vms.values())
    context.lookups = {}
    for name, key in context.accounts.items():
        context.lookups[name] = _send(next(vms), KINDS[1], key)


def _is_sendable(name):
    """Return whether a header can carry a name (RFC 9110, section 5.5)."""
    if re.search('[\0-\x08\n-\x1f\x7f\ud800-\udfff]', name):
        return False
    return name == name.strip(' \t')


@behave.then(
    'each is served under its own name, or refused if no header can carry that'
)
def served_or_refused(context):
    seen = {
        headers['Request-Id']: headers['Tenant']
        for server in context.servers
        for headers in server.seen
    }
    for name, (request, answer) in context.lookups.items():
        if _is_sendable(name):
            assert answer.status == 200, (ascii(name), answer.status)
            assert seen[request] == name, (ascii(name), seen[request])
            continue
        assert answer.status == 503, (ascii(name), answer.status)
        assert request not in seen, ascii(name)
    served = sum(map(_is_sendable, context.lookups))
    assert 0 < served < len(context.lookups), served


@behave.then('each refusal names the account in the log')
def refusals_logged(context):
    text = ''.join(vm.log() for vm in context.vms.values())
    for name in context.lookups:
        if not _is_sendable(name):
            # The decoder replaces each lone surrogate.
            read = re.sub(
                '[\ud800-\udfff]', lambda each: f'\0{ord(each[0]):x}', name
            )
            assert f'account={json.dumps(read)} ' in text, ascii(name)


@behave.when('the engine of a stream crashes after some of its events')
def engine_crashes(context):
    vm = next(iter(context.vms.values()))
    headers = {
        'Request-Id': '끊긴 요청',
        'Credential': KEY,
        'Token-Counts': '100,40',
    }
    caller = entry_process.Caller(vm.ports['callers'])
    context.add_cleanup(caller.stream.close)
    caller.send('POST', '/write/x', headers, b'x')
    caller.wait_events(FIRST_EVENTS)
    (engine,) = (
        server
        for server in context.servers
        if any(
            seen['Request-Id'] == headers['Request-Id'] for seen in server.seen
        )
    )
    engine.crash()
    context.answer = caller.read()


@behave.then("each is answered 200 by an upstream that got its account's name")
def all_served(context):
    seen = {
        headers['Request-Id']: headers['Tenant']
        for server in context.servers
        for headers in server.seen
    }
    for request, answer in context.answers:
        assert answer.status == 200 and answer.is_whole, answer.status
        assert seen[request] == ACCOUNT, seen


@behave.then('each is refused with 503 as account_not_sendable')
def all_refused(context):
    for _, answer in context.answers:
        assert answer.status == 503, answer.status
        error = json.loads(answer.body)['error']
        assert error['code'] == 'account_not_sendable', error


@behave.then('the stream is whole')
def stream_whole(context):
    assert context.answer.status == 200 and context.answer.is_whole
    count = context.answer.body.count(b'id: ')
    assert count == 40, count


@behave.then('each VM has met the other one')
def vms_have_met(context):
    for name, vm in context.vms.items():
        (other,) = set(context.vms) - {name}
        quoted = json.dumps(other)
        entry_process.wait_until(
            lambda vm=vm, quoted=quoted: (
                f'event=peer_linked vm={quoted}' in vm.log()
            ),
            SOON_S,
            f'{name} has met {other}',
        )


@behave.then('the metrics of each VM can be read')
def metrics_read(context):
    for vm in context.vms.values():
        with entry_process.Caller(vm.ports['metrics']) as caller:
            answer = caller.ask('GET', '/metrics', {})
        assert answer.status == 200, answer.status
        assert b'eelgrassknot_requests_total' in answer.body


@behave.then('no line of their logs reports an exception')
def no_exceptions(context):
    for vm in context.vms.values():
        assert 'Error(' not in vm.log(), vm.log()
        assert 'Traceback' not in vm.log(), vm.log()
