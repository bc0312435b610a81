"""Events handled and actions returned by a plain call."""

import enum

import msgspec

from eelgrassknot import ids
from eelgrassknot.kernel import events as kernel_events
from eelgrassknot import states

__all__ = [
    'Action',
    'Answer',
    'Answered',
    'AttemptFailed',
    'CallClass',
    'EndCall',
    'Event',
    'ForwardedAnswer',
    'NotRun',
    'Place',
    'Placed',
    'Refused',
    'Send',
    'Tick',
]


class CallClass(enum.Enum):
    """Class of a call, which determines how often it may run."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    KEYED = 'keyed'


class Answer(msgspec.Struct, frozen=True):
    """Answer of an upstream.

    Attributes:
        request: Request id echoed by the upstream, or None.
    """

    status: int
    content_type: str
    body: bytes
    request: ids.RequestId | None = None


class ForwardedAnswer(msgspec.Struct, frozen=True):
    """Answer of an upstream that is forwarded to the caller unchanged.

    Attributes:
        request: Request id echoed by the upstream, or None.
        headers: Headers with the upstream's original spelling.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    request: ids.RequestId | None = None


class Placed(msgspec.Struct, frozen=True):
    """The dispatcher chose an upstream."""

    upstream: kernel_events.UpstreamInfo
    crosses_region: bool


class Refused(msgspec.Struct, frozen=True):
    """The dispatcher has no upstream for the call."""

    reason: states.RefusalReason
    retry_after_ms: float


class Answered(msgspec.Struct, frozen=True):
    """An attempt was answered."""

    attempt: int
    answer: Answer | ForwardedAnswer


class AttemptFailed(msgspec.Struct, frozen=True):
    """An attempt received no answer.

    Attributes:
        may_have_sent: Whether any byte of the request may have been sent.
    """

    attempt: int
    may_have_sent: bool


class NotRun(msgspec.Struct, frozen=True):
    """The upstream confirmed that an attempt was not and will not be run."""

    attempt: int


class Tick(msgspec.Struct, frozen=True):
    """Time has passed."""


Event = Placed | Refused | Answered | AttemptFailed | NotRun | Tick


class Place(msgspec.Struct, frozen=True):
    """Request another upstream from the dispatcher."""

    failed: ids.UpstreamId


class Send(msgspec.Struct, frozen=True):
    """Send the request to an upstream.

    Attributes:
        needs_new_connection: Whether a new connection must be opened. An
            idle connection may be dead without notice, which would leave
            the outcome unknown.
    """

    attempt: int
    upstream: kernel_events.UpstreamInfo
    timeout_ms: float
    needs_new_connection: bool


class EndCall(msgspec.Struct, frozen=True):
    """Report the outcome to the caller; the last action of a call."""

    outcome: states.Outcome
    reason: str
    answer: Answer | ForwardedAnswer | None = None
    retry_after_ms: float | None = None


Action = Place | Send | EndCall
