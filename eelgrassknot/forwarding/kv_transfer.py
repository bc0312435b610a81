"""One move of a run's memory from its engine to another."""

import collections.abc
import dataclasses


from eelgrassknot.forwarding import model
from eelgrassknot.forwarding import upstream_connection
from eelgrassknot.forwarding import work as works
from eelgrassknot import ids

__all__ = ['Plan', 'RunMove']

MOVE_TIMEOUT_MS = 1_800.0
"""Longest wait for a move; ms. Engines leave 1.5 to 2.1 s after notice."""


@dataclasses.dataclass(frozen=True)
class Plan:
    """A move that is to be made; the run goes on meanwhile."""

    request: ids.RequestId
    source: model.Upstream
    target: model.Upstream


class RunMove(upstream_connection.AttemptListener):
    """Calls the source and waits for the copy.

    Args:
        context: What drivers use.
        plan: The move.
        done: Is called once, with the copy's name or None.
    """

    def __init__(
        self,
        context: works.Context,
        plan: Plan,
        done: collections.abc.Callable[[Plan, str | None], None],
    ) -> None:
        self.context = context
        self.plan = plan
        self.done = done
        self.status = 0
        self.body = b''
        self.over = False
        head, body = context.dialect.encode_move(
            plan.source.address,
            plan.request,
            plan.target.address,
            False,
        )
        self.timer = context.loop.call_later(
            MOVE_TIMEOUT_MS, lambda: self._end(None)
        )
        self.attempt = upstream_connection.Attempt(
            context.links,
            None,
            plan.source.address,
            self,
            lambda: head,
            body,
            context.dialect.answered_request,
            proven=True,
        )

    def cancel(self) -> None:
        """Take no interest in the move any more."""
        if not self.over:
            self.over = True
            self.timer.cancel()
            self.attempt.cancel()

    def answer_started(
        self,
        attempt: upstream_connection.Attempt,
        status: int,
        headers: list[tuple[bytes, bytes]],
    ) -> None:
        """Take in the head of the answer."""
        self.status = status

    def answer_data(
        self, attempt: upstream_connection.Attempt, data: bytes
    ) -> None:
        """Take in a part of its body."""
        self.body += data

    def answer_ended(self, attempt: upstream_connection.Attempt) -> None:
        """Take in that the answer is complete."""
        self._end(self.context.dialect.decode_move(self.status, self.body))

    def attempt_failed(
        self,
        attempt: upstream_connection.Attempt,
        fault: upstream_connection.Fault,
        bytes_left: bool,
    ) -> None:
        """Take in that no answer will come."""
        self._end(None)

    def _end(self, handle: str | None) -> None:
        if self.over:
            return
        self.over = True
        self.timer.cancel()
        self.attempt.cancel()
        self.done(self.plan, handle)
