"""Progress of a generation towards its caller, and where its time went."""

import array

from eelgrassknot.requests import silence
from eelgrassknot.requests import timeline as timelines

__all__ = ['Progress']


class Progress:
    """Counts tokens and charges the time between them.

    Args:
        now_ms: Arrival of the request.

    Attributes:
        next_index: Index of the token that is to come next.
        first_index: Index of the first token that this reader wants.
        gaps_ms: Time between one token and the next.
        first_token_ms: Time from arrival to first token, or None.
        last_ms: Time of the last token, or of the dispatch.
        silent_at_ms: Time from which silence is suspicious.
        cause: What the present silence is charged to, if it is known.
        discarded: Tokens of attempts that were replaced.
        discard_reason: Why the last of these was replaced.
    """

    def __init__(self, now_ms: float) -> None:
        self.timeline = timelines.Timeline(now_ms)
        self.silence = silence.SilenceLimit()
        self.gaps_ms = array.array('f')
        self.next_index = 0
        self.first_index = 0
        self.first_token_ms: float | None = None
        self.last_ms = now_ms
        self.silent_at_ms = float('inf')
        self.cause: timelines.TimePart | None = None
        self.discarded = 0
        self.discard_reason = ''

    def begin(self, index: int, now_ms: float) -> None:
        """Wait for a token of another attempt from now on."""
        self.next_index = index
        self.first_index = index
        self.silence = silence.SilenceLimit()
        self.cause = None
        self.last_ms = now_ms
        self.expect(now_ms)

    def expect(self, now_ms: float) -> None:
        """Count silence from now on."""
        self.silent_at_ms = now_ms + self.silence.limit_ms

    def advance(self, now_ms: float) -> None:
        """Take in the next token."""
        if self.first_token_ms is None:
            self.charge(now_ms)
            self.first_token_ms = now_ms - self.timeline.started_ms
        else:
            gap_ms = now_ms - self.last_ms
            self.gaps_ms.append(gap_ms)
            self.silence.observe(gap_ms)
            self.charge(now_ms)
        self.cause = None
        self.next_index += 1
        self.last_ms = now_ms
        self.silent_at_ms = now_ms + self.silence.limit_ms

    def charge(self, now_ms: float) -> None:
        """Charge the time since the last charge to its likely cause."""
        part = self.cause
        if part is None:
            part = timelines.TimePart.PREFILL
            if self.first_token_ms is not None:
                part = timelines.TimePart.DECODE
        self.timeline.charge(part, now_ms)

    def blame(self, cause: timelines.TimePart, now_ms: float) -> None:
        """Charge the time from now to the next token to a cause."""
        self.charge(now_ms)
        self.cause = cause

    def discard(self, reason: str) -> int:
        """Forget the tokens of an attempt and return how many."""
        count = self.next_index - self.first_index
        if count:
            self.discarded += count
            self.discard_reason = reason
        self.next_index = self.first_index
        self.first_token_ms = None
        return count

    def received(self) -> int:
        """Return how many tokens this reader has taken."""
        return self.next_index - self.first_index
