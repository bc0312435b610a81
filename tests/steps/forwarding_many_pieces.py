"""Steps for responses that arrive in many small pieces."""

import concurrent.futures
import itertools
import re
import time

import behave

from tests import entry_process

SOON_S = 3.0
ENGINE_FAULTS = 100
_EVENT_ID = re.compile(rb'id: (\d+)\n')
_numbers = itertools.count(1)


def _headers(**more):
    request = f'p{next(_numbers)}'
    return {'Request-Id': request, 'Credential': 'key-one', **more}


def _open(context, path, count):
    """Send requests whose responses are not read."""
    for _ in range(count):
        caller = entry_process.Caller(context.entry.ports['callers'])
        context.add_cleanup(caller.stream.close)
        caller.send('POST', path, _headers(), b'{}')


@behave.given('the engines answer {count:d} streams with {fault}')
def engines_answer(context, count, fault):
    faults = [fault] * ENGINE_FAULTS
    for engine in context.engines:
        engine.faults = faults
    _open(context, '/write/x', count)
    entry_process.wait_until(
        lambda: len(faults) <= ENGINE_FAULTS - count,
        SOON_S,
        context.entry.log,
    )


@behave.given('the engines answer all further streams with {fault}')
def engines_answer_further(context, fault):
    faults = [fault] * ENGINE_FAULTS
    for engine in context.engines:
        engine.faults = faults


@behave.given('the servers answer {count:d} bookings with {fault}')
def servers_answer(context, count, fault):
    for desk in context.desks:
        desk.faults = [fault] * count
    _open(context, '/book/x', count)
    entry_process.wait_until(
        lambda: context.platform.runs.total() == count,
        SOON_S,
        context.entry.log,
    )
    for desk in context.desks:
        desk.faults = []


def _look_up(context, budget_ms):
    """Return the status of the response, or None if none came in time."""
    budget_s = budget_ms / 1_000
    end_s = time.monotonic() + budget_s
    headers = _headers(**{'Request-Deadline': budget_ms})
    try:
        with entry_process.Caller(context.entry.ports['callers']) as caller:
            caller.stream.settimeout(budget_s)
            answer = caller.ask('GET', '/look/x', headers)
    except OSError:
        return None
    return answer.status if time.monotonic() <= end_s else None


@behave.when(
    '{count:d} lookups are sent in {span:d} s, each with a budget of '
    '{budget:d} ms'
)
def look_up(context, count, span, budget):
    with concurrent.futures.ThreadPoolExecutor(count) as executor:
        lookups = []
        for _ in range(count):
            lookups.append(executor.submit(_look_up, context, budget))
            time.sleep(span / count)
        context.statuses = [lookup.result() for lookup in lookups]


@behave.then('each lookup is answered 200 within its budget')
def answered_in_time(context):
    assert set(context.statuses) == {200}, context.statuses


@behave.then('no process of the VM has ended')
def still_runs(context):
    assert context.entry.process.poll() is None


@behave.when('{count:d} streams of {events:d} events are read to their end')
def read_streams(context, count, events):
    with concurrent.futures.ThreadPoolExecutor(count) as executor:
        context.streams = list(
            executor.map(lambda _: _read_stream(context), range(count))
        )


def _read_stream(context):
    with entry_process.Caller(context.entry.ports['callers']) as caller:
        return caller.ask('POST', '/write/x', _headers(), b'{}')


@behave.then('each stream has all {count:d} events once and in order')
def all_events(context, count):
    expected = list(range(1, count + 1))
    for answer in context.streams:
        assert answer.status == 200 and answer.is_whole, answer.status
        found = [int(number) for number in _EVENT_ID.findall(answer.body)]
        assert found == expected, found[:5]
