"""What a run is measured by.

Stall time of a request is the sum of what its token gaps exceed 250 ms
by, once its first token has come: longer than any one step of an engine,
so that the stream has stopped and is not just slow. Waiting for the first
token is shown beside it. Goodput counts tokens of requests whose first
token came within their deadline.
"""

import collections
import dataclasses

__all__ = ['Figures', 'FigureRecorder', 'mean_figures']

GAP_QUANTILES = (0.5, 0.95, 0.99, 0.999)
FIRST_QUANTILES = (0.5, 0.95, 0.99)
SLOW_GAPS_MS = (100, 200)


@dataclasses.dataclass(frozen=True)
class Figures:
    """Figures of one run.

    Attributes:
        stall_mean_ms: Mean stall time of a request.
        preemptions_per_1000: Preemptions for each 1,000 requests served.
        gap_ms: Token gaps at p50, p95, p99 and p99.9.
        first_token_ms: Time to the first token at p50, p95 and p99.
        goodput_per_s: Tokens a second of requests within deadline.
        refused_share: Share of requests that were refused.
        refused_early_share: Share of the refusals that came within a
            tenth of the time the caller would have waited.
        share_ratio: Served over demanded tokens, highest over lowest
            account.
        account_tokens: Tokens served by account.
        account_demand: Tokens demanded by account.
        link_bytes: Bytes of generations over the region link.
        slow_gaps_ms: Mean sum of a request's gaps beyond 100 ms and
            beyond 200 ms, to show how the threshold of a stall matters.
    """

    served: int
    stall_mean_ms: float
    stall_p99_ms: float
    preemptions_per_1000: float
    gap_ms: tuple[float, ...]
    first_token_ms: tuple[float, ...]
    goodput_per_s: float
    refused_share: float
    refused_early_share: float
    share_ratio: float
    account_tokens: dict[str, int]
    account_demand: dict[str, int]
    link_bytes: float
    slow_gaps_ms: tuple[float, ...]


