"""Steps for the discovery of peers and the exchange of their load."""

import concurrent.futures
import json
import random
import types
import zlib

import behave
import msgspec
import result

from eelgrassknot import clock as clocks
from eelgrassknot.coordination import peer_codec
from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot.forwarding import dialect as dialects
from eelgrassknot.forwarding import peer_discovery
from eelgrassknot.forwarding import peer_membership
from eelgrassknot.forwarding import peer_rows
from eelgrassknot.forwarding import replicated_state
from eelgrassknot.forwarding import row_store
from eelgrassknot.forwarding import table_watch
from eelgrassknot.kernel import registry
from eelgrassknot.settings import entry as entry_settings
from standins import users_documents
from tests import peer_world

SECRET = b'a' * peer_discovery.KEY_BYTES
OTHER_SECRET = b'b' * peer_discovery.KEY_BYTES


@behave.given('{zones:d} zones of {size:d} entry VMs that exchange their load')
def given_cluster(context, zones, size):
    context.cluster = peer_world.SimulatedCluster(zones, size)


@behave.when('the VMs run for {passed:d} ms')
def time_passes(context, passed):
    loop = context.cluster.loop
    loop.run_until(loop.now_ms() + passed)


@behave.when(
    'each VM places {runs:d} runs at the engine {engine} and {passed:d} ms '
    'pass'
)
def place_runs(context, runs, engine, passed):
    for vm, peer in context.cluster.vms.items():
        for number in range(runs if peer.alive else 0):
            peer.place(f'{vm}/{number}', engine, 100)
    time_passes(context, passed)


