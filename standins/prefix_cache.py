"""Cache of prompt prefixes in KV memory not used by generations."""

import collections
import dataclasses

import xxhash

__all__ = ['BLOCK_TOKENS', 'CacheEvent', 'PrefixCache', 'prefixes']

BLOCK_BYTES = 256
BLOCK_TOKENS = 64
MAX_EVENTS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prefix was stored or evicted."""

    seq: int
    kind: str
    prefix: str


def prefixes(prompt: bytes) -> tuple[str, ...]:
    """Return the hashes of the first 256, 512, ... bytes of a prompt."""
    hasher = xxhash.xxh64()
    hashes = []
    for end in range(BLOCK_BYTES, len(prompt) + 1, BLOCK_BYTES):
        hasher.update(prompt[end - BLOCK_BYTES : end])
        hashes.append(hasher.hexdigest())
    return tuple(hashes)


class PrefixCache:
    """LRU cache of blocks, keyed by the hash of their prefix.

    Example:
        >>> cache = PrefixCache()
        >>> cache.store(('a', 'b'))
        >>> cache.lookup(('a', 'x'))
        64
    """

    def __init__(self) -> None:
        self.blocks: collections.OrderedDict = collections.OrderedDict()
        self.events: collections.deque = collections.deque(maxlen=MAX_EVENTS)
        self.seq = 0

    @property
    def tokens(self) -> int:
        """Memory used by the blocks, in tokens."""
        return len(self.blocks) * BLOCK_TOKENS

    def lookup(self, chain: tuple[str, ...]) -> int:
        """Return the number of prompt tokens that need no prefill."""
        covered = 0
        for prefix in chain:
            if prefix not in self.blocks:
                break
            self.blocks.move_to_end(prefix)
            covered += BLOCK_TOKENS
        return covered

    def store(self, chain: tuple[str, ...]) -> None:
        """Store all blocks of a prompt."""
        for prefix in chain:
            if prefix not in self.blocks:
                self.blocks[prefix] = None
                self._log_event('stored', prefix)

    def shrink(self, tokens: int) -> None:
        """Evict blocks until the cache fits into a number of tokens."""
        while self.tokens > tokens:
            prefix, _ = self.blocks.popitem(last=False)
            self._log_event('evicted', prefix)

    def _log_event(self, kind: str, prefix: str) -> None:
        self.seq += 1
        self.events.append(CacheEvent(self.seq, kind, prefix))
