"""Platform-independent model of a deployment for the forwarding path."""

import enum

import msgspec

from eelgrassknot import ids
from eelgrassknot.kernel import events as kernel_events

__all__ = [
    'Account',
    'CallerLimits',
    'DeploymentState',
    'EngineProfile',
    'GenerationProfile',
    'Route',
    'RouteKind',
    'Service',
    'WeightedService',
    'Upstream',
]

MISDIRECTED_REQUEST = 421
"""Status of a server that is not the process to which a request was sent."""


class RouteKind(enum.Enum):
    """Retry semantics of a route's requests."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAMING = 'streaming'


class WeightedService(msgspec.Struct, frozen=True):
    """A service that receives a share of a route's requests.

    Attributes:
        weight: Weight relative to the route's other services.
    """

    service: ids.ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """One entry of the route table.

    Attributes:
        host: Host in its normal form; see ``routing``.
        prefix: Path prefix in its normal form; begins and ends with a slash.
        timeout_ms: Maximum time that a caller waits for the response.
        objective_ms: Latency objective of a response.
        priority: Priority of its requests; 0 is the most urgent.
        max_attempts: Maximum number of upstreams that may run one request.
        public: Whether requests need no key.
        resumable: Whether a stream may be resumed at another upstream.
        gap_objective_ms: Objective for the longest pause between two
            events of a stream, or None.
        home_regions: Regions in which its requests may be served; empty
            for all.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[WeightedService, ...]
    timeout_ms: float
    objective_ms: float
    priority: int
    max_attempts: int
    public: bool = False
    resumable: bool = False
    gap_objective_ms: float | None = None
    home_regions: tuple[ids.RegionId, ...] = ()

    @property
    def is_idempotent(self) -> bool:
        """Whether a request of the route may run more than once."""
        return self.kind is RouteKind.SAFE or self.resumable


class EngineProfile(msgspec.Struct, frozen=True):
    """Properties shared by all engines of a service.

    Attributes:
        slots: Number of concurrent requests.
        memory_tokens: Capacity of the KV cache in tokens.
        token_bytes: Size of a token in the KV cache in bytes.
        link_mbps: Bandwidth for KV transfers in Mbit/s.
        can_move: Whether a run's KV cache can be transferred on request.
        can_copy: Whether a run's KV cache can be copied incrementally to
            another engine.
        handle_ttl_ms: How long an unused copy is kept.
        event_tokens: Number of tokens in one event of a stream.
    """

    slots: int
    memory_tokens: int
    token_bytes: float
    link_mbps: float
    can_move: bool
    can_copy: bool
    handle_ttl_ms: float
    event_tokens: int


class Service(msgspec.Struct, frozen=True):
    """One service behind the routes.

    Attributes:
        max_connections: Maximum number of connections that one upstream
            accepts from all VMs together.
        engine: Engine properties; None for plain services.
        warm_up_ms: How long its upstreams are cold after a start.
        warm_up_per_s: Requests per second that a cold upstream tolerates
            from all VMs together; 0 if it has no such limit.
    """

    name: ids.ServiceName
    health_path: str
    max_connections: int
    engine: EngineProfile | None = None
    warm_up_ms: float = 0.0
    warm_up_per_s: float = 0.0


class Account(msgspec.Struct, frozen=True):
    """A client account and its API keys.

    Attributes:
        priority: Overrides the route's priority, unless None.
        home_regions: Regions in which its requests may be served; empty
            for all.
    """

    account: ids.ClientAccountId
    keys: tuple[str, ...]
    priority: int | None = None
    home_regions: tuple[ids.RegionId, ...] = ()


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on the size and the duration of a caller's request."""

    header_bytes: int
    body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class DeploymentState(msgspec.Struct, frozen=True):
    """One version of the operators' configuration of a deployment.

    Attributes:
        has_accounts: Whether the deployment authenticates requests.
        unreadable_homes: Paths of the lists of home regions that could not
            be decoded.
    """

    version: ids.ConfigVersion
    routes: tuple[Route, ...]
    services: dict[ids.ServiceName, Service]
    accounts: tuple[Account, ...]
    limits: CallerLimits
    has_accounts: bool
    unreadable_homes: tuple[str, ...] = ()


class Upstream(kernel_events.UpstreamInfo, frozen=True):
    """An upstream listed in the platform's store.

    Attributes:
        slots: Number of concurrent requests.
        warm_up_ms: Remaining time of reduced speed after the start.
        started_at_ms: Start time in Unix ms, on the upstream's own clock.
    """

    slots: int
    warm_up_ms: float
    started_at_ms: int

    @property
    def incarnation(self) -> str:
        """Name of this run of the upstream's process."""
        return f'{self.upstream}@{self.started_at_ms}'


class GenerationProfile(msgspec.Struct, frozen=True):
    """Size of a requested generation, as stated in the request.

    Attributes:
        prompt_tokens: Number of tokens in the prompt.
        max_output_tokens: Maximum number of generated tokens.
        output_hint: The caller's estimate of the number of generated
            tokens, or None.
        part_names: Names of the prompt's parts in order, joined by commas;
            the last part belongs to this request or its session alone. As
            one string, because a head has room for thousands of parts.
    """

    prompt_tokens: int
    max_output_tokens: int
    output_hint: int | None = None
    part_names: str = ''

    @property
    def parts(self) -> list[str]:
        """Names of the prompt's parts, built anew each time."""
        return self.part_names.split(',') if self.part_names else []

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Names of the parts that other prompts may share."""
        return tuple(self.parts[:-1])
