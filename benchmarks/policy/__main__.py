"""Runs the policy benchmark: ``python -m benchmarks.policy``.

Prints the tables and the checks of the stated targets, and exits 1 when
a target is missed. ``--plots DIRECTORY`` draws the figures as SVG.
"""

import collections
from concurrent import futures
import pathlib
import sys
import time

from benchmarks.policy import decision_cost
from benchmarks.policy import measures
from benchmarks.policy import plan
from benchmarks.policy import plots
from benchmarks.policy import simulation
from benchmarks.policy import table
from benchmarks.policy import targets
from benchmarks.policy import workload

__all__ = ['main']

WORKERS = 6
MS_PER_S = 1_000.0


def main(arguments: list[str]) -> int:
    """Run all and return the exit code.

    Args:
        arguments: ``--plots DIRECTORY`` or nothing.
    """
    started = time.monotonic()
    costs = decision_cost.measure()
    with futures.ProcessPoolExecutor(WORKERS) as pool:
        capacities = _capacities(pool)
        runs = plan.Plan(capacities).runs
        scenarios = [run.scenario for run in runs]
        results = list(pool.map(run_one, scenarios))
    found = _gather(runs, results)
    for part in sorted({key[0] for key in found}):
        print(table.render(part, found))
    print(decision_cost.render(costs))
    checks = targets.evaluate(found) + decision_cost.checks(costs)
    print(table.render_checks(checks))
    if '--plots' in arguments:
        folder = pathlib.Path(arguments[arguments.index('--plots') + 1])
        plots.draw(found, folder)
    print(f'took {time.monotonic() - started:.0f} s')
    return 0 if all(check.met for check in checks) else 1


def run_one(scenario: simulation.Scenario) -> measures.Figures:
    """Run a scenario in this process."""
    return simulation.Simulation(scenario).run()


def _capacities(pool) -> dict[tuple[str, int], float]:
    keys = [(n, seed) for n in workload.DEPLOYMENTS for seed in plan.SEEDS]
    scenarios = [plan.capacity_scenario(*key) for key in keys]
    capacities = {}
    for key, figures in zip(keys, pool.map(run_one, scenarios)):
        span_s = (plan.SPAN_MS - plan.MEASURE_FROM_MS) / MS_PER_S
        tokens_per_s = sum(figures.account_tokens.values()) / span_s
        mean = workload.mean_output_tokens(workload.DEPLOYMENTS[key[0]], 1)
        capacities[key] = tokens_per_s / mean
        print(f'capacity {key[0]} seed {key[1]}: {capacities[key]:.2f}/s')
    return capacities


def _gather(runs: list[plan.Run], results: list) -> table.FiguresByRun:
    several: dict[tuple, list] = collections.defaultdict(list)
    for run, figures in zip(runs, results):
        several[run.part, run.load, run.label].append(figures)
    return {k: measures.mean_figures(v) for k, v in several.items()}


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
