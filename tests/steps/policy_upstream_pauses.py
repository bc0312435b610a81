"""Steps for the pauses that upstreams ask for."""

import math
import random

import behave

from eelgrassknot import ids
from eelgrassknot.kernel import events
from eelgrassknot.policy import engine_pairs
from eelgrassknot.policy import engine_queue
from eelgrassknot.policy import health
from eelgrassknot.policy import messages
from eelgrassknot.policy import plain
from eelgrassknot.policy import upstream_pauses
from eelgrassknot import states

UPSTREAM = 'u'


@behave.given('the upstream u asks for a pause of {pause:d} ms at {now:d} ms')
def asks(context, pause, now):
    if 'pauses' not in context:
        context.pauses = upstream_pauses.PauseTable(random.Random(1))
    context.pauses.record(UPSTREAM, 1, float(pause), float(now))


@behave.then('it takes no request at {now:d} ms')
def takes_none(context, now):
    assert context.pauses.wait_ms(UPSTREAM, now) > 0


@behave.then('it takes a request at {now:d} ms')
def takes_one(context, now):
    assert context.pauses.wait_ms(UPSTREAM, now) == 0


@behave.when('a request is sent to it at {now:d} ms')
def is_sent(context, now):
    context.pauses.request_sent(UPSTREAM, float(now))


@behave.when('it answers without a pause at {now:d} ms')
def answers(context, now):
    context.pauses.answered(UPSTREAM, float(now))


@behave.when('it is listed with the same start')
def same_start(context):
    context.pauses.update_listed({UPSTREAM: 1})


@behave.when('it is listed with another start')
def other_start(context):
    context.pauses.update_listed({UPSTREAM: 2})


@behave.given(
    '{vms:d} VMs that the upstream u asks for a pause of {pause:d} ms'
)
def many_vms(context, vms, pause):
    tables = [
        upstream_pauses.PauseTable(random.Random(seed)) for seed in range(vms)
    ]
    context.ends_ms = sorted(
        table.record(UPSTREAM, 1, float(pause), 0.0).until_ms
        for table in tables
    )


@behave.then('none of them returns within {span:d} ms')
def none_returns(context, span):
    assert context.ends_ms[0] >= span


@behave.then('at most {count:d} of them return within any {span:d} ms')
def few_return(context, count, span):
    for start_ms in context.ends_ms:
        within = [e for e in context.ends_ms if 0 <= e - start_ms < span]
        assert len(within) <= count, (start_ms, len(within))


@behave.then('all of them return within {span:d} ms')
def all_return(context, span):
    assert context.ends_ms[-1] <= span


SERVICE = ids.ServiceName('s')


@behave.given(
    'a service whose two upstreams ask for pauses of {first} and {second} ms'
)
def all_pause(context, first, second):
    context.pauses = upstream_pauses.PauseTable(random.Random(1))
    for name, stated in (('a', first), ('b', second)):
        pause_ms = math.inf if stated == 'endless' else float(stated)
        context.pauses.record(ids.UpstreamId(name), 1, pause_ms, 0.0)


@behave.then('a call is refused as paused, to return within {bound:d} ms')
def call_refused(context, bound):
    tracker = health.HealthTracker()
    pool = plain.PlainPool(
        'r', random.Random(1), tracker, pauses=context.pauses
    )
    pool.upstreams = {
        name: events.UpstreamInfo(
            upstream=name,
            service=SERVICE,
            kind=states.ServiceKind.PLAIN,
            address='10.0.0.1:80',
            availability_zone='z',
            region='r',
            state=states.UpstreamState.LIVE,
        )
        for name in 'ab'
    }
    profile = messages.RequestProfile(
        request='q',
        service=SERVICE,
        kind=states.ServiceKind.PLAIN,
        client_account='',
        priority=states.Priority.INTERACTIVE,
        prompt_tokens=0,
        prefixes=(),
        max_tokens=None,
        deadline_ms=4_000.0,
    )
    refusal = pool.place(profile, None, 0.0)
    assert refusal.reason is states.RefusalReason.UPSTREAM_PAUSE, refusal
    assert 0 < refusal.retry_after_ms <= bound, refusal


@behave.then('a stream that may wait {limit:d} ms {outcome}')
def stream_refused(context, limit, outcome):
    queue = engine_queue.EngineQueue(
        health.HealthTracker(), pauses=context.pauses
    )
    queue.engines[SERVICE] = [
        engine_pairs.Engine(name, 'r', 'z', 30_000, 8) for name in 'ab'
    ]
    need = engine_pairs.RunRequirements('r', 1_000, 100, False)
    queue.submit(
        engine_queue.PlacementRequest(
            'q', SERVICE, 0, need, frozenset(), float(limit)
        )
    )
    found = queue.step(0.0)
    if outcome == 'waits':
        assert not found, found
        return
    (refusal,) = found
    assert refusal.reason is states.RefusalReason.UPSTREAM_PAUSE, refusal
    assert refusal.retry_after_ms <= upstream_pauses.MAX_RETURN_MS, refusal
