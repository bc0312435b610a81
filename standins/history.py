"""What callers and upstreams saw, as the checkers read it."""

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
    """One token that reached a caller.

    Attributes:
        at_ms: When, on the machine's monotonic clock.
        resumed: How many times the caller had resumed before.
    """

    text: str
    at_ms: float
    resumed: int = 0


class ConnectionLoss(msgspec.Struct):
    """A connection that ended before its answer did."""

    vm: str
    at_ms: float
    reason: str


class StreamRecord(msgspec.Struct):
    """One streamed request as its caller saw it.

    Attributes:
        wanted_tokens: Length of the whole answer.
        outcome: ``done``, an outcome that an error named, or ``cut``.
        vms: Entry VMs that the caller used, in order.
        note: Why it ended otherwise than ``done``.
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
    """One attempt of a plain call as its caller saw it.

    Attributes:
        key: Idempotency key, or None.
        outcome: ``done``, an outcome that an error named, ``unreached``
            (no byte left the caller) or ``cut``.
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
    """One generation as its engine recorded it."""

    engine: str
    generation: str
    request_id: str
    at_ms: float
    produced: int
    state: str


class Execution(msgspec.Struct):
    """One plain call as its service recorded it."""

    service: str
    request_id: str
    key: str | None
    method: str
    at_ms: float


class UpstreamDeparture(msgspec.Struct):
    """An upstream that said from some time on that it was leaving."""

    upstream: str
    since_ms: float
    until_ms: float


class ConfigObservation(msgspec.Struct):
    """The version that one process of a VM had in force at a time."""

    vm: str
    incarnation: str
    version: int
    at_ms: float


class History(msgspec.Struct):
    """All records of one round.

    Attributes:
        accepted: Time at which each config version was accepted.
        drained: Exit codes of the VMs that were told to drain.
        cut_by_drain: Requests whose connection a draining VM cut.
        connections_kept: Whether no fault touched a caller's connection.
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
