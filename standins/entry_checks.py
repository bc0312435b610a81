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
EVACUATION_BOUND_S = 5.0
"""Time after its row from which a zone must get nothing; s."""
STORE_MARGIN_S = 8.0
"""Additional time if the store failed since the row was written; s."""
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
class ZoneEvacuation:
    """A zone that was evacuated for a time.

    Attributes:
        from_s: Time of the row on the monotonic clock, in s.
        until_s: Time of its deletion.
    """

    zone: str
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
        evacuations: Evacuations of zones.
        homes: Home region of requests of some kinds, with the time of the
            state that restricted them.
        places: Zone and region of each server.
        store_faults: Start and end of each fault of the store.
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
    evacuations: list[ZoneEvacuation] = dataclasses.field(default_factory=list)
    homes: dict[str, tuple[str, float]] = dataclasses.field(
        default_factory=dict
    )
    places: dict[str, tuple[str, str]] = dataclasses.field(
        default_factory=dict
    )
    store_faults: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )
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


def evacuated_zones_get_nothing(record: Record) -> Violations:
    """Find executions in a zone long after it was evacuated.

    Requests of VMs that were disturbed within the bound do not count.
    """
    vm_of = {call.request: call.vm for call in record.calls}
    for evacuation in record.evacuations:
        bound_s = evacuation.from_s + EVACUATION_BOUND_S
        for request, runs in record.runs.items():
            for server, at_s in runs:
                if record.places.get(server, ('',))[0] != evacuation.zone:
                    continue
                if not bound_s < at_s - TRANSIT_TOLERANCE_S:
                    continue
                if at_s >= evacuation.until_s or request not in vm_of:
                    continue
                if _is_excused(record, evacuation, vm_of[request], at_s):
                    continue
                late_s = at_s - bound_s
                yield (
                    f'{request} of {vm_of[request]} reached {server} '
                    f'{late_s:.2f} s after the bound'
                )


def _is_excused(
    record: Record, evacuation: ZoneEvacuation, vm: str, at_s: float
) -> bool:
    """Return whether a VM need not know of an evacuation yet."""
    store_failed = any(
        from_s < at_s and until_s > evacuation.from_s
        for from_s, until_s in record.store_faults
    )
    if store_failed and at_s < (
        evacuation.from_s + EVACUATION_BOUND_S + STORE_MARGIN_S
    ):
        return True
    return any(
        disturbed == vm and at_s - EVACUATION_BOUND_S <= moment_s <= at_s
        for disturbed, moment_s in record.disturbed
    )


def homes_are_kept(record: Record) -> Violations:
    """Find requests that ran outside the home region of their route.

    They need a key, which no VM accepts without the newest state for longer
    than the bound on revoked keys.
    """
    for call in record.calls:
        if call.kind not in record.homes:
            continue
        home, from_s = record.homes[call.kind]
        if call.sent_s < from_s + record.bound_s + TRANSIT_TOLERANCE_S:
            continue
        for server, _ in record.runs.get(call.request, ()):
            region = record.places[server][1]
            if region != home:
                yield f'{call.request} ran in {region}, its home is {home}'


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
        evacuated_zones_get_nothing,
        homes_are_kept,
        nobody_ends_by_itself,
        all_recover,
    )
}
