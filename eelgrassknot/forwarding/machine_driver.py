"""Base class of the call and stream drivers: timeouts of a state machine."""

import typing

from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import work as works

__all__ = ['StateMachine', 'MachineDriver']


class StateMachine(typing.Protocol):
    """A state machine that depends on time."""

    def wake_ms(self) -> float:
        """Return the time at which the next tick is due."""


class MachineDriver:
    """Sends ticks to a state machine while its request is in progress.

    Args:
        context: Shared dependencies of all drivers.
        work: The request.
        machine: The state machine.
    """

    def __init__(
        self, context: works.Context, work: works.Work, machine: StateMachine
    ) -> None:
        self.context = context
        self.work = work
        self.machine = machine
        self.timer: loops.Timer | None = None

    def now_ms(self) -> float:
        """Return the current time in milliseconds."""
        return self.context.loop.now_ms()

    def tick(self) -> None:
        """Notify the state machine that time has passed."""
        raise NotImplementedError

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

    def _on_timeout(self) -> None:
        self.timer = None
        self.tick()
