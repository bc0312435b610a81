"""Steps for the state that a VM replicates from the store and its peers."""

import doctest
import importlib
import pkgutil
import random
import unittest.mock

import behave

from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot.forwarding import access
from eelgrassknot.forwarding import model
from eelgrassknot.forwarding import peer_rows
from eelgrassknot.forwarding import routing
from eelgrassknot.forwarding import row_store
from eelgrassknot.forwarding import sse
from eelgrassknot.forwarding import table_replica
from eelgrassknot.forwarding import upstream_directory
from eelgrassknot.kernel import registry
from eelgrassknot import states
from tests import peer_world
from tests.steps import forwarding_peers


@behave.then('at least {count:d} doctests of "{package}" pass')
def examples(context, count, package):
    root = importlib.import_module(package)
    attempted = 0
    for module in pkgutil.iter_modules(root.__path__):
        name = f'{package}.{module.name}'
        outcome = doctest.testmod(importlib.import_module(name))
        assert outcome.failed == 0, name
        attempted += outcome.attempted
    assert attempted >= count, attempted


@behave.given(
    "a store clock {ahead:d} ms ahead of the VM's, and calls lasting "
    '{least:d} to {most:d} ms'
)
def clock_ahead(context, ahead, least, most):
    context.ahead, context.least, context.most = ahead, least, most


@behave.then(
    'no answer is ever taken for newer than it is, and none for over '
    '{slack:d} ms older'
)
def never_newer(context, slack):
    generator = random.Random(5)
    for _ in range(50):
        clock = access.StoreClock()
        now_ms = 0.0
        clock.observe(now_ms, now_ms + 10, now_ms + 5 + context.ahead)
        for _ in range(40):
            now_ms += generator.uniform(1, 2_000)
            there_ms = generator.uniform(context.least, context.most) / 2
            back_ms = generator.uniform(context.least, context.most) / 2
            answered_ms = now_ms + there_ms
            store_ms = answered_ms + context.ahead
            clock.observe(now_ms, answered_ms + back_ms, store_ms)
            as_of_ms = clock.local_ms(store_ms)
            assert as_of_ms <= answered_ms, (as_of_ms, answered_ms)
            assert as_of_ms >= answered_ms - slack, (as_of_ms, answered_ms)


@behave.given('a store clock observed {ahead:d} ms ahead')
def observed_ahead(context, ahead):
    context.clock = access.StoreClock()
    context.clock.observe(0.0, 10.0, ahead + 5.0)


@behave.when('it is observed {ahead:d} ms ahead')
def observed_again(context, ahead):
    context.ahead = ahead
    context.clock.observe(100.0, 110.0, ahead + 105.0)


@behave.then('a store time is mapped by the new bound')
def mapped(context):
    assert context.clock.local_ms(context.ahead + 200.0) == 195.0


def _create_authenticator(bound):
    authenticator = access.KeyAuthenticator(bound)
    authenticator.replace_accounts((model.Account('acme', ('k1', 'k2')),))
    return authenticator


@behave.given(
    'a key authenticator with a bound of {bound:d} ms, current as of '
    '{as_of:d} ms'
)
def bounded_authenticator(context, bound, as_of):
    context.authenticator = _create_authenticator(bound)
    context.authenticator.confirm(as_of)


@behave.given('a key authenticator without a bound')
def unbounded_authenticator(context):
    context.authenticator = _create_authenticator(None)


@behave.when('it is confirmed as of {as_of:d} ms')
def confirmed(context, as_of):
    context.authenticator.confirm(as_of)


@behave.then('the key {key:w} is {standing} at {now_ms:d} ms')
def key_is(context, key, standing, now_ms):
    expected = {
        'open': access.KeyStatus.VALID,
        'unknown': access.KeyStatus.UNKNOWN_KEY,
        'out of date': access.KeyStatus.OUT_OF_DATE,
    }[standing]
    assert context.authenticator.authenticate(key, now_ms)[0] is expected


