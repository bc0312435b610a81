"""Estimated load of one engine as seen by an entry VM.

An engine's load report is stale and misses the latest dispatches. The VM
knows its own requests exactly and those of its peers from their digests.
The view combines these sources; information past its lifetime is dropped.
"""

import math

import msgspec

from eelgrassknot import ids
from eelgrassknot.kernel import events as kernel_events
from eelgrassknot.policy import concurrency
from eelgrassknot.policy import length
from eelgrassknot.policy import memory
from eelgrassknot.policy import messages

__all__ = ['EngineView', 'ActiveRequest', 'PeerLoad']

DIGEST_TTL_MS = 2_000.0
PEER_LOAD_TTL_MS = 200.0
UNANNOUNCED_SMOOTHING = 0.3
FORECAST_REFRESH_TOKENS = 16


class ActiveRequest(msgspec.Struct):
    """A request that this VM has dispatched to an engine.

    Attributes:
        charged_tokens: Output tokens that were charged at dispatch.
        produced: Output tokens so far.
        forecast_produced: Value of ``produced`` when the footprint was
            computed.
        last_progress_ms: Time of the last output, or None before it.
    """

    profile: messages.RequestProfile
    length_class: length.LengthClass
    max_tokens: int
    charged_tokens: float
    dispatched_ms: float
    footprint: memory.Footprint
    produced: int = 0
    forecast_produced: int = 0
    last_progress_ms: float | None = None


class PeerDigest(msgspec.Struct, frozen=True):
    """The last digest of a peer, with its time of receipt."""

    digest: messages.DigestReceived
    received_ms: float


class PeerLoad(msgspec.Struct):
    """Estimated load that other VMs put on an engine.

    Attributes:
        running: Number of requests.
        forecast: Forecast of their memory use.
    """

    running: float
    forecast: memory.MemoryForecast


