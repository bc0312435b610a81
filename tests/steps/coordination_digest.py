"""Steps for digests, observers, reachability and links."""

import behave

from eelgrassknot.coordination import delta_queue
from eelgrassknot.coordination import digest
from eelgrassknot.coordination import links
from eelgrassknot.coordination import membership
from eelgrassknot.coordination import membership_messages
from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot.coordination import poll_schedule
from eelgrassknot.coordination import reachability
from eelgrassknot.coordination import rendezvous
from eelgrassknot.coordination import vm_list
from eelgrassknot.kernel import events
from eelgrassknot import states
from eelgrassknot.storage import base


def info(name, address='127.0.0.1:1'):
    return events.UpstreamInfo(
        name,
        'chat',
        states.ServiceKind.ENGINE,
        address,
        'zone',
        'region',
        states.UpstreamState.LIVE,
    )


def load(key, at_ms, leaving=False):
    return messages.LoadEntry(key, at_ms, 5, 10, 1, 2, 3, True, leaving)


@behave.given('{vms:d} VMs and {count:d} upstreams of a zone')
def given_vms(context, vms, count):
    context.vms = [f'vm-{number}' for number in range(vms)]
    context.names = [f'e-{number}' for number in range(count)]
    context.before = observers(context)


def observers(context):
    return {
        name: rendezvous.ranked(name, context.vms, poll_schedule.OBSERVERS)
        for name in context.names
    }


@behave.then('each upstream is observed by two VMs')
def two_observers(context):
    assert all(len(set(vms)) == 2 for vms in context.before.values())


@behave.when('one VM fails')
def one_fails(context):
    context.failed_vm = context.vms.pop(7)


@behave.then('only the upstreams of that VM get a new observer')
def others_stay(context):
    for name, vms in observers(context).items():
        if context.failed_vm not in context.before[name]:
            assert vms == context.before[name], name


@behave.given('an upstream whose observers are "first" and "second"')
def given_observers(context):
    order = rendezvous.ranked('e1', ['x', 'y'])
    context.now_ms = 0.0
    context.first, context.second = (
        poll_schedule.PollSchedule(vm) for vm in order
    )
    for each in (context.first, context.second):
        each.assign(['e1'], ['x', 'y'], 0.0)


@behave.then('only "first" polls it')
def first_polls(context):
    for _ in range(40):
        context.now_ms += 250.0
        assert context.first.due(context.now_ms) == ['e1']
        context.first.record_poll_end('e1')
        context.second.record_peer_report('e1', context.now_ms)
        assert context.second.due(context.now_ms) == []


@behave.when('"first" does not report for {silent_ms:d} ms')
def first_silent(context, silent_ms):
    context.now_ms += silent_ms


@behave.then('"second" polls it')
def second_polls(context):
    assert context.second.due(context.now_ms) == ['e1']


@behave.given(
    'a queue of {count:d} entries that all change before each digest'
)
def given_queue(context, count):
    context.queue = delta_queue.DeltaQueue(28, 1_000.0)
    context.count = count


