"""Steps for the prediction of output lengths."""

import behave
import hypothesis
from hypothesis import strategies

from eelgrassknot.policy import length

HOUR_MS = 3_600_000.0


def see(predictor, count, tokens, now_ms, complete=True):
    for _ in range(count):
        found = predictor.length_class('writer', 'hotel', 100, now_ms)
        found.record_start(now_ms)
        found.record_progress(0, tokens, now_ms)
        if complete:
            found.record_end(tokens, now_ms)


def chance(context, account='hotel'):
    now_ms = context.now_ms + 2_000.0
    found = context.predictor.length_class('writer', account, 100, now_ms)
    return found.probability_of_more(200, 0)


@behave.given('a predictor without observations')
def seen_nothing(context):
    context.now_ms = 0.0
    context.predictor = length.LengthPredictor()


@behave.given(
    'a predictor that has seen {count:d} outputs of {tokens:d} tokens'
)
def seen_outputs(context, count, tokens):
    seen_nothing(context)
    see(context.predictor, count, tokens, context.now_ms)


@behave.given('{count:d} more requests run at {tokens:d} tokens')
def more_run(context, count, tokens):
    see(context.predictor, count, tokens, context.now_ms, False)


@behave.when(
    'an hour passes and {count:d} outputs of {tokens:d} tokens are seen'
)
def hour_passes(context, count, tokens):
    context.now_ms += HOUR_MS
    see(context.predictor, count, tokens, context.now_ms)


@behave.then(
    'the probability of over 200 tokens is between {low:f} and {high:f}'
)
def chance_between(context, low, high):
    found = chance(context)
    assert low <= found <= high, found


@behave.then(
    'the probability of over 200 tokens for an unknown account is below 0.1'
)
def chance_unknown(context):
    assert chance(context, 'another') < 0.1


@behave.then(
    'for any observations probabilities lie in 0 to 1 and never increase'
)
def any_observations(context):
    lengths = strategies.lists(strategies.integers(1, 100_000), max_size=30)

    @hypothesis.settings(max_examples=50, derandomize=True, deadline=None)
    @hypothesis.given(lengths, lengths)
    def check(ended, running):
        predictor = length.LengthPredictor()
        for tokens in ended:
            see(predictor, 1, tokens, 0.0)
        for tokens in running:
            see(predictor, 1, tokens, 0.0, False)
        found = predictor.length_class('writer', 'hotel', 100, 5_000.0)
        chances = [found.probability_of_more(2**k, 0) for k in range(17)]
        assert all(0.0 <= c <= 1.0 for c in chances)
        assert chances == sorted(chances, reverse=True)

    check()
