"""Prediction of output lengths from finished and running requests.

The length of an output is known only when it has ended, so a plain
histogram of finished outputs is biased towards short ones. Each histogram
here estimates hazards: of the requests that reached a length, the share
that ended there. Running and cancelled requests count up to the length
they reached. This is the actuarial form of the Kaplan-Meier estimator.

References:
    Kaplan and Meier, "Nonparametric Estimation from Incomplete
    Observations", JASA 1958.
"""

import math

__all__ = ['LengthClass', 'LengthPredictor', 'SurvivalHistogram']

BINS_PER_DOUBLING = 4
BIN_COUNT = 17 * BINS_PER_DOUBLING
HALF_LIFE_MS = 300_000.0
MAX_WEIGHT = 1e12
PRIOR_STRENGTH = 8.0
REBUILD_INTERVAL_MS = 1_000.0
PRIOR_MEDIAN_TOKENS = 200.0
PRIOR_SIGMA = 1.5
PROMPT_CLASS_TOKENS = (256, 1_024, 4_096)


def _bin_of(tokens: int) -> int:
    if tokens <= 1:
        return 0
    index = int(math.log2(tokens) * BINS_PER_DOUBLING)
    return min(index, BIN_COUNT - 1)


def _edge(index: int) -> float:
    return 2.0 ** (index / BINS_PER_DOUBLING)


def _prior_hazards() -> list[float]:
    survival = [
        0.5
        * math.erfc(
            math.log(_edge(b) / PRIOR_MEDIAN_TOKENS)
            / (PRIOR_SIGMA * math.sqrt(2))
        )
        for b in range(BIN_COUNT + 1)
    ]
    return [
        1 - survival[b + 1] / survival[b] if survival[b] > 0 else 1.0
        for b in range(BIN_COUNT)
    ]


_EDGES = [_edge(b) for b in range(BIN_COUNT + 1)]
_PRIOR = _prior_hazards()


class SurvivalHistogram:
    """Exponentially decayed hazards of output length.

    The hazards of a coarser histogram serve as the prior. Decay is done by
    increasing the weight of new observations, so that adding one takes
    constant time.

    Args:
        parent: Histogram of the coarser class, or None for the fixed
            prior.
    """

    def __init__(self, parent: 'SurvivalHistogram | None') -> None:
        self.parent = parent
        self.exposure = [0.0] * BIN_COUNT
        self.ends = [0.0] * BIN_COUNT
        self.hazards = list(_PRIOR)
        self.survival = [1.0] * (BIN_COUNT + 1)
        self.weight = 1.0
        self.weight_reference_ms: float | None = None
        self.last_update_ms = -math.inf
        self.expected = self.mean()
        self.curve_version = 0

    def record_reached(self, first: int, last: int, now_ms: float) -> None:
        """Record that a request has reached a range of bins.

        Args:
            first: Index of the first newly reached bin.
            last: Index of the last newly reached bin.
            now_ms: The present time.
        """
        weight = self._weight_at(now_ms)
        for index in range(first, last + 1):
            self.exposure[index] += weight

    def record_end(self, index: int, now_ms: float) -> None:
        """Record that a request completed in a bin."""
        self.ends[index] += self._weight_at(now_ms)

    def update_curve(self, now_ms: float) -> None:
        """Recompute the survival curve, at most once a second."""
        if now_ms - self.last_update_ms < REBUILD_INTERVAL_MS:
            return
        self.last_update_ms = now_ms
        base = _PRIOR
        if self.parent is not None:
            self.parent.update_curve(now_ms)
            base = self.parent.hazards
        strength = PRIOR_STRENGTH * self._weight_at(now_ms)
        survival = 1.0
        for index in range(BIN_COUNT):
            ends = self.ends[index] + strength * base[index]
            exposure = self.exposure[index] + strength
            hazard = min(1.0, ends / exposure)
            self.hazards[index] = hazard
            survival *= 1.0 - hazard
            self.survival[index + 1] = survival
        self.expected = self.mean()
        self.curve_version += 1

    def survival_at(self, tokens: float) -> float:
        """Return the probability that an output exceeds ``tokens``."""
        if tokens <= 1:
            return 1.0
        position = math.log2(tokens) * BINS_PER_DOUBLING
        index = int(position)
        if index >= BIN_COUNT:
            return 0.0
        low = self.survival[index]
        high = self.survival[index + 1]
        return low + (high - low) * (position - index)

    def mean(self) -> float:
        """Return the expected output length in tokens."""
        total = 1.0
        for index in range(BIN_COUNT):
            width = _EDGES[index + 1] - _EDGES[index]
            low = self.survival[index]
            total += width * 0.5 * (low + self.survival[index + 1])
        return total

    def _weight_at(self, now_ms: float) -> float:
        if self.weight_reference_ms is None:
            self.weight_reference_ms = now_ms
        age_ms = now_ms - self.weight_reference_ms
        weight = 2.0 ** (age_ms / HALF_LIFE_MS)
        if weight > MAX_WEIGHT:
            self._rescale(weight)
            self.weight_reference_ms = now_ms
            return 1.0
        return weight

    def _rescale(self, weight: float) -> None:
        self.exposure = [value / weight for value in self.exposure]
        self.ends = [value / weight for value in self.ends]


