"""Steps for upstreams that state a request limit."""

import concurrent.futures
import itertools
import json
import time

import behave

from tests import entry_process

WINDOW_S = 4.0
TOLERATED_SHARE = 1.5
TOLERATED_EXTRA = 5
CONTACT_S = 4.0
"""Time after the first statement from which a limit must be kept; s."""
CALLERS = 40
_numbers = itertools.count(1)


@behave.given('{count:d} entry VMs that know each other')
def given_entries(context, count):
    context.entries = [
        entry_process.EntryProcess(context.platform.address, vm=f'vm-{number}')
        for number in range(count)
    ]
    for entry in context.entries:
        context.add_cleanup(entry.stop)
    for entry in context.entries:
        entry.wait_ready()
        entry_process.wait_until(
            lambda entry=entry: (
                entry.log().count('event=peer_linked') >= count - 1
            ),
            10.0,
            'the VMs know each other',
        )


@behave.given(
    'one server of each service states a limit of {limit:g} requests a second'
)
@behave.given(
    'one server of each service states a limit of {limit:g} request a second'
)
def one_is_limited(context, limit):
    _set_limits(context, limit, (context.desks[0], context.engines[0]))


@behave.given('all servers state a limit of {limit:g} request a second')
@behave.given('all servers state a limit of {limit:g} requests a second')
def all_are_limited(context, limit):
    _set_limits(context, limit, (*context.desks, *context.engines))


@behave.given('the limits of both engines are known to all VMs')
def engine_limits_known(context):
    names = [engine.name for engine in context.engines]

    def known():
        _send(context.entries[0], '/write/x')
        return all(
            f'event=upstream_limit upstream={name}' in entry.log()
            for name in names
            for entry in context.entries
        )

    entry_process.wait_until(known, 30.0, 'the limits are known')


@behave.when('a stream is read and its engine crashes after 10 events')
def engine_crashes(context):
    caller = entry_process.Caller(context.entries[0].ports['callers'])
    context.add_cleanup(caller.stream.close)
    context.request = f'limit-{next(_numbers)}'
    headers = {
        'Request-Id': context.request,
        'Credential': 'key-one',
        'Token-Counts': '1000,160',
    }
    caller.send('POST', '/write/x', headers, b'{}')
    caller.wait_events(10)
    ((name, _),) = context.platform.run_times[context.request]
    next(e for e in context.engines if e.name == name).crash()
    context.answer = caller.read()


@behave.then(
    'the stream is whole and continued on the other engine with a permit'
)
def continued(context):
    log = context.entries[0].log()
    assert context.answer.is_whole, log
    assert context.answer.body.count(b'data: ') == 40, log
    sent = f'event=sent_to_limited request={context.request}'
    (line,) = [
        line
        for line in log.splitlines()
        if sent in line and 'purpose=continuation' in line
    ]
    assert context.platform.runs[context.request] == 1, line


@behave.when('the server withdraws its limit')
def limit_withdrawn(context):
    context.desks[0].limit_per_s = None
    context.before = len(context.desks[0].arrivals_s)


@behave.then(
    'the server that withdrew its limit got a third of the last bookings'
)
def used_again(context):
    later = len(context.desks[0].arrivals_s) - context.before
    assert later >= len(context.answers) / 3, (later, len(context.answers))


@behave.then(
    'some bookings were answered 200 and the others refused as not run'
)
def served_or_refused(context):
    served = refused = 0
    for request, answer in context.answers:
        if answer.status == 200:
            served += 1
            assert context.platform.runs[request] == 1, request
            continue
        refused += 1
        assert answer.status == 503, (request, answer.status, answer.body)
        error = json.loads(answer.body)['error']
        assert error['outcome'] == 'not_run', error
        assert error['code'] == 'upstream_limit', error
        assert float(answer.headers['retry-after']) > 0, answer.headers
        assert context.platform.runs[request] == 0, request
    assert served and refused, (served, refused)


def _set_limits(context, limit, upstreams):
    for upstream in upstreams:
        upstream.limit_per_s = limit
    context.limited = upstreams


@behave.when(
    'bookings are sent to all VMs for {seconds:d} s, {rate:d} a second'
)
def send_bookings(context, seconds, rate):
    context.answers = _send_all(context, '/book/x', seconds, rate)


@behave.when(
    'streams are sent to all VMs for {seconds:d} s, {rate:d} a second'
)
def send_streams(context, seconds, rate):
    context.answers = _send_all(context, '/write/x', seconds, rate)


def _send_all(context, path, seconds, rate):
    """Send requests at a fixed rate to the VMs in turn.

    Returns:
        Pairs of request ID and answer, in order of sending.
    """
    context.sent_from_s = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as executor:
        futures = []
        for number in range(seconds * rate):
            due_s = context.sent_from_s + number / rate
            time.sleep(max(0.0, due_s - time.monotonic()))
            entry = context.entries[number % len(context.entries)]
            futures.append(executor.submit(_send, entry, path))
        return [future.result() for future in futures]


def _send(entry, path):
    request = f'limit-{next(_numbers)}'
    headers = {
        'Request-Id': request,
        'Credential': 'key-one',
        'Token-Counts': '1000,160',
    }
    with entry_process.Caller(entry.ports['callers']) as caller:
        return request, caller.ask('POST', path, headers, b'{}')


@behave.then('every booking was answered 200 by the server that ran it')
def all_bookings_answered(context):
    for request, answer in context.answers:
        assert answer.status == 200, (request, answer.status, answer.body)
        assert answer.body.startswith(f'answer to {request} '.encode())
        assert context.platform.runs[request] == 1


@behave.then('every stream was answered 200 and is whole')
def all_streams_whole(context):
    for request, answer in context.answers:
        assert answer.status == 200, (request, answer.status, answer.body)
        assert answer.is_whole, request
        assert answer.body.count(b'data: ') == 40, request


@behave.then(
    'the limited server got no more than its limit tolerates in any 4 s'
)
def within_limits(context):
    arrivals = [each.arrivals_s for each in context.limited]
    assert any(arrivals)
    for upstream in context.limited:
        most = _most_in_window(upstream.arrivals_s)
        tolerated = (
            TOLERATED_SHARE * WINDOW_S * upstream.limit_per_s + TOLERATED_EXTRA
        )
        assert most <= tolerated, (upstream.name, most, tolerated)


def _most_in_window(arrivals_s):
    """Return the largest number of arrivals in a window of 4 s.

    Windows begin once the limit has been stated for 4 s.
    """
    if not arrivals_s:
        return 0
    bound_s = [t for t in arrivals_s if t >= arrivals_s[0] + CONTACT_S]
    return max(
        (
            sum(start <= t < start + WINDOW_S for t in bound_s)
            for start in bound_s
        ),
        default=0,
    )
