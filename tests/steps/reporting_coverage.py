"""Steps for writing report parts and detecting missing intervals."""

import random
import types

from absl import logging
import behave
import prometheus_client
import result

from eelgrassknot import clock as clocks
from eelgrassknot import exceptions
from eelgrassknot.kernel import hub as hubs
from eelgrassknot.reporting import control_traffic
from eelgrassknot.reporting import messages
from eelgrassknot.reporting import metrics
from eelgrassknot.reporting import object_names
from eelgrassknot.reporting import part as report_part
from eelgrassknot.reporting import reader
from tests import reporting_facts

MS = 1_000
MS_PER_DAY = 86_400_000


class InMemoryObjectStore:
    """In-memory object store that can be unavailable or lose answers."""

    def __init__(self):
        # Suppresses the expected errors about failed writes.
        logging.set_verbosity(logging.FATAL)
        self.bodies = {}
        self.is_down = False
        self.loses_answers = False

    def put(self, key, body, only_if_absent=False):
        if not self.is_down:
            self.bodies[key] = body
        if self.is_down or self.loses_answers:
            return result.Err(
                exceptions.UnknownOutcomeError('no answer', 'try again')
            )
        return result.Ok(None)

    def get(self, key):
        return result.Ok(self.bodies.get(key))

    def delete(self, key):
        self.bodies.pop(key, None)
        return result.Ok(None)

    def list_keys(self, prefix):
        return result.Ok([k for k in self.bodies if k.startswith(prefix)])


def start_vm(context, incarnation):
    node = types.SimpleNamespace(
        settings=types.SimpleNamespace(
            vm='nadi-1',
            availability_zone='nadi-yard',
            region='viti-levu',
            listen=types.SimpleNamespace(operators='127.0.0.1:1'),
            report_interval_ms=60 * MS,
        ),
        incarnation=incarnation,
        hub=hubs.Hub(),
        platform=types.SimpleNamespace(objects=context.objects),
    )
    context.part = report_part.ReportPart(node, context.clock)
    context.hub = node.hub
    # The steps call write_interval themselves instead of the thread.
    context.part.thread = types.SimpleNamespace(join=lambda: None)
    context.part.write_interval()


def run_intervals(context, requests, intervals):
    for _ in range(intervals):
        for _ in range(requests):
            context.hub.publish(reporting_facts.generation())
        context.clock.advance_ms(60 * MS)
        context.part.write_interval()


def stored_report(context, expected_vms=()):
    report_filter = messages.ReportFilter(0, int(context.clock.now_ms()) + 1)
    read = reader.read_report(context.objects, report_filter, expected_vms)
    return read.unwrap()


@behave.given('an object store and a VM that writes every 60 s')
def given_store(context):
    context.objects = InMemoryObjectStore()
    context.clock = clocks.ManualClock()
    start_vm(context, 'first')


@behave.when(
    'the VM records {requests:d} requests per interval'
    ' for {intervals:d} intervals and leaves'
)
def runs_and_leaves(context, requests, intervals):
    run_intervals(context, requests, intervals)
    context.part.stop()


@behave.when(
    'another incarnation records {requests:d} requests per interval'
    ' for {intervals:d} intervals and leaves'
)
def another_runs(context, requests, intervals):
    start_vm(context, 'second')
    runs_and_leaves(context, requests, intervals)


@behave.when(
    'the VM records {requests:d} requests per interval'
    ' for {intervals:d} intervals and is lost'
)
@behave.when(
    'the VM records {requests:d} requests per interval'
    ' for {intervals:d} intervals'
)
def runs(context, requests, intervals):
    run_intervals(context, requests, intervals)


@behave.when('the VM starts and is lost')
def start_and_lose_vm(context):
    pass


@behave.when('{seconds:d} s pass')
def time_goes_by(context, seconds):
    context.clock.advance_ms(seconds * MS)


@behave.when('the object of interval {number:d} is lost')
def object_lost(context, number):
    del context.objects.bodies[key_of(context, number)]


@behave.when('the object of interval {number:d} is corrupted')
def object_corrupted(context, number):
    context.objects.bodies[key_of(context, number)] = b'\xc1'


def key_of(context, number):
    (key,) = [
        key
        for key in context.objects.bodies
        if object_names.parse_key(key).first_sequence == number
    ]
    return key


@behave.when('the store goes down')
def store_down(context):
    context.objects.is_down = True


