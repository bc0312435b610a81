"""Records of a round by callers and upstreams, for the checkers."""

import msgspec

__all__ = [
    'CallRecord',
    'ConfigObservation',
    'ConnectionLoss',
    'EngineGeneration',
    'Execution',
    'History',
    'ReceivedToken',
    'StreamRecord',
    'UpstreamDeparture',
]


class ReceivedToken(msgspec.Struct):
    """One token that a caller received.

    Attributes:
        at_ms: Time of receipt on the machine's monotonic clock.
        resumed: Number of times the caller had resumed before.
    """

    text: str
    at_ms: float
    resumed: int = 0


class ConnectionLoss(msgspec.Struct):
    """A connection that ended before the answer was complete."""

    vm: str
    at_ms: float
    reason: str


class StreamRecord(msgspec.Struct):
    """One streamed request as recorded by its caller.

    Attributes:
        wanted_tokens: Length of the complete answer.
        outcome: ``done``, an outcome given by an error, or ``cut``.
        vms: Entry VMs that the caller used, in order.
        note: Reason of an outcome other than ``done``.
    """

    request_id: str
    wanted_tokens: int
    started_ms: float
    ended_ms: float = 0.0
    tokens: list[ReceivedToken] = []
    outcome: str = 'cut'
    vms: list[str] = []
    cuts: list[ConnectionLoss] = []
    note: str = ''


class CallRecord(msgspec.Struct):
    """One attempt of a plain call as recorded by its caller.

    Attributes:
        key: Idempotency key, or None.
        outcome: ``done``, an outcome given by an error, ``unreached``
            (nothing was sent) or ``cut``.
        answered_id: X-Request-Id of the answer.
    """

    request_id: str
    key: str | None
    idempotent: bool
    body: str
    started_ms: float
    ended_ms: float = 0.0
    outcome: str = 'cut'
    status: int = 0
    answered_id: str = ''
    answer: str = ''
    vm: str = ''


class EngineGeneration(msgspec.Struct):
    """One generation as recorded by its engine."""

    engine: str
    generation: str
    request_id: str
    at_ms: float
    produced: int
    state: str


class Execution(msgspec.Struct):
    """One plain call as recorded by its service."""

    service: str
    request_id: str
    key: str | None
    method: str
    at_ms: float


class UpstreamDeparture(msgspec.Struct):
    """Time range in which an upstream was announced as leaving."""

    upstream: str
    since_ms: float
    until_ms: float


class ConfigObservation(msgspec.Struct):
    """Version that one incarnation of a VM used at a time."""

    vm: str
    incarnation: str
    version: int
    at_ms: float


class History(msgspec.Struct):
    """All records of one round.

    Attributes:
        accepted: Time at which each config version was accepted.
        drained: Exit codes of drained VMs.
        cut_by_drain: Requests whose connection a draining VM closed.
        connections_kept: Whether no fault affected callers' connections.
    """

    streams: list[StreamRecord] = []
    calls: list[CallRecord] = []
    generations: list[EngineGeneration] = []
    executions: list[Execution] = []
    leaving: list[UpstreamDeparture] = []
    configs: list[ConfigObservation] = []
    accepted: dict[str, float] = {}
    drained: dict[str, int] = {}
    cut_by_drain: list[str] = []
    connections_kept: bool = False
