"""Steps for the objects that a finished request leaves behind."""

import collections
import gc
import itertools
import unittest.mock

import behave

from eelgrassknot import logs
from tests import entry_process
from tests import entry_thread

RELEASE_S = 10.0
ROUNDS = 3
EVENTS = 3
PACKAGE = 'eelgrassknot.'
_numbers = itertools.count(1)
# Kept, because a stopped VM is released as a whole once the last of its
# threads has returned, maybe in a later scenario.
_entries = []


@behave.given('an entry VM in this process')
def entry_in_process(context):
    context.entry = entry_thread.EntryThread(context.platform.address, 'vm-1')
    _entries.append(context.entry)
    patch = unittest.mock.patch.object(logs, 'exception')
    context.failures = patch.start()
    context.add_cleanup(patch.stop)
    context.add_cleanup(context.entry.stop)
    context.entry.wait_ready()


def _caller(context):
    address = context.entry.daemon.settings.listen.callers
    return entry_process.Caller(int(address.rpartition(':')[2]))


def _ask(caller, method, path, body=None):
    headers = {
        'Request-Id': f'released-{next(_numbers)}',
        'Credential': 'key-one',
        'Token-Counts': '100,20',
        'Prompt-Prefix': 'a1:79,b2:21',
    }
    caller.send(method, path, headers, body)


def _answered(caller, _):
    for _ in range(2):
        _ask(caller, 'POST', '/book/x', b'b' * 1_000)
        assert caller.read().status == 200


def _left(caller, _):
    _ask(caller, 'POST', '/book/x', b'b' * 1_000)


def _broken_off(caller, context):
    for desk in context.desks:
        desk.faults = ['cut']
    _ask(caller, 'GET', '/look/x')
    assert caller.read().status in (200, 502)


def _large(caller, context):
    for desk in context.desks:
        desk.faults = ['large']
    _ask(caller, 'GET', '/look/x')
    assert caller.read().is_whole


def _no_route(caller, _):
    _ask(caller, 'GET', '/nowhere/x')
    assert caller.read().status == 404


def _unfinished(caller, _):
    caller.stream.sendall(
        b'POST /book/x HTTP/1.1\r\nHost: a.example\r\n'
        b'Content-Length: 1000\r\n\r\nb'
    )


def _malformed(caller, _):
    caller.stream.sendall(b'no request\r\n\r\n')
    assert caller.read().status == 400


def _streamed(caller, _):
    _ask(caller, 'POST', '/write/x', b'{}')
    assert caller.read().is_whole


def _stream_left(caller, _):
    _ask(caller, 'POST', '/write/x', b'{}')
    caller.wait_events(EVENTS)


def _stream_refused(caller, context):
    context.engines[0].faults = ['refusal']
    _ask(caller, 'POST', '/write/x', b'{}')
    caller.read()


def _stream_broken_off(caller, context):
    context.engines[0].faults = ['reset_stream']
    context.engines[1].faults = ['reset_stream']
    _ask(caller, 'POST', '/write/x', b'{}')
    caller.read()


_REQUESTS = {
    'a call that is answered': _answered,
    'a call whose caller leaves at once': _left,
    'a call whose server breaks off': _broken_off,
    'a call with a large response': _large,
    'a call without a route': _no_route,
    'a body that stops short of its end': _unfinished,
    'a malformed head': _malformed,
    'a stream that is read to its end': _streamed,
    'a stream whose caller leaves in the middle': _stream_left,
    'a stream whose engine refuses it': _stream_refused,
    'a stream whose engine breaks off': _stream_broken_off,
}


@behave.when('{request} is sent three times while the collector is off')
def send_while_off(context, request):
    _send(context, request)
    gc.collect()
    gc.disable()
    context.add_cleanup(gc.enable)
    for _ in range(ROUNDS):
        _send(context, request)


def _send(context, request):
    with _caller(context) as caller:
        _REQUESTS[request](caller, context)
    entry_process.wait_until(
        lambda: not context.entry.daemon.forwarder.connections,
        RELEASE_S,
        'the callers have left',
    )
    # The last callbacks of the loop have returned.
    context.entry.call(lambda: None)


@behave.then('no callback of the loop has failed')
def no_failures(context):
    assert not context.failures.call_args_list, context.failures.call_args_list


@behave.then('the collector finds no object of the package')
def nothing_left(context):
    gc.set_debug(gc.DEBUG_SAVEALL)
    try:
        gc.collect()
        found = collections.Counter(
            type(each).__name__
            for each in gc.garbage
            if type(each).__module__.startswith(PACKAGE)
        )
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
    assert not found, dict(found)
