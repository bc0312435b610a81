"""Steps for the calls of a large fleet to the store."""

import random

import behave
import result

from eelgrassknot import clock as clocks
from eelgrassknot.coordination import rendezvous
from eelgrassknot.forwarding import peer_discovery
from eelgrassknot.forwarding import peer_membership
from eelgrassknot.forwarding import row_store
from eelgrassknot.forwarding import table_watch
from eelgrassknot.kernel import registry
from tests import peer_world
from tests.steps import forwarding_peers

CALL_MS = 5.0
WAIT_MS = 2_500.0


class _SimulatedStore:
    """A store whose table changes at an interval; counts its calls.

    Args:
        clock: Simulated clock, advanced by each call.
        interval_ms: Interval at which a row changes, or None for never.
    """

    def __init__(self, clock, interval_ms=None):
        self.clock = clock
        self.interval_ms = interval_ms
        self.calls = 0
        self.returned = []

    def _changes(self):
        if self.interval_ms is None:
            return 1
        return 1 + int(self.clock.now_ms() / self.interval_ms)

    def _until_change_ms(self):
        if self.interval_ms is None:
            return float('inf')
        return self.interval_ms - self.clock.now_ms() % self.interval_ms

    def read_table(self, _table):
        self.calls += 1
        self.clock.advance_ms(CALL_MS)
        page = row_store.RowPage((), self._changes(), self.clock.now_ms())
        return result.Ok(page)

    def read_feed(self, _table, after, wait_ms):
        self.calls += 1
        self.clock.advance_ms(CALL_MS)
        if self._changes() <= after:
            self.clock.advance_ms(min(wait_ms, self._until_change_ms()))
        changes = self._changes()
        rows = tuple(
            row_store.StoreRow(f'key-{number}', b'', number, False)
            for number in range(after + 1, changes + 1)
        )
        for row in rows:
            written_ms = (row.version - 1) * (self.interval_ms or 0.0)
            self.returned.append(
                (row.version, self.clock.now_ms() - written_ms)
            )
        return result.Ok(row_store.RowPage(rows, changes, self.clock.now_ms()))

    def write_row(self, _row, _value):
        self.calls += 1
        return result.Ok(None)

    def insert_row(self, _row, _value):
        self.calls += 1
        return result.Ok(True)


class _SimulatedEvent:
    """An event that is never set; waiting advances the clock.

    Attributes:
        on_wait: Called after each wait.
    """

    def __init__(self, clock):
        self.clock = clock
        self.on_wait = lambda: None

    def is_set(self):
        return False

    def wait(self, timeout_s):
        self.clock.advance_ms(timeout_s * clocks.MS_PER_SECOND)
        self.on_wait()


def _create_watch(context, interval_ms, apply_ms=0.0):
    clock = clocks.ManualClock()
    context.store = _SimulatedStore(clock, interval_ms)
    context.position = (0, 0)
    pending = []

    def apply_pages():
        for due_ms, page in list(pending):
            if clock.now_ms() >= due_ms:
                context.position = page.position
                pending.remove((due_ms, page))

    def deliver(event):
        pending.append((clock.now_ms() + apply_ms, event.page))
        apply_pages()

    context.watch = table_watch.TableWatch(
        context.store,
        'servers',
        WAIT_MS,
        clock,
        random.Random(1),
        deliver,
        lambda: context.position,
    )
    context.watch.needs_full_read = False
    context.watch.stopped = _SimulatedEvent(clock)
    context.watch.stopped.on_wait = apply_pages
    context.clock = clock


@behave.given('a VM that starts')
def vm_starts(context):
    registry.load_plugins('eelgrassknot.platform')
    loop = peer_world.SimulatedLoop()
    context.state = forwarding_peers._create_state('vm-1', ['vm-1'], loop)
    context.clock = clocks.ManualClock()
    context.store = _SimulatedStore(context.clock)
    context.state.peers.store = context.store
    for table in context.state.tables.values():
        table.watch.store = context.store
        table.watch.clock = context.clock
        table.watch.stopped = _SimulatedEvent(context.clock)


@behave.when(
    'its watches run for {steps:d} steps before the event loop decides'
)
def watches_run(context, steps):
    for table in context.state.tables.values():
        for _ in range(steps):
            table.watch._step()


@behave.when('it registers and reads its peers')
def registers(context):
    discovery = context.state.peers
    discovery.store = context.store
    discovery.secret = forwarding_peers.SECRET
    context.store.read_table = _with_key(context.store.read_table)
    discovery.row = peer_membership.VmRow('127.0.0.1:0', 'z')
    for _ in range(2):
        assert discovery._step().is_ok()
    discovery.link.stop()


def _with_key(read_table):
    """Return a reader that adds the shared key to the table of keys."""

    def read(table):
        page = read_table(table).ok_value
        rows = ()
        if table == peer_discovery.KEYS_TABLE:
            rows = (
                row_store.StoreRow(
                    peer_discovery.KEY_NAME, forwarding_peers.SECRET, 1, False
                ),
            )
        return result.Ok(row_store.RowPage(rows, page.version, page.store_ms))

    return read


@behave.then('the store has been called {count:d} times')
def called(context, count):
    # The discovery writes its own row again, because the simulated store
    # lists none.
    assert context.store.calls - 1 == count, context.store.calls


@behave.given('a peer discovery that has read its peers')
def discovery(context):
    forwarding_peers._create_discovery(
        context, {'a': forwarding_peers._row(1)}
    )
    forwarding_peers.discovery_reads(context)


@behave.when(
    'the VM b, which started later, tells its address and sends a message'
)
def peer_introduced(context):
    row = peer_membership.VmRow('10.0.0.2:7200', 'z')
    context.discovery.introduce('b', row)
    context.discovery.record_contact('b')


@behave.when('the VM b, which started later, sends a message')
def peer_unknown(context):
    context.discovery.record_contact('b')


@behave.then('no read of the rows is due')
def no_read(context):
    assert not context.discovery.read_requested.is_set()


@behave.then('a read of the rows is due')
def read_due(context):
    assert context.discovery.read_requested.is_set()


@behave.then('the discovery plans a link to b')
def planned(context):
    context.discovery._apply_link_plan()
    assert context.discovery.link.addresses == {'b': '10.0.0.2:7200'}


@behave.given('a watch of a table that changes every {interval:d} ms')
def changing_table(context, interval):
    _create_watch(context, float(interval))


@behave.when('the watch runs for {passed:d} ms')
def watch_runs(context, passed):
    while context.clock.now_ms() < passed:
        context.watch._step()


@behave.then('the store has been called at most {count:d} times')
def called_at_most(context, count):
    assert context.store.calls <= count, context.store.calls


@behave.then('no change is older than {age:d} ms when it is read')
def changes_are_recent(context, age):
    ages = [age_ms for _, age_ms in context.store.returned]
    assert ages and max(ages) <= age, max(ages)


@behave.given('a watch whose pages are applied after {delay:d} ms')
def slow_loop(context, delay):
    _create_watch(context, 10_000.0, float(delay))


@behave.when('the watch receives one change')
def one_change(context):
    for _ in range(2):
        context.watch._step()


@behave.then('no other call returns the same change')
def no_repetition(context):
    versions = [version for version, _ in context.store.returned]
    assert len(versions) == len(set(versions)) > 0, versions


@behave.given('the store rejects the VM that watches the table')
def rejected(context):
    members = [state.settings.vm for state in context.states]
    first = rendezvous.ranked(forwarding_peers.TABLE, members)[0]
    for state in context.states:
        if state.settings.vm == first:
            state.tables[forwarding_peers.TABLE].watch.failing = True
