"""A requested permit to send to a limited or cold upstream."""

import collections.abc
import enum

from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot import ids
from eelgrassknot.policy import cold_permits
from eelgrassknot.policy import send_permits as policy

__all__ = [
    'Callback',
    'Cause',
    'PERMIT_TTL_MS',
    'PendingPermit',
    'PermitState',
    'Result',
    'decode',
    'encode',
]

Result = policy.Grant | policy.Denial
PERMIT_TTL_MS = 500.0
"""How long after its time a permit can be used; ms. A VM that was paused
must not send late what others were told to leave room for."""
Callback = collections.abc.Callable[[Result], None]


def _ignore(_: Result) -> None:
    """Replace the callback of a permit that is over."""


class PermitState(enum.Enum):
    """Progress of a requested permit."""

    ASKED = 'asked'
    GRANTED = 'granted'
    OVER = 'over'


class Cause(enum.Enum):
    """Why sending to an upstream needs a permit."""

    LIMIT = 'limit'
    COLD = 'cold'


class PendingPermit:
    """A permit that has been requested and not yet used.

    Args:
        upstream: Upstream to which the request is to be sent.
        request: The request, for the log.
        asked_ms: When the permit was requested.
        callback: Called once with the result, unless cancelled.

    Attributes:
        causes: Why the permit is needed.
        issuer: VM that was asked for it.
    """

    def __init__(
        self,
        upstream: ids.UpstreamId,
        request: ids.RequestId,
        asked_ms: float,
        callback: Callback,
    ) -> None:
        self.upstream = upstream
        self.request = request
        self.asked_ms = asked_ms
        self.callback = callback
        self.state = PermitState.ASKED
        self.causes: frozenset[Cause] = frozenset()
        self.issuer: ids.VmId | None = None

    @property
    def cause(self) -> str:
        """Name of the causes, for metrics and logs."""
        names = sorted(cause.value for cause in self.causes)
        return '_and_'.join(names) or 'none'

    def is_expired(
        self, grant: policy.Grant, due_ms: float, now_ms: float
    ) -> bool:
        """Return whether it is too late to use the permit.

        Args:
            grant: The permit.
            due_ms: Time of the permit as the issuer's reply has shown.
            now_ms: The present time.
        """
        if now_ms - due_ms > PERMIT_TTL_MS:
            return True
        # The issuer counts from a moment after the request was made.
        late_ms = now_ms - self.asked_ms - grant.delay_ms
        return Cause.COLD in self.causes and late_ms > cold_permits.LATE_MS

    def cancel(self) -> None:
        """Prevent the callback; a permit that was issued expires."""
        self.state = PermitState.OVER
        self.callback = _ignore

    def finish(self, found: Result) -> None:
        """Report the result unless it is no longer wanted."""
        if self.state is not PermitState.OVER:
            callback = self.callback
            self.cancel()
            callback(found)


def encode(ticket: int, found: Result) -> messages.PermitReply:
    """Return the reply that tells a peer a result."""
    match found:
        case policy.Grant(delay_ms):
            return messages.PermitReply(ticket, True, delay_ms)
        case policy.Denial(retry_after_ms):
            return messages.PermitReply(ticket, False, retry_after_ms)


def decode(message: messages.PermitReply) -> Result:
    """Return the result that a reply tells."""
    if message.is_granted:
        return policy.Grant(message.delay_ms)
    return policy.Denial(message.delay_ms)
