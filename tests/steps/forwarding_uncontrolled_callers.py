"""Steps for callers that the operators do not control."""

import collections
import itertools
import pathlib
import re
import resource

import behave

from standins import users_documents
from tests import crowd as crowds
from tests import entry_process

SOON_S = 5.0
HANG_S = 30.0
"""A request without a response for this long shows that the VM hangs."""
HEAD_BYTES = 16_000
"""Just below the limit on heads."""
BODY_BYTES = 4_194_304
PIPELINED_BYTES = 4_000_000
MIN_SPARE_DESCRIPTORS = 20
MAX_PARTS = 2_200
"""Parts of a prompt that fill a head of the largest size."""
STREAM_LINES = 700
"""Header lines of a head that is just small enough to be parsed at once."""
NEW_PARTS = 1_500
"""The same, with parts of up to eight digits."""
KEPT_BODIES = 4
KEY = b'Host: a.example\r\nCredential: key-one\r\n'
TOKENS = b'Token-Counts: 1000,160\r\n'
_numbers = itertools.count(1)


@behave.given('the limits of a real deployment with long timeouts')
def real_limits(context):
    state = users_documents.desired_state(2)
    state['limits'].update(
        maxBodyBytes=BODY_BYTES, headerTimeoutMs=3_000, idleTimeoutMs=15_000
    )
    # The speed of the machine must not end an ordinary request.
    for route in state['routes']:
        route['timeoutMs'] = int(HANG_S * 1_000)
    context.platform.put_state(state)


@behave.given('an entry VM with {memory:d} MB that is ready')
def entry_with_memory(context, memory):
    _start(context, {'memory_mb': memory})


@behave.given('an entry VM with {descriptors:d} descriptors that is ready')
def entry_with_descriptors(context, descriptors):
    _start(context, {'descriptors': descriptors})
    limits = (descriptors, descriptors)
    resource.prlimit(context.entry.process.pid, resource.RLIMIT_NOFILE, limits)


def _start(context, settings):
    context.settings = settings
    context.entry = entry_process.EntryProcess(
        context.platform.address, changes=settings
    )
    context.add_cleanup(context.entry.stop)
    context.entry.wait_ready()
    print('at rest:', _memory_kb(context, 'VmRSS'), 'kB')


def _head(route, *lines):
    return b'\r\n'.join(
        [b'POST /%s/x HTTP/1.1\r\n%s' % (route, KEY + TOKENS), *lines]
    ).replace(b'\r\n\r\n', b'\r\n')


def _request(route, body, missing=0):
    """Return a request whose body lacks some bytes at its end."""
    head = _head(route, b'Content-Length: %d' % len(body))
    return head + b'\r\n\r\n' + body[: len(body) - missing]


def _chunked(route, chunk, count):
    """Return a request whose body lacks only the last chunk."""
    part = b'%x\r\n%s\r\n' % (len(chunk), chunk)
    head = _head(route, b'Transfer-Encoding: chunked')
    return head + b'\r\n\r\n' + part * count


def _long_head(line, *more):
    """Return a head of one line many times, just below the limit.

    Args:
        line: Returns the line with a number.
        more: Further lines.
    """
    lines, size = [*more], 0
    for number in itertools.count():
        lines.append(line(number))
        size += len(lines[-1]) + 2
        if size > HEAD_BYTES - len(KEY + TOKENS) - 100:
            return _head(b'book', *lines) + b'\r\n\r\n'


def _short_line(number):
    return b'%c:' % b'abcdefgijklmnopqrsuvwxyz'[number % 24]


def _odd_line(number):
    """Return a legal line: rare characters, spaces, bytes above ASCII."""
    return b"!#$%%&'*+-.^_`|~%d:\t \xff\xfe \t" % (number % 10)


def _repeated_name(_):
    return b'X-Same: 1'


def _lookup_line(number):
    return b'X-Line-%d: %s' % (number, b'x' * 150)


def _prompt(request, first, count):
    """Return a request for a stream whose prompt has many parts."""
    parts = b','.join(b'%x:1' % (first + number) for number in range(count))
    return _stream(request, b'Prompt-Prefix: %s' % parts)


def _new_prompt(request):
    """Return a request whose prompt has parts that no other prompt has."""
    return _prompt(request, next(_numbers) << 12, NEW_PARTS)


def _stream(request, *lines, body=b''):
    """Return a request for a stream."""
    more = (b'Request-Id: %s' % request, b'Content-Length: %d' % len(body))
    return _head(b'write', *more, *lines) + b'\r\n\r\n' + body


def _payload(what):
    """Return a function of a request's ID that returns the request."""
    if what in _STREAMS:
        return _STREAMS[what]
    sent = _PAYLOADS[what]()
    return lambda _: sent


