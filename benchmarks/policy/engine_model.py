"""Step-by-step model of an engine with continuous batching.

Each step produces one token for every decoding request and uses the rest
of the step's token budget for prefill. Memory is measured in tokens. When
it is full, the most recently admitted request of the lowest priority is
preempted, and its whole context is recomputed later.
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
        kv_tokens: Memory capacity in tokens.
        base_step_ms: Fixed time of a step.
        request_step_ms: Additional time of a step per decoding request.
        context_step_ms: Additional time of a step per token in memory.
        prefill_token_ms: Additional time of a step per prefilled token.
        step_token_budget: Maximum number of tokens processed in a step.
        watermark_tokens: Memory kept free when a request is admitted.
        max_running: Maximum number of running requests.
        max_waiting: Maximum number of waiting requests; further requests
            are rejected.
        prefix_tokens: Size of the prefix cache in tokens.
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
    """State of a generation at an engine.

    Attributes:
        urgent: Whether it is interactive.
        output_tokens: Final length of its output.
        base_tokens: Tokens produced when it joined the decoding batch.
        prefill_remaining: Tokens that still need prefill.
        prefill_tokens: Memory reserved for its context at admission.
        joined_step: Number of the step after which it joined the batch.
        preempted_ms: Time of its last token before a preemption, or None.
        stall_total_at_join: The engine's ``stall_total_ms`` when it joined
            the batch.
        stall_ms: Total time by which its token gaps exceed the stall
            threshold.
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
    """The first token or the end of a generation.

    Attributes:
        ended: Whether the generation has ended.
    """

    request: str
    at_ms: float
    ended: bool
    sequence: Sequence


class Engine:
    """An engine that is simulated up to given times.

    Attributes:
        slowdown: Factor on the time of each step.
        gaps: Number of tokens by preceding gap in whole milliseconds.
        preemptions: Number of preemptions.
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
        """Queue a request; return False if it was rejected without running.

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
        """Run all steps that end by a time; return their progress."""
        while self.step_end_ms is not None and self.step_end_ms <= now_ms:
            self._end_step()
            self._begin_step()
        if not self.progress:
            return []
        found = self.progress
        self.progress = []
        return found

    def fail(self) -> list[Sequence]:
        """Simulate a failure; return the requests that are lost."""
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
        """Return the number of tokens that a request has produced."""
        if not sequence.decoding:
            return sequence.base_tokens
        return sequence.base_tokens + self.steps - sequence.joined_step

    def context(self, sequence: Sequence) -> int:
        """Return the size of a request's context in tokens."""
        return sequence.prompt_tokens + self.produced(sequence)

    def stall(self, sequence: Sequence) -> float:
        """Return the stall time of a request in milliseconds."""
        if not sequence.decoding:
            return sequence.stall_ms
        return (
            sequence.stall_ms
            + self.stall_total_ms
            - sequence.stall_total_at_join
        )

    def cached_tokens(self, prefixes: tuple[str, ...]) -> int:
        """Return the number of prompt tokens in the prefix cache."""
        count = 0
        for prefix in prefixes:
            if prefix not in self.cache:
                break
            count += TOKENS_PER_PREFIX
        return count

    def waiting_count(self) -> int:
        """Return the number of waiting requests."""
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
