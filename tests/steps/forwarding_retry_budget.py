"""Steps for the retry budget of streams."""

import behave

from tests import entry_process


@behave.given(
    'an entry VM with a retry ratio of {ratio:f} and a burst of {burst:d} '
    'over 6 VMs'
)
def given_budget(context, ratio, burst):
    context.entry = entry_process.EntryProcess(
        context.platform.address, retry_ratio=ratio, retry_burst=burst
    )
    context.add_cleanup(context.entry.stop)
    context.entry.wait_ready()


@behave.given('each engine turns all requests away')
def given_full_engines(context):
    for engine in context.engines:
        engine.faults = ['refusal'] * 1_000


@behave.given('the next response of w1 is a refusal')
def given_refusal(context):
    for engine in context.engines:
        if engine.name == 'w1':
            engine.faults = ['refusal']


@behave.given('each engine breaks all streams off after some events')
def given_broken_streams(context):
    for engine in context.engines:
        engine.faults = ['reset_stream'] * 1_000
        engine.continuation_fault = 'reset_stream'


@behave.when('{count:d} streams are sent one by one')
def send_streams(context, count):
    context.answers = []
    for number in range(count):
        headers = {
            'Request-Id': f'b{number}',
            'Credential': 'key-one',
            'Token-Counts': '1000,160',
            'Prompt-Prefix': f'{number:08x}:1000',
        }
        port = context.entry.ports['callers']
        with entry_process.Caller(port) as caller:
            context.answers.append(
                caller.ask('POST', '/write/x', headers, b'{}')
            )


@behave.then('the engines got at most {count:d} requests')
def few_arrivals(context, count):
    arrivals = sum(len(engine.seen) for engine in context.engines)
    assert len(context.answers) <= arrivals <= count, arrivals


@behave.then('each stream got 503, not run, with a Retry-After')
def all_refused(context):
    for answer in context.answers:
        assert answer.status == 503, answer
        assert answer.headers['x-outcome'] == 'not_run', answer.headers
        assert float(answer.headers['retry-after']) > 0, answer.headers


@behave.then('each stream is complete')
def all_complete(context):
    for answer in context.answers:
        assert answer.status == 200, answer
        assert answer.is_whole, answer


@behave.then('no stream is complete')
def none_complete(context):
    for answer in context.answers:
        assert answer.status == 200, answer
        assert not answer.is_whole, answer
