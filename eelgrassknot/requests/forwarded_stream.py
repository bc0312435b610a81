"""State machine of a forwarded stream that can change its upstream.

A stream that is not resumable can continue on another engine only from a
copy of its run's memory: a copy maintained while the run progressed, or
one made by its engine on request. The part that a copy lacks is rebuilt
from the stream's own events, so an outdated copy can be used. A resumable
stream can also be run again after its last event.

References:
    Sun et al., "Llumnix: Dynamic Scheduling for Large Language Model
    Serving", OSDI 2024 (live migration of running requests).
"""

import enum
import random

import msgspec

from eelgrassknot import ids
from eelgrassknot.kernel import events as kernel_events
from eelgrassknot.requests import stream_messages as messages
from eelgrassknot.requests import stream_run
from eelgrassknot import states

__all__ = ['ForwardedStream']

COPY_GROWTH_MS = 350.0
"""Time after the first event at which a maintained copy is considered
usable; ms. Engines update copies several times a second."""
COPY_REFRESH_MS = 3_000.0
"""Interval between updates of a copy made on request; ms. Engines drop an
unused copy after 5 s."""
COPY_AGE_MS = 250.0
"""Age above which a copy made on request is updated before a planned
change of engine; ms. Processing the missing part delays the stream."""
MAX_COPY_TRIES = 3
"""Maximum number of attempts to continue from a maintained copy that does
not exist on its holder yet."""
MOVE_SPREAD_MS = 1_100.0
"""Period after an engine's leave notice over which runs with a copy are
moved; ms. Engines give 1.5 s notice. Moving all runs at once would make
them delay each other, and some runs finish before they have to move. Runs
without a copy are moved immediately because they need the whole period."""
SILENCE_TIMEOUT_MS = 700.0
"""Time without events after which the upstream is considered lost if
there is a copy to continue from; ms."""
TAKEOVER_TIMEOUT_MS = 300.0
"""Time after which a run ends although the engine that may continue it has
not responded; ms. Two engines may work on a stream for 400 ms, of which the
end of the run takes a part to reach its engine."""
SWITCH_RETRY_MS = 150.0
"""Delay before retrying to move away from an upstream; ms."""
FIRST_EVENT_CHECK_MS = 50.0
"""Interval at which a run that has to move checks for its first event;
ms."""
MAX_PLACEMENTS = 6
"""Maximum number of upstreams tried for one stream, including those that
refused it."""
MAX_FIRST_EVENT = 1
"""Highest number of the first event of a stream."""
NEVER_MS = float('inf')


class _Stage(enum.Enum):
    PLACING = 'placing'
    RUNNING = 'running'
    ENDED = 'ended'


