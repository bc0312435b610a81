"""Steps for the membership of entry VMs."""

import random

import behave
from hypothesis import stateful
from hypothesis import strategies

from eelgrassknot.coordination import failure_detector
from eelgrassknot.coordination import membership
from eelgrassknot.coordination import membership_messages
from eelgrassknot import states
from eelgrassknot.storage import base
from tests.coordination import state_machines

GONE = membership.PeerState.GONE
LIVE = membership.PeerState.LIVE


class Forgetful(membership.Membership):
    """Faulty variant that considers only the last heartbeat."""

    def _on_heartbeat(self, event, now_ms):
        peer = self._peer(event.vm)
        if peer.incarnation != event.incarnation:
            self._start_incarnation(peer, event)
        peer.leaving = event.leaving
        peer.detector.record_heartbeat(now_ms)


class Gossip(stateful.RuleBasedStateMachine):
    """One VM receives heartbeats of two others that leave and restart.

    Heartbeats are reordered, duplicated or lost.
    """

    membership_class = membership.Membership

    def __init__(self):
        super().__init__()
        self.membership = self.membership_class('a', 'zone')
        self.now_ms = 0.0
        self.runs = {'b': 1, 'c': 1}
        self.leaving = {'b': False, 'c': False}
        self.sequence = 0
        self.messages = []
        self.told_leaving = set()
        self.newest = {'b': 0, 'c': 0}

    @stateful.rule(vm=strategies.sampled_from('bc'))
    def heartbeat(self, vm):
        self.sequence += 1
        self.messages.append(
            membership_messages.HeartbeatReceived(
                vm,
                f'{vm}{self.runs[vm]}',
                self.runs[vm],
                self.sequence,
                self.leaving[vm],
            )
        )

    @stateful.rule(vm=strategies.sampled_from('bc'))
    def leaves(self, vm):
        self.leaving[vm] = True
        self.heartbeat(vm)

    @stateful.rule(vm=strategies.sampled_from('bc'))
    def is_replaced(self, vm):
        self.runs[vm] += 1
        self.leaving[vm] = False
        self.heartbeat(vm)

    @stateful.rule(
        index=strategies.integers(0, 9),
        fate=strategies.sampled_from(('arrives', 'repeats', 'is lost')),
    )
    def message(self, index, fate):
        if not self.messages:
            return
        index %= len(self.messages)
        event = self.messages[index]
        if fate != 'repeats':
            del self.messages[index]
        if fate == 'is lost':
            return
        self.membership.handle(event, self.now_ms)
        if event.started_ms < self.newest[event.vm]:
            return
        self.newest[event.vm] = event.started_ms
        if event.leaving:
            self.told_leaving.add(event.incarnation)

    @stateful.rule(step_ms=strategies.sampled_from((100, 900)))
    def time_passes(self, step_ms):
        self.now_ms += step_ms
        self.membership.handle(membership_messages.Tick(), self.now_ms)

    @stateful.invariant()
    def leaving_and_replaced_stay_so(self):
        for vm, peer in self.membership.peers.items():
            assert peer.started_ms >= self.newest[vm], (
                'a replaced incarnation returned'
            )
            if peer.incarnation in self.told_leaving:
                assert peer.state is not LIVE, 'a leaving peer became live'


@behave.given('VMs that receive heartbeats in any order')
def given_gossip(context):
    context.machine = Gossip


@behave.given('VMs that consider only the last heartbeat')
def given_forgetful(context):
    context.machine = type(
        'Machine', (Gossip,), {'membership_class': Forgetful}
    )


@behave.then(
    'no leaving peer becomes live again and no replaced incarnation returns'
)
def leavers_stay(context):
    state_machines.run(context.machine)


@behave.then('the check on membership fails')
def membership_check_fails(context):
    state_machines.assert_caught(context.machine)


def heartbeat(context, vm, incarnation=None, leaving=False, unheard=()):
    context.sequence += 1
    context.membership.handle(
        membership_messages.HeartbeatReceived(
            vm,
            incarnation or f'{vm}1',
            context.sequence,
            context.sequence,
            leaving,
            frozenset(unheard),
        ),
        context.now_ms,
    )


def run(context, duration_ms, speakers, unheard=()):
    end_ms = context.now_ms + duration_ms
    while context.now_ms < end_ms:
        context.now_ms += 1_000
        context.membership.handle(membership_messages.Tick(), context.now_ms)
        for vm in speakers:
            heartbeat(context, vm, unheard=unheard)
    context.membership.handle(membership_messages.Tick(), context.now_ms)


