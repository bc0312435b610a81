"""Model of one engine that batches continuously, step by step.

Each step gives every decoding request one token and spends what is left
of the step's token budget on prefill. Memory is counted in tokens. When
it is full, the request of the lowest priority that was admitted last is
preempted, and its whole context is computed again later.
"""

import collections
import dataclasses
import heapq

__all__ = ['Engine', 'EngineSpec', 'Progress', 'Sequence']

STALL_GAP_MS = 250.0
TOKENS_PER_PREFIX = 64


@dataclasses.dataclass(frozen=True)
class EngineSpec:
    """Size and speed of an engine.

    Attributes:
        kv_tokens: Tokens that its memory holds.
        base_step_ms: Time of a step besides what follows.
        request_step_ms: Time a step takes more for each request.
        context_step_ms: Time a step takes more for each token held.
        prefill_token_ms: Time a step takes more for a prefilled token.
        step_token_budget: Tokens that a step may process at most.
        watermark_tokens: Memory kept free when a request is admitted.
        max_running: Requests that may run at a time.
        max_waiting: Requests that may wait before it says "full".
        prefix_tokens: Size of the prefix cache.
    """

    kv_tokens: int = 64_000
    base_step_ms: float = 14.0
    request_step_ms: float = 0.25
    context_step_ms: float = 0.000_08
    prefill_token_ms: float = 0.1
    step_token_budget: int = 2_048
    watermark_tokens: int = 640
    max_running: int = 128
    max_waiting: int = 128
    prefix_tokens: int = 32_000


@dataclasses.dataclass(slots=True)
class Sequence:
    """A generation as the engine holds it.

    Attributes:
        urgent: Whether it is interactive.
        output_tokens: How long its output will be.
        base: Tokens that it had produced when it joined the batch.
        joined_step: Number of the step after which it joined.
        left_ms: When it got its last token before a preemption.
        stall_ms: Sum of what its gaps exceed the stall threshold by.
    """

    request: str
    urgent: bool
    prompt_tokens: int
    output_tokens: int
    prefixes: tuple[str, ...]
    base_tokens: int = 0
    prefill_remaining: int = 0
    prefill_tokens: int = 0
    joined_step: int = 0
    epoch: int = 0
    decoding: bool = False
    preempted_ms: float | None = None
    stall_total_at_join: float = 0.0
    stall_ms: float = 0.0
    preemptions: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """A first token or an end.

    Attributes:
        ended: Whether it is the end.
    """

    request: str
    at_ms: float
    ended: bool
    sequence: Sequence


