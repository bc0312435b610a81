"""Steps for the adoption of services texts."""

import random

import behave
from hypothesis import stateful
from hypothesis import strategies

from eelgrassknot.coordination import adoption
from eelgrassknot.coordination import config
from eelgrassknot.coordination import rows
from tests.coordination import state_machines

DOCUMENT = (
    '{"deployment": "d", "regions": [], "services": [], "client_accounts": []}'
)
PEERS = ('p', 'q')
FETCH = (adoption.FetchFromStore, adoption.FetchFromPeer)


def record(version):
    digest = config.document_digest(DOCUMENT)
    return rows.ConfigRecord(version, DOCUMENT, 'ana', f'c{version}', digest)


class AppliesAll(adoption.ConfigAdoption):
    """Faulty variant that applies every received text."""

    def _receive(self, received):
        self.adopted = received
        return [adoption.Adopt(received, None)]


class ReadyWithAny(adoption.ConfigAdoption):
    """Faulty variant that reports ready without a text."""

    def not_ready_reason(self):
        return None


class Network(stateful.RuleBasedStateMachine):
    """One VM with a store and peers that lag.

    Messages are delivered late, lost or duplicated.
    """

    adoption_class = adoption.ConfigAdoption

    def __init__(self):
        super().__init__()
        self.adoption = self.adoption_class(random.Random(1))
        self.now_ms = 0.0
        self.accepted = 1
        self.at_peer = dict.fromkeys(PEERS, 1)
        self.messages = []
        self.highest = 0
        self.highest_heard = 0

    def _tell(self, event):
        if isinstance(event, adoption.PeerVersionReceived):
            self.highest_heard = max(self.highest_heard, event.version)
        for action in self.adoption.handle(event, self.now_ms):
            match action:
                case adoption.PollStore():
                    stamp = rows.ConfigStamp(self.accepted, 'd')
                    self.messages.append(adoption.StampRead(stamp))
                case adoption.FetchFromStore():
                    self._send(self.accepted)
                case adoption.FetchFromPeer(vm):
                    self._send(self.at_peer[vm])
                case adoption.Adopt(adopted):
                    assert adopted.version >= self.highest, (
                        'the version in force decreased'
                    )
                    assert adopted.version >= self.highest_heard, (
                        'a text older than a known version was applied'
                    )
                    self.highest = adopted.version

    def _send(self, version):
        self.messages.append(adoption.RecordReceived(record(version)))

    @stateful.rule()
    def somebody_accepts(self):
        self.accepted += 1

    @stateful.rule(peer=strategies.sampled_from(PEERS))
    def peer_adopts_and_tells(self, peer):
        self.at_peer[peer] = self.accepted
        heard = adoption.PeerVersionReceived(peer, self.accepted)
        self.messages.append(heard)

    @stateful.rule(step_ms=strategies.sampled_from((100, 2_000, 4_000)))
    def time_passes(self, step_ms):
        self.now_ms += step_ms
        self._tell(adoption.Tick())

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
        if fate != 'is lost':
            self._tell(event)

    @stateful.invariant()
    def ready_only_with_a_text(self):
        if self.adoption.not_ready_reason() is None:
            assert self.adoption.adopted is not None, 'ready without a text'

    def teardown(self):
        self.messages.clear()
        for _ in range(9):
            self.time_passes(5_000)
            while self.messages:
                self._tell(self.messages.pop(0))
        assert self.adoption.version == self.accepted, 'did not converge'


def adopters(adoption_class):
    return type('Machine', (Network,), {'adoption_class': adoption_class})


@behave.given('a VM that receives texts from the store and its peers')
def given_vm(context):
    context.machine = adopters(adoption.ConfigAdoption)


@behave.given('a VM that applies every received text')
def given_applies_all(context):
    context.machine = adopters(AppliesAll)


@behave.given('a VM that always reports ready')
def given_ready_with_any(context):
    context.machine = adopters(ReadyWithAny)


@behave.then(
    'its version in force never decreases and converges to the newest'
)
def never_falls(context):
    state_machines.run(context.machine)


@behave.then('the check on adoption fails')
def adoption_check_fails(context):
    state_machines.assert_caught(context.machine)


def tell(context, event, after_ms=0.0):
    context.now_ms += after_ms
    context.actions = context.adoption.handle(event, context.now_ms)


@behave.given('a VM whose store does not answer')
def given_store_down(context):
    context.now_ms = 0.0
    context.adoption = adoption.ConfigAdoption(random.Random(1))
    tell(context, adoption.Tick())
    tell(context, adoption.StoreFailed())


@behave.then(
    'it is not ready because neither store nor peer has provided the text'
)
def not_ready(context):
    reason = context.adoption.not_ready_reason()
    assert reason.startswith('neither the store nor a peer'), reason


@behave.when('a peer reports version {version:d}')
def peer_tells(context, version):
    tell(context, adoption.PeerVersionReceived('p', version))


@behave.when('another peer reports version {version:d}')
def other_tells(context, version):
    tell(context, adoption.PeerVersionReceived('q', version))


@behave.then('it requests the text from that peer')
def asks_peer(context):
    assert context.actions == [adoption.FetchFromPeer('p')], context.actions


@behave.when('that text arrives')
def text_arrives(context):
    tell(context, adoption.RecordReceived(record(4)))


@behave.then('it is ready with version {version:d}')
def ready_with(context, version):
    assert context.adoption.not_ready_reason() is None
    assert context.adoption.version == version


@behave.when('a text arrives whose digest does not match')
def corrupt_arrives(context):
    broken = rows.ConfigRecord(4, DOCUMENT + ' ', 'ana', 'c4', 'wrong')
    tell(context, adoption.RecordReceived(broken))


@behave.then('it is not ready and has counted {count:d} corrupt text')
def counted_corrupt(context, count):
    assert context.adoption.not_ready_reason() is not None
    assert context.adoption.corrupt_count == count


@behave.when('the peer does not answer for {silent_ms:d} ms')
def peer_silent(context, silent_ms):
    tell(context, adoption.Tick(), silent_ms)


@behave.then(
    'it requests the text from the peer again, as the store has failed'
)
def asks_again(context):
    fetches = [a for a in context.actions if isinstance(a, FETCH)]
    assert fetches == [adoption.FetchFromPeer('p')], context.actions


@behave.then('the other peer is listed as outdated')
def other_behind(context):
    assert context.adoption.outdated_peers() == {'q': 3}, (
        context.adoption.outdated_peers()
    )