@behave.given('three VMs of a zone that exchange heartbeats every 1000 ms')
def given_zone(context):
    context.membership = membership.Membership('a', 'zone')
    context.now_ms = 0.0
    context.sequence = 0
    run(context, 10_000, 'bc')
    assert context.membership.live_peers() == ['b', 'c']


@behave.when('"{vm}" is silent for {silent_ms:d} ms')
def falls_silent(context, vm, silent_ms):
    run(context, silent_ms, set('bc') - {vm})


@behave.when('"{vm}" also reports "{other}" as silent')
def misses_too(context, vm, other):
    context.unheard = (other,)


@behave.when('"{vm}" stays silent for another {silent_ms:d} ms')
def stays_silent(context, vm, silent_ms):
    run(context, silent_ms, set('bc') - {vm}, context.unheard)


@behave.then('"a" suspects "{vm}" and does not consider it gone')
def suspects(context, vm):
    suspected = context.membership.in_state(membership.PeerState.SUSPECTED)
    assert suspected == [vm], suspected
    assert context.membership.unheard() == [vm]
    assert context.membership.is_gone(vm, f'{vm}1') is None


@behave.then('"a" considers "{vm}" gone')
def counts_gone(context, vm):
    assert context.membership.in_state(GONE) == [vm]
    assert context.membership.is_gone(vm, f'{vm}1') is True


@behave.when('"a" is paused for {still_ms:d} ms')
def stands_still(context, still_ms):
    context.now_ms += still_ms


@behave.then('"a" suspects no peer')
def suspects_nobody(context):
    context.membership.handle(membership_messages.Tick(), context.now_ms)
    assert context.membership.live_peers() == ['b', 'c']


@behave.given(
    'heartbeats every {gap_ms:d} ms and heartbeats at random gaps of'
    ' {low_ms:d} to {high_ms:d} ms'
)
def given_two_rhythms(context, gap_ms, low_ms, high_ms):
    generator = random.Random(3)
    context.regular = failure_detector.PhiAccrualDetector(gap_ms)
    context.jittery = failure_detector.PhiAccrualDetector(gap_ms)
    regular_ms = jittery_ms = 0.0
    for _ in range(60):
        regular_ms += gap_ms
        jittery_ms += generator.uniform(low_ms, high_ms)
        context.regular.record_heartbeat(regular_ms)
        context.jittery.record_heartbeat(jittery_ms)


@behave.then(
    'a silence of {silent_ms:d} ms is suspect only for the regular heartbeats'
)
def only_regular_suspect(context, silent_ms):
    for detector, expected in (
        (context.regular, True),
        (context.jittery, False),
    ):
        assert detector.is_suspect(detector.last_ms + silent_ms) is expected


@behave.when('"{vm}" leaves and returns as another incarnation')
def comes_back(context, vm):
    heartbeat(context, vm, leaving=True)
    assert context.membership.live_peers() == ['b']
    heartbeat(context, vm, f'{vm}2')


@behave.then('"a" considers "{vm}" live and the earlier incarnation ended')
def counts_live(context, vm):
    assert vm in context.membership.live_peers()
    assert context.membership.is_gone(vm, f'{vm}1') is True
    assert context.membership.is_gone(vm, f'{vm}2') is False


def entry(vm, state=states.UpstreamState.LIVE):
    return base.VmEntry(
        vm, '127.0.0.1', 1, 'zone', 'r', states.VmKind.ENTRY, state
    )


@behave.when('the list contains "{dead}" as live and omits "{new}"')
def list_names(context, dead, new):
    entries = (entry(dead), entry('b'))
    context.membership.handle(
        membership_messages.ListRead(entries), context.now_ms
    )
    run(context, 20_000, 'bc')


@behave.then('"a" considers "{dead}" only listed and "{new}" live')
def knows(context, dead, new):
    listed = context.membership.in_state(membership.PeerState.LISTED)
    assert listed == [dead], listed
    assert new in context.membership.live_peers()


@behave.when('"{vm}" introduces itself and is not listed')
def introduces_itself(context, vm):
    location = membership_messages.PeerLocation(vm, '127.0.0.1:9', 'zone', 'r')
    context.membership.handle(location, context.now_ms)
    run(context, 2_000, 'bc')


@behave.then('"a" knows the address of "{vm}"')
def knows_address(context, vm):
    assert context.membership.peers[vm].location.address == '127.0.0.1:9'
