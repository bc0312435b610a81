"""Response to one attempt of a stream: its head, events and end."""

import typing

from eelgrassknot.forwarding import model
from eelgrassknot.forwarding import pending_permit
from eelgrassknot.forwarding import response_framing
from eelgrassknot.forwarding import sse
from eelgrassknot.forwarding import upstream_connection
from eelgrassknot import logs
from eelgrassknot.policy import event_pace
from eelgrassknot.requests import stream_messages as messages

if typing.TYPE_CHECKING:
    from eelgrassknot.forwarding import stream_driver

__all__ = ['StreamAttempt']

SUCCESS_STATUSES = range(200, 300)
MAX_EMPTY_BYTES = 16_384
"""Maximum bytes of comments and of other events without content between two
events that have one."""
SURVIVAL_EVENTS = 2
"""Number of events after which a prompt has not crashed its engine. The
first one may have been produced before the crash."""
CONTINUED_EVENTS = 8
"""Number of events of a continued run of which the intervals are not
measured. Some have been kept for it, and arrive at once."""


class StreamAttempt(upstream_connection.AttemptListener):
    """Reports the response to one attempt to the driver.

    Attributes:
        is_continued: Whether it continues another run from a copy.
        status: Status of the response, or 0 before its head.
        events: Number of complete events received.
        comments: Number of comments received.
        empty_bytes: Bytes received since the last event with content.
        last_index: Highest number of its events, or None.
        head_ms: When the head was received, or None.
        first_event_ms: When the first event was received, or None.
        unread_tokens: Prompt tokens that the engine had to read when the
            request was sent, including its own.
        pace: Intervals between its events.
    """

    def __init__(
        self, driver: 'stream_driver.StreamDriver', send: messages.Send
    ) -> None:
        self.driver = driver
        self.number = send.attempt
        self.upstream = send.upstream
        self.is_continued = send.continue_from is not None
        self.copy: model.Upstream | None = None
        self.splitter = sse.EventSplitter()
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.buffered_body: bytearray | None = None
        self.upstream_attempt: upstream_connection.Attempt | None = None
        self.permit: pending_permit.PendingPermit | None = None
        self.events = 0
        self.comments = 0
        self.empty_bytes = 0
        self.last_index: int | None = None
        self.head_ms: float | None = None
        self.first_event_ms: float | None = None
        self.unread_tokens = 0
        self.pace = event_pace.EventPace(
            CONTINUED_EVENTS if self.is_continued else 0
        )

    def request_sent(self, attempt: upstream_connection.Attempt) -> None:
        """Tell the state machine that the engine may begin to work."""
        self.driver.dispatch(messages.RequestSent(self.number))

    def response_started(
        self,
        attempt: upstream_connection.Attempt,
        status: int,
        headers: list[tuple[bytes, bytes]],
    ) -> None:
        """Store the head and start a signed successful response."""
        self.status = status
        self.headers = headers
        self.head_ms = self.driver.now_ms()
        self.driver.context.statements.response_started(
            self.upstream, status, headers
        )
        is_signed = self.driver.context.dialect.is_signed(headers)
        if self.is_continued:
            logs.event(
                'continuation_answered',
                request=self.driver.work.request,
                attempt=self.number,
                upstream=self.upstream.upstream,
                status=status,
                wait_ms=round(self.head_ms - attempt.sent_at_ms, 1),
            )
        if status in SUCCESS_STATUSES and is_signed:
            self.driver.dispatch(messages.HeadReceived(self.number, True))
        else:
            # Buffered, because it may not come from the upstream.
            self.buffered_body = bytearray()

    def response_data(
        self, attempt: upstream_connection.Attempt, data: bytes
    ) -> None:
        """Buffer a part of the body."""
        if self.buffered_body is None:
            self.splitter.add(data)
            return
        self.buffered_body += data
        if len(self.buffered_body) > upstream_connection.MAX_BUFFERED_BYTES:
            attempt.reject('a failure is too large')

    def handle_next_event(self, attempt: upstream_connection.Attempt) -> bool:
        """Handle the next complete event of the buffered part."""
        event = self.splitter.next_event()
        if event is not None:
            self._handle_event(event)
            return True
        if len(self.splitter.pending) > upstream_connection.MAX_BUFFERED_BYTES:
            attempt.reject('an event is too large')
        return False

    def response_completed(self, attempt: upstream_connection.Attempt) -> None:
        """Handle the end of the response."""
        if self.buffered_body is not None:
            self.driver.handle_unsuccessful_response(self)
            return
        if not self._is_complete(attempt):
            self.attempt_failed(
                attempt, upstream_connection.Fault.BROKEN, True
            )
            return
        if self.splitter.pending:
            self.driver.event_received(
                self, None, bytes(self.splitter.pending)
            )
        if self.events < SURVIVAL_EVENTS:
            self.driver.report_survival()
        self.driver.record_success(self)
        self.driver.dispatch(messages.AnswerCompleted(self.number))

    def attempt_failed(
        self,
        attempt: upstream_connection.Attempt,
        fault: upstream_connection.Fault,
        bytes_left: bool,
    ) -> None:
        """Handle a response that broke off."""
        if self._began_answer:
            if self.events < SURVIVAL_EVENTS:
                self.driver.report_crash(self)
        elif bytes_left and attempt.connection_end is not None:
            self.driver.report_possible_crash(self)
        self.driver.handle_broken_attempt(self, fault, bytes_left)

    @property
    def has_responded(self) -> bool:
        """Whether the engine has sent any byte after the request."""
        return (
            self.upstream_attempt is not None
            and self.upstream_attempt.has_received_bytes
        )

    @property
    def has_been_sent(self) -> bool:
        """Whether any byte of the request may have been sent."""
        return (
            self.upstream_attempt is not None
            and self.upstream_attempt.has_sent_bytes
        )

    def cancel(self) -> None:
        """Abort the attempt, or do not start it."""
        if self.permit is not None:
            self.permit.cancel()
        if self.upstream_attempt is not None:
            self.upstream_attempt.cancel()

    def end_fields(self) -> dict[str, object]:
        """Return log fields on what shows that the response is complete."""
        attempt = self.upstream_attempt
        return {
            **(attempt.end_fields() if attempt else {}),
            'comments': self.comments,
            'pending_bytes': len(self.splitter.pending),
        }

    def _is_complete(self, attempt: upstream_connection.Attempt) -> bool:
        """Return whether a response that has ended is the whole stream.

        Without a length or chunks, an engine that crashes ends its response
        as one that has finished; only an event shows that it has answered.
        """
        if self.splitter.is_inside_event:
            return False
        is_framed = (
            attempt.framing is not response_framing.Framing.UNTIL_CLOSED
        )
        return is_framed or self.events > 0

    @property
    def _began_answer(self) -> bool:
        """Whether the head of a signed successful response was received."""
        return self.head_ms is not None and self.buffered_body is None

    def _handle_event(self, event: bytes) -> None:
        index = sse.event_index(event)
        if self._has_content(event, index):
            self.empty_bytes = 0
        elif not self._may_be_empty(event):
            return
        if sse.is_comment(event):
            # Engines that have stalled may still send comments.
            self.comments += 1
            self.driver.dispatch(messages.CommentReceived(self.number, event))
            return
        self._record_event()
        self.driver.event_received(self, index, event)

    def _has_content(self, event: bytes, index: int | None) -> bool:
        """Return whether an event brings the stream forward.

        Once an event has had a number, only those with a higher one do.
        """
        last_index = self.last_index
        if index is None:
            return last_index is None and sse.has_data(event)
        if last_index is not None and index <= last_index:
            return False
        self.last_index = index
        return True

    def _may_be_empty(self, event: bytes) -> bool:
        """Reject the response if too much of it has no content."""
        self.empty_bytes += len(event)
        if self.empty_bytes <= MAX_EMPTY_BYTES:
            return True
        self.upstream_attempt.reject('too many events without content')
        return False

    def _record_event(self) -> None:
        self.events += 1
        if self.events == SURVIVAL_EVENTS:
            self.driver.report_survival()
        now_ms = self.driver.now_ms()
        if self.first_event_ms is None:
            self.first_event_ms = now_ms
            if not self.is_continued:
                self.driver.record_first_event(self)
        interval_ms = self.pace.record(now_ms)
        if interval_ms is not None:
            self.driver.record_interval(self, interval_ms)