class _ReferenceTable:
    """A table of the store with its complete history."""

    def __init__(self, generator):
        self.generator = generator
        self.version = 1
        self.timeline = 1
        self.calls = 0
        self.rows = {}
        self.log = []
        self.logs = {}

    def change(self):
        self.version += self.generator.randint(1, 3)
        key = self.generator.choice('abcde')
        deleted = key in self.rows and self.generator.random() < 0.4
        value = b'' if deleted else str(self.version).encode()
        row = row_store.StoreRow(key, value, self.version, deleted)
        self.log.append(row)
        if deleted:
            del self.rows[key]
        else:
            self.rows[key] = row

    def restore(self):
        """Lose the newest changes, as a store that returns from a copy."""
        self.logs[self.timeline] = self.log
        self.timeline += 1
        self.version = self.generator.randint(1, self.version)
        self.log = [row for row in self.log if row.version <= self.version]
        self.rows = _replay(self.log, self.version)

    def snapshot(self):
        return self._page(tuple(self.rows.values()))

    def changes(self, after):
        """Return changes, or None if the store does not have the version."""
        if after > self.version:
            return None
        return self._page(
            tuple(row for row in self.log if row.version > after)
        )

    def _page(self, rows):
        self.calls += 1
        return row_store.RowPage(
            rows, self.version, float(self.calls), self.timeline
        )


def _replay(log, version):
    """Return the rows at a version."""
    rows = {}
    for row in log:
        if row.version <= version:
            rows.pop(row.key, None)
            if not row.deleted:
                rows[row.key] = row
    return rows


@behave.then(
    '{count:d} random histories of a table converge to the contents of the '
    'store'
)
def replicas_converge(context, count):
    for seed in range(count):
        _run_history(random.Random(seed), 0.0)


@behave.then(
    '{count:d} random histories converge when peers hand over only changes '
    'and remember {removals:d} removals'
)
def replicas_converge_by_changes(context, count, removals):
    with unittest.mock.patch.object(table_replica, 'MAX_REMOVALS', removals):
        handed_over = 0
        for seed in range(count):
            context.handed_over = 0
            _run_history(random.Random(seed), 0.05, context)
            handed_over += context.handed_over
    assert handed_over >= count / 10, handed_over


@behave.then(
    '{count:d} random histories of a store that is restored converge to its '
    'contents'
)
def restored_replicas_converge(context, count):
    restorations = [
        _run_history(random.Random(seed), 0.1) for seed in range(count)
    ]
    assert max(restorations) >= 3, restorations


def _run_history(generator, restoration_share, counts=None):
    """Run one history; return the number of restorations.

    Args:
        generator: Random number generator.
        restoration_share: Share of the steps at which the store is restored.
        counts: Its ``handed_over`` counts the changes handed over by peers.
    """
    reference = _ReferenceTable(generator)
    replicas = [table_replica.TableReplica() for _ in range(3)]
    delayed = []
    for _ in range(60):
        replica = generator.choice(replicas)
        if generator.random() < restoration_share:
            reference.restore()
        choice = generator.random()
        if choice < 0.35:
            reference.change()
        elif choice < 0.45:
            delayed.append((None, reference.snapshot()))
        elif choice < 0.65 and replica.watermark is not None:
            after = replica.watermark.version
            page = reference.changes(after)
            if page is None:
                delayed.append((None, reference.snapshot()))
            else:
                delayed.append((after, page))
        elif choice < 0.80 and delayed:
            position = generator.randrange(len(delayed))
            after, page = delayed.pop(position)
            _apply(replica, after, page)
        else:
            handed_over = _send_watermark(generator.choice(replicas), replica)
            if counts is not None:
                counts.handed_over += handed_over
        for each in replicas:
            _check_replica(reference, each)
    for replica in replicas:
        _apply(replica, None, reference.snapshot())
        assert replica.rows == reference.rows
    return reference.timeline - 1


def _apply(replica, after, page):
    if after is None:
        replica.apply_snapshot(page, page.version)
    else:
        replica.apply_changes(after, page)


