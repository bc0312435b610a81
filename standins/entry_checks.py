"""Checks of the entry VMs' guarantees on recorded calls and executions.

Each checker is a pure function from a record to its violations.
"""

import collections.abc
import dataclasses

__all__ = ['CHECKERS', 'Call', 'Record', 'check']

NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
STREAM_EVENTS = 40
LIMIT_WINDOW_S = 4.0
LIMIT_CONTACT_S = 4.0
"""Time after its first statement from which a limit must be kept; s."""
LIMIT_TOLERATED_SHARE = 1.5
LIMIT_TOLERATED_EXTRA = 5
TRANSIT_TOLERANCE_S = 0.3
"""Allowance for the delay between sending and receiving a request, in s."""


@dataclasses.dataclass
class Call:
    """One request of a caller and its answer.

    Attributes:
        kind: ``book``, ``look`` or ``write``.
        status: Status of the answer; 0 if there was none.
        is_whole: Whether the answer was complete.
        body: Body of the answer without its framing.
        vm: Entry VM that received the request.
        sent_s: Time of sending on the monotonic clock, in s.
    """

    request: str
    kind: str
    key: str
    vm: str
    sent_s: float
    status: int = 0
    is_whole: bool = False
    body: bytes = b''


@dataclasses.dataclass
class StatedLimit:
    """A request limit that a server stated for a time.

    Attributes:
        per_s: Requests per second from all VMs together.
        from_s: Time of the first statement on the monotonic clock, in s.
        until_s: Time of the withdrawal.
    """

    server: str
    per_s: float
    from_s: float
    until_s: float = float('inf')


@dataclasses.dataclass
class Record:
    """Observations of a round.

    Attributes:
        runs: Server and time of each execution of a request.
        revoked_s: Time at which each key was revoked.
        bound_s: How long a VM may still accept a revoked key.
        limits: Limits that servers stated.
        disturbed: VMs that were signalled or started, with the time.
        ended: Processes that exited unexpectedly.
        unserved: VMs that did not recover after the faults.
    """

    calls: list[Call] = dataclasses.field(default_factory=list)
    runs: dict[str, list[tuple[str, float]]] = dataclasses.field(
        default_factory=dict
    )
    revoked_s: dict[str, float] = dataclasses.field(default_factory=dict)
    bound_s: float = 2.0
    limits: list[StatedLimit] = dataclasses.field(default_factory=list)
    disturbed: list[tuple[str, float]] = dataclasses.field(
        default_factory=list
    )
    ended: list[str] = dataclasses.field(default_factory=list)
    unserved: list[str] = dataclasses.field(default_factory=list)


Violations = collections.abc.Iterator[str]


def check(record: Record) -> list[str]:
    """Run all checkers on a record."""
    return [
        f'{name}: {violation}'
        for name, checker in CHECKERS.items()
        for violation in checker(record)
    ]


def runs_once(record: Record) -> Violations:
    """Find bookings and streams that were executed more than once."""
    for call in record.calls:
        count = len(record.runs.get(call.request, ()))
        if call.kind != 'look' and count > 1:
            yield f'{call.request} ran {count} times'


def not_run_is_true(record: Record) -> Violations:
    """Find requests that were refused as not executed but were executed."""
    for call in record.calls:
        if (
            call.status in NOT_EXECUTED_STATUSES
            and call.request in record.runs
        ):
            yield f'{call.request} got {call.status} and ran'


def answers_are_own(record: Record) -> Violations:
    """Find complete answers that belong to another request."""
    for call in record.calls:
        if call.status != 200 or call.kind == 'write':
            continue
        own = f'answer to {call.request} '.encode()
        if call.is_whole and not call.body.startswith(own):
            yield f'{call.request} got {call.body[:40]!r}'


def streams_are_in_order(record: Record) -> Violations:
    """Find streams with wrong events, and truncated ones sent as complete."""
    for call in record.calls:
        if call.kind != 'write' or call.status != 200:
            continue
        parts = call.body.split(b'\n\n')
        if call.is_whole and len(parts) != STREAM_EVENTS + 1:
            yield f'{call.request} ended after {len(parts) - 1} events'
        for index, part in enumerate(parts[:-1], 1):
            own = f'id: {index}\ndata: {call.request} {index}'.encode()
            if part != own:
                yield f'{call.request} event {index} is {part!r}'
                break


def revoked_keys_open_nothing(record: Record) -> Violations:
    """Find requests executed with a key that was revoked too long before."""
    for call in record.calls:
        revoked_s = record.revoked_s.get(call.key)
        if revoked_s is None or call.request not in record.runs:
            continue
        late_s = call.sent_s - revoked_s - record.bound_s - TRANSIT_TOLERANCE_S
        if late_s > 0:
            yield f'{call.request} was sent {late_s:.2f} s too late and ran'


def nobody_ends_by_itself(record: Record) -> Violations:
    """Find processes that exited without being told to."""
    yield from record.ended


def limits_are_kept(record: Record) -> Violations:
    """Find servers that got more requests than their limit tolerates.

    Requests of VMs that were disturbed shortly before or within a window do
    not count.
    """
    vm_of = {call.request: call.vm for call in record.calls}
    for limit in record.limits:
        arrivals = sorted(
            (at_s, vm_of[request])
            for request, runs in record.runs.items()
            for server, at_s in runs
            if server == limit.server and request in vm_of
        )
        tolerated = (
            LIMIT_TOLERATED_SHARE * LIMIT_WINDOW_S * limit.per_s
            + LIMIT_TOLERATED_EXTRA
        )
        for start_s, _ in arrivals:
            end_s = start_s + LIMIT_WINDOW_S
            if start_s < limit.from_s + LIMIT_CONTACT_S:
                continue
            if end_s > limit.until_s:
                break
            excused = {
                vm
                for vm, at_s in record.disturbed
                if start_s - LIMIT_CONTACT_S <= at_s < end_s
            }
            count = sum(
                start_s <= at_s < end_s and vm not in excused
                for at_s, vm in arrivals
            )
            if count > tolerated:
                yield (
                    f'{limit.server} got {count} requests in 4 s at a limit '
                    f'of {limit.per_s:.1f}'
                )
                break


def all_recover(record: Record) -> Violations:
    """Find VMs that did not recover."""
    yield from record.unserved


CHECKERS: dict[str, collections.abc.Callable[[Record], Violations]] = {
    checker.__name__: checker
    for checker in (
        runs_once,
        not_run_is_true,
        answers_are_own,
        streams_are_in_order,
        revoked_keys_open_nothing,
        limits_are_kept,
        nobody_ends_by_itself,
        all_recover,
    )
}
