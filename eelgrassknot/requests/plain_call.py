"""State machine of a call to a plain service."""

import enum
import random

import msgspec

from eelgrassknot import ids
from eelgrassknot.kernel import events as kernel_events
from eelgrassknot.requests import backoff
from eelgrassknot.requests import plain_messages as messages
from eelgrassknot import states

__all__ = ['AttemptRules', 'PlainCall', 'outcome_of']

NEVER_MS = float('inf')
MAX_ATTEMPTS = 4
MIN_ATTEMPT_MS = 250.0
ATTEMPT_SHARE = 0.5
RETRIED_STATUSES = frozenset([502, 503, 504])
SERVER_ERROR_STATUS = 500


class AttemptRules(msgspec.Struct, frozen=True):
    """Limits on the attempts of a call.

    Attributes:
        max_attempts: Maximum number of upstreams that may run an
            idempotent call.
        max_placements: Maximum number of upstreams tried, including those
            that refused the call or were not reached.
        retried_statuses: Status codes after which an idempotent call is
            retried on another upstream.
    """

    max_attempts: int = MAX_ATTEMPTS
    max_placements: int = MAX_ATTEMPTS
    retried_statuses: frozenset[int] = RETRIED_STATUSES


DEFAULT_RULES = AttemptRules()


class _Stage(enum.Enum):
    PLACING = 'placing'
    SENDING = 'sending'
    BACKING_OFF = 'backing_off'
    ENDED = 'ended'


