"""Steps for the accounting of what is held for callers."""

import random
import socket
import struct
import unittest.mock

import behave
import h11

from eelgrassknot import clock as clocks
from eelgrassknot.forwarding import caller_connection
from eelgrassknot.forwarding import caller_memory
from eelgrassknot.forwarding import chunk_merger
from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import request_head

KB = 1_000
MAX_HELD = 300_000
_PHASES = (
    caller_memory.Phase.IDLE,
    caller_memory.Phase.READING,
    caller_memory.Phase.READING,
    caller_memory.Phase.RUNNING,
)
_BODY_HEAD = (
    b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
)


class _Holder:
    """A connection that notes what it is told."""

    address = '192.0.2.1:1'

    def __init__(self, name, memory):
        self.name = name
        self.memory = memory
        self.unsent_bytes = 0
        self.waits = False
        self.relief = None
        self.holding = None

    def wait(self):
        assert not self.waits and self.relief is None
        self.waits = True

    def go_on(self):
        assert self.waits
        self.waits = False

    def give_up(self, relief):
        assert self.relief is None
        assert self.holding.phase is caller_memory.Phase.LEAVING
        self.relief = relief
        self.unsent_bytes = 0
        # A refusal releases all but the connection.
        self.memory.update(
            self.holding, 0, 0, caller_memory.Phase.LEAVING, 0.0
        )


def _open(context, name, now_ms):
    holder = _Holder(name, context.memory)
    holder.holding = context.memory.open(holder, now_ms)
    context.holders[name] = holder
    return holder


@behave.given(
    'an accounting with a bound of {bound:d} kB and {count:d} connections'
)
def given_accounting(context, bound, count):
    context.holders = {}
    context.memory = caller_memory.CallerMemory(
        bound * KB,
        count,
        lambda: sum(each.unsent_bytes for each in context.holders.values()),
    )


def _read(context, name, kilobytes, missing, now_ms):
    holder = context.holders.get(name) or _open(context, name, now_ms)
    context.memory.update(
        holder.holding,
        kilobytes * KB,
        missing * KB,
        caller_memory.Phase.READING,
        now_ms,
    )


@behave.given('callers that have read these kB of a request')
def given_callers(context):
    for row in context.table:
        _read(
            context,
            row['caller'],
            int(row['kB']),
            int(row['missing kB']),
            float(row['at ms']),
        )


@behave.given('an idle caller {name:w} with {unsent:d} kB of unread responses')
def given_unread(context, name, unsent):
    _open(context, name, 0.0).unsent_bytes = unsent * KB


@behave.given('{count:d} idle connections opened one after the other')
def given_idle(context, count):
    for number in range(count):
        _open(context, f'idle-{number}', float(number))


@behave.when('the caller {name:w} reads {kilobytes:d} kB at {now:d} ms')
def read(context, name, kilobytes, now):
    missing = 100
    if name in context.holders:
        missing = context.holders[name].holding.missing // KB
    _read(context, name, kilobytes, missing, float(now))


@behave.when('the request of {name:w} is passed on')
def passed_on(context, name):
    _complete(context, name)
    assert not context.memory.refuses(context.holders[name].holding)


def _complete(context, name):
    holding = context.holders[name].holding
    held = holding.held - caller_memory.CONNECTION_BYTES
    context.memory.update(
        holding, held, 0, caller_memory.Phase.RUNNING, holding.progressed_ms
    )


@behave.when('the complete request of {name:w} holds {kilobytes:d} kB')
def complete_beyond(context, name, kilobytes):
    holder = _open(context, name, 0.0)
    context.memory.update(
        holder.holding,
        kilobytes * KB,
        0,
        caller_memory.Phase.RUNNING,
        1.0,
    )
    assert context.memory.refuses(holder.holding)


@behave.when('the caller {name:w} closes its connection')
def leaves(context, name):
    holder = context.holders.pop(name)
    context.memory.close(holder.holding, 200.0)


@behave.when('the accounting is swept at {now:d} ms')
def swept(context, now):
    context.memory.sweep(float(now))


