"""Steps for the rate limits of client accounts."""

import random

import behave

from eelgrassknot.policy import limits
from eelgrassknot.settings import text as services_text

STEP_MS = 10.0
EXCHANGE_MS = 250.0


def account(rate=None, tokens=None):
    return services_text.ClientAccount(
        'hotel', '', requests_per_second=rate, tokens_per_minute=tokens
    )


def drive(context, rates, span_s):
    until_ms = context.now_ms + span_s * 1_000.0
    due = [0.0] * len(context.vms)
    context.passed = 0
    context.span_s = span_s
    exchanged_ms = context.now_ms
    while context.now_ms < until_ms:
        context.now_ms += STEP_MS
        for index, vm in enumerate(context.vms):
            due[index] += rates[index] * STEP_MS / 1_000.0
            while due[index] >= 1.0:
                due[index] -= 1.0
                wait_ms = vm.admit('hotel', context.now_ms)
                context.passed += wait_ms == 0.0
            vm.rebalance(context.now_ms)
        if context.now_ms - exchanged_ms >= EXCHANGE_MS:
            exchanged_ms = context.now_ms
            exchange(context)


def exchange(context):
    if context.cut_off:
        return
    told = [vm.demands(context.now_ms).get('hotel', 0.0) for vm in context.vms]
    for index, vm in enumerate(context.vms):
        for other, rate in enumerate(told):
            if other != index and context.zones[other] == context.zones[index]:
                vm.record_peer_demand(
                    f'vm-{other}', 'hotel', rate, context.now_ms
                )


@behave.given('{count:d} VMs that share a limit of {rate:d} requests a second')
def given_vms(context, count, rate):
    context.now_ms = 0.0
    context.cut_off = False
    context.rate = rate
    context.vms = [limits.AccountLimits() for _ in range(count)]
    context.zones = [0] * count
    for vm in context.vms:
        vm.set_vm_counts(count, count, 0.0)
        vm.configure((account(rate=float(rate)),), 0.0)


@behave.when('each VM sees {rate:d} requests a second for {span_s:d} s')
def each_sees(context, rate, span_s):
    drive(context, [rate] * len(context.vms), span_s)


@behave.when(
    'one VM sees {rate:d} requests a second for {span_s:d} s'
    ' and the others none'
)
def one_sees(context, rate, span_s):
    drive(context, [rate] + [0] * (len(context.vms) - 1), span_s)


@behave.when('the VMs are isolated from each other')
def vms_cut_off(context):
    context.cut_off = True
    for vm in context.vms:
        share = vm.shares['hotel'].requests_bucket
        share.spend(share.burst, context.now_ms)


@behave.then(
    'together they admit {rate:d} a second within {percent:d} percent'
)
@behave.then('that VM admits {rate:d} a second within {percent:d} percent')
def let_through(context, rate, percent):
    found = context.passed / context.span_s
    assert abs(found - rate) <= rate * percent / 100, found


@behave.then('the excess is below one exchange and one burst a VM')
def excess_bounded(context):
    excess = context.passed - context.rate * context.span_s
    count = len(context.vms)
    exchange_s = (EXCHANGE_MS + limits.REBALANCE_INTERVAL_MS) / 1_000.0
    bound = context.rate * exchange_s * (count - 1) / count
    bound += context.rate * limits.BURST_S
    assert excess <= bound, (excess, bound)


@behave.given('an account limited to {tokens:d} tokens a minute')
def given_tokens(context, tokens):
    context.limits = limits.AccountLimits()
    context.limits.configure((account(tokens=float(tokens)),), 0.0)
    assert context.limits.admit('hotel', 0.0) == 0.0


@behave.when('it streams {tokens:d} tokens')
def streams(context, tokens):
    context.limits.charge('hotel', tokens, 0.0)


@behave.then('its next request is refused for {low:d} to {high:d} s')
def refused_for(context, low, high):
    wait_ms = context.limits.admit('hotel', 0.0)
    assert low * 1_000 <= wait_ms <= high * 1_000, wait_ms


@behave.given('they are in zones of {first:d} and {second:d} VMs')
def given_zones(context, first, second):
    context.zones = [0] * first + [1] * second
    for index, vm in enumerate(context.vms):
        own = context.zones.count(context.zones[index])
        vm.set_vm_counts(len(context.vms), own, 0.0)


@behave.when(
    '{rate:d} requests a second arrive at random VMs for {span_s:d} s'
)
def come_at_random(context, rate, span_s):
    generator = random.Random(1)
    until_ms = context.now_ms + span_s * 1_000.0
    exchanged_ms = context.now_ms
    context.asked = context.passed = 0
    while context.now_ms < until_ms:
        context.now_ms += generator.expovariate(rate) * 1_000.0
        vm = generator.choice(context.vms)
        context.asked += 1
        context.passed += vm.admit('hotel', context.now_ms) == 0.0
        if context.now_ms - exchanged_ms >= EXCHANGE_MS:
            exchanged_ms = context.now_ms
            exchange(context)
            for each in context.vms:
                each.rebalance(context.now_ms)


@behave.then('at most {percent:d} percent of them are refused')
def hardly_refused(context, percent):
    refused = context.asked - context.passed
    assert refused <= context.asked * percent / 100, (refused, context.asked)
