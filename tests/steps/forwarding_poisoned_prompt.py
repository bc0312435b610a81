"""Steps for prompts that crash the engines that begin to answer them."""

import concurrent.futures
import dataclasses
import itertools
import json
import re
import time

import behave

from tests import entry_process

SOON_S = 5.0
STREAM_EVENTS = 40
_numbers = itertools.count(1)


@dataclasses.dataclass
class _Request:
    """One request of a caller and its response."""

    request: str
    prompt: str
    answer: entry_process.Answer | None = None

    @property
    def headers(self):
        return {
            'Request-Id': self.request,
            'Credential': 'key-one',
            'Token-Counts': '1000,160',
            'Prompt-Prefix': self.prompt,
        }

    @property
    def code(self):
        """Error code of the response."""
        return json.loads(self.answer.body)['error']['code']


def _new_request(parts):
    number = next(_numbers)
    names = [*parts.split(','), f'{number:08x}']
    return _Request(f'p{number}', ','.join(f'{name}:9' for name in names))


def _send(entry, request):
    with entry_process.Caller(entry.ports['callers']) as caller:
        request.answer = caller.ask('POST', '/write/x', request.headers, b'{}')
    return request


def _send_at_once(entry, requests):
    with concurrent.futures.ThreadPoolExecutor(len(requests)) as executor:
        list(executor.map(lambda each: _send(entry, each), requests))


def _engines(context):
    """Return all engines that have been started, crashed ones included."""
    engines = []
    for engine in context.engines:
        while engine is not None:
            engines.append(engine)
            engine = engine.successor
    return engines


def _reached(context):
    """Return the requests that any engine has received."""
    return {
        seen['Request-Id']
        for engine in _engines(context)
        for seen in engine.seen
    }


@behave.given(
    'the part {part} crashes each engine that begins to answer a prompt '
    'with it'
)
def given_deadly(context, part):
    for engine in context.engines:
        engine.deadly_parts = {part}


@behave.given('engines crash before the head of their answer')
def given_early_crashes(context):
    for engine in context.engines:
        engine.crashes_before_head = True


@behave.given(
    'the next {count:d} requests of each engine are reset unanswered'
)
def given_resets(context, count):
    for engine in context.engines:
        engine.faults = ['reset_unanswered'] * count


@behave.when(
    '{count:d} more requests with the parts {parts} are sent one by one'
)
def send_more_in_turn(context, count, parts):
    send_in_turn(context, count, parts)


@behave.then('no part was blocked')
def none_blocked(context):
    assert 'event=parts_blocked' not in context.entry.log()


@behave.then('all of the last {count:d} requests were served')
def last_served(context, count):
    for request in context.requests[-count:]:
        assert request.answer.status == 200, (request, context.entry.log())


@behave.given('only one engine is listed')
def given_single_engine(context):
    removed = context.engines.pop()
    context.platform.put('servers', removed.name, None)
    entry_process.wait_until(
        lambda: (
            f'upstream_gone upstream={removed.name}' in context.entry.log()
        ),
        SOON_S,
        context.entry.log,
    )


@behave.given('a second entry VM that is ready')
def given_second(context):
    context.second = entry_process.EntryProcess(
        context.platform.address, 'vm-2'
    )
    context.add_cleanup(context.second.stop)
    context.second.wait_ready()


@behave.given(
    '{count:d} sound requests that share the parts {parts} were served'
)
@behave.then(
    '{count:d} sound requests that share the parts {parts} are served'
)
def sound_served(context, count, parts):
    entry_process.wait_until(
        lambda: (
            sum(not e.broken.is_set() for e in _engines(context))
            >= len(context.engines)
        ),
        SOON_S,
        'the engines have started again',
    )
    entries = [context.entry]
    if 'second' in context:
        entries.append(context.second)
    for entry in entries:
        requests = [_new_request(parts) for _ in range(count)]
        _send_at_once(entry, requests)
        for request in requests:
            answer = request.answer
            assert answer.status == 200, (request, entry.log())
            assert answer.is_whole, (request, entry.log())
            events = re.findall(rb'id: (\d+)', answer.body)
            assert len(events) == STREAM_EVENTS, (request, events)


