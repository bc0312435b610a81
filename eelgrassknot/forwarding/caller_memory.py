"""Accounting of everything that is held in memory for callers.

Connections report what they hold; the accountant tells them to wait, to go on
or to give up. It does no I/O and has no clock.
"""

import collections.abc
import enum
import operator
import typing

import msgspec

__all__ = [
    'BYTES_PER_MB',
    'CONNECTION_BYTES',
    'CallerMemory',
    'Holder',
    'Holding',
    'Phase',
    'Relief',
    'default_bytes',
    'default_connections',
]

BYTES_PER_MB = 1_000_000
REST_MB = 48.0
"""Memory that is not available for callers: a process at rest takes 41 MB."""
CALLER_SHARE = 0.6
"""Share of the remaining memory that is held for callers. The rest is for
other work, copies made while requests are passed on, and fragmentation."""
MIN_BYTES = 12_582_912
"""Three times the largest body allowed: one such request with the copy of its
body that an upstream has yet to read fits with room for small ones."""
RESERVED_DESCRIPTORS = 256
"""Descriptors for peers, the store, listeners, copies and idle upstream
connections; a quarter of all if that is less."""
CONNECTION_BYTES = 4_096
"""Memory of an idle connection; 2 to 4 kB were measured."""
FAIR_BYTES = 65_536
"""A caller that holds no more than this is never told to wait."""
WAIT_SHARE = 0.6
"""Share of the bound above which callers that hold more wait."""
GRANT_SHARE = 0.85
"""Share of the bound that callers which may finish fill at most; the rest is
for small requests."""
RELIEF_SHARE = 0.9
"""Share of the bound to which callers are refused once it is exceeded."""
RELIEF_PAUSE_MS = 20.0
"""Pause after a search that has found too few callers to refuse; ms."""
PROGRESS_BYTES = 16_384
"""A caller makes progress when it has sent this much more."""
STALL_MS = 1_000.0
"""Callers that make no progress for this time are refused near the bound."""
MAX_WAIT_MS = 2_000.0
"""How long a caller waits near the bound before it is refused; ms."""
CLOSED_FRACTION = 32
"""One in this many connections is closed once there are too many, so that a
flood of new ones does not cause a search for each."""


class Phase(enum.Enum):
    """What is held for a connection."""

    IDLE = 'idle'
    READING = 'reading'
    RUNNING = 'running'
    LEAVING = 'leaving'


class Relief(enum.Enum):
    """Why a connection must give up what it holds."""

    OVER_BOUND = 'over_bound'
    STALLED = 'stalled'
    WAITED = 'waited'
    DESCRIPTORS = 'descriptors'


class Holder(typing.Protocol):
    """A connection whose memory is accounted for."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that the caller has yet to read."""

    @property
    def address(self) -> str:
        """Address of the caller."""

    def wait(self) -> None:
        """Stop reading."""

    def go_on(self) -> None:
        """Read on after a wait."""

    def give_up(self, relief: Relief) -> None:
        """Refuse the request that is being read, or close."""


class Holding(msgspec.Struct, eq=False):
    """What is held for one connection.

    Attributes:
        holder: The connection, or None once it has closed.
        held: Bytes of memory, without unsent responses.
        missing: Bytes of the body that have yet to come; an upper bound.
        progressed_ms: When the phase began, or the caller last made
            progress in it.
        mark: What was held then.
        waits_since_ms: When the caller was told to wait, or None.
    """

    holder: Holder | None
    progressed_ms: float
    held: int = CONNECTION_BYTES
    missing: int = 0
    phase: Phase = Phase.IDLE
    mark: int = 0
    waits_since_ms: float | None = None