class LengthClass:
    """A class of requests with its histogram and those of its ancestors.

    Attributes:
        histograms: Histograms that observations are added to, coarsest
            first.
        finest: Histogram of this class, used for predictions.
    """

    def __init__(self, histograms: tuple[SurvivalHistogram, ...]) -> None:
        self.histograms = histograms
        self.finest = histograms[-1]
        self.probabilities: tuple[float, ...] = ()
        self.probabilities_version = -1

    def record_start(self, now_ms: float) -> None:
        """Record the start of a request."""
        for histogram in self.histograms:
            histogram.record_reached(0, 0, now_ms)

    def record_progress(self, before: int, after: int, now_ms: float) -> None:
        """Record the growth of a running request's output."""
        first = _bin_of(before)
        last = _bin_of(after)
        if last == first:
            return
        for histogram in self.histograms:
            histogram.record_reached(first + 1, last, now_ms)

    def record_end(self, produced: int, now_ms: float) -> None:
        """Record the completion of a request; not called if cut short."""
        index = _bin_of(produced)
        for histogram in self.histograms:
            histogram.record_end(index, now_ms)

    @property
    def expected(self) -> float:
        """Expected output length in tokens."""
        return self.finest.expected

    def survival_at_all(self, lengths: tuple[int, ...]) -> tuple[float, ...]:
        """Return the probability that a new output exceeds each length.

        Args:
            lengths: Lengths in tokens. The result is cached per version of
                the curve, so all calls must pass the same lengths.
        """
        finest = self.finest
        if self.probabilities_version != finest.curve_version:
            self.probabilities_version = finest.curve_version
            self.probabilities = tuple(finest.survival_at(x) for x in lengths)
        return self.probabilities

    def probability_of_more(self, ahead: float, produced: int) -> float:
        """Return the probability of at least ``ahead`` more tokens.

        Args:
            ahead: Number of further tokens.
            produced: Tokens produced so far.
        """
        current = self.finest.survival_at(produced)
        if current <= 1e-9:
            return 0.5
        return self.finest.survival_at(produced + ahead) / current


class LengthPredictor:
    """Histograms by (service, client account, class of prompt size).

    A class with few observations falls back on the histogram of its client
    account, which falls back on that of the service, which in turn falls
    back on a broad log-normal prior.

    Example:
        >>> predictor = LengthPredictor()
        >>> found = predictor.length_class('desk', 'hotel', 300, 0.0)
        >>> 0.4 < found.chance_longer(200, 0) < 0.6
        True
    """

    def __init__(self) -> None:
        self.parent_histograms: dict[tuple, SurvivalHistogram] = {}
        self.classes: dict[tuple, LengthClass] = {}

    def length_class(
        self, service: str, account: str, prompt_tokens: int, now_ms: float
    ) -> LengthClass:
        """Return the class of a request, with a current survival curve.

        Args:
            service: Name of the service.
            account: Client account.
            prompt_tokens: Size of the prompt.
            now_ms: The present time.
        """
        size = sum(prompt_tokens >= bound for bound in PROMPT_CLASS_TOKENS)
        key = (service, account, size)
        found = self.classes.get(key)
        if found is None:
            found = self._new_class(service, account)
            self.classes[key] = found
        found.finest.update_curve(now_ms)
        return found

    def _new_class(self, service: str, account: str) -> LengthClass:
        by_service = self._parent_histogram((service,), None)
        by_account = self._parent_histogram((service, account), by_service)
        finest = SurvivalHistogram(by_account)
        return LengthClass((by_service, by_account, finest))

    def _parent_histogram(
        self, key: tuple, parent: SurvivalHistogram | None
    ) -> SurvivalHistogram:
        if key not in self.parent_histograms:
            self.parent_histograms[key] = SurvivalHistogram(parent)
        return self.parent_histograms[key]
