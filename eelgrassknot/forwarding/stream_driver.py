"""Carries out one stream: sends, splits events, moves runs, answers."""

import functools

from eelgrassknot import clock as clocks
from eelgrassknot.forwarding import dialect
from eelgrassknot.forwarding import error_responses
from eelgrassknot.forwarding import kv_transfer
from eelgrassknot.forwarding import machine_driver
from eelgrassknot.forwarding import metrics
from eelgrassknot.forwarding import model
from eelgrassknot.forwarding import sse
from eelgrassknot.forwarding import upstream_connection
from eelgrassknot.forwarding import work as works
from eelgrassknot import logs
from eelgrassknot.policy import commitments
from eelgrassknot.policy import engine_pairs
from eelgrassknot.policy import engine_queue
from eelgrassknot.requests import forwarded_stream
from eelgrassknot.requests import stream_messages as messages
from eelgrassknot import states

__all__ = ['StreamDriver']

MIN_SERVICE_MS = 400.0
"""A stream that has less time left than this is not worth an engine; ms."""
UNKNOWN_PROMPT_TOKENS = 1_000
"""Prompt size that is assumed where a request does not say it."""
SUCCESS = range(200, 300)


class _StreamAttempt(upstream_connection.AttemptListener):
    """Tells the driver of one attempt's answer."""

    def __init__(self, driver: 'StreamDriver', send: messages.Send) -> None:
        self.driver = driver
        self.number = send.attempt
        self.upstream = send.upstream
        self.copy: model.Upstream | None = None
        self.splitter = sse.EventSplitter()
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.plain_body: bytearray | None = None
        self.wire: upstream_connection.Attempt | None = None

    def answer_started(
        self,
        attempt: upstream_connection.Attempt,
        status: int,
        headers: list[tuple[bytes, bytes]],
    ) -> None:
        """Take in the head of an answer."""
        self.status = status
        self.headers = headers
        genuine = self.driver.context.dialect.is_genuine(headers)
        if status in SUCCESS and genuine:
            self.driver.tell(messages.Headed(self.number, True))
        else:
            # Judged as a whole, since it may be of another's making.
            self.plain_body = bytearray()

    def answer_data(
        self, attempt: upstream_connection.Attempt, data: bytes
    ) -> None:
        """Take in a part of the body."""
        if self.plain_body is not None:
            self.plain_body += data
            return
        for event in self.splitter.feed(data):
            index = sse.event_index(event)
            self.driver.take_event(self, index, event)

    def answer_ended(self, attempt: upstream_connection.Attempt) -> None:
        """Take in that the answer is complete."""
        if self.plain_body is not None:
            self.driver.take_failure(self)
            return
        if self.splitter.pending:
            self.driver.take_event(self, None, self.splitter.pending)
        self.driver.succeeded(self)
        self.driver.tell(messages.Ended(self.number))

    def attempt_failed(
        self,
        attempt: upstream_connection.Attempt,
        fault: upstream_connection.Fault,
        bytes_left: bool,
    ) -> None:
        """Take in that no more of the answer will come."""
        self.driver.take_break(self, fault, bytes_left)


