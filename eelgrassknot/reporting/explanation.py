"""What became of one request, from the log lines of all entry VMs."""

import collections.abc
import dataclasses
import re
import shlex

__all__ = ['Explanation', 'LogLine', 'explain', 'parse_line']

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
_FINAL_EVENTS = frozenset(['call_ended', 'stream_ended', 'refused'])
_CAUSE_BY_REASON = {
    'keys_out_of_date': (
        'the VM had not heard from the store or a peer for so long that a '
        'revoked key could not be ruled out; see store_lost'
    ),
    'unknown_key': 'no client account of the state in force has the key',
    'no_route': 'no route of the state in force has the host and path',
    'no_state': 'the VM had read no state yet; see store_lost',
    'no_service': 'the route names a service that the state does not have',
    'no_upstream': 'no upstream had room or was listed until the deadline',
    'deadline': "the route's time-out or the caller's deadline passed",
    'upstream_lost': (
        'the upstream broke off and there was no copy to go on from; see '
        'attempt_failed, run_copied and upstream_listed'
    ),
    'upstream_unreachable': 'several upstreams refused it or were not reached',
    'no_answer': 'the upstream ended the connection without an answer',
    'event_missing': 'the upstream left out an event of the stream',
    'grace_over': (
        'the VM was told to end and its grace was over before the request '
        'was; see draining'
    ),
    'caller_left': 'the caller closed its connection',
    'complete': 'the stream was forwarded to its end',
}


@dataclasses.dataclass(frozen=True)
class LogLine:
    """One line of a log, taken apart.

    Attributes:
        time: When, as the line says.
        pairs: All pairs of the line.
        text: The line itself.
    """

    time: str
    pairs: dict[str, str]
    text: str


@dataclasses.dataclass(frozen=True)
class Explanation:
    """What became of one request.

    Attributes:
        request: Its identifier.
        reason: The reason of its last line, or empty if there is none.
        cause: The reason in a sentence.
        timeline: Its lines and those of its upstreams, in order.
    """

    request: str
    reason: str
    cause: str
    timeline: tuple[LogLine, ...]


def parse_line(text: str) -> LogLine | None:
    """Return a log line taken apart, or None if it is no log line.

    Example:
        >>> parse_line('time=1 level=INFO event=refused why="a b"').pairs
        {'level': 'INFO', 'event': 'refused', 'why': 'a b'}
    """
    start = text.find('time=')
    if start < 0:
        return None
    pairs = {
        name: shlex.split(value)[0] if value.startswith('"') else value
        for name, value in _PAIR.findall(text[start:])
    }
    if 'event' not in pairs:
        return None
    return LogLine(pairs.pop('time'), pairs, text.strip())


def explain(request: str, lines: collections.abc.Iterable[str]) -> Explanation:
    """Explain what became of a request.

    Args:
        request: Its identifier.
        lines: Lines of the logs of all VMs, in any order.
    """
    found = [line for line in map(parse_line, lines) if line is not None]
    own = [line for line in found if line.pairs.get('request') == request]
    own.sort(key=lambda line: line.time)
    if not own:
        cause = 'no line names this request; it met no entry VM of these logs'
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
    """Return the earliest line of each change, which all VMs log."""
    kept: dict[tuple[str | None, ...], LogLine] = {}
    for line in sorted(lines, key=lambda each: each.time):
        pairs = line.pairs
        key = (pairs['event'], pairs.get('upstream'), pairs.get('state'))
        kept.setdefault(key, line)
    return list(kept.values())


def _cause(reason: str) -> str:
    if not reason:
        return 'it has not ended in these logs; see its last line'
    if reason.startswith('status_'):
        return f'the upstream itself answered {reason.removeprefix("status_")}'
    return _CAUSE_BY_REASON.get(
        reason, f'see the lines; the reason is {reason}'
    )