class PlainCall:
    """Decides on retries and the outcome of one plain call.

    An idempotent call is retried on other upstreams within the
    dispatcher's retry budget and the deadline. Any other call is sent
    again only if no byte of it was sent.

    Args:
        request: Identifier of the request.
        call_class: Class that determines how often the call may run.
        deadline_ms: Time by which the call must end.
        generator: Random number generator for delays.
        rules: Limits on the attempts.

    Attributes:
        may_have_run: Whether a byte of any attempt may have been sent.
    """

    def __init__(
        self,
        request: ids.RequestId,
        call_class: messages.CallClass,
        deadline_ms: float,
        generator: random.Random,
        rules: AttemptRules = DEFAULT_RULES,
    ) -> None:
        self.request = request
        self.rules = rules
        self.call_class = call_class
        self.deadline_ms = deadline_ms
        self.jitter = backoff.DecorrelatedJitter(generator)
        self.stage = _Stage.PLACING
        self.upstream: kernel_events.UpstreamInfo | None = None
        self.crosses_region = False
        self.attempt = 0
        self.not_run_count = 0
        self.may_have_run = False
        self.retry_at_ms = NEVER_MS
        self.last_answer: messages.Answer | messages.ForwardedAnswer | None = (
            None
        )
        self.outcome: messages.EndCall | None = None

    def handle(
        self, event: messages.Event, now_ms: float
    ) -> list[messages.Action]:
        """Handle an event and return the actions to perform.

        Args:
            event: Event to handle.
            now_ms: Current time.
        """
        if self.stage is _Stage.ENDED:
            return []
        match event:
            case messages.Placed(upstream, crosses_region):
                self.crosses_region = crosses_region
                return self._send(upstream, now_ms)
            case messages.Refused(reason, retry_after_ms):
                return self._stop(reason.value, retry_after_ms)
            case messages.Tick():
                return self._tick(now_ms)
            case messages.Answered(attempt, answer):
                if attempt != self.attempt:
                    return []
                return self._answered(answer, now_ms)
            case messages.AttemptFailed(attempt, may_have_sent):
                if attempt != self.attempt:
                    return []
                return self._failed(may_have_sent, now_ms)
            case messages.NotRun(attempt):
                if attempt != self.attempt:
                    return []
                return self._not_run()
        return []

    def wake_ms(self) -> float:
        """Return the time at which the next tick is due."""
        if self.stage is _Stage.BACKING_OFF:
            return min(self.retry_at_ms, self.deadline_ms)
        return self.deadline_ms

    def is_repeatable(self) -> bool:
        """Return whether the call may run more than once."""
        return self.call_class is messages.CallClass.IDEMPOTENT

    def _send(
        self, upstream: kernel_events.UpstreamInfo, now_ms: float
    ) -> list[messages.Action]:
        remaining_ms = self.deadline_ms - now_ms
        if remaining_ms <= 0:
            return self._stop('deadline')
        self.upstream = upstream
        self.attempt += 1
        self.stage = _Stage.SENDING
        timeout_ms = remaining_ms
        if self._may_run_again():
            # Leave time for another attempt if this connection is dead.
            share_ms = max(MIN_ATTEMPT_MS, ATTEMPT_SHARE * remaining_ms)
            timeout_ms = min(remaining_ms, share_ms)
        needs_new_connection = not self.is_repeatable() or self.attempt > 1
        return [
            messages.Send(
                self.attempt, upstream, timeout_ms, needs_new_connection
            )
        ]

    def _answered(
        self, answer: messages.Answer | messages.ForwardedAnswer, now_ms: float
    ) -> list[messages.Action]:
        self.may_have_run = True
        if answer.request is not None and answer.request != self.request:
            # The answer belongs to another request. The answer to this
            # one may arrive on another connection or not at all.
            return self._retry_or_stop('crossed_answer', now_ms)
        if (
            self.is_repeatable()
            and answer.status in self.rules.retried_statuses
        ):
            self.last_answer = answer
            return self._retry_or_stop(f'status_{answer.status}', now_ms)
        return [self._forward_answer(answer)]

    def _forward_answer(
        self, answer: messages.Answer | messages.ForwardedAnswer
    ) -> messages.EndCall:
        reason = f'status_{answer.status}'
        end = messages.EndCall(outcome_of(answer), reason, answer)
        return self._end(end)

    def _failed(
        self, may_have_sent: bool, now_ms: float
    ) -> list[messages.Action]:
        if may_have_sent:
            self.may_have_run = True
            return self._retry_or_stop('no_answer', now_ms)
        return self._not_run()

    def _not_run(self) -> list[messages.Action]:
        self.not_run_count += 1
        if self.attempt >= self.rules.max_placements:
            return self._stop('upstream_unreachable')
        return self._place_again()

    def _may_run_again(self) -> bool:
        ran = self.attempt - self.not_run_count
        return self.is_repeatable() and ran < self.rules.max_attempts

    def _retry_or_stop(
        self, reason: str, now_ms: float
    ) -> list[messages.Action]:
        if not self._may_run_again():
            return self._stop(reason)
        self.retry_at_ms = now_ms + self.jitter.next_ms()
        if self.retry_at_ms >= self.deadline_ms:
            return self._stop(reason)
        self.stage = _Stage.BACKING_OFF
        return []

    def _place_again(self) -> list[messages.Action]:
        self.stage = _Stage.PLACING
        return [messages.Place(self.upstream.upstream)]

    def _tick(self, now_ms: float) -> list[messages.Action]:
        if now_ms >= self.deadline_ms:
            if self.stage is _Stage.SENDING:
                # The request may already have been sent.
                self.may_have_run = True
            return self._stop('deadline')
        if self.stage is _Stage.BACKING_OFF and now_ms >= self.retry_at_ms:
            return self._place_again()
        return []

    def _stop(
        self, reason: str, retry_after_ms: float | None = None
    ) -> list[messages.Action]:
        if self.last_answer is not None:
            return [self._forward_answer(self.last_answer)]
        outcome = states.Outcome.NOT_RUN
        if self.may_have_run:
            outcome = states.Outcome.UNKNOWN
        return [
            self._end(
                messages.EndCall(
                    outcome, reason, retry_after_ms=retry_after_ms
                )
            )
        ]

    def _end(self, outcome: messages.EndCall) -> messages.EndCall:
        self.stage = _Stage.ENDED
        self.outcome = outcome
        return outcome


def outcome_of(
    answer: messages.Answer | messages.ForwardedAnswer,
) -> states.Outcome:
    """Return the outcome indicated by an upstream's answer.

    A stored answer returned to a repeated call has the same outcome as it
    had for the first caller.
    """
    if answer.status >= SERVER_ERROR_STATUS:
        return states.Outcome.FAILED
    return states.Outcome.DONE
