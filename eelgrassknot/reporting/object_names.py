"""Names of the report's objects; a name tells what the object holds.

Readers list one hour at a time and fetch only what they need. An object
is named by the hour in which it began.
"""

import re

import msgspec

from eelgrassknot import ids
from eelgrassknot.reporting import rows

__all__ = ['ObjectName', 'hour_prefixes', 'name_of', 'parse']

PREFIX = 'report/'
MS_PER_HOUR = 3_600_000

_NAME = re.compile(
    r'report/(?P<hour>\d+)/(?P<started_ms>\d+)-(?P<ended_ms>\d+)'
    r'/(?P<vm>[^/]+)/(?P<incarnation>[^/]+)'
    r'/(?P<first_sequence>\d+)-(?P<last_sequence>\d+)(?P<final>-final)?'
)


class ObjectName(msgspec.Struct, frozen=True):
    """What the name of an object tells of its part."""

    key: str
    vm: ids.VmId
    incarnation: ids.IncarnationId
    first_sequence: int
    last_sequence: int
    started_ms: int
    ended_ms: int
    final: bool


def name_of(part: rows.IntervalPart) -> str:
    """Return the key under which a part is stored."""
    hour = part.started_ms // MS_PER_HOUR
    final = '-final' if part.final else ''
    return (
        f'{PREFIX}{hour}/{part.started_ms}-{part.ended_ms}'
        f'/{part.vm}/{part.incarnation}'
        f'/{part.first_sequence}-{part.last_sequence}{final}'
    )


def parse(key: str) -> ObjectName | None:
    """Return what a key tells, or None if it names no part."""
    found = _NAME.fullmatch(key)
    if found is None:
        return None
    return ObjectName(
        key=key,
        vm=ids.VmId(found['vm']),
        incarnation=ids.IncarnationId(found['incarnation']),
        first_sequence=int(found['first_sequence']),
        last_sequence=int(found['last_sequence']),
        started_ms=int(found['started_ms']),
        ended_ms=int(found['ended_ms']),
        final=found['final'] is not None,
    )


def hour_prefixes(since_ms: float, until_ms: float) -> list[str]:
    """Return the key prefixes of all hours in a range of time."""
    first = max(0, int(since_ms // MS_PER_HOUR))
    last = int(until_ms // MS_PER_HOUR)
    return [f'{PREFIX}{hour}/' for hour in range(first, last + 1)]
