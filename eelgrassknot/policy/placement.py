"""Choice of an engine for a generation.

The candidates are a few randomly sampled engines, so that VMs with the
same stale view do not all choose the same engine, and the engine preferred
for the prompt's prefix. The candidate with the lowest cost is chosen among
those with enough memory for the request according to the forecast.
"""

from collections.abc import Sequence
import dataclasses
import math
import random

import xxhash

from eelgrassknot import ids
from eelgrassknot.policy import engine_view
from eelgrassknot.policy import health
from eelgrassknot.policy import length
from eelgrassknot.policy import long_prompts
from eelgrassknot.policy import memory
from eelgrassknot.policy import messages
from eelgrassknot.policy import objective
from eelgrassknot.policy import prefix
from eelgrassknot.settings import text as services_text

__all__ = ['Placement', 'PlacementOptions']

SAMPLE_SIZE = 4
DEFAULT_CAPACITY_TOKENS = 16_384
USABLE_MEMORY_SHARE = 0.95
PREFILL_SCALE_TOKENS = 1_024
OTHER_ZONE_COST = 0.02
TYPICAL_INTERVAL_MS = 1_000.0
PRIOR_PROMPT_TOKENS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementOptions:
    """Switches for the mechanisms of placement, used in ablation studies.

    Attributes:
        forecast: Whether memory growth is forecast; otherwise only the
            present memory use counts.
        quantile: Whether to reserve memory for a quantile of the forecast
            rather than for its mean.
        affinity: Whether cached prefixes are taken into account.
        digests: Whether peers' digests are taken into account.
        feedback: Whether the concurrency limit is enforced.
        ejection: Whether slow engines are ejected.
        fairness: Whether the accounts' counters order the queue.
        long_prompts: Whether long prompts are directed to few engines.
        sample_size: Number of engines to sample.
    """

    forecast: bool = True
    quantile: bool = True
    affinity: bool = True
    digests: bool = True
    feedback: bool = True
    ejection: bool = True
    fairness: bool = True
    long_prompts: bool = True
    sample_size: int = SAMPLE_SIZE


