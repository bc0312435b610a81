"""Driver of a stream: places and sends it, transfers runs, responds."""

import functools

from eelgrassknot import clock as clocks
from eelgrassknot import field_values
from eelgrassknot.forwarding import dialect
from eelgrassknot.forwarding import error_responses
from eelgrassknot.forwarding import kv_transfer
from eelgrassknot.forwarding import limit_monitor
from eelgrassknot.forwarding import machine_driver
from eelgrassknot.forwarding import metrics
from eelgrassknot.forwarding import model
from eelgrassknot.forwarding import pending_permit
from eelgrassknot.forwarding import stream_attempt
from eelgrassknot.forwarding import upstream_connection
from eelgrassknot.forwarding import work as works
from eelgrassknot import ids
from eelgrassknot import logs
from eelgrassknot.policy import commitments
from eelgrassknot.policy import engine_pairs
from eelgrassknot.policy import engine_queue
from eelgrassknot.policy import home_regions
from eelgrassknot.policy import send_permits as permit_policy
from eelgrassknot.requests import forwarded_stream
from eelgrassknot.requests import stream_messages as messages
from eelgrassknot import states

__all__ = ['StreamDriver']

MIN_REMAINING_MS = 400.0
"""A stream with less time left than this is not placed; ms."""
UNKNOWN_PROMPT_TOKENS = 1_000
"""Prompt size assumed if the request does not state it."""
BUDGET_RETRY_AFTER_MS = 1_000.0
"""Retry-After of a stream that engines turned away and that may not be sent
again; ms."""
MAX_PERMIT_WAIT_MS = 250.0
"""Longest wait for the permit of one engine; ms. Meanwhile another engine
may get room."""

MAX_LOGGED_PARTS = 16
"""Number of a prompt's parts that are logged at most."""


