"""Reading of report parts from the object store."""

import collections.abc
import concurrent.futures

import result

from eelgrassknot import exceptions
from eelgrassknot import ids
from eelgrassknot.reporting import coverage
from eelgrassknot.reporting import merge
from eelgrassknot.reporting import messages
from eelgrassknot.reporting import object_names
from eelgrassknot.reporting import rows
from eelgrassknot.storage import base as storage_base

__all__ = ['read_operators_addresses', 'read_report']

LOOKBACK_HOURS = 24
RECENT_HOURS = 2
FETCH_THREADS = 8


def read_report(
    objects: storage_base.ObjectStore,
    report_filter: messages.ReportFilter,
    expected_vms: collections.abc.Iterable[ids.VmId] = (),
) -> result.Result[messages.Report, storage_base.PlatformError]:
    """Return the report on a time range.

    Args:
        objects: Object store of the platform.
        wanted: Scope of the report.
        expected_vms: Entry VMs currently listed by the platform.
    """
    match _list_names(objects, report_filter):
        case result.Err(error):
            return result.Err(error)
        case result.Ok(names):
            found = coverage.drop_contained(names)
    merger = merge.Merger(report_filter)
    unreadable = []
    needed = [name for name in found if coverage.overlaps(name, report_filter)]
    with concurrent.futures.ThreadPoolExecutor(FETCH_THREADS) as executor:
        bodies = executor.map(lambda name: objects.get(name.key), needed)
        for name, body in zip(needed, bodies):
            part = _decode(body)
            if part is None:
                unreadable.append(name.key)
            else:
                merger.add(part)
    missing = coverage.find_missing(found, report_filter, expected_vms)
    return result.Ok(merger.report(missing, unreadable))


def read_operators_addresses(
    objects: storage_base.ObjectStore, now_ms: float
) -> dict[ids.VmId, str]:
    """Return the operators' addresses of VMs that wrote parts recently.

    Args:
        objects: Object store of the platform.
        now_ms: Wall-clock time.

    Returns:
        Addresses as ``IP:port``, without VMs whose part is unreadable.
    """
    recent_ms = RECENT_HOURS * object_names.MS_PER_HOUR
    listed = _list_prefixes(
        objects, object_names.hour_prefixes(now_ms - recent_ms, now_ms)
    )
    latest: dict[ids.VmId, object_names.ObjectName] = {}
    for name in listed.unwrap_or([]):
        known = latest.get(name.vm)
        if known is None or name.ended_ms >= known.ended_ms:
            latest[name.vm] = name
    addresses = {}
    with concurrent.futures.ThreadPoolExecutor(FETCH_THREADS) as executor:
        names = list(latest.values())
        bodies = executor.map(lambda name: objects.get(name.key), names)
        for name, body in zip(names, bodies):
            part = _decode(body)
            if part is not None:
                addresses[name.vm] = part.operators_address
    return addresses


def _list_names(
    objects: storage_base.ObjectStore, report_filter: messages.ReportFilter
) -> result.Result[list[object_names.ObjectName], storage_base.PlatformError]:
    # A part that was coalesced during a store outage may have started
    # long before the time range.
    lookback_ms = LOOKBACK_HOURS * object_names.MS_PER_HOUR
    prefixes = object_names.hour_prefixes(
        report_filter.since_ms - lookback_ms, report_filter.until_ms
    )
    return _list_prefixes(objects, prefixes)


def _list_prefixes(
    objects: storage_base.ObjectStore, prefixes: list[str]
) -> result.Result[list[object_names.ObjectName], storage_base.PlatformError]:
    names = []
    with concurrent.futures.ThreadPoolExecutor(FETCH_THREADS) as executor:
        for answer in executor.map(objects.list_keys, prefixes):
            match answer:
                case result.Err(error):
                    return result.Err(error)
                case result.Ok(keys):
                    names += map(object_names.parse_key, keys)
    return result.Ok([name for name in names if name is not None])


def _decode(body: result.Result) -> rows.IntervalPart | None:
    match body:
        case result.Ok(bytes(document)):
            try:
                return rows.decode(document)
            except exceptions.MalformedAnswerError:
                return None
    return None