def _send_watermark(sender, receiver):
    """Send a watermark to another VM, and the table if that VM is behind."""
    if sender.watermark is None or receiver.confirm(sender.watermark):
        return 0
    changes = None
    if receiver.watermark is not None:
        timeline, after = receiver.watermark.position
        changes = sender.changes_after(after, timeline)
    rows = tuple(sender.rows.values()) if changes is None else changes
    page = row_store.RowPage(
        rows,
        sender.watermark.version,
        sender.watermark.store_ms,
        sender.watermark.timeline,
    )
    if changes is None:
        receiver.apply_snapshot(page, sender.watermark.last_change)
        return 0
    receiver.apply_changes(after, page)
    return 1


def _check_replica(reference, replica):
    """Assert that a replica equals the store's contents at its version."""
    if replica.watermark is None:
        return
    timeline, version = replica.watermark.position
    rows = _replay(reference.logs.get(timeline, reference.log), version)
    assert replica.rows == rows, (replica.rows, rows, replica.watermark)


@behave.given('a replica of the table up to version 9')
def replica_at_9(context):
    context.replica = table_replica.TableReplica()
    row = row_store.StoreRow('a', b'new', 9, False)
    page = row_store.RowPage((row,), 9, 90.0)
    context.replica.apply_snapshot(page, 9)


@behave.when('the snapshot of version 7 arrives')
def older_snapshot(context):
    row = row_store.StoreRow('a', b'old', 7, False)
    page = row_store.RowPage((row,), 7, 70.0)
    context.changes = context.replica.apply_snapshot(page, 7)


@behave.then('the replica is unchanged')
def replica_unchanged(context):
    assert context.changes is None
    assert context.replica.rows['a'].value == b'new'
    assert context.replica.watermark.store_ms == 90.0


@behave.when('a peer knows it up to version {version:d} as of {store:d} ms')
def peer_confirms(context, version, store):
    assert context.replica.confirm(table_replica.Watermark(version, 9, store))


@behave.then('the replica is current as of {store:d} ms')
def known_as_of(context, store):
    assert context.replica.watermark.store_ms == store, (
        context.replica.watermark
    )


def _upstream(name, started_ms=1, state=states.UpstreamState.LIVE):
    return model.Upstream(
        upstream=name,
        service='s',
        kind=states.ServiceKind.PLAIN,
        address='10.0.0.1:80',
        availability_zone='z',
        region='r',
        state=state,
        slots=4,
        warm_up_ms=0.0,
        started_at_ms=started_ms,
    )


@behave.given('a directory with the upstream u1')
def directory_with(context):
    context.left = []
    context.directory = upstream_directory.UpstreamDirectory(
        context.left.append
    )
    context.directory.put(_upstream('u1'), 0.0)


@behave.when('the store is available again at {now_ms:d} ms')
def store_returned(context, now_ms):
    context.directory.record_store_recovery(now_ms)


@behave.when('the entry u1 is removed at {now_ms:d} ms')
def entry_removed(context, now_ms):
    context.directory.remove('u1', now_ms)


@behave.when('the entry u1 is written again at {now_ms:d} ms')
def entry_written_again(context, now_ms):
    context.directory.put(_upstream('u1'), now_ms)


@behave.when('the entry u1 is written again with a later start')
def entry_restarted(context):
    context.directory.put(_upstream('u1', 2), 100.0)


@behave.given('u1 has announced that it is leaving')
def announced_leaving(context):
    leaving = _upstream('u1', state=states.UpstreamState.LEAVING)
    context.directory.put(leaving, 100.0)


@behave.when('the store is restored to the first entry of u1 at {now_ms:d} ms')
def entry_restored(context, now_ms):
    context.directory.put(_upstream('u1'), now_ms, restored=True)


@behave.then('the state of u1 is {state:w} at {now_ms:d} ms')
def has_state(context, state, now_ms):
    context.directory.expire(now_ms)
    found = context.directory.upstreams['u1'].state
    assert found is states.UpstreamState(state), found


@behave.then('u1 has its later start at {now_ms:d} ms')
def has_later_start(context, now_ms):
    context.directory.expire(now_ms)
    assert context.directory.upstreams['u1'].started_at_ms == 2