@behave.then(
    'each digest of {budget:d} bytes takes {most:d} entries and all entries'
    ' are sent in turn'
)
def digests_take(context, budget, most):
    seen = set()
    for step in range(context.count // most):
        for key in range(context.count):
            context.queue.offer(key, (key, step))
        taken = context.queue.take(budget, step * 250.0)
        assert len(taken) == most, taken
        seen.update(key for key, _ in taken)
    assert len(seen) == context.count, 'an entry was never sent'


@behave.given('a queue whose 1 entry has been sent')
def given_sent_entry(context):
    context.queue = delta_queue.DeltaQueue(28, 1_000.0)
    context.queue.offer('a', 1)
    assert context.queue.take(100, 0.0) == [1]


@behave.then('it is sent again after the refresh interval and not before')
def sent_again(context):
    context.queue.offer('a', 1)
    assert context.queue.take(100, 999.0) == []
    assert context.queue.take(100, 1_000.0) == [1]


@behave.given('a digest with the load of "{name}" at 200 ms of its clock')
def given_digest(context, name):
    context.info = info(name)
    context.key = digest.upstream_key(context.info)
    context.digest = digest.Digest('zone')
    context.digest.set_upstreams([context.info])
    context.digest.record_own_load(load(context.key, 200), 0.0)


@behave.when('a peer\'s load of "{name}" at 100 ms arrives')
@behave.when('a peer\'s load of the earlier incarnation of "{name}" arrives')
def late_load(context, name):
    assert not context.digest.record_peer_load(load(context.key, 100), 1.0)


@behave.then('the load of "{name}" is still the one at 200 ms')
def still_newer(context, name):
    assert context.digest.loads[context.key][0].at_ms == 200


@behave.when('"{name}" gets another address')
def other_address(context, name):
    context.digest.set_upstreams([info(name, '127.0.0.1:2')])


@behave.then('no load of "{name}" is known')
def no_load(context, name):
    assert not context.digest.loads


@behave.given('a digest with the demand of account "{account}"')
def given_demand(context, account):
    context.digest = digest.Digest('zone')
    context.digest.update_dispatch_state({}, {account: 2.5})
    sent = context.digest.take(1_000, 0.0).demands
    assert [d.milli_requests_per_second for d in sent] == [2_500]


@behave.when('its demand has ended')
def demand_ended(context):
    context.sent = []
    for step in range(1, 5):
        context.digest.update_dispatch_state({}, {})
        context.sent += context.digest.take(1_000, step * 250.0).demands


@behave.then('zero is sent once and then nothing')
def zero_sent(context):
    sent = [entry.milli_requests_per_second for entry in context.sent]
    assert sent == [0], sent


@behave.then('the zone\'s sum for "{service}" has 1 upstream and none leaving')
def zone_sum(context, service):
    (total,) = context.digest.zone_loads(1.0)
    assert (total.service, total.upstreams) == (service, 1), total
    assert (total.kv_tokens_used, total.leaving) == (5, ()), total


@behave.when('"{name}" reports that it is leaving')
def reports_leaving(context, name):
    context.digest.record_own_load(load(context.key, 300, leaving=True), 2.0)


@behave.then('the zone\'s sum for "{service}" lists the upstream as leaving')
def lists_leaving(context, service):
    (total,) = context.digest.zone_loads(3.0)
    assert total.leaving == (context.key,), total


@behave.given('an upstream that "{vm}" cannot reach')
def given_unreachable(context, vm):
    context.reachability = reachability.Reachability()
    reachable = [
        context.reachability.record_poll('e1', False) for _ in range(3)
    ]
    assert reachable == [True, True, False], reachable
    context.reachable = context.reachability.record_report(
        'e1', vm, False, 0.0
    )


@behave.then('it is considered unreachable')
def is_unreachable(context):
    assert not context.reachable


@behave.when('"{vm}" reports that it can reach the upstream')
def reports_reachable(context, vm):
    context.reachable = context.reachability.record_report('e1', vm, True, 1.0)


@behave.then('it is considered reachable')
def is_reachable(context):
    assert context.reachable
    assert context.reachability.record_report('e1', 'a', False, 2.0)


@behave.given('{zones:d} zones of {size:d} entry VMs')
def given_zones(context, zones, size):
    context.entries = tuple(
        base.VmEntry(
            f'z{zone}-{number}',
            '127.0.0.1',
            zone * 100 + number,
            f'z{zone}',
            'r',
            states.VmKind.ENTRY,
            states.UpstreamState.LIVE,
        )
        for zone in range(zones)
        for number in range(size)
    )


@behave.then(
    'each VM is linked to its zone and each gateway also to {remote:d}'
    ' remote VMs'
)
def links_are(context, remote):
    names = [e.vm for e in context.entries if e.availability_zone == 'z0']
    counts = []
    for vm in names:
        known = membership.Membership(vm, 'z0')
        known.handle(membership_messages.ListRead(context.entries), 0.0)
        for other in set(names) - {vm}:
            heartbeat = membership_messages.HeartbeatReceived(
                other, other, 1, 1, False
            )
            known.handle(heartbeat, 0.0)
        planned = links.plan_links(known)
        assert sorted(planned.zone_peers) == sorted(set(names) - {vm})
        counts.append(len(planned.remote_gateways))
    assert sorted(counts) == [0, 0, remote, remote], counts


@behave.given(
    'a list of VMs in which one joins, one is leaving and one has gone'
)
def given_lists(context):
    def entry(vm, state=states.UpstreamState.LIVE):
        return base.VmEntry(
            vm, '127.0.0.1', 1, 'z', 'r', states.VmKind.PLAIN, state
        )

    leaving = entry('b', states.UpstreamState.LEAVING)
    context.before = {vm: entry(vm) for vm in 'abc'}
    context.after = {'a': entry('a'), 'b': leaving, 'd': entry('d')}


@behave.then('applying the change to the old list gives the new list')
def change_reproduces_list(context):
    change = vm_list.difference(context.before, context.after)
    assert len(change.entries) == 2 and change.removed == ('c',), change
    assert vm_list.apply(context.before, change) == context.after
    assert vm_list.difference(context.after, context.after) is None
