"""Steps for explaining requests from logs."""

import json
import pathlib
import tempfile

import behave

from eelgrassknot import logs
from eelgrassknot.reporting import explanation
from tests import cli_process


def _line(second, event, **pairs):
    fields = ' '.join(f'{name}={value}' for name, value in pairs.items())
    time = f'2026-01-01T00:00:{second:02d}.000Z'
    return f'time={time} level=INFO event={event} {fields}'


@behave.given(
    'logs of two VMs with a request that ended with reason {reason:w}'
)
def logs_of_two(context, reason):
    leaving = {'upstream': 'e1', 'state': 'leaving'}
    context.logs = [
        [
            _line(9, 'stream_ended', request='q1', reason=reason),
            _line(2, 'stream_sent', request='q1', upstream='e1'),
            _line(5, 'upstream_listed', **leaving),
            'Traceback: not a log line',
        ],
        [
            _line(6, 'upstream_listed', **leaving),
            _line(1, 'upstream_listed', upstream='e1', state='live'),
            _line(3, 'call_ended', request='q2', reason='status_200'),
        ],
    ]


def _all(context):
    return [line for log in context.logs for line in log]


@behave.when('the request is explained')
def explained(context):
    context.found = explanation.explain('q1', _all(context))


@behave.then('the cause names "{words}" and the timeline is in order')
def cause_names(context, words):
    assert words in context.found.cause, context.found.cause
    times = [line.time for line in context.found.timeline]
    assert times == sorted(times) and len(times) == 3, times


@behave.then('the timeline shows once that the upstream is leaving')
def one_leaving(context):
    found = [
        line
        for line in context.found.timeline
        if line.pairs['event'] == 'upstream_listed'
    ]
    assert len(found) == 1 and '00:00:05' in found[0].time, found


@behave.then(
    'explaining the request "{request}" reports that no line names it'
)
def not_named(context, request):
    found = explanation.explain(request, _all(context))
    assert 'no line names' in found.cause and not found.timeline


@behave.then('the command explain prints the cause as text and as JSON')
def command_prints(context):
    with tempfile.TemporaryDirectory() as folder:
        for number, log in enumerate(context.logs):
            path = pathlib.Path(folder) / f'vm-{number}.log'
            path.write_text('\n'.join(log))
        files = ['vm-0.log', 'vm-1.log']
        plain = cli_process.run_cli(['explain', 'q1', *files], folder)
        assert plain.returncode == 0, plain.stderr
        assert 'cause: the upstream connection broke' in plain.stdout, (
            plain.stdout
        )
        result = cli_process.run_cli(
            ['explain', '--json', 'q1', *files], folder
        )
        assert json.loads(result.stdout)['reason'] == 'upstream_lost'


@behave.given('the log of a VM with a request whose ID is {request}')
def log_of_request(context, request):
    pairs = {'request': request, 'reason': 'deadline'}
    line = logs.format_pairs('call_ended', pairs)
    context.request = request
    context.lines = [f'time=2026-01-01T00:00:01.000Z level=INFO {line}']


@behave.then('explaining it by that ID gives the cause {reason:w}')
def explained_by_id(context, reason):
    found = explanation.explain(context.request, context.lines)
    assert found.reason == reason, found
