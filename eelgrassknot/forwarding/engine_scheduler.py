"""Hands streams to engines: the queue of this VM and who waits in it."""

import collections.abc
import typing

from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import model
from eelgrassknot import ids
from eelgrassknot.policy import commitments
from eelgrassknot.policy import engine_pairs
from eelgrassknot.policy import engine_queue
from eelgrassknot.policy import health
from eelgrassknot import states

__all__ = ['EngineDesk']

STEP_MS = 50.0
"""How often those who wait are looked at if nothing changes; ms."""

Taker = collections.abc.Callable[
    [engine_queue.Placement | engine_queue.Refusal], None
]


class StreamInHand(typing.Protocol):
    """What the desk needs of a stream's driver."""

    def upstream_leaving(self, upstream: str) -> None:
        """Take in that an upstream is about to leave or has left."""


class EngineDesk:
    """Engines in use and the streams that wait for one.

    Args:
        loop: The event loop.
        region: Region of this VM.
        book: Health of the engines.

    Attributes:
        streams: Drivers of all streams in hand.
        upstreams: Every upstream that is listed, by name.
        takers: Who is told of the placement of a waiting stream.
    """

    def __init__(
        self,
        loop: loops.EventLoop,
        region: ids.RegionId,
        book: health.HealthTracker,
    ) -> None:
        self.loop = loop
        self.region = region
        self.streams: set[StreamInHand] = set()
        self.queue = engine_queue.EngineQueue(book)
        self.upstreams: dict[str, model.Upstream] = {}
        self.takers: dict[ids.RequestId, Taker] = {}
        self.stepping = False
        self.timer: loops.Timer | None = None

    def replace(
        self,
        upstreams: dict[str, model.Upstream],
        services: dict[ids.ServiceName, model.Service],
        warm_until_ms: dict[str, float],
    ) -> None:
        """Put the engines that are listed now in use."""
        self.upstreams = upstreams
        now_ms = self.loop.now_ms()
        engines: dict[ids.ServiceName, list[engine_pairs.Engine]] = {}
        for upstream in upstreams.values():
            service = services.get(upstream.service)
            if service is None or service.engine is None:
                continue
            if upstream.state is not states.UpstreamState.LIVE:
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
        self.queue.engines = engines
        self.step_soon()

    def submit(
        self, order: engine_queue.PlacementRequest, taker: Taker
    ) -> None:
        """Have a stream placed, at once if there is room."""
        self.takers[order.request] = taker
        self.queue.submit(order)
        self.step()

    def withdraw(self, request: ids.RequestId) -> None:
        """Forget a stream that waits."""
        self.takers.pop(request, None)
        self.queue.cancel(request)

    def commitment(
        self, request: ids.RequestId
    ) -> commitments.Commitment | None:
        """Return what is counted for a stream."""
        return self.queue.commitments.runs.get(request)

    def release(self, request: ids.RequestId) -> None:
        """Count a stream as ended, which may make room for another."""
        self.queue.commitments.release(request)
        if self.queue.waiting:
            self.step_soon()

    def place_copy(
        self,
        request: ids.RequestId,
        primary: model.Upstream,
        refused: frozenset[str] = frozenset(),
        must_fit: bool = True,
    ) -> model.Upstream | None:
        """Return where the copy of a run is to be kept, and count it.

        Args:
            request: The request that runs.
            primary: Where it runs.
            refused: Engines that will not do.
            must_fit: Whether only an engine with room will do.
        """
        counted = self.commitment(request)
        if counted is None:
            return None
        counted.copy = None
        engine = self.queue.place_copy(
            primary.service,
            engine_pairs.Location(
                primary.upstream, primary.region, primary.availability_zone
            ),
            counted.tokens,
            refused,
            must_fit,
            self.loop.now_ms(),
        )
        if engine is None:
            return None
        counted.copy = engine.upstream
        return self.upstreams.get(engine.upstream)

    def upstream_leaving(self, upstream: str) -> None:
        """Tell all streams that an upstream leaves or has left."""
        for stream in list(self.streams):
            stream.upstream_leaving(upstream)

    def step_soon(self) -> None:
        """Look at those who wait in the next round of the loop."""
        if not self.stepping:
            self.stepping = True
            self.loop.call_soon(self._step_now)

    def step(self) -> None:
        """Place those who fit."""
        for told in self.queue.step(self.loop.now_ms()):
            taker = self.takers.pop(told.request, None)
            if taker is not None:
                taker(told)
        if self.queue.waiting and self.timer is None:
            self.timer = self.loop.call_later(STEP_MS, self._timed_step)

    def _step_now(self) -> None:
        self.stepping = False
        self.step()

    def _timed_step(self) -> None:
        self.timer = None
        self.step()
