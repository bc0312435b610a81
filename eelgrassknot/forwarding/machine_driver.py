"""Base class of the call and stream drivers: timeouts of a state machine."""

import collections.abc
import typing

from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import model
from eelgrassknot.forwarding import work as works
from eelgrassknot import ids

__all__ = ['StateMachine', 'MachineDriver']


class StateMachine(typing.Protocol):
    """A state machine that depends on time.

    Attributes:
        deadline_ms: Time by which its request must end.
    """

    deadline_ms: float

    def wake_ms(self) -> float:
        """Return the time at which the next tick is due."""


class MachineDriver:
    """Sends ticks to a state machine while its request is in progress.

    Args:
        context: Shared dependencies of all drivers.
        work: The request.
        machine: The state machine.

    Attributes:
        is_limited: Whether the deadline is the end of this VM's grace
            period.
    """

    def __init__(
        self, context: works.Context, work: works.Work, machine: StateMachine
    ) -> None:
        self.context = context
        self.work = work
        self.machine = machine
        self.timer: loops.Timer | None = None
        self.is_limited = False

    def now_ms(self) -> float:
        """Return the current time in milliseconds."""
        return self.context.loop.now_ms()

    def regions(
        self, upstreams: collections.abc.Iterable[ids.UpstreamId]
    ) -> set[ids.RegionId]:
        """Return the regions of some listed upstreams."""
        listed = self.context.scheduler.upstreams
        return {listed[name].region for name in upstreams if name in listed}

    def tick(self) -> None:
        """Notify the state machine that time has passed."""
        raise NotImplementedError

    def eject_if_misdirected(
        self, upstream: model.Upstream, status: int
    ) -> bool:
        """Eject an upstream whose address belongs to another process.

        No VM uses it until its entry is renewed.

        Returns:
            Whether the status says so.
        """
        if status != model.MISDIRECTED_REQUEST:
            return False
        self.context.health.eject(upstream.upstream, self.now_ms())
        self.context.statements.misdirected(upstream)
        return True

    def schedule_timeout(self) -> None:
        """Schedule the next timeout of the state machine."""
        self.cancel_timeout()
        if not self.work.exchange.is_over:
            self.timer = self.context.loop.call_at(
                self.machine.wake_ms(), self._on_timeout
            )

    def cancel_timeout(self) -> None:
        """Cancel the scheduled timeout."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def limit_deadline(self, deadline_ms: float) -> None:
        """Bring the deadline forward because this VM is shutting down."""
        if deadline_ms < self.machine.deadline_ms:
            self.is_limited = True
            self.work.deadline_ms = deadline_ms
            self.machine.deadline_ms = deadline_ms
            self.schedule_timeout()

    def final_reason(self, reason: str) -> str:
        """Return the reason to log for the end of the request."""
        if reason == 'deadline' and self.is_limited:
            return 'grace_over'
        return reason

    def _on_timeout(self) -> None:
        self.timer = None
        self.tick()
