"""Steps for the state machine of forwarded streams."""

import behave

from eelgrassknot.requests import stream_messages as messages
from eelgrassknot import states
from tests import stream_simulation


def _start(context, resumable, holder):
    context.simulation = stream_simulation.StreamSimulation(resumable)
    context.simulation.handle(
        messages.Placed(stream_simulation.upstream('e1'))
    )
    copy = stream_simulation.upstream(holder) if holder else None
    context.simulation.handle(messages.CopyPlaced(1, copy))
    context.attempt = 1


@behave.given('a stream that runs on e1 with a copy on {holder}')
def given_copied(context, holder):
    _start(context, False, holder)


@behave.given('a stream that runs on e1 without a copy')
def given_alone(context):
    _start(context, False, None)


@behave.given('a resumable stream that runs on e1')
def given_resumable(context):
    _start(context, True, None)


@behave.given('a stream that has not been placed')
def given_waiting(context):
    context.simulation = stream_simulation.StreamSimulation(False)


@behave.given('the head of its answer has been received')
def head_came(context):
    context.simulation.handle(messages.HeadReceived(1, True))


@behave.when('its prompt is blocked for {span_ms:d} ms')
def is_blocked(context, span_ms):
    context.simulation.handle(messages.Blocked(float(span_ms)))


@behave.then('it is refused as not run with a Retry-After of {span_ms:d} ms')
def refused_not_run(context, span_ms):
    (end,) = context.simulation.latest
    assert end == messages.Fail(
        states.Outcome.NOT_RUN, 'crashes_engines', span_ms
    ), end


@behave.then('the second attempt is cancelled')
def second_cancelled(context):
    assert messages.Cancel(2) in context.simulation.latest


@behave.then('the second attempt is not cancelled')
def second_not_cancelled(context):
    assert messages.Cancel(2) not in context.simulation.actions


@behave.when('the new attempt has a copy on {holder}')
def new_attempt_copied(context, holder):
    attempt = context.simulation.last(messages.Send).attempt
    context.simulation.handle(
        messages.CopyPlaced(attempt, stream_simulation.upstream(holder))
    )


@behave.when("the head of the second attempt's answer is received")
def second_answered(context):
    context.simulation.handle(messages.HeadReceived(2, True))


@behave.when('event {index:d} of the second attempt is received')
def second_continues(context, index):
    context.simulation.handle(messages.EventReceived(2, index, b'%d' % index))


@behave.when('the second attempt is refused')
def second_refused(context):
    context.simulation.handle(messages.NotRun(2))


@behave.when("the new attempt's request has left")
def request_left(context):
    attempt = context.simulation.last(messages.Send).attempt
    context.simulation.handle(messages.RequestSent(attempt))


@behave.when('event {index:d} of the first attempt is received')
def first_continues(context, index):
    context.simulation.handle(messages.EventReceived(1, index, b'%d' % index))


@behave.given('events {first:d} to {last:d} have been received')
def events_came(context, first, last):
    context.simulation.handle(messages.HeadReceived(1, True))
    for index in range(first, last + 1):
        context.simulation.handle(
            messages.EventReceived(1, index, b'%d' % index)
        )


@behave.when("the engine's connection breaks")
def connection_breaks(context):
    attempt = context.simulation.last(messages.Send).attempt
    context.simulation.handle(messages.AttemptBroken(attempt, True))


@behave.when(
    "the engine's connection breaks after the first bytes of its response"
)
def response_breaks(context):
    context.simulation.handle(messages.AttemptBroken(1, True, True))


@behave.when('the engine confirms that it did not run it')
def says_not_run(context):
    context.simulation.handle(messages.NotRun(1))


@behave.when('it is placed on {name}')
def is_placed(context, name):
    context.simulation.handle(
        messages.Placed(stream_simulation.upstream(name))
    )


@behave.when("the head of the new attempt's answer is received")
def is_answered(context):
    attempt = context.simulation.last(messages.Send).attempt
    context.simulation.handle(messages.HeadReceived(attempt, True))


@behave.when("the new attempt's answer is complete")
def is_complete(context):
    attempt = context.simulation.last(messages.Send).attempt
    context.simulation.handle(messages.AnswerCompleted(attempt))


@behave.then('the stream is complete')
def stream_complete(context):
    assert context.simulation.latest == [messages.Finish()]


@behave.when('the new attempt reaches another process')
def is_misdirected(context):
    attempt = context.simulation.last(messages.Send).attempt
    context.simulation.handle(messages.NotRun(attempt, misdirected=True))


@behave.when('the new attempt is withheld')
def is_withheld(context):
    attempt = context.simulation.last(messages.Send).attempt
    context.simulation.handle(messages.NotRun(attempt, withheld=True))


