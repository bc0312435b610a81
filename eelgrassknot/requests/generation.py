"""State machine of a generation request, from arrival to outcome."""

import enum

from eelgrassknot import ids
from eelgrassknot.kernel import events as kernel_events
from eelgrassknot.requests import generation_messages as messages
from eelgrassknot.requests import progress as progresses
from eelgrassknot.requests import recovery as recoveries
from eelgrassknot.requests import timeline as timelines
from eelgrassknot import states
from eelgrassknot.upstreams import messages as upstream_messages

__all__ = ['Generation', 'Stage']

NEVER_MS = float('inf')
MAX_ATTEMPTS = 4
RESUME_GRACE_MS = 5_000.0
NOT_RUN_STATUS = 503
NOT_FOUND_STATUS = 404
SERVER_ERROR_STATUS = 500


class Stage(enum.Enum):
    """Stages of a generation request."""

    QUEUED = 'queued'
    STREAMING = 'streaming'
    RECONNECTING = 'reconnecting'
    ENDED = 'ended'


class Generation:
    """Decides on retries, reconnections and the outcome of a request.

    Until the first token is delivered, a failed attempt is replaced by one
    on another engine. After that, only the same generation can continue:
    a silent or closed connection is replaced by a new connection that
    reads from the next index.

    Args:
        request: Identifier of the request.
        streamed: Whether tokens are delivered as they arrive.
        deadline_ms: Time by which the caller wants the complete answer.
        now_ms: Current time.

    Attributes:
        connection: Number of the open connection, or None.
        resuming: Whether that connection resumes a generation.
        probe: Number of the pending status probe, or None.
        recovery: Failures since the engine last made progress.
        sent: Whether a byte of the current attempt may have been sent.
        may_have_run: Whether a byte of any attempt may have been sent.
    """

    def __init__(
        self,
        request: ids.RequestId,
        streamed: bool,
        deadline_ms: float | None,
        now_ms: float,
    ) -> None:
        self.request = request
        self.streamed = streamed
        self.deadline_ms = NEVER_MS if deadline_ms is None else deadline_ms
        self.progress = progresses.Progress(now_ms)
        self.stage = Stage.QUEUED
        self.upstream: kernel_events.UpstreamInfo | None = None
        self.generation: ids.GenerationId | None = None
        self.crosses_region = False
        self.checks_request = True
        self.connection: int | None = None
        self.connections_opened = 0
        self.resuming = False
        self.probe: int | None = None
        self.probes_sent = 0
        self.attempts = 0
        self.recovery = recoveries.Recovery()
        self.sent = False
        self.may_have_run = False
        self.reconnect_at_ms = NEVER_MS
        self.outcome: messages.EndRequest | None = None

    def handle(
        self, event: messages.Event, now_ms: float
    ) -> list[messages.Action]:
        """Handle an event and return the actions to perform.

        Args:
            event: Event to handle.
            now_ms: Current time.
        """
        if self.stage is Stage.ENDED:
            return []
        match event:
            case messages.TokenReceived(connection, token):
                return self.receive_token(connection, token, now_ms)
            case messages.Placed():
                return self._open(event, now_ms)
            case messages.Refused(reason, retry_after_ms):
                self.progress.timeline.charge(
                    timelines.TimePart.ENTRY_QUEUE, now_ms
                )
                return self._end(self._no_answer(reason.value, retry_after_ms))
            case messages.CallerGone():
                return self._stop_reading(
                    'caller_gone', RESUME_GRACE_MS, now_ms
                )
            case messages.ReaderSuperseded():
                return self._stop_reading('superseded', None, now_ms)
            case messages.Tick():
                return self._tick(now_ms)
            case (
                messages.StreamAccepted()
                | messages.StreamRejected()
                | messages.StreamFinished()
                | messages.StreamClosed()
            ):
                return self._connection_event(event, now_ms)
            case _:
                return self._probe_ended(event, now_ms)

    def resume(
        self,
        upstream: kernel_events.UpstreamInfo,
        generation: ids.GenerationId,
        index: int,
        now_ms: float,
    ) -> list[messages.Action]:
        """Resume reading a generation that another reader started.

        Args:
            upstream: Engine that runs the generation.
            generation: Identifier of the generation.
            index: Index of the first token that the caller lacks.
            now_ms: Current time.
        """
        self.upstream = upstream
        self.generation = generation
        self.checks_request = False
        self.attempts = MAX_ATTEMPTS
        self._mark_sent()
        self.progress.start_attempt(index, now_ms)
        return self._reconnect(now_ms)

    def receive_token(
        self, connection: int, token: upstream_messages.Token, now_ms: float
    ) -> list[messages.Action]:
        """Handle a received token; deliver it if it is the next one.

        Args:
            connection: Connection on which the token was received.
            token: Received token.
            now_ms: Current time.
        """
        if connection != self.connection or self.stage is Stage.ENDED:
            return []
        progress = self.progress
        if self._is_foreign(token) or token.index > progress.next_index:
            return self._drop_faulty_stream(now_ms)
        if token.index < progress.next_index:
            return []
        if self.recovery.failures or not self.sent:
            self.recovery.record_success()
            self._mark_sent()
        progress.record_token(now_ms)
        delivery = messages.DeliverToken(token)
        if token.finish_reason is None:
            return [delivery]
        done = messages.EndRequest(
            states.Outcome.DONE, token.finish_reason.value
        )
        return [delivery, *self._drop_stream(), *self._end(done)]

    def wake_ms(self) -> float:
        """Return the time at which the next tick is due."""
        wake_ms = NEVER_MS
        if self.stage is Stage.STREAMING and self.probe is None:
            wake_ms = self.progress.silence_deadline_ms
        elif self.stage is Stage.RECONNECTING:
            wake_ms = self.reconnect_at_ms
        return min(wake_ms, self.deadline_ms)

    def is_committed(self) -> bool:
        """Return whether a token has been delivered to the caller."""
        return self.streamed and self.progress.next_index > 0

    def _open(
        self, placed: messages.Placed, now_ms: float
    ) -> list[messages.Action]:
        self.progress.timeline.charge(timelines.TimePart.ENTRY_QUEUE, now_ms)
        self.upstream = placed.upstream
        self.generation = placed.generation
        self.crosses_region = placed.crosses_region
        self.attempts += 1
        self.recovery.record_success()
        self.sent = False
        self.resuming = False
        self.probe = None
        self.progress.start_attempt(0, now_ms)
        self.stage = Stage.STREAMING
        number = self._next_connection()
        return [
            messages.OpenStream(number, placed.upstream, placed.generation)
        ]

    def _is_foreign(self, token: upstream_messages.Token) -> bool:
        if token.generation != self.generation:
            return True
        return self.checks_request and token.request_id != self.request

    def _mark_sent(self) -> None:
        self.sent = True
        self.may_have_run = True

    def _next_connection(self) -> int:
        self.connections_opened += 1
        self.connection = self.connections_opened
        return self.connection

    def _drop_stream(self) -> list[messages.Action]:
        if self.connection is None:
            return []
        closed = messages.CloseStream(self.connection)
        self.connection = None
        return [closed]

    def _drop_faulty_stream(self, now_ms: float) -> list[messages.Action]:
        # The token belongs to another request or a token is missing, so
        # nothing received on this connection can be trusted any more.
        self._mark_sent()
        closed = self._drop_stream()
        if self.recovery.record_faulty_stream():
            return closed + self._reconnect(now_ms)
        return closed + self._generation_lost('faulty_streams', now_ms)

    def _connection_event(
        self, event: messages.Event, now_ms: float
    ) -> list[messages.Action]:
        if event.connection != self.connection:
            return []
        match event:
            case messages.StreamRejected(status=status):
                self.connection = None
                if self.resuming:
                    return self._resume_rejected(status, now_ms)
                return self._rejected(event, now_ms)
            case messages.StreamClosed(may_have_sent=may_have_sent):
                self.connection = None
                return self._closed(may_have_sent, now_ms)
            case messages.StreamFinished():
                # The final token is missing: probe the engine at once to
                # find out how the generation ended.
                self.connection = None
                self._mark_sent()
                self.progress.silence_deadline_ms = now_ms
                return self._tick(now_ms)
        self._mark_sent()
        return []

    def _rejected(
        self, event: messages.StreamRejected, now_ms: float
    ) -> list[messages.Action]:
        if event.status == NOT_RUN_STATUS:
            return self._replace('engine_refused', now_ms)
        self._mark_sent()
        if event.status >= SERVER_ERROR_STATUS:
            return self._replace('engine_error', now_ms)
        self.progress.charge(now_ms)
        failed = messages.EndRequest(
            states.Outcome.FAILED,
            f'status_{event.status}',
            status=event.status,
            body=event.body,
        )
        return self._end(failed)

    def _resume_rejected(
        self, status: int, now_ms: float
    ) -> list[messages.Action]:
        if status == NOT_FOUND_STATUS:
            return self._generation_lost('generation_missing', now_ms)
        return self._count_failure(now_ms)

    def _closed(self, may_have_sent: bool, now_ms: float) -> list:
        if not may_have_sent and not self.sent:
            return self._replace('engine_unreachable', now_ms)
        self._mark_sent()
        if self.recovery.failures or not may_have_sent:
            return self._count_failure(now_ms)
        self.recovery.failures += 1
        return self._reconnect(now_ms)

    def _count_failure(self, now_ms: float) -> list[messages.Action]:
        silent_ms = now_ms - self.progress.last_token_ms
        delay_ms = self.recovery.record_failure(self.is_committed(), silent_ms)
        if delay_ms is None:
            return self._generation_lost('engine_dead', now_ms)
        self.progress.attribute_to(timelines.TimePart.LINK, now_ms)
        self.stage = Stage.RECONNECTING
        self.reconnect_at_ms = now_ms + delay_ms
        return []

    def _reconnect(self, now_ms: float) -> list[messages.Action]:
        self.progress.attribute_to(timelines.TimePart.LINK, now_ms)
        self.progress.restart_silence_timer(now_ms)
        self.stage = Stage.STREAMING
        self.resuming = True
        self.probe = None
        return [
            messages.ResumeStream(
                self._next_connection(),
                self.upstream,
                self.generation,
                ids.TokenIndex(self.progress.next_index),
            )
        ]

    def _tick(self, now_ms: float) -> list[messages.Action]:
        if now_ms >= self.deadline_ms:
            return self._give_up('deadline', now_ms)
        if now_ms < self.wake_ms():
            return []
        if self.stage is Stage.RECONNECTING:
            return self._reconnect(now_ms)
        self.probes_sent += 1
        self.probe = self.probes_sent
        return [messages.AskStatus(self.probe, self.upstream, self.generation)]

    def _probe_ended(
        self, event: messages.Event, now_ms: float
    ) -> list[messages.Action]:
        if event.probe != self.probe:
            return []
        self.probe = None
        if now_ms < self.progress.silence_deadline_ms:
            # Tokens arrived while the probe was pending.
            return []
        self._mark_sent()
        match event:
            case messages.StatusMissing():
                lost = self._drop_stream()
                return lost + self._generation_lost(
                    'generation_missing', now_ms
                )
            case messages.StatusLost():
                return self._drop_stream() + self._count_failure(now_ms)
            case messages.StatusReceived(state=state, produced=produced):
                return self._evaluate_status(state, produced, now_ms)
        return []

    def _evaluate_status(
        self, state: states.GenerationState, produced: int, now_ms: float
    ) -> list[messages.Action]:
        if state is states.GenerationState.CANCELLED:
            return self._drop_stream() + self._generation_lost(
                'cancelled', now_ms
            )
        if produced > self.progress.next_index:
            return self._drop_stream() + self._reconnect(now_ms)
        if state is states.GenerationState.DONE:
            return self._drop_stream() + self._ended_early(now_ms)
        if self.connection is None:
            return self._count_failure(now_ms)
        return self._keep_waiting(state, now_ms)

    def _ended_early(self, now_ms: float) -> list[messages.Action]:
        if self.progress.first_index == 0 or self.progress.received_count():
            return self._generation_lost('ended_early', now_ms)
        # The caller already had the complete answer when it resumed.
        self.progress.charge(now_ms)
        return self._end(
            messages.EndRequest(states.Outcome.DONE, 'already_complete')
        )

    def _keep_waiting(
        self, state: states.GenerationState, now_ms: float
    ) -> list[messages.Action]:
        self.recovery.record_success()
        has_tokens = self.progress.next_index > 0
        policy = recoveries.silence_policy(state, has_tokens)
        self.progress.attribute_to(policy.part, now_ms)
        if now_ms - self.progress.last_token_ms >= policy.limit_ms:
            return self._drop_stream() + self._generation_lost(
                'stalled', now_ms
            )
        self.progress.silence.increase_limit()
        self.progress.restart_silence_timer(now_ms)
        return []

    def _generation_lost(
        self, reason: str, now_ms: float
    ) -> list[messages.Action]:
        if self.is_committed():
            return self._give_up(reason, now_ms)
        return self._replace(reason, now_ms)

    def _replace(self, reason: str, now_ms: float) -> list[messages.Action]:
        if self.attempts >= MAX_ATTEMPTS:
            return self._give_up(reason, now_ms)
        actions = self._cancel(0)
        part = timelines.TimePart.LINK
        if self.sent:
            part = timelines.TimePart.STALL
        self.progress.timeline.charge(part, now_ms)
        if self.progress.discard():
            actions.append(messages.DiscardTokens())
        self.stage = Stage.QUEUED
        return actions + [messages.Place(self.upstream.upstream)]

    def _give_up(self, reason: str, now_ms: float) -> list[messages.Action]:
        if self.stage is Stage.QUEUED:
            self.progress.timeline.charge(
                timelines.TimePart.ENTRY_QUEUE, now_ms
            )
            return self._end(self._no_answer(reason))
        self.progress.charge(now_ms)
        if self.connection is not None:
            # The request may have been sent, even if nothing was received.
            self._mark_sent()
        actions = self._drop_stream() + self._cancel(0)
        if not self.is_committed():
            self.progress.discard()
            return actions + self._end(self._no_answer(reason))
        end = messages.EndRequest(states.Outcome.INCOMPLETE, reason)
        return actions + self._end(end)

    def _no_answer(
        self, reason: str, retry_after_ms: float | None = None
    ) -> messages.EndRequest:
        outcome = states.Outcome.NOT_RUN
        if self.may_have_run or self.sent:
            outcome = states.Outcome.UNKNOWN
        return messages.EndRequest(outcome, reason, retry_after_ms)

    def _stop_reading(
        self, reason: str, grace_ms: float | None, now_ms: float
    ) -> list[messages.Action]:
        if self.stage is Stage.QUEUED:
            self.progress.timeline.charge(
                timelines.TimePart.ENTRY_QUEUE, now_ms
            )
        else:
            self.progress.charge(now_ms)
        actions = self._drop_stream()
        if self.stage is not Stage.QUEUED and grace_ms is not None:
            # The request may have been sent, even if nothing was received.
            self._mark_sent()
            actions += self._cancel(grace_ms if self.is_committed() else 0)
        end = messages.EndRequest(states.Outcome.INCOMPLETE, reason)
        return actions + self._end(end)

    def _cancel(self, grace_ms: float) -> list[messages.Action]:
        if not self.sent and self.connection is None:
            return []
        return [
            messages.CancelGeneration(self.upstream, self.generation, grace_ms)
        ]

    def _end(self, outcome: messages.EndRequest) -> list[messages.Action]:
        self.stage = Stage.ENDED
        self.outcome = outcome
        return [outcome]
