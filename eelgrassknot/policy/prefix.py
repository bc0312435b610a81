"""Which prompt prefixes the engines are likely to hold.

Cache events come late and with gaps, so they are hints: an own dispatch
counts as stored at once, an event corrects it, and the least recently
used prefixes are forgotten first, as the engine itself does.
"""

import collections
from collections.abc import Sequence

from eelgrassknot import ids

__all__ = ['PREFIX_STEP_TOKENS', 'PrefixAffinity']

PREFIX_STEP_TOKENS = 64
MAX_PREFIXES = 4_096


class PrefixAffinity:
    """Prefixes believed to be held, by upstream."""

    def __init__(self) -> None:
        self.held: dict[ids.UpstreamId, collections.OrderedDict] = {}

    def stored(
        self, upstream: ids.UpstreamId, prefixes: Sequence[str]
    ) -> None:
        """Note prefixes that an upstream now holds."""
        held = self.held.setdefault(upstream, collections.OrderedDict())
        for prefix in prefixes:
            held[prefix] = None
            held.move_to_end(prefix)
        while len(held) > MAX_PREFIXES:
            held.popitem(last=False)

    def evicted(
        self, upstream: ids.UpstreamId, prefixes: Sequence[str]
    ) -> None:
        """Note prefixes that an upstream holds no more."""
        held = self.held.get(upstream)
        if held is None:
            return
        for prefix in prefixes:
            held.pop(prefix, None)

    def forget(self, upstream: ids.UpstreamId) -> None:
        """Forget an upstream that has gone."""
        self.held.pop(upstream, None)

    def covered_tokens(
        self, upstream: ids.UpstreamId, prefixes: Sequence[str]
    ) -> int:
        """Return how many tokens of a prompt need no prefill.

        Args:
            upstream: The upstream.
            prefixes: Hashes of the prompt's prefixes, shortest first.
        """
        held = self.held.get(upstream)
        if not held:
            return 0
        low = 0
        high = len(prefixes)
        while low < high:
            middle = (low + high + 1) // 2
            if prefixes[middle - 1] in held:
                low = middle
            else:
                high = middle - 1
        return low * PREFIX_STEP_TOKENS
