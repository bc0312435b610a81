"""Plots of the benchmark as SVG."""

import pathlib

import matplotlib

from benchmarks.policy import plan
from benchmarks.policy import table
from benchmarks.policy import workload

__all__ = ['draw']

SIZE_INCHES = (6.0, 4.0)
KINDS = {
    'stall': ('mean stall, ms', lambda f: f.stall_mean_ms),
    'gap-p99': ('token gap p99, ms', lambda f: f.gap_ms[2]),
}


def draw(found: table.FiguresByRun, folder: pathlib.Path) -> None:
    """Draw stall and gap tails against load for all policies.

    Args:
        found: All figures.
        folder: Where the files go.
    """
    matplotlib.use('svg')
    matplotlib.rcParams['svg.hashsalt'] = 'eelgrassknot'
    for name in workload.DEPLOYMENTS:
        for kind, (label, figure) in KINDS.items():
            path = folder / f'policy-{name}-{kind}.svg'
            _draw_one(found, name, label, figure, path)


def _draw_one(found, name: str, label: str, figure, path) -> None:
    from matplotlib import figure as figures

    drawing = figures.Figure(SIZE_INCHES)
    axes = drawing.subplots()
    for policy in plan.POLICIES:
        values = [figure(found[name, load, policy]) for load in plan.LOADS]
        percents = [100 * load for load in plan.LOADS]
        axes.plot(percents, values, marker='o', label=policy)
    axes.set_xlabel('load, percent of capacity')
    axes.set_ylabel(label)
    axes.set_title(name)
    axes.legend(fontsize='small')
    drawing.savefig(path, format='svg', metadata={'Date': None})
