"""Load generator: callers of streams and plain calls that record results."""

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
    """Address of an entry VM for the load balancer."""

    vm: str
    address: str


@dataclasses.dataclass(frozen=True)
class Workload:
    """Requests that the callers send.

    Attributes:
        model: Service of the streams.
        plain: Service of the plain calls.
        lookup: Path of an idempotent GET.
        booking: Path of a non-idempotent POST.
        keys: Bearer keys of the accounts.
        mean_tokens: Mean length of the answers.
        mean_pause_s: Mean pause of a caller between requests.
        progress_timeout_s: How long a caller waits for the answer to a
            plain call, or resumes a stream without receiving new tokens.
        unstreamed_share: Fraction of answers that are not streamed.
        abandoned_share: Fraction of streams that their callers abandon.
    """

    model: str
    plain: str
    lookup: str
    booking: str
    keys: tuple[str, ...]
    mean_tokens: int = 60
    mean_pause_s: float = 0.2
    progress_timeout_s: float = 20.0
    unstreamed_share: float = 0.0
    abandoned_share: float = 0.0


class Callers:
    """Runs callers in threads until they are stopped.

    Args:
        workload: Requests to send.
        entry_points: Entry VMs among which the load balancer chooses.
        seed: Seed of all random choices.
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
        """Start the given numbers of stream and plain callers."""
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
        """Let every caller finish its current request, then stop."""
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def set_entry_points(self, entry_points: list[EntryPoint]) -> None:
        """Update the entry VMs that the load balancer uses."""
        self.entry_points = list(entry_points)

    def choose_entry_point(self, generator: random.Random) -> EntryPoint:
        """Return a random entry VM, as a load balancer would."""
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
