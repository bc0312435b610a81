"""Dispatcher: decides when and where each request of a VM runs."""

import collections
import random

from eelgrassknot import ids
from eelgrassknot.kernel import events as kernel_events
from eelgrassknot.policy import messages
from eelgrassknot import states

__all__ = ['Dispatcher']

RETRY_AFTER_MS = 1_000.0
MAX_QUEUED = 256


class Dispatcher:
    """Sends each request to the least loaded of two sampled upstreams.

    Args:
        availability_zone: Zone of this VM.
        region: Region of this VM.
        generator: Source of random choices.

    References:
        Mitzenmacher, "The Power of Two Choices in Randomized Load
        Balancing", IEEE TPDS 2001.
    """

    def __init__(
        self,
        availability_zone: ids.AvailabilityZoneId,
        region: ids.RegionId,
        generator: random.Random,
    ) -> None:
        self.availability_zone = availability_zone
        self.region = region
        self.generator = generator
        self.upstreams: dict[str, kernel_events.UpstreamInfo] = {}
        self.running: collections.Counter = collections.Counter()
        self.profiles: dict[str, messages.RequestProfile] = {}
        self.placed: dict[str, ids.UpstreamId] = {}

    def handle(
        self, event: messages.Event, now_ms: float
    ) -> list[messages.Action]:
        """Take in one event and return what is to be done.

        Args:
            event: What happened.
            now_ms: The present time of this VM's clock.
        """
        match event:
            case messages.RequestArrived(profile):
                self.profiles[profile.request] = profile
                return [self._place(profile, frozenset())]
            case messages.RetryRequested(request, failed):
                self._release(request)
                profile = self.profiles[request]
                return [self._place(profile, frozenset([failed]))]
            case messages.RequestEnded(request):
                self._release(request)
                self.profiles.pop(request, None)
            case messages.UpstreamsKnown(upstreams):
                self.upstreams = {u.upstream: u for u in upstreams}
        return []

    def _place(
        self, profile: messages.RequestProfile, excluded: frozenset
    ) -> messages.Action:
        candidates = self._candidates(profile, excluded)
        if not candidates:
            return messages.Refuse(
                profile.request,
                states.RefusalReason.NO_UPSTREAM,
                RETRY_AFTER_MS,
            )
        count = min(2, len(candidates))
        sampled = self.generator.sample(candidates, count)
        chosen = min(sampled, key=lambda u: self.running[u.upstream])
        self.running[chosen.upstream] += 1
        self.placed[profile.request] = chosen.upstream
        crosses = chosen.region != self.region
        return messages.Dispatch(profile.request, chosen, crosses)

    def _candidates(
        self, profile: messages.RequestProfile, excluded: frozenset
    ) -> list[kernel_events.UpstreamInfo]:
        usable = [
            upstream
            for upstream in self.upstreams.values()
            if upstream.service == profile.service
            and upstream.state is states.UpstreamState.LIVE
            and upstream.upstream not in excluded
        ]
        near = [u for u in usable if u.region == self.region]
        return near or usable

    def _release(self, request: ids.RequestId) -> None:
        upstream = self.placed.pop(request, None)
        if upstream is not None:
            self.running[upstream] -= 1
