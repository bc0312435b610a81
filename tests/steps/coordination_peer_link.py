"""Steps for the peer link."""

import socket
import time

import behave

from eelgrassknot import clock as clocks
from eelgrassknot.coordination import peer_codec
from eelgrassknot.coordination import peer_link
from eelgrassknot.coordination import peer_messages as messages
from tests.coordination import silent_relay

SECRET = b'0123456789abcdef' * 2
LIMIT_S = 30.0


def wait_for(condition):
    until = time.monotonic() + LIMIT_S
    while time.monotonic() < until:
        if condition():
            return
        time.sleep(0.01)
    raise AssertionError('condition not met within the time limit')


def codec(vm, incarnation=None, started_ms=1, secrets=(SECRET,)):
    return peer_codec.PeerCodec(
        vm, incarnation or f'{vm}1', started_ms, secrets
    )


def start(context, vm):
    link = peer_link.PeerLink(
        '127.0.0.1:0', codec(vm), clocks.MonotonicClock()
    )
    link.heard = []
    link.on_message(messages.Heartbeat, link.heard.append)
    link.on_query(
        messages.OwnerQuery,
        lambda vm, query: messages.OwnerReply(f'{vm} asked {query.nonce}'),
    )
    link.start()
    context.add_cleanup(link.stop)
    return link


@behave.given('the daemons "a" and "b" with links to each other')
def given_links(context):
    context.a = start(context, 'a')
    context.b = start(context, 'b')
    context.a.connect('b', context.b.address)
    context.b.connect('a', context.a.address)
    wait_for(lambda: context.a.send('b', messages.Heartbeat(0)))
    wait_for(lambda: context.b.send('a', messages.Heartbeat(0)))
    wait_for(lambda: context.a.heard and context.b.heard)


def versions(link):
    return [(e.vm, e.message.config_version) for e in link.heard]


@behave.when('"a" sends "b" a heartbeat of version {version:d}')
def sends(context, version):
    assert context.a.send('b', messages.Heartbeat(version))


@behave.then('"b" receives version {version:d} from "a"')
def hears(context, version):
    wait_for(lambda: ('a', version) in versions(context.b))


@behave.then('"a" receives the reply of "b" to a query')
def gets_reply(context):
    answer = context.a.request('b', messages.OwnerQuery('i', 'n'), 20_000)
    assert answer.ok_value == messages.OwnerReply('a asked n'), answer


@behave.then('a query to "c" fails because no answer was received')
def question_fails(context):
    answer = context.a.request('c', messages.OwnerQuery('i', 'n'), 50)
    assert 'no answer from c' in answer.err_value.message


@behave.when(
    '"b" is sent an unsigned, a replayed, an altered and a misdirected message'
)
def sends_bad(context):
    context.heard_before = len(context.b.heard)
    sender = codec('x')
    good = sender.encode(messages.Heartbeat(9))
    foreign = sender.encode(messages.Heartbeat(9), 'somebody-else')
    malformed = peer_codec._mac(sender.keys[0], b'\x93') + b'\x93'
    altered = good[:-1] + bytes([good[-1] ^ 1])
    for data in (good, good, altered, foreign, malformed, b'short'):
        context.b._receive(data)


@behave.then(
    '"b" has counted the rejections of each kind and received one message'
)
def counted(context):
    rejected = context.b.counters.rejected
    assert rejected == {
        'unsigned': 2,
        'replayed': 1,
        'misdirected': 1,
        'malformed': 1,
    }, rejected
    assert len(context.b.heard) == context.heard_before + 1


@behave.when('"a" sends {count:d} heartbeats to a peer that does not read')
def sends_to_mute(context, count):
    mute = socket.create_server(('127.0.0.1', 0))
    context.add_cleanup(mute.close)
    context.a.connect('mute', '127.0.0.1:%d' % mute.getsockname()[1])
    for _ in range(count):
        context.a.send('mute', messages.Heartbeat(1))


@behave.then('"a" has not blocked and has counted drops')
def counted_drops(context):
    assert context.a.counters.dropped['Heartbeat'] >= 1


@behave.given('"a" is connected to "b" through a relay')
def given_intermediary(context):
    context.relay = silent_relay.SilentRelay(context.b.address)
    context.add_cleanup(context.relay.close)
    context.a.connect('b', context.relay.address)
    wait_for(lambda: context.a.send('b', messages.Heartbeat(100)))
    hears(context, 100)


@behave.when('the relay stops forwarding on the open connection')
def loses_track(context):
    context.relay.silence()


@behave.then('"b" receives from "a" again over a new connection')
def hears_again(context):
    def heard():
        context.a.send('b', messages.Heartbeat(101))
        return ('a', 101) in versions(context.b)

    wait_for(heard)
    assert context.relay.accepted == 2, context.relay.accepted


@behave.then(
    'messages are accepted in each step of the rotation from key "{old}" to'
    ' key "{new}"'
)
def keys_rotate(context, old, new):
    one, two = (key.encode() * 16 for key in (old, new))
    steps = ((one,), (one, two), (two, one), (two,))
    # VMs restart one by one, so VMs of adjacent steps run side by side.
    for earlier, later in zip(steps, steps[1:], strict=False):
        for signer, reader in ((earlier, later), (later, earlier)):
            sent = codec('x', secrets=signer).encode(messages.Heartbeat(1))
            assert codec('y', secrets=reader).decode(sent, 0.0).is_ok()
    context.stale = codec('x', secrets=[one]).encode(messages.Heartbeat(1))
    context.rotated = codec('y', secrets=[two])


@behave.then('after the last step messages signed with "old" are dropped')
def old_key_dropped(context):
    rejection = context.rotated.decode(context.stale, 0.0).err_value
    assert rejection is peer_codec.Rejection.UNSIGNED


@behave.when('"a" is replaced by another incarnation')
def is_replaced(context):
    context.receiver = codec('b')
    earlier = codec('a', 'a1', 1)
    context.recorded = earlier.encode(messages.Heartbeat(1))
    later = codec('a', 'a2', 2)
    data = later.encode(messages.Heartbeat(2))
    assert context.receiver.decode(data, 0.0).is_ok()


@behave.then('a message of the earlier incarnation is dropped by "b"')
def earlier_dropped(context):
    rejection = context.receiver.decode(context.recorded, 1.0).err_value
    assert rejection is peer_codec.Rejection.REPLAYED
