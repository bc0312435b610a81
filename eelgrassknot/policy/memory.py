"""Forecast of an engine's memory from what its requests may grow to.

At each horizon (in tokens produced from now) a request holds its context
and its growth if it is still running then, and nothing otherwise. The
sum over the requests of an engine has a mean and a variance; placement
asks for a quantile of it, since the mean overflows half of the time.
"""

import dataclasses
import math

from eelgrassknot.policy import length

__all__ = [
    'HORIZONS_TOKENS',
    'Footprint',
    'MemoryForecast',
    'footprint',
    'new_footprint',
]

HORIZONS_TOKENS = (0, 128, 512, 2_048, 8_192)
_COUNT = len(HORIZONS_TOKENS)
_INDEXES = range(_COUNT)


@dataclasses.dataclass(frozen=True, slots=True)
class Footprint:
    """What one request holds at each horizon, in tokens of memory.

    Attributes:
        means: Expected tokens.
        variances: Variances of the tokens.
    """

    means: tuple[float, ...]
    variances: tuple[float, ...]


def footprint(
    length_class: length.LengthClass,
    prompt_tokens: int,
    produced: int,
    max_tokens: int,
) -> Footprint:
    """Return what a request is expected to hold.

    Args:
        length_class: Class whose lengths it follows.
        prompt_tokens: Size of its prompt.
        produced: Tokens produced so far.
        max_tokens: Bound on its output.
    """
    context = prompt_tokens + produced
    finest = length_class.finest
    here = finest.survival_at(produced)
    means = [float(context)]
    variances = [0.0]
    for ahead in HORIZONS_TOKENS[1:]:
        if produced + ahead >= max_tokens:
            chance = 0.0
        elif here <= 1e-9:
            chance = 0.5
        else:
            chance = finest.survival_at(produced + ahead) / here
        held = context + ahead
        mean = held * chance
        means.append(mean)
        variances.append(mean * (held - mean))
    return Footprint(tuple(means), tuple(variances))


def new_footprint(
    length_class: length.LengthClass, prompt_tokens: int, max_tokens: int
) -> Footprint:
    """Return what a request that has not started is expected to hold."""
    if max_tokens <= HORIZONS_TOKENS[-1]:
        return footprint(length_class, prompt_tokens, 0, max_tokens)
    means = []
    variances = []
    chances = length_class.chances_at(HORIZONS_TOKENS)
    for ahead, chance in zip(HORIZONS_TOKENS, chances):
        held = prompt_tokens + ahead
        mean = held * chance
        means.append(mean)
        variances.append(mean * (held - mean))
    return Footprint(tuple(means), tuple(variances))


class MemoryForecast:
    """Sum of the footprints of some requests.

    Attributes:
        count: How many requests are in the sum.
    """

    __slots__ = ('count', 'means', 'variances')

    def __init__(self) -> None:
        self.count = 0
        self.means = [0.0] * _COUNT
        self.variances = [0.0] * _COUNT

    def add(self, added: Footprint, sign: int = 1) -> None:
        """Add a footprint, or take it out with ``sign`` -1."""
        self.count += sign
        means = self.means
        variances = self.variances
        for index in _INDEXES:
            means[index] += sign * added.means[index]
            variances[index] += sign * added.variances[index]

    def add_scaled(self, other: 'MemoryForecast', factor: float) -> None:
        """Add another forecast, multiplied by a factor."""
        for index in _INDEXES:
            self.means[index] += factor * other.means[index]
            self.variances[index] += factor * other.variances[index]

    def add_between(
        self,
        other: 'MemoryForecast',
        now_factor: float,
        later_factor: float,
        later: int,
    ) -> None:
        """Add another forecast by a factor that changes on the way.

        Args:
            other: The forecast.
            now_factor: Factor at the first horizon.
            later_factor: Factor at the horizon ``later`` and beyond.
            later: Index of that horizon.
        """
        for index in _INDEXES:
            part = min(1.0, index / later)
            factor = now_factor + part * (later_factor - now_factor)
            self.means[index] += factor * other.means[index]
            self.variances[index] += factor * other.variances[index]

    def peak_with(
        self,
        others: 'MemoryForecast',
        added: Footprint,
        deviations: float,
    ) -> float:
        """Return the highest quantile of memory if a request joined.

        Args:
            others: Forecast of what else is there.
            added: Footprint of the request.
            deviations: How many standard deviations above the mean the
                quantile lies.
        """
        peak = 0.0
        rows = zip(
            self.means,
            others.means,
            added.means,
            self.variances,
            others.variances,
            added.variances,
        )
        for mean, mean_2, mean_3, spread, spread_2, spread_3 in rows:
            held = mean + mean_2 + mean_3
            variance = spread + spread_2 + spread_3
            if variance > 0.0:
                held += deviations * math.sqrt(variance)
            if held > peak:
                peak = held
        return peak
