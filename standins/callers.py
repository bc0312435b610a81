"""Load tool: callers of streams and of plain calls with their records."""

import collections.abc
import dataclasses
import random
import threading

from eelgrassknot import clock as clocks
from standins import history as histories
from standins import plain_caller
from standins import stream_caller

__all__ = ['Callers', 'EntryPoint', 'Workload']


@dataclasses.dataclass(frozen=True)
class EntryPoint:
    """An entry VM as the balancer reaches it."""

    vm: str
    address: str


@dataclasses.dataclass(frozen=True)
class Workload:
    """What the callers ask for.

    Attributes:
        model: Service of the streams.
        plain: Service of the plain calls.
        lookup: Path of an idempotent GET.
        booking: Path of a non-idempotent POST.
        keys: Bearer keys of the accounts.
        mean_tokens: Mean length of the answers.
        pause_s: Mean time that a caller waits between requests.
        patience_s: How long a caller tries to resume an answer.
        whole_share: Share of the answers that are not streamed.
        left_share: Share of the streams that their callers give up.
    """

    model: str
    plain: str
    lookup: str
    booking: str
    keys: tuple[str, ...]
    mean_tokens: int = 60
    mean_pause_s: float = 0.2
    resume_timeout_s: float = 20.0
    unstreamed_share: float = 0.0
    abandoned_share: float = 0.0


class Callers:
    """Runs callers in threads until they are told to stop.

    Args:
        mix: What they ask for.
        entry_points: Where the balancer sends them.
        seed: Seed of all choices.
    """

    def __init__(
        self, workload: Workload, entry_points: list[EntryPoint], seed: int
    ) -> None:
        self.workload = workload
        self.entry_points = list(entry_points)
        self.seed = seed
        self.clock = clocks.MonotonicClock()
        self.stopped = threading.Event()
        self.streams: list[histories.StreamRecord] = []
        self.calls: list[histories.CallRecord] = []
        self.threads: list[threading.Thread] = []

    def start(self, streams: int, calls: int) -> None:
        """Start callers of streams and callers of plain calls."""
        kinds = [('s', self._run_stream)] * streams
        kinds += [('c', self._run_plain)] * calls
        for number, (letter, ask) in enumerate(kinds):
            name = f'{letter}{self.seed}-{number}'
            thread = threading.Thread(
                target=self._run, args=(name, ask), daemon=True
            )
            self.threads.append(thread)
            thread.start()

    def stop(self) -> None:
        """Let every caller finish what it is at, then end."""
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def set_entry_points(self, entry_points: list[EntryPoint]) -> None:
        """Tell the balancer which entry VMs are ready."""
        self.entry_points = list(entry_points)

    def choose_entry_point(self, generator: random.Random) -> EntryPoint:
        """Return where the balancer sends a connection."""
        return generator.choice(self.entry_points)

    def _run(
        self,
        name: str,
        ask: collections.abc.Callable[[str, random.Random], None],
    ) -> None:
        generator = random.Random(name)
        number = 0
        while not self.stopped.is_set():
            number += 1
            ask(f'{name}-{number}', generator)
            pause_s = generator.expovariate(1 / self.workload.mean_pause_s)
            self.stopped.wait(pause_s)

    def _run_stream(self, name: str, generator: random.Random) -> None:
        wanted = 1 + round(
            generator.expovariate(1 / self.workload.mean_tokens)
        )
        record = stream_caller.new_record(name, wanted, self.clock.now_ms())
        self.streams.append(record)
        stream = stream_caller.Stream(self, record, generator)
        bearer = generator.choice(self.workload.keys)
        draw = generator.random()
        if draw < self.workload.unstreamed_share:
            stream.run_unstreamed(bearer)
        elif (
            draw
            < self.workload.unstreamed_share + self.workload.abandoned_share
        ):
            stream.abandon_after = generator.randint(1, wanted)
            stream.run(bearer)
        else:
            stream.run(bearer)
        record.ended_ms = self.clock.now_ms()

    def _run_plain(self, name: str, generator: random.Random) -> None:
        caller = plain_caller.PlainCaller(self, name, generator)
        caller.run(generator.choice(self.workload.keys))
