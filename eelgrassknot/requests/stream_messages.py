"""Events that a forwarded stream is told and actions that it returns."""

import dataclasses

from eelgrassknot.kernel import events as kernel_events
from eelgrassknot import states

__all__ = [
    'Action',
    'AbortAnswer',
    'AttemptBroken',
    'Cancel',
    'CopyPlaced',
    'AnswerCompleted',
    'Event',
    'Fail',
    'Finish',
    'Forward',
    'HeadReceived',
    'CopyMemory',
    'CopyEnded',
    'NotRun',
    'Place',
    'PlaceCopy',
    'Placed',
    'EventReceived',
    'Refused',
    'Send',
    'StartAnswer',
    'StreamRules',
    'Tick',
    'UpstreamLeaving',
]

UpstreamInfo = kernel_events.UpstreamInfo


@dataclasses.dataclass(frozen=True)
class StreamRules:
    """What may be done with a stream.

    Attributes:
        resumable: Whether a new run may go on after the last event.
        max_attempts: Upstreams that may run it.
        can_copy: Whether its run can have a growing copy elsewhere.
        can_move: Whether its run can be moved on request.
    """

    resumable: bool
    max_attempts: int
    can_copy: bool
    can_move: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """The dispatcher chose an upstream."""

    upstream: UpstreamInfo


@dataclasses.dataclass(frozen=True, slots=True)
class CopyPlaced:
    """The dispatcher chose who keeps the copy of an attempt's run."""

    attempt: int
    upstream: UpstreamInfo | None


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The dispatcher has no upstream for the stream."""

    reason: states.RefusalReason
    retry_after_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class HeadReceived:
    """The head of an attempt's answer has come.

    Attributes:
        accepted: Whether it is a genuine success.
    """

    attempt: int
    accepted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class EventReceived:
    """A whole event of an attempt's stream has come.

    Attributes:
        index: The event's id, or None if it has none.
    """

    attempt: int
    index: int | None
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerCompleted:
    """An attempt's answer is complete."""

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptBroken:
    """An attempt ended without a complete answer."""

    attempt: int
    may_have_sent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The upstream promised that it did not and will not run an attempt."""

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLeaving:
    """An upstream is about to leave, or has left."""

    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class CopyEnded:
    """A move of the run's memory has ended.

    Attributes:
        target: Where the memory was to go, or None if nowhere has room.
        handle: Names the copy there, or None if there is none.
    """

    target: UpstreamInfo | None
    handle: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event = (
    Placed
    | CopyPlaced
    | Refused
    | HeadReceived
    | EventReceived
    | AnswerCompleted
    | AttemptBroken
    | NotRun
    | UpstreamLeaving
    | CopyEnded
    | Tick
)


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Have the dispatcher choose an upstream.

    Attributes:
        failed: Upstreams that it must not choose.
    """

    failed: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceCopy:
    """Have the dispatcher choose where the run's memory can be copied.

    Attributes:
        refused: Upstreams that had no room for it.
        must_fit: Whether only an upstream with room will do.
    """

    source: UpstreamInfo
    refused: frozenset[str]
    must_fit: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send the request to an upstream.

    Attributes:
        continue_from: ``IP:port/name`` of the memory to go on from.
        last_event: Event after which it goes on, or None.
        wants_copy: Whether a copy of the run is to grow elsewhere.
        is_repeat: Whether the retry budget pays for it.
    """

    attempt: int
    upstream: UpstreamInfo
    continue_from: str | None
    last_event: int | None
    wants_copy: bool
    is_repeat: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Close the connection of an attempt."""

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class CopyMemory:
    """Have the source copy what is new of the run's memory to a target."""

    source: UpstreamInfo
    target: UpstreamInfo


@dataclasses.dataclass(frozen=True, slots=True)
class StartAnswer:
    """Pass the head of an attempt's answer on to the caller."""

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Pass an event on to the caller."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """End the caller's answer as complete."""


@dataclasses.dataclass(frozen=True, slots=True)
class AbortAnswer:
    """End the caller's answer visibly incomplete."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Fail:
    """Tell the caller that there is no answer.

    Attributes:
        outcome: Whether the request may have run.
    """

    outcome: states.Outcome
    reason: str
    retry_after_ms: float | None = None


Action = (
    Place
    | PlaceCopy
    | Send
    | Cancel
    | CopyMemory
    | StartAnswer
    | Forward
    | Finish
    | AbortAnswer
    | Fail
)
