"""What is known of a caller's request once it is authenticated."""

import dataclasses

from werkzeug import wrappers

from eelgrassknot.frontend import dispatching
from eelgrassknot.frontend import errors
from eelgrassknot import ids
from eelgrassknot.kernel import node as kernel_node
from eelgrassknot.settings import text as services_text
from eelgrassknot import states

__all__ = ['CallContext', 'priority', 'deadline_ms']


@dataclasses.dataclass(frozen=True)
class CallContext:
    """A caller's request with its account and id.

    Attributes:
        arrived_ms: When it came, on this VM's clock.
        deadline_ms: When the caller gives up, on this VM's clock.
    """

    node: kernel_node.Node
    dispatch: dispatching.DispatchPart
    http: wrappers.Request
    request: ids.RequestId
    text: services_text.ServicesText
    account: services_text.ClientAccount
    priority: states.Priority
    arrived_ms: float
    deadline_ms: float | None

    def refuse(
        self,
        status: int,
        outcome: states.Outcome,
        code: str,
        message: str,
        remedy: str,
        retry_after_ms: float | None = None,
    ) -> wrappers.Response:
        """Return the answer that tells the caller of a failure."""
        body = errors.ErrorBody(
            type=outcome.value,
            code=code,
            message=message,
            remedy=remedy,
            outcome=outcome,
            request_id=self.request,
        )
        return errors.response(status, body, retry_after_ms)


def priority(http: wrappers.Request) -> states.Priority:
    """Return the class of order that a caller asked for."""
    if http.headers.get('X-Priority') == states.Priority.BATCH.value:
        return states.Priority.BATCH
    return states.Priority.INTERACTIVE


def deadline_ms(http: wrappers.Request, now_ms: float) -> float | None:
    """Return the time at which a caller gives up, or None."""
    within_ms = http.headers.get('X-Deadline-Ms', type=float)
    return None if within_ms is None else now_ms + within_ms
