"""Steps for the placement of runs and their copies."""

import random

import behave

from eelgrassknot import ids
from eelgrassknot.policy import commitments
from eelgrassknot.policy import engine_pairs
from eelgrassknot.policy import engine_queue
from eelgrassknot.policy import health

SERVICE = ids.ServiceName('s')


def _engine(name, region, tokens=30_000, zone='z'):
    return engine_pairs.Engine(name, region, zone, tokens, 48)


def _need(context, prompt, output=0, wants_copy=False):
    region = getattr(context, 'vm_region', 'r')
    return engine_pairs.RunRequirements(region, prompt, output, wants_copy)


def _set(context, names, tokens):
    context.engines = [_engine(name, 'r', tokens) for name in names]
    context.sums = {}


@behave.given('engines a and b in region r with {tokens:d} tokens each')
def two_engines(context, tokens):
    _set(context, 'ab', tokens)


@behave.given('engines a, b and d in region r with {tokens:d} tokens each')
def three_engines(context, tokens):
    _set(context, 'abd', tokens)


@behave.given('engines c and d in region q with {tokens:d} tokens each')
def other_region(context, tokens):
    context.engines += [_engine(name, 'q', tokens) for name in 'cd']


@behave.given('engine c alone in region q, the region of the VM')
def alone(context):
    context.engines.append(_engine('c', 'q'))
    context.vm_region = 'q'


@behave.given('{name:w} has {count:d} run of {tokens:d} tokens, all unread')
def has_unread(context, name, count, tokens):
    total = count * tokens
    context.sums[name] = commitments.EngineSums(count, total, 0, total)


@behave.given('{name:w} has {count:d} runs of {tokens:d} tokens, none unread')
def has_runs(context, name, count, tokens):
    context.sums[name] = commitments.EngineSums(count, count * tokens, 0, 0)


@behave.then('a run of {tokens:d} tokens goes to {name:w}')
def goes_to(context, tokens, name):
    chosen = engine_pairs.choose_engine(
        _need(context, tokens), context.engines, context.sums
    )
    assert chosen.upstream == name, chosen


@behave.then('a run of {tokens:d} tokens waits')
def run_waits(context, tokens):
    assert (
        engine_pairs.choose_engine(
            _need(context, tokens), context.engines, context.sums
        )
        is None
    )


@behave.then(
    'a run of {tokens:d} tokens and {output:d} of output, {kind}, '
    'goes to {name:w}'
)
def long_goes_to(context, tokens, output, kind, name):
    need = _need(context, tokens, output, kind == 'with a copy')
    chosen = engine_pairs.choose_engine(need, context.engines, context.sums)
    assert chosen.upstream == name, chosen


def _copy(context, tokens, source, must_fit):
    place = engine_pairs.Location(source, 'r', 'z')
    return engine_pairs.choose_copy(
        tokens, place, context.engines, context.sums, must_fit
    )


@behave.then(
    'the copy of a run of {tokens:d} tokens on {source:w} is kept on {name:w}'
)
def copy_on(context, tokens, source, name):
    assert _copy(context, tokens, source, True).upstream == name


@behave.then(
    'the copy of a run of {tokens:d} tokens on {source:w} is kept nowhere'
)
def copy_nowhere(context, tokens, source):
    assert _copy(context, tokens, source, True) is None


@behave.then(
    'a run of {tokens:d} tokens on {source:w} that has to leave is copied '
    'to {name:w}'
)
def copy_leaving(context, tokens, source, name):
    assert _copy(context, tokens, source, False).upstream == name


@behave.then(
    'a run of {tokens:d} tokens on x, which is not listed, is copied to b or a'
)
def copy_unlisted(context, tokens):
    assert _copy(context, tokens, 'x', False).upstream in 'ab'


