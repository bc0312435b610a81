"""Driver of a plain call: sends it, buffers the response and responds."""

import functools

from eelgrassknot import clock as clocks
from eelgrassknot.forwarding import dialect
from eelgrassknot.forwarding import error_responses
from eelgrassknot.forwarding import limit_monitor
from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import machine_driver
from eelgrassknot.forwarding import metrics
from eelgrassknot.forwarding import model
from eelgrassknot.forwarding import pending_permit
from eelgrassknot.forwarding import upstream_connection
from eelgrassknot.forwarding import work as works
from eelgrassknot import ids
from eelgrassknot.kernel import events as kernel_events
from eelgrassknot import logs
from eelgrassknot.policy import home_regions
from eelgrassknot.policy import messages as policy_messages
from eelgrassknot.policy import send_permits as permit_policy
from eelgrassknot.requests import plain_call
from eelgrassknot.requests import plain_messages as messages
from eelgrassknot import states

__all__ = ['CallDriver']

MAX_PLACEMENTS = 6
"""Maximum number of upstreams tried for one call, including those that
refused it."""
MAX_PERMIT_DENIALS = 4
"""Number of denied permits after which a call is refused. Each denial may
take a round trip to another VM."""
_NO_RETRYABLE_STATUSES: frozenset[int] = frozenset()


