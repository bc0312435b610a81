"""Steps for the health of upstreams."""

import behave

from eelgrassknot.policy import health

TOKENS = 10
OBSERVATIONS = 60


@behave.given('4 upstreams')
def given_upstreams(context):
    context.now_ms = 0.0
    context.names = list('abcd')
    context.tracker = health.HealthTracker()
    for name in context.names:
        context.tracker.get_or_create(name, 0.0, False)


@behave.when('"{name}" fails{rest}')
def upstream_fails(context, name, rest):
    for word in ('fails' + rest).split(', '):
        if word == 'fails':
            context.tracker.record_failure(name, context.now_ms)
        else:
            context.tracker.record_success(name)


@behave.when('"{name}" fails')
def upstream_fails_once(context, name):
    context.tracker.record_failure(name, context.now_ms)


@behave.when('all four fail three times')
def all_fail(context):
    for name in context.names * 3:
        context.tracker.record_failure(name, context.now_ms)


@behave.when('{span_ms:d} ms of ejection pass')
def ejection_passes(context, span_ms):
    context.now_ms += span_ms


@behave.when('"a" takes {slow:d} ms a token and the others {usual:d} ms')
def takes(context, slow, usual):
    for name in context.names:
        interval_ms = slow if name == 'a' else usual
        known = context.tracker.upstreams[name]
        for _ in range(OBSERVATIONS):
            known.record_tokens(TOKENS, TOKENS * interval_ms)
    context.tracker.eject_slow(context.names, context.now_ms)


@behave.then('"{names}" are in use')
def are_in_use(context, names):
    found = context.tracker.usable(context.names, context.now_ms)
    assert sorted(found) == names.split(), found


@behave.then('{count:d} are in use')
def count_in_use(context, count):
    found = context.tracker.usable(context.names, context.now_ms)
    assert len(found) == count, found


@behave.then('"{name}" may run {count:d} requests at first')
def may_run(context, name, count):
    assert context.tracker.allowance(name, context.now_ms) == count
