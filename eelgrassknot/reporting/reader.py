"""Reads the parts of a report from the object store."""

import collections.abc
import concurrent.futures

import result

from eelgrassknot import exceptions
from eelgrassknot import ids
from eelgrassknot.platforms import base as platform_base
from eelgrassknot.reporting import coverage
from eelgrassknot.reporting import merge
from eelgrassknot.reporting import messages
from eelgrassknot.reporting import object_names
from eelgrassknot.reporting import rows

__all__ = ['read_report']

LOOKBACK_HOURS = 24
FETCH_THREADS = 8


def read_report(
    objects: platform_base.ObjectStore,
    wanted: messages.ReportFilter,
    expected_vms: collections.abc.Iterable[ids.VmId] = (),
) -> result.Result[messages.Report, platform_base.PlatformError]:
    """Return the report on a range of time.

    Args:
        objects: The object store.
        wanted: What the report is to be about.
        expected_vms: VMs that are in the platform's list now.
    """
    match _list_names(objects, wanted):
        case result.Err(error):
            return result.Err(error)
        case result.Ok(names):
            found = coverage.select(names)
    merger = merge.Merger(wanted)
    unreadable = []
    needed = [name for name in found if coverage.overlaps(name, wanted)]
    with concurrent.futures.ThreadPoolExecutor(FETCH_THREADS) as executor:
        bodies = executor.map(lambda name: objects.get(name.key), needed)
        for name, body in zip(needed, bodies):
            part = _decode(body)
            if part is None:
                unreadable.append(name.key)
            else:
                merger.add(part)
    missing = coverage.find_missing(found, wanted, expected_vms)
    return result.Ok(merger.report(missing, unreadable))


def _list_names(
    objects: platform_base.ObjectStore, wanted: messages.ReportFilter
) -> result.Result[list[object_names.ObjectName], platform_base.PlatformError]:
    # A part that was coalesced while the store was down may have begun
    # long before the wanted time.
    lookback_ms = LOOKBACK_HOURS * object_names.MS_PER_HOUR
    prefixes = object_names.hour_prefixes(
        wanted.since_ms - lookback_ms, wanted.until_ms
    )
    names = []
    with concurrent.futures.ThreadPoolExecutor(FETCH_THREADS) as executor:
        for answer in executor.map(objects.list_keys, prefixes):
            match answer:
                case result.Err(error):
                    return result.Err(error)
                case result.Ok(keys):
                    names += map(object_names.parse, keys)
    return result.Ok([name for name in names if name is not None])


def _decode(body: result.Result) -> rows.IntervalPart | None:
    match body:
        case result.Ok(bytes(document)):
            try:
                return rows.decode(document)
            except exceptions.MalformedAnswerError:
                return None
    return None
