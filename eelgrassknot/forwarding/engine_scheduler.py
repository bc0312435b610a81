"""Scheduling of streams on engines, with this VM's queue."""

import collections
import collections.abc
import typing

from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import metrics
from eelgrassknot.forwarding import model
from eelgrassknot.forwarding import speed_monitor
from eelgrassknot import ids
from eelgrassknot import logs
from eelgrassknot.policy import commitments
from eelgrassknot.policy import engine_pairs
from eelgrassknot.policy import engine_queue
from eelgrassknot.policy import health
from eelgrassknot.policy import home_regions
from eelgrassknot.policy import send_permits
from eelgrassknot.policy import upstream_pauses
from eelgrassknot import states

__all__ = ['EngineScheduler']

POLL_INTERVAL_MS = 50.0
"""Interval at which waiting streams are reconsidered without a change; ms."""

PlacementCallback = collections.abc.Callable[
    [engine_queue.Placement | engine_queue.Refusal], None
]


class ActiveStream(typing.Protocol):
    """Interface of a stream's driver."""

    def upstream_leaving(self, upstream: str) -> None:
        """Handle an upstream that is leaving or has left."""

    def zones_evacuated(
        self, zones: frozenset[ids.AvailabilityZoneId]
    ) -> None:
        """Drop the copies in evacuated zones."""

    def end_if_blocked(self) -> bool:
        """End the stream if its prompt crashes engines."""