@behave.given('commitments of this VM and of peer p, received at 0 ms')
def commitments_of_two(context):
    context.commitments = commitments.Commitments()
    context.commitments.commit(
        'r1', commitments.Commitment('a', None, 100, 50)
    )
    peer_sums = {'a': commitments.EngineSums(2, 500, 0, 0)}
    context.commitments.update_peer('p', peer_sums, 0.0)


@behave.then('the sums of engine a at {now_ms:d} ms hold the runs of both')
def sums_of_both(context, now_ms):
    assert context.commitments.sums('a', now_ms).runs == 3


@behave.then('the sums of engine a at {now_ms:d} ms hold those of this VM')
def sums_of_one(context, now_ms):
    assert context.commitments.sums('a', now_ms).runs == 1


@behave.given('8 VMs that each place a run a second on 5 engines')
def many_vms(context):
    context.engines = [_engine(f'e{n}', 'r', 10**6) for n in range(5)]


def _simulate(context, announced):
    """Return the largest number of runs at an engine over the mean."""
    generator = random.Random(3)
    all_commitments = [commitments.Commitments() for _ in range(8)]
    arrivals = sorted(
        (generator.uniform(0, 8_000), vm, n)
        for vm in range(8)
        for n in range(8)
    )
    for now_ms, vm, number in arrivals:
        engine = engine_pairs.choose_engine(
            _need(context, 3_000),
            context.engines,
            all_commitments[vm].all_sums(now_ms),
        )
        all_commitments[vm].commit(
            (vm, number),
            commitments.Commitment(engine.upstream, None, 3_000, 0),
        )
        if announced:
            for other, each in enumerate(all_commitments):
                if other != vm:
                    each.update_peer(
                        f'v{vm}', all_commitments[vm].own_sums(), now_ms
                    )
    counts = [
        sum(
            run.upstream == engine.upstream
            for each in all_commitments
            for run in each.runs.values()
        )
        for engine in context.engines
    ]
    return max(counts) / (sum(counts) / len(counts))


@behave.when('their sums are announced 40 ms after each placement')
def sums_announced(context):
    context.announced = _simulate(context, True)
    context.share = context.announced


@behave.when('their sums are never announced')
def sums_not_announced(context):
    context.share = _simulate(context, False)


@behave.then('no engine has more than 1.5 times the mean of runs')
def balanced(context):
    assert context.share <= 1.5, context.share


@behave.then('some engine has more runs than with announcements')
def less_balanced(context):
    assert context.share > context.announced, (
        context.share,
        context.announced,
    )


@behave.given('a queue in which a rank-1 and then a rank-0 run wait')
def waiting_queue(context):
    context.queue = engine_queue.EngineQueue(health.HealthTracker())
    for rank in (1, 0):
        context.queue.submit(
            engine_queue.PlacementRequest(
                ids.RequestId(f'q{rank}'),
                SERVICE,
                rank,
                engine_pairs.RunRequirements('r', 900, 0, False),
                frozenset(),
                5_000.0,
            )
        )
    assert context.queue.step(0.0) == []


@behave.when('room for one run becomes free')
def room_becomes_free(context):
    context.queue.engines = {SERVICE: [_engine('a', 'r', 1_000)]}
    context.results = context.queue.step(1_000.0)


@behave.then('the rank-0 run is placed')
def urgent_first(context):
    assert [t.request for t in context.results] == ['q0'], context.results


@behave.when('the deadline of the other has passed')
def deadline_passed(context):
    context.results = context.queue.step(5_000.0)


@behave.then('the other is refused')
def other_refused(context):
    assert isinstance(context.results[0], engine_queue.Refusal)
    assert context.results[0].request == 'q1'


FLEET_ENGINES = 60
FLEET_RATE_PER_S = 28
FLEET_SECONDS = 20
FLEET_RUN_MS = 4_000.0


@behave.given(
    '{vms:d} VMs and 60 engines in two regions, which are nearly idle'
)
def large_fleet(context, vms):
    context.fleet_vms = vms
    context.engines = [
        engine_pairs.Engine(
            f'e{number}', 'rq'[number % 2], f'z{number % 6}', 34_000, 24
        )
        for number in range(FLEET_ENGINES)
    ]
    context.sums = {}


