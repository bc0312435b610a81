"""Carries out one plain call: sends, buffers the answer, answers."""

import functools

from eelgrassknot import clock as clocks
from eelgrassknot.forwarding import dialect
from eelgrassknot.forwarding import error_responses
from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import machine_driver
from eelgrassknot.forwarding import metrics
from eelgrassknot.forwarding import model
from eelgrassknot.forwarding import upstream_connection
from eelgrassknot.forwarding import work as works
from eelgrassknot import ids
from eelgrassknot.kernel import events as kernel_events
from eelgrassknot import logs
from eelgrassknot.policy import messages as policy_messages
from eelgrassknot.requests import plain_call
from eelgrassknot.requests import plain_messages as messages
from eelgrassknot import states

__all__ = ['CallDriver']

MAX_PLACEMENTS = 6
"""Upstreams that are asked for one call, those that refused included."""
MISDIRECTED_STATUS = 421
MAX_BUFFERED_BYTES = 1_048_576
"""Larger answers are passed on as they come, and can't be replaced."""
_NO_RETRIED_STATUSES: frozenset[int] = frozenset()


class CallDriver(
    machine_driver.MachineDriver, upstream_connection.AttemptListener
):
    """Drives the state machine of one call.

    Args:
        context: What drivers use.
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
                _NO_RETRIED_STATUSES,
            ),
        )
        super().__init__(context, work, machine)
        self.attempt: upstream_connection.Attempt | None = None
        self.upstream: model.Upstream | None = None
        self.status = 0
        self.answer_headers: list[tuple[bytes, bytes]] = []
        self.body = bytearray()
        self.passing = False
        self.is_asking = False
        self.attempt_timer: loops.Timer | None = None

    def start(self) -> None:
        """Place the call."""
        self.work.exchange.gone = self._end
        self.context.budget(self.work.service.name).earn()
        self._place(None)
        self.arm()

    # What the attempt tells

    def answer_started(
        self,
        attempt: upstream_connection.Attempt,
        status: int,
        headers: list[tuple[bytes, bytes]],
    ) -> None:
        """Take in the head of an answer."""
        self._stop_asking(heard=True)
        self.status = status
        self.answer_headers = headers
        self.body = bytearray()

    def answer_data(
        self, attempt: upstream_connection.Attempt, data: bytes
    ) -> None:
        """Take in a part of its body."""
        if self.passing:
            self.work.exchange.send(data)
            return
        self.body += data
        if len(self.body) > MAX_BUFFERED_BYTES and self._is_usable():
            self._start_passing()

    def answer_ended(self, attempt: upstream_connection.Attempt) -> None:
        """Take in that the answer is complete."""
        if self.passing:
            self.work.exchange.finish()
            self._end('passed')
            return
        if self.context.dialect.says_not_run(self.status, self.answer_headers):
            if self.status == MISDIRECTED_STATUS:
                # Another server has its address now.
                self.context.book.eject(self.upstream.upstream, self.now_ms())
            self._tell(messages.NotRun(self.machine.attempt))
            return
        if not self._is_usable():
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
        self._judge_upstream(self.status < 500)
        answer = messages.ForwardedAnswer(
            self.status,
            tuple(self.answer_headers),
            bytes(self.body),
            self.work.request,
        )
        self._tell(messages.Answered(self.machine.attempt, answer))

    def attempt_failed(
        self,
        attempt: upstream_connection.Attempt,
        fault: upstream_connection.Fault,
        bytes_left: bool,
    ) -> None:
        """Take in that the attempt will not be answered."""
        if self.passing:
            self.work.exchange.break_off()
            self._end('broken')
            return
        self._stop_asking(heard=False)
        self._judge_upstream(False)
        metrics.ATTEMPT_FAULTS.labels(fault.value).inc()
        logs.event(
            'attempt_failed',
            request=self.work.request,
            upstream=self.upstream.upstream,
            fault=fault.value,
            bytes_left=bytes_left,
        )
        self._tell(messages.AttemptFailed(self.machine.attempt, bytes_left))

    # What the state machine wants

    def _tell(self, event: messages.Event) -> None:
        for action in self.machine.handle(event, self.now_ms()):
            self._act(action)
        self.arm()

    def _act(self, action: messages.Action) -> None:
        match action:
            case messages.Place(failed):
                self._place_again(failed)
            case messages.Send():
                self._send(action)
            case messages.EndCall():
                self._answer(action)

    def _place_again(self, failed: ids.UpstreamId) -> None:
        ran = self.attempt is not None and self.attempt.bytes_left
        budget = self.context.budget(self.work.service.name)
        if ran and not budget.spend():
            self._tell(
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
        )
        match pool.place(profile, failed, self.now_ms()):
            case policy_messages.Dispatch(_, upstream, crosses_region):
                self._tell(messages.Placed(upstream, crosses_region))
            case policy_messages.Refuse(_, reason, retry_after_ms):
                self._tell(messages.Refused(reason, retry_after_ms))

    def _send(self, action: messages.Send) -> None:
        self.upstream = action.upstream
        self.context.book.request_sent(action.upstream.upstream, self.now_ms())
        self.is_asking = True
        self.attempt = works.send(
            self.context,
            self.work,
            action.upstream,
            self,
            functools.partial(self._facts, action.upstream),
            action.proven,
        )
        if action.timeout_ms < self.work.deadline_ms - (self.now_ms()):
            self.attempt_timer = self.context.loop.call_later(
                action.timeout_ms, self._attempt_timed_out
            )

    def _facts(
        self, upstream: kernel_events.UpstreamInfo, left_ms: float
    ) -> dialect.ForwardingFacts:
        return dialect.ForwardingFacts(
            upstream.upstream, left_ms, self.work.account
        )

    def _attempt_timed_out(self) -> None:
        attempt = self.attempt
        if attempt is None or attempt.over or self.passing:
            return
        attempt.cancel()
        self._eject_if_mute()
        self.attempt_failed(
            attempt, upstream_connection.Fault.BROKEN, attempt.bytes_left
        )

    def _answer(self, end: messages.EndCall) -> None:
        exchange = self.work.exchange
        if end.answer is not None:
            exchange.respond(
                end.answer.status,
                self.context.dialect.answer_headers(end.answer.headers),
                end.answer.body,
            )
        elif end.outcome is states.Outcome.NOT_RUN:
            error_responses.refuse(
                exchange, 503, end.outcome, end.reason, end.retry_after_ms
            )
        else:
            late = end.reason == 'deadline'
            error_responses.refuse(
                exchange, 504 if late else 502, end.outcome, end.reason
            )
        self._end(end.reason)

    def _is_usable(self) -> bool:
        return self.context.dialect.is_genuine(self.answer_headers)

    def _start_passing(self) -> None:
        self.passing = True
        self.work.exchange.start(
            self.status,
            self.context.dialect.answer_headers(self.answer_headers),
        )
        self.work.exchange.send(bytes(self.body))

    def _stop_asking(self, heard: bool) -> None:
        """Count that the upstream has begun to answer, or never will."""
        if not self.is_asking:
            return
        self.is_asking = False
        book = self.context.book
        if heard:
            book.response_started(self.upstream.upstream, self.now_ms())
        else:
            book.request_abandoned(self.upstream.upstream)

    def _eject_if_mute(self) -> None:
        """Eject an upstream that let this call wait and answers nobody."""
        book, now_ms = self.context.book, self.now_ms()
        if self.is_asking and book.is_unresponsive(
            self.upstream.upstream, now_ms
        ):
            logs.event('upstream_mute', upstream=self.upstream.upstream)
            book.eject(self.upstream.upstream, now_ms)

    def _judge_upstream(self, good: bool) -> None:
        if good:
            self.context.book.record_success(self.upstream.upstream)
        else:
            self.context.book.record_failure(
                self.upstream.upstream, self.now_ms()
            )

    def _end(self, reason: str) -> None:
        self.disarm()
        if self.attempt_timer is not None:
            self.attempt_timer.cancel()
        if self.attempt is not None:
            self.attempt.cancel()
        if reason == 'deadline':
            self._eject_if_mute()
        self._stop_asking(heard=False)
        self.context.plain_pool.release(self.work.request)
        total_ms = self.now_ms() - self.work.started_ms
        kind = self.work.route.kind.value
        metrics.REQUESTS.labels(kind, reason).inc()
        metrics.REQUEST_SECONDS.labels(kind).observe(
            total_ms / clocks.MS_PER_SECOND
        )
        logs.event(
            'call_ended',
            request=self.work.request,
            route=self.work.route.name,
            upstream=self.upstream.upstream if self.upstream else None,
            reason=reason,
            attempts=self.machine.attempt,
            total_ms=round(total_ms, 1),
        )

    def tick(self) -> None:
        """Tell the call that time has passed."""
        self._tell(messages.Tick())