class Engine:
    """An engine that is advanced to given times.

    Attributes:
        slowdown: Factor on the time of each step.
        gaps: Tokens by the gap before them, in whole milliseconds.
        preemptions: Preemptions so far.
    """

    def __init__(self, name: str, spec: EngineSpec) -> None:
        self.name = name
        self.spec = spec
        self.slowdown = 1.0
        self.failed = False
        self.now_ms = 0.0
        self.step_end_ms: float | None = None
        self.chunks: list[tuple[Sequence, int]] = []
        self.steps = 0
        self.used = 0
        self.sequences: dict[str, Sequence] = {}
        self.waiting: list[collections.deque[Sequence]] = [
            collections.deque(),
            collections.deque(),
        ]
        self.prefilling: list[Sequence] = []
        self.decoding: dict[str, Sequence] = {}
        self.finishes: list[tuple[int, int, Sequence]] = []
        self.last_epoch = 0
        self.stall_total_ms = 0.0
        self.gaps: collections.Counter = collections.Counter()
        self.preemptions = 0
        self.prefilled = 0
        self.cache: collections.OrderedDict = collections.OrderedDict()
        self.cache_events: list[tuple[bool, str]] = []
        self.progress: list[Progress] = []

    def submit(self, sequence: Sequence, now_ms: float) -> bool:
        """Take a request in; False means full, and it was not run.

        Args:
            sequence: The request.
            now_ms: The present time.
        """
        waiting = len(self.waiting[0]) + len(self.waiting[1])
        if self.failed or waiting >= self.spec.max_waiting:
            return False
        self.sequences[sequence.request] = sequence
        self.waiting[0 if sequence.urgent else 1].append(sequence)
        if self.step_end_ms is None:
            self.now_ms = now_ms
            self._begin_step()
        return True

    def advance(self, now_ms: float) -> list[Progress]:
        """Run all steps that end by a time; return what came of them."""
        while self.step_end_ms is not None and self.step_end_ms <= now_ms:
            self._end_step()
            self._begin_step()
        if not self.progress:
            return []
        found = self.progress
        self.progress = []
        return found

    def fail(self) -> list[Sequence]:
        """End the engine; return the requests that it held."""
        held = list(self.sequences.values())
        for sequence in held:
            sequence.base_tokens = self.produced(sequence)
            if sequence.decoding:
                self._update_stall(sequence)
        self.failed = True
        self.step_end_ms = None
        self.sequences = {}
        self.waiting = [collections.deque(), collections.deque()]
        self.prefilling = []
        self.decoding = {}
        self.used = 0
        return held

    def produced(self, sequence: Sequence) -> int:
        """Return how many tokens a request has produced."""
        if not sequence.decoding:
            return sequence.base_tokens
        return sequence.base_tokens + self.steps - sequence.joined_step

    def context(self, sequence: Sequence) -> int:
        """Return how many tokens a request holds or needs."""
        return sequence.prompt_tokens + self.produced(sequence)

    def stall(self, sequence: Sequence) -> float:
        """Return a request's stall time so far in milliseconds."""
        if not sequence.decoding:
            return sequence.stall_ms
        return (
            sequence.stall_ms
            + self.stall_total_ms
            - sequence.stall_total_at_join
        )

    def cached_tokens(self, prefixes: tuple[str, ...]) -> int:
        """Return how many tokens of a prompt the prefix cache holds."""
        count = 0
        for prefix in prefixes:
            if prefix not in self.cache:
                break
            count += TOKENS_PER_PREFIX
        return count

    def waiting_count(self) -> int:
        """Return how many requests wait."""
        return len(self.waiting[0]) + len(self.waiting[1])

    def _begin_step(self) -> None:
        self._free_memory()
        self._admit()
        if not self.decoding and not self.prefilling:
            self.step_end_ms = None
            return
        spec = self.spec
        budget = spec.step_token_budget - len(self.decoding)
        self.chunks = []
        total = 0
        for sequence in self.prefilling:
            if budget <= 0:
                break
            chunk = min(budget, sequence.prefill_remaining)
            self.chunks.append((sequence, chunk))
            budget -= chunk
            total += chunk
        self.prefilled += total
        duration_ms = spec.base_step_ms
        duration_ms += spec.request_step_ms * len(self.decoding)
        duration_ms += spec.context_step_ms * self.used
        duration_ms += spec.prefill_token_ms * total
        self.step_ms = duration_ms * self.slowdown
        self.step_end_ms = self.now_ms + self.step_ms

    def _end_step(self) -> None:
        self.now_ms = self.step_end_ms
        self.steps += 1
        count = len(self.decoding)
        if count:
            self.gaps[int(self.step_ms + 0.5)] += count
            self.used += count
        if self.step_ms > STALL_GAP_MS:
            self.stall_total_ms += self.step_ms - STALL_GAP_MS
        finishes = self.finishes
        while finishes and finishes[0][0] <= self.steps:
            _, epoch, sequence = heapq.heappop(finishes)
            if sequence.decoding and sequence.epoch == epoch:
                self._finish(sequence)
        for sequence, chunk in self.chunks:
            sequence.prefill_remaining -= chunk
            if sequence.prefill_remaining <= 0:
                self._start_decoding(sequence)
        self.chunks = []

    def _start_decoding(self, sequence: Sequence) -> None:
        self.prefilling.remove(sequence)
        first = sequence.base_tokens == 0
        sequence.decoding = True
        sequence.base_tokens += 1
        self.used += 1
        sequence.joined_step = self.steps
        sequence.stall_total_at_join = self.stall_total_ms
        self._cache_prefixes(sequence.prefixes)
        if first:
            self.progress.append(
                Progress(sequence.request, self.now_ms, False, sequence)
            )
        elif sequence.preempted_ms is not None:
            gap_ms = self.now_ms - sequence.preempted_ms
            self.gaps[int(gap_ms + 0.5)] += 1
            sequence.stall_ms += max(0.0, gap_ms - STALL_GAP_MS)
        self.decoding[sequence.request] = sequence
        left = sequence.output_tokens - sequence.base_tokens
        if left <= 0:
            self._finish(sequence)
            return
        self.last_epoch += 1
        sequence.epoch = self.last_epoch
        heapq.heappush(
            self.finishes, (self.steps + left, sequence.epoch, sequence)
        )

    def _finish(self, sequence: Sequence) -> None:
        self.used -= self.context(sequence)
        self._update_stall(sequence)
        sequence.base_tokens = self.produced(sequence)
        sequence.decoding = False
        del self.decoding[sequence.request]
        del self.sequences[sequence.request]
        self.progress.append(
            Progress(sequence.request, self.now_ms, True, sequence)
        )

    def _update_stall(self, sequence: Sequence) -> None:
        sequence.stall_ms += self.stall_total_ms - sequence.stall_total_at_join
        sequence.stall_total_at_join = self.stall_total_ms

    def _free_memory(self) -> None:
        while self.used + len(self.decoding) > self.spec.kv_tokens:
            self._preempt(self._choose_victim())

    def _choose_victim(self) -> Sequence:
        if self.prefilling:
            return self.prefilling[-1]
        last = None
        for sequence in self.decoding.values():
            if last is None or sequence.urgent <= last.urgent:
                last = sequence
        return last

    def _preempt(self, sequence: Sequence) -> None:
        self.used -= sequence.prefill_tokens if not sequence.decoding else 0
        if sequence.decoding:
            self.used -= self.context(sequence)
            self._update_stall(sequence)
            sequence.base_tokens = self.produced(sequence)
            sequence.preempted_ms = self.now_ms
            sequence.decoding = False
            del self.decoding[sequence.request]
        else:
            self.prefilling.remove(sequence)
        sequence.preemptions += 1
        self.preemptions += 1
        self.waiting[0 if sequence.urgent else 1].appendleft(sequence)

    def _admit(self) -> None:
        spec = self.spec
        limit = spec.kv_tokens - spec.watermark_tokens
        for queue in self.waiting:
            while queue:
                running = len(self.decoding) + len(self.prefilling)
                sequence = queue[0]
                need = sequence.prompt_tokens + sequence.base_tokens
                if running >= spec.max_running:
                    return
                if running and self.used + need > limit:
                    return
                queue.popleft()
                self.used += need
                sequence.prefill_tokens = need
                covered = self.cached_tokens(sequence.prefixes)
                sequence.prefill_remaining = max(1, need - covered)
                self.prefilling.append(sequence)

    def _cache_prefixes(self, prefixes: tuple[str, ...]) -> None:
        for prefix in prefixes:
            if prefix not in self.cache:
                self.cache_events.append((True, prefix))
            self.cache[prefix] = None
            self.cache.move_to_end(prefix)
        room = self.spec.prefix_tokens // TOKENS_PER_PREFIX
        while len(self.cache) > room:
            prefix, _ = self.cache.popitem(last=False)
            self.cache_events.append((False, prefix))