@behave.when('one more connection is to be accepted')
def one_more(context):
    # Closing an idle connection releases it at once.
    context.has_room = context.memory.make_room(100.0)


@behave.then('the caller {name} gives up with {relief:w}')
def gives_up(context, name, relief):
    holder = context.holders.pop(name)
    assert holder.relief is caller_memory.Relief(relief), holder.relief


@behave.then('no other caller gives up')
def others_go_on(context):
    gone = [each.name for each in context.holders.values() if each.relief]
    assert not gone, gone


@behave.then('the accounting is under its bound')
def under_bound(context):
    assert context.memory.total <= context.memory.max_bytes


@behave.then('the caller {name:w} waits')
def waits(context, name):
    assert context.holders[name].waits


@behave.then('the caller {name:w} does not wait')
def does_not_wait(context, name):
    holder = context.holders[name]
    assert not holder.waits and holder.relief is None


@behave.then(
    'it stays exact and bounded in a history of {steps:d} steps with seed '
    '{seed:d}'
)
def history(context, steps, seed):
    generator = random.Random(seed)
    memory = context.memory
    now_ms = 0.0
    for step in range(steps):
        now_ms += generator.expovariate(1 / 20)
        holders = list(context.holders.values())
        draw = generator.random()
        if draw < 0.1 or not holders:
            if memory.make_room(now_ms):
                _open(context, f'h{step}', now_ms)
        elif draw < 0.2:
            holder = generator.choice(holders)
            del context.holders[holder.name]
            memory.close(holder.holding, now_ms)
        elif draw < 0.3:
            memory.sweep(now_ms)
        else:
            _step(memory, generator, generator.choice(holders), now_ms)
        for holder in list(context.holders.values()):
            if holder.relief is not None:
                del context.holders[holder.name]
                memory.close(holder.holding, now_ms)
        _check(context, memory)


def _step(memory, generator, holder, now_ms):
    phase = generator.choice(_PHASES)
    if holder.waits and phase is caller_memory.Phase.READING:
        return
    held = generator.randrange(MAX_HELD)
    if phase is caller_memory.Phase.IDLE:
        held = 0
    memory.update(
        holder.holding, held, generator.randrange(MAX_HELD), phase, now_ms
    )
    if phase is caller_memory.Phase.RUNNING:
        memory.refuses(holder.holding)


def _check(context, memory):
    holdings = {each.holding for each in context.holders.values()}
    assert memory.holdings == holdings
    assert memory.held == sum(holding.held for holding in holdings)
    assert memory.held <= memory.max_bytes, memory.held
    assert memory.waiting | memory.granted <= holdings
    assert not memory.waiting & memory.granted
    waiting = {h.holding for h in context.holders.values() if h.waits}
    assert memory.waiting == waiting
    assert len(holdings) <= memory.max_connections


@behave.then(
    'a VM with {memory:d} MB and {descriptors:d} descriptors holds '
    '{kilobytes:d} kB for {callers:d} callers'
)
def bounds(_, memory, descriptors, kilobytes, callers):
    assert caller_memory.default_bytes(memory) // KB == kilobytes
    assert caller_memory.default_connections(descriptors) == callers


def _decode(pieces):
    """Return the body that the parser reads and what follows it."""
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(_BODY_HEAD)
    parser.next_event()
    body = b''
    try:
        for piece in filter(None, pieces):
            parser.receive_data(piece)
            event = parser.next_event()
            while event is not h11.NEED_DATA and event is not h11.PAUSED:
                if isinstance(event, h11.EndOfMessage):
                    return body, True, parser.trailing_data[0]
                body += event.data
                event = parser.next_event()
    except h11.RemoteProtocolError:
        return 'malformed'
    return body, False, b''


