"""What a VM believes about one engine.

The engine's report is old and knows nothing of the last dispatches; the
VM knows its own requests exactly, and its peers' by their digests. The
view adds these up, and widens with the age of what it rests on.
"""

import dataclasses
import math

from eelgrassknot import ids
from eelgrassknot.kernel import events as kernel_events
from eelgrassknot.policy import concurrency
from eelgrassknot.policy import length
from eelgrassknot.policy import memory
from eelgrassknot.policy import messages

__all__ = ['EngineView', 'HeldRequest', 'Others']

DIGEST_KEPT_MS = 2_000.0
OTHERS_KEPT_MS = 200.0
UNTOLD_SMOOTHING = 0.3
REFRESH_TOKENS = 16


@dataclasses.dataclass(slots=True)
class HeldRequest:
    """A request that this VM has at an engine.

    Attributes:
        upfront: Output tokens that were charged at dispatch.
        produced: Output tokens so far.
        forecast_at: Value of ``produced`` when its footprint was made.
    """

    profile: messages.RequestProfile
    length_class: length.LengthClass
    max_tokens: int
    upfront: float
    dispatched_ms: float
    footprint: memory.Footprint
    produced: int = 0
    forecast_at: int = 0
    progress_ms: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PeerHolding:
    """What a peer said that it has at the engine."""

    digest: messages.DigestReceived
    heard_ms: float


@dataclasses.dataclass(slots=True)
class Others:
    """What other VMs are believed to have at an engine.

    Attributes:
        running: Requests.
        forecast: What they will hold.
    """

    running: float
    forecast: memory.MemoryForecast


class EngineView:
    """State of one engine as this VM believes it to be.

    Attributes:
        info: The upstream.
        own: Requests of this VM at the engine.
        own_forecast: Sum of their footprints.
        limit: Concurrency limit, over all VMs.
        load: Last report, or None.
    """

    def __init__(self, info: kernel_events.UpstreamInfo) -> None:
        self.info = info
        self.own: dict[ids.RequestId, HeldRequest] = {}
        self.own_forecast = memory.MemoryForecast()
        self.limit = concurrency.ConcurrencyLimit()
        self.load: messages.EngineLoad | None = None
        self.reported_ms = -math.inf
        self.own_running_reported = 0
        self.own_tokens_reported = 0.0
        self.peers: dict[ids.VmId, PeerHolding] = {}
        self.peers_heard_ms = -math.inf
        self.untold_running = 0.0
        self.untold_tokens = 0.0
        self.others_known: Others | None = None
        self.others_until_ms = -math.inf

    def add(self, held: HeldRequest) -> None:
        """Note a dispatch of this VM."""
        self.own[held.profile.request] = held
        self.own_forecast.add(held.footprint)

    def remove(self, request: ids.RequestId) -> HeldRequest | None:
        """Note that a request holds the engine no more."""
        held = self.own.pop(request, None)
        if held is not None:
            self.own_forecast.add(held.footprint, -1)
        return held

    def refresh(self) -> None:
        """Forecast anew the requests that have grown since."""
        for held in self.own.values():
            if held.produced - held.forecast_at >= REFRESH_TOKENS:
                self._refresh_one(held)

    def report(self, load: messages.EngineLoad, now_ms: float) -> int:
        """Take in a load report.

        Args:
            load: The report.
            now_ms: The present time.

        Returns:
            Preemptions since the report before.
        """
        before = self.load
        if before is not None and load.at_ms < before.at_ms:
            return 0
        self.load = load
        self.reported_ms = now_ms
        self.own_running_reported = len(self.own)
        self.own_tokens_reported = self.own_forecast.means[0]
        self._learn_untold(load, now_ms)
        self.others_known = None
        if before is None or load.preemptions < before.preemptions:
            return 0
        return load.preemptions - before.preemptions

    def peer(self, digest: messages.DigestReceived, now_ms: float) -> None:
        """Take in what a peer holds at the engine."""
        self.peers[digest.vm] = PeerHolding(digest, now_ms)
        self.peers_heard_ms = now_ms
        self.others_known = None

    def others(self, typical: memory.MemoryForecast, now_ms: float) -> Others:
        """Return what other VMs are believed to have at the engine.

        Args:
            typical: Forecast of a typical running request, by which
                what is only known in sum is drawn out in time.
            now_ms: The present time.
        """
        if self.others_known is None or now_ms >= self.others_until_ms:
            self.others_known = self._others(typical, now_ms)
            self.others_until_ms = now_ms + OTHERS_KEPT_MS
        return self.others_known

    def share(self) -> messages.UpstreamShare:
        """Return what the peers are told of this VM's requests."""
        held = int(self.own_forecast.means[0])
        return messages.UpstreamShare(self.info.upstream, len(self.own), held)

    def _others(self, typical: memory.MemoryForecast, now_ms: float) -> Others:
        if now_ms - self.peers_heard_ms > DIGEST_KEPT_MS:
            return self._others_by_report(typical)
        running, held = self._told(now_ms)
        running += self.untold_running
        held += self.untold_tokens
        forecast = memory.MemoryForecast()
        forecast.add_scaled(typical, held / max(1.0, typical.means[0]))
        return Others(running, forecast)

    def _told(self, now_ms: float) -> tuple[float, float]:
        fresh = [
            holding.digest
            for holding in self.peers.values()
            if now_ms - holding.heard_ms <= DIGEST_KEPT_MS
        ]
        running = sum(digest.running for digest in fresh)
        return running, sum(digest.expected_tokens for digest in fresh)

    def _learn_untold(self, load: messages.EngineLoad, now_ms: float) -> None:
        # Peers in other zones do not tell this VM what they hold; what
        # the report shows beyond what was told is theirs.
        running, held = self._told(now_ms)
        running = load.running + load.waiting - running - len(self.own)
        held = load.kv_tokens_used - held - self.own_forecast.means[0]
        part = UNTOLD_SMOOTHING
        self.untold_running += part * (running - self.untold_running)
        self.untold_tokens += part * (held - self.untold_tokens)
        self.untold_running = max(0.0, self.untold_running)
        self.untold_tokens = max(0.0, self.untold_tokens)

    def _others_by_report(self, typical: memory.MemoryForecast) -> Others:
        forecast = memory.MemoryForecast()
        if self.load is None:
            return Others(0.0, forecast)
        running = self.load.running + self.load.waiting
        running = max(0, running - self.own_running_reported)
        used = self.load.kv_tokens_used - self.own_tokens_reported
        if typical.means[0] > 0:
            scale = max(0.0, used) / typical.means[0]
            forecast.add_scaled(typical, scale)
        return Others(running, forecast)

    def _refresh_one(self, held: HeldRequest) -> None:
        self.own_forecast.add(held.footprint, -1)
        held.footprint = memory.footprint(
            held.length_class,
            held.profile.prompt_tokens,
            held.produced,
            held.max_tokens,
        )
        held.forecast_at = held.produced
        self.own_forecast.add(held.footprint)