class FigureRecorder:
    """Gathers what happens in a run.

    Args:
        from_ms: Start of the measured quantile.
        until_ms: Its end.
    """

    def __init__(self, from_ms: float, until_ms: float) -> None:
        self.from_ms = from_ms
        self.until_ms = until_ms
        self.first_token_ms: dict[str, float] = {}
        self.within_deadline: set[str] = set()
        self.stalls_ms: list[float] = []
        self.tokens: collections.Counter = collections.Counter()
        self.good_tokens = 0
        self.demand: collections.Counter = collections.Counter()
        self.arrivals = 0
        self.refusals = 0
        self.early_refusals = 0
        self.ends = 0
        self.all_refusals = 0
        self.link_bytes = 0.0
        self.counts_at_start: dict[str, tuple] = {}
        self.tokens_at_start: dict[str, int] = {}

    def start_measuring(self, engines) -> None:
        """Note where the engines stand when measuring begins."""
        for engine in engines:
            gaps = collections.Counter(engine.gaps)
            self.counts_at_start[engine.name] = (gaps, engine.preemptions)
            for sequence in engine.sequences.values():
                self.tokens_at_start[sequence.request] = engine.produced(
                    sequence
                )

    def record_arrival(self, request) -> None:
        """Count a request."""
        if request.at_ms >= self.from_ms:
            self.arrivals += 1
            self.demand[request.account] += request.output_tokens

    def record_refusal(self, request, reason, now_ms: float) -> None:
        """Count a refusal."""
        self.all_refusals += 1
        if request.at_ms < self.from_ms:
            return
        self.refusals += 1
        allowed_ms = request.deadline_ms - request.at_ms
        if now_ms - request.at_ms <= 0.1 * allowed_ms:
            self.early_refusals += 1

    def record_first_token(self, request, at_ms: float) -> None:
        """Note when a request's first token came."""
        self.first_token_ms[request.name] = at_ms - request.at_ms
        if at_ms <= request.deadline_ms:
            self.within_deadline.add(request.name)

    def record_link_bytes(self, request, size_bytes: float) -> None:
        """Count bytes over the link between regions."""
        if request.at_ms >= self.from_ms:
            self.link_bytes += size_bytes

    def record_end(self, request, sequence, at_ms: float, whole: bool) -> None:
        """Count a request that has ended."""
        self.ends += 1
        if at_ms >= self.from_ms:
            self._record_served(
                request, sequence.base_tokens, sequence.stall_ms
            )

    def figures(self, simulation) -> Figures:
        """Return the figures at the end of a run."""
        for name, (engine, sequence, _) in simulation.active.items():
            produced = engine.produced(sequence)
            if produced:
                stall_ms = engine.stall(sequence)
                self._record_served(
                    simulation.requests[name], produced, stall_ms
                )
        gaps: collections.Counter = collections.Counter()
        preemptions = 0
        for engine in simulation.engines.values():
            before, count = self.counts_at_start[engine.name]
            gaps.update(engine.gaps)
            gaps.subtract(before)
            preemptions += engine.preemptions - count
        firsts = sorted(
            first_ms
            for name, first_ms in self.first_token_ms.items()
            if simulation.requests[name].at_ms >= self.from_ms
        )
        stalls = sorted(self.stalls_ms)
        served = len(stalls)
        span_s = (self.until_ms - self.from_ms) / 1_000.0
        ratios = [
            self.tokens[account] / demand
            for account, demand in self.demand.items()
            if demand
        ]
        return Figures(
            served=served,
            stall_mean_ms=sum(stalls) / max(1, served),
            stall_p99_ms=_quantile(stalls, 0.99),
            preemptions_per_1000=1_000.0 * preemptions / max(1, served),
            gap_ms=_weighted_quantiles(gaps),
            first_token_ms=tuple(
                _quantile(firsts, q) for q in FIRST_QUANTILES
            ),
            goodput_per_s=self.good_tokens / span_s,
            refused_share=self.refusals / max(1, self.arrivals),
            refused_early_share=self.early_refusals / max(1, self.refusals),
            share_ratio=max(ratios) / max(min(ratios), 1e-9),
            account_tokens=dict(self.tokens),
            account_demand=dict(self.demand),
            link_bytes=self.link_bytes,
            slow_gaps_ms=_mean_excess_ms(gaps, served),
        )

    def _record_served(self, request, produced: int, stall_ms: float) -> None:
        self.stalls_ms.append(stall_ms)
        new_tokens = produced - self.tokens_at_start.get(request.name, 0)
        self.tokens[request.account] += new_tokens
        if request.name in self.within_deadline:
            self.good_tokens += new_tokens


def mean_figures(runs: list[Figures]) -> Figures:
    """Return the mean of the figures of runs that differ in their seed."""
    fields = {
        field.name: _mean([getattr(one, field.name) for one in runs])
        for field in dataclasses.fields(Figures)
    }
    return Figures(**fields)


def _mean(values: list):
    if isinstance(values[0], tuple):
        return tuple(_mean(list(column)) for column in zip(*values))
    if isinstance(values[0], dict):
        names = sorted({name for value in values for name in value})
        return {n: _mean([v.get(n, 0) for v in values]) for n in names}
    return sum(values) / len(values)


def _quantile(values: list[float], quantile: float) -> float:
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(quantile * len(values)))]


def _weighted_quantiles(counts: collections.Counter) -> tuple[float, ...]:
    total = sum(counts.values())
    found = []
    cumulative = 0
    ordered = iter(sorted(counts.items()))
    value = 0.0
    for quantile in GAP_QUANTILES:
        while cumulative < quantile * total:
            value, count = next(ordered)
            cumulative += count
        found.append(float(value))
    return tuple(found)


def _mean_excess_ms(
    counts: collections.Counter, served: int
) -> tuple[float, ...]:
    return tuple(
        sum(c * max(0, gap - bound) for gap, c in counts.items())
        / max(1, served)
        for bound in SLOW_GAPS_MS
    )