class CallDriver(
    machine_driver.MachineDriver, upstream_connection.AttemptListener
):
    """Drives the state machine of one call.

    Args:
        context: Shared dependencies of all drivers.
        work: The request.
    """

    def __init__(self, context: works.Context, work: works.Work) -> None:
        call_class = messages.CallClass.ONCE
        if work.route.is_idempotent:
            call_class = messages.CallClass.IDEMPOTENT
        machine = plain_call.PlainCall(
            work.request,
            call_class,
            work.deadline_ms,
            context.generator,
            plain_call.AttemptRules(
                work.route.max_attempts,
                MAX_PLACEMENTS,
                _NO_RETRYABLE_STATUSES,
            ),
        )
        super().__init__(context, work, machine)
        self.attempt: upstream_connection.Attempt | None = None
        self.upstream: model.Upstream | None = None
        self.status = 0
        self.upstream_headers: list[tuple[bytes, bytes]] = []
        self.body = bytearray()
        self.is_streaming = False
        self.awaiting_response = False
        self.attempt_timer: loops.Timer | None = None
        self.permit: pending_permit.PendingPermit | None = None
        self.permit_denials = 0

    def start(self) -> None:
        """Place the call."""
        self.work.exchange.on_abort = self._finish
        self.work.exchange.on_limit = self.limit_deadline
        self.context.budget(self.work.service.name).earn()
        self._place(None)
        self.schedule_timeout()

    # Events of the attempt

    def response_started(
        self,
        attempt: upstream_connection.Attempt,
        status: int,
        headers: list[tuple[bytes, bytes]],
    ) -> None:
        """Store the status and headers of the response."""
        self._finish_waiting(responded=True)
        self.context.statements.response_started(
            self.upstream, status, headers
        )
        self.status = status
        self.upstream_headers = headers
        self.body = bytearray()

    def response_data(
        self, attempt: upstream_connection.Attempt, data: bytes
    ) -> None:
        """Buffer a part of the body, or forward it when streaming.

        A large response is streamed, which rules out a retry.
        """
        if self.is_streaming:
            self._forward(data)
            return
        self.body += data
        if len(self.body) <= upstream_connection.MAX_BUFFERED_BYTES:
            return
        if self._is_signed():
            self._start_streaming()
        else:
            attempt.reject('an unsigned response is too large')

    def response_completed(self, attempt: upstream_connection.Attempt) -> None:
        """Handle a complete response."""
        if self.is_streaming:
            self.work.exchange.finish()
            self._finish('passed')
            return
        if self.context.dialect.declares_not_executed(
            self.status, self.upstream_headers
        ):
            self.eject_if_misdirected(self.upstream, self.status)
            self._dispatch(messages.NotRun(self.machine.attempt))
            return
        if not self._is_signed():
            logs.warning(
                'answer_not_genuine',
                request=self.work.request,
                upstream=self.upstream.upstream,
                status=self.status,
            )
            self.attempt_failed(
                attempt, upstream_connection.Fault.MALFORMED, True
            )
            return
        self._record_health(self.status < 500, True)
        answer = messages.ForwardedAnswer(
            self.status,
            tuple(self.upstream_headers),
            bytes(self.body),
            self.work.request,
        )
        self._dispatch(messages.Answered(self.machine.attempt, answer))

    def attempt_failed(
        self,
        attempt: upstream_connection.Attempt,
        fault: upstream_connection.Fault,
        bytes_left: bool,
    ) -> None:
        """Handle an attempt without a complete response."""
        if self.is_streaming:
            self.work.exchange.abort()
            self._finish('broken')
            return
        self._finish_waiting(responded=False)
        if fault is upstream_connection.Fault.WITHHELD:
            self._dispatch(messages.NotRun(self.machine.attempt))
            return
        if fault is upstream_connection.Fault.UNSENDABLE:
            self._dispatch(
                messages.Refused(
                    states.RefusalReason.NOT_SENDABLE,
                    error_responses.RETRY_LATER_MS,
                )
            )
            return
        self._record_health(False, False)
        metrics.ATTEMPT_FAULTS.inc(fault.value)
        logs.event(
            'attempt_failed',
            request=self.work.request,
            upstream=self.upstream.upstream,
            fault=fault.value,
            bytes_left=bytes_left,
        )
        self._dispatch(
            messages.AttemptFailed(self.machine.attempt, bytes_left)
        )

    # Actions of the state machine

    def _dispatch(self, event: messages.Event) -> None:
        for action in self.machine.handle(event, self.now_ms()):
            self._execute(action)
        self.schedule_timeout()

    def _execute(self, action: messages.Action) -> None:
        match action:
            case messages.Place(failed):
                self._retry_placement(failed)
            case messages.Send():
                self._send(action)
            case messages.EndCall():
                self._respond(action)

    def _retry_placement(self, failed: ids.UpstreamId) -> None:
        ran = self.attempt is not None and self.attempt.has_sent_bytes
        budget = self.context.budget(self.work.service.name)
        if ran and not budget.spend():
            self._dispatch(
                messages.Refused(states.RefusalReason.QUEUE_FULL, 1_000.0)
            )
            return
        self._place(failed)

    def _place(self, failed: ids.UpstreamId | None) -> None:
        pool = self.context.plain_pool
        pool.release(self.work.request)
        profile = policy_messages.RequestProfile(
            request=self.work.request,
            service=self.work.service.name,
            kind=states.ServiceKind.PLAIN,
            client_account=self.work.account or ids.ClientAccountId(''),
            priority=states.Priority.INTERACTIVE,
            prompt_tokens=0,
            prefixes=(),
            max_tokens=None,
            deadline_ms=self.work.deadline_ms,
            homes=works.homes_of(self.context, self.work),
        )
        placement = pool.place(
            profile, failed, self.now_ms(), self._max_permit_wait_ms()
        )
        match placement:
            case policy_messages.Dispatch(_, upstream, crosses_region):
                if self.context.permits.is_limited(upstream.upstream):
                    self._acquire_permit(placement, failed)
                else:
                    self._dispatch(messages.Placed(upstream, crosses_region))
            case policy_messages.Refuse(
                _, states.RefusalReason.UPSTREAM_LIMIT, earliest_ms
            ):
                self._refuse_for_limit(earliest_ms)
            case policy_messages.Refuse(_, reason, retry_after_ms):
                self._refuse(reason, retry_after_ms)

    def _refuse(
        self, reason: states.RefusalReason, retry_after_ms: float
    ) -> None:
        """Refuse the call for lack of a usable upstream."""
        pool = self.context.plain_pool
        reason = home_regions.refusal_reason(
            works.homes_of(self.context, self.work),
            reason,
            self.regions(pool.live(self.work.service.name)),
        )
        if reason is states.RefusalReason.NO_HOME_UPSTREAM:
            metrics.HOME_REFUSALS.inc(self.work.route.kind.value)
        self._dispatch(messages.Refused(reason, retry_after_ms))

    # Permits to send to limited upstreams

    def _max_permit_wait_ms(self) -> float:
        """Return for how long a permit is worth waiting; ms.

        A caller that would wait beyond the latency objective is told at once
        when to return, so that the others are served in time.
        """
        waited_ms = self.now_ms() - self.work.started_ms
        return max(0.0, self.work.route.objective_ms - waited_ms)

    def _acquire_permit(
        self,
        placement: policy_messages.Dispatch,
        failed: ids.UpstreamId | None,
    ) -> None:
        self.permit = self.context.permits.acquire(
            placement.upstream.upstream,
            self.work.request,
            placement.max_permit_wait_ms,
            False,
            functools.partial(self._permit_answered, placement, failed),
        )

    def _permit_answered(
        self,
        placement: policy_messages.Dispatch,
        failed: ids.UpstreamId | None,
        found: permit_policy.Grant | permit_policy.Denial,
    ) -> None:
        self.permit = None
        match found:
            case permit_policy.Grant():
                self._dispatch(
                    messages.Placed(
                        placement.upstream, placement.crosses_region
                    )
                )
            case permit_policy.Denial(retry_after_ms):
                self.permit_denials += 1
                if self.permit_denials < MAX_PERMIT_DENIALS:
                    self._place(failed)
                else:
                    self._refuse_for_limit(retry_after_ms)

    def _refuse_for_limit(self, earliest_ms: float) -> None:
        service = self.work.service.name
        live = self.context.plain_pool.live(
            service, works.homes_of(self.context, self.work)
        )
        retry_after_ms = self.context.permits.return_after_ms(
            service, live, earliest_ms
        )
        self._refuse(states.RefusalReason.UPSTREAM_LIMIT, retry_after_ms)

    # Sending

    def _send(self, action: messages.Send) -> None:
        if not works.may_send(self.context, self.work, action.upstream):
            # Chosen before its zone was evacuated.
            self.attempt = None
            self._dispatch(messages.NotRun(action.attempt))
            return
        self.upstream = action.upstream
        self.context.health.request_sent(
            action.upstream.upstream, self.now_ms()
        )
        self.awaiting_response = True
        self.context.statements.request_sent(
            action.upstream,
            self.work.request,
            limit_monitor.Purpose.CALL,
            action.attempt,
        )
        self.attempt = works.send(
            self.context,
            self.work,
            action.upstream,
            self,
            functools.partial(self._metadata, action.upstream),
            action.needs_new_connection,
        )
        if action.timeout_ms < self.work.deadline_ms - (self.now_ms()):
            self.attempt_timer = self.context.loop.call_later(
                action.timeout_ms, self._on_attempt_timeout
            )

    def _metadata(
        self, upstream: kernel_events.UpstreamInfo, left_ms: float
    ) -> dialect.ForwardingMetadata:
        return dialect.ForwardingMetadata(
            upstream.upstream, left_ms, self.work.account
        )

    def _on_attempt_timeout(self) -> None:
        attempt = self.attempt
        if attempt is None or attempt.is_over or self.is_streaming:
            return
        attempt.cancel()
        self._eject_if_unresponsive()
        self.attempt_failed(
            attempt, upstream_connection.Fault.BROKEN, attempt.has_sent_bytes
        )

    def _respond(self, end: messages.EndCall) -> None:
        exchange = self.work.exchange
        if self.is_streaming:
            # The deadline passed before the response was complete.
            exchange.abort()
        elif end.answer is not None:
            exchange.respond(
                end.answer.status,
                self.context.dialect.response_headers(end.answer.headers),
                end.answer.body,
            )
        elif end.outcome is states.Outcome.NOT_RUN:
            error_responses.send_error(
                exchange, 503, end.outcome, end.reason, end.retry_after_ms
            )
        else:
            late = end.reason == 'deadline'
            error_responses.send_error(
                exchange, 504 if late else 502, end.outcome, end.reason
            )
        self._finish(end.reason)

    def _is_signed(self) -> bool:
        return self.context.dialect.is_signed(self.upstream_headers)

    def _start_streaming(self) -> None:
        self.is_streaming = True
        self.work.exchange.start(
            self.status,
            self.context.dialect.response_headers(self.upstream_headers),
        )
        self.work.exchange.on_drain = self.attempt.resume_reading
        body, self.body = bytes(self.body), bytearray()
        self._forward(body)

    def _forward(self, data: bytes) -> None:
        self.work.exchange.send(data)
        if self.work.exchange.is_congested and not self.attempt.is_over:
            self.attempt.pause_reading()
            self.work.exchange.await_drain()

    def _finish_waiting(self, responded: bool) -> None:
        """Record that the upstream has begun to respond, or never will."""
        if not self.awaiting_response:
            return
        self.awaiting_response = False
        health = self.context.health
        if responded:
            health.response_started(self.upstream.upstream, self.now_ms())
        else:
            health.request_abandoned(self.upstream.upstream)

    def _eject_if_unresponsive(self) -> None:
        """Eject the awaited upstream if it responds to no call at all."""
        health, now_ms = self.context.health, self.now_ms()
        if self.awaiting_response and health.is_unresponsive(
            self.upstream.upstream, now_ms
        ):
            logs.event('upstream_mute', upstream=self.upstream.upstream)
            health.eject(self.upstream.upstream, now_ms)

    def _record_health(self, succeeded: bool, by_response: bool) -> None:
        if succeeded:
            self.context.health.record_success(self.upstream.upstream)
        else:
            self.context.health.record_failure(
                self.upstream.upstream, self.now_ms(), by_response
            )

    def _finish(self, reason: str) -> None:
        self.cancel_timeout()
        if self.attempt_timer is not None:
            self.attempt_timer.cancel()
        if self.attempt is not None:
            self.attempt.cancel()
        if self.permit is not None:
            self.permit.cancel()
        if reason == 'deadline':
            self._eject_if_unresponsive()
        reason = self.final_reason(reason)
        self._finish_waiting(responded=False)
        self.context.plain_pool.release(self.work.request)
        total_ms = self.now_ms() - self.work.started_ms
        kind = self.work.route.kind.value
        metrics.REQUESTS.inc(kind, reason)
        metrics.REQUEST_SECONDS.observe(total_ms / clocks.MS_PER_SECOND, kind)
        logs.event(
            'call_ended',
            request=self.work.request,
            route=self.work.route.name,
            upstream=self.upstream.upstream if self.upstream else None,
            reason=reason,
            attempts=self.machine.attempt,
            total_ms=round(total_ms, 1),
            **(self.attempt.end_fields() if self.attempt else {}),
        )

    def tick(self) -> None:
        """Notify the call's state machine that time has passed."""
        self._dispatch(messages.Tick())
