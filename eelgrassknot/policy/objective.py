"""Knobs of placement as they follow from a service's stated objective."""

import dataclasses

from eelgrassknot.settings import text as services_text

__all__ = ['Knobs', 'knobs']

BASE_DEVIATIONS = 0.0
STALL_DEVIATIONS = 2.0
SLOWEST_TOKEN_GAP_MS = 70.0
TAIL_TOKEN_GAP_MS = 50.0
LANE_WEIGHT = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Knobs:
    """How placement weighs one service's requests.

    Attributes:
        deviations: Standard deviations of memory kept free on top of the
            expected use.
        token_gap_ms: Token gap above which an engine's concurrency is
            lowered.
        memory_weight: Weight of expected memory in the choice of engine.
        batch_weight: Weight of an engine's batch size in that choice.
        lane_weight: Cost of an engine where a prompt of this size delays
            more streams than it needs to.
    """

    deviations: float
    token_gap_ms: float
    memory_weight: float
    batch_weight: float
    lane_weight: float


def knobs(objective: services_text.Objective) -> Knobs:
    """Return the knobs of an objective.

    Args:
        objective: Weights of stall time, preemptions and the token-gap
            tail; only their proportions matter.
    """
    total = (
        objective.stall + objective.preemption + objective.token_gap_tail
    ) or 1.0
    memory = (objective.stall + objective.preemption) / total
    tail = objective.token_gap_tail / total
    return Knobs(
        deviations=BASE_DEVIATIONS + STALL_DEVIATIONS * memory,
        token_gap_ms=SLOWEST_TOKEN_GAP_MS - TAIL_TOKEN_GAP_MS * tail,
        memory_weight=memory,
        batch_weight=tail,
        lane_weight=LANE_WEIGHT * tail,
    )
