"""What the forwarding path knows of a deployment, in the project's words."""

import dataclasses
import enum

from eelgrassknot import ids
from eelgrassknot.kernel import events as kernel_events

__all__ = [
    'Account',
    'CallerLimits',
    'DeploymentState',
    'EngineProfile',
    'GenerationProfile',
    'PromptPart',
    'Route',
    'RouteKind',
    'Service',
    'WeightedService',
    'Upstream',
]


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAMING = 'streaming'


@dataclasses.dataclass(frozen=True)
class WeightedService:
    """Part of a route's requests that goes to one service.

    Attributes:
        weight: Relative weight among the shares of the route.
    """

    service: ids.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """One entry of the route table.

    Attributes:
        prefix: Path prefix; begins and ends with a slash.
        timeout_ms: Longest time that a caller is kept waiting.
        objective_ms: Time within which an answer has its full worth.
        priority: Rank of its requests; 0 is the most urgent.
        max_attempts: Upstreams that may run one request.
        public: Whether it is served without a key.
        resumable: Whether a stream may go on at another upstream.
        gap_objective_ms: Longest pause between events of a stream that is
            on time, or None.
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

    @property
    def is_idempotent(self) -> bool:
        """Whether a request of the route may run more than once."""
        return self.kind is RouteKind.SAFE or self.resumable


@dataclasses.dataclass(frozen=True)
class EngineProfile:
    """What all engines of a service have in common.

    Attributes:
        slots: Requests that run at once.
        memory_tokens: Tokens that its key-value memory holds.
        token_bytes: Bytes of memory a token takes.
        link_mbps: Bandwidth for copies of runs, in Mbit/s.
        can_move: Whether the memory of a run can be moved on request.
        can_copy: Whether a run may have a growing copy elsewhere.
        handle_ms: How long an unused copy is kept.
        event_tokens: Tokens in one event of a stream.
    """

    slots: int
    memory_tokens: int
    token_bytes: float
    link_mbps: float
    can_move: bool
    can_copy: bool
    handle_ttl_ms: float
    event_tokens: int


@dataclasses.dataclass(frozen=True)
class Service:
    """One service behind the routes.

    Attributes:
        max_connections: Connections that one upstream takes from all VMs.
        engine: Set for services of model engines.
    """

    name: ids.ServiceName
    health_path: str
    max_connections: int
    engine: EngineProfile | None = None


@dataclasses.dataclass(frozen=True)
class Account:
    """A client account and the keys that name it.

    Attributes:
        priority: Rank that goes before the route's, or None.
    """

    account: ids.ClientAccountId
    keys: tuple[str, ...]
    priority: int | None = None


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """What a caller may send and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


@dataclasses.dataclass(frozen=True)
class DeploymentState:
    """A version of all that operators decide.

    Attributes:
        has_accounts: Whether requests need a key at all.
    """

    version: ids.ConfigVersion
    routes: tuple[Route, ...]
    services: dict[ids.ServiceName, Service]
    accounts: tuple[Account, ...]
    limits: CallerLimits
    has_accounts: bool


@dataclasses.dataclass(frozen=True)
class Upstream(kernel_events.UpstreamInfo):
    """An upstream that the platform's store lists.

    Attributes:
        slots: Requests that it runs at once.
        warm_up_ms: How much longer it is slow after its start.
        started_at_ms: When it started, in ms since 1970 on its own clock.
    """

    slots: int
    warm_up_ms: float
    started_at_ms: int


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that other prompts may share."""

    part: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class GenerationProfile:
    """What a request says of the generation that it asks for.

    Attributes:
        prompt_tokens: Tokens of the prompt.
        max_output_tokens: Most tokens that it may generate.
        output_hint: The caller's guess of that, or None.
    """

    prompt_tokens: int
    max_output_tokens: int
    output_hint: int | None = None
    parts: tuple[PromptPart, ...] = ()
