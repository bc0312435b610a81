"""Steps for cursors, cancellations and readers of generations."""

import behave
import result

from eelgrassknot import ids
from eelgrassknot.requests import cancellation
from eelgrassknot.requests import cursor
from eelgrassknot.requests import readers
from eelgrassknot.settings import vm as vm_settings
from tests import generation_simulation

_ACCOUNT = ids.ClientAccountId('coral-resort')
_GENERATION = ids.GenerationId('g1')
_CHANGES = 'AZ09-_.'


def _codec(names):
    keys = [vm_settings.Key(name, name * 16) for name in names.split()]
    return cursor.CursorCodec(keys)


def _long(names):
    return ' '.join(f'{name}-key' for name in names.split())


@behave.given('a stream cursor signed with the key "{name}"')
def given_cursor(context, name):
    context.origin = cursor.StreamOrigin(
        client_account=_ACCOUNT,
        service=ids.ServiceName('shop-assistant'),
        request=ids.RequestId('r1'),
        generation=_GENERATION,
        upstream=ids.UpstreamId('e1'),
        address='127.0.0.1:1',
        region=ids.RegionId('viti-levu'),
        vm=ids.VmId('nadi-1'),
        chat=False,
    )
    context.codec = _codec(_long(name))
    context.cursor = context.codec.sign(context.origin) + '.41'


@behave.then('it is accepted by VMs with the cursor keys {names}')
def accepted(context, names):
    for keys in names.strip('"').split('", "'):
        answer = _codec(_long(keys)).decode(context.cursor, _ACCOUNT)
        assert answer == result.Ok(
            cursor.Position(context.origin, ids.TokenIndex(41))
        ), answer


@behave.then('it is rejected by VMs with the cursor keys "{names}"')
def refused(context, names):
    answer = _codec(_long(names)).decode(context.cursor, _ACCOUNT)
    assert answer.is_err()


@behave.then('it is rejected for another client account')
def refused_account(context):
    other = ids.ClientAccountId('sand-resort')
    assert context.codec.decode(context.cursor, other).is_err()


@behave.then('no cursor with one character changed yields another origin')
def changed_refused(context):
    for place in range(len(context.cursor)):
        for change in _CHANGES:
            text = context.cursor
            text = text[:place] + change + text[place + 1 :]
            match context.codec.decode(text, _ACCOUNT):
                case result.Ok(position):
                    assert position.origin == context.origin, text


@behave.given(
    'a generation to be cancelled after a grace period of {grace_ms:d} ms'
)
def given_cancellation(context, grace_ms):
    context.cancellations = cancellation.Cancellations()
    context.cancellations.schedule(
        generation_simulation.upstream('e1'), _GENERATION, grace_ms, 0.0
    )


@behave.when('its reader returns after {after_ms:d} ms')
def reader_returns(context, after_ms):
    assert not context.cancellations.pop_due(after_ms)
    assert context.cancellations.withdraw(_GENERATION)


@behave.when('its engine is removed from the list of upstreams')
def engine_leaves(context):
    removed = context.cancellations.remove_missing_upstreams({'e2': None})
    assert removed == [_GENERATION]


@behave.then('the first cancellation request is due after {grace_ms:d} ms')
def first_asked(context, grace_ms):
    assert not context.cancellations.pop_due(grace_ms - 1)
    (due,) = context.cancellations.pop_due(grace_ms)
    assert due.generation == _GENERATION
    assert not context.cancellations.withdraw(_GENERATION)


@behave.then('the request is repeated until the engine confirms it')
def asked_again(context):
    times = [
        now_ms
        for now_ms in range(5_000, 65_000, 50)
        if context.cancellations.pop_due(now_ms)
    ]
    assert 5 < len(times) < 20, times
    context.cancellations.confirm(_GENERATION)
    assert not context.cancellations.pop_due(1e9)


@behave.then('no cancellation request is sent')
def never_asked(context):
    assert not context.cancellations.pop_due(1e9)


@behave.given('readers at VMs a, b and c')
def given_readers(context):
    context.readers = {name: readers.ReaderRegistry() for name in 'abc'}


@behave.when("the generation is read at a, then with a's cursor at b and at c")
def read_thrice(context):
    for vm in 'abc':
        context.readers[vm].register(_GENERATION)
        notified = 'a' if vm != 'a' else None
        while notified is not None:
            taken = context.readers[notified].record_takeover(
                _GENERATION, ids.VmId(vm)
            )
            notified = taken.forward_to


@behave.then('only the reader at c remains')
def only_c(context):
    remaining = [vm for vm in 'abc' if context.readers[vm].active]
    assert remaining == ['c'], remaining
