"""Steps for the smaller components of the policy."""

import collections
import random

import behave
import hypothesis
from hypothesis import strategies

from eelgrassknot.policy import admission
from eelgrassknot.policy import concurrency
from eelgrassknot.policy import fairness
from eelgrassknot.policy import health
from eelgrassknot.policy import long_prompts
from eelgrassknot.policy import messages
from eelgrassknot.policy import prefix
from eelgrassknot.policy import region_budget
from eelgrassknot.policy import retry_budget
from eelgrassknot.settings import text as services_text
from eelgrassknot import states

INTERACTIVE = states.Priority.INTERACTIVE
BATCH = states.Priority.BATCH


def queued(name, account, priority=INTERACTIVE, arrived_ms=0.0):
    profile = messages.RequestProfile(
        name,
        'writer',
        states.ServiceKind.ENGINE,
        account,
        priority,
        100,
        (),
        None,
        None,
    )
    return admission.QueuedRequest(profile, arrived_ms, 1e9)


@behave.given(
    'accounts "large" of weight 3 and "small" of weight 1 that both queue'
)
def given_accounts(context):
    context.counters = fairness.TokenCounters()
    context.counters.weights = {'large': 3.0, 'small': 1.0}
    context.accounts = ['large', 'small']


@behave.when('{count:d} requests are served in order of the counters')
def served_in_order(context, count):
    generator = random.Random(3)
    context.tokens = collections.Counter()
    for _ in range(count):
        account = context.counters.least_served(context.accounts)
        tokens = generator.randint(1, 2_000)
        context.tokens[account] += tokens
        context.counters.charge(account, tokens)


@behave.then('"small" got {share:d} percent of the tokens within 1 percent')
def got_share(context, share):
    found = 100 * context.tokens['small'] / sum(context.tokens.values())
    assert abs(found - share) <= 1, found


@behave.when('only "large" is served {count:d} times and then "small" returns')
def only_large(context, count):
    for _ in range(count):
        context.counters.charge('large', 100)
    context.counters.raise_to_lowest('small', ['large'])


@behave.then('"small" is not served more than {count:d} times in a row')
def not_in_a_row(context, count):
    row = 0
    while context.counters.least_served(context.accounts) == 'small':
        row += 1
        context.counters.charge('small', 100)
    assert row <= count, row


@behave.given(
    'a queue with batch work that has waited 30 s and new interactive work'
)
def given_batch(context):
    counters = fairness.TokenCounters()
    counters.charge('busy', 1_000)
    context.queue = admission.EntryQueue(counters)
    context.queue.push(queued('old', 'idle', BATCH, 0.0))
    counters.counters['idle'] = 0.0
    context.queue.push(queued('new', 'busy', INTERACTIVE, 30_000.0))


@behave.then('the batch work of the account served least goes next')
def batch_next(context):
    assert context.queue.head(1_000.0).profile.request == 'new'
    assert context.queue.head(30_000.0).profile.request == 'old'


@behave.given('a queue that one account has filled')
def given_full(context):
    context.queue = admission.EntryQueue(fairness.TokenCounters())
    for index in range(admission.MAX_QUEUED):
        assert context.queue.push(queued(f'r{index}', 'flood')) is None


@behave.when('another account queues a request')
def another_queues(context):
    context.evicted = context.queue.push(queued('one', 'small'))


@behave.then('the first account loses its newest request')
def loses_newest(context):
    last = f'r{admission.MAX_QUEUED - 1}'
    assert context.evicted.profile.request == last
    assert context.queue.size == admission.MAX_QUEUED
    assert context.queue.find('one') is not None


@behave.given('an engine that was sent a prompt with 4 prefixes')
def given_prefixes(context):
    context.affinity = prefix.PrefixAffinity()
    context.affinity.stored('engine', ('a', 'b', 'c', 'd'))


@behave.when('the engine reports the eviction of the last 2 prefixes')
def eviction_reported(context):
    context.affinity.evicted('engine', ('d', 'c', 'never seen'))