@behave.when('the store loses all answers after taking effect')
def store_loses_answers(context):
    context.objects.loses_answers = True


@behave.when('the store comes back')
def store_back(context):
    context.objects.is_down = False
    context.objects.loses_answers = False


@behave.then('at most {count:d} parts are pending')
def parts_pending(context, count):
    assert len(context.part.pending.parts) <= count
    assert context.part.status()['report']['coalesced'] > 0


@behave.then('the stored report counts {count:d} requests')
def stored_counts(context, count):
    report = stored_report(context)
    found = sum(
        row.requests for row in report.operations if not row.client_account
    )
    assert found == count, found


@behave.then(
    'the stored report counts {count:d} requests with nothing missing'
)
def stored_complete(context, count):
    stored_counts(context, count)
    coverage = stored_report(context).coverage
    assert not coverage.missing and not coverage.unreadable, coverage


@behave.then('it names the VM as missing from {start:d} s to {end:d} s')
def names_gap(context, start, end):
    (missing,) = stored_report(context).coverage.missing
    assert missing.vm == 'nadi-1'
    assert (missing.from_ms, missing.to_ms) == (start * MS, end * MS)


@behave.then('it names the VM as missing from {start:d} s to an unknown time')
def names_tail(context, start):
    (missing,) = stored_report(context).coverage.missing
    assert (missing.from_ms, missing.to_ms) == (start * MS, None), missing


@behave.then('the stored report with "{vm}" listed names "{named}"')
def names_vm_without_parts(context, vm, named):
    missing = stored_report(context, [vm, 'nadi-1']).coverage.missing
    assert [entry.vm for entry in missing] == [named]


@behave.then('its status shows dropped parts')
def says_dropped(context):
    assert context.part.status()['report']['dropped'] > 0


@behave.then('the stored report names an unreadable object')
def names_unreadable(context):
    assert len(stored_report(context).coverage.unreadable) == 1


@behave.when('the VM records one generation of each of {count:d} accounts')
def records_accounts(context, count):
    for number in range(count):
        context.hub.publish(reporting_facts.generation(f'a{number}'))
        if number == count // 2:
            context.part.write_interval()


def scrape_metrics(context):
    registry = prometheus_client.CollectorRegistry()
    registry.register(metrics.ReportCollector(context.part.recorder))
    return prometheus_client.generate_latest(registry).decode()


@behave.then('the metrics count {count:d} requests done')
def metrics_count(context, count):
    line = (
        'eelgrassknot_requests_total'
        f'{{outcome="done",service="shop-assistant"}} {count}.0'
    )
    assert line in scrape_metrics(context).splitlines()


@behave.then('the metrics contain at most {count:d} client accounts')
def metrics_bound(context, count):
    lines = scrape_metrics(context).splitlines()
    name = 'eelgrassknot_account_requests_total{'
    assert len([line for line in lines if line.startswith(name)]) <= count


@behave.when('{days:d} days pass')
def days_go_by(context, days):
    context.clock.advance_ms(days * MS_PER_DAY)
    # The interval closed here started before the time skip.
    context.part.recorder.close_interval(context.clock.now_ms())


@behave.then(
    'deletion with a retention of {days:f} days leaves {count:d} objects'
)
def deletion_leaves(context, days, count):
    node = context.part.node
    node.generator = random.Random(1)
    node.text = types.SimpleNamespace(
        retention=types.SimpleNamespace(report_days=days)
    )
    context.part.delete_expired()
    assert len(context.objects.bodies) == count, context.objects.bodies


@behave.given(
    'a VM of "{region}" that knows "{first}" in "{first_region}"'
    ' and "{second}" in "{second_region}"'
)
def given_traffic(context, region, first, first_region, second, second_region):
    context.traffic = control_traffic.ControlTraffic(region)
    context.traffic.set_region(first, first_region)
    context.traffic.set_region(second, second_region)


@behave.then('the cross-region bytes grow as follows')
def crossed_grows(context):
    for row in context.table:
        context.sent = {vm: int(row[vm]) for vm in row.headings[:-1]}
        crossed = context.traffic.take_cross_region_bytes(context.sent)
        assert crossed == int(row['crossed']), (row, crossed)


@behave.then(
    'once "{vm}" is known in "{region}" its {count:d} bytes are counted'
)
def unlisted_counted(context, vm, region, count):
    context.traffic.set_region(vm, region)
    assert context.traffic.take_cross_region_bytes(context.sent) == count
