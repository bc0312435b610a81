"""Steps for log lines and the log writer."""

import ast
import io
import threading

import behave

from eelgrassknot import log_writer
from eelgrassknot import logs


@behave.then('the log line of {value} is "{line}"')
def log_line_is(context, value, line):
    found = logs.format_pairs('e', {'key': ast.literal_eval(value)})
    assert found == line.replace('\\\\', '\\'), found
    assert len(found.splitlines()) == 1


class _BlockingStream(io.StringIO):
    """A stream that blocks until it is released."""

    def __init__(self):
        super().__init__()
        self.released = threading.Event()

    def write(self, text):
        self.released.wait()
        return super().write(text)


@behave.given('a log writer whose stream blocks')
def blocking_writer(context):
    context.stream = _BlockingStream()
    context.writer = log_writer.LogWriter(context.stream, 10**9)


@behave.when(
    '{ordinary:d} ordinary lines and {warnings:d} warnings are logged'
)
def many_lines(context, ordinary, warnings):
    for number in range(ordinary):
        context.writer.write(f'level=INFO n={number}\n')
    for number in range(warnings):
        context.writer.write(f'level=WARNING n={number}\n')


@behave.then('no caller was blocked and the warnings are kept')
def no_caller_blocked(context):
    assert not context.stream.released.is_set()
    context.stream.released.set()
    context.writer.close(5.0)
    assert context.stream.getvalue().count('level=WARNING n=') == 100


@behave.given('a log writer limited to 100 lines a second')
def limited_writer(context):
    context.stream = io.StringIO()
    context.now_s = 10.0
    context.writer = log_writer.LogWriter(
        context.stream, 100, lambda: context.now_s
    )


@behave.when(
    '{ordinary:d} ordinary lines and {warnings:d} warnings are logged in '
    'one second'
)
def lines_in_second(context, ordinary, warnings):
    for number in range(ordinary):
        context.writer.write(f'level=INFO n={number}\n')
    for number in range(warnings):
        context.writer.write(f'level=WARNING n={number}\n')
    context.writer.close()


@behave.then(
    '{ordinary:d} ordinary lines, {warnings:d} warnings and one count of '
    '{count:d} are written'
)
def lines_written(context, ordinary, warnings, count):
    text = context.stream.getvalue()
    assert text.count('level=INFO') == ordinary, text.count('level=INFO')
    assert text.count('level=WARNING n=') == warnings
    assert text.count(f'event=lines_left_out count={count}\n') == 1


@behave.when(
    '500 ordinary lines and the end of a process are logged in one second'
)
def process_ends(context):
    for number in range(500):
        context.writer.write(f'level=INFO event=call_ended number={number}\n')
    for name in ('draining', 'drained', 'stopped'):
        context.writer.write(f'level=INFO event={name} vm=a\n')
    context.writer.close()


@behave.then('the lines on the end are written')
def end_is_written(context):
    written = context.stream.getvalue()
    for name in ('draining', 'drained', 'stopped'):
        assert f'event={name} ' in written, written[-500:]
