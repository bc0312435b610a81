"""Steps for the event loop."""

import functools

import behave

from eelgrassknot import clock as clocks
from eelgrassknot.forwarding import loop as loops

FAR_MS = 60_000.0
STEP_MS = 0.1
SPANS_MS = {'a minute': FAR_MS, 'the next moment': 0.0}


@behave.given('an event loop with {count:d} timers that are due in {span}')
def given_loop(context, count, span):
    context.loop = loops.EventLoop(clocks.MonotonicClock())
    context.calls = []
    context.first_ms = context.loop.now_ms() + SPANS_MS[span]
    context.timers = [
        context.loop.call_at(
            context.first_ms + number * STEP_MS,
            functools.partial(context.calls.append, number),
        )
        # Started in another order than they are due.
        for number in reversed(range(count))
    ]


@behave.when('{count:d} further timers are started and cancelled')
def cancel_timers(context, count):
    for _ in range(count):
        context.loop.call_later(FAR_MS, context.calls.clear).cancel()


@behave.when('the loop runs until the last of them is due')
def run_loop(context):
    last_ms = context.first_ms + len(context.timers) * STEP_MS
    context.loop.call_at(last_ms, context.loop.stop)
    context.loop.run()


@behave.then('the loop keeps at most {count:d} timers')
def timers_bounded(context, count):
    assert len(context.loop.timers) <= count, len(context.loop.timers)


@behave.then('the {count:d} timers are among them')
def timers_kept(context, count):
    kept = {id(timer) for _, _, timer in context.loop.timers}
    assert sum(id(timer) in kept for timer in context.timers) == count


@behave.then('the {count:d} timers were called in order')
def called_in_order(context, count):
    assert context.calls == list(range(count)), context.calls
