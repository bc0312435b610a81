"""Events that the dispatcher handles and actions that it returns."""

import msgspec

from eelgrassknot import ids
from eelgrassknot.kernel import events as kernel_events
from eelgrassknot.policy import home_regions
from eelgrassknot.settings import text as services_text
from eelgrassknot import states

__all__ = [
    'AccountDemand',
    'PeerDemandReceived',
    'Action',
    'Announcement',
    'CacheEventsReceived',
    'ConfigChanged',
    'DigestReceived',
    'Dispatch',
    'EngineLoad',
    'VmCountsChanged',
    'Event',
    'FirstTokenReceived',
    'GapObserved',
    'LoadReported',
    'Refuse',
    'RequestArrived',
    'RequestCancelled',
    'RequestEnded',
    'RequestProfile',
    'RetryRequested',
    'Tick',
    'TokensProduced',
    'UpstreamFailed',
    'UpstreamShare',
    'UpstreamsChanged',
]


class RequestProfile(msgspec.Struct, frozen=True):
    """Properties of a request that are known before it runs.

    Attributes:
        prompt_tokens: Estimated size of the prompt.
        prefixes: Hashes of the prompt's first 256, 512, ... bytes,
            shortest first; empty for plain calls.
        max_tokens: Upper bound of the output, or None if the caller set
            none.
        deadline_ms: Time by which the caller needs the response, on the
            clock of this VM, or None.
        homes: Regions in which it may be served.
    """

    request: ids.RequestId
    service: ids.ServiceName
    kind: states.ServiceKind
    client_account: ids.ClientAccountId
    priority: states.Priority
    prompt_tokens: int
    prefixes: tuple[str, ...]
    max_tokens: int | None
    deadline_ms: float | None
    homes: home_regions.HomeRegions = home_regions.ANYWHERE


class EngineLoad(msgspec.Struct, frozen=True):
    """A load report of an upstream.

    Attributes:
        at_ms: Time of the report on the upstream's clock; comparable only
            with other reports of the same upstream.
    """

    upstream: ids.UpstreamId
    at_ms: float
    kv_tokens_used: int
    kv_tokens_total: int
    running: int
    waiting: int
    preemptions: int
    state: states.UpstreamState


class RequestArrived(msgspec.Struct, frozen=True):
    """A request that needs an upstream has arrived."""

    profile: RequestProfile


class RetryRequested(msgspec.Struct, frozen=True):
    """A dispatched request has not run and needs another upstream."""

    request: ids.RequestId
    failed: ids.UpstreamId


class RequestCancelled(msgspec.Struct, frozen=True):
    """A queued request was cancelled."""

    request: ids.RequestId


class FirstTokenReceived(msgspec.Struct, frozen=True):
    """The first token of a dispatched request was received."""

    request: ids.RequestId


class TokensProduced(msgspec.Struct, frozen=True):
    """A dispatched request has produced more tokens."""

    request: ids.RequestId
    count: int


class GapObserved(msgspec.Struct, frozen=True):
    """A token arrived late.

    Attributes:
        gap_ms: Time since the previous token.
    """

    request: ids.RequestId
    gap_ms: float


class RequestEnded(msgspec.Struct, frozen=True):
    """A dispatched request no longer occupies its upstream.

    Attributes:
        complete: Whether the upstream completed it, so that the length of
            its output is a valid observation.
    """

    request: ids.RequestId
    complete: bool


class UpstreamFailed(msgspec.Struct, frozen=True):
    """An attempt to use an upstream failed."""

    upstream: ids.UpstreamId


class LoadReported(msgspec.Struct, frozen=True):
    """A load report arrived, directly or in a peer's digest."""

    load: EngineLoad


class DigestReceived(msgspec.Struct, frozen=True):
    """A peer announced the load of its own dispatches at an upstream.

    Attributes:
        running: Number of its requests at the upstream.
        expected_tokens: Memory in tokens that these occupy as far as the
            peer knows: their prompts and their output so far.
    """

    vm: ids.VmId
    upstream: ids.UpstreamId
    running: int
    expected_tokens: int


class PeerDemandReceived(msgspec.Struct, frozen=True):
    """A peer announced the request rate of a client account."""

    vm: ids.VmId
    client_account: ids.ClientAccountId
    requests_per_second: float


class VmCountsChanged(msgspec.Struct, frozen=True):
    """Number of entry VMs, including this one, that share limits and link.

    Attributes:
        count: Entry VMs of the whole deployment.
        zone_count: Entry VMs of this VM's zone, which announce their
            demand to it; None if all VMs do.
    """

    count: int
    zone_count: int | None = None


class CacheEventsReceived(msgspec.Struct, frozen=True):
    """Prefixes that an engine stored or evicted; delayed and incomplete."""

    upstream: ids.UpstreamId
    stored: tuple[str, ...]
    evicted: tuple[str, ...]


class UpstreamsChanged(msgspec.Struct, frozen=True):
    """The complete set of upstreams known to the membership."""

    upstreams: tuple[kernel_events.UpstreamInfo, ...]


class ConfigChanged(msgspec.Struct, frozen=True):
    """A new services text is in force."""

    text: services_text.ServicesText


class Tick(msgspec.Struct, frozen=True):
    """The periodic timer has fired."""


Event = (
    RequestArrived
    | RetryRequested
    | RequestCancelled
    | FirstTokenReceived
    | TokensProduced
    | GapObserved
    | RequestEnded
    | UpstreamFailed
    | LoadReported
    | DigestReceived
    | PeerDemandReceived
    | VmCountsChanged
    | CacheEventsReceived
    | UpstreamsChanged
    | ConfigChanged
    | Tick
)


class Dispatch(msgspec.Struct, frozen=True):
    """The request must be sent to an upstream now.

    Attributes:
        crosses_region: Whether the upstream is in another region.
        max_permit_wait_ms: Longest useful wait for a permit, if the
            upstream has a request limit.
    """

    request: ids.RequestId
    upstream: kernel_events.UpstreamInfo
    crosses_region: bool
    max_permit_wait_ms: float = 0.0


class Refuse(msgspec.Struct, frozen=True):
    """The request is refused and has not run."""

    request: ids.RequestId
    reason: states.RefusalReason
    retry_after_ms: float


Action = Dispatch | Refuse


class UpstreamShare(msgspec.Struct, frozen=True):
    """Load of this VM's dispatches at an upstream; see DigestReceived."""

    upstream: ids.UpstreamId
    running: int
    expected_tokens: int


class AccountDemand(msgspec.Struct, frozen=True):
    """Request rate of a client account at this VM."""

    client_account: ids.ClientAccountId
    requests_per_second: float


class Announcement(msgspec.Struct, frozen=True):
    """State that this VM announces to its peers in each digest exchange."""

    upstreams: tuple[UpstreamShare, ...]
    demands: tuple[AccountDemand, ...]
