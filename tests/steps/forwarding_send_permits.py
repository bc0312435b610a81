"""Steps for the division of a request limit among entry VMs."""

import random

import behave
import msgspec

from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot.policy import send_permits
from tests import peer_world
from tests import permit_world

SETTLED_MS = 8_000.0


def _world(context):
    if not hasattr(context, 'permits'):
        context.permits = permit_world.PermitWorld(context.cluster)
    return context.permits


@behave.when('an upstream states a limit of {limit:f} a second to one VM')
def limit_stated(context, limit):
    loop = context.cluster.loop
    loop.run_until(loop.now_ms() + 2_000.0)
    _world(context).state(limit)


@behave.when('the upstream withdraws its limit to one VM')
def limit_withdrawn(context):
    _world(context).state(None)


@behave.when('each VM asks for {rate:d} permits a second for {seconds:d} s')
def all_ask(context, rate, seconds):
    _world(context).ask_all(rate, seconds * 1_000.0)


@behave.when(
    'the VM {vm} alone asks for {rate:d} permits a second for {seconds:d} s'
)
def one_asks(context, vm, rate, seconds):
    _world(context).ask_all(rate, seconds * 1_000.0, [vm])


@behave.when(
    'its issuer stops every {gap:d} s while each VM asks for {rate:d} permits '
    'a second for {seconds:d} s'
)
def issuers_stop(context, gap, rate, seconds):
    world = _world(context)
    context.stops_ms = []
    for _ in range(seconds // gap):
        context.cluster.vms[world.issuer()].alive = False
        context.stops_ms.append(context.cluster.loop.now_ms())
        world.ask_all(rate, gap * 1_000.0)


@behave.then('some request is granted after each stop')
def granted_after_stops(context):
    ends = [*context.stops_ms[1:], float('inf')]
    for start_ms, end_ms in zip(context.stops_ms, ends, strict=True):
        assert any(start_ms < t < end_ms for t in context.permits.sent_ms)


@behave.then('the upstream gets no more than its limit tolerates in any 4 s')
def within_limit(context):
    assert context.permits.excess() is None, context.permits.excess()


@behave.then(
    'it gets at least {percent:d} percent of its limit after the first 8 s'
)
def limit_is_used(context, percent):
    world = context.permits
    begin_ms = world.limits[0][0] + SETTLED_MS
    used = sum(t >= begin_ms for t in world.sent_ms)
    span_s = (context.cluster.loop.now_ms() - begin_ms) / 1_000.0
    allowed = world.limits[0][1] * span_s
    assert 100 * used >= percent * allowed, (used, allowed)


@behave.then('each VM knows a limit of {limit:f}')
def limit_known(context, limit):
    assert context.permits.knowledge() == {limit}, context.permits.knowledge()


@behave.then('each VM knows no limit')
def no_limit_known(context):
    assert context.permits.knowledge() == {None}, context.permits.knowledge()


@behave.then('{count:d} random histories keep to the limit that is in force')
def random_histories(context, count):
    for seed in range(count):
        generator = random.Random(seed)
        zones, size = generator.choice(((3, 2), (3, 3), (6, 4)))
        world = permit_world.PermitWorld(
            peer_world.SimulatedCluster(zones, size)
        )
        world.cluster.loop.run_until(2_000.0)
        world.state(generator.choice((1.0, 2.0, 5.0, 20.0)))
        faults = []
        for _ in range(12):
            faults.append(generator.choice(permit_world.FAULTS))
            world.apply_fault(faults[-1], generator)
            world.ask_all(4, generator.uniform(500.0, 3_000.0))
        assert world.excess() is None, (seed, faults, world.excess())
        assert world.sent_ms, seed


@behave.when(
    'a VM that is granted a permit is paused for {seconds:d} s before it can '
    'use it'
)
def paused_with_permit(context, seconds):
    world = _world(context)
    cluster = context.cluster
    cluster.loop.run_until(cluster.loop.now_ms() + 500.0)
    issuer = world.issuer()
    peer = next(p for vm, p in cluster.vms.items() if vm != issuer)
    # The permit becomes usable while the VM is paused.
    world.ask(peer, max_wait_ms=3_000.0)
    cluster.loop.run_until(cluster.loop.now_ms() + 150.0)
    assert not world.results
    peer.paused_until_ms = cluster.loop.now_ms() + seconds * 1_000.0
    cluster.loop.run_until(peer.paused_until_ms + 1_000.0)


@behave.then('its request for a permit is denied as expired')
def denied_as_expired(context):
    (found,) = context.permits.results
    assert isinstance(found, send_permits.Denial), found
    assert not context.permits.sent_ms


@behave.when('a VM asks for a permit that it can use within {wait:d} ms')
def ask_in_time(context, wait):
    cluster = context.cluster
    cluster.loop.run_until(cluster.loop.now_ms() + 100.0)
    _world(context).ask(next(iter(cluster.vms.values())), wait)
    cluster.loop.run_until(cluster.loop.now_ms() + 300.0)


@behave.then('it is denied and told to retry after {low:d} to {high:d} ms')
def denied_with_retry(context, low, high):
    (found,) = context.permits.results
    assert isinstance(found, send_permits.Denial), found
    assert low <= found.retry_after_ms <= high, found


@behave.then(
    '{count:d} callers that a VM refuses at once return {gap:d} ms apart'
)
def return_apart(context, count, gap):
    peer = next(iter(context.cluster.vms.values()))
    returns_ms = [
        peer.permits.return_after_ms('s', [permit_world.UPSTREAM], 200.0)
        for _ in range(count)
    ]
    assert returns_ms == [200.0 + gap * n for n in range(count)], returns_ms


@behave.given('the news of the issuer lacks the field of limits')
def earlier_release(context):
    world = _world(context)
    cluster = context.cluster
    cluster.loop.run_until(cluster.loop.now_ms() + 2_000.0)
    context.earlier = world.issuer()
    deliver = cluster.deliver

    def deliver_without_limits(sender, vm, message):
        if sender.vm == context.earlier and isinstance(
            message, messages.EntryNews
        ):
            message = msgspec.structs.replace(message, limits=None)
        deliver(sender, vm, message)

    cluster.deliver = deliver_without_limits
    cluster.vms[context.earlier].permits.is_leaving = True


@behave.then('that VM is asked for no permit')
def not_asked(context):
    assert context.permits.asked
    assert context.earlier not in context.permits.asked


@behave.when(
    'a VM that is not the issuer is asked for a permit after {passed:d} ms'
)
def wrong_vm_asked(context, passed):
    cluster = context.cluster
    cluster.loop.run_until(cluster.loop.now_ms() + passed)
    world = _world(context)
    issuer = world.issuer()
    peer = next(p for vm, p in cluster.vms.items() if vm != issuer)
    context.replies = []
    peer.send = lambda vm, message: context.replies.append(message)
    request = messages.PermitRequest(
        1, permit_world.UPSTREAM, 2.0, 1_000.0, False
    )
    peer.permits.receive_request(issuer, request)


@behave.then('it replies with a denial')
def replies_with_denial(context):
    (reply,) = context.replies
    assert not reply.is_granted, reply
