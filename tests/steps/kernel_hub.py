"""Steps for event delivery and binding of parts."""

import types

import behave

from eelgrassknot.kernel import hub as hubs
from eelgrassknot.kernel import parts


class _Event:
    """An event without data."""


class _Early(parts.Part):
    def __init__(self, node):
        self.node = node

    def start(self):
        self.node.hub.publish(_Event())


class _Late(parts.Part):
    def __init__(self, node):
        self.bound = False
        self.bound_at_event = None
        node.hub.subscribe(_Event, self._take)

    def bind(self):
        self.bound = True

    def _take(self, event):
        self.bound_at_event = self.bound


def _fail(event):
    raise RuntimeError('this handler fails')


@behave.given('three handlers of which the second raises an exception')
def given_handlers(context):
    context.hub = hubs.Hub()
    context.had = []
    context.hub.subscribe(_Event, lambda _: context.had.append('first'))
    context.hub.subscribe(_Event, _fail)
    context.hub.subscribe(_Event, lambda _: context.had.append('third'))


@behave.when('an event is published')
def publish(context):
    context.hub.publish(_Event())


@behave.then('the first and the third handler receive it')
def have_it(context):
    assert context.had == ['first', 'third'], context.had


@behave.given(
    'a set of two parts of which one publishes an event as it starts'
)
def given_parts(context):
    node = types.SimpleNamespace(hub=hubs.Hub())
    context.set = parts.PartSet(
        node,
        {
            'early': parts.PartEntry('early', _Early, ()),
            'late': parts.PartEntry('late', _Late, ('early',)),
        },
    )


@behave.when('the set of parts starts')
def start(context):
    context.set.start()


@behave.then('the other part was bound when the event was published')
def was_bound(context):
    assert context.set.parts['late'].bound_at_event is True
