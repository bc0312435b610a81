"""Attempts of a forwarded stream and copies of their engine memory."""

import msgspec

from eelgrassknot.kernel import events as kernel_events

__all__ = ['MemoryCopy', 'Run']


class MemoryCopy(msgspec.Struct, frozen=True):
    """A copy of a run's memory on another engine.

    Attributes:
        holder: Engine that holds the copy.
        name: ``IP:port/name`` that identifies the copy to its holder.
        usable_ms: Time from which the copy is complete enough to use.
        grows: Whether the running engine keeps the copy up to date.
        tries: Number of failed attempts to continue from the copy.
    """

    holder: kernel_events.UpstreamInfo
    name: str
    usable_ms: float
    grows: bool
    tries: int = 0


class Run(msgspec.Struct):
    """One attempt to run the stream.

    Attributes:
        copy: Copy of the run's memory, or None.
        is_continued: Whether it continues another run from a copy.
        resumed_after: Event after which it continues another run, or None.
        sent_ms: Time at which the request that continues another run was
            sent, or None.
        is_lost: Whether its connection has broken.
        has_responded: Whether its engine has begun to respond.
        first_event_ms: Time of its first event, or None.
        last_event: Number of the last event that it has sent, or None.
        last_activity_ms: Time of the last sign of life.
    """

    attempt: int
    upstream: kernel_events.UpstreamInfo
    copy: MemoryCopy | None = None
    is_continued: bool = False
    resumed_after: int | None = None
    sent_ms: float | None = None
    is_lost: bool = False
    has_responded: bool = False
    first_event_ms: float | None = None
    last_event: int | None = None
    last_activity_ms: float = 0.0

    def was_started_anew(self, index: int) -> bool:
        """Return whether an event shows that a copy was not continued.

        Another run may produce other events than the one that was copied.
        """
        return self.resumed_after is not None and index <= self.resumed_after