@behave.then('{tokens:d} of its tokens are covered')
def covered(context, tokens):
    prompt = ('a', 'b', 'c', 'd', 'e')
    assert context.affinity.covered_tokens('engine', prompt) == tokens


@behave.then(
    'for any sequence of requests granted bytes stay within rate and burst'
)
def link_budget_kept(context):
    sizes = strategies.lists(
        strategies.tuples(
            strategies.floats(0, 2_000), strategies.floats(1, 1e6)
        ),
        max_size=60,
    )

    @hypothesis.settings(max_examples=60, derandomize=True, deadline=None)
    @hypothesis.given(sizes)
    def check(steps):
        budget = region_budget.RegionBudget()
        budget.configure(services_text.RegionLink(), 7, 0.0)
        rate = 15_000_000 / 8 * region_budget.SPILLOVER_SHARE / 7
        now_ms = 0.0
        largest = 0.0
        for wait_ms, size in steps:
            now_ms += wait_ms
            largest = max(largest, size)
            if budget.has_room(size, now_ms):
                budget.spend(size, now_ms)
        allowed = rate * (now_ms / 1_000 + region_budget.BURST_S)
        assert budget.spilled_bytes <= allowed + largest + 1

    check()


@behave.given('10 engines known in two different orders')
def given_orders(context):
    names = [f'engine-{index}' for index in range(10)]
    context.engine_sets = []
    for order in (names, names[::-1]):
        engines = long_prompts.LongPromptEngines()
        engines.assign(order)
        context.engine_sets.append(engines)


@behave.then('both orders give the same 2 engines for long prompts')
def same_engines(context):
    first, second = context.engine_sets
    assert first.members == second.members and len(first.members) == 2


@behave.given('a concurrency limit at an engine that runs 40 requests')
def given_limit(context):
    context.limit = concurrency.ConcurrencyLimit()
    context.now_ms = 5_000.0


@behave.when('the engine preempts')
def engine_preempts(context):
    context.limit.on_preemption(40, context.now_ms)


@behave.when('{count:d} quiet seconds pass')
def quiet_seconds(context, count):
    for _ in range(count):
        context.now_ms += 1_000.0
        running = int(context.limit.limit)
        context.limit.on_quiet_interval(running, context.now_ms)


@behave.then('the limit is {limit:d}')
def limit_is(context, limit):
    assert context.limit.limit == limit, context.limit.limit


@behave.then('the limit is between {low:d} and {high:d}')
def limit_between(context, low, high):
    assert low <= context.limit.limit <= high, context.limit.limit


@behave.given(
    'a queue that one account has filled while one is dispatched each second'
)
def given_flooded(context):
    given_full(context)
    context.queue.update_rate(0.0)
    for second in range(1, 4):
        context.queue.pop(context.queue.head(0.0))
        context.queue.counters.charge('flood', 400.0)
        context.queue.update_rate(second * 1_000.0)


@behave.then('the flooding account would wait more than {bound_s:d} s')
def flood_expected_wait(context, bound_s):
    profile = queued('next', 'flood').profile
    assert context.queue.expected_wait_ms(profile) > bound_s * 1_000


@behave.then(
    'an account of the same weight with less service waits below {bound_s:d} s'
)
def small_expected_wait(context, bound_s):
    profile = queued('next', 'small').profile
    assert context.queue.expected_wait_ms(profile) < bound_s * 1_000


@behave.then(
    'a full budget of {full:d} retries allows {share:d} once its maximum is '
    '{limit:d}'
)
def shrunk_budget(context, full, share, limit):
    context.budget = retry_budget.RetryBudget(0.2, full)
    context.budget.set_max_balance(limit)
    assert _spend_all(context.budget) == share


@behave.then(
    '{requests:d} requests earn {retries:d} retries, up to the maximum'
)
def earned_retries(context, requests, retries):
    for _ in range(requests):
        context.budget.earn()
    assert _spend_all(context.budget) == retries
    for _ in range(10 * requests):
        context.budget.earn()
    assert _spend_all(context.budget) == context.budget.max_balance