_LENGTH = b'Content-Length: 10'
_LOOKUP = b'GET /look/x HTTP/1.1\r\n' + KEY + b'\r\n'
_LONG_LOOKUP = _long_head(_short_line).replace(b'POST /book', b'GET /look')
_PAYLOADS = {
    'bodies short of their end': lambda: _request(
        b'book', b'b' * BODY_BYTES, 1
    ),
    'chunked bodies short of their end': lambda: _chunked(
        b'book', b'b' * 65_536, BODY_BYTES // 65_536
    ),
    'streaming requests short of their end': lambda: _request(
        b'write', b'b' * BODY_BYTES, 1
    ),
    'whole streaming requests': lambda: _request(b'write', b'b' * BODY_BYTES),
    'heads of short lines': lambda: _long_head(_short_line, _LENGTH),
    'heads of odd lines': lambda: _long_head(_odd_line, _LENGTH),
    'heads of repeated names': lambda: _long_head(_repeated_name, _LENGTH),
    'half a head': lambda: _long_head(_short_line)[:-2],
    'many requests at once': lambda: (
        _LOOKUP * (PIPELINED_BYTES // len(_LOOKUP))
    ),
    'many requests with heads of short lines': lambda: (
        _LONG_LOOKUP * (PIPELINED_BYTES // len(_LONG_LOOKUP))
    ),
    'bodies in chunks of one byte': lambda: _chunked(
        b'book', b'b', BODY_BYTES
    ),
    'whole bodies': lambda: _request(b'book', b'b' * BODY_BYTES),
    'lookups with 90 lines': lambda: (
        _head(b'look', *map(_lookup_line, range(90))) + b'\r\n\r\n'
    ),
}
_STREAMS = {
    'whole streams': lambda request: _stream(request, body=b'b' * BODY_BYTES),
    'new prompts of many parts': _new_prompt,
    'prompts of many parts': lambda request: _prompt(
        request, 0x1000, MAX_PARTS
    ),
    'streams with short lines': lambda request: _stream(
        request,
        b'Prompt-Prefix: a1:79,b2:900',
        *[b'a:1'] * STREAM_LINES,
    ),
}


@behave.when('{count:d} callers connect and send nothing and stay')
def idle_crowd(context, count):
    _gather(context, count, lambda _: b'')


@behave.when('{count:d} callers send {what} and stay')
def crowd(context, count, what):
    _forget_bodies(context)
    _gather(context, count, _payload(what))


def _gather(context, count, payload):
    context.crowd = crowds.Crowd(
        context.entry.ports['callers'], count, payload
    )
    context.add_cleanup(context.crowd.close)


@behave.when(
    '{count:d} callers return {rounds:d} times, sending {what} and {conduct}'
)
def returning_crowd(context, count, rounds, what, conduct):
    _forget_bodies(context)
    crowd = crowds.ReturningCrowd(
        context.entry.ports['callers'],
        count,
        rounds,
        _payload(what),
        crowds.Conduct(conduct),
    )
    print('outcomes:', dict(crowd.outcomes))


def _forget_bodies(context):
    """Keep only a few of the bodies that the stand-ins receive."""
    for upstream in context.desks + context.engines:
        upstream.bodies = collections.deque(maxlen=KEPT_BODIES)


@behave.when('those callers leave')
def crowd_leaves(context):
    context.crowd.close()


@behave.when('a booking with {head} and a body of 4 MiB is sent {framing}')
def large_booking(context, head, framing):
    context.body = bytes(range(256)) * (BODY_BYTES // 256)
    lines = [b'Request-Id: large']
    if '16 KB' in head:
        # The stand-in reads at most 100 lines.
        lines += [b'X-Line-%d: %s' % (n, b'x' * 1_000) for n in range(15)]
    if framing == 'at once':
        lines.append(b'Content-Length: %d' % BODY_BYTES)
        body = context.body
    else:
        lines.append(b'Transfer-Encoding: chunked')
        parts = [
            context.body[start : start + 64]
            for start in range(0, BODY_BYTES, 64)
        ]
        body = b''.join(b'40\r\n%s\r\n' % part for part in parts)
        body += b'0\r\n\r\n'
    with entry_process.Caller(context.entry.ports['callers']) as caller:
        caller.stream.settimeout(HANG_S)
        caller.stream.sendall(_head(b'book', *lines) + b'\r\n\r\n' + body)
        context.answer = caller.read()


@behave.then('the server has received that body and the booking is answered')
def large_booking_answered(context):
    assert context.answer.status == 200, context.entry.log()
    (body,) = [body for desk in context.desks for body in desk.bodies]
    assert body == context.body


@behave.then('an ordinary request is answered')
def ordinary_request(context):
    request = f'o{next(_numbers)}'
    headers = {'Request-Id': request, 'Credential': 'key-one'}
    with entry_process.Caller(context.entry.ports['callers']) as caller:
        caller.stream.settimeout(HANG_S)
        try:
            answer = caller.ask('GET', '/look/x', headers)
        except TimeoutError:
            raise AssertionError('the VM hangs') from None
    assert answer.status == 200, (answer.status, answer.body)
    assert answer.body.startswith(f'answer to {request} '.encode())


@behave.then('the entry VM is alive and its memory has stayed under its limit')
def memory_bounded(context):
    assert context.entry.process.poll() is None, context.entry.log()[-2_000:]
    peak_kb = _memory_kb(context, 'VmHWM')
    print('peak:', peak_kb, 'kB')
    assert peak_kb < context.settings['memory_mb'] * 1_000, f'{peak_kb} kB'


@behave.then('the entry VM is alive and has descriptors left')
def descriptors_left(context):
    assert context.entry.process.poll() is None, context.entry.log()[-2_000:]
    folder = pathlib.Path(f'/proc/{context.entry.process.pid}/fd')
    used = len(list(folder.iterdir()))
    print('descriptors:', used)
    left = context.settings['descriptors'] - used
    assert left >= MIN_SPARE_DESCRIPTORS, f'{used} are open'


def _memory_kb(context, field):
    status = pathlib.Path(f'/proc/{context.entry.process.pid}/status')
    (found,) = re.findall(rf'{field}:\s+(\d+) kB', status.read_text())
    return int(found)
