"""Measurement of the engines' speeds, and their use in placement."""

import collections.abc

import msgspec

from eelgrassknot import clock as clocks
from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import metrics
from eelgrassknot.forwarding import model
from eelgrassknot import ids
from eelgrassknot import logs
from eelgrassknot.policy import engine_pairs
from eelgrassknot.policy import engine_speed
from eelgrassknot.policy import speed_news
from eelgrassknot.policy import speed_table
from eelgrassknot import states

__all__ = ['SpeedMonitor']

REFRESH_INTERVAL_MS = 500.0
"""Minimum time between two merges of all estimates; ms. With 29 engines and
15 sources a merge takes 1.2 ms of processor time."""
NEWS_INTERVAL_MS = 250.0
"""Minimum time between two selections of estimates for peers; ms. Messages
follow each other sooner."""
PERCENT = 100
WEIGHT_UNITS = 10
"""Number of units of a weight in messages for each window of events."""
LOGGED_RATIO = 1.5
"""Change of a factor from which it is logged. At 1.15, each VM logged seven
lines a second while engines were replaced all the time."""

Engines = dict[ids.ServiceName, collections.abc.Sequence[engine_pairs.Engine]]


class SpeedMonitor:
    """Speeds of the engines as seen by this VM and its peers.

    Args:
        loop: The event loop.
        region: Region of this VM.

    Attributes:
        table: The estimates.
        upstreams: All listed upstreams by name.
        warm_until_ms: When each upstream reaches its full speed.
        to_peers: What the peers of this VM are told.
        to_zones: What other zones are told, on a gateway.
        logged: Speeds that were logged last.
    """

    def __init__(self, loop: loops.EventLoop, region: ids.RegionId) -> None:
        self.loop = loop
        self.region = region
        self.table = speed_table.SpeedTable()
        self.to_peers = speed_news.SpeedNews(self.table)
        self.to_zones = speed_news.SpeedNews(self.table)
        self.upstreams: dict[str, model.Upstream] = {}
        self.warm_until_ms: dict[str, float] = {}
        self.logged: dict[str, speed_table.EffectiveSpeed] = {}
        self.applied_ms = float('-inf')
        self.selected_ms = float('-inf')

    def upstreams_changed(
        self,
        upstreams: dict[str, model.Upstream],
        engines: collections.abc.Collection[str],
        warm_until_ms: dict[str, float],
    ) -> None:
        """Forget the engines that are no longer listed.

        Args:
            upstreams: All listed upstreams by name.
            engines: Those that are engines.
            warm_until_ms: When each upstream reaches its full speed.
        """
        self.upstreams = upstreams
        self.warm_until_ms = warm_until_ms
        self.table.retain(
            {name: upstreams[name].started_at_ms for name in engines}
        )
        self.logged = {
            name: speed
            for name, speed in self.logged.items()
            if name in self.table.engines
        }
        self.applied_ms = float('-inf')

    def record_interval(
        self,
        upstream: model.Upstream,
        interval_ms: float,
        event_tokens: int,
        runs: int,
    ) -> None:
        """Record the interval between the events of a run.

        Args:
            upstream: The engine.
            interval_ms: Mean interval of a window of events.
            event_tokens: Number of tokens in an event.
            runs: Number of runs at the engine.
        """
        now_ms = self.loop.now_ms()
        if not self._is_measured(upstream, now_ms):
            return
        has_changed = self.table.record_interval(
            upstream.upstream,
            upstream.started_at_ms,
            interval_ms,
            event_tokens,
            runs,
            now_ms,
        )
        if has_changed:
            self.applied_ms = float('-inf')

    def record_first_event(
        self,
        upstream: model.Upstream,
        sent_ms: float,
        unread_tokens: int,
        event_tokens: int,
    ) -> None:
        """Record the first event of a run.

        Args:
            upstream: The engine.
            sent_ms: When the request was sent.
            unread_tokens: Prompt tokens that the engine had to read.
            event_tokens: Number of tokens in an event.
        """
        if upstream.region != self.region:
            # The link between regions would be measured.
            return
        if not self._is_measured(upstream, sent_ms):
            return
        now_ms = self.loop.now_ms()
        self.table.record_first_event(
            upstream.upstream,
            upstream.started_at_ms,
            now_ms - sent_ms,
            unread_tokens,
            event_tokens,
            now_ms,
        )

    def own_news(self) -> tuple[messages.SpeedEntry, ...]:
        """Return the estimates by this VM's runs that its peers are told."""
        now_ms = self.loop.now_ms()
        if now_ms - self.selected_ms < NEWS_INTERVAL_MS:
            return ()
        self.selected_ms = now_ms
        return _entries(self.to_peers.due((), now_ms))

    def zone_news(
        self, members: collections.abc.Collection[speed_table.Source]
    ) -> tuple[messages.SpeedEntry, ...]:
        """Return the estimates by a zone's runs that other zones are told.

        Args:
            members: The other VMs of the zone.
        """
        return _entries(self.to_zones.due(members, self.loop.now_ms()))

    def receive(
        self,
        source: speed_table.Source,
        entries: collections.abc.Iterable[messages.SpeedEntry],
    ) -> None:
        """Store the estimates of a peer or of another zone."""
        now_ms = self.loop.now_ms()
        for entry in entries:
            self.table.receive(
                source,
                entry.upstream,
                entry.started_at_ms,
                engine_speed.Estimate(
                    entry.factor_percent / PERCENT,
                    entry.weight / WEIGHT_UNITS,
                    float(entry.age_ms),
                    entry.run_limit or None,
                ),
                now_ms,
            )

    def apply(self, engines: Engines) -> Engines:
        """Return the engines of each service with their present speeds.

        Args:
            engines: The engines that accept work.
        """
        now_ms = self.loop.now_ms()
        if now_ms - self.applied_ms < REFRESH_INTERVAL_MS:
            return engines
        self.applied_ms = now_ms
        return {
            service: self._with_speeds(listed, now_ms)
            for service, listed in engines.items()
        }

    def update_metrics(self) -> None:
        """Set the metrics of all engines of which something is known."""
        now_ms = self.loop.now_ms()
        found = {
            (name,): self.table.merged(name, now_ms)
            for name in self.table.engines
        }
        known = {name: each for name, each in found.items() if each}
        metrics.ENGINE_STEP_FACTOR.replace(
            {name: each.factor for name, each in known.items()}
        )
        metrics.ENGINE_SPEED_SAMPLES.replace(
            {name: each.weight for name, each in known.items()}
        )
        metrics.ENGINE_SPEED_AGE_SECONDS.replace(
            {
                name: each.age_ms / clocks.MS_PER_SECOND
                for name, each in known.items()
            }
        )
        metrics.ENGINE_RUN_LIMIT.replace(
            {
                name: float(each.run_limit)
                for name, each in known.items()
                if each.run_limit is not None
            }
        )

    def _is_measured(self, upstream: model.Upstream, at_ms: float) -> bool:
        """Return whether what an engine does at a time shows its speed.

        A leaving engine transfers the memory of its runs.
        """
        listed = self.upstreams.get(upstream.upstream)
        return (
            listed is not None
            and listed.state is states.UpstreamState.LIVE
            and at_ms >= self.warm_until_ms.get(upstream.upstream, at_ms)
        )

    def _with_speeds(
        self,
        engines: collections.abc.Sequence[engine_pairs.Engine],
        now_ms: float,
    ) -> list[engine_pairs.Engine]:
        speeds = self.table.speeds([e.upstream for e in engines], now_ms)
        for name, speed in speeds.items():
            self._log_change(name, speed, now_ms)
        return [
            msgspec.structs.replace(
                engine, **msgspec.structs.asdict(speeds[engine.upstream])
            )
            for engine in engines
        ]

    def _log_change(
        self,
        name: ids.UpstreamId,
        speed: speed_table.EffectiveSpeed,
        now_ms: float,
    ) -> None:
        before = self.logged.get(name, speed_table.EffectiveSpeed())
        if not _is_logged(before, speed):
            return
        self.logged[name] = speed
        estimate = self.table.merged(name, now_ms)
        logs.event(
            'engine_speed',
            upstream=name,
            step_factor=speed.step_factor,
            prefill_factor=speed.prefill_factor,
            run_limit=speed.run_limit,
            samples=round(estimate.weight, 1) if estimate else 0,
            age_ms=round(estimate.age_ms) if estimate else None,
            cause=self.table.cause(name, now_ms).value,
        )


def _entries(
    statements: collections.abc.Iterable[speed_news.Statement],
) -> tuple[messages.SpeedEntry, ...]:
    """Encode estimates for a message to peers."""
    return tuple(
        messages.SpeedEntry(
            each.upstream,
            each.started_at_ms,
            round(each.estimate.factor * PERCENT),
            round(each.estimate.weight * WEIGHT_UNITS),
            round(each.estimate.age_ms),
            each.estimate.run_limit or 0,
        )
        for each in statements
    )


def _is_logged(
    before: speed_table.EffectiveSpeed, after: speed_table.EffectiveSpeed
) -> bool:
    """Return whether a change of a speed is worth a log line."""
    if before.run_limit != after.run_limit:
        return True
    return any(
        not 1 / LOGGED_RATIO < new / old < LOGGED_RATIO
        for old, new in (
            (before.step_factor, after.step_factor),
            (before.prefill_factor, after.prefill_factor),
        )
    )
