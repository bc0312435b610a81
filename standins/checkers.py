"""Checks of the required invariants on recorded histories.

Each checker is a pure function from a history to its violations.
"""

import collections
import collections.abc
import dataclasses

import xxhash

from standins import history as histories

__all__ = ['CHECKERS', 'TIMED_CHECKERS', 'Violation', 'check']

LEAVING_GRACE_MS = 5_000.0
CONFIG_PROPAGATION_MS = 13_000.0
# These checkers compare with bounds on elapsed time, which a busy machine
# can exceed. Timed runs include them; repeatable tests ignore them.
TIMED_CHECKERS = frozenset({'config_spreads', 'leavers_get_nothing_new'})


@dataclasses.dataclass(frozen=True)
class Violation:
    """An invariant that did not hold."""

    checker: str
    subject: str
    reason: str

    def __str__(self) -> str:
        return f'{self.checker}: {self.subject}: {self.reason}'


Checker = collections.abc.Callable[
    [histories.History], collections.abc.Iterator[tuple[str, str]]
]
CHECKERS: dict[str, Checker] = {}


def check(history: histories.History) -> list[Violation]:
    """Run all checkers on a history."""
    return [
        Violation(name, subject, reason)
        for name, checker in CHECKERS.items()
        for subject, reason in checker(history)
    ]


def _checker(name: str) -> collections.abc.Callable[[Checker], Checker]:
    def register(checker: Checker) -> Checker:
        CHECKERS[name] = checker
        return checker

    return register


@_checker('tokens_once_in_order')
def _tokens_once_in_order(history):
    for stream in history.streams:
        indexes = [_parse_token(t.text)[2] for t in stream.tokens]
        if indexes != list(range(len(indexes))):
            place = _first_difference(indexes)
            around = indexes[max(0, place - 2) : place + 3]
            yield stream.request_id, f'at token {place}: {around}'


@_checker('one_generation')
def _one_generation(history):
    for stream in history.streams:
        sources = {_parse_token(t.text)[1] for t in stream.tokens}
        if len(sources) > 1:
            yield stream.request_id, f'tokens of {sorted(sources)}'


@_checker('own_tokens')
def _own_tokens(history):
    for stream in history.streams:
        own = xxhash.xxh32_hexdigest(stream.request_id.encode())
        owners = {_parse_token(t.text)[0] for t in stream.tokens}
        if owners - {own}:
            yield stream.request_id, 'tokens of another request'


@_checker('whole_answer')
def _whole_answer(history):
    for stream in history.streams:
        received = len(stream.tokens)
        if stream.outcome == 'done' and received != stream.wanted_tokens:
            reason = f'{received} of {stream.wanted_tokens} tokens'
            yield stream.request_id, reason


@_checker('own_answer')
def _own_answer(history):
    for call in history.calls:
        if call.outcome == 'done' and call.answer != call.body:
            reason = f'status {call.status} with {call.answer!r}'
            yield call.request_id, reason


@_checker('same_answer')
def _same_answer(history):
    answers = collections.defaultdict(set)
    for call in history.calls:
        if call.key and call.outcome in ('done', 'failed'):
            response = (call.outcome, call.status)
            answers[call.key].add(response)
    for key, responses in answers.items():
        if len(responses) > 1:
            yield f'key {key}', f'answered with {sorted(responses)}'


@_checker('not_run_never_ran')
def _not_run_never_ran(history):
    ran = {e.request_id for e in history.executions}
    ran |= {g.request_id for g in history.generations if g.produced}
    for record in [*history.calls, *history.streams]:
        if record.outcome == 'not_run' and record.request_id in ran:
            yield record.request_id, 'was refused as not run, but ran'


@_checker('at_most_once')
def _at_most_once(history):
    counts = collections.Counter(
        _operation_id(e.request_id, e.key) for e in history.executions
    )
    once = {
        _operation_id(call.request_id, call.key)
        for call in history.calls
        if not call.idempotent
    }
    for operation in sorted(once):
        if counts[operation] > 1:
            yield operation, f'ran {counts[operation]} times'


@_checker('done_ran')
def _done_ran(history):
    ran = {_operation_id(e.request_id, e.key) for e in history.executions}
    for call in history.calls:
        operation = _operation_id(call.request_id, call.key)
        if call.outcome == 'done' and operation not in ran:
            yield call.request_id, 'was answered, but never ran'


@_checker('nothing_dropped')
def _nothing_dropped(history):
    if not history.connections_kept:
        return
    for record in [*history.streams, *history.calls]:
        if record.outcome == 'cut':
            waited_ms = record.ended_ms - record.started_ms
            reason = f'no answer within {waited_ms:.0f} ms'
            yield record.request_id, reason


@_checker('leavers_get_nothing_new')
def _leavers_get_nothing_new(history):
    started = [(g.engine, g.generation, g.at_ms) for g in history.generations]
    started += [(e.service, e.request_id, e.at_ms) for e in history.executions]
    for leaving in history.leaving:
        limit_ms = leaving.since_ms + LEAVING_GRACE_MS
        for upstream, work, at_ms in started:
            if upstream != leaving.upstream:
                continue
            if limit_ms < at_ms < leaving.until_ms:
                late_ms = at_ms - leaving.since_ms
                yield upstream, f'got {work} {late_ms:.0f} ms after leaving'


@_checker('drain_cuts_nothing')
def _drain_cuts_nothing(history):
    for vm, code in history.drained.items():
        if code != 0:
            yield vm, f'exit code {code} of a drain'
    for request_id in history.cut_by_drain:
        yield request_id, 'was cut by a draining VM'


@_checker('config_never_falls')
def _config_never_falls(history):
    highest: dict[tuple[str, str], int] = {}
    for seen in sorted(history.configs, key=lambda c: c.at_ms):
        process = (seen.vm, seen.incarnation)
        before = highest.get(process, 0)
        if seen.version < before:
            yield seen.vm, f'version fell from {before} to {seen.version}'
        highest[process] = max(before, seen.version)


@_checker('config_spreads')
def _config_spreads(history):
    accepted = {int(v): at for v, at in history.accepted.items()}
    for seen in history.configs:
        due = [
            version
            for version, at_ms in accepted.items()
            if at_ms + CONFIG_PROPAGATION_MS < seen.at_ms
        ]
        if due and seen.version < max(due):
            yield seen.vm, f'at {seen.version}, {max(due)} was accepted'


def _parse_token(text: str) -> tuple[str, str, int]:
    owner, source, index = text.strip().split('-')
    return owner, source, int(index)


def _first_difference(indexes: list[int]) -> int:
    for place, index in enumerate(indexes):
        if place != index:
            return place
    return len(indexes)


def _operation_id(request_id: str, key: str | None) -> str:
    return f'key {key}' if key else f'request {request_id}'
