"""Steps for the engine simulation, with time controlled by the test."""

import behave
import hypothesis
from hypothesis import strategies

from standins import engine_model


def _engine(kv_tokens):
    config = engine_model.EngineConfig(kv_tokens_total=kv_tokens)
    return engine_model.EngineModel(config, seed=1)


def _submit(engine, name, tokens, is_interactive=True):
    return engine.submit(
        name, f'r-{name}', f'tokens={tokens}', None, is_interactive, 0
    )


def _run(engine, limit_ms=600_000.0):
    events = engine.advance(limit_ms)
    assert not engine.running and not engine.waiting
    return events


def _ends(events):
    return [h.generation for h in events if isinstance(h, engine_model.Ended)]


def _preempted_ids(events):
    return {
        h.generation for h in events if isinstance(h, engine_model.Preempted)
    }


@behave.then(
    'any batch produces every token once, in order, within its memory'
)
def any_batch(context):
    job = strategies.tuples(strategies.integers(1, 80), strategies.booleans())

    @hypothesis.given(
        strategies.lists(job, min_size=1, max_size=12),
        strategies.integers(90, 400),
    )
    @hypothesis.settings(max_examples=40, deadline=None)
    def holds(jobs, kv_tokens):
        engine = _engine(kv_tokens)
        for number, (tokens, is_interactive) in enumerate(jobs):
            _submit(engine, str(number), tokens, is_interactive)
        seen = {str(number): [] for number in range(len(jobs))}
        now_ms = 0.0
        while engine.running or engine.waiting:
            now_ms += 10.0
            for event in engine.advance(now_ms):
                if isinstance(event, engine_model.Token):
                    seen[event.generation].append(event.index)
            alone = len(engine.running) == 1
            assert alone or engine.kv_tokens_used() <= kv_tokens
            assert now_ms < 1_000_000
        for number, (tokens, _) in enumerate(jobs):
            assert seen[str(number)] == list(range(tokens))

    holds()


@behave.given('an engine with memory for {kv_tokens:d} tokens')
def given_engine(context, kv_tokens):
    context.engine = _engine(kv_tokens)


@behave.when(
    'generations "{first}" and "{second}" of {tokens:d} tokens each are '
    'submitted'
)
def submit_two(context, first, second, tokens):
    context.expected = tokens
    for name in (first, second):
        _submit(context.engine, name, tokens)


@behave.when('a batch generation "{name}" of {tokens:d} tokens is submitted')
def submit_batch(context, name, tokens):
    _submit(context.engine, name, tokens, is_interactive=False)
    context.engine.advance(400.0)


@behave.when(
    'an interactive generation "{name}" of {tokens:d} tokens is submitted'
)
def submit_interactive(context, name, tokens):
    _submit(context.engine, name, tokens)


@behave.then('"{victim}" is preempted and "{first}" ends first')
def preempted(context, victim, first):
    events = _run(context.engine)
    assert _preempted_ids(events) == {victim}
    assert _ends(events)[0] == first


@behave.then('both end with {tokens:d} tokens')
def both_end(context, tokens):
    produced = [g.produced for g in context.engine.generations.values()]
    assert produced == [tokens, tokens]


@behave.when('the same prompt of {size:d} bytes is run twice')
def run_twice(context, size):
    prompt = 'tokens=1 ' + 'x' * size
    context.waits = []
    for begin_ms in (0.0, 100_000.0):
        engine = context.engine
        engine.advance(begin_ms)
        engine.submit(f'g{begin_ms}', 'r', prompt, None, True, begin_ms)
        token = engine.advance(begin_ms)
        token = engine.advance(begin_ms + 50_000.0)[0]
        context.waits.append(token.at_ms - begin_ms)


@behave.then('the first token of the second run takes less time')
def comes_sooner(context):
    first, second = context.waits
    assert second < first, context.waits


@behave.when('generation "{name}" is submitted twice')
def submit_twice(context, name):
    assert _submit(context.engine, name, 5) is _submit(context.engine, name, 7)


@behave.then('it produces its tokens once')
def produces_once(context):
    assert len(_run(context.engine)) == 5 + 1


@behave.when('generation "{name}" is cancelled while it is running')
def cancel_midway(context, name):
    _submit(context.engine, name, 50)
    context.engine.advance(0.0)
    assert context.engine.advance(200.0)
    context.engine.cancel(name, 200.0)


@behave.then('no memory is used and no further tokens are produced')
def holds_nothing(context):
    assert context.engine.kv_tokens_used() == 0
    assert context.engine.advance(10_000.0) == []
