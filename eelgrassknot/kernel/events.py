"""Events that the parts of a daemon publish on its hub."""

import dataclasses

from eelgrassknot import ids
from eelgrassknot.settings import text as services_text
from eelgrassknot import states

__all__ = [
    'ConfigAdopted',
    'GenerationFacts',
    'LeaveTold',
    'PlainCallFacts',
    'RegionTraffic',
    'UpstreamInfo',
    'UpstreamsChanged',
]


@dataclasses.dataclass(frozen=True)
class ConfigAdopted:
    """A version of the services text is in force from now on."""

    version: ids.ConfigVersion
    text: services_text.ServicesText


@dataclasses.dataclass(frozen=True)
class LeaveTold:
    """The platform's list says that this VM is leaving."""


@dataclasses.dataclass(frozen=True)
class UpstreamInfo:
    """An upstream as the membership knows it.

    Attributes:
        address: ``IP:port`` on which it listens.
    """

    upstream: ids.UpstreamId
    service: ids.ServiceName
    kind: states.ServiceKind
    address: str
    availability_zone: ids.AvailabilityZoneId
    region: ids.RegionId
    state: states.UpstreamState


@dataclasses.dataclass(frozen=True)
class UpstreamsChanged:
    """The whole set of upstreams that are known now."""

    upstreams: tuple[UpstreamInfo, ...]


@dataclasses.dataclass(frozen=True)
class GenerationFacts:
    """What the report needs to know of one ended generation request.

    All ``*_ms`` fields are parts of the whole time and add up to it.
    """

    request: ids.RequestId
    service: ids.ServiceName
    client_account: ids.ClientAccountId
    outcome: states.Outcome
    reason: str
    upstream: ids.UpstreamId | None
    upstream_region: ids.RegionId | None
    total_ms: float
    entry_queue_ms: float
    limit_ms: float
    engine_queue_ms: float
    prefill_ms: float
    decode_ms: float
    stall_ms: float
    preemption_ms: float
    link_ms: float
    first_token_ms: float | None
    token_gaps_ms: tuple[float, ...]
    tokens_delivered: int
    tokens_discarded: int
    discard_reason: str
    bytes_in: int
    bytes_out: int
    crossed_regions: bool


@dataclasses.dataclass(frozen=True)
class PlainCallFacts:
    """What the report needs to know of one ended plain call."""

    request: ids.RequestId
    service: ids.ServiceName
    client_account: ids.ClientAccountId
    outcome: states.Outcome
    reason: str
    upstream: ids.UpstreamId | None
    total_ms: float
    entry_queue_ms: float
    store_ms: float
    upstream_ms: float
    attempts: int
    bytes_in: int
    bytes_out: int
    crossed_regions: bool


@dataclasses.dataclass(frozen=True)
class RegionTraffic:
    """Bytes that went to another region for no single request.

    Attributes:
        cause: Why they went, such as ``control``.
    """

    cause: str
    byte_count: int