def _random_body(generator):
    sizes = (1, 1, 1, 2, 3, 17, 300, 5_000)
    data = b''
    for _ in range(generator.randrange(30)):
        size = generator.choice(sizes)
        extension = generator.choice((b'', b'', b';a=b', b';x '))
        end = b'\r\n' if generator.random() < 0.998 else b'xy'
        data += b'%x%b\r\n' % (size, extension) + generator.randbytes(size)
        data += end
    data += b'0\r\n' + generator.choice((b'', b'', b'X: y\r\n')) + b'\r\n'
    return data


@behave.then(
    '{count:d} random chunked bodies with seed {seed:d} are read as the '
    'parser reads them'
)
def merged_same(_, count, seed):
    generator = random.Random(seed)
    for _ in range(count):
        data = _random_body(generator) + generator.choice((b'', b'GET / H'))
        if generator.random() < 0.1:
            data = data[: generator.randrange(len(data))]
        cuts = sorted(generator.randrange(len(data) + 1) for _ in range(4))
        bounds = [0, *cuts, len(data)]
        pieces = [
            data[bounds[n] : bounds[n + 1]] for n in range(len(bounds) - 1)
        ]
        merger = chunk_merger.ChunkMerger()
        fed = []
        rest = b''
        for piece in pieces:
            if merger.trailer_tail == b'':
                rest += piece
                continue
            fed.append(merger.feed(piece))
            rest += merger.rest
        plain, merged = _decode([data]), _decode(fed)
        if plain == 'malformed' or merged == 'malformed':
            assert plain == merged, data
        elif plain[1]:
            assert merged == (plain[0], True, b''), data
            assert rest == plain[2], data
        else:
            # The beginning of a small chunk is kept back.
            assert not merged[1] and plain[0].startswith(merged[0]), data


@behave.then(
    'a head of {count:d} short lines is kept in less than {bound:d} kB and '
    'unchanged'
)
def compact_head(_, count, bound):
    pairs = [
        (b'Host', b'a'),
        *[(b'%c' % (97 + n % 26), b'') for n in range(count)],
    ]
    head = h11.Request(method=b'GET', target=b'/x', headers=pairs)
    kept = request_head.RequestHead(head, 4 * count, False)
    assert kept.memory_bytes < bound * KB, kept.memory_bytes
    assert kept.listed is None and kept.lowercase is None
    assert len(kept.compact) < bound * KB
    assert kept.raw_headers == pairs
    assert kept.headers == list(head.headers)


@behave.then(
    'a run of {count:d} chunks of one byte is one chunk for the parser'
)
def one_chunk(_, count):
    merger = chunk_merger.ChunkMerger()
    found = merger.feed(b'1\r\nx\r\n' * count)
    assert found == b'%x\r\n%b\r\n' % (count, b'x' * count)


def _run_until(context, condition):
    """Run the loop until a condition holds."""

    def check():
        if condition():
            context.loop.stop()
        else:
            context.loop.call_later(1.0, check)

    check()
    context.loop.run()


@behave.given(
    'a connection on which a caller sent {size:d} kB of a body and has left'
)
def caller_has_left(context, size):
    context.loop = loops.EventLoop(clocks.MonotonicClock())
    context.memory = caller_memory.CallerMemory(10_000_000, 10)
    server = unittest.mock.Mock(
        loop=context.loop,
        memory=context.memory,
        limits=caller_connection.DEFAULT_LIMITS,
        draining=False,
    )
    with socket.create_server(('127.0.0.1', 0)) as listener:
        caller = socket.create_connection(listener.getsockname())
        stream, _ = listener.accept()
    context.connection = caller_connection.CallerConnection(server, stream)
    caller.sendall(
        b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4000000\r\n\r\n'
        + b'b' * size * 1_000
    )
    _run_until(context, lambda: context.memory.held > size * 1_000)
    # Resets the connection, so that the next write fails.
    caller.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    caller.close()


@behave.when('the connection gives up before the loop reports that')
def gives_up(context):
    context.connection.give_up(caller_memory.Relief.OVER_BOUND)
    assert context.connection.transport.closed


@behave.then('it is accounted for as an idle connection')
def holds_nothing(context):
    held = context.memory.held
    assert held <= caller_memory.CONNECTION_BYTES, held
