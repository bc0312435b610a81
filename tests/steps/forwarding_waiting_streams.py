"""Steps for streams that wait for an engine."""

import unittest.mock

import behave

from eelgrassknot.policy import engine_pairs
from tests import entry_world

POLL_MS = 60.0
"""A little longer than the interval at which waiting streams are
reconsidered."""
SLOTS = 16
"""Slots of both engines together."""
_HEADERS = {'Token-Counts': '100,20', 'Prompt-Prefix': 'a1:79,b2:21'}


def _world():
    world = entry_world.EntryWorld()
    world.put_state(_allow_time)
    for name in ('w1', 'w2'):
        world.list_upstream(name, 'writer', 'a')
    world.run(0.0)
    for number in range(SLOTS):
        world.send('/write/x', f'runs-{number}', **_HEADERS)
    world.run(0.0)
    assert len(world.sent) == SLOTS, len(world.sent)
    return world


def _allow_time(document):
    for route in document['routes']:
        route['timeoutMs'] = 60_000


def _arrive(world, count):
    for number in range(count):
        world.send('/write/x', f'waits-{number}', **_HEADERS)
    world.run(0.0)


def _count_comparisons(action):
    """Return how often engines are compared for a stream in an action."""
    with unittest.mock.patch.object(
        engine_pairs, 'choose_engine', wraps=engine_pairs.choose_engine
    ) as choose:
        action()
    return choose.call_count


@behave.given('a VM whose engines have no free slot')
def full_engines(context):
    context.world = _world()


@behave.when('{count:d} streams arrive together')
def arrive(context, count):
    context.comparisons = _count_comparisons(
        lambda: _arrive(context.world, count)
    )


@behave.then('{count:d} streams wait')
def wait(context, count):
    waiting = context.world.daemon.scheduler.queue.waiting
    assert len(waiting) == count, len(waiting)


@behave.then('engines were compared for at most {count:d} streams')
def compared_at_most(context, count):
    assert context.comparisons <= count, context.comparisons


@behave.when('the engines are compared again')
def compare_again(context):
    context.comparisons = _count_comparisons(
        lambda: context.world.run(POLL_MS)
    )
    assert context.comparisons


@behave.then(
    'engines were compared for as many streams as with {count:d} that wait'
)
def compared_as_often(context, count):
    world = _world()
    _arrive(world, count)
    comparisons = _count_comparisons(lambda: world.run(POLL_MS))
    assert comparisons == context.comparisons, (
        comparisons,
        context.comparisons,
    )


@behave.when('the running streams end one after the other')
def streams_end(context):
    world, ended = context.world, 0
    while ended < len(world.sent):
        sent = world.sent[ended]
        request = sent.headers['request-id']
        sent.start_answer(request)
        sent.send_event(1)
        sent.end_answer()
        world.run(1.0)
        ended += 1


@behave.then('all streams have been sent, in the order of their arrival')
def sent_in_order(context):
    requests = [
        each.headers['request-id'] for each in context.world.sent[SLOTS:]
    ]
    assert requests == [f'waits-{n}' for n in range(40)], requests
