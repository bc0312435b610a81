"""Steps for the merged report and its formats."""

import csv
import io
import itertools
import json
import random
import re
from xml.etree import ElementTree

import behave
import hypothesis
from hypothesis import strategies

from eelgrassknot.kernel import registry
from eelgrassknot.reporting import merge
from eelgrassknot.reporting import messages
from eelgrassknot.reporting import names
from eelgrassknot.reporting import rendering
from eelgrassknot.reporting import sketch
from eelgrassknot import states
from tests import reporting_facts

END_MS = 60_000
DERANDOMIZED = hypothesis.settings(
    derandomize=True, max_examples=60, deadline=None, database=None
)


def report_of(recorders, **report_filter):
    merger = merge.Merger(messages.ReportFilter(0, END_MS, **report_filter))
    for recorder in recorders:
        merger.add(recorder.close_interval(END_MS))
    return merger.report(())


def find_row(rows, service='shop-assistant', account=''):
    (found,) = [
        row
        for row in rows
        if (row.service, row.client_account) == (service, account)
    ]
    return found


def requests_of(report):
    return sum(r.requests for r in report.operations if not r.client_account)


@behave.then('the phases of any recorded requests add up to their total time')
def parts_add_up(context):
    durations = strategies.floats(0, 1e6)

    @DERANDOMIZED
    @hypothesis.given(
        strategies.lists(
            strategies.fixed_dictionaries(
                dict.fromkeys((*reporting_facts.PARTS, 'total_ms'), durations)
            ),
            min_size=1,
            max_size=6,
        )
    )
    def add_up(generations):
        recorder = reporting_facts.vm_recorder()
        for changes in generations:
            recorder.record(reporting_facts.generation(**changes))
            recorder.record(
                reporting_facts.plain_call(total_ms=changes['total_ms'])
            )
        report = report_of([recorder])
        total_ms = sum(changes['total_ms'] for changes in generations)
        for row in report.operations:
            parts_ms = sum(part.total_ms for part in row.parts)
            assert abs(parts_ms - row.total_ms) <= 1e-6 * (1 + total_ms)
            # The recorder ignores up to 0.001 ms of rounding per request.
            tolerance_ms = 0.002 * row.requests + 1e-9 * total_ms
            assert abs(row.total_ms - total_ms) <= tolerance_ms, row

    add_up()


@behave.given(
    'a VM that recorded a generation of {total_ms:d} ms'
    ' with {prefill_ms:d} ms in prefill'
)
def recorded_unaccounted(context, total_ms, prefill_ms):
    recorder = reporting_facts.vm_recorder()
    recorder.record(
        reporting_facts.generation(
            total_ms=float(total_ms), prefill_ms=float(prefill_ms)
        )
    )
    context.recorders = [recorder]


@behave.then('the report shows {spent_ms:d} ms as "{part}"')
def shows_part(context, spent_ms, part):
    row = find_row(report_of(context.recorders).operations)
    assert {p.part: p.total_ms for p in row.parts}[part] == spent_ms


@behave.then('merged parts give the counts and quantiles of one recorder')
def merged_as_one(context):
    generator = random.Random(11)
    alone = reporting_facts.vm_recorder('alone')
    many = [reporting_facts.vm_recorder(f'vm-{n}') for n in range(5)]
    for recorder in itertools.islice(itertools.cycle(many), 200):
        account = generator.choice(['a', 'b', 'c'])
        fact = reporting_facts.random_generation(generator, account)
        recorder.record(fact)
        alone.record(fact)
    generator.shuffle(many)
    expected = report_of([alone])
    found = report_of(many)
    for actual_row, expected_row in zip(found.operations, expected.operations):
        assert actual_row.outcomes == expected_row.outcomes
        assert abs(actual_row.total_ms - expected_row.total_ms) < 1e-3
        for measure, quantiles in actual_row.durations.items():
            other = expected_row.durations[measure]
            assert quantiles.p99_ms == other.p99_ms
            assert quantiles.count == other.count
    for actual_row, expected_row in zip(found.money, expected.money):
        assert actual_row.tokens_twice == expected_row.tokens_twice
        assert actual_row.region_bytes == expected_row.region_bytes


@behave.then(
    "the sketch's quantiles of {count:d} random durations are within {bound:f}"
)
def sketch_accuracy(context, count, bound):
    generator = random.Random(5)
    values = sorted(generator.lognormvariate(3, 2) for _ in range(count))
    found = sketch.Sketch()
    found.add_all(values)
    for quantile in (0.01, 0.5, 0.95, 0.99, 1.0):
        true_ms = values[int(quantile * (count - 1))]
        error = abs(found.quantile_ms(quantile) - true_ms) / true_ms
        assert error <= bound, (quantile, error)


@behave.given('a VM that recorded these generations')
def recorded_table(context):
    recorder = reporting_facts.vm_recorder()
    for row in context.table:
        recorder.record(
            reporting_facts.generation(
                outcome=states.Outcome(row['outcome']),
                tokens_delivered=int(row['delivered']),
                tokens_discarded=int(row['discarded']),
                discard_reason=row['discard_reason'],
                bytes_out=int(row['bytes']),
                crossed_regions=row['crossed'] == 'yes',
            )
        )
    context.recorders = [recorder]


