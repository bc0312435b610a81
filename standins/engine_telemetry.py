"""Load and cache events of an engine's stand-in, with lag and gaps."""

import collections
import dataclasses
import random

from standins import engine_model
from standins import prefix_cache

__all__ = ['Telemetry']

MAX_SNAPSHOTS = 2_000


class Telemetry:
    """Records the engine's load and cache events for delayed reporting.

    Args:
        generator: Source of the gaps in the cache events.
    """

    def __init__(self, generator: random.Random) -> None:
        self.generator = generator
        self.loads: collections.deque[dict] = collections.deque(
            maxlen=MAX_SNAPSHOTS
        )
        self.cache_log: list[tuple[float, dict]] = []
        self.last_cache_seq = 0

    def snapshot(
        self,
        model: engine_model.EngineModel,
        gap_probability: float,
        now_ms: float,
    ) -> None:
        """Record the current load and new cache events."""
        self.loads.append(
            {
                'at_ms': now_ms,
                'kv_tokens_used': model.kv_tokens_used(),
                'kv_tokens_total': model.config.kv_tokens_total,
                'running': len(model.running),
                'waiting': len(model.waiting),
                'preemptions': model.preemptions,
            }
        )
        for event in model.cache.events:
            if event.seq > self.last_cache_seq:
                self.last_cache_seq = event.seq
                self._log(event, gap_probability, now_ms)

    def _log(
        self,
        event: prefix_cache.CacheEvent,
        gap_probability: float,
        now_ms: float,
    ) -> None:
        if self.generator.random() >= gap_probability:
            self.cache_log.append((now_ms, dataclasses.asdict(event)))

    def load(self, visible_ms: float) -> dict:
        """Return the newest load not later than a time."""
        for load in reversed(self.loads):
            if load['at_ms'] <= visible_ms:
                return load
        return self.loads[0]

    def cache_events(self, after: int, visible_ms: float) -> list[dict]:
        """Return cache events after a sequence number, up to a time."""
        return [
            event
            for at_ms, event in self.cache_log
            if at_ms <= visible_ms and event['seq'] > after
        ]
