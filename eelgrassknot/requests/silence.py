"""How long a stream may be silent before its engine is asked why."""

__all__ = ['SilenceLimit']

FIRST_TOKEN_LIMIT_MS = 2_000.0
MIN_LIMIT_MS = 250.0
MAX_LIMIT_MS = 4_000.0
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4.0
# Continuous batches pause for whole steps, which few gaps foretell.
MEANS = 4.0


class SilenceLimit:
    """Follows a stream's token gaps, and bounds the next one.

    The limit is a few mean gaps plus a few mean deviations. It doubles
    with each probe that finds the stream alive, which bounds the number
    of probes, and returns when tokens come again.

    Attributes:
        limit_ms: Silence after which the engine is asked.

    Example:
        >>> limit = SilenceLimit()
        >>> for _ in range(50):
        ...     limit.observe(30.0)
        >>> limit.limit_ms
        250.0

    References:
        RFC 6298, Computing TCP's Retransmission Timer.
    """

    def __init__(self) -> None:
        self.limit_ms = FIRST_TOKEN_LIMIT_MS
        self.mean_ms = 0.0
        self.deviation_ms = 0.0
        self.samples = 0

    def observe(self, gap_ms: float) -> None:
        """Take in the gap before a token, in milliseconds."""
        if not self.samples:
            self.mean_ms = gap_ms
            self.deviation_ms = gap_ms / 2
        else:
            error_ms = gap_ms - self.mean_ms
            self.mean_ms += MEAN_WEIGHT * error_ms
            change_ms = abs(error_ms) - self.deviation_ms
            self.deviation_ms += DEVIATION_WEIGHT * change_ms
        self.samples += 1
        limit_ms = MEANS * self.mean_ms + DEVIATIONS * self.deviation_ms
        self.limit_ms = min(max(limit_ms, MIN_LIMIT_MS), MAX_LIMIT_MS)

    def back_off(self) -> None:
        """Double the limit after a probe that found the stream alive."""
        self.limit_ms = min(2 * self.limit_ms, MAX_LIMIT_MS)
