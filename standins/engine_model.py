"""Simulation of an engine with continuous batching.

The simulation has no clock of its own: ``advance`` runs the decode steps
that end by a given time. The same class is used behind HTTP and, with a
``ManualClock``, in benchmarks and tests.
"""

import dataclasses
import math
import random
import re

import xxhash

from standins import prefix_cache

__all__ = [
    'Ended',
    'EngineConfig',
    'EngineModel',
    'FullError',
    'Generation',
    'Preempted',
    'Token',
    'token_text',
]

BYTES_PER_TOKEN = 4
_TOKENS_PATTERN = re.compile(r'\btokens=(\d+)')


@dataclasses.dataclass(slots=True)
class EngineConfig:
    """Capacity and speed of an engine.

    Attributes:
        kv_tokens_total: KV memory for running generations and the prefix
            cache, in tokens.
        max_running: Maximum number of generations in a batch.
        max_waiting: Maximum number of queued generations; further ones
            are refused.
        step_base_ms: Duration of a decode step with an empty batch.
        step_sequence_ms: Additional step time per generation.
        step_context_ms: Additional step time per 1000 context tokens.
        prefill_token_ms: Additional step time per uncached prompt token.
        mean_output_tokens: Median output length of prompts that request
            no length.
        output_sigma: Standard deviation of the log output length.
        slowdown: Factor on the duration of each step.
    """

    kv_tokens_total: int = 60_000
    max_running: int = 64
    max_waiting: int = 256
    step_base_ms: float = 18.0
    step_sequence_ms: float = 0.12
    step_context_ms: float = 0.02
    prefill_token_ms: float = 0.05
    mean_output_tokens: int = 120
    output_sigma: float = 1.0
    slowdown: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """A generation produced the token with an index."""

    generation: str
    index: int
    at_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Preempted:
    """A generation lost its KV memory and waits for recomputation."""

    generation: str
    at_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """A generation produced its last token."""

    generation: str
    finish_reason: str
    at_ms: float


Event = Token | Preempted | Ended


class FullError(Exception):
    """The engine's queue is full; nothing was started."""


@dataclasses.dataclass(slots=True)
class Generation:
    """One generation from submission to its end.

    Attributes:
        output_tokens: Final output length, which is not exposed.
        state: ``waiting``, ``running``, ``preempted``, ``done`` or
            ``cancelled``.
        prefill_tokens: Tokens that the next step has to prefill.
    """

    generation: str
    request_id: str
    prompt_tokens: int
    prefixes: tuple[str, ...]
    output_tokens: int
    finish_reason: str
    is_interactive: bool
    order: int
    submitted_ms: float
    state: str = 'waiting'
    produced: int = 0
    prefill_tokens: int = 0
    ended_ms: float | None = None

    @property
    def context_tokens(self) -> int:
        """KV memory that it uses while running, in tokens."""
        return self.prompt_tokens + self.produced

    @property
    def is_active(self) -> bool:
        """Whether it can still produce tokens."""
        return self.state in ('waiting', 'running', 'preempted')


