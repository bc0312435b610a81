"""Events that a claim is told and actions that it returns."""

import dataclasses
import enum

import msgspec

from eelgrassknot import ids
from eelgrassknot.requests import peers
from eelgrassknot.requests import plain_messages
from eelgrassknot import states

__all__ = [
    'Action',
    'AskOwner',
    'CallEnded',
    'ClaimRow',
    'ClaimState',
    'EndClaim',
    'Event',
    'OwnerAnswered',
    'ReadFailed',
    'ReadRow',
    'RowRead',
    'StartCall',
    'StoreOutcome',
    'Tick',
    'WriteClaim',
    'WriteCommitted',
    'WriteConflicted',
    'WriteUnavailable',
    'WriteUnknown',
]


class ClaimState(enum.Enum):
    """States of a claim's row."""

    CLAIMED = 'claimed'
    DONE = 'done'
    NOT_RUN = 'not_run'


class ClaimRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """Row of one keyed call.

    Attributes:
        vm: Entry VM that holds the claim.
        incarnation: Run of that VM's daemon.
        nonce: Names the attempt to claim; only its holder dispatches.
        request_hash: Hash of the method, path and body.
        written_at_ms: Wall-clock time, for expiry by age alone.
        answer: The answer, if it is done and fits a row.
        answer_object: Key of the object that holds it otherwise.
    """

    state: ClaimState
    vm: ids.VmId
    incarnation: ids.IncarnationId
    nonce: ids.Nonce
    request_hash: str
    written_at_ms: float
    answer: plain_messages.Answer | None = None
    answer_object: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class WriteCommitted:
    """A write took effect."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteConflicted:
    """A write did not take effect, as the row has another version."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteUnavailable:
    """A write did not reach the store, and will not take effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteUnknown:
    """A write may have taken effect, or may do so later."""


@dataclasses.dataclass(frozen=True, slots=True)
class RowRead:
    """The row was read; it may be absent.

    Attributes:
        version: Version of the row, 0 if it is absent.
    """

    row: ClaimRow | None
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFailed:
    """The row could not be read."""


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerAnswered:
    """The owner of the claim that was found answered, or did not."""

    answer: peers.OwnerAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class CallEnded:
    """The call that this claim allowed has ended."""

    end: plain_messages.EndCall


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event = (
    WriteCommitted
    | WriteConflicted
    | WriteUnavailable
    | WriteUnknown
    | RowRead
    | ReadFailed
    | OwnerAnswered
    | CallEnded
    | Tick
)


@dataclasses.dataclass(frozen=True, slots=True)
class WriteClaim:
    """Write this claim if the row has a version; None means absent."""

    version: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRow:
    """Read the row."""


@dataclasses.dataclass(frozen=True, slots=True)
class AskOwner:
    """Ask the VM that holds the claim that was found."""

    row: ClaimRow


@dataclasses.dataclass(frozen=True, slots=True)
class StartCall:
    """Dispatch the call; this comes at most once."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreOutcome:
    """Write how the call ended over the claim of this version."""

    version: int
    state: ClaimState
    answer: plain_messages.Answer | None


@dataclasses.dataclass(frozen=True, slots=True)
class EndClaim:
    """Tell the caller the outcome.

    Attributes:
        row: The row that holds the answer, if an earlier call gave it.
    """

    outcome: states.Outcome
    reason: str
    answer: plain_messages.Answer | None = None
    row: ClaimRow | None = None
    retry_after_ms: float | None = None


Action = (
    WriteClaim | ReadRow | AskOwner | StartCall | StoreOutcome | EndClaim
)
