"""Parts of prompts that engines have answered without crashing."""

import collections
import collections.abc

__all__ = ['SurvivingParts']

MAX_PARTS = 32_768
MAX_NEW_PARTS = 256
"""Number of parts that one prompt may add. More would let a few prompts of
thousands of parts displace the others."""


class SurvivingParts:
    """Bounded table of the last survival of each part.

    Attributes:
        times_ms: Time of the last survival by part, least recent first; ms.

    Example:
        >>> table = SurvivingParts()
        >>> table.record(['a1', 'b2'], 10.0)
        ['a1', 'b2']
        >>> table.last_ms('a1'), table.last_ms('c3')
        (10.0, None)
    """

    def __init__(self) -> None:
        self.times_ms: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def record(
        self, parts: collections.abc.Iterable[str], now_ms: float
    ) -> list[str]:
        """Record that an engine answered a prompt.

        Args:
            parts: Parts of the prompt.
            now_ms: The present time.

        Returns:
            The parts that the table now contains.
        """
        recorded = []
        added = 0
        for part in parts:
            if part not in self.times_ms:
                if added == MAX_NEW_PARTS:
                    continue
                added += 1
            self.times_ms[part] = now_ms
            self.times_ms.move_to_end(part)
            recorded.append(part)
        while len(self.times_ms) > MAX_PARTS:
            self.times_ms.popitem(last=False)
        return recorded

    def last_ms(self, part: str) -> float | None:
        """Return the time of a part's last survival; None if unknown."""
        return self.times_ms.get(part)

    def expire(self, before_ms: float) -> None:
        """Remove the parts that have not survived since a time."""
        while self.times_ms:
            part, last_ms = next(iter(self.times_ms.items()))
            if last_ms >= before_ms:
                return
            del self.times_ms[part]
