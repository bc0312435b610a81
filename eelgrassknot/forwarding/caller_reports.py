"""Reports on callers that were refused or closed for what they held."""

from eelgrassknot.forwarding import caller_memory
from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import metrics
from eelgrassknot import logs
from eelgrassknot.settings import entry as entry_settings

__all__ = ['CallerReports', 'create_memory']

LOG_INTERVAL_MS = 1_000.0
"""One line is written for each reason in this time."""


class CallerReports:
    """Counts and logs the callers that give up what they hold.

    Args:
        memory: The accounting.
        loop: Event loop that serves the callers.
    """

    def __init__(
        self, memory: caller_memory.CallerMemory, loop: loops.EventLoop
    ) -> None:
        self.memory = memory
        self.loop = loop
        self.next_line_ms: dict[caller_memory.Relief, float] = {}
        self.unlogged: dict[caller_memory.Relief, int] = {}

    def report(
        self, holding: caller_memory.Holding, relief: caller_memory.Relief
    ) -> None:
        """Count a caller, and log it unless another one was just logged."""
        metrics.CALLERS_GIVEN_UP.inc(relief.value)
        now_ms = self.loop.now_ms()
        if now_ms < self.next_line_ms.get(relief, 0.0):
            self.unlogged[relief] = self.unlogged.get(relief, 0) + 1
            return
        self.next_line_ms[relief] = now_ms + LOG_INTERVAL_MS
        logs.warning(
            'caller_given_up',
            caller=holding.holder.address,
            reason=relief.value,
            phase=holding.phase.value,
            held=holding.held,
            unsent=holding.holder.unsent_bytes,
            since_ms=round(now_ms - holding.progressed_ms),
            all_held=self.memory.total,
            bound=self.memory.max_bytes,
            others=self.unlogged.pop(relief, 0),
        )


def create_memory(
    settings: entry_settings.EntrySettings, loop: loops.EventLoop
) -> caller_memory.CallerMemory:
    """Return the accounting for the callers of a VM.

    Args:
        settings: Settings of the VM.
        loop: Event loop that serves the callers.
    """
    max_bytes = caller_memory.default_bytes(settings.memory_mb)
    if settings.caller_memory_mb is not None:
        max_bytes = int(settings.caller_memory_mb * caller_memory.BYTES_PER_MB)
    connections = settings.caller_connections
    if connections is None:
        connections = caller_memory.default_connections(settings.descriptors)
    memory = caller_memory.CallerMemory(
        max_bytes, connections, lambda: loop.unsent_bytes
    )
    memory.report = CallerReports(memory, loop).report
    return memory