@behave.when('the zone of {name:w} is evacuated')
def zone_of_engine_evacuated(context, name):
    zone = stream_simulation.upstream(name).availability_zone
    context.simulation.handle(messages.ZonesEvacuated(frozenset([zone])))


@behave.when('the new attempt is refused')
def is_refused(context):
    attempt = context.simulation.last(messages.Send).attempt
    context.simulation.handle(messages.NotRun(attempt))


@behave.when('event {index:d} is received')
def event_comes(context, index):
    attempt = context.simulation.last(messages.Send).attempt
    context.simulation.handle(
        messages.EventReceived(attempt, index, b'%d' % index)
    )


@behave.when('e1 announces that it is leaving and {span_ms:d} ms pass')
def is_leaving(context, span_ms):
    actions = context.simulation.handle(messages.UpstreamLeaving('e1'))
    actions = actions + context.simulation.wait(span_ms)
    context.simulation.latest = actions


@behave.when('e2 leaves')
def holder_leaves(context):
    context.simulation.handle(messages.UpstreamLeaving('e2'))


@behave.then('nothing is sent')
def nothing_sent(context):
    assert context.simulation.latest == [], context.simulation.latest


@behave.when('{span_ms:d} ms pass without an event')
def time_passes(context, span_ms):
    context.simulation.wait(span_ms)


@behave.when('a copy named {handle} is made on {name}')
def copy_made(context, handle, name):
    target = stream_simulation.upstream(name)
    context.simulation.handle(messages.CopyEnded(target, handle))


@behave.then(
    'the stream is sent to {name} to continue after event {index:d} from '
    'its copy'
)
def continues(context, name, index):
    _check_send(context, name, index, f'{name}:1/q')


@behave.then(
    "the stream is sent to {name} to continue after event {index:d} from e1's "
    'copy {handle}'
)
def continues_from_handle(context, name, index, handle):
    _check_send(context, name, index, f'e1:1/{handle}')


@behave.then('the stream is sent to {name} to run from the start of its copy')
def continues_from_start(context, name):
    _check_send(context, name, None, f'{name}:1/q')


@behave.then('the stream is sent to {name} to run again after event {index:d}')
def runs_again(context, name, index):
    _check_send(context, name, index, None)


def _check_send(context, name, index, continue_from):
    sends = [
        a for a in context.simulation.latest if isinstance(a, messages.Send)
    ]
    assert len(sends) == 1, context.simulation.latest
    assert sends[0].upstream.upstream == name, sends
    assert sends[0].last_event == index, sends
    assert sends[0].continue_from == continue_from, sends


@behave.then('event {index:d} is forwarded')
def is_forwarded(context, index):
    assert context.simulation.latest == [messages.Forward(b'%d' % index)]


@behave.then('nothing is forwarded')
def nothing_forwarded(context):
    assert context.simulation.latest == [], context.simulation.latest


@behave.then('the answer is aborted')
def is_aborted(context):
    assert isinstance(context.simulation.latest[-1], messages.AbortAnswer)


@behave.then('the outcome is reported as unknown')
def is_unknown(context):
    end = context.simulation.latest[-1]
    assert isinstance(end, messages.Fail), end
    assert end.outcome is states.Outcome.UNKNOWN, end


@behave.then('an engine other than {name} is requested')
def another_requested(context, name):
    assert context.simulation.latest == [messages.Place(frozenset([name]))]


@behave.then('an upstream for a copy is requested')
def copy_requested(context):
    assert isinstance(context.simulation.latest[-1], messages.PlaceCopy)


@behave.then('the first attempt is not cancelled yet')
def first_runs(context):
    assert messages.Cancel(1) not in context.simulation.actions


@behave.then('the first attempt is cancelled')
def first_cancelled(context):
    assert messages.Cancel(1) in context.simulation.latest


@behave.then('{count:d} random histories of streams satisfy these invariants')
def histories_hold(context, count):
    for seed in range(count):
        try:
            stream_simulation.play_history(seed)
        except AssertionError as error:
            raise AssertionError(f'seed {seed}: {error}') from error


@behave.when('the engine is not reached')
def is_not_reached(context):
    attempt = context.simulation.last(messages.Send).attempt
    context.simulation.handle(messages.AttemptBroken(attempt, False))


@behave.then('the stream is sent to {name} to run again from the start')
def runs_from_start(context, name):
    _check_send(context, name, None, None)


@behave.when('the request of its latest attempt cannot be encoded')
def latest_unsendable(context):
    attempt = context.simulation.last(messages.Send).attempt
    context.simulation.handle(messages.Unsendable(attempt, 60_000.0))


@behave.then('it is refused as not_sendable and as not run')
def refused_unsendable(context):
    (end,) = context.simulation.latest
    assert end == messages.Fail(
        states.Outcome.NOT_RUN, 'not_sendable', 60_000.0
    ), end
