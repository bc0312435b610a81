"""Steps for texts as values of header fields."""

import doctest

import behave
import h11
import hypothesis
from hypothesis import strategies
import msgspec

from eelgrassknot import decoding
from eelgrassknot import field_values

TEXTS = strategies.text(
    strategies.one_of(
        strategies.characters(),
        strategies.sampled_from(' \t\r\n\0\x7f\u0085\u00a0\ud800éß한'),
    ),
    max_size=8,
)
VALUES = strategies.one_of(
    strategies.binary(max_size=8).filter(lambda value: b'\0' not in value),
    TEXTS.filter(field_values.is_valid).map(field_values.encode),
)


def _check(strategy, count, check):
    settings = hypothesis.settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    settings(hypothesis.given(strategy)(check))()


@behave.then(
    '{count:d} generated texts are either invalid or decoded as they were'
)
def decoded_texts(context, count):
    def check(text):
        if field_values.is_valid(text):
            assert field_values.decode(field_values.encode(text)) == text
            return
        try:
            field_values.encode(text)
        except ValueError:
            return
        raise AssertionError(ascii(text))

    _check(TEXTS, count, check)


@behave.then(
    '{count:d} generated texts that are valid are received as they were sent'
)
def received_texts(context, count):
    def check(text):
        sender = h11.Connection(h11.CLIENT)
        receiver = h11.Connection(h11.SERVER)
        head = h11.Request(
            method='GET',
            target='/',
            headers=[('Host', 'a'), ('X-Name', field_values.encode(text))],
        )
        receiver.receive_data(sender.send(head))
        received = dict(receiver.next_event().headers)
        assert len(received) == 2, received
        assert field_values.decode(received[b'x-name']) == text, received

    _check(TEXTS.filter(field_values.is_valid), count, check)


@behave.then(
    '{count:d} generated values are encoded again from the texts that '
    'identify them'
)
def identified_values(context, count):
    context.texts = set()

    def check(value):
        text = field_values.decode_opaque(value)
        assert field_values.encode_opaque(text) == value
        context.texts.add(text)

    _check(VALUES, count, check)


@behave.then('these texts can be written to JSON')
def texts_in_json(context):
    texts = sorted(context.texts)
    document = msgspec.json.encode(texts)
    assert msgspec.json.decode(document, type=list[str]) == texts


@behave.then('the examples of the modules field_values and decoding hold')
def examples_hold(context):
    for module in (field_values, decoding):
        outcome = doctest.testmod(module)
        assert outcome.attempted > 0 and outcome.failed == 0, outcome
