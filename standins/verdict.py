"""Result of a round."""

import collections
import dataclasses
import pathlib

from standins import checkers
from standins import degradation

__all__ = ['RoundResult']


@dataclasses.dataclass(frozen=True)
class RoundResult:
    """Result of a round; ``str`` gives a one-line summary."""

    seed: int
    deployment: str
    faults: tuple[str, ...]
    streams: collections.Counter
    calls: collections.Counter
    violations: tuple[checkers.Violation, ...]
    seconds: float
    trace: pathlib.Path
    served: tuple[degradation.OutcomeSummary, ...]

    def __str__(self) -> str:
        verdict = 'violated' if self.violations else 'held'
        return (
            f'round seed={self.seed} deployment={self.deployment}'
            f' faults={"+".join(self.faults)}'
            f' streams={_counts(self.streams)} calls={_counts(self.calls)}'
            f' seconds={self.seconds:.0f} violations='
            f'{len(self.violations)} verdict={verdict}'
        )


def _counts(counter: collections.Counter) -> str:
    return ','.join(f'{name}:{n}' for name, n in sorted(counter.items()))
