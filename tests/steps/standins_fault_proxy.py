"""Steps for the fault proxy.

They use real sockets and check lower bounds on elapsed time only, so that
they also pass on a busy machine.
"""

import socket
import threading
import time

import behave

from standins import proxy_loop

GENEROUS_S = 20.0
DELAY_MS = 60.0


def _echo(listener):
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        threading.Thread(
            target=_serve, args=(connection,), daemon=True
        ).start()


def _serve(connection):
    with connection:
        while data := connection.recv(65_536):
            connection.sendall(data)


@behave.given('an echo server behind a fault proxy')
def given_proxy(context):
    listener = socket.create_server(('127.0.0.1', 0))
    context.add_cleanup(listener.close)
    threading.Thread(target=_echo, args=(listener,), daemon=True).start()
    context.loop = proxy_loop.ProxyLoop()
    threading.Thread(target=context.loop.run, daemon=True).start()
    order = proxy_loop.LinkRequest(
        'a>b>echo', f'127.0.0.1:{listener.getsockname()[1]}', 'narrow'
    )
    opened = context.loop.call(lambda: context.loop.open_links([order]))
    host, _, port = opened['a>b>echo'].rpartition(':')
    context.address = (host, int(port))


def _fault(context, **faults):
    order = proxy_loop.FaultRequest(['>echo'], **faults)
    context.loop.call(lambda: context.loop.set_faults(order))


def _connect(context):
    connection = socket.create_connection(context.address, GENEROUS_S)
    context.add_cleanup(connection.close)
    return connection


def _echoes(connection, data=b'ping'):
    connection.sendall(data)
    received = b''
    while len(received) < len(data):
        received += connection.recv(65_536)
    return received == data


@behave.given('a working connection through the proxy')
def given_connection(context):
    context.old = _connect(context)
    assert _echoes(context.old)


@behave.when('the open connections become black holes')
def fall_silent(context):
    _fault(context, black_hole='old')


@behave.when('the open connections are reset')
def reset(context):
    _fault(context, reset=True)


@behave.when('the direction towards the caller is closed')
def half_close(context):
    _fault(context, half_close=True)


@behave.then('the old connection delivers no data and is not closed')
def old_is_silent(context):
    context.old.sendall(b'lost')
    context.old.settimeout(0.3)
    try:
        data = context.old.recv(1)
    except TimeoutError:
        return
    raise AssertionError(f'received {data!r}')


@behave.then('a new connection through the proxy works')
def new_works(context):
    assert _echoes(_connect(context))


@behave.then('the old connection reports a reset')
def old_is_reset(context):
    try:
        context.old.recv(1)
    except ConnectionResetError:
        return
    raise AssertionError('the connection was not reset')


@behave.then('the old connection reads the end of data and can still send')
def old_is_half_closed(context):
    assert context.old.recv(1) == b''
    context.old.sendall(b'still')


@behave.then('new connections are refused until the fault is removed')
def refused(context):
    _fault(context, refuse=True)
    try:
        _connect(context)
    except ConnectionRefusedError:
        _fault(context, refuse=False)
        assert _echoes(_connect(context))
        return
    raise AssertionError('the connection was not refused')


@behave.then('an echo takes at least twice the delay')
def delayed(context):
    _fault(context, delay_ms=DELAY_MS)
    began_s = time.monotonic()
    assert _echoes(context.old)
    taken_ms = (time.monotonic() - began_s) * 1000
    assert taken_ms >= 2 * DELAY_MS, taken_ms


@behave.then('two connections together do not exceed the shared rate')
def throttled(context):
    bits = 4_000_000.0
    context.loop.call(lambda: context.loop.set_rates({'narrow': bits}))
    data = bytes(50_000)
    began_s = time.monotonic()
    threads = [
        threading.Thread(target=_echoes, args=(connection, data))
        for connection in (context.old, _connect(context))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(GENEROUS_S)
    least_s = 2 * len(data) * 8 / bits
    assert time.monotonic() - began_s >= least_s


@behave.then('a large body is echoed unchanged')
def large_body(context):
    context.old.settimeout(GENEROUS_S)
    data = bytes(range(256)) * 8_000
    sender = threading.Thread(target=context.old.sendall, args=(data,))
    sender.start()
    received = bytearray()
    while len(received) < len(data):
        received += context.old.recv(65_536)
    sender.join(GENEROUS_S)
    assert bytes(received) == data