class EngineModel:
    """Simulates the batch of an engine over time.

    Args:
        config: Capacity and speed; may be changed between calls.
        seed: Seed of the output lengths. They depend only on the seed and
            on the request.

    Example:
        >>> engine = EngineModel(EngineConfig(), seed=1)
        >>> _ = engine.submit('g', 'r', 'say tokens=2', None, True, 0.0)
        >>> [type(h).__name__ for h in engine.advance(60_000.0)]
        ['Token', 'Token', 'Ended']

    References:
        Yu et al., "Orca", OSDI 2022, on iteration-level batching; Kwon
        et al., "Efficient Memory Management for Large Language Model
        Serving with PagedAttention", SOSP 2023, on preemption by
        recomputation.
    """

    def __init__(self, config: EngineConfig, seed: int) -> None:
        self.config = config
        self.seed = seed
        self.generations: dict[str, Generation] = {}
        self.waiting: list[Generation] = []
        self.running: list[Generation] = []
        self.cache = prefix_cache.PrefixCache()
        self.preemptions = 0
        self.submitted = 0
        self.step_ends_ms: float | None = None

    def submit(
        self,
        generation: str,
        request_id: str,
        prompt: str,
        max_tokens: int | None,
        is_interactive: bool,
        now_ms: float,
    ) -> Generation:
        """Queue a generation, or return the existing one with its id.

        Raises:
            FullError: If the queue is full.
        """
        known = self.generations.get(generation)
        if known is not None:
            return known
        if len(self.waiting) >= self.config.max_waiting:
            raise FullError
        output, reason = self._output(request_id, prompt, max_tokens)
        data = prompt.encode()
        self.submitted += 1
        started = Generation(
            generation,
            request_id,
            max(1, math.ceil(len(data) / BYTES_PER_TOKEN)),
            prefix_cache.prefixes(data),
            output,
            reason,
            is_interactive,
            self.submitted,
            now_ms,
        )
        self.generations[generation] = started
        self.waiting.append(started)
        if self.step_ends_ms is None:
            self._begin_step(now_ms)
        return started

    def _output(
        self, request_id: str, prompt: str, max_tokens: int | None
    ) -> tuple[int, str]:
        wish = _TOKENS_PATTERN.search(prompt)
        if wish is not None:
            length = int(wish[1])
        else:
            generator = random.Random(f'{self.seed}/{request_id}')
            median = math.log(self.config.mean_output_tokens)
            length = round(
                generator.lognormvariate(median, self.config.output_sigma)
            )
        length = max(1, length)
        if max_tokens is not None and length > max_tokens:
            return max(1, max_tokens), 'length'
        return length, 'stop'

    def cancel(self, generation: str, now_ms: float) -> None:
        """Cancel a generation; no effect if it has already ended."""
        cancelled = self.generations.get(generation)
        if cancelled is None or not cancelled.is_active:
            return
        self._remove(cancelled)
        cancelled.state = 'cancelled'
        cancelled.ended_ms = now_ms

    def forget(self, before_ms: float) -> list[str]:
        """Drop generations that ended by a time and return their ids."""
        old = [
            generation.generation
            for generation in self.generations.values()
            if generation.ended_ms is not None
            and generation.ended_ms <= before_ms
        ]
        for generation in old:
            del self.generations[generation]
        return old

    def next_ms(self) -> float | None:
        """Return the end of the current step, or None if idle."""
        return self.step_ends_ms

    def kv_tokens_used(self) -> int:
        """Return the KV memory used by running generations, in tokens."""
        return sum(g.context_tokens for g in self.running)

    def advance(self, now_ms: float) -> list[Event]:
        """Run all steps that end by a time.

        Args:
            now_ms: Current time; must not decrease between calls.

        Returns:
            Events in chronological order.
        """
        events: list[Event] = []
        while True:
            if self.step_ends_ms is None:
                self._begin_step(now_ms)
                if self.step_ends_ms is None:
                    return events
            if self.step_ends_ms > now_ms:
                return events
            ended_ms = self.step_ends_ms
            self.step_ends_ms = None
            events += self._end_step(ended_ms)
            self._begin_step(ended_ms)

    def _begin_step(self, now_ms: float) -> None:
        self._admit()
        if not self.running:
            return
        config = self.config
        prefill = sum(g.prefill_tokens for g in self.running)
        context = self.kv_tokens_used() / 1000
        step_ms = (
            config.step_base_ms
            + config.step_sequence_ms * len(self.running)
            + config.step_context_ms * context
            + config.prefill_token_ms * prefill
        )
        for generation in self.running:
            generation.prefill_tokens = 0
        self.step_ends_ms = now_ms + step_ms * config.slowdown

    def _admit(self) -> None:
        self.waiting.sort(key=_priority_key)
        free = self.config.kv_tokens_total - self.kv_tokens_used()
        while self.waiting and len(self.running) < self.config.max_running:
            first = self.waiting[0]
            needed = first.context_tokens + 1
            # A single generation is admitted regardless of its size.
            if needed > free and self.running:
                break
            self.waiting.pop(0)
            covered = self.cache.lookup(first.prefixes)
            first.prefill_tokens = max(1, first.context_tokens - covered)
            first.state = 'running'
            self.running.append(first)
            free -= needed
            self.cache.store(first.prefixes)
        self.cache.shrink(max(0, free))

    def _end_step(self, at_ms: float) -> list[Event]:
        events: list[Event] = []
        for generation in list(self.running):
            events.append(
                Token(generation.generation, generation.produced, at_ms)
            )
            generation.produced += 1
            if generation.produced >= generation.output_tokens:
                generation.state = 'done'
                generation.ended_ms = at_ms
                self.running.remove(generation)
                events.append(
                    Ended(
                        generation.generation,
                        generation.finish_reason,
                        at_ms,
                    )
                )
        events += self._preempt(at_ms)
        return events

    def _preempt(self, at_ms: float) -> list[Event]:
        events: list[Event] = []
        used = self.kv_tokens_used() + len(self.running)
        while used > self.config.kv_tokens_total and len(self.running) > 1:
            victim = max(self.running, key=_priority_key)
            used -= victim.context_tokens + 1
            self.running.remove(victim)
            victim.state = 'preempted'
            self.waiting.append(victim)
            self.preemptions += 1
            events.append(Preempted(victim.generation, at_ms))
        return events

    def _remove(self, generation: Generation) -> None:
        if generation in self.running:
            self.running.remove(generation)
        if generation in self.waiting:
            self.waiting.remove(generation)
        if not self.running:
            self.step_ends_ms = None


def token_text(request_id: str, generation: str, index: int) -> str:
    """Return the text of a token, which identifies its origin.

    Example:
        >>> token_text('r', 'g', 7).endswith('-7 ')
        True
    """
    owner = xxhash.xxh32_hexdigest(request_id.encode())
    source = xxhash.xxh32_hexdigest(generation.encode())
    return f'{owner}-{source}-{index} '


def _priority_key(generation: Generation) -> tuple[bool, int]:
    return (not generation.is_interactive, generation.order)