@behave.then('u1 is listed at {now_ms:d} ms')
def is_listed(context, now_ms):
    context.directory.expire(now_ms)
    assert 'u1' in context.directory.upstreams
    assert context.left == []


@behave.then('u1 is gone at {now_ms:d} ms and streams are notified')
def is_gone(context, now_ms):
    context.directory.expire(now_ms)
    assert 'u1' not in context.directory.upstreams
    assert context.left == ['u1']


@behave.then('streams are notified that u1 has left')
def notified_of_leaving(context):
    assert context.left == ['u1']
    assert 'u1' in context.directory.upstreams


def _route(name, prefix):
    return model.Route(
        name=name,
        host='a.example',
        prefix=prefix,
        kind=model.RouteKind.SAFE,
        shares=(),
        timeout_ms=1.0,
        objective_ms=1.0,
        priority=0,
        max_attempts=1,
    )


@behave.then('{target} at {host} takes {name:w}')
def takes_route(context, target, host, name):
    table = routing.RouteTable(
        (_route('short', '/x/'), _route('long', '/x/y/'))
    )
    found = table.find(host, target)
    assert (found.name if found else 'none') == name, found


@behave.then('{count:d} random chunkings of a stream give the same events')
def random_chunkings(context, count):
    ends = ('\n\n', '\r\n\r\n')
    generator = random.Random(2)
    for _ in range(count):
        events = [
            f'id: {n}{end[: len(end) // 2]}data: {"x" * n}{end}'.encode()
            for n, end in enumerate(generator.choices(ends, k=9), 1)
        ]
        data = b''.join(events)
        splitter = sse.EventSplitter()
        found = []
        while data:
            size = generator.randint(1, 12)
            found += splitter.feed(data[:size])
            data = data[size:]
        assert found == events, found
        assert [sse.event_index(e) for e in found] == list(range(1, 10))


@behave.then('a stream that ends with {end} is {state}')
def stream_ends(context, end, state):
    splitter = sse.EventSplitter()
    splitter.feed(end.encode().decode('unicode_escape').encode())
    assert splitter.is_inside_event == (state == 'inside an event'), end


@behave.given(
    'a VM with a table of {count:d} servers of which a peer has all but one'
)
def peer_is_behind(context, count):
    registry.load_plugins('eelgrassknot.platform')
    loop = peer_world.SimulatedLoop()
    context.state = forwarding_peers._create_state('vm-0', [], loop)
    context.replica = table_replica.TableReplica()
    rows = tuple(
        row_store.StoreRow(f'u{number}', b'{}', number, False)
        for number in range(1, count + 1)
    )
    page = row_store.RowPage(rows[:-1], count - 1, 0.0)
    context.served = context.state.tables['servers'].replica
    for replica in (context.replica, context.served):
        replica.apply_snapshot(page, count - 1)
    context.served.apply_changes(
        count - 1, row_store.RowPage(rows[-1:], count, 1.0)
    )


def _fetch(context, **more):
    version = context.replica.watermark.version
    query = messages.RowsFetch('servers', version, 0, **more)
    context.reply = context.state._serve_fetch('vm-1', query)
    context.received = peer_rows.decode(context.reply.rows).ok_value


@behave.when('the peer fetches the table')
def peer_fetches(context):
    _fetch(context, accepts_changes=True)


@behave.when('a peer of an earlier release fetches the table')
def earlier_peer_fetches(context):
    context.replica = table_replica.TableReplica()
    page = row_store.RowPage((), 1, 0.0)
    context.replica.apply_snapshot(page, 1)
    _fetch(context)
    assert context.reply.after is None


@behave.then('it receives {count:d} row and has the table')
def has_table(context, count):
    assert len(context.received) == count, context.received
    mark = context.reply.mark
    page = row_store.RowPage(context.received, mark.version, mark.store_ms)
    context.replica.apply_changes(context.reply.after, page)
    assert context.replica.rows == context.served.rows


@behave.then('it receives {count:d} rows')
def receives(context, count):
    assert len(context.received) == count, context.received
