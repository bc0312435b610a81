"""Runs random histories: ``python -m benchmarks.outcomes --seed 1``.

Requirement: no history violates an invariant.
"""

import sys
import time
import traceback

import hypothesis
from hypothesis import stateful
import typer

from tests import claim_simulation
from tests import generation_simulation

__all__ = ['main']

STEPS = 60


def _run(world: type[stateful.RuleBasedStateMachine], histories: int) -> bool:
    settings = hypothesis.settings(
        max_examples=histories,
        stateful_step_count=STEPS,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    started_s = time.monotonic()
    try:
        stateful.run_state_machine_as_test(world, settings=settings)
    except AssertionError:
        traceback.print_exc()
        return False
    lasted_s = time.monotonic() - started_s
    print(
        f'world={world.__name__} histories={histories} steps={STEPS}'
        f' violations=0 seconds={lasted_s:.0f}'
    )
    return True


def main(histories: int = 2_000, seed: int = 1) -> None:
    """Run both kinds of histories; exit with 1 if an invariant fails."""
    worlds = (
        hypothesis.seed(seed)(generation_simulation.GenerationHistories),
        hypothesis.seed(seed)(claim_simulation.ClaimHistories),
    )
    held = [_run(world, histories) for world in worlds]
    sys.exit(0 if all(held) else 1)


if __name__ == '__main__':
    typer.run(main)
