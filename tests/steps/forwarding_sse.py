"""Steps for the events of a stream, without a network."""

import types
import unittest.mock

import behave

from eelgrassknot.forwarding import stream_attempt

REQUEST = 'r1'


def _stream_attempt():
    """Return an attempt that has got its head, and its driver."""
    driver = unittest.mock.MagicMock()
    driver.now_ms.return_value = 0.0
    driver.context.dialect.is_signed.return_value = True
    send = types.SimpleNamespace(
        attempt=1, upstream=unittest.mock.Mock(), continue_from=None
    )
    attempt = stream_attempt.StreamAttempt(driver, send)
    attempt.upstream_attempt = unittest.mock.Mock(is_over=False)

    def reject(reason):
        attempt.upstream_attempt.is_over = True

    attempt.upstream_attempt.reject.side_effect = reject
    attempt.response_started(attempt.upstream_attempt, 200, [])
    return attempt, driver


def _receive(attempt, data):
    """Receive a part of the body as an attempt on a connection does."""
    sent = attempt.upstream_attempt
    attempt.response_data(sent, data)
    while not sent.is_over and attempt.handle_next_event(sent):
        pass


@behave.given(
    'an engine that sends an event whose ID has {digits:d} digits, then one '
    'with the ID 1'
)
def given_long_id(context, digits):
    context.data = b'id: %s\ndata: x\n\nid: 1\ndata: y\n\n' % (b'7' * digits)


def _event(text):
    return text.encode().decode('unicode_escape').encode() + b'\n\n'


@behave.given('an engine that sends {begin}, then {count:d} times {event}')
def given_events(context, begin, count, event):
    context.data = _event(begin) + _event(event) * count


@behave.given(
    'an engine that sends {count:d} events with increasing IDs and {field}'
)
def given_increasing(context, count, field):
    context.data = b''.join(
        _event(f'{field}\nid: {index}') for index in range(1, count + 1)
    )


@behave.given(
    'an engine that sends {count:d} times {comments:d} comments and an event'
)
def given_comments(context, count, comments):
    comment = b': still here\n\n'
    context.data = (comment * comments + b'data: x\n\n') * count


@behave.when('the response of the engine has been received')
def receive(context):
    context.attempt, context.driver = _stream_attempt()
    _receive(context.attempt, context.data)


@behave.then('the events have the IDs {found}')
def has_ids(context, found):
    expected = [
        None if text == 'none' else int(text) for text in found.split(', ')
    ]
    calls = context.driver.event_received.call_args_list
    assert [call.args[1] for call in calls] == expected, calls


@behave.then('the handling of the response {outcome}')
def response_outcome(context, outcome):
    is_over = context.attempt.upstream_attempt.is_over
    assert is_over == (outcome == 'is cut off'), outcome
