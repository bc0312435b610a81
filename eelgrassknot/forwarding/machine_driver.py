"""What the drivers of calls and streams share: time-outs of a machine."""

import typing

from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import work as works

__all__ = ['StateMachine', 'MachineDriver']


class StateMachine(typing.Protocol):
    """A state machine that has to be told of the time."""

    def wake_ms(self) -> float:
        """Return the time at which a tick is needed next."""


class MachineDriver:
    """Tells a state machine of the time while its request is in hand.

    Args:
        context: What drivers use.
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
        """Return the present time in milliseconds."""
        return self.context.loop.now_ms()

    def tick(self) -> None:
        """Tell the machine that time has passed."""
        raise NotImplementedError

    def schedule_timeout(self) -> None:
        """Set the time-out that the machine wants now."""
        self.cancel_timeout()
        if not self.work.exchange.is_over:
            self.timer = self.context.loop.call_at(
                self.machine.wake_ms(), self._on_timeout
            )

    def cancel_timeout(self) -> None:
        """Take the time-out back."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _on_timeout(self) -> None:
        self.timer = None
        self.tick()
