"""What the drivers of calls and streams share: time-outs of a machine."""

import typing

from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import work as works

__all__ = ['Machine', 'MachineDriver']


class Machine(typing.Protocol):
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
        self, context: works.Context, work: works.Work, machine: Machine
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

    def arm(self) -> None:
        """Set the time-out that the machine wants now."""
        self.disarm()
        if not self.work.exchange.is_over:
            self.timer = self.context.loop.call_at(
                self.machine.wake_ms(), self._timed_out
            )

    def disarm(self) -> None:
        """Take the time-out back."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _timed_out(self) -> None:
        self.timer = None
        self.tick()
