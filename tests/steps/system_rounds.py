"""Steps for fault rounds with real processes."""

import pathlib

import behave

from standins import checkers
from standins import rounds
from tests.system import controls

DIRECTORY = pathlib.Path('run/features')
ALL_DEFECTS = (
    'repeat_tokens',
    'repeat_calls',
    'lie_not_run',
    'end_at_once',
    'revert_config',
)
ALL_FAULTS = ('daemon_drained', 'plain_closed')


@behave.when(
    'a small round of {deployment} with seed {seed:d} runs with {faults}'
)
def run_small_round(context, deployment, seed, faults):
    context.verdict = rounds.Round(
        seed,
        DIRECTORY,
        tuple(faults.split(',')),
        deployment=deployment,
        profile=rounds.SHORT_PROFILE,
        is_small=True,
    ).run()


@behave.then('no checker finds a violation')
def no_violation(context):
    # Bounds on elapsed time are checked by `make soak` only, because the
    # result of this test must not depend on the load of the machine.
    found = [
        str(violation)
        for violation in context.verdict.violations
        if violation.checker not in checkers.TIMED_CHECKERS
    ]
    assert not found, (found, str(context.verdict.trace))


@behave.then('streams and calls were answered')
def were_answered(context):
    assert context.verdict.streams['done'] > 0, context.verdict
    assert context.verdict.calls['done'] > 0, context.verdict


@behave.when('a small round runs with daemons that have all defects')
def run_broken_round(context):
    context.fired = controls.run_control(
        ALL_DEFECTS, ALL_FAULTS, rounds.SHORT_PROFILE, is_small=True
    )


@behave.then('these checkers find violations:')
def checkers_fire(context):
    missing = {row['checker'] for row in context.table} - context.fired
    assert not missing, missing
