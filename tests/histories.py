"""Runs state machines of hypothesis the same way each time."""

import hypothesis
from hypothesis import stateful

__all__ = ['run_histories']


def run_histories(histories, machine_class, examples, step_count):
    """Run random histories of a state machine under test.

    The same histories are drawn in each run.

    Args:
        histories: Rule-based machine that drives ``machine_class``.
        machine_class: Class under test, or a broken variant of it.
        examples: Number of histories.
        step_count: Events in each.

    Raises:
        AssertionError: If a history breaks what is promised.
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
