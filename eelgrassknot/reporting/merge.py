"""Merges the parts of all VMs into one report."""

import collections
import collections.abc

from eelgrassknot.reporting import messages
from eelgrassknot.reporting import names
from eelgrassknot.reporting import rows
from eelgrassknot.reporting import sketch

__all__ = ['Merger']

ALL = ''

_PART_ORDER = [part.value for part in names.WaitPart]


class Merger:
    """Adds up parts; only the sums are kept in memory.

    Args:
        wanted: What the report is to be about.

    Example:
        >>> merger = Merger(messages.ReportFilter(0, 1))
        >>> merger.report(()).operations
        ()
    """

    def __init__(self, wanted: messages.ReportFilter) -> None:
        self.wanted = wanted
        self.merged: dict[rows.RowKey, rows.Row] = {}
        self.parts = 0
        self.vms: set[str] = set()
        self.folded_requests = 0
        self.started_ms: int | None = None
        self.ended_ms: int | None = None

    def add(self, part: rows.IntervalPart) -> None:
        """Add one part."""
        self.parts += 1
        self.vms.add(part.vm)
        self.folded_requests += part.folded_requests
        if self.started_ms is None:
            self.started_ms = part.started_ms
            self.ended_ms = part.ended_ms
        self.started_ms = min(self.started_ms, part.started_ms)
        self.ended_ms = max(self.ended_ms, part.ended_ms)
        for row in part.rows:
            if self._is_wanted(row):
                self._add_row(row)

    def report(
        self,
        missing: collections.abc.Sequence[messages.Missing],
        unreadable: collections.abc.Sequence[str] = (),
    ) -> messages.Report:
        """Return the report on all parts that were added.

        Args:
            missing: Time of which no part tells.
            unreadable: Keys of objects that could not be read.
        """
        coverage = messages.Coverage(
            self.parts,
            tuple(sorted(self.vms)),
            self.started_ms,
            self.ended_ms,
            self.folded_requests,
            tuple(missing),
            tuple(unreadable),
        )
        groups = self._groups()
        return messages.Report(
            self.wanted,
            coverage,
            tuple(
                _wait_row(*key, members)
                for key, members in groups
                if any(row.requests for row in members)
            ),
            tuple(_money_row(*key, members) for key, members in groups),
        )

    def _is_wanted(self, row: rows.Row) -> bool:
        wanted = self.wanted
        return wanted.service in (None, row.service) and (
            wanted.client_account in (None, row.client_account)
        )

    def _add_row(self, row: rows.Row) -> None:
        key = rows.RowKey(row.service, row.client_account, row.upstream_region)
        if key not in self.merged:
            self.merged[key] = rows.Row(*key)
        self.merged[key].merge(row)

    def _groups(self) -> list[tuple[tuple[str, str], list[rows.Row]]]:
        """Return the rows by service, and by service and account."""
        groups = collections.defaultdict(list)
        for row in self.merged.values():
            groups[row.service, ALL].append(row)
            if row.client_account != ALL:
                groups[row.service, row.client_account].append(row)
        return sorted(groups.items())


def _wait_row(
    service: str, client_account: str, members: list[rows.Row]
) -> messages.WaitRow:
    whole = _sum(service, client_account, members)
    total_ms = sum(whole.parts_ms.values())
    durations = {}
    for measure in names.Measure:
        if measure.value in whole.sketches:
            found = whole.sketches[measure.value]
            durations[measure.value] = _quantiles(found)
    return messages.WaitRow(
        service,
        client_account,
        whole.requests,
        whole.outcomes,
        whole.reasons,
        whole.repeated_attempts,
        total_ms,
        tuple(
            _part_time(whole, name, total_ms)
            for name in _PART_ORDER
            if name in whole.parts_ms
        ),
        durations,
    )


def _sum(
    service: str, client_account: str, members: list[rows.Row]
) -> rows.Row:
    whole = rows.Row(service, client_account, ALL)
    for row in members:
        whole.merge(row)
    return whole


def _part_time(row: rows.Row, name: str, total_ms: float) -> messages.PartTime:
    spent_ms = row.parts_ms[name]
    share = spent_ms / total_ms if total_ms else 0.0
    found = row.sketches[name]
    return messages.PartTime(
        name, spent_ms, share, found.count, found.quantile_ms(0.99)
    )


def _quantiles(found: sketch.Sketch) -> messages.Quantiles:
    return messages.Quantiles(
        found.count,
        found.mean_ms,
        found.quantile_ms(0.5),
        found.quantile_ms(0.95),
        found.quantile_ms(0.99),
        found.largest_ms,
    )


def _money_row(
    service: str, client_account: str, members: list[rows.Row]
) -> messages.MoneyRow:
    whole = _sum(service, client_account, members)
    twice: dict[str, int] = {}
    unreceived: dict[str, int] = {}
    for reason, count in whole.tokens_discarded.items():
        counts = twice if reason in names.TWICE else unreceived
        counts[reason] = count
    by_region: dict[str, int] = {}
    for row in members:
        if row.upstream_region:
            rows.add_count(by_region, row.upstream_region, row.requests)
    return messages.MoneyRow(
        service,
        client_account,
        whole.tokens_delivered,
        twice,
        unreceived,
        whole.tokens_cut,
        whole.region_bytes,
        whole.region_cost,
        by_region,
    )