class StreamDriver(machine_driver.MachineDriver):
    """Drives the state machine of one stream.

    Args:
        context: What drivers use.
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
                can_move=engine is not None and engine.can_move,
            ),
            work.deadline_ms,
            context.generator,
            work.headers.last_event,
        )
        super().__init__(context, work, machine)
        self.attempts: dict[int, _StreamAttempt] = {}
        self.first_event_ms: float | None = None
        self.largest_gap_ms = 0.0
        self.heard_ms = work.started_ms
        self.move: kv_transfer.RunMove | None = None

    def start(self) -> None:
        """Place the stream."""
        self.work.exchange.gone = self._end
        self.context.budget(self.work.service.name).earn()
        self.context.desk.streams.add(self)
        self._place(frozenset())
        self.arm()

    def upstream_leaving(self, upstream: str) -> None:
        """Take in that an upstream is about to leave or has left."""
        self.tell(messages.UpstreamLeaving(upstream))

    # What attempts tell

    def tell(self, event: messages.Event) -> None:
        """Tell the state machine and do what it wants."""
        for action in self.machine.handle(event, self.now_ms()):
            self._act(action)
        self.arm()

    def take_event(
        self, attempt: _StreamAttempt, index: int | None, data: bytes
    ) -> None:
        """Take in a whole event."""
        self.tell(messages.Received(attempt.number, index, data))

    def take_failure(self, attempt: _StreamAttempt) -> None:
        """Take in a whole answer that is not a genuine success."""
        if self.context.dialect.says_not_run(attempt.status, attempt.headers):
            self._log_attempt(attempt, f'not_run_{attempt.status}')
            self.tell(messages.NotRun(attempt.number))
            return
        if not self.context.dialect.is_genuine(attempt.headers):
            self.take_break(attempt, upstream_connection.Fault.MALFORMED, True)
            return
        self.context.book.record_failure(
            attempt.upstream.upstream, self.now_ms()
        )
        self._log_attempt(attempt, f'status_{attempt.status}')
        self.tell(messages.Headed(attempt.number, False))

    def take_break(
        self,
        attempt: _StreamAttempt,
        fault: upstream_connection.Fault,
        bytes_left: bool,
    ) -> None:
        """Take in that an attempt ended early."""
        self.context.book.record_failure(
            attempt.upstream.upstream, self.now_ms()
        )
        self._log_attempt(attempt, fault.value)
        self.tell(messages.Broken(attempt.number, bytes_left))

    def succeeded(self, attempt: _StreamAttempt) -> None:
        """Take in that an attempt was answered in full."""
        self.context.book.record_success(attempt.upstream.upstream)

    # What the state machine wants

    def _act(self, action: messages.Action) -> None:
        match action:
            case messages.Place(failed):
                self._place(failed)
            case messages.Send():
                self._send(action)
            case messages.Cancel(attempt):
                self._cancel(attempt)
            case messages.PlaceMove():
                self._begin_move(action)
            case messages.Move(source, target):
                self._move(source, target)
            case messages.StartAnswer(attempt):
                self._start_answer(self.attempts[attempt])
            case messages.Forward(data):
                self._forward(data)
            case messages.Finish():
                self.work.exchange.finish()
                self._end('complete')
            case messages.BreakOff(reason):
                self.work.exchange.break_off()
                self._end(reason)
            case messages.Fail():
                self._fail(action)

    def _place(self, failed: frozenset[str]) -> None:
        counted = self.context.desk.commitment(self.work.request)
        produced = counted.produced_tokens if counted else 0
        self.context.desk.release(self.work.request)
        profile = self.work.headers.generation
        prompt = UNKNOWN_PROMPT_TOKENS
        output = UNKNOWN_PROMPT_TOKENS
        if profile is not None:
            prompt = profile.prompt_tokens + produced
            output = commitments.forecast_output(
                profile.max_output_tokens, profile.output_hint
            )
        need = engine_pairs.RunRequirements(
            self.context.desk.region,
            prompt,
            max(0, output - produced),
            self.machine.rules.can_copy and not self.machine.rules.resumable,
        )
        order = engine_queue.PlacementRequest(
            self.work.request,
            self.work.service.name,
            self.work.rank,
            need,
            failed,
            self.work.deadline_ms - MIN_SERVICE_MS,
        )
        self.context.desk.submit(order, self._placed)

    def _placed(
        self, told: engine_queue.Placement | engine_queue.Refusal
    ) -> None:
        if isinstance(told, engine_queue.Refusal):
            self.tell(
                messages.Refused(
                    states.RefusalReason.NO_UPSTREAM, told.retry_after_ms
                )
            )
            return
        upstream = self.context.desk.upstreams.get(told.engine.upstream)
        if upstream is None:
            self._place(frozenset([told.engine.upstream]))
            return
        self.tell(messages.Placed(upstream))

    def _send(self, send: messages.Send) -> None:
        if send.is_repeat:
            self.context.budget(self.work.service.name).spend()
        attempt = _StreamAttempt(self, send)
        self.attempts[send.attempt] = attempt
        counted = self.context.desk.commitment(self.work.request)
        if counted is not None:
            counted.upstream = send.upstream.upstream
            counted.copy = None
        if send.wants_copy:
            attempt.copy = self.context.desk.place_copy(
                self.work.request, send.upstream
            )
            self.machine.handle(
                messages.CopyPlaced(send.attempt, attempt.copy),
                self.now_ms(),
            )
        now_ms = self.now_ms()
        sums = self.context.desk.queue.commitments.sums(
            send.upstream.upstream, now_ms
        )
        logs.event(
            'stream_sent',
            request=self.work.request,
            attempt=send.attempt,
            upstream=send.upstream.upstream,
            copy=attempt.copy.upstream if attempt.copy else None,
            continue_from=send.continue_from,
            after=send.last_event,
            since_ms=round(now_ms - self.work.started_ms, 1),
            engine_runs=sums.runs,
            engine_tokens=sums.tokens + sums.copy_tokens,
            engine_unread=sums.unread_tokens,
        )
        attempt.wire = works.send(
            self.context,
            self.work,
            send.upstream,
            attempt,
            functools.partial(self._facts, send, attempt),
            not self.work.route.is_idempotent,
        )

    def _facts(
        self, send: messages.Send, attempt: _StreamAttempt, left_ms: float
    ) -> dialect.ForwardingFacts:
        return dialect.ForwardingFacts(
            send.upstream.upstream,
            left_ms,
            self.work.account,
            copy_to=attempt.copy.address if attempt.copy else None,
            continue_from=send.continue_from,
            last_event=send.last_event,
        )

    def _cancel(self, number: int) -> None:
        attempt = self.attempts.get(number)
        if attempt is not None and attempt.wire is not None:
            attempt.wire.cancel()

    def _begin_move(self, place: messages.PlaceMove) -> None:
        target = self.context.desk.place_copy(
            self.work.request,
            place.source,
            place.refused,
            place.must_fit,
        )
        if target is None:
            self.tell(messages.MoveEnded(None, None))
            return
        self._move(place.source, target)

    def _move(self, source: model.Upstream, target: model.Upstream) -> None:
        self.move = kv_transfer.RunMove(
            self.context,
            kv_transfer.Plan(self.work.request, source, target),
            self._moved,
        )

    def _moved(self, plan: kv_transfer.Plan, handle: str | None) -> None:
        logs.event(
            'run_copied',
            request=self.work.request,
            source=plan.source.upstream,
            target=plan.target.upstream,
            handle=handle,
        )
        outcome = 'made' if handle is not None else 'failed'
        metrics.COPIES.labels(outcome).inc()
        self.tell(messages.MoveEnded(plan.target, handle))

    def _start_answer(self, attempt: _StreamAttempt) -> None:
        headers = self.context.dialect.answer_headers(attempt.headers)
        if attempt.plain_body is not None:
            self.work.exchange.respond(
                attempt.status, headers, bytes(attempt.plain_body)
            )
            self._end(f'status_{attempt.status}')
            return
        self.work.exchange.start(attempt.status, headers)

    def _forward(self, data: bytes) -> None:
        now_ms = self.now_ms()
        if self.first_event_ms is None:
            self.first_event_ms = now_ms
        else:
            gap_ms = now_ms - self.heard_ms
            self.largest_gap_ms = max(self.largest_gap_ms, gap_ms)
        self.heard_ms = now_ms
        self.work.exchange.send(data)
        counted = self.context.desk.commitment(self.work.request)
        if counted is not None:
            counted.started = True
            engine = self.work.service.engine
            counted.produced_tokens += engine.event_tokens if engine else 1

    def _fail(self, action: messages.Fail) -> None:
        exchange = self.work.exchange
        if action.outcome is states.Outcome.NOT_RUN:
            error_responses.refuse(
                exchange,
                503,
                action.outcome,
                action.reason,
                action.retry_after_ms,
            )
        else:
            late = action.reason == 'deadline'
            error_responses.refuse(
                exchange, 504 if late else 502, action.outcome, action.reason
            )
        self._end(action.reason)

    def _end(self, reason: str) -> None:
        self.disarm()
        for attempt in self.attempts.values():
            if attempt.wire is not None:
                attempt.wire.cancel()
        if self.move is not None:
            self.move.cancel()
        self.context.desk.withdraw(self.work.request)
        self.context.desk.release(self.work.request)
        self.context.desk.streams.discard(self)
        kind = self.work.route.kind.value
        metrics.REQUESTS.labels(kind, reason).inc()
        metrics.TAKEOVERS.inc(self.machine.takeovers)
        first_ms = self.first_event_ms
        if first_ms is not None:
            first_ms = round(first_ms - self.work.started_ms, 1)
            metrics.REQUEST_SECONDS.labels(kind).observe(
                first_ms / clocks.MS_PER_SECOND
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
        )

    def _log_attempt(self, attempt: _StreamAttempt, fault: str) -> None:
        metrics.ATTEMPT_FAULTS.labels(fault).inc()
        logs.event(
            'attempt_failed',
            request=self.work.request,
            attempt=attempt.number,
            upstream=attempt.upstream.upstream,
            fault=fault,
        )

    def tick(self) -> None:
        """Tell the stream that time has passed."""
        self.tell(messages.Tick())
