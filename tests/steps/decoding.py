"""Steps for documents that other programs have written."""

import json
import socket
import zlib

import behave
import hypothesis
from hypothesis import strategies
import msgspec
import result

from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot import decoding
from eelgrassknot import exceptions
from eelgrassknot.forwarding import crash_reports
from eelgrassknot.forwarding import peer_membership
from eelgrassknot.forwarding import peer_rows
from eelgrassknot.forwarding import row_store
from eelgrassknot.forwarding import upstream_connection
from eelgrassknot.kernel import registry
from eelgrassknot.platform import desired_state
from eelgrassknot.platform import engines
from eelgrassknot.platform import servers
from eelgrassknot.platform import store
from eelgrassknot.platform import wire
from standins import users_documents
from tests import peer_world
from tests.steps import forwarding_peers

DEPTH = 200_000
MAX_ERROR_CHARACTERS = 500
NESTED_LISTS = b'[' * DEPTH + b']' * DEPTH
NESTED_OBJECTS = b'{"a":' * DEPTH + b'1' + b'}' * DEPTH
ENTRY = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'state': 'ready',
    'born': 1,
    'batchSlots': 4,
    'warmupLeftMs': 0,
}
VALUES = {
    '200000 nested lists': NESTED_LISTS,
    '200000 nested objects': NESTED_OBJECTS,
    '10**30': b'1' + b'0' * 30,
    '-10**30': b'-1' + b'0' * 30,
    '10**400': b'1' + b'0' * 400,
    '60000 characters': json.dumps('x' * 60_000).encode(),
}


def _entry(field=None, value=b''):
    """Return an entry in which a field has a JSON value."""
    members = [
        json.dumps(key).encode() + b':' + json.dumps(known).encode()
        for key, known in ENTRY.items()
        if key != field
    ]
    if field is not None:
        members.append(json.dumps(field).encode() + b':' + value)
    return b'{' + b','.join(members) + b'}'


ODD_ENTRIES = {
    'an entry of 200000 nested lists': _entry('other', NESTED_LISTS),
    'an entry born at 10**30': _entry('born', VALUES['10**30']),
    'an entry with the port 99999': _entry('address', b'"10.0.0.1:99999"'),
    'an entry that is no text': b'\xff\xfe',
    'an entry of a server': _entry(),
}


@behave.then('the server entry with {field:w} set to {value} is rejected')
def entry_rejected(context, field, value):
    raw = VALUES.get(value, value.encode())
    assert servers.decode_upstream('u', _entry(), {}).is_ok()
    found = servers.decode_upstream('u', _entry(field, raw), {})
    assert isinstance(found, result.Err), found
    assert isinstance(found.err_value, exceptions.MalformedAnswerError)
    assert 'u' in str(found.err_value)
    assert len(str(found.err_value)) < MAX_ERROR_CHARACTERS


def _read_servers(context, version, **entries):
    rows = tuple(
        row_store.StoreRow(key, value, version, False)
        for key, value in entries.items()
    )
    now_ms = context.loop.now_ms()
    page = row_store.RowPage(rows, version, now_ms)
    table = context.state.tables['servers']
    context.state._apply(
        'servers', table.replica.apply_snapshot(page, version)
    )


@behave.given('a VM that reads the servers u1 and u3 and between them {entry}')
def vm_reads(context, entry):
    registry.load_plugins('eelgrassknot.platform')
    context.loop = peer_world.SimulatedLoop()
    context.state = forwarding_peers._create_state('vm-0', [], context.loop)
    context.state.store_clock.observe(0.0, 0.0, 0.0)
    _read_servers(context, 1, u1=_entry(), u2=ODD_ENTRIES[entry], u3=_entry())


@behave.when('that entry is replaced by {entry}')
def entry_replaced(context, entry):
    assert set(context.state.directory.upstreams) == {'u1', 'u2', 'u3'}
    _read_servers(context, 2, u1=_entry(), u2=ODD_ENTRIES[entry], u3=_entry())


@behave.then('it uses exactly u1 and u3')
def uses(context):
    assert set(context.state.directory.upstreams) == {'u1', 'u3'}


@behave.then("the table's other changes are followed")
def changes_followed(context):
    page = row_store.RowPage(
        (
            row_store.StoreRow('u1', b'', 2, True),
            row_store.StoreRow('u4', _entry(), 3, False),
        ),
        3,
        0.0,
    )
    table = context.state.tables['servers']
    context.state._apply('servers', table.replica.apply_changes(1, page))
    assert set(context.state.directory.upstreams) == {'u3', 'u4'}


@behave.then('what it tells its peers can be encoded')
def can_be_encoded(context):
    limits = tuple(
        messages.LimitEntry(name, upstream.started_at_ms, 1.0, 0.0)
        for name, upstream in context.state.directory.upstreams.items()
    )
    news = messages.EntryNews(
        'z', False, context.state.watermarks(), (), (), limits
    )
    assert msgspec.msgpack.encode(news)


@behave.given(
    'a peer discovery with rows of 200000 nested lists and of the address '
    '"{address}"'
)
def discovery_with_odd_rows(context, address):
    forwarding_peers._create_discovery(
        context,
        {
            'a': forwarding_peers._row(1),
            'b': forwarding_peers._row(2),
            'c': b'{"address":"10.0.0.3:7200","availability_zone":"z","x":'
            + NESTED_LISTS
            + b'}',
            'd': msgspec.json.encode(peer_membership.VmRow(address, 'z')),
        },
    )


