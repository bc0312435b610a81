"""Steps for responses that do not end."""

import concurrent.futures
import itertools
import json
import pathlib
import re
import socket
import time

import behave

from standins import users_documents
from tests import entry_process

SOON_S = 2.0
MIN_LOOKUPS = 5
READ_BYTES = 65_536
_numbers = itertools.count(1)


def _ask(context, method, path):
    """Send a request; return its ID, the response and its duration in s."""
    request = f'e{next(_numbers)}'
    headers = {'Request-Id': request, 'Credential': 'key-one'}
    body = b'{}' if method == 'POST' else None
    with entry_process.Caller(context.entry.ports['callers']) as caller:
        started_s = time.monotonic()
        answer = caller.ask(method, path, headers, body)
        return request, answer, time.monotonic() - started_s


@behave.given('the next {count:d} responses of each server are {fault}')
def next_faults(context, count, fault):
    for desk in context.desks:
        desk.faults = [fault] * count


@behave.given('the next response of one server is endless_{fault}')
def next_fault_of_one(context, fault):
    context.desks[0].faults = [f'endless_{fault}']


@behave.given('the next response of the engines is {fault}')
def next_engine_response(context, fault):
    faults = [fault]
    for engine in context.engines:
        engine.faults = faults


@behave.given('a state without maintained copies is in force')
def without_copies(context):
    state = users_documents.desired_state(2)
    state['services'][1]['engine']['backups'] = False
    context.platform.put_state(state)
    entry_process.wait_until(
        lambda: 'event=state_adopted version=2' in context.entry.log(),
        SOON_S,
        context.entry.log,
    )


@behave.given('the response to each copy is {fault}')
def copy_fault(context, fault):
    for engine in context.engines:
        engine.move_fault = fault


@behave.when(
    '{count:d} bookings are sent at once, and lookups after they have run'
)
def book_and_look_up(context, count):
    context.bookings = []
    context.lookups = []
    with concurrent.futures.ThreadPoolExecutor(count) as executor:
        bookings = [
            executor.submit(_ask, context, 'POST', '/book/x')
            for _ in range(count)
        ]
        entry_process.wait_until(
            lambda: context.platform.runs.total() == count,
            SOON_S,
            context.entry.log,
        )
        for desk in context.desks:
            desk.faults = []
        while len(context.lookups) < MIN_LOOKUPS or not all(
            booking.done() for booking in bookings
        ):
            context.lookups.append(_ask(context, 'GET', '/look/x'))
        context.bookings = [booking.result() for booking in bookings]


@behave.when('a booking is sent and read for {limit:d} s')
def book_and_read(context, limit):
    context.reset_after_s = None
    headers = {'Request-Id': f'e{next(_numbers)}', 'Credential': 'key-one'}
    with entry_process.Caller(context.entry.ports['callers']) as caller:
        started_s = time.monotonic()
        caller.send('POST', '/book/x', headers, b'{}')
        while context.reset_after_s is None:
            left_s = started_s + limit - time.monotonic()
            if left_s <= 0:
                return
            caller.stream.settimeout(left_s)
            try:
                assert caller.stream.recv(READ_BYTES), 'the response ended'
            except TimeoutError:
                return
            except ConnectionResetError:
                context.reset_after_s = time.monotonic() - started_s


def _read_slowly(context, pause_ms, end_s):
    headers = {'Request-Id': f'e{next(_numbers)}', 'Credential': 'key-one'}
    with entry_process.Caller(context.entry.ports['callers']) as caller:
        caller.stream.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES
        )
        caller.send('POST', '/book/x', headers, b'{}')
        caller.stream.settimeout(end_s - time.monotonic())
        while time.monotonic() < end_s:
            try:
                if not caller.stream.recv(READ_BYTES):
                    return
            except (TimeoutError, ConnectionResetError):
                return
            time.sleep(pause_ms / 1_000)


@behave.when(
    '{count:d} callers each read 64 KiB of a booking every {pause_ms:d} ms '
    'for {span:d} s'
)
def read_slowly(context, count, pause_ms, span):
    end_s = time.monotonic() + span
    with concurrent.futures.ThreadPoolExecutor(count) as executor:
        for _ in range(count):
            executor.submit(_read_slowly, context, pause_ms, end_s)


@behave.then('a booking is served once the servers are sound')
def served_when_sound(context):
    for desk in context.desks:
        desk.faults = []
    entry_process.wait_until(
        lambda: _ask(context, 'POST', '/book/x')[1].status == 200,
        SOON_S,
        context.entry.log,
    )


@behave.then('its connection was reset after {least:d} to {most:d} s')
def reset_in_time(context, least, most):
    took_s = context.reset_after_s
    assert took_s is not None, context.entry.log()
    assert least < took_s < most, took_s


@behave.then('the log has a call that ended at the deadline')
def call_ended_at_deadline(context):
    _wait_for_line(context, r'event=call_ended .*reason=deadline')


@behave.when('{count:d} lookups are sent one by one')
def look_up(context, count):
    context.lookups = [_ask(context, 'GET', '/look/x') for _ in range(count)]


@behave.then(
    'each booking is answered {status:d} within {bound:d} s and has run once'
)
def bookings_answered(context, status, bound):
    for request, answer, took_s in context.bookings:
        assert answer.status == status, (answer.status, took_s)
        assert took_s < bound, took_s
        assert context.platform.runs[request] == 1, request


@behave.then('each lookup is answered {status:d} within {bound:d} ms')
def lookups_answered(context, status, bound):
    for request, answer, took_s in context.lookups:
        assert answer.status == status, answer.status
        assert answer.body.startswith(f'answer to {request} '.encode())
        assert took_s < bound / 1_000, took_s


@behave.then('the servers soon see those connections closed')
def connections_closed(context):
    servers = [*context.desks, *context.engines]
    entry_process.wait_until(
        lambda: not any(server.unended for server in servers),
        SOON_S,
        context.entry.log,
    )


@behave.then("the VM's memory has stayed under its limit")
def memory_bounded(context):
    status = pathlib.Path(f'/proc/{context.entry.process.pid}/status')
    (peak_kb,) = re.findall(r'VmHWM:\s+(\d+) kB', status.read_text())
    settings = json.loads(context.entry.settings_path.read_text())
    assert int(peak_kb) < settings['memory_mb'] * 1_000, f'{peak_kb} kB'


@behave.when('the stream goes on once a copy has failed')
def resume_stream(context):
    # The end of the stream would cancel the copy.
    _wait_for_line(context, r'event=run_copied .*handle=None')
    # It was cut off for its size, not at its timeout.
    assert 'event=answer_malformed' in context.entry.log()
    for engine in context.engines:
        engine.resumed.set()
    context.answer = context.caller.read()


def _wait_for_line(context, line):
    entry_process.wait_until(
        lambda: re.search(line, context.entry.log()),
        SOON_S,
        context.entry.log,
    )
