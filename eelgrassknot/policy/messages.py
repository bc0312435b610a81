"""Events that the dispatcher is told and actions that it returns."""

import dataclasses

from eelgrassknot import ids
from eelgrassknot.kernel import events as kernel_events
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


@dataclasses.dataclass(frozen=True, slots=True)
class RequestProfile:
    """What is known of a request before it runs.

    Attributes:
        prompt_tokens: Estimated size of the prompt.
        prefixes: Hashes of the prompt's first 256, 512, ... bytes, the
            shortest first; empty for plain calls.
        max_tokens: Bound on the output, or None if the caller set none.
        deadline_ms: Time by which the caller wants an answer, on the
            clock of this VM, or None.
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


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLoad:
    """An upstream's own report of its load.

    Attributes:
        at_ms: Time of the report on the upstream's own clock, which can
            only be compared with other reports of the same upstream.
    """

    upstream: ids.UpstreamId
    at_ms: float
    kv_tokens_used: int
    kv_tokens_total: int
    running: int
    waiting: int
    preemptions: int
    state: states.UpstreamState


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request wants an upstream."""

    profile: RequestProfile


@dataclasses.dataclass(frozen=True, slots=True)
class RetryRequested:
    """A dispatched request needs another upstream; it has not run."""

    request: ids.RequestId
    failed: ids.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True)
class RequestCancelled:
    """A queued request is no longer wanted."""

    request: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class FirstTokenReceived:
    """The first token of a dispatched request has come."""

    request: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class TokensProduced:
    """A dispatched request has produced more tokens."""

    request: ids.RequestId
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class GapObserved:
    """A token came late.

    Attributes:
        gap_ms: Time since the token before it.
    """

    request: ids.RequestId
    gap_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnded:
    """A dispatched request holds its upstream no more.

    Attributes:
        complete: Whether the upstream finished it, so that the length
            of its output is the true one.
    """

    request: ids.RequestId
    complete: bool


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamFailed:
    """An attempt to use an upstream failed."""

    upstream: ids.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReported:
    """A load report came, directly or by way of a peer's digest."""

    load: EngineLoad


@dataclasses.dataclass(frozen=True, slots=True)
class DigestReceived:
    """A peer said what it holds at an upstream by its own dispatches.

    Attributes:
        running: Requests that it has there.
        expected_tokens: Memory in tokens that they hold there by what
            the peer knows: their prompts and their output so far.
    """

    vm: ids.VmId
    upstream: ids.UpstreamId
    running: int
    expected_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDemandReceived:
    """A peer said how much of its traffic a client account makes."""

    vm: ids.VmId
    client_account: ids.ClientAccountId
    requests_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class VmCountsChanged:
    """How many entry VMs, this one among them, share limits and link.

    Attributes:
        count: Entry VMs of the whole deployment.
        zone_count: Those of this VM's zone, which tell it their demand;
            None if all of them do.
    """

    count: int
    zone_count: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEventsReceived:
    """Prefixes that an engine stored or evicted; late, with gaps."""

    upstream: ids.UpstreamId
    stored: tuple[str, ...]
    evicted: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamsChanged:
    """The whole set of upstreams, as the membership knows it."""

    upstreams: tuple[kernel_events.UpstreamInfo, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigChanged:
    """Another services text is in force."""

    text: services_text.ServicesText


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


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


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """The request is to be sent to an upstream now.

    Attributes:
        crosses_region: Whether the upstream is in another region.
    """

    request: ids.RequestId
    upstream: kernel_events.UpstreamInfo
    crosses_region: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The request is refused; it was not run."""

    request: ids.RequestId
    reason: states.RefusalReason
    retry_after_ms: float


Action = Dispatch | Refuse


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamShare:
    """What this VM holds at an upstream; see DigestReceived."""

    upstream: ids.UpstreamId
    running: int
    expected_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class AccountDemand:
    """How many requests a second a client account sends to this VM."""

    client_account: ids.ClientAccountId
    requests_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """What this VM tells its peers in each exchange of digests."""

    upstreams: tuple[UpstreamShare, ...]
    demands: tuple[AccountDemand, ...]