@behave.when('{count:d} requests with the parts {parts} are sent one by one')
def send_in_turn(context, count, parts):
    context.requests = [_new_request(parts) for _ in range(count)]
    for request in context.requests:
        _send(context.entry, request)


@behave.when(
    '{count:d} requests with the parts {parts} are sent {pause_ms:d} ms apart'
)
def send_spaced(context, count, parts, pause_ms):
    context.requests = [_new_request(parts) for _ in range(count)]
    for request in context.requests:
        _send(context.entry, request)
        time.sleep(pause_ms / 1_000)


@behave.when('{count:d} requests with the parts {parts} are sent at once')
def send_at_once(context, count, parts):
    context.requests = [_new_request(parts) for _ in range(count)]
    _send_at_once(context.entry, context.requests)


@behave.when('{seconds:d} s pass and {count:d} more are sent to the second VM')
def send_to_second(context, seconds, count):
    time.sleep(seconds)
    context.second_requests = [_new_request('aa,bb,dd') for _ in range(count)]
    for request in context.second_requests:
        _send(context.second, request)


@behave.when('an engine with a sound stream crashes under prompts with {part}')
def crash_beside_stream(context, part):
    request = _new_request('aa,bb')
    with entry_process.Caller(context.entry.ports['callers']) as caller:
        caller.send('POST', '/write/x', request.headers, b'{}')
        caller.wait_events(20)
        for engine in context.engines:
            if not any(
                seen['Request-Id'] == request.request for seen in engine.seen
            ):
                # The engine that holds the copy.
                engine.deadly_parts = set()
        _send_at_once(
            context.entry, [_new_request(f'aa,{part}') for _ in range(4)]
        )
        request.answer = caller.read()
    context.request = request
    assert context.platform.crashes == 1, context.platform.crashes


@behave.then('all {count:d} events of the sound stream come once and in order')
def events_complete(context, count):
    answer = context.request.answer
    assert answer.status == 200, context.entry.log()
    assert answer.is_whole, context.entry.log()
    found = [int(n) for n in re.findall(rb'id: (\d+)', answer.body)]
    assert found == list(range(1, count + 1)), found
    assert context.platform.runs[context.request.request] == 1


@behave.then('at most {count:d} engines have crashed')
def few_crashes(context, count):
    crashes = context.platform.crashes
    assert 0 < crashes <= count, (crashes, context.entry.log())


@behave.then(
    'the other requests with {part} got 503, not run, and reached no engine'
)
def others_refused(context, part):
    refused = [r for r in context.requests if r.answer.status == 503]
    assert refused, context.entry.log()
    _check_refused(context, refused)
    # A crashed engine need not have read a request that was sent to it.
    sent = _sent(context.entry.log())
    for request in context.requests:
        assert request in refused or request.request in sent, (
            request,
            request.answer.status,
            context.entry.log(),
        )


@behave.then('the VM sent no request with {part} after it was blocked')
def none_sent_later(context, part):
    entry_process.wait_until(
        lambda: 'event=parts_blocked' in context.entry.log(),
        SOON_S,
        context.entry.log,
    )
    _, later = context.entry.log().split('event=parts_blocked', 1)
    with_part = {r.request for r in context.requests if f'{part}:' in r.prompt}
    assert with_part.isdisjoint(_sent(later)), later


def _sent(log):
    """Return the requests that a VM has sent to an engine."""
    return set(re.findall(r'event=stream_sent request=(\S+)', log))


@behave.then(
    'all requests at the second VM got 503, not run, and reached no engine'
)
def second_refused(context):
    _check_refused(context, context.second_requests)


def _check_refused(context, requests):
    reached = _reached(context)
    for request in requests:
        answer = request.answer
        assert answer.status == 503, (request, context.entry.log())
        assert answer.headers['x-outcome'] == 'not_run', answer.headers
        assert float(answer.headers['retry-after']) > 0, answer.headers
        assert request.code == 'crashes_engines', answer.body
        assert request.request not in reached, request
