"""Steps for the dispatcher."""

import collections
import random

import behave
import msgspec

from eelgrassknot.kernel import events as kernel_events
from eelgrassknot.policy import dispatcher
from eelgrassknot.policy import messages
from eelgrassknot.settings import text as services_text
from eelgrassknot import states


def upstream(name, kind=states.ServiceKind.ENGINE, live=True):
    state = states.UpstreamState.LIVE if live else states.UpstreamState.LEAVING
    service = 'desk' if kind is states.ServiceKind.PLAIN else 'writer'
    return kernel_events.UpstreamInfo(
        name, service, kind, '127.0.0.1:1', 'yard', 'island', state
    )


def profile(name, prompt_tokens=500, **changes):
    fields = {
        'request': name,
        'service': 'writer',
        'kind': states.ServiceKind.ENGINE,
        'client_account': 'hotel',
        'priority': states.Priority.INTERACTIVE,
        'prompt_tokens': prompt_tokens,
        'prefixes': (),
        'max_tokens': None,
        'deadline_ms': None,
    }
    return messages.RequestProfile(**{**fields, **changes})


def text(withheld=()):
    service = services_text.Service('writer', states.ServiceKind.ENGINE)
    account = services_text.ClientAccount('hotel', '')
    return services_text.ServicesText(
        'nadroga', (), (service,), (account,), withheld_upstreams=withheld
    )


def load(name, total, used=0, running=0, at_ms=0.0, preemptions=0):
    live = states.UpstreamState.LIVE
    return messages.EngineLoad(
        name, at_ms, used, total, running, 0, preemptions, live
    )


def handle(context, event):
    found = context.dispatcher.handle(event, context.now_ms)
    for action in found:
        context.actions[action.request].append(action)
    return found


def arrive(context, count, prompt_tokens, **changes):
    for _ in range(count):
        name = f'request-{len(context.requests)}'
        context.requests.append(name)
        made = profile(name, prompt_tokens, **changes)
        handle(context, messages.RequestArrived(made))


def dispatched(context):
    return {
        name: actions[-1]
        for name, actions in context.actions.items()
        if isinstance(actions[-1], messages.Dispatch)
    }


def refused(context):
    return {
        name: actions[-1].reason
        for name, actions in context.actions.items()
        if isinstance(actions[-1], messages.Refuse)
    }


@behave.given('a dispatcher for {count:d} engines of {tokens:d} tokens')
def given_dispatcher(context, count, tokens):
    context.now_ms = 0.0
    context.actions = collections.defaultdict(list)
    context.requests = []
    context.names = [f'engine-{index}' for index in range(count)]
    context.total = tokens
    context.dispatcher = dispatcher.Dispatcher(
        'yard', 'island', random.Random(7)
    )
    handle(context, messages.ConfigChanged(text()))
    known = tuple(upstream(name) for name in context.names)
    handle(context, messages.UpstreamsChanged(known))
    for name in context.names:
        handle(context, messages.LoadReported(load(name, tokens)))


@behave.when('{count:d} requests of {tokens:d} prompt tokens arrive')
def requests_arrive(context, count, tokens):
    arrive(context, count, tokens)


@behave.when('a request of {tokens:d} prompt tokens arrives')
def request_arrives(context, tokens):
    arrive(context, 1, tokens)


@behave.then('it is dispatched')
def is_dispatched(context):
    assert context.requests[-1] in dispatched(context)


@behave.then('some but not all are dispatched')
def some_dispatched(context):
    context.before = set(dispatched(context))
    assert 0 < len(context.before) < len(context.requests)


@behave.then('no engine gets more prompt tokens than its capacity')
def no_overfull(context):
    given = collections.Counter()
    for action in dispatched(context).values():
        given[action.upstream.upstream] += 900
    assert max(given.values()) <= context.total, given


@behave.when('all that were dispatched end')
def all_end(context):
    for name in context.before:
        handle(context, messages.RequestEnded(name, True))


@behave.then('more are dispatched')
def more_dispatched(context):
    assert set(dispatched(context)) > context.before


@behave.given(
    '{count:d} requests are queued and one is dispatched each second'
)
def given_waiting(context, count):
    arrive(context, 100, 900, deadline_ms=1e9)
    running = collections.deque(dispatched(context))
    for _ in range(10):
        context.now_ms += 1_000.0
        handle(context, messages.Tick())
        event = messages.RequestEnded(running.popleft(), False)
        running.extend(action.request for action in handle(context, event))
    assert context.dispatcher.pools['writer'].queue.size >= count


@behave.when('a request with a deadline in {span_ms:d} ms arrives')
def arrives_with_deadline(context, span_ms):
    arrive(context, 1, 900, deadline_ms=context.now_ms + span_ms)


@behave.then('it is refused at once because of its deadline')
def refused_for_deadline(context):
    found = refused(context)
    assert found.get(context.requests[-1]) is states.RefusalReason.DEADLINE


@behave.when('{span_ms:d} ms pass')
def time_passes(context, span_ms):
    context.now_ms += span_ms
    handle(context, messages.Tick())


@behave.then('all that were not dispatched are refused for their deadline')
def rest_refused(context):
    found = refused(context)
    rest = set(context.requests) - set(dispatched(context))
    assert set(found) == rest and rest
    assert set(found.values()) == {states.RefusalReason.DEADLINE}


