"""Daemons with deliberate defects, to verify that checkers detect them.

This module is run instead of the daemon's module. The environment variable
``DEFECTS`` lists the defects, separated by commas.
"""

import os
import signal
import sys

from eelgrassknot import daemon
from eelgrassknot.frontend import errors
from eelgrassknot.frontend import openai
from eelgrassknot.frontend import operators
from eelgrassknot import http_client
from eelgrassknot.kernel import events
from eelgrassknot import states

__all__ = ['DEFECTS', 'VARIABLE']

VARIABLE = 'DEFECTS'
EVERY_TOKENS = 20
CUT_EXIT_CODE = 0


def _repeat_tokens():
    """Send every twentieth token twice."""
    _wrap_events(lambda token, event: event * _times(token))


def _times(token):
    return 2 if token.index % EVERY_TOKENS == EVERY_TOKENS - 1 else 1


def _omit_tokens():
    """Omit every twentieth token."""
    _wrap_events(lambda token, event: event * (2 - _times(token)))


def _wrap_events(change):
    plain = openai.AnswerEncoder.event_encoder

    def event_encoder(self, cursor):
        encode = plain(self, cursor)
        return lambda token: change(token, encode(token))

    openai.AnswerEncoder.event_encoder = event_encoder


def _repeat_calls():
    """Send every POST to an upstream twice."""
    plain = http_client.request

    def request(method, url, *args, **kwargs):
        # Requests to the platform are sent only once.
        if method == 'POST' and '/views/' not in url:
            plain(method, url, *args, **kwargs)
        return plain(method, url, *args, **kwargs)

    http_client.request = request


def _lie_not_run():
    """Report every unknown outcome as not run."""
    plain = errors.response

    def response(status, body, *args, **kwargs):
        if body.outcome is states.Outcome.UNKNOWN:
            body = errors.ErrorBody(
                type=states.Outcome.NOT_RUN.value,
                code=body.code,
                message=body.message,
                remedy=body.remedy,
                outcome=states.Outcome.NOT_RUN,
                request_id=body.request_id,
            )
        return plain(status, body, *args, **kwargs)

    errors.response = response


def _end_at_once():
    """Exit on SIGTERM without draining."""
    signal.signal = lambda *_: None


def _ignore_leaving():
    """Treat every upstream as live."""
    plain = events.UpstreamInfo.__init__

    def init(self, *args, **kwargs):
        plain(self, *args, **kwargs)
        object.__setattr__(self, 'state', states.UpstreamState.LIVE)

    events.UpstreamInfo.__init__ = init


def _revert_config():
    """Report a lower version in every second status document."""
    plain = operators.OperatorsPart.document
    asked = []

    def document(self):
        asked.append(None)
        told = plain(self)
        told['config_version'] -= len(asked) % 2
        return told

    operators.OperatorsPart.document = document


DEFECTS = {
    'repeat_tokens': _repeat_tokens,
    'omit_tokens': _omit_tokens,
    'repeat_calls': _repeat_calls,
    'lie_not_run': _lie_not_run,
    'end_at_once': _end_at_once,
    'ignore_leaving': _ignore_leaving,
    'revert_config': _revert_config,
}


def main():
    """Apply the defects and run the daemon."""
    for name in os.environ[VARIABLE].split(','):
        DEFECTS[name]()
    return daemon.main()


if __name__ == '__main__':
    sys.exit(main())
