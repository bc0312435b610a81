"""Steps for the state machine of a generation request."""

import behave

from eelgrassknot import ids
from eelgrassknot.requests import generation as generations
from eelgrassknot.requests import generation_messages as messages
from eelgrassknot.requests import timeline
from eelgrassknot import states
from eelgrassknot.upstreams import messages as upstream_messages
from tests import generation_simulation
from tests import histories

_REQUEST = ids.RequestId('r1')
_RUNNING = states.GenerationState.RUNNING


class _RetriesLate(generations.Generation):
    def is_committed(self):
        return False


class _Mixes(generations.Generation):
    def _is_foreign(self, token):
        return False


class _SkipsIndexes(generations.Generation):
    def receive_token(self, connection, token, now_ms):
        self.progress.next_index = token.index
        return super().receive_token(connection, token, now_ms)


class _ClaimsNotRun(generations.Generation):
    def _no_answer(self, reason, retry_after_ms=None):
        return messages.EndRequest(states.Outcome.NOT_RUN, reason)


_BROKEN = {
    'retries after its first delivered token': _RetriesLate,
    'accepts tokens of other generations': _Mixes,
    'accepts tokens with any index': _SkipsIndexes,
    'reports not_run whatever was sent': _ClaimsNotRun,
}


def _run_histories(kind, examples):
    histories.run_histories(
        generation_simulation.GenerationHistories,
        kind,
        examples,
        step_count=60,
    )


@behave.then(
    '{count:d} random histories of a generation satisfy all invariants'
)
def histories_hold(context, count):
    _run_histories(generations.Generation, count)


@behave.then(
    'random histories of a generation that {fault} violate an invariant'
)
def histories_catch(context, fault):
    try:
        _run_histories(_BROKEN[fault], 1_000)
    except AssertionError:
        return
    raise LookupError(
        f'no invariant was violated by a generation that {fault}'
    )


def _token(index, last=False):
    return upstream_messages.Token(
        'g1',
        _REQUEST,
        index,
        f'g1:{index} ',
        states.FinishReason.STOP if last else None,
    )


def _start(context, streamed, count):
    context.now_ms = 0.0
    machine = generations.Generation(_REQUEST, streamed, 90_000.0, 0.0)
    context.machine = machine
    context.seen = []
    _tell(
        context,
        messages.Placed(
            generation_simulation.upstream('e1'), ids.GenerationId('g1'), False
        ),
    )
    if count:
        _tell(context, messages.StreamAccepted(1))
    for index in range(count):
        context.now_ms += 30.0
        _tell(context, messages.TokenReceived(1, _token(index)))


def _tell(context, event):
    context.actions = context.machine.handle(event, context.now_ms)
    context.seen += context.actions


def _tick(context):
    context.now_ms = max(context.now_ms, context.machine.wake_ms())
    _tell(context, messages.Tick())


def _silence(context, state, produced):
    _tick(context)
    probe = context.machine.probe
    context.silent_ms = context.now_ms
    _tell(context, messages.StatusReceived(probe, state, produced))


@behave.given('a streamed generation that has delivered {count:d} tokens')
def given_streamed(context, count):
    _start(context, True, count)


@behave.given(
    'a generation that is not streamed and has received {count:d} tokens'
)
def given_whole(context, count):
    _start(context, False, count)


@behave.given('a reader that resumes after the last of {count:d} tokens')
def given_resumed(context, count):
    context.now_ms = 0.0
    context.seen = []
    context.machine = generations.Generation(_REQUEST, True, None, 0.0)
    context.machine.resume(
        generation_simulation.upstream('e1'),
        ids.GenerationId('g1'),
        count,
        0.0,
    )


@behave.when('the engine ends the stream and reports done at {produced:d}')
def ends_stream(context, produced):
    connection = context.machine.connection
    _tell(context, messages.StreamAccepted(connection))
    _tell(context, messages.StreamFinished(connection))
    probe = context.machine.probe
    done = states.GenerationState.DONE
    _tell(context, messages.StatusReceived(probe, done, produced))


