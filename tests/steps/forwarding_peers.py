"""Steps on entry VMs that find each other and tell their sums."""

import random

import behave
import msgspec
import result

from eelgrassknot import clock as clocks
from eelgrassknot.forwarding import dialect as dialects
from eelgrassknot.forwarding import peer_discovery
from eelgrassknot.forwarding import peer_membership
from eelgrassknot.forwarding import replicated_state
from eelgrassknot.forwarding import row_store
from eelgrassknot.kernel import registry
from eelgrassknot.settings import entry as entry_settings
from standins import users_documents
from tests import peer_world


@behave.given('{zones:d} zones of {size:d} entry VMs that tell each other')
def given_world(context, zones, size):
    context.world = peer_world.PeerWorld(zones, size)


@behave.when('the VMs run for {passed:d} ms')
def time_passes(context, passed):
    loop = context.world.loop
    loop.run_until(loop.now_ms() + passed)


@behave.when(
    'each VM places {runs:d} runs at the engine {engine} and {passed:d} ms '
    'pass'
)
def place_runs(context, runs, engine, passed):
    for vm, peer in context.world.vms.items():
        for number in range(runs if peer.alive else 0):
            peer.place(f'{vm}/{number}', engine, 100)
    time_passes(context, passed)


@behave.when('each VM places a run every {gap:d} ms for {passed:d} ms')
def place_often(context, gap, passed):
    for peer in context.world.vms.values():
        peer.sent.clear()
    for number in range(passed // gap):
        for vm, peer in context.world.vms.items():
            peer.place(f'{vm}/{number}', f'e{number % 30}', 1_000)
        time_passes(context, gap)
    context.passed_s = passed / 1_000


@behave.when('both gateways of the zone {zone} end and {passed:d} ms pass')
def gateways_end(context, zone, passed):
    for vm in context.world.gateways()[zone]:
        context.world.vms[vm].alive = False
    time_passes(context, passed)


@behave.when('the VM {vm} ends and {passed:d} ms pass')
def vm_ends(context, vm, passed):
    context.world.vms[vm].alive = False
    time_passes(context, passed)


@behave.when('the zone {zone} is cut off and {passed:d} ms pass')
def zone_is_cut(context, zone, passed):
    world = context.world
    deliver = world.deliver

    def deliver_inside(sender, vm, message):
        if (sender.zone == zone) == (world.vms[vm].zone == zone):
            deliver(sender, vm, message)

    world.deliver = deliver_inside
    time_passes(context, passed)


@behave.then('each VM is linked to {count:d} others and is no gateway')
def all_linked(context, count):
    for peer in context.world.vms.values():
        assert len(peer.roster.links.zone_peers) == count
        assert not peer.roster.links.remote_gateways


@behave.then(
    'each zone has {count:d} gateways that are linked to {far:d} far VMs'
)
def gateways_are(context, count, far):
    world = context.world
    gateways = world.gateways()
    assert len(gateways) == len(world.regions), gateways
    for vms in gateways.values():
        assert len(vms) == count, vms
        for vm in vms:
            assert len(world.vms[vm].roster.links.remote_gateways) == far


@behave.then('no other VM is linked to more than {count:d}')
def others_linked(context, count):
    for peer in context.world.vms.values():
        if not peer.roster.links.remote_gateways:
            assert len(peer.roster.links.addresses) <= count


@behave.then('each VM counts {runs:d} runs at {engine}')
def counts(context, runs, engine):
    for vm, peer in context.world.vms.items():
        if peer.alive:
            assert peer.runs_known()[engine] == runs, (vm, peer.runs_known())


@behave.then('each VM of {zone} counts {runs:d} runs at {engine}')
def zone_counts(context, zone, runs, engine):
    for vm, peer in context.world.vms.items():
        if peer.zone == zone:
            assert peer.runs_known()[engine] == runs, (vm, peer.runs_known())


@behave.then('no VM sends over {limit:d} messages a second on its own account')
def own_messages(context, limit):
    for vm, peer in context.world.vms.items():
        rate = peer.sent['EntryNews'] / context.passed_s
        assert rate <= limit, (vm, rate)


@behave.then('no gateway sends over {limit:d} a second in all')
def all_messages(context, limit):
    for vm, peer in context.world.vms.items():
        rate = sum(peer.sent.values()) / context.passed_s
        assert rate <= limit, (vm, rate, peer.sent)


@behave.then('exactly one VM forgets {vm} and nothing else is forgotten')
def one_forgets(context, vm):
    now_ms = context.world.loop.now_ms()
    forgotten = [
        peer.roster.forgotten(now_ms)
        for peer in context.world.vms.values()
        if peer.alive
    ]
    assert sorted(filter(None, forgotten)) == [[vm]], forgotten


TABLE = 'servers'


def _knowledge(vm, members, loop):
    dialect = dialects.DIALECTS.lookup('users')
    ports = dict.fromkeys(('callers', 'readiness', 'peers', 'metrics'), 1)
    document = users_documents.entry_settings(vm, 'z', ports, '127.0.0.1:1')
    known = replicated_state.Knowledge(
        msgspec.convert(document, entry_settings.EntrySettings),
        dialect,
        loop,
        random.Random(1),
        replicated_state.Listener(),
    )
    rows = {each: peer_membership.VmRow(each, 'z') for each in members}
    known.board.roster.take_rows(rows, loop.now_ms())
    return known


@behave.given('a zone of {size:d} VMs that all know a table as of {now:d} ms')
def zone_knows(context, size, now):
    registry.load_plugins('eelgrassknot.platform')
    context.loop = peer_world.SimulatedLoop()
    context.loop.run_until(now)
    members = [f'vm-{number}' for number in range(size)]
    context.known = [_knowledge(vm, members, context.loop) for vm in members]
    page = row_store.RowPage((), 1, now)
    for known in context.known:
        known.store_clock.observe(now, now, now)
        known.tables[TABLE].mirror.take_whole(page, 1)


@behave.given(
    'a zone of {size:d} VMs that start and read a table at {now:d} ms'
)
def zone_starts(context, size, now):
    zone_knows(context, size, now)
    for known in context.known:
        known.settled_ms = now + replicated_state.SETTLE_MS


@behave.then('{count:d} of them watch it at {now:d} ms')
@behave.then('{count:d} of them watches it at {now:d} ms')
def watchers(context, count, now):
    context.loop.run_until(now)
    watching = []
    for known in context.known:
        for vm in known.board.roster.listed:
            known.board.roster.heard(vm, now)
        watching.append(known._should_watch(TABLE))
    assert sum(watching) == count, watching


class _Rows:
    """The store as the board sees it."""

    def __init__(self, rows):
        self.rows = rows

    def read_table(self, _table):
        rows = tuple(
            row_store.StoreRow(key, value, 1, False)
            for key, value in self.rows.items()
        )
        return result.Ok(row_store.RowPage(rows, 1, 0.0))

    def write_row(self, row, value):
        self.rows[row.key] = value
        return result.Ok(None)


class _Link:
    """Takes note of connections."""

    def __init__(self):
        self.addresses = {}

    def connect(self, vm, address):
        self.addresses[vm] = address


def _board(context, rows):
    context.rows = rows
    context.board = peer_discovery.PeerBoard(
        'a',
        'z',
        '10.0.0.1:7200',
        _Rows(rows),
        clocks.MonotonicClock(),
        random.Random(1),
        lambda link: None,
    )
    context.board.link = _Link()


def _row(number):
    return msgspec.json.encode(
        peer_membership.VmRow(f'10.0.0.{number}:7200', 'z')
    )


@behave.given('a board whose row was deleted by another VM')
def board_without_row(context):
    _board(context, {'b': _row(2)})


@behave.given('a board with a peer b and a row that is no JSON')
def board_with_bad_row(context):
    _board(context, {'a': _row(1), 'b': _row(2), 'c': b'{'})


@behave.when('it reads the rows')
def board_reads(context):
    assert context.board._step().is_ok()


@behave.then('its row is in the store again')
def row_is_back(context):
    assert context.rows['a'] == _row(1)


@behave.then('it is linked to b alone')
def linked_to_b(context):
    assert list(context.board.link.addresses) == ['b']
