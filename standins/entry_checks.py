"""Checks of the platform's promises on what callers and servers saw.

Each checker is a pure function from a record to its violations.
"""

import collections.abc
import dataclasses

__all__ = ['CHECKERS', 'Call', 'Record', 'check']

NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
STREAM_EVENTS = 40
TRANSIT_TOLERANCE_S = 0.3
"""Time that a send may be on its way; s."""


@dataclasses.dataclass
class Call:
    """One request of a caller and its end.

    Attributes:
        kind: ``book``, ``look`` or ``write``.
        status: Of the answer; 0 if there was none.
        is_whole: Whether the answer came to its end.
        body: The answer's body, framing undone.
        vm: The entry VM that was asked.
        sent_s: When it was sent, in s of the steady clock.
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
class Record:
    """What was seen in a round.

    Attributes:
        runs: Server and time of each run of a request.
        revoked_s: When each key was taken away.
        bound_s: How long a VM may still take such a key.
        ended: Processes that ended by themselves.
        unserved: VMs that did not serve again after all faults.
    """

    calls: list[Call] = dataclasses.field(default_factory=list)
    runs: dict[str, list[tuple[str, float]]] = dataclasses.field(
        default_factory=dict
    )
    revoked_s: dict[str, float] = dataclasses.field(default_factory=dict)
    bound_s: float = 2.0
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
    """Find bookings and streams that were run more than once."""
    for call in record.calls:
        count = len(record.runs.get(call.request, ()))
        if call.kind != 'look' and count > 1:
            yield f'{call.request} ran {count} times'


def not_run_is_true(record: Record) -> Violations:
    """Find requests that were refused as not run, and ran."""
    for call in record.calls:
        if (
            call.status in NOT_EXECUTED_STATUSES
            and call.request in record.runs
        ):
            yield f'{call.request} got {call.status} and ran'


def answers_are_own(record: Record) -> Violations:
    """Find answers that are not the whole answer to their request."""
    for call in record.calls:
        if call.status != 200 or call.kind == 'write':
            continue
        own = f'answer to {call.request} '.encode()
        if call.is_whole and not call.body.startswith(own):
            yield f'{call.request} got {call.body[:40]!r}'


def streams_are_in_order(record: Record) -> Violations:
    """Find streams with wrong events, or cut ones that look complete."""
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
    """Find requests that ran with a key that was long taken away."""
    for call in record.calls:
        revoked_s = record.revoked_s.get(call.key)
        if revoked_s is None or call.request not in record.runs:
            continue
        late_s = call.sent_s - revoked_s - record.bound_s - TRANSIT_TOLERANCE_S
        if late_s > 0:
            yield f'{call.request} was sent {late_s:.2f} s too late and ran'


def nobody_ends_by_itself(record: Record) -> Violations:
    """Find processes that ended without being told to."""
    yield from record.ended


def all_recover(record: Record) -> Violations:
    """Find VMs that did not serve again."""
    yield from record.unserved


CHECKERS: dict[str, collections.abc.Callable[[Record], Violations]] = {
    checker.__name__: checker
    for checker in (
        runs_once,
        not_run_is_true,
        answers_are_own,
        streams_are_in_order,
        revoked_keys_open_nothing,
        nobody_ends_by_itself,
        all_recover,
    )
}