@behave.when('its engine fails and it is retried')
def engine_fails(context):
    name = context.requests[-1]
    context.first = dispatched(context)[name].upstream.upstream
    handle(context, messages.UpstreamFailed(context.first))
    handle(context, messages.RetryRequested(name, context.first))


@behave.then('it is dispatched to another engine')
def dispatched_elsewhere(context):
    again = context.actions[context.requests[-1]][-1]
    assert again.upstream.upstream != context.first


@behave.when('a request is retried {count:d} times')
def retried(context, count):
    arrive(context, 1, 500)
    name = context.requests[-1]
    for _ in range(count):
        last = context.actions[name][-1]
        if isinstance(last, messages.Refuse):
            return
        failed = last.upstream.upstream
        handle(context, messages.RetryRequested(name, failed))


@behave.then('it is refused for the retry budget')
def refused_for_budget(context):
    reason = refused(context)[context.requests[-1]]
    assert reason is states.RefusalReason.RETRY_BUDGET
    assert not context.dispatcher.profiles


@behave.when('one engine is leaving and another is withheld')
def leaving_and_withheld(context):
    first, second, third = context.names
    known = (upstream(first, live=False), upstream(second), upstream(third))
    handle(context, messages.UpstreamsChanged(known))
    handle(context, messages.ConfigChanged(text(withheld=(second,))))


@behave.then('all go to the third engine')
def all_to_third(context):
    chosen = {a.upstream.upstream for a in dispatched(context).values()}
    assert chosen == {context.names[2]}
    assert len(dispatched(context)) == len(context.requests)


@behave.when('the queued requests are cancelled')
def cancelled(context):
    for name in set(context.requests) - set(dispatched(context)):
        handle(context, messages.RequestCancelled(name))


@behave.then('the queue is empty')
def queue_empty(context):
    status = context.dispatcher.status(context.now_ms)
    assert status.queued == {'writer': 0}
    assert set(context.dispatcher.profiles) == set(dispatched(context))


@behave.then('the announcement names its engine with 1 request of 500 tokens')
def announced(context):
    chosen = dispatched(context)[context.requests[-1]].upstream.upstream
    announcement = context.dispatcher.announcement(context.now_ms)
    found = [s for s in announcement.upstreams if s.upstream == chosen]
    assert found[0].running == 1 and found[0].expected_tokens == 500


@behave.when('a peer announces {tokens:d} tokens at each engine')
def peer_announces(context, tokens):
    for name in context.names:
        digest = messages.DigestReceived('peer', name, 5, tokens)
        handle(context, digest)


@behave.then('it is queued')
def is_queued(context):
    assert context.requests[-1] not in dispatched(context)
    assert context.requests[-1] not in refused(context)


@behave.given('{count:d} plain upstreams of which one refuses every call')
def given_plain(context, count):
    kind = states.ServiceKind.PLAIN
    known = tuple(upstream(f'desk-{n}', kind) for n in range(count))
    handle(context, messages.UpstreamsChanged(known))


@behave.when('{count:d} plain calls are made one after another')
def plain_calls(context, count):
    context.tried = collections.Counter()
    for index in range(count):
        name = f'call-{index}'
        made = profile(name, service='desk', kind=states.ServiceKind.PLAIN)
        action = handle(context, messages.RequestArrived(made))[0]
        context.tried[action.upstream.upstream] += 1
        while action.upstream.upstream == 'desk-0':
            handle(context, messages.UpstreamFailed('desk-0'))
            retry = messages.RetryRequested(name, 'desk-0')
            action = handle(context, retry)[0]
        handle(context, messages.RequestEnded(name, True))
        context.now_ms += 50.0


@behave.then('each is answered')
def each_answered(context):
    assert not refused(context) and not context.dispatcher.profiles
    assert not any(context.dispatcher.plain.running.values())


@behave.then('the refusing one is tried less than {count:d} times')
def rarely_tried(context, count):
    assert context.tried['desk-0'] < count, context.tried


@behave.when('each engine reports {used:d} tokens in use {count:d} times')
def engines_report(context, used, count):
    for number in range(count):
        for name in context.names:
            report = load(name, context.total, used, 30, float(number + 1))
            handle(context, messages.LoadReported(report))


@behave.given('another region has an engine of {tokens:d} tokens')
def remote_engine(context, tokens):
    remote = msgspec.structs.replace(upstream('far'), region='mainland')
    known = tuple(upstream(name) for name in context.names)
    handle(context, messages.UpstreamsChanged((*known, remote)))
    handle(context, messages.LoadReported(load('far', tokens)))
    context.now_ms += 60_000.0


@behave.when(
    '{span_ms:d} ms pass and the peer still announces {tokens:d} tokens'
    ' at each engine'
)
def time_passes_with_peer_load(context, span_ms, tokens):
    context.now_ms += span_ms
    peer_announces(context, tokens)
    handle(context, messages.Tick())


@behave.then('it is dispatched across regions')
def dispatched_across_regions(context):
    action = dispatched(context)[context.requests[-1]]
    assert action.crosses_region and action.upstream.upstream == 'far'
