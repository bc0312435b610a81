"""Events handled and actions returned by a forwarded stream."""

import msgspec

from eelgrassknot import ids
from eelgrassknot.kernel import events as kernel_events
from eelgrassknot import states

__all__ = [
    'Action',
    'AbortAnswer',
    'AttemptBroken',
    'Blocked',
    'Cancel',
    'CopyPlaced',
    'AnswerCompleted',
    'Event',
    'Fail',
    'Finish',
    'Forward',
    'ForwardComment',
    'HeadReceived',
    'CopyMemory',
    'CopyEnded',
    'NotRun',
    'Place',
    'PlaceCopy',
    'Placed',
    'CommentReceived',
    'EventReceived',
    'Refused',
    'RequestSent',
    'Send',
    'StartAnswer',
    'StreamRules',
    'Tick',
    'Unsendable',
    'UpstreamLeaving',
    'ZonesEvacuated',
]

UpstreamInfo = kernel_events.UpstreamInfo


class StreamRules(msgspec.Struct, frozen=True):
    """Recovery options of a stream.

    Attributes:
        resumable: Whether a new run may continue after the last event.
        max_attempts: Maximum number of upstreams that may run it.
        can_copy: Whether its engine can maintain a copy of the run's
            memory on another engine.
        can_move: Whether its engine can copy the run's memory on request.
    """

    resumable: bool
    max_attempts: int
    can_copy: bool
    can_move: bool


class Placed(msgspec.Struct, frozen=True):
    """The dispatcher chose an upstream."""

    upstream: UpstreamInfo


class CopyPlaced(msgspec.Struct, frozen=True):
    """The dispatcher chose an upstream to hold the copy of a run."""

    attempt: int
    upstream: UpstreamInfo | None


class Refused(msgspec.Struct, frozen=True):
    """The dispatcher has no upstream for the stream."""

    reason: states.RefusalReason
    retry_after_ms: float


class RequestSent(msgspec.Struct, frozen=True):
    """The first byte of an attempt's request has been sent."""

    attempt: int


class HeadReceived(msgspec.Struct, frozen=True):
    """The head of an attempt's answer was received.

    Attributes:
        accepted: Whether it is a success response to this request.
    """

    attempt: int
    accepted: bool


class EventReceived(msgspec.Struct, frozen=True):
    """A complete event of an attempt's stream was received.

    Attributes:
        index: Numeric id of the event, or None if it has none.
    """

    attempt: int
    index: int | None
    data: bytes


class CommentReceived(msgspec.Struct, frozen=True):
    """A comment was received, which is no progress of the stream."""

    attempt: int
    data: bytes


class AnswerCompleted(msgspec.Struct, frozen=True):
    """An attempt's answer is complete."""

    attempt: int


class AttemptBroken(msgspec.Struct, frozen=True):
    """An attempt ended without a complete answer.

    Attributes:
        may_have_sent: Whether any byte of the request may have been sent.
        has_responded: Whether the upstream has sent any byte after that.
    """

    attempt: int
    may_have_sent: bool
    has_responded: bool = False


class NotRun(msgspec.Struct, frozen=True):
    """The upstream confirmed that an attempt was not and will not be run.

    Attributes:
        misdirected: Whether the address belongs to another process, which
            has no copy of any run of the one before.
        withheld: Whether this VM must not send to the upstream.
    """

    attempt: int
    misdirected: bool = False
    withheld: bool = False


class Unsendable(msgspec.Struct, frozen=True):
    """The request of an attempt cannot be encoded, for no upstream."""

    attempt: int
    retry_after_ms: float


class Blocked(msgspec.Struct, frozen=True):
    """The prompt has crashed several engines and must not be sent."""

    retry_after_ms: float


class UpstreamLeaving(msgspec.Struct, frozen=True):
    """An upstream is leaving or has left the deployment."""

    upstream: str


class ZonesEvacuated(msgspec.Struct, frozen=True):
    """The upstreams of these availability zones must get no new work."""

    zones: frozenset[ids.AvailabilityZoneId]


class CopyEnded(msgspec.Struct, frozen=True):
    """A requested copy of the run's memory has finished or failed.

    Attributes:
        target: Upstream to hold the copy, or None if none has room.
        handle: Name of the copy on the target, or None if it failed.
    """

    target: UpstreamInfo | None
    handle: str | None


class Tick(msgspec.Struct, frozen=True):
    """Time has passed."""


Event = (
    Placed
    | CopyPlaced
    | Refused
    | RequestSent
    | HeadReceived
    | EventReceived
    | CommentReceived
    | AnswerCompleted
    | AttemptBroken
    | NotRun
    | Unsendable
    | Blocked
    | UpstreamLeaving
    | ZonesEvacuated
    | CopyEnded
    | Tick
)


class Place(msgspec.Struct, frozen=True):
    """Request an upstream from the dispatcher.

    Attributes:
        failed: Upstreams that must not be chosen.
    """

    failed: frozenset[str]


class PlaceCopy(msgspec.Struct, frozen=True):
    """Request an upstream to hold a copy of the run's memory.

    Attributes:
        refused: Upstreams that had no room for it.
        must_fit: Whether the upstream must have room for the copy.
    """

    source: UpstreamInfo
    refused: frozenset[str]
    must_fit: bool


class Send(msgspec.Struct, frozen=True):
    """Send the request to an upstream.

    Attributes:
        continue_from: ``IP:port/name`` of the memory copy to continue
            from, or None for a new run.
        last_event: Event after which to continue, or None.
        wants_copy: Whether to maintain a copy on another engine.
    """

    attempt: int
    upstream: UpstreamInfo
    continue_from: str | None
    last_event: int | None
    wants_copy: bool


class Cancel(msgspec.Struct, frozen=True):
    """Close the connection of an attempt."""

    attempt: int


class CopyMemory(msgspec.Struct, frozen=True):
    """Have the source copy new parts of the run's memory to a target."""

    source: UpstreamInfo
    target: UpstreamInfo


class StartAnswer(msgspec.Struct, frozen=True):
    """Forward the head of an attempt's answer to the caller."""

    attempt: int


class Forward(msgspec.Struct, frozen=True):
    """Forward an event to the caller."""

    data: bytes


class ForwardComment(msgspec.Struct, frozen=True):
    """Forward a comment to the caller."""

    data: bytes


class Finish(msgspec.Struct, frozen=True):
    """End the caller's answer as complete."""


class AbortAnswer(msgspec.Struct, frozen=True):
    """Abort the caller's answer so that it is visibly incomplete."""

    reason: str


class Fail(msgspec.Struct, frozen=True):
    """Report to the caller that there is no answer.

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
    | ForwardComment
    | Finish
    | AbortAnswer
    | Fail
)
