"""Steps for the request limits of upstreams."""

import random

import behave

from eelgrassknot.kernel import events as kernel_events
from eelgrassknot.policy import engine_pairs
from eelgrassknot.policy import engine_queue
from eelgrassknot.policy import health
from eelgrassknot.policy import messages
from eelgrassknot.policy import plain
from eelgrassknot.policy import send_permits
from eelgrassknot.policy import upstream_limits
from eelgrassknot import states

UPSTREAM = 'u1'
STARTED_AT_MS = 5


def _update(context, per_s, read_ms):
    reading = upstream_limits.LimitReading(
        UPSTREAM, STARTED_AT_MS, per_s, read_ms
    )
    context.change = context.limits.update(reading)


@behave.given('an upstream that stated a limit of {per_s:f} at {now:d} ms')
def given_limit(context, per_s, now):
    context.limits = upstream_limits.LimitTable()
    _update(context, per_s, float(now))


@behave.when('it states a limit of {per_s:f} at {now:d} ms')
def states_limit(context, per_s, now):
    _update(context, per_s, float(now))


@behave.when('it states no limit at {now:d} ms')
def states_no_limit(context, now):
    _update(context, None, float(now))


@behave.when('it is listed with another start at {now:d} ms')
def restarted(context, now):
    context.limits.update_listed({UPSTREAM: STARTED_AT_MS + 1}, float(now))


@behave.when('it is listed at {now:d} ms')
def listed(context, now):
    context.limits.update_listed({UPSTREAM: STARTED_AT_MS}, float(now))


@behave.when('it is not listed at {now:d} ms')
def unlisted(context, now):
    context.limits.update_listed({}, float(now))


@behave.then('its limit is {per_s:f}')
def limit_is(context, per_s):
    assert context.limits.per_s(UPSTREAM) == per_s


@behave.then('its limit is {per_s:f} and the change is {change:w}')
def limit_and_change(context, per_s, change):
    limit_is(context, per_s)
    assert context.change.value == change, context.change


@behave.then('it has no limit')
def no_limit(context):
    assert context.limits.per_s(UPSTREAM) is None


@behave.then('it has no limit and the change is {change:w}')
def no_limit_and_change(context, change):
    no_limit(context)
    assert context.change.value == change, context.change


class _Permits(send_permits.PermitView):
    """Permits with fixed waits; None for an upstream without a limit."""

    def __init__(self, waits_ms, per_s):
        self.waits_ms = waits_ms
        self.per_s = per_s

    def is_limited(self, upstream):
        return self.waits_ms[upstream] is not None

    def wait_ms(self, upstream):
        return self.waits_ms[upstream] or 0.0

    def total_per_s(self, upstreams):
        limited = all(self.is_limited(upstream) for upstream in upstreams)
        return self.per_s if limited else None


def _permits(names, waits, per_s=1.0):
    waits_ms = [None if w == 'none' else float(w) for w in waits.split()]
    return _Permits(dict(zip(names.split(), waits_ms, strict=True)), per_s)


@behave.given('the upstreams "{names}" with the permit waits "{waits}"')
def given_pool(context, names, waits):
    context.pool = plain.PlainPool(
        'r',
        random.Random(1),
        health.HealthTracker(),
        _permits(names, waits),
    )
    context.pool.upstreams = {
        name: kernel_events.UpstreamInfo(
            name,
            's',
            states.ServiceKind.PLAIN,
            'addr',
            'z',
            'r',
            states.UpstreamState.LIVE,
        )
        for name in names.split()
    }


def _place(context, request, wait_ms):
    profile = messages.RequestProfile(
        request,
        's',
        states.ServiceKind.PLAIN,
        'acme',
        states.Priority.INTERACTIVE,
        0,
        (),
        None,
        None,
    )
    return context.pool.place(profile, None, 0.0, wait_ms)


@behave.then('{count:d} calls that can wait {wait:d} ms go to "{name}"')
def calls_go_to(context, count, wait, name):
    for number in range(count):
        action = _place(context, f'q{number}', wait)
        assert action.upstream.upstream == name, action


@behave.then(
    'a call that can wait {wait:d} ms is refused and may return after '
    '{retry:d} ms'
)
def call_refused(context, wait, retry):
    action = _place(context, 'q', wait)
    assert action.reason is states.RefusalReason.UPSTREAM_LIMIT, action
    assert action.retry_after_ms == retry, action


@behave.given(
    'the engines "{names}" with the permit waits "{waits}" and {per_s:g} '
    'permits a second'
)
def given_queue(context, names, waits, per_s):
    context.queue = engine_queue.EngineQueue(
        health.HealthTracker(), _permits(names, waits, per_s)
    )
    context.queue.engines = {
        's': [
            engine_pairs.Engine(name, 'r', 'z', 30_000, 8)
            for name in names.split()
        ]
    }


def _queue(context, request, deadline_ms, arrived_ms=0.0):
    need = engine_pairs.RunRequirements('r', 100, 100, False)
    context.queue.submit(
        engine_queue.PlacementRequest(
            request, 's', 1, need, frozenset(), deadline_ms, arrived_ms
        )
    )


@behave.when('{count:d} streams with a deadline of {deadline:d} ms are queued')
def streams_queued(context, count, deadline):
    for number in range(count):
        _queue(context, f'q{number}', deadline)
    context.results = context.queue.step(0.0)


@behave.then('{count:d} of them wait and the next may return after {ms:d} ms')
def some_wait(context, count, ms):
    assert len(context.queue.waiting) == count
    first = context.results[0]
    assert first.reason is states.RefusalReason.UPSTREAM_LIMIT, first
    assert first.retry_after_ms == ms, first


@behave.when(
    'the streams "{later}" of {late:d} ms and "{first}" of {early:d} ms are '
    'queued'
)
def two_queued(context, later, late, first, early):
    _queue(context, later, 6_000.0, late)
    _queue(context, first, 6_000.0, early)
    context.results = context.queue.step(0.0)


@behave.then('"{first}" is placed before "{later}"')
def placed_before(context, first, later):
    assert [r.request for r in context.results] == [first, later]


@behave.when('the upstream "{name}" fails {count:d} times by responses')
def fails_by_responses(context, name, count):
    for _ in range(count):
        context.pool.health_tracker.record_failure(name, 0.0, by_response=True)


@behave.when('the upstream "{name}" fails {count:d} times without a response')
def fails_without_response(context, name, count):
    for _ in range(count):
        context.pool.health_tracker.record_failure(name, 0.0)


@behave.when('it is listed with an earlier start at {now:d} ms')
def restarted_earlier(context, now):
    context.limits.update_listed({UPSTREAM: STARTED_AT_MS - 1}, float(now))


@behave.when('its new process states a limit of {per_s:f} at {now:d} ms')
def new_process_states(context, per_s, now):
    context.change = context.limits.update(
        upstream_limits.LimitReading(
            UPSTREAM, STARTED_AT_MS - 1, per_s, float(now)
        )
    )