@behave.when('each VM places a run every {gap:d} ms for {passed:d} ms')
def place_often(context, gap, passed):
    for peer in context.cluster.vms.values():
        peer.sent.clear()
    for number in range(passed // gap):
        for vm, peer in context.cluster.vms.items():
            peer.place(f'{vm}/{number}', f'e{number % 30}', 1_000)
        time_passes(context, gap)
    context.passed_s = passed / 1_000


@behave.when('both gateways of the zone {zone} stop and {passed:d} ms pass')
def gateways_stop(context, zone, passed):
    for vm in context.cluster.gateways()[zone]:
        context.cluster.vms[vm].alive = False
    time_passes(context, passed)


@behave.then(
    'no ordinary VM receives over {limit:d} digests a second while they run '
    'for {passed:d} ms'
)
def few_digests(context, limit, passed):
    vms = context.cluster.vms.values()
    for vm in vms:
        vm.received.clear()
    time_passes(context, passed)
    gateways = {
        vm for found in context.cluster.gateways().values() for vm in found
    }
    rates = {
        name: vm.received['ZoneNews'] * 1_000 / passed
        for name, vm in context.cluster.vms.items()
        if name not in gateways
    }
    assert 0 < max(rates.values()) <= limit, max(rates.values())


@behave.when('the first gateway of each zone stops and {passed:d} ms pass')
def first_gateways_stop(context, passed):
    for gateways in context.cluster.gateways().values():
        context.cluster.vms[min(gateways)].alive = False
    time_passes(context, passed)


@behave.when('the VM {vm} stops and {passed:d} ms pass')
def vm_stops(context, vm, passed):
    context.cluster.vms[vm].alive = False
    time_passes(context, passed)


@behave.when('the zone {zone} is partitioned and {passed:d} ms pass')
def zone_is_partitioned(context, zone, passed):
    cluster = context.cluster
    deliver = cluster.deliver

    def deliver_inside(sender, vm, message):
        if (sender.zone == zone) == (cluster.vms[vm].zone == zone):
            deliver(sender, vm, message)

    cluster.deliver = deliver_inside
    time_passes(context, passed)


@behave.then('each VM is linked to {count:d} others and is no gateway')
def all_linked(context, count):
    for peer in context.cluster.vms.values():
        assert len(peer.membership.links.zone_peers) == count
        assert not peer.membership.links.remote_gateways


@behave.then(
    'each zone has {count:d} gateways that are linked to {far:d} far VMs'
)
def gateways_are(context, count, far):
    cluster = context.cluster
    gateways = cluster.gateways()
    assert len(gateways) == len(cluster.regions), gateways
    for vms in gateways.values():
        assert len(vms) == count, vms
        for vm in vms:
            assert len(cluster.vms[vm].membership.links.remote_gateways) == far


@behave.then('no other VM is linked to more than {count:d}')
def others_linked(context, count):
    for peer in context.cluster.vms.values():
        if not peer.membership.links.remote_gateways:
            assert len(peer.membership.links.addresses) <= count


@behave.then('each VM counts {runs:d} runs at {engine}')
def counts(context, runs, engine):
    for vm, peer in context.cluster.vms.items():
        if peer.alive:
            assert peer.known_runs()[engine] == runs, (vm, peer.known_runs())


@behave.then('each VM of {zone} counts {runs:d} runs at {engine}')
def zone_counts(context, zone, runs, engine):
    for vm, peer in context.cluster.vms.items():
        if peer.zone == zone:
            assert peer.known_runs()[engine] == runs, (vm, peer.known_runs())


@behave.then('no VM sends over {limit:d} messages a second about its own load')
def own_messages(context, limit):
    for vm, peer in context.cluster.vms.items():
        rate = peer.sent['EntryNews'] / context.passed_s
        assert rate <= limit, (vm, rate)


@behave.then('no gateway sends over {limit:d} a second in all')
def all_messages(context, limit):
    for vm, peer in context.cluster.vms.items():
        rate = sum(peer.sent.values()) / context.passed_s
        assert rate <= limit, (vm, rate, peer.sent)


@behave.then('exactly one VM expires {vm} and nothing else expires')
def one_expires(context, vm):
    now_ms = context.cluster.loop.now_ms()
    expired = [
        peer.membership.expired(now_ms)
        for peer in context.cluster.vms.values()
        if peer.alive
    ]
    assert sorted(filter(None, expired)) == [[vm]], expired


TABLE = 'servers'


def _create_state(vm, members, loop):
    dialect = dialects.DIALECTS.lookup('users')
    ports = dict.fromkeys(('callers', 'readiness', 'peers', 'metrics'), 1)
    document = users_documents.entry_settings(vm, 'z', ports, '127.0.0.1:1')
    state = replicated_state.ReplicatedState(
        msgspec.convert(document, entry_settings.EntrySettings),
        dialect,
        loop,
        random.Random(1),
        replicated_state.Listener(),
    )
    rows = {each: peer_membership.VmRow(each, 'z') for each in members}
    state.peers.membership.update_rows(rows, loop.now_ms())
    return state


@behave.given('a zone of {size:d} VMs that have read a table as of {now:d} ms')
def zone_has_read(context, size, now):
    registry.load_plugins('eelgrassknot.platform')
    context.loop = peer_world.SimulatedLoop()
    context.loop.run_until(now)
    members = [f'vm-{number}' for number in range(size)]
    context.states = [
        _create_state(vm, members, context.loop) for vm in members
    ]
    page = row_store.RowPage((), 1, now)
    for state in context.states:
        state.store_clock.observe(now, now, now)
        state.tables[TABLE].replica.apply_snapshot(page, 1)


@behave.given(
    'a zone of {size:d} VMs that start and read a table at {now:d} ms'
)
def zone_starts(context, size, now):
    zone_has_read(context, size, now)
    for state in context.states:
        state.watch_from_ms = now + replicated_state.STARTUP_GRACE_MS


@behave.then('{count:d} of them watch it at {now:d} ms')
@behave.then('{count:d} of them watches it at {now:d} ms')
def watchers(context, count, now):
    context.loop.run_until(now)
    watching = []
    for state in context.states:
        for vm in state.peers.membership.listed:
            state.peers.membership.record_contact(vm, now)
        watching.append(state._should_watch(TABLE))
    assert sum(watching) == count, watching


class _FakeStore:
    """In-memory store with the rows of the VMs and the shared key."""

    def __init__(self, rows):
        self.rows = rows
        self.secret = SECRET
        self.timeline = 1

    def read_table(self, table):
        found = self.rows
        if table == peer_discovery.KEYS_TABLE:
            found = {peer_discovery.KEY_NAME: self.secret}
        rows = tuple(
            row_store.StoreRow(key, value, 1, False)
            for key, value in found.items()
        )
        return result.Ok(row_store.RowPage(rows, 1, 0.0, self.timeline))

    def write_row(self, row, value):
        self.rows[row.key] = value
        return result.Ok(None)


class _FakeLink:
    """Records connections."""

    def __init__(self):
        self.addresses = {}

    def connect(self, vm, address):
        self.addresses[vm] = address

    def disconnect(self, vm):
        del self.addresses[vm]


def _create_discovery(context, rows):
    context.rows = rows
    context.discovery = peer_discovery.PeerDiscovery(
        'a',
        'z',
        '10.0.0.1:7200',
        _FakeStore(rows),
        clocks.MonotonicClock(),
        random.Random(1),
        lambda link: None,
    )
    context.discovery.link = _FakeLink()
    context.discovery.timeline = 1
    context.discovery.codec = peer_codec.PeerCodec('a', 'i1', 1, [SECRET])


def _row(number):
    return msgspec.json.encode(
        peer_membership.VmRow(f'10.0.0.{number}:7200', 'z')
    )


@behave.given('a peer discovery whose row was deleted by another VM')
def discovery_without_row(context):
    _create_discovery(context, {'b': _row(2)})


@behave.given('a peer discovery with the live peers b and c in its zone')
def discovery_with_peers(context):
    _create_discovery(context, {'a': _row(1), 'b': _row(2), 'c': _row(3)})
    discovery_reads(context)
    for vm in ('b', 'c'):
        context.discovery.record_contact(vm)
    context.addresses = dict(context.discovery.link.addresses)
    assert list(context.addresses) == ['b', 'c']


@behave.when(
    'the store is restored to rows without b and with another address of c'
)
def vms_restored(context):
    context.discovery.store.timeline += 1
    del context.rows['b']
    context.rows['c'] = _row(9)


@behave.when('all VMs have written their rows and it reads them')
def vms_written(context):
    context.rows.update(b=_row(2), c=_row(3))
    discovery_reads(context)


@behave.then('it is linked to b and c as before')
def links_unchanged(context):
    assert context.discovery.link.addresses == context.addresses


@behave.when('the store is restored to rows with another shared key')
def key_restored(context):
    context.discovery.store.timeline += 1
    context.discovery.store.secret = OTHER_SECRET


@behave.then('it signs with that key and accepts both')
def signs_with_key(context):
    codec = context.discovery.codec
    message = messages.EntryNews('z', False, (), (), ())
    reader = peer_codec.PeerCodec('b', 'i2', 1, [OTHER_SECRET])
    assert reader.decode(codec.encode(message), 0.0).is_ok()
    for secret in (SECRET, OTHER_SECRET):
        incarnation = secret.decode()
        writer = peer_codec.PeerCodec('c', incarnation, 1, [secret])
        decoded = codec.decode(writer.encode(message), 0.0)
        assert decoded.is_ok(), decoded


@behave.given('a peer discovery with a peer b and a row of invalid JSON')
def discovery_with_bad_row(context):
    _create_discovery(context, {'a': _row(1), 'b': _row(2), 'c': b'{'})


@behave.when('it reads the rows')
def discovery_reads(context):
    assert context.discovery._step().is_ok()


@behave.then('its row is in the store again')
def row_is_back(context):
    assert context.rows['a'] == _row(1)


@behave.then('it is linked only to b')
def linked_to_b(context):
    assert list(context.discovery.link.addresses) == ['b']


def _hand_over(context, rows, version, store_ms):
    """Have a peer reply with a table as of a time of the store."""
    context.loop.run_until(store_ms)
    entries = [messages.RowEntry(key, value, 1) for key, value in rows]
    mark = messages.TableMark('servers', version, version, store_ms)
    done = concurrent.futures.Future()
    done.set_result(
        messages.RowsReply(
            mark, zlib.compress(msgspec.msgpack.encode(entries))
        )
    )
    context.state._receive_reply(done)


@behave.given(
    'a VM that has the upstream {name:w} from a peer as of {now:d} ms'
)
def vm_with_upstream(context, name, now):
    registry.load_plugins('eelgrassknot.platform')
    context.loop = peer_world.SimulatedLoop()
    context.state = _create_state('vm-0', [], context.loop)
    context.state.store_clock.observe(now, now, now)
    entry = {
        'service': 's',
        'address': '10.0.0.1:80',
        'zone': 'z',
        'state': 'ready',
    }
    _hand_over(context, [(name, msgspec.json.encode(entry))], 1, now)
    assert name in context.state.directory.upstreams


def _entry(name):
    address = f'10.0.0.{name[1:]}:80'
    return msgspec.json.encode(
        {'service': 's', 'address': address, 'zone': 'z', 'state': 'ready'}
    )


def _page(version, store_ms, *rows, timeline=0):
    return row_store.RowPage(
        tuple(
            row_store.StoreRow(key, value, version, not value)
            for key, value in rows
        ),
        version,
        store_ms,
        timeline,
    )


@behave.given(
    'a VM that has the upstream u1 as of {now:d} ms, and a peer that watches '
    'the table'
)
def vm_and_watcher(context, now):
    registry.load_plugins('eelgrassknot.platform')
    context.loop = peer_world.SimulatedLoop()
    context.loop.run_until(now)
    context.states = [
        _create_state(vm, [], context.loop) for vm in ('vm-0', 'vm-1')
    ]
    context.state, context.watcher = context.states
    context.published = []
    context.watcher.peers.broadcast = context.published.append
    context.fetched = []
    context.state.peers.link = types.SimpleNamespace(
        send_query=lambda *query: context.fetched.append(query)
    )
    for state in context.states:
        state.store_clock.observe(now, now, now)
        page = _page(1, float(now), ('u1', _entry('u1')))
        state._apply(
            TABLE, state.tables[TABLE].replica.apply_snapshot(page, 1)
        )
    assert list(context.state.directory.upstreams) == ['u1']


def _watcher_reads(context, after, page):
    context.loop.run_until(page.store_ms)
    context.watcher._handle_page(
        table_watch.PageReceived(
            TABLE, page, after, page.store_ms, page.store_ms, False
        )
    )


@behave.when(
    'the peer reads in the store that u1 was removed and u2 added as of '
    '{now:d} ms'
)
def watcher_reads(context, now):
    page = _page(3, float(now), ('u1', b''), ('u2', _entry('u2')))
    _watcher_reads(context, 1, page)
    (message,) = context.published
    envelope = messages.Envelope('vm-1', 'i', 1, 1, '', message)
    decoded = msgspec.msgpack.decode(
        msgspec.msgpack.encode(envelope), type=messages.Envelope
    )
    context.state._receive_changes('vm-1', decoded.message)


@behave.then('the VM uses u2 alone and has fetched nothing')
def uses_u2(context):
    for mark in context.watcher.watermarks():
        context.state._receive_watermarks('vm-1', (mark,))
    context.loop.run_until(context.loop.now_ms() + 1_000)
    assert list(context.state.directory.upstreams) == ['u2']
    assert not context.fetched


@behave.when("the peer's changes come {how}")
def changes_come(context, how):
    replica = context.state.tables[TABLE].replica
    mark = messages.TableMark(TABLE, 3, 3, 2_000.0)
    rows = peer_rows.encode(
        _page(3, 2_000.0, ('u1', b''), ('u2', _entry('u2'))).rows
    )
    message = messages.RowsNews(mark, rows, 1)
    if how == 'without the changes before them':
        message = msgspec.structs.replace(message, after=2)
    elif how == 'in another timeline of the store':
        mark = msgspec.structs.replace(mark, timeline=1)
        message = msgspec.structs.replace(message, mark=mark)
    elif how == 'with bytes that are no rows':
        message = msgspec.structs.replace(message, rows=rows[:-3])
    else:
        page = _page(4, 1_000.0, ('u1', _entry('u1')))
        context.state._apply(TABLE, replica.apply_snapshot(page, 4))
    context.state._receive_changes('vm-1', message)


@behave.then('u1 is listed alone and the table is as of {now:d} ms')
def u1_alone(context, now):
    assert list(context.state.directory.upstreams) == ['u1']
    assert context.state.tables[TABLE].replica.watermark.store_ms == now


@behave.when('a peer hands over a table without {name:w} as of {now:d} ms')
def table_without(context, name, now):
    _hand_over(context, [], 2, now)


def _listed(context, passed):
    context.loop.run_until(context.loop.now_ms() + passed)
    context.state.directory.expire(context.loop.now_ms())
    return context.state.directory.upstreams


@behave.then('{name:w} is listed for another {passed:d} ms')
def listed_for(context, name, passed):
    assert name in _listed(context, passed)


@behave.then('it is gone after another {passed:d} ms')
def gone_after(context, passed):
    assert not _listed(context, passed)


@behave.then('{name:w} is not listed')
def not_listed(context, name):
    assert name not in context.state.directory.upstreams


@behave.when('a peer confirms the table {table} after {passed:d} ms')
def table_confirmed(context, table, passed):
    replica = context.state.tables[table].replica
    replica.apply_snapshot(row_store.RowPage((), 1, 0.0), 1)
    mark = messages.TableMark(table, 1, 1, float(passed))
    context.state._receive_watermarks('vm-1', (mark,))


def _read_state(context, version, store_ms):
    """Have the VM read a state in the store's version of the same number."""
    document = users_documents.desired_state(version)
    row = row_store.StoreRow(
        'config', json.dumps(document).encode(), version, False
    )
    page = row_store.RowPage((row,), version, float(store_ms))
    context.loop.run_until(store_ms)
    context.state._handle_page(
        table_watch.PageReceived(
            'op', page, None, store_ms, store_ms, recovered=False
        )
    )


@behave.given('a VM that has read the state {version:d} as of {now:d} ms')
def vm_with_state(context, version, now):
    registry.load_plugins('eelgrassknot.platform')
    context.loop = peer_world.SimulatedLoop()
    context.state = _create_state('vm-0', [], context.loop)
    _read_state(context, version, now)


@behave.when('the VM reads the state {version:d} as of {now:d} ms')
def vm_reads_state(context, version, now):
    _read_state(context, version, now)


@behave.when(
    "a peer's {message:w} says as of {now:d} ms that it knows the state "
    '{version:d}'
)
def peer_knows_state(context, message, now, version):
    changed = context.state.tables['op'].replica.watermark.last_change
    mark = messages.TableMark('op', changed, changed, float(now))
    match message:
        case 'EntryNews':
            context.state._receive_peer_load(
                'vm-1',
                messages.EntryNews(
                    'z', False, (mark,), (), (), newest_state=version
                ),
            )
        case 'ZoneNews':
            context.state._receive_zone_load(
                'vm-1',
                messages.ZoneNews('z', (mark,), (), (), newest_state=version),
            )


@behave.then('the keys are confirmed as of {now:d} ms')
def keys_confirmed(context, now):
    assert context.state.authenticator.confirmed_ms == now, (
        context.state.authenticator.confirmed_ms
    )
