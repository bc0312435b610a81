"""Runs Hypothesis state machines deterministically."""

import hypothesis
from hypothesis import stateful

__all__ = ['run_histories']


def run_histories(histories, machine_class, examples, step_count):
    """Run random histories of a state machine under test.

    Each run generates the same histories.

    Args:
        histories: Rule-based state machine that drives ``machine_class``.
        machine_class: Class under test, or a faulty variant of it.
        examples: Number of histories.
        step_count: Number of events in each history.

    Raises:
        AssertionError: If a history violates an invariant.
    """
    driven = type('Histories', (histories,), {'machine_class': machine_class})
    stateful.run_state_machine_as_test(
        driven,
        settings=hypothesis.settings(
            max_examples=examples,
            stateful_step_count=step_count,
            derandomize=True,
            database=None,
            deadline=None,
            report_multiple_bugs=False,
            phases=[hypothesis.Phase.generate],
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )
