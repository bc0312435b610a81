"""Steps for calls to plain services."""

import random

import behave

from eelgrassknot import ids
from eelgrassknot.requests import backoff
from eelgrassknot.requests import plain_call
from eelgrassknot.requests import plain_messages as messages
from eelgrassknot import states
from tests import generation_simulation

_REQUEST = ids.RequestId('r1')


def _start(name):
    call = plain_call.PlainCall(
        _REQUEST, messages.CallClass(name), 5_000.0, random.Random(1)
    )
    upstream = generation_simulation.upstream('p1')
    (sent,) = call.handle(messages.Placed(upstream, False), 0.0)
    return call, sent


@behave.given('a plain call of class {name}')
def given_call(context, name):
    context.call, context.sent = _start(name)


def _tell(context, event, now_ms=10.0):
    context.actions = context.call.handle(event, now_ms)


@behave.when('its attempt fails and {what}')
def attempt_fails(context, what):
    left = what == 'bytes were sent'
    _tell(context, messages.AttemptFailed(1, left))


@behave.when("its attempt is answered with another request's answer")
def attempt_crossed(context):
    answer = messages.Answer(200, 'text/plain', b'x', ids.RequestId('r2'))
    _tell(context, messages.Answered(1, answer))


@behave.when('its attempt is answered with the status {status:d}')
def attempt_answered(context, status):
    _tell(
        context,
        messages.Answered(1, messages.Answer(status, 'text/plain', b'')),
    )


@behave.when('the dispatcher refuses it')
def refused(context):
    reason = states.RefusalReason.NO_UPSTREAM
    _tell(context, messages.Refused(reason, 1_000.0))


@behave.when('its delay is over and the dispatcher refuses it')
def delayed_refused(context):
    _tell(context, messages.Tick(), context.call.wake_ms())
    assert context.actions == [messages.Place(ids.UpstreamId('p1'))]
    refused(context)


@behave.then('the plain call is sent again after a delay')
def sent_again(context):
    assert context.actions == []
    _tell(context, messages.Tick(), context.call.wake_ms())
    assert context.actions == [messages.Place(ids.UpstreamId('p1'))]


@behave.then('the plain call requests another upstream')
def wants_another(context):
    assert context.actions == [messages.Place(ids.UpstreamId('p1'))]


@behave.then('the plain call ends as {outcome}')
def call_ends(context, outcome):
    (end,) = context.actions
    assert end.outcome.value == outcome, end


@behave.then('a plain call of class {name} needs a new connection')
def needs_new(context, name):
    _, sent = _start(name)
    assert sent.needs_new_connection


@behave.then(
    '{count:d} delays lie between {low:d} and {high:d} ms and differ by seed'
)
def delays_bounded(context, count, low, high):
    runs = []
    for seed in (1, 2):
        jitter = backoff.DecorrelatedJitter(random.Random(seed))
        runs.append([jitter.next_ms() for _ in range(count)])
    assert all(low <= delay <= high for run in runs for delay in run)
    assert runs[0] != runs[1]


@behave.then('an answer with the status {status:d} indicates {outcome}')
def stands_for(context, status, outcome):
    answer = messages.Answer(status, 'text/plain', b'')
    assert plain_call.outcome_of(answer).value == outcome
