"""One attempt of a forwarded stream, and a copy of its run's memory."""

import dataclasses

from eelgrassknot.kernel import events as kernel_events

__all__ = ['MemoryCopy', 'Run']


@dataclasses.dataclass(frozen=True)
class MemoryCopy:
    """A copy of a run's memory.

    Attributes:
        holder: Engine that keeps it.
        name: ``IP:port/name`` under which it is continued from.
        usable_ms: When there is enough of it.
        grows: Whether it grows by itself.
        tries: How often it was continued from in vain.
    """

    holder: kernel_events.UpstreamInfo
    name: str
    usable_ms: float
    grows: bool
    tries: int = 0


@dataclasses.dataclass
class Run:
    """One attempt.

    Attributes:
        copy: Copy of the run's memory.
        head_received: Whether its answer has begun.
        first_event_ms: When its first event came.
        last_activity_ms: When it was last heard of.
    """

    attempt: int
    upstream: kernel_events.UpstreamInfo
    copy: MemoryCopy | None = None
    head_received: bool = False
    first_event_ms: float | None = None
    last_activity_ms: float = 0.0