class CallerMemory:
    """Bounds the memory and the number of callers' connections.

    Args:
        max_bytes: Bound on what is held for all callers together.
        max_connections: Bound on the number of connections.
        unsent: Returns the bytes that all peers have yet to read.

    Attributes:
        held: Bytes held for all connections, without unsent ones.
        report: Called with a holding that is given up, before it is.

    Example:
        >>> memory = CallerMemory(default_bytes(128), 100)
        >>> memory.max_bytes
        48000000
    """

    def __init__(
        self,
        max_bytes: int,
        max_connections: int,
        unsent: collections.abc.Callable[[], int] = lambda: 0,
    ) -> None:
        self.max_bytes = max_bytes
        self.max_connections = max_connections
        self.unsent = unsent
        self.held = 0
        self.holdings: set[Holding] = set()
        self.waiting: set[Holding] = set()
        self.granted: set[Holding] = set()
        self.next_relief_ms = 0.0
        self.report: collections.abc.Callable[[Holding, Relief], None] = (
            lambda *_: None
        )

    @property
    def total(self) -> int:
        """Bytes held for all callers, with those that are unsent."""
        return self.held + self.unsent()

    def open(self, holder: Holder, now_ms: float) -> Holding:
        """Account for a new connection."""
        holding = Holding(holder, now_ms)
        self.holdings.add(holding)
        self.held += holding.held
        return holding

    def close(self, holding: Holding, now_ms: float) -> None:
        """Release what a closed connection held."""
        if holding not in self.holdings:
            return
        self.holdings.discard(holding)
        self.held -= holding.held
        holding.phase = Phase.LEAVING
        self._stop_waiting(holding)
        self.granted.discard(holding)
        holding.holder = None
        self._grant(now_ms)

    def update(
        self,
        holding: Holding,
        held: int,
        missing: int,
        phase: Phase,
        now_ms: float,
    ) -> None:
        """Record what a connection holds now.

        The connection may be told to wait or to give up before the return.

        Args:
            holding: The holding of the connection.
            held: Bytes held beyond the connection itself.
            missing: Bytes of the body that have yet to come at most.
            phase: What they are held for.
            now_ms: The current time.
        """
        if holding not in self.holdings:
            return
        held += CONNECTION_BYTES
        is_less = held < holding.held
        self.held += held - holding.held
        holding.held = held
        holding.missing = missing
        if holding.phase is Phase.LEAVING:
            return
        if phase is not holding.phase or (
            abs(held - holding.mark) >= PROGRESS_BYTES
        ):
            holding.phase = phase
            holding.mark = held
            holding.progressed_ms = now_ms
        if phase is not Phase.READING:
            self.granted.discard(holding)
            if holding in self.waiting:
                self._stop_waiting(holding)
                holding.holder.go_on()
        if self.total > self.max_bytes:
            self._relieve(now_ms)
        elif phase is Phase.READING and self._must_wait(holding):
            self._wait(holding, now_ms)
        if self.waiting and (is_less or phase is Phase.READING):
            self._grant(now_ms)

    def sweep(self, now_ms: float) -> None:
        """Refuse callers that make no progress, if memory is scarce."""
        mark = int(self.max_bytes * WAIT_SHARE)
        if self.total <= mark and not self.waiting:
            return
        stalled = [
            holding
            for holding in self.holdings
            if holding not in self.waiting
            and now_ms - holding.progressed_ms >= STALL_MS
        ]
        self._give_up(stalled, mark, Relief.STALLED, now_ms)
        self._grant(now_ms)
        overdue = [
            holding
            for holding in self.waiting
            if now_ms - holding.waits_since_ms >= MAX_WAIT_MS
        ]
        for holding in overdue:
            self._end(holding, Relief.WAITED)

    def refuses(self, holding: Holding) -> bool:
        """Return whether a complete request is not to be passed on.

        It has been refused then.
        """
        if self.total > self.max_bytes:
            self._end(holding, Relief.OVER_BOUND)
        return holding.phase is Phase.LEAVING

    def make_room(self, now_ms: float) -> bool:
        """Return whether one more connection may be accepted.

        If there are too many, those that have been idle for longest are
        closed, or else those whose requests make the least progress.
        """
        if len(self.holdings) < self.max_connections:
            return True
        count = max(1, self.max_connections // CLOSED_FRACTION)
        idle = [h for h in self.holdings if h.phase is Phase.IDLE]
        reading = [h for h in self.holdings if h.phase is Phase.READING]
        oldest = operator.attrgetter('progressed_ms')
        candidates = sorted(idle, key=oldest) or sorted(reading, key=oldest)
        for holding in candidates[:count]:
            self._end(holding, Relief.DESCRIPTORS)
        return len(self.holdings) < self.max_connections

    def _must_wait(self, holding: Holding) -> bool:
        return (
            holding.held > FAIR_BYTES
            and holding not in self.granted
            and self.total > self.max_bytes * WAIT_SHARE
        )

    def _wait(self, holding: Holding, now_ms: float) -> None:
        if holding not in self.waiting:
            holding.waits_since_ms = now_ms
            self.waiting.add(holding)
            holding.holder.wait()

    def _stop_waiting(self, holding: Holding) -> None:
        holding.waits_since_ms = None
        self.waiting.discard(holding)

    def _grant(self, now_ms: float) -> None:
        """Let those callers finish that miss the least, as far as they fit."""
        while self.waiting:
            holding = min(self.waiting, key=operator.attrgetter('missing'))
            promised = sum(each.missing for each in self.granted)
            if (
                self.total + promised + holding.missing
                > self.max_bytes * GRANT_SHARE
            ):
                return
            self._stop_waiting(holding)
            self.granted.add(holding)
            holding.progressed_ms = now_ms
            holding.holder.go_on()

    def _relieve(self, now_ms: float) -> None:
        """Refuse callers until there is some room below the bound."""
        if now_ms < self.next_relief_ms:
            return
        mark = int(self.max_bytes * RELIEF_SHARE)
        self._give_up(self.holdings, mark, Relief.OVER_BOUND, now_ms)
        if self.total > self.max_bytes:
            # Requests that have been passed on hold all of it.
            self.next_relief_ms = now_ms + RELIEF_PAUSE_MS

    def _give_up(
        self,
        holdings: collections.abc.Iterable[Holding],
        mark: int,
        relief: Relief,
        now_ms: float,
    ) -> None:
        """End those that hold most and progress least, down to a mark.

        A request that has been passed on may have run, so it is kept.
        """
        weighted = [
            (_excess(holding) * (now_ms - holding.progressed_ms + 1), holding)
            for holding in holdings
            if holding.phase in (Phase.IDLE, Phase.READING)
            and _excess(holding) > 0
        ]
        weighted.sort(key=operator.itemgetter(0), reverse=True)
        for _, holding in weighted:
            if self.total <= mark:
                return
            self._end(holding, relief)

    def _end(self, holding: Holding, relief: Relief) -> None:
        if holding not in self.holdings or holding.phase is Phase.LEAVING:
            return
        self.report(holding, relief)
        holding.phase = Phase.LEAVING
        self._stop_waiting(holding)
        self.granted.discard(holding)
        holding.holder.give_up(relief)


def default_bytes(memory_mb: float) -> int:
    """Return the bound on what is held for callers.

    Args:
        memory_mb: Memory limit of the process.
    """
    room = (memory_mb - REST_MB) * BYTES_PER_MB * CALLER_SHARE
    return max(MIN_BYTES, int(room))


def default_connections(descriptors: int) -> int:
    """Return the bound on callers' connections.

    Each may need a second descriptor for a connection to an upstream.

    Args:
        descriptors: Maximum number of open file descriptors.

    Example:
        >>> default_connections(4_100)
        1922
    """
    reserved = min(RESERVED_DESCRIPTORS, descriptors // 4)
    return max(1, (descriptors - reserved) // 2)


def _excess(holding: Holding) -> int:
    """Return what ending a connection would release, beyond itself."""
    return holding.held - CONNECTION_BYTES + holding.holder.unsent_bytes
