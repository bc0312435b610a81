"""Transfer of a run's KV cache from its engine to another one."""

import collections.abc

import msgspec

from eelgrassknot.forwarding import limit_monitor
from eelgrassknot.forwarding import model
from eelgrassknot.forwarding import pending_permit
from eelgrassknot.forwarding import upstream_connection
from eelgrassknot.forwarding import work as works
from eelgrassknot import ids
from eelgrassknot.policy import send_permits as permit_policy

__all__ = ['TransferPlan', 'KvTransfer']

TRANSFER_TIMEOUT_MS = 1_800.0
"""Timeout of a transfer; ms. Engines leave 1.5 to 2.1 s after notice."""
MAX_PERMIT_WAIT_MS = 250.0
"""Longest wait for the permit of a limited source; ms."""


class TransferPlan(msgspec.Struct, frozen=True):
    """A planned transfer; the run continues meanwhile."""

    request: ids.RequestId
    source: model.Upstream
    target: model.Upstream


Callback = collections.abc.Callable[[TransferPlan, str | None], None]


class KvTransfer(upstream_connection.AttemptListener):
    """Requests the transfer from the source and waits for its completion.

    Args:
        context: Shared dependencies of all drivers.
        plan: The transfer.
        on_done: Called once with the handle of the copy, or None on
            failure.
        may_use_target: Returns whether the target may receive the run now.
    """

    def __init__(
        self,
        context: works.Context,
        plan: TransferPlan,
        on_done: Callback,
        may_use_target: collections.abc.Callable[[], bool],
    ) -> None:
        self.context = context
        self.plan = plan
        self.on_done = on_done
        self.may_use_target = may_use_target
        self.status = 0
        self.body = bytearray()
        self.is_over = False
        self.attempt: upstream_connection.Attempt | None = None
        self.timer = context.loop.call_later(
            TRANSFER_TIMEOUT_MS, lambda: self._finish(None)
        )
        self.permit: pending_permit.PendingPermit | None = None
        if not may_use_target():
            context.loop.call_soon(lambda: self._finish(None))
        elif context.statements.wait_ms(plan.source.upstream):
            context.loop.call_soon(lambda: self._finish(None))
        elif context.permits.states_limit(plan.source.upstream):
            self.permit = context.permits.acquire(
                plan.source.upstream,
                plan.request,
                MAX_PERMIT_WAIT_MS,
                True,
                self._permit_answered,
                counts_warm_up=False,
            )
        else:
            self._send()

    def cancel(self) -> None:
        """Abandon the transfer without a callback."""
        if not self.is_over:
            self._stop()

    def response_started(
        self,
        attempt: upstream_connection.Attempt,
        status: int,
        headers: list[tuple[bytes, bytes]],
    ) -> None:
        """Store the status of the response."""
        self.status = status

    def response_data(
        self, attempt: upstream_connection.Attempt, data: bytes
    ) -> None:
        """Buffer a part of the body."""
        self.body += data
        if len(self.body) > upstream_connection.MAX_BUFFERED_BYTES:
            attempt.reject('the response to a transfer is too large')

    def response_completed(self, attempt: upstream_connection.Attempt) -> None:
        """Decode the complete response."""
        self._finish(
            self.context.dialect.decode_kv_transfer(
                self.status, bytes(self.body)
            )
        )

    def attempt_failed(
        self,
        attempt: upstream_connection.Attempt,
        fault: upstream_connection.Fault,
        bytes_left: bool,
    ) -> None:
        """Report the failure of the transfer."""
        self._finish(None)

    def _finish(self, handle: str | None) -> None:
        if self.is_over:
            return
        on_done = self._stop()
        on_done(self.plan, handle)

    def _permit_answered(
        self, found: permit_policy.Grant | permit_policy.Denial
    ) -> None:
        match found:
            case permit_policy.Grant():
                self._send()
            case permit_policy.Denial():
                self._finish(None)

    def _send(self) -> None:
        plan, context = self.plan, self.context
        head, body = context.dialect.encode_kv_transfer(
            plan.source.address, plan.request, plan.target.address, False
        )
        context.statements.request_sent(
            plan.source, plan.request, limit_monitor.Purpose.TRANSFER, 1
        )
        self.attempt = upstream_connection.Attempt(
            context.connections,
            plan.request,
            plan.source.address,
            self,
            lambda: head,
            body,
            context.dialect.echoed_request_id,
            require_fresh=True,
            echoes_id=False,
            may_send=self.may_use_target,
        )

    def _stop(self) -> Callback:
        """Release the callbacks; return the one for the end."""
        self.is_over = True
        on_done, self.on_done = self.on_done, None
        self.may_use_target = None
        self.timer.cancel()
        if self.permit is not None:
            self.permit.cancel()
        if self.attempt is not None:
            self.attempt.cancel()
        return on_done
