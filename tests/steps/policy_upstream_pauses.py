"""Steps for the pauses that upstreams ask for."""

import random

import behave

from eelgrassknot.policy import upstream_pauses

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