@behave.given(
    'all engines but {name:w} have {count:d} runs of {tokens:d} tokens, all '
    'unread'
)
def others_busy(context, name, count, tokens):
    total = count * tokens
    context.sums = {
        engine.upstream: commitments.EngineSums(count, total, 0, total)
        for engine in context.engines
        if engine.upstream != name
    }


@behave.then('each of {count:d} runs of {tokens:d} tokens goes to {name:w}')
def each_goes_to(context, count, tokens, name):
    need = engine_pairs.RunRequirements('r', tokens, 0, False)
    for number in range(count):
        chosen = engine_pairs.choose_engine(
            need,
            context.engines,
            context.sums,
            engine_pairs.Spread(f'request-{number}'),
        )
        assert chosen.upstream == name, chosen


@behave.when(
    '{rate:d} streams a second are placed and are known elsewhere '
    '{delay:d} ms later'
)
def place_streams(context, rate, delay):
    generator = random.Random(7)
    end_ms = FLEET_SECONDS * 1_000.0
    arrivals = sorted(
        (
            generator.uniform(0.0, end_ms),
            generator.randrange(context.fleet_vms),
        )
        for _ in range(rate * FLEET_SECONDS)
    )
    context.begun, context.copied, placed = [], [], []
    for number, (now_ms, vm) in enumerate(arrivals):
        visible = [
            run
            for since_ms, owner, run in placed
            if now_ms - since_ms < FLEET_RUN_MS
            and (owner == vm or now_ms - since_ms > delay)
        ]
        known = commitments.Commitments()
        for index, run in enumerate(visible):
            known.commit(index, run)
        sums = known.all_sums(now_ms)
        need = engine_pairs.RunRequirements('rq'[vm % 2], 2_600, 500, True)
        spread = engine_pairs.Spread(f'request-{number}', 2)
        engine = engine_pairs.choose_engine(
            need, context.engines, sums, spread
        )
        copy = engine_pairs.choose_copy(
            need.tokens,
            engine,
            context.engines,
            sums,
            spread=spread,
        )
        run = commitments.Commitment(
            engine.upstream, copy.upstream, 2_600, 500, started=True
        )
        placed.append((now_ms, vm, run))
        context.begun.append((now_ms, engine.upstream))
        context.copied.append((now_ms, copy.upstream))


def _most_within(begun, window_ms):
    return max(
        sum(
            other == engine and 0 <= since_ms - now_ms < window_ms
            for since_ms, other in begun
        )
        for now_ms, engine in begun
    )


@behave.then(
    'at most {count:d} streams begin at one engine within {window:d} ms'
)
def few_begin(context, count, window):
    found = _most_within(context.begun, window)
    assert found <= count, found


@behave.then(
    'at most {count:d} copies begin at one engine within {window:d} ms'
)
def few_copies(context, count, window):
    found = _most_within(context.copied, window)
    assert found <= count, found


@behave.given('the engine {name:w} has just been added and has none')
def just_added(context, name):
    context.sums.pop(name, None)


@behave.given(
    'all engines have {count:d} runs of {tokens:d} tokens, none unread'
)
def all_busy(context, count, tokens):
    context.sums = {
        engine.upstream: commitments.EngineSums(count, count * tokens, 0, 0)
        for engine in context.engines
    }


@behave.then(
    'of {count:d} streams that do not know of each other at most {most:d} go '
    'to {name:w}'
)
def few_go_to(context, count, most, name):
    chosen = []
    for number in range(count):
        need = engine_pairs.RunRequirements('rq'[number % 2], 2_600, 500, True)
        engine = engine_pairs.choose_engine(
            need,
            context.engines,
            context.sums,
            engine_pairs.Spread(f'request-{number}', 2),
        )
        chosen.append(engine.upstream)
    assert 0 < chosen.count(name) <= most, chosen.count(name)