class EngineScheduler:
    """Engines in use and the streams waiting for one.

    Args:
        loop: The event loop.
        region: Region of this VM.
        health: Health of the engines.
        permits: Permits to send to limited engines.
        pauses: Pauses that engines have stated.

    Attributes:
        streams: Drivers of all active streams.
        upstreams: All listed upstreams by name.
        callbacks: Placement callbacks of the waiting streams.
        arrived: Streams submitted since the last step.
        speeds: Speeds of the engines.
    """

    def __init__(
        self,
        loop: loops.EventLoop,
        region: ids.RegionId,
        health: health.HealthTracker,
        permits: send_permits.PermitView | None = None,
        pauses: upstream_pauses.PauseTable | None = None,
    ) -> None:
        self.loop = loop
        self.region = region
        self.streams: set[ActiveStream] = set()
        self.queue = engine_queue.EngineQueue(health, permits, pauses)
        self.speeds = speed_monitor.SpeedMonitor(loop, region)
        self.upstreams: dict[str, model.Upstream] = {}
        self.callbacks: dict[ids.RequestId, PlacementCallback] = {}
        self.arrived: list[engine_queue.PlacementRequest] = []
        self.is_step_scheduled = False
        self.timer: loops.Timer | None = None

    def update_engines(
        self,
        upstreams: dict[str, model.Upstream],
        services: dict[ids.ServiceName, model.Service],
        warm_until_ms: dict[str, float],
        evacuated: frozenset[ids.UpstreamId] = frozenset(),
    ) -> None:
        """Replace the engines by those that are currently listed.

        Args:
            upstreams: All listed upstreams by name.
            services: The services that they belong to.
            warm_until_ms: When each upstream reaches its full speed.
            evacuated: Upstreams in evacuated zones.
        """
        self.upstreams = upstreams
        now_ms = self.loop.now_ms()
        engines: dict[ids.ServiceName, list[engine_pairs.Engine]] = {}
        evacuated_services: set[ids.ServiceName] = set()
        names = []
        for upstream in upstreams.values():
            service = services.get(upstream.service)
            if service is None or service.engine is None:
                continue
            names.append(upstream.upstream)
            if upstream.state is not states.UpstreamState.LIVE:
                continue
            if upstream.upstream in evacuated:
                evacuated_services.add(service.name)
                continue
            warm_until = warm_until_ms.get(upstream.upstream, now_ms)
            engines.setdefault(service.name, []).append(
                engine_pairs.Engine(
                    upstream.upstream,
                    upstream.region,
                    upstream.availability_zone,
                    service.engine.memory_tokens,
                    service.engine.slots,
                    max(0.0, warm_until - now_ms),
                )
            )
        self.speeds.upstreams_changed(upstreams, names, warm_until_ms)
        self.queue.engines = self.speeds.apply(engines)
        self.queue.evacuated = frozenset(evacuated_services)
        self.schedule_step()

    def submit(
        self, order: engine_queue.PlacementRequest, callback: PlacementCallback
    ) -> None:
        """Enqueue a stream; it is placed at once if no other one waits.

        Otherwise it takes its turn in the loop's next iteration. Streams that
        arrive together then share one step, whose duration grows with their
        number.
        """
        self.callbacks[order.request] = callback
        self.queue.submit(order)
        self.arrived.append(order)
        if len(self.queue.waiting) == 1:
            self.step()
        else:
            self.schedule_step()

    def withdraw(self, request: ids.RequestId) -> None:
        """Remove a waiting stream from the queue."""
        self.callbacks.pop(request, None)
        self.queue.cancel(request)

    def engine_names(
        self,
        service: ids.ServiceName,
        homes: home_regions.HomeRegions = home_regions.ANYWHERE,
    ) -> list[ids.UpstreamId]:
        """Return the engines of a service that accept work.

        Args:
            service: The service.
            homes: Regions to which they are limited.
        """
        return [
            engine.upstream
            for engine in self.queue.engines.get(service, ())
            if homes.allows(engine.region)
        ]

    def commitment(
        self, request: ids.RequestId
    ) -> commitments.Commitment | None:
        """Return the resources committed to a stream."""
        return self.queue.commitments.runs.get(request)

    def release(self, request: ids.RequestId) -> None:
        """Release a stream's resources, which may make room for another."""
        self.queue.commitments.release(request)
        if self.queue.waiting:
            self.schedule_step()

    def place_copy(
        self,
        request: ids.RequestId,
        primary: model.Upstream,
        refused: frozenset[str] = frozenset(),
        must_fit: bool = True,
        homes: home_regions.HomeRegions = home_regions.ANYWHERE,
    ) -> model.Upstream | None:
        """Choose an engine for the copy of a run and commit its memory.

        Args:
            request: The running request.
            primary: Engine that runs it.
            refused: Engines that are excluded.
            must_fit: Whether the engine must have enough free memory.
            homes: Regions in which the copy may be kept.
        """
        commitment = self.commitment(request)
        if commitment is None:
            return None
        commitment.copy = None
        engine = self.queue.place_copy(
            request,
            primary.service,
            engine_pairs.Location(
                primary.upstream, primary.region, primary.availability_zone
            ),
            commitment.tokens,
            refused,
            must_fit,
            self.loop.now_ms(),
            homes,
        )
        if engine is None:
            return None
        commitment.copy = engine.upstream
        return self.upstreams.get(engine.upstream)

    def drop_copy(
        self, request: ids.RequestId, holder: ids.UpstreamId
    ) -> None:
        """Release the memory that is committed to the copy of a run."""
        commitment = self.commitment(request)
        if commitment is not None and commitment.copy == holder:
            commitment.copy = None
            self.schedule_step()

    def update_metrics(self) -> None:
        """Set the gauges of the waiting streams and of the reserves."""
        by_rank = collections.Counter(
            entry[3].rank for entry in self.queue.waiting
        )
        metrics.STREAMS_WAITING.set(len(self.queue.waiting))
        metrics.STREAMS_WAITING_BY_RANK.replace(
            {(str(rank),): count for rank, count in by_rank.items()}
        )
        now_ms = self.loop.now_ms()
        metrics.ENGINE_MEMORY_RESERVE.replace(
            {
                (service,): self.queue.departures.reserve_share(
                    service, now_ms
                )
                for service in self.queue.engines
            }
        )

    def upstream_leaving(self, upstream: str) -> None:
        """Notify all streams that an upstream is leaving or has left."""
        for stream in list(self.streams):
            stream.upstream_leaving(upstream)

    def zones_evacuated(
        self, zones: frozenset[ids.AvailabilityZoneId]
    ) -> None:
        """Notify all streams of the evacuated zones."""
        for stream in list(self.streams):
            stream.zones_evacuated(zones)

    def end_blocked_streams(self) -> None:
        """End the streams whose prompts crash engines."""
        for stream in list(self.streams):
            stream.end_if_blocked()

    def schedule_step(self) -> None:
        """Reconsider the waiting streams in the loop's next iteration."""
        if not self.is_step_scheduled:
            self.is_step_scheduled = True
            self.loop.call_soon(self._run_scheduled_step)

    def step(self) -> None:
        """Place the waiting streams for which an engine has room."""
        self.queue.engines = self.speeds.apply(self.queue.engines)
        for outcome in self.queue.step(self.loop.now_ms()):
            callback = self.callbacks.pop(outcome.request, None)
            if callback is not None:
                callback(outcome)
        self._log_arrived()
        if self.queue.waiting and self.timer is None:
            self.timer = self.loop.call_later(
                POLL_INTERVAL_MS, self._run_timed_step
            )

    def _log_arrived(self) -> None:
        """Log the streams that wait since they were submitted."""
        arrived, self.arrived = self.arrived, []
        waiting = [each for each in arrived if each.request in self.callbacks]
        if not waiting:
            return
        now_ms = self.loop.now_ms()
        sums = self.queue.commitments.all_sums(now_ms)
        for order in waiting:
            logs.event(
                'stream_waiting',
                request=order.request,
                since_ms=round(now_ms - order.arrived_ms, 1),
                **self.queue.describe(order, sums, now_ms),
            )

    def _run_scheduled_step(self) -> None:
        self.is_step_scheduled = False
        self.step()

    def _run_timed_step(self) -> None:
        self.timer = None
        self.step()
