"""Reconstruction of a request's history from the logs of entry VMs."""

import collections.abc
import dataclasses
import json
import re

__all__ = ['Explanation', 'LogLine', 'explain', 'parse_line']

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
_FINAL_EVENTS = frozenset(['call_ended', 'stream_ended', 'refused'])
_CAUSE_BY_REASON = {
    'keys_out_of_date': (
        'the VM had no contact with the store or a peer for so long that a '
        'revoked key could not be excluded; see store_lost'
    ),
    'account_not_sendable': (
        'no header can carry the name of the client account; see state_fault'
    ),
    'unknown_key': 'no client account in the current state has the key',
    'no_route': 'no route in the current state matches the host and path',
    'no_state': 'the VM had not read a state yet; see store_lost',
    'no_service': 'the route names a service that the state does not define',
    'no_upstream': 'no listed upstream had capacity before the deadline',
    'engine_memory': 'the engines would not have had room before the deadline',
    'deadline': "the route's timeout or the caller's deadline passed",
    'upstream_lost': (
        'the upstream connection broke and there was no copy to continue '
        'from, or the run that continued it broke off unanswered; see '
        'attempt_failed, attempt_cancelled, run_copied and upstream_listed'
    ),
    'upstream_unreachable': (
        'several upstreams refused the request or were unreachable'
    ),
    'no_answer': 'the upstream closed the connection without an answer',
    'event_missing': 'the upstream skipped an event of the stream',
    'run_restarted': 'the upstream started the run anew, not from its copy',
    'draining': (
        'the VM was told to stop and the request could have outlasted its '
        'grace period; VMs that are ready serve its retry'
    ),
    'crashes_engines': (
        'several engines crashed under parts of its prompt; see '
        'stream_blocked and parts_blocked'
    ),
    'retry_budget': (
        'upstreams turned the request away and the retry budget of the VM '
        'is spent; see attempt_failed'
    ),
    'upstream_limit': (
        'every upstream of the service states a request limit or is cold, '
        'and no permit came in time; see upstream_limit, upstream_cold and '
        'permit_denied'
    ),
    'grace_over': (
        'the VM was told to stop and its grace period ended before the '
        'request did; see draining'
    ),
    'not_sendable': (
        'the request could not be encoded for an upstream; see '
        'request_not_encoded'
    ),
    'internal_error': (
        'the VM failed to handle the request; see request_failed'
    ),
    'caller_left': 'the caller closed its connection',
    'complete': 'the stream was forwarded to its end',
}


@dataclasses.dataclass(frozen=True)
class LogLine:
    """A parsed log line.

    Attributes:
        time: Timestamp as written in the line.
        pairs: All other key-value pairs of the line.
        text: The unparsed line.
    """

    time: str
    pairs: dict[str, str]
    text: str


@dataclasses.dataclass(frozen=True)
class Explanation:
    """History of one request.

    Attributes:
        request: Identifier of the request.
        reason: Reason given by its final log line, or empty if none.
        cause: Description of the reason.
        timeline: Log lines of the request and state changes of its
            upstreams, in chronological order.
    """

    request: str
    reason: str
    cause: str
    timeline: tuple[LogLine, ...]


def parse_line(text: str) -> LogLine | None:
    """Return a parsed log line, or None if the text is not a log line.

    Example:
        >>> parse_line('time=1 level=INFO event=refused why="a b"').pairs
        {'level': 'INFO', 'event': 'refused', 'why': 'a b'}
    """
    start = text.find('time=')
    if start < 0:
        return None
    pairs = {
        name: _unquote(value) if value.startswith('"') else value
        for name, value in _PAIR.findall(text[start:])
    }
    if 'event' not in pairs:
        return None
    return LogLine(pairs.pop('time'), pairs, text.strip())


def _unquote(value: str) -> str:
    """Return the text of a value that was logged in quotes."""
    try:
        return json.loads(value)
    except ValueError:
        # Not written by this project.
        return value


def explain(request: str, lines: collections.abc.Iterable[str]) -> Explanation:
    """Return the history of a request and why it ended.

    Args:
        request: Identifier of the request.
        lines: Log lines of all VMs, in any order.
    """
    found = [line for line in map(parse_line, lines) if line is not None]
    own = [line for line in found if line.pairs.get('request') == request]
    own.sort(key=lambda line: line.time)
    if not own:
        cause = 'no line names this request; it reached none of these VMs'
        return Explanation(request, '', cause, ())
    upstreams = {line.pairs.get('upstream') for line in own} - {None, 'None'}
    span = (own[0].time, own[-1].time)
    around = [
        line
        for line in found
        if line.pairs.get('event') in ('upstream_listed', 'upstream_gone')
        and line.pairs.get('upstream') in upstreams
        and span[0] <= line.time <= span[1]
    ]
    final = [line for line in own if line.pairs['event'] in _FINAL_EVENTS]
    reason = final[-1].pairs.get('reason', '') if final else ''
    timeline = sorted(
        [*own, *_deduplicate_changes(around)], key=lambda each: each.time
    )
    return Explanation(request, reason, _cause(reason), tuple(timeline))


def _deduplicate_changes(lines: list[LogLine]) -> list[LogLine]:
    """Return the earliest line of each state change.

    Every VM logs each change of an upstream.
    """
    kept: dict[tuple[str | None, ...], LogLine] = {}
    for line in sorted(lines, key=lambda each: each.time):
        pairs = line.pairs
        key = (pairs['event'], pairs.get('upstream'), pairs.get('state'))
        kept.setdefault(key, line)
    return list(kept.values())


def _cause(reason: str) -> str:
    if not reason:
        return 'these logs do not show its end; see its last line'
    if reason.startswith('status_'):
        return f'the upstream answered {reason.removeprefix("status_")}'
    return _CAUSE_BY_REASON.get(
        reason, f'see the timeline; the reason is {reason}'
    )