@behave.when('its connection is silent and the engine has produced {count:d}')
def silent_ahead(context, count):
    _silence(context, _RUNNING, count)


@behave.when(
    'its connection is silent and the engine reports preempted at {count:d}'
)
def silent_preempted(context, count):
    _silence(context, states.GenerationState.PREEMPTED, count)


@behave.when(
    'its connection is silent and each probe reports running at {count:d}'
)
def silent_stalled(context, count):
    while context.machine.outcome is None:
        _silence(context, _RUNNING, count)


@behave.when('its connections close until another upstream is requested')
def connections_close(context):
    for _ in range(10):
        connection = context.machine.connection
        if connection is not None:
            _tell(context, messages.StreamClosed(connection, True))
        elif context.machine.stage is generations.Stage.QUEUED:
            return
        else:
            _tick(context)


@behave.when('its engine no longer knows the generation')
def engine_forgets(context):
    _tick(context)
    _tell(context, messages.StatusMissing(context.machine.probe))


@behave.when('its caller disconnects')
def caller_leaves(context):
    _tell(context, messages.CallerGone())


@behave.when('a newer reader takes it over')
def reader_superseded(context):
    _tell(context, messages.ReaderSuperseded())


@behave.when('its deadline passes')
def ends_by_deadline(context):
    context.now_ms = 90_000.0
    _tell(context, messages.Tick())


@behave.then('it resumes from index {index:d} on another connection')
def resumes(context, index):
    closed, resumed = context.actions
    assert closed == messages.CloseStream(1), closed
    assert isinstance(resumed, messages.ResumeStream), resumed
    assert resumed.index == index
    assert resumed.connection != 1


@behave.then('the wait is charged to the link')
def charged_to_link(context):
    assert context.machine.progress.wait_part is timeline.TimePart.LINK


@behave.then('it keeps its connection')
def keeps_connection(context):
    assert context.actions == []
    assert context.machine.connection == 1


@behave.then(
    'after the next token {later_ms:d} ms later {part} is {spent_ms:d}'
)
def next_token(context, later_ms, part, spent_ms):
    context.now_ms += later_ms
    _tell(context, messages.TokenReceived(1, _token(3)))
    fields = context.machine.progress.timeline.fields()
    assert fields[part] == spent_ms, fields


@behave.then('it ends as {outcome} because of {reason}')
def ended_as(context, outcome, reason):
    end = context.machine.outcome
    assert end.outcome.value == outcome, end
    assert end.reason == reason, end


@behave.then('fewer than {count:d} probes were sent')
def few_probes(context, count):
    assert context.machine.probes_sent < count


@behave.then('the old generation is cancelled and the request has not ended')
def cancelled_open(context):
    cancel, place = context.actions
    assert isinstance(cancel, messages.CancelGeneration), cancel
    assert place == messages.Place(ids.UpstreamId('e1')), place
    assert context.machine.outcome is None


@behave.then(
    'the buffered tokens are discarded and another upstream is requested'
)
def discarded(context):
    kinds = [type(action) for action in context.actions]
    assert kinds == [
        messages.CloseStream,
        messages.CancelGeneration,
        messages.DiscardTokens,
        messages.Place,
    ], kinds
    assert context.machine.progress.discarded == 3


@behave.then(
    'the generation is cancelled after a grace period of {grace_ms:d} ms'
)
def cancelled_after(context, grace_ms):
    cancels = [
        a for a in context.seen if isinstance(a, messages.CancelGeneration)
    ]
    assert [c.grace_ms for c in cancels] == [grace_ms], cancels


@behave.then('the generation is not cancelled')
def not_cancelled(context):
    kinds = [type(action) for action in context.actions]
    assert kinds == [messages.CloseStream, messages.EndRequest], kinds


@behave.then('the parts of its time sum to the total')
def adds_up(context):
    line = context.machine.progress.timeline
    assert line.total_ms() == 90_000.0
    assert abs(sum(line.parts.values()) - 90_000.0) < 1e-6, line.parts