class Placement:
    """Chooses engines for one service.

    Args:
        availability_zone: Zone of this VM.
        generator: Random number generator.
        options: Enabled mechanisms.
    """

    def __init__(
        self,
        availability_zone: ids.AvailabilityZoneId,
        generator: random.Random,
        options: PlacementOptions,
    ) -> None:
        self.availability_zone = availability_zone
        self.generator = generator
        self.options = options
        self.long_prompt_engines = long_prompts.LongPromptEngines()
        self.typical_request = _prior_forecast()
        self.has_observed = False
        self.last_typical_ms = -TYPICAL_INTERVAL_MS

    def update_typical(
        self, views: Sequence[engine_view.EngineView], now_ms: float
    ) -> None:
        """Update the forecast of a typical running request.

        Only totals are known of the load of other VMs. Their requests are
        assumed to resemble those of this VM.

        Args:
            views: Engines of the service.
            now_ms: The present time.
        """
        if now_ms - self.last_typical_ms < TYPICAL_INTERVAL_MS:
            return
        self.last_typical_ms = now_ms
        count = sum(view.own_forecast.count for view in views)
        if not count:
            return
        typical = memory.MemoryForecast()
        for view in views:
            typical.add_scaled(view.own_forecast, 1.0 / count)
        if not self.has_observed:
            self.has_observed = True
            self.typical_request = typical
            return
        smoothed = memory.MemoryForecast()
        smoothed.add_scaled(self.typical_request, 0.8)
        smoothed.add_scaled(typical, 0.2)
        self.typical_request = smoothed

    def choose(
        self,
        profile: messages.RequestProfile,
        footprint: memory.Footprint,
        views: Sequence[engine_view.EngineView],
        tuning: objective.PlacementTuning,
        affinity: prefix.PrefixAffinity,
        health_tracker: health.HealthTracker,
        now_ms: float,
    ) -> engine_view.EngineView | None:
        """Return the engine for a request, or None if none has room.

        Args:
            profile: The request.
            footprint: Expected memory use of the request.
            views: Engines that may be used.
            tuning: Placement parameters of the service.
            affinity: Prefixes cached by the engines.
            health_tracker: Health of the engines; limits those in slow
                start.
            now_ms: The present time.
        """
        best = None
        best_cost = math.inf
        preferred = self._preferred_engine(views, profile.prefixes)
        prompt = profile.prompt_tokens
        for view in self._sample(views, preferred):
            others = view.peer_load(self.typical_request, now_ms)
            running = len(view.own_requests) + others.running
            total = _capacity_tokens(view)
            present = view.own_forecast.means[0] + others.forecast.means[0]
            # The peak is at least the present use, which is cheap to
            # compute. The forecast is evaluated only if it can change the
            # result.
            if running and present + prompt > total * USABLE_MEMORY_SHARE:
                continue
            cost = self._cost(profile, view, tuning, affinity)
            if cost + present / total >= best_cost:
                continue
            allowance = health_tracker.allowance(view.info.upstream, now_ms)
            if running and self._is_at_limit(view, running, allowance):
                continue
            peak = self._peak(footprint, view, others, tuning)
            if running and peak > total * USABLE_MEMORY_SHARE:
                continue
            cost += peak / total
            if cost < best_cost:
                best = view
                best_cost = cost
        return best

    def running(self, view: engine_view.EngineView, now_ms: float) -> int:
        """Return the estimated number of requests at an engine."""
        others = view.peer_load(self.typical_request, now_ms)
        return int(len(view.own_requests) + others.running)

    def _sample(
        self,
        views: Sequence[engine_view.EngineView],
        home: engine_view.EngineView | None,
    ) -> Sequence[engine_view.EngineView]:
        if len(views) <= self.options.sample_size:
            return views
        found = self.generator.sample(views, self.options.sample_size)
        if home is not None and home not in found:
            found.append(home)
        return found

    def _preferred_engine(
        self,
        views: Sequence[engine_view.EngineView],
        prefixes: tuple[str, ...],
    ) -> engine_view.EngineView | None:
        # Prompts with the same prefix are considered for the same engine
        # even if the sample is small compared to the number of engines.
        if not prefixes or not views or not self.options.affinity:
            return None
        digest = xxhash.xxh64_intdigest(prefixes[0].encode())
        return views[digest % len(views)]

    def _is_at_limit(
        self, view: engine_view.EngineView, running: float, allowance: float
    ) -> bool:
        if len(view.own_requests) >= allowance:
            return True
        return self.options.feedback and running >= view.limit.limit

    def _cost(
        self,
        profile: messages.RequestProfile,
        view: engine_view.EngineView,
        knobs: objective.PlacementTuning,
        affinity: prefix.PrefixAffinity,
    ) -> float:
        name = view.info.upstream
        uncovered = profile.prompt_tokens
        if self.options.affinity:
            uncovered -= affinity.covered_tokens(name, profile.prefixes)
        cost = max(0, uncovered) / PREFILL_SCALE_TOKENS
        if self.options.long_prompts and not self.long_prompt_engines.suits(
            name, uncovered
        ):
            cost += knobs.long_prompt_weight
        if view.info.availability_zone != self.availability_zone:
            cost += OTHER_ZONE_COST
        return cost

    def _peak(
        self,
        footprint: memory.Footprint,
        view: engine_view.EngineView,
        others: engine_view.PeerLoad,
        knobs: objective.PlacementTuning,
    ) -> float:
        own = view.own_forecast
        if not self.options.forecast:
            held = own.means[0] + others.forecast.means[0]
            return held + footprint.means[0]
        deviations = knobs.deviations if self.options.quantile else 0.0
        return own.peak_with(others.forecast, footprint, deviations)


def _capacity_tokens(view: engine_view.EngineView) -> int:
    if view.load is None:
        return DEFAULT_CAPACITY_TOKENS
    return view.load.kv_tokens_total


def _prior_forecast() -> memory.MemoryForecast:
    forecast = memory.MemoryForecast()
    length_class = length.LengthPredictor().length_class('', '', 0, 0.0)
    forecast.add(
        memory.new_footprint(
            length_class,
            PRIOR_PROMPT_TOKENS,
            services_text.DEFAULT_MAX_TOKENS,
        )
    )
    return forecast
