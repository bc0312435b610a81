"""Which runs the benchmark makes."""

import dataclasses

from benchmarks.policy import baselines
from benchmarks.policy import simulation
from benchmarks.policy import workload
from eelgrassknot.policy import placement

__all__ = [
    'LOADS',
    'THIS_POLICY',
    'POLICIES',
    'Plan',
    'Run',
    'capacity_scenario',
]

THIS_POLICY = 'eelgrassknot'
POLICIES = (*baselines.BASELINES, 'oracle', THIS_POLICY)
LOADS = (0.6, 0.85, 1.0, 1.2)
SPAN_MS = 300_000.0
MEASURE_FROM_MS = 80_000.0
SATURATING_RATE_PER_S = 30.0
FLOOD_FACTOR = 8.0
FLOOD_ACCOUNT = 'account-0'
SEEDS = (1, 2)
MIDDLE_MS = 160_000.0

DISTURBANCES = {
    'engine lost': simulation.Disturbance(lost_at_ms=MIDDLE_MS),
    'engine at a third': simulation.Disturbance(slow_at_ms=120_000.0),
    'reports 5 s old': simulation.Disturbance(report_lag_ms=5_000.0),
    'half the cache events': simulation.Disturbance(cache_events_lost=0.5),
    'longer outputs': simulation.Disturbance(shift_at_ms=MIDDLE_MS),
}

# Short questions with long answers: memory fills long after admission.
LONG_ANSWERS = simulation.Disturbance(
    shift_at_ms=0.0, shift_factor=8.0, prompt_factor=0.1
)
LONG_ANSWERS_LOAD = 0.22

ABLATIONS = {
    'forecast': {'forecast': False},
    'quantile': {'quantile': False},
    'affinity': {'affinity': False},
    'digests': {'digests': False},
    'feedback': {'feedback': False},
    'ejection': {'ejection': False},
    'fairness': {'fairness': False},
    'long-prompt lane': {'long_prompts': False},
    'more than two sampled': {'sample_size': 2},
}


@dataclasses.dataclass(frozen=True)
class Run:
    """One run of the benchmark.

    Attributes:
        part: Table in which it stands.
        label: Its line there.
        load: Share of capacity.
    """

    part: str
    label: str
    load: float
    scenario: simulation.Scenario


class Plan:
    """All runs, and the capacity that their rates follow from.

    Args:
        capacities: Requests a second that each deployment can serve, by
            (deployment, seed).

    Attributes:
        runs: The runs, the slow ones first.
    """

    def __init__(self, capacities: dict[tuple[str, int], float]) -> None:
        self.capacities = capacities
        self.runs: list[Run] = []
        for name in workload.DEPLOYMENTS:
            self._loads(name)
            self._objectives(name)
        self._disturbances('nadroga')
        self._flood('nadroga')
        self._ablations('nadroga')
        self._long_answers('nadroga')
        self.runs.sort(key=lambda run: run.scenario.policy != THIS_POLICY)

    def _add(
        self,
        part: str,
        label: str,
        name: str,
        policy: str,
        load: float,
        **more,
    ) -> None:
        for seed in SEEDS:
            rate_per_s = self.capacities[name, seed] * load
            scenario = simulation.Scenario(
                name,
                policy,
                rate_per_s,
                SPAN_MS,
                MEASURE_FROM_MS,
                seed,
                **more,
            )
            self.runs.append(Run(part, label, load, scenario))

    def _loads(self, name: str) -> None:
        for load in LOADS:
            for policy in POLICIES:
                self._add(name, policy, name, policy, load)

    def _objectives(self, name: str) -> None:
        for other, deployment in workload.DEPLOYMENTS.items():
            self._add(
                f'{name}, weights of',
                other,
                name,
                THIS_POLICY,
                1.0,
                objective=deployment.objective,
            )

    def _disturbances(self, name: str) -> None:
        for label, disturbance in DISTURBANCES.items():
            for policy in POLICIES:
                self._add(
                    f'{name}, {label}',
                    policy,
                    name,
                    policy,
                    0.85,
                    disturbance=disturbance,
                )

    def _flood(self, name: str) -> None:
        flood = simulation.Disturbance(
            flood_account=FLOOD_ACCOUNT, flood_factor=FLOOD_FACTOR
        )
        for policy in ('two-choices', THIS_POLICY):
            self._add(
                f'{name}, one account floods',
                policy,
                name,
                policy,
                0.85,
                disturbance=flood,
            )

    def _long_answers(self, name: str) -> None:
        part = f'{name}, long answers to short prompts'
        for policy in POLICIES:
            self._add(
                part,
                policy,
                name,
                policy,
                LONG_ANSWERS_LOAD,
                disturbance=LONG_ANSWERS,
            )
        for label in ('forecast', 'quantile', 'feedback'):
            options = placement.PlacementOptions(**ABLATIONS[label])
            self._add(
                part,
                f'without {label}',
                name,
                THIS_POLICY,
                LONG_ANSWERS_LOAD,
                disturbance=LONG_ANSWERS,
                options=options,
            )

    def _ablations(self, name: str) -> None:
        for label, changes in ABLATIONS.items():
            options = placement.PlacementOptions(**changes)
            self._add(
                f'{name}, without',
                label,
                name,
                THIS_POLICY,
                1.0,
                options=options,
            )


def capacity_scenario(name: str, seed: int) -> simulation.Scenario:
    """Return the run that finds out a deployment's capacity."""
    return simulation.Scenario(
        name,
        'oracle',
        SATURATING_RATE_PER_S,
        SPAN_MS,
        MEASURE_FROM_MS,
        seed,
        saturate=True,
    )