class StreamDriver(machine_driver.MachineDriver):
    """Drives the state machine of one stream.

    Args:
        context: Shared dependencies of all drivers.
        work: The request.
    """

    def __init__(self, context: works.Context, work: works.Work) -> None:
        engine = work.service.engine
        machine = forwarded_stream.ForwardedStream(
            work.request,
            messages.StreamRules(
                resumable=work.route.resumable,
                max_attempts=work.route.max_attempts,
                can_copy=engine is not None and engine.can_copy,
                # The call that moves a run names it in JSON.
                can_move=engine is not None
                and engine.can_move
                and field_values.is_valid(work.request),
            ),
            work.deadline_ms,
            context.generator,
            work.headers.last_event,
        )
        super().__init__(context, work, machine)
        self.attempts: dict[int, stream_attempt.StreamAttempt] = {}
        self.first_event_ms: float | None = None
        self.largest_gap_ms = 0.0
        self.last_event_ms = work.started_ms
        self.transfer: kv_transfer.KvTransfer | None = None
        self.permit: pending_permit.PendingPermit | None = None

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Parts of the prompt that other prompts may share."""
        profile = self.work.headers.generation
        return profile.shared_parts if profile else ()

    def start(self) -> None:
        """Place the stream."""
        self.work.exchange.on_abort = self._finish
        self.work.exchange.on_limit = self.limit_deadline
        self.context.budget(self.work.service.name).earn()
        self.context.scheduler.streams.add(self)
        if not self.end_if_blocked():
            self._place(frozenset())
            self.schedule_timeout()

    def limit_deadline(self, deadline_ms: float) -> None:
        """Refuse the stream if it is still waiting, or limit it."""
        if deadline_ms < self.machine.deadline_ms and self.machine.is_unsent:
            self.dispatch(
                messages.Refused(
                    states.RefusalReason.DRAINING,
                    error_responses.RETRY_ELSEWHERE_MS,
                )
            )
            return
        super().limit_deadline(deadline_ms)

    def upstream_leaving(self, upstream: str) -> None:
        """Handle an upstream that is leaving or has left."""
        self.dispatch(messages.UpstreamLeaving(upstream))

    def zones_evacuated(
        self, zones: frozenset[ids.AvailabilityZoneId]
    ) -> None:
        """Drop the copies of the run that are in evacuated zones."""
        covers = self.context.evacuations.covers
        for attempt in self.attempts.values():
            if attempt.copy is not None and covers(attempt.copy):
                logs.event(
                    'copy_dropped',
                    request=self.work.request,
                    attempt=attempt.number,
                    upstream=attempt.copy.upstream,
                )
                self.context.scheduler.drop_copy(
                    self.work.request, attempt.copy.upstream
                )
                attempt.copy = None
        self.dispatch(messages.ZonesEvacuated(zones))
        transfer = self.transfer
        if (
            transfer is not None
            and not transfer.is_over
            and covers(transfer.plan.target)
        ):
            transfer.cancel()
            self.dispatch(messages.CopyEnded(transfer.plan.target, None))

    def end_if_blocked(self) -> bool:
        """End the stream if its prompt crashes engines.

        A run that has already produced an event goes on.

        Returns:
            Whether the prompt is blocked and must not be sent.
        """
        if not self.context.crash_reports.reports:
            return False
        verdict = self.context.crash_reports.blocking(self.shared_parts)
        if verdict is None:
            return False
        logs.event(
            'stream_blocked',
            request=self.work.request,
            parts=','.join(sorted(verdict.parts)),
        )
        retry_after_ms = max(0.0, verdict.until_ms - self.now_ms())
        self.dispatch(messages.Blocked(retry_after_ms))
        return True

    # Events of the attempts

    def dispatch(self, event: messages.Event) -> None:
        """Pass an event to the state machine and execute its actions."""
        for action in self.machine.handle(event, self.now_ms()):
            self._execute(action)
        self.schedule_timeout()

    def event_received(
        self,
        attempt: stream_attempt.StreamAttempt,
        index: int | None,
        data: bytes,
    ) -> None:
        """Handle a complete event of the stream."""
        self.dispatch(messages.EventReceived(attempt.number, index, data))

    def handle_unsuccessful_response(
        self, attempt: stream_attempt.StreamAttempt
    ) -> None:
        """Handle a complete response that is not a signed success."""
        if self.context.dialect.declares_not_executed(
            attempt.status, attempt.headers
        ):
            self._log_attempt(attempt, f'not_run_{attempt.status}')
            misdirected = self.eject_if_misdirected(
                attempt.upstream, attempt.status
            )
            self.dispatch(messages.NotRun(attempt.number, misdirected))
            return
        if not self.context.dialect.is_signed(attempt.headers):
            self.handle_broken_attempt(
                attempt, upstream_connection.Fault.MALFORMED, True
            )
            return
        self.context.health.record_failure(
            attempt.upstream.upstream, self.now_ms(), by_response=True
        )
        self._log_attempt(attempt, f'status_{attempt.status}')
        self.dispatch(messages.HeadReceived(attempt.number, False))

    def handle_broken_attempt(
        self,
        attempt: stream_attempt.StreamAttempt,
        fault: upstream_connection.Fault,
        bytes_left: bool,
    ) -> None:
        """Handle an attempt that ended early."""
        if fault is upstream_connection.Fault.WITHHELD:
            self.dispatch(messages.NotRun(attempt.number, withheld=True))
            return
        if fault is upstream_connection.Fault.UNSENDABLE:
            self.dispatch(
                messages.Unsendable(
                    attempt.number, error_responses.RETRY_LATER_MS
                )
            )
            return
        self.context.health.record_failure(
            attempt.upstream.upstream, self.now_ms()
        )
        self._log_attempt(attempt, fault.value)
        self.dispatch(
            messages.AttemptBroken(
                attempt.number, bytes_left, attempt.has_responded
            )
        )

    def report_crash(self, attempt: stream_attempt.StreamAttempt) -> None:
        """Report that an engine broke off at the start of its answer."""
        parts = self.shared_parts
        if parts:
            self.context.crash_reports.report_crash(
                attempt.upstream.incarnation, self.work.request, parts
            )

    def report_possible_crash(
        self, attempt: stream_attempt.StreamAttempt
    ) -> None:
        """Report that an engine broke off before it answered.

        Nothing is reported unless the engine has crashed.
        """
        parts = self.shared_parts
        if parts:
            self.context.crash_checks.check(
                attempt.upstream,
                functools.partial(
                    self.context.crash_reports.report_unanswered,
                    attempt.upstream.incarnation,
                    self.work.request,
                    parts,
                ),
            )

    def report_survival(self) -> None:
        """Report that the prompt has not crashed an engine."""
        parts = self.shared_parts
        if parts:
            self.context.crash_reports.report_survival(parts)

    def record_success(self, attempt: stream_attempt.StreamAttempt) -> None:
        """Record a complete response in the upstream's health."""
        self.context.health.record_success(attempt.upstream.upstream)

    def record_first_event(
        self, attempt: stream_attempt.StreamAttempt
    ) -> None:
        """Record when an engine has read the prompt of a run."""
        sent = attempt.upstream_attempt
        if sent is not None and sent.sent_at_ms is not None:
            self.context.scheduler.speeds.record_first_event(
                attempt.upstream,
                sent.sent_at_ms,
                attempt.unread_tokens,
                self._event_tokens,
            )

    def record_interval(
        self, attempt: stream_attempt.StreamAttempt, interval_ms: float
    ) -> None:
        """Record the interval between the events of a run."""
        scheduler = self.context.scheduler
        scheduler.speeds.record_interval(
            attempt.upstream,
            interval_ms,
            self._event_tokens,
            scheduler.queue.commitments.runs_at(
                attempt.upstream.upstream, self.now_ms()
            ),
        )

    @property
    def _event_tokens(self) -> int:
        """Number of tokens in one event of the stream."""
        engine = self.work.service.engine
        return engine.event_tokens if engine else 1

    # Actions of the state machine

    def _execute(self, action: messages.Action) -> None:
        match action:
            case messages.Place(failed):
                self._retry_placement(failed)
            case messages.Send():
                self._send(action)
            case messages.Cancel(attempt):
                self._cancel(attempt)
            case messages.PlaceCopy():
                self._place_transfer(action)
            case messages.CopyMemory(source, target):
                self._start_transfer(source, target)
            case messages.StartAnswer(attempt):
                self._start_response(self.attempts[attempt])
            case messages.Forward(data):
                self._forward(data)
            case messages.ForwardComment(data):
                self.work.exchange.send(data)
            case messages.Finish():
                self.work.exchange.finish()
                self._finish('complete')
            case messages.AbortAnswer(reason):
                self.work.exchange.abort()
                self._finish(reason)
            case messages.Fail():
                self._fail(action)

    def _retry_placement(self, failed: frozenset[str]) -> None:
        """Place the stream again unless the retry budget is spent.

        An attempt that has not reached an engine is replaced at no cost.
        """
        last = self.attempts[max(self.attempts)]
        budget = self.context.budget(self.work.service.name)
        if not last.has_been_sent or budget.spend():
            self._place(failed)
            return
        self.dispatch(
            messages.Refused(
                states.RefusalReason.RETRY_BUDGET, BUDGET_RETRY_AFTER_MS
            )
        )

    def _place(self, failed: frozenset[str]) -> None:
        commitment = self.context.scheduler.commitment(self.work.request)
        produced = commitment.produced_tokens if commitment else 0
        self.context.scheduler.release(self.work.request)
        profile = self.work.headers.generation
        prompt = UNKNOWN_PROMPT_TOKENS
        output = UNKNOWN_PROMPT_TOKENS
        if profile is not None:
            prompt = profile.prompt_tokens + produced
            output = commitments.forecast_output(
                profile.max_output_tokens, profile.output_hint
            )
        need = engine_pairs.RunRequirements(
            self.context.scheduler.region,
            prompt,
            max(0, output - produced),
            self.machine.rules.can_copy and not self.machine.rules.resumable,
        )
        target_ms = self._waiting_target_ms()
        order = engine_queue.PlacementRequest(
            self.work.request,
            self.work.service.name,
            self.work.priority,
            need,
            failed,
            self.work.deadline_ms - MIN_REMAINING_MS,
            self.work.started_ms,
            target_ms=target_ms,
            account=None if target_ms is None else self.work.account,
            homes=works.homes_of(self.context, self.work),
        )
        self.context.scheduler.submit(
            order, functools.partial(self._on_placed, failed)
        )

    def _waiting_target_ms(self) -> float | None:
        """Return the latency target for which the stream may wait, or None.

        Streams wait for room only where a route of their service yields to
        another one. A stream that pauses must go on at once.
        """
        service = self.work.service.name
        if self.first_event_ms is not None:
            return None
        if service not in self.context.engine_priorities.services:
            return None
        return self.work.route.objective_ms

    def _on_placed(
        self,
        failed: frozenset[str],
        outcome: engine_queue.Placement | engine_queue.Refusal,
    ) -> None:
        match outcome:
            case engine_queue.Refusal():
                self._refuse(outcome)
            case engine_queue.Placement(_, engine):
                if self.context.permits.is_limited(engine.upstream):
                    self.permit = self.context.permits.acquire(
                        engine.upstream,
                        self.work.request,
                        MAX_PERMIT_WAIT_MS,
                        False,
                        functools.partial(
                            self._permit_answered, failed, engine.upstream
                        ),
                    )
                else:
                    self._start_run(engine.upstream, failed)

    def _permit_answered(
        self,
        failed: frozenset[str],
        upstream: ids.UpstreamId,
        found: permit_policy.Grant | permit_policy.Denial,
    ) -> None:
        self.permit = None
        match found:
            case permit_policy.Grant():
                self._start_run(upstream, failed)
            case permit_policy.Denial():
                self._place(failed)

    def _start_run(self, name: ids.UpstreamId, failed: frozenset[str]) -> None:
        """Send the stream to an engine unless it must not be sent."""
        if self.end_if_blocked():
            return
        upstream = self.context.scheduler.upstreams.get(name)
        if upstream is None or not self._may_send(upstream):
            self._place(failed | {name})
            return
        self.dispatch(messages.Placed(upstream))

    def _may_send(self, upstream: model.Upstream) -> bool:
        return works.may_send(self.context, self.work, upstream)

    def _refuse(self, refusal: engine_queue.Refusal) -> None:
        retry_after_ms = refusal.retry_after_ms
        service = self.work.service.name
        scheduler = self.context.scheduler
        homes = works.homes_of(self.context, self.work)
        if refusal.reason is states.RefusalReason.UPSTREAM_LIMIT:
            retry_after_ms = self.context.permits.return_after_ms(
                service,
                scheduler.engine_names(service, homes),
                retry_after_ms,
            )
        reason = home_regions.refusal_reason(
            homes,
            refusal.reason,
            self.regions(scheduler.engine_names(service)),
        )
        if reason is states.RefusalReason.NO_HOME_UPSTREAM:
            metrics.HOME_REFUSALS.inc(self.work.route.kind.value)
        metrics.REFUSALS.inc(reason.value)
        logs.event(
            'stream_refused',
            request=self.work.request,
            reason=reason.value,
            retry_after_ms=round(retry_after_ms, 1),
            since_ms=round(self.now_ms() - self.work.started_ms, 1),
            waiting=len(self.context.scheduler.queue.waiting),
        )
        self.dispatch(messages.Refused(reason, retry_after_ms))

    def _send(self, send: messages.Send) -> None:
        # A continued run is not placed, so it has not been checked yet.
        if send.continue_from is not None and self.end_if_blocked():
            return
        attempt = stream_attempt.StreamAttempt(self, send)
        self.attempts[send.attempt] = attempt
        if not self._may_send(send.upstream):
            self.dispatch(messages.NotRun(send.attempt, withheld=True))
            return
        commitment = self.context.scheduler.commitment(self.work.request)
        if commitment is not None:
            commitment.upstream = send.upstream.upstream
            commitment.copy = None
        if send.wants_copy:
            attempt.copy = self.context.scheduler.place_copy(
                self.work.request,
                send.upstream,
                self._unsuited_holders(send),
                homes=works.homes_of(self.context, self.work),
            )
            self.machine.handle(
                messages.CopyPlaced(send.attempt, attempt.copy),
                self.now_ms(),
            )
        now_ms = self.now_ms()
        sums = self.context.scheduler.queue.commitments.sums(
            send.upstream.upstream, now_ms
        )
        attempt.unread_tokens = sums.unread_tokens
        logs.event(
            'stream_sent',
            request=self.work.request,
            attempt=send.attempt,
            upstream=send.upstream.upstream,
            copy=attempt.copy.upstream if attempt.copy else None,
            continue_from=send.continue_from,
            after=send.last_event,
            parts=','.join(self.shared_parts[:MAX_LOGGED_PARTS]),
            since_ms=round(now_ms - self.work.started_ms, 1),
            engine_runs=sums.runs,
            engine_tokens=sums.tokens + sums.copy_tokens,
            engine_unread=sums.unread_tokens,
        )
        pause_ms = self.context.statements.wait_ms(send.upstream.upstream)
        if send.continue_from is None:
            # A run that starts is placed with a permit.
            self._send_attempt(attempt, send, limit_monitor.Purpose.STREAM)
        elif pause_ms:
            logs.event(
                'continuation_paused',
                request=self.work.request,
                upstream=send.upstream.upstream,
                wait_ms=round(pause_ms, 1),
            )
            self.dispatch(messages.NotRun(attempt.number))
        elif self.context.permits.is_limited(send.upstream.upstream):
            attempt.permit = self.context.permits.acquire(
                send.upstream.upstream,
                self.work.request,
                MAX_PERMIT_WAIT_MS,
                True,
                functools.partial(self._continuation_answered, attempt, send),
            )
        else:
            self._send_attempt(
                attempt, send, limit_monitor.Purpose.CONTINUATION
            )

    def _may_continue(self, send: messages.Send) -> bool:
        """Charge a continuation to the retry budget if it allows one."""
        budget = self.context.budget(self.work.service.name)
        if budget.spend(may_use_reserve=True):
            return True
        logs.event(
            'continuation_over_budget',
            request=self.work.request,
            upstream=send.upstream.upstream,
        )
        self.dispatch(messages.NotRun(send.attempt))
        return False

    def _unsuited_holders(self, send: messages.Send) -> frozenset[str]:
        """Return the engines that must not hold the copy of a run.

        The engine of a run that is continued without having been lost is
        silent or leaving.
        """
        before = self.machine.run
        if send.continue_from is None or before is None or before.is_lost:
            return frozenset()
        return frozenset([before.upstream.upstream])

    def _continuation_answered(
        self,
        attempt: stream_attempt.StreamAttempt,
        send: messages.Send,
        found: permit_policy.Grant | permit_policy.Denial,
    ) -> None:
        attempt.permit = None
        match found:
            case permit_policy.Grant() if not self._may_send(send.upstream):
                self.dispatch(messages.NotRun(attempt.number, withheld=True))
            case permit_policy.Grant():
                self._send_attempt(
                    attempt, send, limit_monitor.Purpose.CONTINUATION
                )
            case permit_policy.Denial():
                self.dispatch(messages.NotRun(attempt.number))

    def _send_attempt(
        self,
        attempt: stream_attempt.StreamAttempt,
        send: messages.Send,
        purpose: limit_monitor.Purpose,
    ) -> None:
        if send.continue_from is not None and not self._may_continue(send):
            return
        self.context.statements.request_sent(
            send.upstream, self.work.request, purpose, send.attempt
        )
        attempt.upstream_attempt = works.send(
            self.context,
            self.work,
            send.upstream,
            attempt,
            functools.partial(self._metadata, send, attempt),
            not self.work.route.is_idempotent,
        )

    def _metadata(
        self,
        send: messages.Send,
        attempt: stream_attempt.StreamAttempt,
        left_ms: float,
    ) -> dialect.ForwardingMetadata:
        return dialect.ForwardingMetadata(
            send.upstream.upstream,
            left_ms,
            self.work.account,
            engine_priority=self.context.engine_priorities.by_route.get(
                self.work.route.name
            ),
            copy_to=attempt.copy.address if attempt.copy else None,
            continue_from=send.continue_from,
            last_event=send.last_event,
        )

    def _cancel(self, number: int) -> None:
        attempt = self.attempts.get(number)
        if attempt is not None:
            logs.event(
                'attempt_cancelled',
                request=self.work.request,
                attempt=number,
                upstream=attempt.upstream.upstream,
                events=attempt.events,
            )
            attempt.cancel()

    def _place_transfer(self, place: messages.PlaceCopy) -> None:
        target = self.context.scheduler.place_copy(
            self.work.request,
            place.source,
            place.refused,
            place.must_fit,
            works.homes_of(self.context, self.work),
        )
        if target is None:
            self.dispatch(messages.CopyEnded(None, None))
            return
        self._start_transfer(place.source, target)

    def _start_transfer(
        self, source: model.Upstream, target: model.Upstream
    ) -> None:
        self.transfer = kv_transfer.KvTransfer(
            self.context,
            kv_transfer.TransferPlan(self.work.request, source, target),
            self._on_transfer_done,
            lambda: self._may_send(target),
        )

    def _on_transfer_done(
        self, plan: kv_transfer.TransferPlan, handle: str | None
    ) -> None:
        logs.event(
            'run_copied',
            request=self.work.request,
            source=plan.source.upstream,
            target=plan.target.upstream,
            handle=handle,
        )
        outcome = 'made' if handle is not None else 'failed'
        metrics.COPIES.inc(outcome)
        self.dispatch(messages.CopyEnded(plan.target, handle))

    def _start_response(self, attempt: stream_attempt.StreamAttempt) -> None:
        headers = self.context.dialect.response_headers(attempt.headers)
        if attempt.buffered_body is not None:
            self.work.exchange.respond(
                attempt.status, headers, bytes(attempt.buffered_body)
            )
            self._finish(f'status_{attempt.status}')
            return
        self.work.exchange.start(attempt.status, headers)

    def _forward(self, data: bytes) -> None:
        now_ms = self.now_ms()
        if self.first_event_ms is None:
            self.first_event_ms = now_ms
        else:
            gap_ms = now_ms - self.last_event_ms
            self.largest_gap_ms = max(self.largest_gap_ms, gap_ms)
        self.last_event_ms = now_ms
        self.work.exchange.send(data)
        commitment = self.context.scheduler.commitment(self.work.request)
        if commitment is not None:
            commitment.started = True
            commitment.produced_tokens += self._event_tokens

    def _fail(self, action: messages.Fail) -> None:
        exchange = self.work.exchange
        if action.outcome is states.Outcome.NOT_RUN:
            error_responses.send_error(
                exchange,
                503,
                action.outcome,
                action.reason,
                action.retry_after_ms,
            )
        else:
            late = action.reason == 'deadline'
            error_responses.send_error(
                exchange, 504 if late else 502, action.outcome, action.reason
            )
        self._finish(action.reason)

    def _finish(self, reason: str) -> None:
        reason = self.final_reason(reason)
        self.cancel_timeout()
        for attempt in self.attempts.values():
            attempt.cancel()
        if self.permit is not None:
            self.permit.cancel()
        if self.transfer is not None:
            self.transfer.cancel()
        self.context.scheduler.withdraw(self.work.request)
        self.context.scheduler.release(self.work.request)
        self.context.scheduler.streams.discard(self)
        kind = self.work.route.kind.value
        metrics.REQUESTS.inc(kind, reason)
        metrics.TAKEOVERS.inc(amount=self.machine.takeovers)
        first_ms = self.first_event_ms
        if first_ms is not None:
            first_ms = round(first_ms - self.work.started_ms, 1)
            metrics.REQUEST_SECONDS.observe(
                first_ms / clocks.MS_PER_SECOND, kind
            )
        logs.event(
            'stream_ended',
            request=self.work.request,
            route=self.work.route.name,
            reason=reason,
            first_ms=first_ms,
            gap_ms=round(self.largest_gap_ms, 1),
            last_event=self.machine.last_event,
            attempts=self.machine.attempt,
            takeovers=self.machine.takeovers,
            total_ms=round(self.now_ms() - self.work.started_ms, 1),
            **self._forwarded_end_fields(),
        )
        self.attempts.clear()

    def _forwarded_end_fields(self) -> dict[str, object]:
        """Return log fields on the response that was forwarded last."""
        run = self.machine.run
        attempt = self.attempts.get(run.attempt) if run else None
        if attempt is None:
            return {}
        return {'events': attempt.events, **attempt.end_fields()}

    def _log_attempt(
        self, attempt: stream_attempt.StreamAttempt, fault: str
    ) -> None:
        metrics.ATTEMPT_FAULTS.inc(fault)
        logs.event(
            'attempt_failed',
            request=self.work.request,
            attempt=attempt.number,
            upstream=attempt.upstream.upstream,
            fault=fault,
            status=attempt.status,
            events=attempt.events,
            head_age_ms=self._age_ms(attempt.head_ms),
            first_event_age_ms=self._age_ms(attempt.first_event_ms),
            **attempt.end_fields(),
        )

    def _age_ms(self, time_ms: float | None) -> float | None:
        return None if time_ms is None else round(self.now_ms() - time_ms, 1)

    def tick(self) -> None:
        """Notify the stream's state machine that time has passed."""
        self.dispatch(messages.Tick())
