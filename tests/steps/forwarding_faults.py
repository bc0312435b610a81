"""Steps for an entry VM that is paused or whose links fail."""

import itertools
import signal
import threading
import time

import behave

from standins import proxy_loop
from tests import entry_process

SOON_S = 5.0
_numbers = itertools.count(1)


def _open_link(context, name, target):
    """Open a link to a target through the proxy; return its address."""
    if not hasattr(context, 'proxy'):
        context.proxy = proxy_loop.ProxyLoop()
        threading.Thread(target=context.proxy.run, daemon=True).start()
    order = proxy_loop.LinkRequest(name, target)
    opened = context.proxy.call(lambda: context.proxy.open_links([order]))
    return opened[name]


def _set_fault(context, name, fault):
    order = proxy_loop.FaultRequest(
        [name], black_hole=fault, reset=fault == 'none'
    )
    context.proxy.call(lambda: context.proxy.set_faults(order))


@behave.given(
    'an entry VM with a fallible link to the store and keys bounded by '
    '{bound:d} ms'
)
def entry_behind_link(context, bound):
    store = _open_link(context, 'store', context.platform.address)
    context.entry = entry_process.EntryProcess(store, revoke_ms=bound)
    context.add_cleanup(context.entry.stop)
    context.entry.wait_ready()


def _caller(context):
    caller = entry_process.Caller(context.entry.ports['callers'])
    context.add_cleanup(caller.stream.close)
    return caller


def _headers(key='key-one', **more):
    return {'Request-Id': f'f{next(_numbers)}', 'Credential': key, **more}


def _book(context, key='key-one'):
    headers = _headers(key)
    answer = _caller(context).ask('POST', '/book/x', headers, b'{}')
    return headers['Request-Id'], answer


def _revoke(context, key):
    state = dict(context.platform.state)
    state['version'] += 1
    state['tenants'] = [
        {
            **account,
            'apiKeys': [k for k in account['apiKeys'] if k != key],
        }
        for account in state['tenants']
    ]
    context.platform.put_state(state)


@behave.given('a booking with the key {key} was served')
def was_served(context, key):
    _, answer = _book(context, key)
    assert answer.status == 200, context.entry.log()


@behave.when(
    'the VM is paused, the key {key} is revoked and a booking with it is sent'
)
def frozen_and_revoked(context, key):
    context.caller = _caller(context)
    context.entry.process.send_signal(signal.SIGSTOP)
    _revoke(context, key)
    headers = _headers(key)
    context.request = headers['Request-Id']
    context.caller.send('POST', '/book/x', headers, b'{}')


@behave.when('the VM is resumed after {seconds:d} s')
def goes_on(context, seconds):
    time.sleep(seconds)
    context.entry.process.send_signal(signal.SIGCONT)


@behave.then('that booking gets 401 or 503 and has not run')
def not_run(context):
    answer = context.caller.read()
    assert answer.status in (401, 503), answer.status
    assert context.platform.runs[context.request] == 0


@behave.when(
    'a stream is read and the VM is paused for {seconds:d} s after {count:d} '
    'events'
)
def stream_and_freeze(context, seconds, count):
    caller = _send_stream(context)
    caller.wait_events(count)
    context.entry.process.send_signal(signal.SIGSTOP)
    goes_on(context, seconds)
    context.answer = caller.read()


def _send_stream(context):
    caller = _caller(context)
    headers = _headers(**{'Token-Counts': '1000,160'})
    context.request = headers['Request-Id']
    caller.send('POST', '/write/x', headers, b'{}')
    return caller


@behave.when(
    'bookings are sent and the VM is paused for {seconds:d} s after each'
)
def book_and_freeze(context, seconds):
    context.answers = {}
    for wait_ms in (0, 1, 3, 10):
        caller = _caller(context)
        headers = _headers()
        caller.send('POST', '/book/x', headers, b'{}')
        time.sleep(wait_ms / 1_000)
        context.entry.process.send_signal(signal.SIGSTOP)
        goes_on(context, seconds)
        context.answers[headers['Request-Id']] = caller.read()


@behave.then('each was answered 200 and has run once')
def all_once(context):
    for request, answer in context.answers.items():
        assert answer.status == 200, (request, answer.status)
        assert context.platform.runs[request] == 1, request


@behave.when(
    'the link to the store loses {direction} and the key {key} is revoked'
)
def cut_and_revoked(context, direction, key):
    _set_fault(context, 'store', direction)
    _revoke(context, key)


@behave.when('{seconds:d} s of VM time pass')
def seconds_pass(context, seconds):
    time.sleep(seconds)


@behave.then('a booking with the key {key} is answered 503 and has not run')
def refused_unknown(context, key):
    request, answer = _book(context, key)
    assert answer.status == 503, answer.status
    assert context.platform.runs[request] == 0


@behave.when('the link to the store is restored')
def whole_again(context):
    _set_fault(context, 'store', 'none')


@behave.when('a desk server stops and an engine starts at its address')
def address_reused(context):
    desk = context.desks[0]
    port = desk.server.server_address[1]
    desk.crash()
    context.engine = context.platform.start_upstream('w3', 'writer', port)


@behave.when('{count:d} bookings are sent one by one')
def send_bookings(context, count):
    context.answers = dict(_book(context) for _ in range(count))


@behave.then('the engine at that address ran none of them')
def ran_none(context):
    refused = [
        seen for seen in context.engine.seen if seen['Expect-Instance'] != 'w3'
    ]
    ran = [seen for seen in context.engine.seen if seen not in refused]
    assert not ran, ran


@behave.when(
    'a stream is read and the entry of its engine is removed after {count:d} '
    'events'
)
def leaver_unsaid(context, count):
    caller = _send_stream(context)
    caller.wait_events(count)
    (context.engine,) = [engine for engine in context.engines if engine.seen]
    context.platform.put('servers', context.engine.name, None)
    context.answer = caller.read()


@behave.then('{count:d} further streams run at the other engine')
def further_streams(context, count):
    before = len(context.engine.seen)
    for _ in range(count):
        answer = _send_stream(context).read()
        assert answer.status == 200, (answer, context.entry.log())
        assert answer.is_whole, context.entry.log()
    assert len(context.engine.seen) == before, context.entry.log()


@behave.given('one desk server is behind a fallible link')
def desk_behind_link(context):
    desk = context.desks[0]
    address = _open_link(context, 'desk', desk.address)
    context.platform.put('servers', desk.name, None)
    entry_process.wait_until(
        lambda: f'upstream_gone upstream={desk.name}' in context.entry.log(),
        SOON_S,
        'the server is removed',
    )
    desk.publish_state('ready', address)
    entry_process.wait_until(
        lambda: f'address={address}' in context.entry.log(),
        SOON_S,
        'the new address is known',
    )


@behave.when('that link loses {direction} and {count:d} bookings are sent')
def link_loses(context, direction, count):
    _set_fault(context, 'desk', direction)
    context.answers = dict(_book(context) for _ in range(count))


@behave.then('each got a response and has run at most once')
def at_most_once(context):
    for request, answer in context.answers.items():
        assert answer.status in (200, 502, 503, 504), answer.status
        assert context.platform.runs[request] <= 1, request
        if answer.status == 503:
            assert context.platform.runs[request] == 0, request


@behave.then('at most {count:d} were not answered 200')
def most_answered(context, count):
    failed = [a.status for a in context.answers.values() if a.status != 200]
    assert len(failed) <= count, failed
