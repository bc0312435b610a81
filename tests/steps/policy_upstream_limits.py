"""Steps for the request limits of upstreams."""

import behave

from eelgrassknot.policy import upstream_limits

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
