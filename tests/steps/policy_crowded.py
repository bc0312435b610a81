"""Steps that simulate the policy with engine models."""

import behave

from benchmarks.policy import simulation

FROM_SHARE = 0.25
SEED = 3


@behave.given(
    'the requests of "{deployment}" at {rate:f} a second for {span_s:d} s'
)
@behave.given(
    'the requests of "{deployment}" at {rate:d} a second for {span_s:d} s'
)
def given_requests(context, deployment, rate, span_s):
    context.deployment = deployment
    context.rate = float(rate)
    context.span_ms = span_s * 1_000.0
    context.disturbance = simulation.Disturbance()


@behave.given('an engine is lost after {after_s:d} s')
def engine_lost(context, after_s):
    context.disturbance = simulation.Disturbance(lost_at_ms=after_s * 1_000.0)


@behave.when('they run under "{first}" and under "{second}"')
def run_two(context, first, second):
    context.first = run(context, first)
    context.second = run(context, second)


@behave.when('they run under "{policy}"')
def run_one(context, policy):
    context.first = run(context, policy)


def run(context, policy):
    context.simulation = simulation.Simulation(
        simulation.Scenario(
            context.deployment,
            policy,
            context.rate,
            context.span_ms,
            context.span_ms * FROM_SHARE,
            SEED,
            disturbance=context.disturbance,
        )
    )
    return context.simulation.run()


@behave.then("the second has at most a quarter of the first's preemptions")
def fewer_preemptions(context):
    first = context.first.preemptions_per_1000
    second = context.second.preemptions_per_1000
    assert first > 0 and second <= first / 4, (first, second)


@behave.then("the second has at most a quarter of the first's stall time")
def less_stall(context):
    first = context.first.stall_mean_ms
    second = context.second.stall_mean_ms
    assert first > 0 and second <= first / 4, (first, second)


@behave.then(
    "the second has at least {percent:d} percent of the first's goodput"
)
def enough_goodput(context, percent):
    first = context.first.goodput_per_s
    second = context.second.goodput_per_s
    assert second >= first * percent / 100, (first, second)


@behave.then('every request has ended, is running, is queued or was refused')
def none_forgotten(context):
    found = context.simulation
    waiting = sum(
        pool.queue.size
        for dispatcher in found.dispatchers
        for pool in dispatcher.pools.values()
    )
    accounted = found.recorder.ends + len(found.active) + waiting
    accounted += found.recorder.all_refusals + found.in_transit
    assert accounted == len(found.requests), (accounted, len(found.requests))
    profiles = sum(
        len(dispatcher.profiles) for dispatcher in found.dispatchers
    )
    assert profiles == len(found.active) + waiting + found.in_transit


@behave.then('both runs have the same results')
def same_figures(context):
    assert context.first == context.second
