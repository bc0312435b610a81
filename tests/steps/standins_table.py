"""Steps for the table of the platform's stand-in."""

import behave
import hypothesis
from hypothesis import strategies

from standins import table as tables

KEYS = ('a', 'b', 'c')


def _transactions():
    condition = strategies.tuples(
        strategies.sampled_from(KEYS),
        strategies.none() | strategies.integers(1, 4),
    )
    write = strategies.tuples(
        strategies.sampled_from(KEYS),
        strategies.none() | strategies.integers(),
    )
    transaction = strategies.tuples(
        strategies.lists(condition, max_size=2),
        strategies.lists(
            write, min_size=1, max_size=2, unique_by=lambda w: w[0]
        ),
    )
    return strategies.lists(transaction, max_size=15)


@behave.then('after any transactions the table equals a simple model')
def matches_model(context):
    @hypothesis.given(_transactions())
    @hypothesis.settings(max_examples=100, deadline=None)
    def holds(transactions):
        table = tables.Table()
        model = {}
        used = set()
        for conditions, writes in transactions:
            outcome = table.commit(
                tables.Transaction(
                    'id',
                    [tables.Condition('t', k, v) for k, v in conditions],
                    [tables.Write('t', k, v) for k, v in writes],
                )
            )
            met = all(
                model.get(k, (None, None))[1] == v for k, v in conditions
            )
            assert met != isinstance(outcome, tables.FailedCondition)
            if met:
                _apply(model, writes, outcome, used)
        rows = {r['key']: r for r in table.scan('t', '', '', None)}
        assert {
            k: (r['value'], r['version']) for k, r in rows.items()
        } == model

    holds()


def _apply(model, writes, versions, used):
    for key, value in writes:
        version = versions[f't/{key}']
        assert (key, version) not in used
        used.add((key, version))
        if value is None:
            model.pop(key, None)
        else:
            model[key] = (value, version)