@behave.then(
    'a full budget with a maximum of {limit:d} allows {count:d} retries, and '
    '{more:d} more that continue runs'
)
def reserve_used(context, limit, count, more):
    budget = retry_budget.RetryBudget(0.2, limit)
    assert _spend_all(budget) == count
    found = 0
    while budget.spend(may_use_reserve=True):
        found += 1
    assert found == more, found
    budget.earn()
    assert not budget.spend()


def _spend_all(budget):
    count = 0
    while budget.spend():
        count += 1
    return count


@behave.given(
    '{vms:d} VMs that share a burst of {burst:d} retries and a ratio of '
    '{ratio:g}'
)
def sharing_vms(context, vms, burst, ratio):
    context.burst, context.ratio = burst, ratio

    context.start = lambda: [
        retry_budget.RetryBudget.for_vm(ratio, burst / vms) for _ in range(vms)
    ]


@behave.when(
    'each gets {rate:d} requests a second for {length:d} s, and all but '
    'those of the first {quiet:d} s need a retry'
)
def requests_need_retries(context, rate, length, quiet):
    context.rate, context.length, context.quiet = rate, length, quiet


@behave.when('all VMs are killed and restarted every {gap:d} s')
def restarted_repeatedly(context, gap):
    context.requests, context.retries = [], []
    budgets = context.start()
    for second in range(context.length):
        if second and second % gap == 0:
            budgets = context.start()
        made = 0
        for budget in budgets:
            for _ in range(context.rate):
                budget.earn()
                made += second >= context.quiet and budget.spend()
        context.requests.append(context.rate * len(budgets))
        context.retries.append(made)


@behave.then(
    'in no {window:d} s there are more retries than the ratio and the burst '
    'allow'
)
def retries_bounded(context, window):
    for start in range(context.length - window + 1):
        end = start + window
        requests = sum(context.requests[start:end])
        retries = sum(context.retries[start:end])
        allowed = context.ratio * requests + context.burst
        assert retries <= allowed, (start, retries, allowed)


@behave.given(
    '{count:d} tracked upstreams of which u1 is sent a request at 0 ms'
)
def first_sent_request(context, count):
    context.tracker = health.HealthTracker()
    context.names = [f'u{number}' for number in range(1, count + 1)]
    context.tracker.request_sent('u1', 0.0)


@behave.given(
    '{count:d} tracked upstreams that are all sent a request at 0 ms'
)
def all_sent_requests(context, count):
    first_sent_request(context, count)
    for name in context.names[1:]:
        context.tracker.request_sent(name, 0.0)


@behave.then('u1 is usable at {now:d} ms and not at {later:d} ms')
def usable_and_not(context, now, later):
    assert 'u1' in context.tracker.usable(context.names, now)
    assert 'u1' not in context.tracker.usable(context.names, later)


@behave.then('u1 is usable at {now:d} ms and still at {later:d} ms')
def usable_and_still(context, now, later):
    for time_ms in (now, later):
        assert 'u1' in context.tracker.usable(context.names, time_ms)


@behave.when('u1 begins to respond at {now:d} ms')
def begins_to_respond(context, now):
    context.tracker.response_started('u1', now)


@behave.when(
    'u1 is sent one every {gap:d} ms and begins to answer one each time from '
    '{delay:d} ms on'
)
def sent_repeatedly(context, gap, delay):
    context.usable = []
    for now in range(gap, 30 * gap, gap):
        context.tracker.request_sent('u1', now)
        if now >= delay:
            context.tracker.response_started('u1', now)
        context.usable.append(
            'u1' in context.tracker.usable(context.names, now)
        )


@behave.then('u1 is usable at every step')
def always_usable(context):
    assert all(context.usable), context.usable


@behave.then('{count:d} of them is usable at {now:d} ms')
def count_usable(context, count, now):
    assert len(context.tracker.usable(context.names, now)) == count