class EngineView:
    """Estimated state of one engine.

    Attributes:
        info: The upstream.
        own_requests: Requests of this VM at the engine.
        own_forecast: Sum of their footprints.
        limit: Concurrency limit over all VMs.
        load: Last load report, or None.
    """

    def __init__(self, info: kernel_events.UpstreamInfo) -> None:
        self.info = info
        self.own_requests: dict[ids.RequestId, ActiveRequest] = {}
        self.own_forecast = memory.MemoryForecast()
        self.limit = concurrency.ConcurrencyLimit()
        self.load: messages.EngineLoad | None = None
        self.reported_ms = -math.inf
        self.own_running_reported = 0
        self.own_tokens_reported = 0.0
        self.peer_digests: dict[ids.VmId, PeerDigest] = {}
        self.last_digest_ms = -math.inf
        self.unannounced_running = 0.0
        self.unannounced_tokens = 0.0
        self.peer_load_cache: PeerLoad | None = None
        self.peer_load_expires_ms = -math.inf

    def add_request(self, request: ActiveRequest) -> None:
        """Add a request that this VM dispatched."""
        self.own_requests[request.profile.request] = request
        self.own_forecast.add(request.footprint)

    def remove_request(self, request: ids.RequestId) -> ActiveRequest | None:
        """Remove a request that no longer occupies the engine."""
        removed = self.own_requests.pop(request, None)
        if removed is not None:
            self.own_forecast.add(removed.footprint, -1)
        return removed

    def refresh_forecasts(self) -> None:
        """Update the forecasts of requests with enough new output."""
        for request in self.own_requests.values():
            if (
                request.produced - request.forecast_produced
                >= FORECAST_REFRESH_TOKENS
            ):
                self._refresh_forecast(request)

    def update_load(self, load: messages.EngineLoad, now_ms: float) -> int:
        """Process a load report.

        Args:
            load: The report.
            now_ms: The present time.

        Returns:
            Number of preemptions since the previous report.
        """
        before = self.load
        if before is not None and load.at_ms < before.at_ms:
            return 0
        self.load = load
        self.reported_ms = now_ms
        self.own_running_reported = len(self.own_requests)
        self.own_tokens_reported = self.own_forecast.means[0]
        self._update_unannounced(load, now_ms)
        self.peer_load_cache = None
        if before is None or load.preemptions < before.preemptions:
            return 0
        return load.preemptions - before.preemptions

    def add_digest(
        self, digest: messages.DigestReceived, now_ms: float
    ) -> None:
        """Store a peer's digest of its load at the engine."""
        self.peer_digests[digest.vm] = PeerDigest(digest, now_ms)
        self.last_digest_ms = now_ms
        self.peer_load_cache = None

    def peer_load(
        self, typical: memory.MemoryForecast, now_ms: float
    ) -> PeerLoad:
        """Return the estimated load of other VMs at the engine.

        Args:
            typical: Forecast of a typical running request, used to project
                peer load that is known only as a present total.
            now_ms: The present time.
        """
        if self.peer_load_cache is None or now_ms >= self.peer_load_expires_ms:
            self.peer_load_cache = self._estimate_peer_load(typical, now_ms)
            self.peer_load_expires_ms = now_ms + PEER_LOAD_TTL_MS
        return self.peer_load_cache

    def share(self) -> messages.UpstreamShare:
        """Return this VM's load at the engine, to announce to peers."""
        tokens = int(self.own_forecast.means[0])
        return messages.UpstreamShare(
            self.info.upstream, len(self.own_requests), tokens
        )

    def _estimate_peer_load(
        self, typical: memory.MemoryForecast, now_ms: float
    ) -> PeerLoad:
        if now_ms - self.last_digest_ms > DIGEST_TTL_MS:
            return self._peer_load_from_report(typical)
        running, tokens = self._announced_totals(now_ms)
        running += self.unannounced_running
        tokens += self.unannounced_tokens
        forecast = memory.MemoryForecast()
        forecast.add_scaled(typical, tokens / max(1.0, typical.means[0]))
        return PeerLoad(running, forecast)

    def _announced_totals(self, now_ms: float) -> tuple[float, float]:
        current = [
            received.digest
            for received in self.peer_digests.values()
            if now_ms - received.received_ms <= DIGEST_TTL_MS
        ]
        running = sum(digest.running for digest in current)
        return running, sum(digest.expected_tokens for digest in current)

    def _update_unannounced(
        self, load: messages.EngineLoad, now_ms: float
    ) -> None:
        # Peers in other zones send no digests to this VM. Reported load
        # that no digest accounts for is attributed to them.
        running, tokens = self._announced_totals(now_ms)
        running = (
            load.running + load.waiting - running - len(self.own_requests)
        )
        tokens = load.kv_tokens_used - tokens - self.own_forecast.means[0]
        part = UNANNOUNCED_SMOOTHING
        self.unannounced_running += part * (running - self.unannounced_running)
        self.unannounced_tokens += part * (tokens - self.unannounced_tokens)
        self.unannounced_running = max(0.0, self.unannounced_running)
        self.unannounced_tokens = max(0.0, self.unannounced_tokens)

    def _peer_load_from_report(
        self, typical: memory.MemoryForecast
    ) -> PeerLoad:
        forecast = memory.MemoryForecast()
        if self.load is None:
            return PeerLoad(0.0, forecast)
        running = self.load.running + self.load.waiting
        running = max(0, running - self.own_running_reported)
        used = self.load.kv_tokens_used - self.own_tokens_reported
        if typical.means[0] > 0:
            scale = max(0.0, used) / typical.means[0]
            forecast.add_scaled(typical, scale)
        return PeerLoad(running, forecast)

    def _refresh_forecast(self, request: ActiveRequest) -> None:
        self.own_forecast.add(request.footprint, -1)
        request.footprint = memory.footprint(
            request.length_class,
            request.profile.prompt_tokens,
            request.produced,
            request.max_tokens,
        )
        request.forecast_produced = request.produced
        self.own_forecast.add(request.footprint)