@behave.then('the cost section shows')
def cost_section_shows(context):
    context.money = find_row(report_of(context.recorders).money)
    found = {
        'tokens_delivered': context.money.tokens_delivered,
        'twice': sum(context.money.tokens_twice.values()),
        'unreceived': sum(context.money.tokens_unreceived.values()),
        'tokens_cut': context.money.tokens_cut,
        'region_bytes': sum(context.money.region_bytes.values()),
    }
    for row in context.table:
        assert found[row['name']] == int(row['value']), found


@behave.then(
    'it includes the price of {count:d} bytes at {price:d} per gigabyte'
)
def price_is(context, count, price):
    assert abs(context.money.region_cost - count * price / 1e9) < 1e-15


@behave.given('a VM that recorded one request of each of {count:d} accounts')
def recorded_accounts(context, count):
    recorder = reporting_facts.vm_recorder()
    for number in range(count):
        recorder.record(reporting_facts.generation(f'account-{number}'))
    context.part = recorder.close_interval(END_MS)


@behave.then(
    'its part has {rows:d} rows and {folded:d} requests without a named'
    ' account'
)
def part_bounds(context, rows, folded):
    assert len(context.part.rows) == rows
    assert context.part.folded_requests == folded


@behave.then(
    'the report counts {count:d} requests and states that {folded:d}'
    ' are folded'
)
def report_counts_folded(context, count, folded):
    merger = merge.Merger(messages.ReportFilter(0, END_MS))
    merger.add(context.part)
    report = merger.report(())
    assert requests_of(report) == count
    text = '\n'.join(rendering.coverage_lines(report))
    assert f'{folded} requests' in text and names.OTHER_ACCOUNTS in text


@behave.given(
    'a VM that recorded {generations:d} generations of "{first}"'
    ' and {calls:d} calls of "{second}"'
)
def recorded_both(context, generations, first, calls, second):
    generator = random.Random(3)
    recorder = reporting_facts.vm_recorder()
    for _ in range(generations):
        fact = reporting_facts.random_generation(generator, first)
        recorder.record(fact)
    for _ in range(calls):
        recorder.record(reporting_facts.plain_call(second))
    context.recorder = recorder


@behave.then('the report on service "{service}" counts {count:d} requests')
def counts_service(context, service, count):
    part = context.recorder.close_interval(END_MS)
    context.part = part
    report_filter = messages.ReportFilter(0, END_MS, service=service)
    merger = merge.Merger(report_filter)
    merger.add(part)
    assert requests_of(merger.report(())) == count


@behave.then('the report on account "{account}" counts {count:d} requests')
def counts_account(context, account, count):
    report_filter = messages.ReportFilter(0, END_MS, client_account=account)
    merger = merge.Merger(report_filter)
    merger.add(context.part)
    assert requests_of(merger.report(())) == count


@behave.then(
    'each format shows {first_count:d} requests of "{first}"'
    ' and {second_count:d} of "{second}"'
)
def formats_agree(context, first_count, first, second_count, second):
    registry.load_plugins('eelgrassknot.reporting.renderers')
    report = report_of([context.recorder])
    context.report = report
    shown = {
        name: renderer(report)
        for name, renderer in rendering.RENDERERS.plugins.items()
    }
    context.page = shown['html']
    for account, count in ((first, first_count), (second, second_count)):
        assert re.search(rf'{account} +{count} ', shown['text'])
        assert f'>{account}</td><td>{count}</td>' in shown['html']
        lines = list(csv.reader(io.StringIO(shown['csv'])))
        assert any(
            line[2:] == [account, 'requests', str(count)] for line in lines
        )
        rows = json.loads(shown['json'])['operations']
        found = [r for r in rows if r['client_account'] == account]
        assert [r['requests'] for r in found] == [count]


@behave.then('the page is self-contained with embedded plots')
def page_is_self_contained(context):
    images = re.findall(r'<svg.*?</svg>', context.page, re.DOTALL)
    assert len(images) >= 4
    for svg in images:
        ElementTree.fromstring(svg)
    outside = re.findall(r'(?:src|href)="(?!#)[^"]*"', context.page)
    assert not outside, outside


@behave.then('the page escapes a client account called "{account}"')
def page_escapes(context, account):
    recorder = reporting_facts.vm_recorder()
    recorder.record(
        reporting_facts.generation(account, stall_ms=5.0, tokens_discarded=4)
    )
    page = rendering.RENDERERS.lookup('html')(report_of([recorder]))
    assert '<script>' not in page and '&lt;script&gt;' in page


@behave.given('a VM that recorded generations that ended with')
def recorded_reasons(context):
    recorder = reporting_facts.vm_recorder()
    for row in context.table:
        fact = reporting_facts.generation(
            outcome=states.Outcome(row['outcome']),
            reason=row['reason'],
            entry_queue_ms=4.0,
        )
        for _ in range(int(row['count'])):
            recorder.record(fact)
    context.report = report_of([recorder])


@behave.then(
    'the report gives "{reason}" {count:d} times,'
    ' and "{main}" as the main reason'
)
def gives_reasons(context, reason, count, main):
    row = find_row(context.report.operations)
    assert row.reasons[reason] == count and 'stop' not in row.reasons
    table = rendering.operations_table(context.report)
    assert [cells[-1] for cells in table.rows] == [main, main]


@behave.then('its tables have no columns or rows of only zeros')
def no_empty_columns(context):
    table = rendering.operations_table(context.report)
    assert 'gap p99' not in table.columns and 'decode s' not in table.columns
    assert 'entry_queue s' in table.columns
    assert rendering.cost_table(context.report).rows == ()
