"""Runs hypothesis state machines deterministically from steps."""

import hypothesis
from hypothesis import stateful

__all__ = ['assert_caught', 'run']

_STEPS = 24


def run(machine, examples=100):
    """Search for a sequence of events that violates an invariant."""
    settings = hypothesis.settings(
        derandomize=True,
        deadline=None,
        max_examples=examples,
        stateful_step_count=_STEPS,
        report_multiple_bugs=False,
        phases=[hypothesis.Phase.generate],
    )
    stateful.run_state_machine_as_test(machine, settings=settings)


def assert_caught(machine, examples=300):
    """Assert that a faulty variant violates an invariant."""
    try:
        run(machine, examples)
    except AssertionError:
        return
    raise AssertionError('no invariant was violated by the faulty variant')
