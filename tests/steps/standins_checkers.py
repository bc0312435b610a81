"""Steps for the checkers, with valid histories and violations."""

import copy

import behave
import hypothesis
from hypothesis import strategies

from standins import checkers
from standins import engine_model
from standins import history as histories

TOKENS = 6


def _token(request, generation, index):
    text = engine_model.token_text(request, generation, index).strip()
    return histories.ReceivedToken(text, 100.0 + index)


def _sound():
    tokens = [_token('s1', 'g1', i) for i in range(TOKENS)]
    call = histories.CallRecord
    return histories.History(
        streams=[
            histories.StreamRecord(
                's1', TOKENS, 0.0, 200.0, tokens, 'done', ['nadi-1']
            ),
            histories.StreamRecord('s2', 9, 0.0, 5.0, [], 'not_run'),
        ],
        calls=[
            call('c1', None, False, 'a', 0.0, outcome='done', answer='a'),
            call('c2', 'k', False, 'b', 0.0, outcome='unknown'),
            call('c3', 'k', False, 'b', 9.0, outcome='done', answer='b'),
            call('c4', None, False, 'c', 0.0, outcome='not_run'),
            call('c5', None, True, '', 0.0, outcome='done', answer=''),
        ],
        generations=[
            histories.EngineGeneration('e1', 'g1', 's1', 9.0, TOKENS, 'done'),
            histories.EngineGeneration('e2', 'g2', 's2', 9.0, 0, 'cancelled'),
        ],
        executions=[
            histories.Execution('p1', 'c1', None, 'POST', 10.0),
            histories.Execution('p1', 'c2', 'k', 'POST', 10.0),
            histories.Execution('p1', 'c5', None, 'GET', 10.0),
            histories.Execution('p2', 'c5', None, 'GET', 11.0),
        ],
        leaving=[histories.UpstreamDeparture('e1', 8.0, 1e9)],
        configs=[
            histories.ConfigObservation('nadi-1', 'i1', 2, 10.0),
            histories.ConfigObservation('nadi-1', 'i2', 1, 20.0),
            histories.ConfigObservation('nadi-1', 'i2', 2, 90.0),
        ],
        accepted={'2': 5.0},
        drained={'nadi-2': 0},
        connections_kept=True,
    )


def _repeat(h):
    h.streams[0].tokens.insert(2, h.streams[0].tokens[2])
    h.streams[0].wanted_tokens += 1


def _omit(h):
    del h.streams[0].tokens[2]
    h.streams[0].wanted_tokens -= 1


def _swap(h):
    tokens = h.streams[0].tokens
    tokens[2], tokens[3] = tokens[3], tokens[2]


def _mix(h):
    h.streams[0].tokens[-1] = _token('s1', 'g9', TOKENS - 1)


def _cross(h):
    h.streams[0].tokens = [_token('s7', 'g1', i) for i in range(TOKENS)]


def _execute(h, request, key):
    h.executions.append(histories.Execution('p1', request, key, 'POST', 50.0))


def _answer_twice(h):
    again = copy.copy(h.calls[2])
    again.status = 500
    h.calls.append(again)


def _begin_late(h):
    h.generations.append(
        histories.EngineGeneration('e1', 'g8', 's8', 9_000.0, 1, 'running')
    )


def _ran(h):
    h.generations[1].produced = 1


def _behind(h):
    h.configs.append(histories.ConfigObservation('nadi-3', 'i4', 1, 20_000.0))


def _fall(h):
    h.configs.append(histories.ConfigObservation('nadi-1', 'i2', 1, 95.0))


BREAKS = {
    'a token delivered twice': _repeat,
    'a missing token': _omit,
    'two tokens in the wrong order': _swap,
    'a token of another generation': _mix,
    'tokens of another request': _cross,
    'an end before the last token': lambda h: h.streams[0].tokens.pop(),
    'the answer of another call': lambda h: setattr(h.calls[0], 'answer', 'b'),
    'two answers to one key': _answer_twice,
    'a refused call that ran': lambda h: _execute(h, 'c4', None),
    'a refused generation that ran': _ran,
    'a keyed call that ran twice': lambda h: _execute(h, 'c3', 'k'),
    'an unkeyed call that ran twice': lambda h: _execute(h, 'c1', None),
    'an answer to a call that never ran': lambda h: h.executions.pop(0),
    'new work on a leaving upstream': _begin_late,
    'a drain that fails': lambda h: h.drained.update({'nadi-2': 1}),
    'an answer that never comes': lambda h: setattr(
        h.calls[1], 'outcome', 'cut'
    ),
    'a request cut by a drain': lambda h: h.cut_by_drain.append('s1'),
    'a decreasing config version': _fall,
    'a config that does not propagate': _behind,
}


@behave.given('a valid history of a round')
def given_sound(context):
    context.history = _sound()


@behave.when('the history is changed to contain {fault}')
def break_history(context, fault):
    BREAKS[fault](context.history)


@behave.then('the checkers find no violation')
def find_nothing(context):
    assert checkers.check(context.history) == []


@behave.then('only the checker {name} finds a violation')
def only_finds(context, name):
    found = {v.checker for v in checkers.check(context.history)}
    assert found == {name}, found


@behave.then(
    'any token dropped, repeated or swapped in any answer is detected'
)
def any_change_is_caught(context):
    @hypothesis.given(
        strategies.integers(0, TOKENS - 2),
        strategies.sampled_from(('drop', 'repeat', 'swap')),
    )
    @hypothesis.settings(max_examples=40, deadline=None)
    def caught(place, change):
        history = copy.deepcopy(_sound())
        tokens = history.streams[0].tokens
        match change:
            case 'drop':
                del tokens[place]
            case 'repeat':
                tokens.insert(place, tokens[place])
            case 'swap':
                pair = tokens[place : place + 2]
                tokens[place : place + 2] = reversed(pair)
        found = {v.checker for v in checkers.check(history)}
        assert 'tokens_once_in_order' in found

    caught()
