"""Steps for the engine orders of a region."""

import random

import behave

from eelgrassknot.coordination import order_messages as messages
from eelgrassknot import ids
from tests.coordination import fleet as fleets

MINUTE_MS = 60_000.0


def _version(word):
    return None if word == 'none' else word


@behave.given('{count:d} engines that hold version "{version}"')
@behave.given('{count:d} engine that holds version "{version}"')
def given_engines(context, count, version):
    context.fleet = fleets.Fleet(count, _version(version))


@behave.given('version "{version}" makes each request fail')
def given_bad(context, version):
    context.fleet.bad_version = version


@behave.when('version "{version}" is in force')
def adopt(context, version, **extra):
    context.services_text = fleets.services_text_of(version, **extra)
    context.fleet.adopt(context.services_text)


@behave.when('the lease holder orders version "{version}"')
def adopt_and_gain(context, version, **extra):
    adopt(context, version, **extra)
    context.fleet.gain(1)


@behave.when('the lease holder orders "{version}" at {loads:d} loads a minute')
def adopt_paced(context, version, loads):
    adopt_and_gain(context, version, loads_per_minute=float(loads))


@behave.when(
    'the lease holder orders "{version}" with a dependency on service'
    ' "{service}"'
)
def adopt_dependent(context, version, service):
    adopt_and_gain(context, version, depends_on=[ids.ServiceName(service)])


@behave.when('{seconds:d} seconds pass at the engines')
def pass_time(context, seconds):
    context.fleet.run(seconds)


@behave.when('another VM gains the lease')
def another_holder(context):
    context.fleet.replace_planner(context.services_text, 2)


@behave.when('engine "{name}" restarts')
def restart(context, name):
    context.fleet.version[name] = None
    context.fleet.loading.pop(name, None)


@behave.when('an engine refuses the fencing number')
def refuse(context):
    context.fleet.tell(messages.OrderAnswered(ids.UpstreamId('e0'), True))


@behave.then('no order was sent to the engines')
def none_sent(context):
    assert context.fleet.sent == []


@behave.then('all engines hold version "{version}"')
def all_hold(context, version):
    assert set(context.fleet.version.values()) == {version}, (
        context.fleet.version
    )


@behave.then('{count:d} engine was sent an order')
def sent_to(context, count):
    engines = {upstream for _, upstream, _ in context.fleet.sent}
    assert len(engines) == count, engines


@behave.then('at most {count:d} engines were updated at a time')
def at_most(context, count):
    assert 1 <= context.fleet.most_changing <= count, (
        context.fleet.most_changing
    )


@behave.then('no minute has more than {count:d} weight loads')
def paced(context, count):
    times = [at_ms for at_ms, _, r in context.fleet.sent]
    for start_ms in times:
        within = [t for t in times if 0 <= t - start_ms < MINUTE_MS]
        assert len(within) <= count, within


@behave.then('the rollout\'s record has state "{state}"')
def record_says(context, state):
    record = context.fleet.records[fleets.SERVICE]
    assert record.state.value == state, record


@behave.then(
    '{count:d} random histories of restarts, takeovers and texts keep enough'
    ' engines serving and reach the target'
)
def random_histories(context, count):
    for seed in range(count):
        _random_history(random.Random(seed))


def _random_history(generator):
    size = generator.randint(1, 12)
    fleet = fleets.Fleet(size, '1')
    text = fleets.services_text_of('2')
    fleet.adopt(text)
    fleet.gain(1)
    spare = max(1, size // 4)
    for number in range(2, 12):
        fleet.run(generator.randint(1, 40))
        match generator.choice(['restart', 'takeover', 'text']):
            case 'restart':
                name = generator.choice(sorted(fleet.version))
                fleet.version[name] = None
                fleet.loading.pop(name, None)
            case 'takeover':
                fleet.replace_planner(text, number)
            case 'text':
                version = generator.choice(['1', '2', '3'])
                text = fleets.services_text_of(version)
                fleet.adopt(text)
    fleet.run(600)
    assert fleet.most_changing <= spare, (fleet.most_changing, spare)
    target = text.services[0].model.version
    assert set(fleet.version.values()) == {target}, fleet.version
