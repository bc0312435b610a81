"""Summary of a deployment for operators, read from the platform's store."""

import collections.abc

import msgspec
import result

from eelgrassknot import exceptions
from eelgrassknot.forwarding import crash_reports
from eelgrassknot.forwarding import dialect as dialects
from eelgrassknot.forwarding import model
from eelgrassknot.forwarding import peer_discovery
from eelgrassknot.forwarding import peer_membership
from eelgrassknot.forwarding import row_store
from eelgrassknot import ids

__all__ = ['Overview', 'UpstreamSummary', 'VmSummary', 'read_overview']

UNREADABLE = 'unreadable'


class UpstreamSummary(msgspec.Struct, frozen=True):
    """One listed upstream.

    Attributes:
        state: State of the upstream; ``unreadable`` if its entry cannot be
            decoded.
    """

    upstream: str
    service: str
    availability_zone: str
    address: str
    state: str


class VmSummary(msgspec.Struct, frozen=True):
    """One entry VM with a row in the store."""

    vm: str
    availability_zone: str
    address: str


class Overview(msgspec.Struct, frozen=True):
    """Contents of the store.

    Attributes:
        state_version: Version of the state in force; None before the first.
        blocked: Combinations of prompt parts that crash reports block.
        evacuated: Availability zones whose upstreams get no new work.
    """

    state_version: int | None
    routes: int
    accounts: int
    upstreams: list[UpstreamSummary]
    vms: list[VmSummary]
    blocked: list[list[str]]
    evacuated: list[str]


def read_overview(
    store: row_store.RowStore,
    dialect: dialects.Dialect,
    regions: collections.abc.Mapping[str, str],
) -> result.Result[Overview, exceptions.EelgrassknotError]:
    """Read the tables of a deployment with four calls.

    Args:
        store: Client of the store.
        dialect: Adapter of the platform.
        regions: Region of each availability zone; may be empty.
    """
    pages = []
    for table in (
        dialect.config_table,
        dialect.upstreams_table,
        peer_discovery.VMS_TABLE,
        crash_reports.CRASHES_TABLE,
    ):
        page = store.read_table(table)
        if isinstance(page, result.Err):
            return page
        pages.append(page.ok_value)
    states, upstreams, vms, crashes = pages
    state = None
    for row in states.rows:
        if row.key == dialect.config_key:
            decoded = dialect.decode_state(row.value)
            if isinstance(decoded, result.Err):
                return decoded
            state = decoded.ok_value
    return result.Ok(
        Overview(
            state_version=state.version if state else None,
            routes=len(state.routes) if state else 0,
            accounts=len(state.accounts) if state else 0,
            upstreams=[
                _summarize_upstream(
                    row.key, dialect.decode_upstream, row, regions
                )
                for row in upstreams.rows
            ],
            vms=[_summarize_vm(row) for row in vms.rows],
            blocked=sorted(
                sorted(parts)
                for parts in crash_reports.blocked_combinations(crashes)
            ),
            evacuated=_evacuated_zones(dialect, states),
        )
    )


def _evacuated_zones(
    dialect: dialects.Dialect, page: row_store.RowPage
) -> list[str]:
    zones = (dialect.evacuated_zone(row.key) for row in page.rows)
    return sorted(zone for zone in zones if zone is not None)


def _summarize_upstream(
    name: str,
    decode: collections.abc.Callable,
    row: row_store.StoreRow,
    regions: collections.abc.Mapping[str, str],
) -> UpstreamSummary:
    decoded: result.Result[model.Upstream, exceptions.MalformedAnswerError] = (
        decode(name, row.value, regions)
    )
    match decoded:
        case result.Ok(found):
            return UpstreamSummary(
                name,
                found.service,
                found.availability_zone,
                found.address,
                found.state.value,
            )
        case _:
            return UpstreamSummary(name, '', '', '', UNREADABLE)


def _summarize_vm(row: row_store.StoreRow) -> VmSummary:
    try:
        found = msgspec.json.decode(row.value, type=peer_membership.VmRow)
    except msgspec.MsgspecError:
        # The VMs log why they ignore the row.
        return VmSummary(row.key, '', UNREADABLE)
    zone = ids.AvailabilityZoneId(found.availability_zone)
    return VmSummary(row.key, zone, found.address)
