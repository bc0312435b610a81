"""Steps on the form of log lines."""

import ast

import behave

from eelgrassknot import logs


@behave.then('the log line of {value} is "{line}"')
def log_line_is(context, value, line):
    found = logs.format_pairs('e', {'key': ast.literal_eval(value)})
    assert found == line.replace('\\\\', '\\'), found
    assert len(found.splitlines()) == 1