@behave.then(
    'a crash row of 200000 nested lists is left out and the others count'
)
def crash_rows(context):
    def crash(engine, more=b''):
        document = msgspec.json.encode(
            crash_reports.CrashRow(f'{engine}@1', engine, ('p',), 1_000.0)
        )
        return row_store.StoreRow(
            engine, document[:-1] + more + b'}', 1, False
        )

    odd = crash('e0', b',"x":' + NESTED_LISTS)
    rows = (odd, *(crash(f'e{number}') for number in range(1, 6)))
    page = row_store.RowPage(rows, 1, 1_000.0)
    blocked = crash_reports.blocked_combinations(page)
    assert blocked == {frozenset(['p'])}, blocked


@behave.then('desired states with deep nesting or huge numbers are rejected')
def odd_states(context):
    document = json.dumps(users_documents.desired_state(3))
    assert desired_state.decode_state(document.encode()).is_ok()
    odd = (
        document[:-1].encode() + b',"x":' + NESTED_LISTS + b'}',
        document.replace('"version": 3', f'"version": {10**30}').encode(),
        document.replace('"kvCapacity": ', f'"kvCapacity": {10**30}').encode(),
    )
    for each in odd:
        assert each != document.encode()
        assert desired_state.decode_state(each).is_err(), each[:200]


@behave.then(
    'a table from a peer that is cut, corrupt or not a table is rejected'
)
def odd_tables(context):
    rows = (row_store.StoreRow('k', b'v' * 100, 1, False),)
    packed = peer_rows.encode(rows)
    assert peer_rows.decode(packed).ok_value == rows
    bomb = zlib.compress(b'\0' * (peer_rows.MAX_TABLE_BYTES + 1))
    no_table = zlib.compress(msgspec.msgpack.encode({'a': 1}))
    for odd in (packed[:-9], b'xx', b'', bomb, no_table):
        assert peer_rows.decode(odd).is_err()


@behave.then('a response to a transfer with deep nesting is no handle')
def odd_transfer(context):
    assert engines.decode_kv_transfer(200, b'{"handle":"h"}') == 'h'
    body = b'{"handle":"h","x":' + NESTED_LISTS + b'}'
    assert engines.decode_kv_transfer(200, body) is None


@behave.then(
    'a connection whose Keep-Alive is timeout={timeout} is kept {kept}'
)
def keep_alive(context, timeout, kept):
    stated = '9' * 5_000 if timeout == '5000 digits' else timeout
    headers = [(b'keep-alive', f'timeout={stated}'.encode())]
    expected = upstream_connection._keep_alive_ms([])
    if kept != 'as without one':
        expected = float(kept.split()[1])
    assert upstream_connection._keep_alive_ms(headers) == expected


DOCUMENTS = strategies.one_of(
    strategies.binary(max_size=200),
    strategies.recursive(
        strategies.none()
        | strategies.booleans()
        | strategies.integers()
        | strategies.floats(allow_nan=False)
        | strategies.text(max_size=20),
        lambda inner: (
            strategies.lists(inner, max_size=4)
            | strategies.dictionaries(
                strategies.sampled_from(
                    [*ENTRY, 'version', 'routes', 'rows', 'handle', 'kind']
                ),
                inner,
                max_size=6,
            )
        ),
    ).map(lambda found: json.dumps(found).encode()),
    strategies.fixed_dictionaries(
        {
            key: strategies.one_of(
                strategies.just(value),
                strategies.integers(),
                strategies.text(max_size=12),
            )
            for key, value in ENTRY.items()
        }
    ).map(lambda found: json.dumps(found).encode()),
)


@behave.then('{count:d} random documents raise nothing in any decoder')
def decoders_raise_nothing(context, count):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=count)
    @hypothesis.given(document=DOCUMENTS)
    def check(document):
        found = servers.decode_upstream('u', document, {})
        if found.is_ok():
            assert msgspec.msgpack.encode(found.ok_value.started_at_ms)
            assert decoding.parse_address(found.ok_value.address)
        desired_state.decode_state(document)
        engines.decode_kv_transfer(200, document)
        store._decode_response(document)
        peer_rows.decode(document)
        peer_membership.decode_row('a', document)
        row = row_store.StoreRow('k', document, 1, False)
        page = row_store.RowPage((row,), 1, 0.0)
        crash_reports.blocked_combinations(page)
        text = document.replace(b'\0', b' ')
        names = (
            b'token-counts',
            b'prompt-prefix',
            b'length-hint',
            b'last-event-id',
            b'request-deadline',
        )
        wire.caller_headers([(name, text) for name in names])
        wire.stated_limit([(b'server-limit', text)])
        upstream_connection._keep_alive_ms([(b'keep-alive', text)])

    check()


@behave.then(
    '{count:d} random addresses are either usable without a look-up or '
    'rejected'
)
def addresses_usable(context, count):
    numbers = strategies.integers(-1, 300).map(str)
    hosts = strategies.one_of(
        strategies.lists(numbers, min_size=4, max_size=4).map('.'.join),
        strategies.text(max_size=12),
    )
    ports = strategies.one_of(
        strategies.integers(-1, 70_000).map(str), strategies.text(max_size=6)
    )

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=count)
    @hypothesis.given(host=hosts, port=ports)
    def check(host, port):
        found = decoding.parse_address(f'{host}:{port}')
        if found is not None:
            socket.inet_aton(found[0])
            assert 0 < found[1] < 65_536

    check()