class ForwardedStream:
    """Decides on retries, takeovers and the outcome of one stream.

    Args:
        request: Identifier of the request.
        rules: Recovery options of the stream.
        deadline_ms: Time by which the stream must end.
        generator: Random number generator for delays.
        last_event: Last event that the caller already has, or None.

    Attributes:
        run: Attempt whose events are forwarded.
        successor: Attempt that is to take over from ``run``.
        last_event: Last forwarded event, or None.
        answer_started: Whether the head of an answer was forwarded.
        may_have_run: Whether a byte of any attempt may have been sent.
        takeovers: Number of times that another upstream took over.
        run_limit_ms: Time by which ``run`` ends because another engine may
            have gone on with it, or infinity.
    """

    def __init__(
        self,
        request: ids.RequestId,
        rules: messages.StreamRules,
        deadline_ms: float,
        generator: random.Random,
        last_event: int | None = None,
    ) -> None:
        self.generator = generator
        self.request = request
        self.rules = rules
        self.deadline_ms = deadline_ms
        self.last_event = last_event
        self.stage = _Stage.PLACING
        self.run: stream_run.Run | None = None
        self.successor: stream_run.Run | None = None
        self.leaving: set[str] = set()
        self.failed: set[str] = set()
        self.attempt = 0
        self.runs_started = 0
        self.answer_started = False
        self.may_have_run = False
        self.copying = False
        self.must_move = False
        self.switch_at_ms = NEVER_MS
        self.copy_at_ms = NEVER_MS
        self.refused_copies: set[str] = set()
        self.last_tried_copy: stream_run.MemoryCopy | None = None
        self.takeovers = 0
        self.run_limit_ms = NEVER_MS

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
            case messages.Placed(upstream):
                return self._start_run(upstream, now_ms)
            case messages.CopyPlaced(attempt, upstream):
                self._copy_placed(attempt, upstream)
                return []
            case messages.Refused(reason, retry_after_ms):
                return self._give_up(reason.value, retry_after_ms)
            case messages.RequestSent(attempt):
                self._request_sent(attempt, now_ms)
                return []
            case messages.HeadReceived(attempt, accepted):
                return self._head_received(attempt, accepted, now_ms)
            case messages.EventReceived(attempt, index, data):
                return self._event_received(attempt, index, data, now_ms)
            case messages.CommentReceived(attempt, data):
                if self.run is None or attempt != self.run.attempt:
                    return []
                return [messages.ForwardComment(data)]
            case messages.AnswerCompleted(attempt):
                return self._answer_completed(attempt)
            case messages.AttemptBroken():
                return self._attempt_broken(event, now_ms)
            case messages.NotRun():
                return self._not_run(event, now_ms)
            case messages.Unsendable():
                return self._unsendable(event, now_ms)
            case messages.Blocked(retry_after_ms):
                return self._blocked(retry_after_ms)
            case messages.UpstreamLeaving(upstream):
                return self._upstream_leaving(upstream, now_ms)
            case messages.ZonesEvacuated(zones):
                return self._zones_evacuated(zones, now_ms)
            case messages.CopyEnded():
                return self._copy_ended(event, now_ms)
            case messages.Tick():
                return self._tick(now_ms)
        return []

    def wake_ms(self) -> float:
        """Return the time at which the next tick is due."""
        wake_ms = min(
            self.deadline_ms, self.run_limit_ms, self._successor_limit_ms()
        )
        if self._has_single_run():
            wake_ms = min(wake_ms, self.switch_at_ms, self.copy_at_ms)
            if self._can_use_copy():
                wake_ms = min(
                    wake_ms, self.run.last_activity_ms + SILENCE_TIMEOUT_MS
                )
        return wake_ms

    @property
    def is_unsent(self) -> bool:
        """Whether nothing has been sent to any upstream."""
        return self.stage is _Stage.PLACING and not self.may_have_run

    # Sending

    def _start_run(
        self, upstream: kernel_events.UpstreamInfo, now_ms: float
    ) -> list[messages.Action]:
        self.stage = _Stage.RUNNING
        self.run = self._next_run(upstream, now_ms)
        self.runs_started += 1
        wants_copy = self.rules.can_copy and not self.rules.resumable
        return [
            messages.Send(
                self.run.attempt,
                upstream,
                None,
                self.last_event,
                wants_copy,
            )
        ]

    def _send_successor(
        self,
        upstream: kernel_events.UpstreamInfo,
        continue_from: str,
        now_ms: float,
    ) -> list[messages.Action]:
        self.successor = self._next_run(upstream, now_ms)
        self.successor.is_continued = True
        self.successor.resumed_after = self.last_event
        return [
            messages.Send(
                self.successor.attempt,
                upstream,
                continue_from,
                self.last_event,
                wants_copy=self.rules.can_copy,
            )
        ]

    def _next_run(
        self, upstream: kernel_events.UpstreamInfo, now_ms: float
    ) -> stream_run.Run:
        self.attempt += 1
        return stream_run.Run(self.attempt, upstream, last_activity_ms=now_ms)

    def _continue_from_copy(self, now_ms: float) -> list[messages.Action]:
        copy = self.run.copy
        # A copy can be used only once, unless the holder refuses it.
        self.run.copy = None
        self.last_tried_copy = copy
        return self._send_successor(copy.holder, copy.name, now_ms)

    def _copy_placed(
        self, attempt: int, holder: kernel_events.UpstreamInfo | None
    ) -> None:
        run = self._find_run(attempt)
        if run is None or holder is None:
            return
        name = f'{holder.address}/{self.request}'
        run.copy = stream_run.MemoryCopy(holder, name, NEVER_MS, grows=True)

    def _request_sent(self, attempt: int, now_ms: float) -> None:
        successor = self.successor
        if successor is not None and attempt == successor.attempt:
            successor.sent_ms = now_ms
            self.run_limit_ms = now_ms + TAKEOVER_TIMEOUT_MS

    # Answers

    def _head_received(
        self, attempt: int, accepted: bool, now_ms: float
    ) -> list[messages.Action]:
        self.may_have_run = True
        run = self._find_run(attempt)
        if run is None:
            return []
        if not accepted:
            if run is self.successor:
                self.successor = None
                self.run_limit_ms = NEVER_MS
                return [
                    messages.Cancel(attempt),
                    *self._handle_lost_successor(now_ms),
                ]
            if self.answer_started:
                cancel = messages.Cancel(attempt)
                return [cancel, *self._abort_answer('not_resumed')]
            self.stage = _Stage.ENDED
            return [messages.StartAnswer(attempt)]
        run.has_responded = True
        run.last_activity_ms = now_ms
        actions: list[messages.Action] = []
        if run is self.successor:
            actions += self._take_over()
        if not self.answer_started:
            self.answer_started = True
            actions.append(messages.StartAnswer(attempt))
        return actions

    def _take_over(self) -> list[messages.Action]:
        old = self._replace_run()
        self.takeovers += 1
        return [messages.Cancel(old.attempt)]

    def _replace_run(self) -> stream_run.Run:
        """Have the successor become the run and return the run before."""
        old, self.run = self.run, self.successor
        self.successor = None
        self.run_limit_ms = NEVER_MS
        self.copying = False
        self.must_move = self.run.upstream.upstream in self.leaving
        self.switch_at_ms = NEVER_MS
        self.copy_at_ms = NEVER_MS
        self.refused_copies.clear()
        return old

    def _event_received(
        self, attempt: int, index: int | None, data: bytes, now_ms: float
    ) -> list[messages.Action]:
        if self.run is None or attempt != self.run.attempt:
            return []
        self.run.last_activity_ms = now_ms
        if self.run.first_event_ms is None:
            self._record_first_event(now_ms)
        if index is None:
            return [messages.Forward(data)]
        self.run.last_event = index
        if self.run.was_started_anew(index):
            cancel = messages.Cancel(attempt)
            return [cancel, *self._abort_answer('run_restarted')]
        if self.last_event is not None and index <= self.last_event:
            return []
        if self._lacks_events_before(index):
            cancel = messages.Cancel(attempt)
            return [cancel, *self._abort_answer('event_missing')]
        self.last_event = index
        return [messages.Forward(data)]

    def _lacks_events_before(self, index: int) -> bool:
        if self.last_event is not None:
            return index != self.last_event + 1
        return self.run.is_continued and index > MAX_FIRST_EVENT

    def _record_first_event(self, now_ms: float) -> None:
        run = self.run
        run.first_event_ms = now_ms
        if run.copy is not None:
            run.copy = msgspec.structs.replace(
                run.copy, usable_ms=now_ms + COPY_GROWTH_MS
            )

    def _answer_completed(self, attempt: int) -> list[messages.Action]:
        if self.run is None or attempt != self.run.attempt:
            return []
        sent = self.run.last_event
        if sent is not None and sent < self.last_event:
            # It contradicts the run whose events were forwarded.
            return self._give_up('event_missing', None)
        self.stage = _Stage.ENDED
        actions: list[messages.Action] = [messages.Finish()]
        if self.successor is not None:
            actions.append(messages.Cancel(self.successor.attempt))
        return actions

    # Failures

    def _attempt_broken(
        self, event: messages.AttemptBroken, now_ms: float
    ) -> list[messages.Action]:
        self.may_have_run = self.may_have_run or event.may_have_sent
        run = self._find_run(event.attempt)
        if run is None:
            return []
        self.failed.add(run.upstream.upstream)
        if run is self.successor:
            self.successor = None
            if event.may_have_sent and not self.run.is_lost:
                # It may be at work although its connection has broken.
                self.run_limit_ms = min(
                    self.run_limit_ms, now_ms + TAKEOVER_TIMEOUT_MS
                )
                return []
            return self._handle_lost_successor(now_ms)
        run.is_lost = True
        run.has_responded = run.has_responded or event.has_responded
        if self.successor is not None:
            # The successor continues from the last forwarded event.
            return []
        if not event.may_have_sent:
            self.runs_started -= 1
            return self._place_again()
        return self._handle_lost_run(now_ms)

    def _handle_lost_run(self, now_ms: float) -> list[messages.Action]:
        """Continue a lost run from its copy, or restart or end the stream.

        Without a byte of a response nothing shows that the engine has a run
        to be copied, and it may be about to run the request although the
        connection has broken.
        """
        copy = self.run.copy
        if copy is not None and self.run.has_responded:
            if copy.tries > 0 and now_ms < copy.usable_ms:
                self.switch_at_ms = copy.usable_ms
                return []
            return self._continue_from_copy(now_ms)
        if self.copying:
            # The copy in progress may still complete.
            return []
        return self._restart()

    def _restart(self) -> list[messages.Action]:
        if (
            self.rules.resumable
            and self.runs_started < self.rules.max_attempts
        ):
            return self._place_again()
        return self._give_up('upstream_lost', None)

    def _handle_lost_successor(self, now_ms: float) -> list[messages.Action]:
        if self.run.is_lost:
            return self._handle_lost_run(now_ms)
        if self.must_move:
            self.switch_at_ms = now_ms + SWITCH_RETRY_MS
        return self._tick(now_ms)

    def _not_run(
        self, event: messages.NotRun, now_ms: float
    ) -> list[messages.Action]:
        run = self._find_run(event.attempt)
        if run is None:
            return []
        if run is self.successor:
            self.successor = None
            self.run_limit_ms = NEVER_MS
            if not (event.misdirected or event.withheld):
                self._keep_refused_copy(now_ms)
            return self._handle_lost_successor(now_ms)
        self.failed.add(run.upstream.upstream)
        if run.is_continued:
            # The run that it was to continue has ended.
            run.is_lost = True
            return [] if self.successor else self._restart()
        self.runs_started -= 1
        return self._place_again()

    def _unsendable(
        self, event: messages.Unsendable, now_ms: float
    ) -> list[messages.Action]:
        run = self._find_run(event.attempt)
        if run is None:
            return []
        if run is self.successor:
            not_run = messages.NotRun(event.attempt, withheld=True)
            return self._not_run(not_run, now_ms)
        run.is_lost = True
        if self.successor is not None:
            return []
        # Nothing of the run has been sent, so it is not cancelled.
        self.run = None
        return self._give_up(
            states.RefusalReason.NOT_SENDABLE.value, event.retry_after_ms
        )

    def _keep_refused_copy(self, now_ms: float) -> None:
        """Keep a refused copy, which may not have existed yet."""
        copy = self.last_tried_copy
        if copy is None or not copy.grows or copy.tries + 1 >= MAX_COPY_TRIES:
            return
        if copy.holder.upstream not in self.leaving:
            self.run.copy = msgspec.structs.replace(
                copy,
                tries=copy.tries + 1,
                usable_ms=now_ms + SWITCH_RETRY_MS,
            )

    def _place_again(self) -> list[messages.Action]:
        if self.attempt >= MAX_PLACEMENTS:
            return self._give_up('upstream_unreachable', None)
        self.stage = _Stage.PLACING
        self.run = None
        return [messages.Place(frozenset(self.failed))]

    def _blocked(self, retry_after_ms: float) -> list[messages.Action]:
        run = self.run
        if run is None or run.first_event_ms is None or run.is_lost:
            return self._give_up('crashes_engines', retry_after_ms)
        if self.successor is None or self.run_limit_ms < NEVER_MS:
            return []
        # The successor's request has not left; the run goes on.
        cancel = messages.Cancel(self.successor.attempt)
        self.successor = None
        return [cancel]

    # Moving away from an upstream

    def _upstream_leaving(
        self, upstream: str, now_ms: float
    ) -> list[messages.Action]:
        self.leaving.add(upstream)
        run = self.run
        if run is None or self.rules.resumable:
            return []
        if run.copy is not None and run.copy.holder.upstream == upstream:
            run.copy = None
            if run.is_lost and self._has_single_run():
                return self._handle_lost_run(now_ms)
        if run.upstream.upstream == upstream:
            self.must_move = True
            self.switch_at_ms = now_ms
            if run.copy is not None:
                self.switch_at_ms += self.generator.uniform(
                    0.0, MOVE_SPREAD_MS
                )
        return self._tick(now_ms)

    def _zones_evacuated(
        self, zones: frozenset[str], now_ms: float
    ) -> list[messages.Action]:
        """Drop the copies that must not be continued from.

        The run itself goes on at its engine, wherever that is.
        """
        tried = self.last_tried_copy
        if tried is not None and tried.holder.availability_zone in zones:
            self.last_tried_copy = None
        dropped = [
            run
            for run in (self.run, self.successor)
            if run is not None
            and run.copy is not None
            and run.copy.holder.availability_zone in zones
        ]
        for run in dropped:
            run.copy = None
        if self.run not in dropped:
            return []
        if self.must_move:
            # Another copy needs the time that is left.
            self.switch_at_ms = min(self.switch_at_ms, now_ms)
        if self.run.is_lost and self._has_single_run():
            return self._handle_lost_run(now_ms)
        return self._tick(now_ms)

    def _tick(self, now_ms: float) -> list[messages.Action]:
        if now_ms >= self.deadline_ms:
            return self._give_up('deadline', None)
        if now_ms >= self.run_limit_ms:
            return self._end_replaced_run()
        if now_ms >= self._successor_limit_ms():
            return self._replace_successor(now_ms)
        if not self._has_single_run():
            return []
        if now_ms >= self.switch_at_ms:
            return self._move_from_upstream(now_ms)
        if now_ms >= self.copy_at_ms:
            self.copy_at_ms = NEVER_MS
            return self._make_copy()
        silent = now_ms >= self.run.last_activity_ms + SILENCE_TIMEOUT_MS
        if silent and self._can_use_copy():
            self.run.last_activity_ms = now_ms
            return self._continue_from_copy(now_ms)
        return []

    def _end_replaced_run(self) -> list[messages.Action]:
        """End the run because another engine may have gone on with it."""
        self.run_limit_ms = NEVER_MS
        if self.successor is None:
            return self._give_up('upstream_lost', None)
        if self.run.is_lost:
            return []
        self.run.is_lost = True
        return [messages.Cancel(self.run.attempt)]

    def _successor_limit_ms(self) -> float:
        """Return when the only run that is left is considered silent."""
        successor = self.successor
        if (
            successor is None
            or successor.sent_ms is None
            or successor.copy is None
            or not self.run.is_lost
            or self.attempt >= MAX_PLACEMENTS
        ):
            return NEVER_MS
        return successor.sent_ms + SILENCE_TIMEOUT_MS

    def _replace_successor(self, now_ms: float) -> list[messages.Action]:
        """Continue from the copy of a run that has not responded.

        Its engine may run it and not be heard. A copy that can be continued
        shows that it does.
        """
        self._replace_run()
        self.run.last_activity_ms = now_ms
        return self._continue_from_copy(now_ms)

    def _move_from_upstream(self, now_ms: float) -> list[messages.Action]:
        run = self.run
        if run.is_lost:
            self.switch_at_ms = NEVER_MS
            return self._handle_lost_run(now_ms)
        if run.first_event_ms is None:
            self.switch_at_ms = now_ms + FIRST_EVENT_CHECK_MS
            return []
        if run.copy is not None and now_ms < run.copy.usable_ms:
            self.switch_at_ms = run.copy.usable_ms
            return []
        self.switch_at_ms = NEVER_MS
        if run.copy is not None and not self._is_outdated(now_ms):
            return self._continue_from_copy(now_ms)
        return self._make_copy()

    def _is_outdated(self, now_ms: float) -> bool:
        copy = self.run.copy
        return not copy.grows and now_ms > copy.usable_ms + COPY_AGE_MS

    def _make_copy(self) -> list[messages.Action]:
        """Have the engine copy the run's memory, or update its copy."""
        run = self.run
        if run.first_event_ms is None or not self._may_copy():
            return []
        if run.copy is not None and run.copy.grows:
            return []
        self.copying = True
        if run.copy is not None:
            return [messages.CopyMemory(run.upstream, run.copy.holder)]
        refused = frozenset(self.refused_copies | self.leaving)
        return [messages.PlaceCopy(run.upstream, refused, not self.must_move)]

    def _copy_ended(
        self, event: messages.CopyEnded, now_ms: float
    ) -> list[messages.Action]:
        if not self.copying or self.run is None:
            return []
        self.copying = False
        run = self.run
        if event.handle is not None:
            name = f'{run.upstream.address}/{event.handle}'
            run.copy = stream_run.MemoryCopy(
                event.target, name, now_ms, grows=False
            )
            self.copy_at_ms = now_ms + COPY_REFRESH_MS
        elif self.must_move and run.copy is not None:
            # The update failed, but the outdated copy can be used.
            run.copy = msgspec.structs.replace(run.copy, usable_ms=now_ms)
        else:
            run.copy = None
            if event.target is None:
                # Upstreams that had no room may have some later.
                self.refused_copies.clear()
            else:
                self.refused_copies.add(event.target.upstream)
        if run.is_lost:
            return self._handle_lost_run(now_ms)
        if self.must_move:
            pause_ms = 0.0 if event.target else SWITCH_RETRY_MS
            self.switch_at_ms = now_ms + pause_ms
        return self._tick(now_ms)

    def _may_copy(self) -> bool:
        return self.rules.can_move and not self.rules.resumable

    # Outcomes

    def _give_up(
        self, reason: str, retry_after_ms: float | None
    ) -> list[messages.Action]:
        cancels = [
            messages.Cancel(run.attempt)
            for run in (self.run, self.successor)
            if run is not None
        ]
        if self.answer_started:
            return [*cancels, *self._abort_answer(reason)]
        self.stage = _Stage.ENDED
        outcome = states.Outcome.NOT_RUN
        if self.may_have_run or cancels:
            outcome = states.Outcome.UNKNOWN
        return [*cancels, messages.Fail(outcome, reason, retry_after_ms)]

    def _abort_answer(self, reason: str) -> list[messages.Action]:
        self.stage = _Stage.ENDED
        return [messages.AbortAnswer(reason)]

    def _has_single_run(self) -> bool:
        """Return whether a run is active and no change is in progress."""
        return (
            self.run is not None
            and self.successor is None
            and not self.copying
            and self.run_limit_ms == NEVER_MS
        )

    def _can_use_copy(self) -> bool:
        run = self.run
        if run is None or run.copy is None:
            return False
        if run.first_event_ms is not None:
            return True
        return run.is_continued and not run.has_responded

    def _find_run(self, attempt: int) -> stream_run.Run | None:
        for run in (self.run, self.successor):
            if run is not None and run.attempt == attempt:
                return run
        return None
