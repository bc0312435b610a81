"""Events that a plain call is told and actions that it returns."""

import dataclasses
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
    """How often a call may run."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    KEYED = 'keyed'


class Answer(msgspec.Struct, frozen=True):
    """What an upstream answered.

    Attributes:
        request: Request that the upstream says it answers, or None.
    """

    status: int
    content_type: str
    body: bytes
    request: ids.RequestId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedAnswer:
    """An upstream's answer that goes to the caller byte for byte.

    Attributes:
        request: Request that the upstream says it answers, or None.
        headers: Headers in the upstream's own spelling.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    request: ids.RequestId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """The dispatcher chose an upstream."""

    upstream: kernel_events.UpstreamInfo
    crosses_region: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The dispatcher has no upstream for the call."""

    reason: states.RefusalReason
    retry_after_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """An attempt was answered."""

    attempt: int
    answer: Answer | ForwardedAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt got no answer.

    Attributes:
        may_have_sent: Whether any byte of the request may have left.
    """

    attempt: int
    may_have_sent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The upstream promised that it did not and will not run an attempt."""

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event = Placed | Refused | Answered | AttemptFailed | NotRun | Tick


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Have the dispatcher choose another upstream."""

    failed: ids.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send the request to an upstream.

    Attributes:
        needs_new_connection: Whether only a new connection will do: one
            that was open before may have gone silent, which would leave
            the outcome unknown.
    """

    attempt: int
    upstream: kernel_events.UpstreamInfo
    timeout_ms: float
    needs_new_connection: bool


@dataclasses.dataclass(frozen=True, slots=True)
class EndCall:
    """Tell the caller the outcome; nothing follows."""

    outcome: states.Outcome
    reason: str
    answer: Answer | ForwardedAnswer | None = None
    retry_after_ms: float | None = None


Action = Place | Send | EndCall
